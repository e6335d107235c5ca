//! The process's monotonic clock.

use bellyoke_core::time::Timestamp;
use std::time::Instant;

/// Reads monotonic time since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        let microseconds = self.start.elapsed().as_micros();
        Timestamp::from_micros(u64::try_from(microseconds).unwrap_or(u64::MAX))
    }

    /// The instant of `timestamp`.
    #[must_use]
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        self.start + timestamp.since(Timestamp::ZERO)
    }
}
