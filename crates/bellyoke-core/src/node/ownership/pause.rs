//! Tells when the process did not run for a while.

use super::Ownership;
use crate::time::Timestamp;
use std::time::Duration;

/// Tells when the process did not run for a while, by the gap between two inputs: its timers
/// never leave one as long when it runs.
#[derive(Debug, Default)]
pub(super) struct PauseDetector {
    last_input: Option<Timestamp>,
    stale_until: Option<Timestamp>,
}

impl PauseDetector {
    /// Takes note of an input; after a gap longer than `limit`, what comes within `drain` may
    /// have waited in a queue for as long.
    fn record_input(&mut self, now: Timestamp, max_gap: Duration, stale_duration: Duration) {
        let last = self.last_input.replace(now).unwrap_or(now);
        if now.since(last) > max_gap {
            self.stale_until = Some(now.after(stale_duration));
        }
    }

    /// Whether a packet that comes now may be older than the limit.
    pub(super) fn may_be_stale(&self, now: Timestamp) -> bool {
        self.stale_until.is_some_and(|until| now < until)
    }
}

impl Ownership {
    /// Takes note of an input. A packet that has waited longer than the delay horizon must not
    /// be decided: the barrier waits for older copies no longer.
    pub(super) fn detect_pause(&mut self, now: Timestamp) {
        let max_gap = self.settings.delay_horizon;
        self.pause_detector
            .record_input(now, max_gap, self.settings.retry_interval);
    }
}
