//! Detection of pauses of the process.

use super::Ownership;
use crate::time::Timestamp;
use std::time::Duration;

/// Detects pauses of the process by the gap between two inputs: while it runs, its timers cause no
/// gap of that length.
#[derive(Debug, Default)]
pub(super) struct PauseDetector {
    last_input: Option<Timestamp>,
    stale_until: Option<Timestamp>,
}

impl PauseDetector {
    /// Records an input. After a gap longer than `max_gap`, inputs within `stale_duration` may
    /// have been queued during the gap.
    fn record_input(&mut self, now: Timestamp, max_gap: Duration, stale_duration: Duration) {
        let last = self.last_input.replace(now).unwrap_or(now);
        if now.since(last) > max_gap {
            self.stale_until = Some(now.after(stale_duration));
        }
    }

    /// Returns whether a packet that arrives now may have been queued during a pause.
    pub(super) fn may_be_stale(&self, now: Timestamp) -> bool {
        self.stale_until.is_some_and(|until| now < until)
    }
}

impl Ownership {
    /// Records an input. A packet that was queued for longer than the delay horizon must not be
    /// decided: the barrier doesn't wait for older copies.
    pub(super) fn detect_pause(&mut self, now: Timestamp) {
        let max_gap = self.settings.delay_horizon;
        self.pause_detector
            .record_input(now, max_gap, self.settings.retry_interval);
    }
}
