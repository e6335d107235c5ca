//! The log: numbered events on standard error.
//!
//! docs/EVENTS.md is the catalogue. What packets can cause is logged through [`LogLimiter`].

use bellyoke_api::event_code::{EventCode, EventLevel};
use bellyoke_core::time::Timestamp;
use serde::Deserialize;
use std::collections::HashMap;
use std::fmt::Display;
use std::time::Duration;
use tracing::Level;

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

/// Starts the log. A second call has no effect.
pub fn start_log(settings: &LogSettings) {
    let builder = tracing_subscriber::fmt()
        .with_max_level(level(settings.level))
        .with_target(false)
        .with_writer(std::io::stderr);
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

/// Lets each event through once in a period and counts the others.
#[derive(Debug)]
pub struct LogLimiter {
    period: Duration,
    entries: HashMap<EventCode, LimiterEntry>,
}

#[derive(Clone, Copy, Debug)]
struct LimiterEntry {
    last: Timestamp,
    suppressed: u64,
}

impl LogLimiter {
    /// A limiter of one event of a kind in `period`.
    #[must_use]
    pub fn new(period: Duration) -> Self {
        Self {
            period,
            entries: HashMap::new(),
        }
    }

    /// Whether the event may be logged now; if so, how many were held back since the last.
    pub fn admit(&mut self, event: EventCode, now: Timestamp) -> Option<u64> {
        let Some(entry) = self.entries.get_mut(&event) else {
            let entry = LimiterEntry {
                last: now,
                suppressed: 0,
            };
            self.entries.insert(event, entry);
            return Some(0);
        };
        if now.since(entry.last) < self.period {
            entry.suppressed += 1;
            return None;
        }
        entry.last = now;
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
