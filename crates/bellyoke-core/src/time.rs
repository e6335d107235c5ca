//! Monotonic time as an argument.

use std::time::Duration;

/// Microseconds of a monotonic clock that starts with the process.
///
/// Two processes' timestamps are never compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);

    /// A timestamp that lies `microseconds` after the start of the clock.
    #[must_use]
    pub const fn from_micros(microseconds: u64) -> Self {
        Self(microseconds)
    }

    /// Microseconds since the start of the clock.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// This time plus `duration`, saturating.
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        let microseconds = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(microseconds))
    }

    /// How long ago `earlier` was; zero if it lies ahead.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// This time less `duration`; the start of the clock if that lies before it.
    #[must_use]
    pub fn before(self, duration: Duration) -> Self {
        let microseconds = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(microseconds))
    }
}
