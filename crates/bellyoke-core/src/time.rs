//! Timestamps of a monotonic clock, which callers pass as arguments.

use std::time::Duration;

/// Microseconds of a monotonic clock that starts with the process.
///
/// Timestamps of different processes must not be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates a timestamp `microseconds` after the start of the clock.
    #[must_use]
    pub const fn from_micros(microseconds: u64) -> Self {
        Self(microseconds)
    }

    /// Returns the microseconds since the start of the clock.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Adds `duration`, saturating at the numeric bound.
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        let microseconds = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(microseconds))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Subtracts `duration`, saturating at the start of the clock.
    #[must_use]
    pub fn before(self, duration: Duration) -> Self {
        let microseconds = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(microseconds))
    }
}
