//! Backoff between repetitions of an unanswered message.

use crate::time::Timestamp;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Maximum number of times that the delay is doubled.
const MAX_DOUBLINGS: u32 = 3;

/// Exponential backoff. Half of each delay is random: nodes that started at the same time don't
/// stay synchronized (Floyd and Jacobson, "The synchronization of periodic routing messages",
/// 1994).
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backoff {
    doublings: u32,
    due_at: Option<Timestamp>,
}

impl Backoff {
    /// Resets the delay to its initial value, after something was sent or an answer has arrived.
    pub(super) fn restart(&mut self) {
        *self = Self::default();
    }

    /// Returns whether to send again at `now` and, if so, doubles the next delay. The first call
    /// after a restart only starts the first delay of up to `interval`.
    pub(super) fn is_due(
        &mut self,
        now: Timestamp,
        interval: Duration,
        random: &mut ChaCha8Rng,
    ) -> bool {
        let is_due = self.due_at.is_some_and(|due_at| due_at <= now);
        if is_due {
            self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
        }
        if is_due || self.due_at.is_none() {
            let max_delay = interval * (1 << self.doublings);
            let delay = max_delay.mul_f64(random.random_range(0.5..=1.0));
            self.due_at = Some(now.after(delay));
        }
        is_due
    }
}
