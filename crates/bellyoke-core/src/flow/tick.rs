//! Coarse timestamps that keep flow records small.

use crate::time::Timestamp;
use std::time::Duration;

/// Duration of a tick: 1/16 s. A 32-bit tick count overflows after eight years.
const TICK_MICROSECONDS: u64 = 62_500;

/// A point in time, in whole ticks since the start of the clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Tick(u32);

/// A duration in ticks, rounded up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TickSpan(u32);

impl Tick {
    /// Returns the tick that contains `time`.
    pub(crate) fn at(time: Timestamp) -> Self {
        Self(saturate(time.as_micros() / TICK_MICROSECONDS))
    }

    /// Returns the end of this tick.
    pub(crate) fn end(self) -> Timestamp {
        Timestamp::from_micros((u64::from(self.0) + 1) * TICK_MICROSECONDS)
    }

    /// Adds `span`, saturating at the numeric bound.
    pub(crate) fn saturating_add(self, span: TickSpan) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    /// Returns whether more than `span` has passed since `earlier`, whatever the rounding.
    pub(crate) fn is_later_than(self, earlier: Self, span: TickSpan) -> bool {
        self.0.saturating_sub(earlier.0) > span.0
    }
}

impl TickSpan {
    /// Converts `duration`, rounding up.
    pub(crate) fn from_duration(duration: Duration) -> Self {
        let microseconds = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(saturate(microseconds.div_ceil(TICK_MICROSECONDS)))
    }
}

fn saturate(ticks: u64) -> u32 {
    u32::try_from(ticks).unwrap_or(u32::MAX)
}
