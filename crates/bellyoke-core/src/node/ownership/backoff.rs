//! When an unanswered message is sent again.

use crate::time::Timestamp;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// The wait grows up to two to this power times the first.
const MAX_DOUBLINGS: u32 = 3;

/// Exponential backoff. Half of each wait is drawn, so that nodes that began at one time don't
/// go on together (Floyd and Jacobson, "The synchronization of periodic routing messages",
/// 1994).
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backoff {
    doublings: u32,
    due_at: Option<Timestamp>,
}

impl Backoff {
    /// Something was sent, or an answer has come: the next wait is the first again.
    pub(super) fn restart(&mut self) {
        *self = Self::default();
    }

    /// Whether to send again at `now`; if so, the next wait is twice as long. The first call
    /// after a restart only begins the first wait, of up to `interval`.
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
