//! Noticing that the process stood still.
//!
//! A node that was frozen finds openings in its socket that clients sent long ago. The clients
//! have since opened those flows elsewhere; a late opening would win them a second answer, whose
//! cookie takes the open flow to another instance. So openings that queued up while the process
//! stood still are dropped; clients that still wait send copies.

use crate::time::Timestamp;
use std::time::Duration;

/// A gap between two ticks of the control thread that means that the process stood still.
/// Ticks come every 100 ms; a busy or slowed node is late by less.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(600);

/// Compares the ticks of one thread.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallDetector {
    last: Option<Timestamp>,
}

impl StallDetector {
    /// A thread that has not ticked yet.
    #[must_use]
    pub const fn new() -> Self {
        Self { last: None }
    }

    /// Whether a tick is missing: the process stood still until just now.
    #[must_use]
    pub fn is_overdue(&self, now: Timestamp) -> bool {
        self.last
            .is_some_and(|last| now.since(last) > STALL_THRESHOLD)
    }

    /// A tick. Returns how long the process stood still, if it did.
    pub fn tick(&mut self, now: Timestamp) -> Option<Duration> {
        let last = self.last.replace(now)?;
        let gap = now.since(last);
        (gap > STALL_THRESHOLD).then_some(gap)
    }
}

/// What the control thread tells the traffic threads of its ticks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TickReport {
    /// The last tick.
    pub last: Timestamp,
    /// Stalls seen since the start.
    pub stalls: u64,
}

/// Decides whether the packets in a socket may have waited through a stall.
#[derive(Clone, Copy, Debug, Default)]
pub struct BacklogGuard {
    stalls_seen: u64,
    in_backlog: bool,
}

impl BacklogGuard {
    /// A packet was read at `now`. Returns whether it may have waited through a stall. Whichever
    /// thread runs first after the stall, it is noticed: by the missing tick or by the count.
    pub fn may_have_waited(&mut self, now: Timestamp, ticks: TickReport) -> bool {
        let tick_missing = now.since(ticks.last) > STALL_THRESHOLD;
        if tick_missing || ticks.stalls != self.stalls_seen {
            self.stalls_seen = ticks.stalls;
            self.in_backlog = true;
        }
        self.in_backlog
    }

    /// The socket was found empty: whatever comes now is fresh.
    pub const fn emptied(&mut self) {
        self.in_backlog = false;
    }
}
