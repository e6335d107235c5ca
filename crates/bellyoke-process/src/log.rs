//! The log: numbered events.
//!
//! docs/EVENTS.md is the catalogue. What packets can cause is logged through [`LogLimiter`].

use bellyoke_api::event_code::{EventCode, EventLevel};
use bellyoke_core::time::Timestamp;
use serde::Deserialize;
use std::collections::HashMap;
use std::fmt::Display;
use std::time::Duration;
use tracing::Level;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::MakeWriter;

/// Lines that wait for the writing thread; further ones are left out.
const MAXIMUM_BUFFERED_LINES: usize = 512;

/// The log.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Form of the lines.
    pub format: LogFormat,
    /// Least level.
    pub level: LogLevel,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Least level that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Only errors.
    Error,
    /// And warnings.
    Warn,
    /// And the ordinary course of things.
    Info,
    /// And details.
    Debug,
    /// And single packets.
    Trace,
}

/// Starts the log on standard error. A second call has no effect.
pub fn start_log(settings: &LogSettings) {
    start_log_to(settings, std::io::stderr);
}

/// Starts the log on standard output, written by a thread of its own. Where the reader doesn't
/// keep up lines are left out, so that logging never holds the process up. The log ends with the
/// guard that is returned. A second call has no effect.
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

/// Logs an event; `detail` says what it is about.
pub fn log_event(event: EventCode, detail: impl Display) {
    let code = event.to_string();
    let name = event.name();
    match event.level() {
        EventLevel::Error => tracing::error!(code, name, %detail),
        EventLevel::Warn => tracing::warn!(code, name, %detail),
        EventLevel::Info => tracing::info!(code, name, %detail),
    }
}

/// Lets each event through a number of times in a period and counts the others.
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
    /// A limiter of one event of a kind in `period`.
    #[must_use]
    pub fn new(period: Duration) -> Self {
        Self::with_allowance(period, 1)
    }

    /// A limiter of `allowance` events of a kind in `period`.
    #[must_use]
    pub fn with_allowance(period: Duration, allowance: u32) -> Self {
        Self {
            period,
            allowance,
            entries: HashMap::new(),
        }
    }

    /// Whether the event may be logged now; if so, how many were held back since the last.
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

    /// Logs the event if it may be logged now.
    pub fn log(&mut self, event: EventCode, now: Timestamp, detail: impl Display) {
        match self.admit(event, now) {
            None => {}
            Some(0) => log_event(event, detail),
            Some(suppressed) => log_event(
                event,
                format_args!("{detail} ({suppressed} more since the last)"),
            ),
        }
    }
}
