//! Time in flow records: coarse, so that a record stays small.

use crate::time::Timestamp;
use std::time::Duration;

/// Microseconds in a tick: 1/16 s, so that 32 bits last for eight years.
const TICK_MICROSECONDS: u64 = 62_500;

/// A point in time, in whole ticks since the start of the clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Tick(u32);

/// A length of time in ticks, rounded up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TickSpan(u32);

impl Tick {
    /// The tick that `time` lies in.
    pub(crate) fn at(time: Timestamp) -> Self {
        Self(saturate(time.as_micros() / TICK_MICROSECONDS))
    }

    /// The time at which this tick has surely passed.
    pub(crate) fn end(self) -> Timestamp {
        Timestamp::from_micros((u64::from(self.0) + 1) * TICK_MICROSECONDS)
    }

    /// This tick plus `span`, saturating.
    pub(crate) fn saturating_add(self, span: TickSpan) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    /// Whether surely more than `span` has passed since `earlier`.
    pub(crate) fn is_later_than(self, earlier: Self, span: TickSpan) -> bool {
        self.0.saturating_sub(earlier.0) > span.0
    }
}

impl TickSpan {
    /// At least `duration`.
    pub(crate) fn from_duration(duration: Duration) -> Self {
        let microseconds = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(saturate(microseconds.div_ceil(TICK_MICROSECONDS)))
    }
}

fn saturate(ticks: u64) -> u32 {
    u32::try_from(ticks).unwrap_or(u32::MAX)
}
