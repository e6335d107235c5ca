//! Logging of numbered events.
//!
//! docs/EVENTS.md lists all events. Events that packets can trigger are rate-limited by
//! [`LogLimiter`].

use bellyoke_api::event_code::{EventCode, EventLevel};
use bellyoke_core::time::Timestamp;
use serde::Deserialize;
use std::collections::HashMap;
use std::fmt::Display;
use std::time::Duration;
use tracing::Level;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::MakeWriter;

/// Maximum number of lines queued for the writer thread. Further lines are dropped.
const MAXIMUM_BUFFERED_LINES: usize = 512;

/// Settings of the log.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Format of the lines.
    pub format: LogFormat,
    /// Minimum severity that is logged.
    pub level: LogLevel,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Minimum severity of the events that are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Errors and warnings.
    Warn,
    /// Also events of normal operation.
    Info,
    /// Also debugging details.
    Debug,
    /// Also events of individual packets.
    Trace,
}

/// Initializes logging to standard error. A second call has no effect.
pub fn start_log(settings: &LogSettings) {
    start_log_to(settings, std::io::stderr);
}

/// Initializes logging to standard output through a dedicated writer thread.
///
/// Lines are dropped if the reader of standard output falls behind, because logging must never
/// block the process. Logging stops when the returned guard is dropped. A second call has no
/// effect.
pub fn start_non_blocking_log(settings: &LogSettings) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAXIMUM_BUFFERED_LINES)
        .finish(std::io::stdout());
    start_log_to(settings, writer);
    guard
}

fn start_log_to<Writer>(settings: &LogSettings, writer: Writer)
where
    Writer: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let builder = tracing_subscriber::fmt()
        .with_max_level(level(settings.level))
        .with_target(false)
        .with_writer(writer);
    let _ = match settings.format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
}

const fn level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::ERROR,
        LogLevel::Warn => Level::WARN,
        LogLevel::Info => Level::INFO,
        LogLevel::Debug => Level::DEBUG,
        LogLevel::Trace => Level::TRACE,
    }
}

/// Logs an event with its details.
pub fn log_event(event: EventCode, detail: impl Display) {
    let code = event.to_string();
    let name = event.name();
    match event.level() {
        EventLevel::Error => tracing::error!(code, name, %detail),
        EventLevel::Warn => tracing::warn!(code, name, %detail),
        EventLevel::Info => tracing::info!(code, name, %detail),
    }
}

/// Limits how often each event is logged in a period and counts the suppressed ones.
#[derive(Debug)]
pub struct LogLimiter {
    period: Duration,
    allowance: u32,
    entries: HashMap<EventCode, LimiterEntry>,
}

#[derive(Clone, Copy, Debug)]
struct LimiterEntry {
    period_start: Timestamp,
    admitted: u32,
    suppressed: u64,
}

impl LogLimiter {
    /// Creates a limiter that admits each event once per `period`.
    #[must_use]
    pub fn new(period: Duration) -> Self {
        Self::with_allowance(period, 1)
    }

    /// Creates a limiter that admits each event up to `allowance` times per `period`.
    #[must_use]
    pub fn with_allowance(period: Duration, allowance: u32) -> Self {
        Self {
            period,
            allowance,
            entries: HashMap::new(),
        }
    }

    /// Returns the number of events suppressed since the last admitted one, or `None` if this event
    /// must not be logged now.
    pub fn admit(&mut self, event: EventCode, now: Timestamp) -> Option<u64> {
        let entry = self.entries.entry(event).or_insert(LimiterEntry {
            period_start: now,
            admitted: 0,
            suppressed: 0,
        });
        if now.since(entry.period_start) >= self.period {
            entry.period_start = now;
            entry.admitted = 0;
        }
        if entry.admitted >= self.allowance {
            entry.suppressed += 1;
            return None;
        }
        entry.admitted += 1;
        Some(std::mem::take(&mut entry.suppressed))
    }

    /// Logs the event unless it exceeds the limit.
    pub fn log(&mut self, event: EventCode, now: Timestamp, detail: impl Display) {
        match self.admit(event, now) {
            None => {}
            Some(0) => log_event(event, detail),
            Some(suppressed) => log_event(
                event,
                format_args!("{detail} ({suppressed} more suppressed since the last one)"),
            ),
        }
    }
}
