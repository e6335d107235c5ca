//! The process's monotonic clock.

use bellyoke_core::time::Timestamp;
use std::time::Instant;

/// Reads monotonic time since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
    /// What it shows at its start.
    origin: Timestamp,
}

impl MonotonicClock {
    /// A clock that starts now, at zero.
    #[must_use]
    pub fn start() -> Self {
        Self::start_at(Timestamp::ZERO)
    }

    /// A clock that starts now and shows `first`. Where others tell ages that may be greater than
    /// that of the process, `first` leaves room for them: a time before zero can't be told.
    ///
    /// ```
    /// use bellyoke_core::time::Timestamp;
    /// use bellyoke_process::clock::MonotonicClock;
    ///
    /// let first = Timestamp::from_micros(1_000_000);
    /// let clock = MonotonicClock::start_at(first);
    /// assert!(clock.now() >= first);
    /// ```
    #[must_use]
    pub fn start_at(origin: Timestamp) -> Self {
        Self {
            start: Instant::now(),
            origin,
        }
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.origin.after(self.start.elapsed())
    }

    /// The instant of `timestamp`.
    #[must_use]
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        self.start + timestamp.since(self.origin)
    }
}
