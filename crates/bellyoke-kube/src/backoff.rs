//! Waiting times between attempts.

use rand::RngExt;
use std::time::Duration;

/// Exponential back-off with full jitter: each delay is drawn evenly between zero and a
/// ceiling that doubles with each attempt, so that clients that failed together don't come
/// back together.
///
/// M. Brooker, "Exponential Backoff and Jitter", AWS Architecture Blog, 2015.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    ceiling: Duration,
    attempts: u32,
}

impl Backoff {
    /// Delays below `first` at the first attempt, and never above `ceiling`.
    #[must_use]
    pub const fn new(first: Duration, ceiling: Duration) -> Self {
        Self {
            first,
            ceiling,
            attempts: 0,
        }
    }

    /// The delay before the next attempt.
    pub fn next_delay<R: rand::Rng + ?Sized>(&mut self, random: &mut R) -> Duration {
        let factor = 1_u32.checked_shl(self.attempts).unwrap_or(u32::MAX);
        let limit = self.first.saturating_mul(factor).min(self.ceiling);
        self.attempts = self.attempts.saturating_add(1);
        limit.mul_f64(random.random::<f64>())
    }

    /// Starts over after a success.
    pub const fn reset(&mut self) {
        self.attempts = 0;
    }
}
