//! The monotonic clock of the process.

use bellyoke_core::time::Timestamp;
use std::time::Instant;

/// Reads monotonic time since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
    /// The timestamp of `start`.
    origin: Timestamp,
}

impl MonotonicClock {
    /// Creates a clock that starts now, at zero.
    #[must_use]
    pub fn start() -> Self {
        Self::start_at(Timestamp::ZERO)
    }

    /// Creates a clock that starts now, at `origin`.
    ///
    /// Timestamps cannot be negative. A non-zero `origin` makes times before the start of the
    /// process representable, such as those computed from ages that peers report.
    ///
    /// ```
    /// use bellyoke_core::time::Timestamp;
    /// use bellyoke_process::clock::MonotonicClock;
    ///
    /// let origin = Timestamp::from_micros(1_000_000);
    /// let clock = MonotonicClock::start_at(origin);
    /// assert!(clock.now() >= origin);
    /// ```
    #[must_use]
    pub fn start_at(origin: Timestamp) -> Self {
        Self {
            start: Instant::now(),
            origin,
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.origin.after(self.start.elapsed())
    }

    /// Converts `timestamp` to an [`Instant`].
    #[must_use]
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        self.start + timestamp.since(self.origin)
    }
}
