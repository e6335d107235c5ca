//! Detects that the process was stalled (suspended or not scheduled).
//!
//! After a stall, a node finds openings in its socket that clients sent long ago. The clients have
//! since opened those flows elsewhere. Forwarding a late opening would cause a second answer, whose
//! cookie moves the open flow to another instance. So openings that were queued during a stall are
//! dropped; clients that still wait send copies.

use crate::time::Timestamp;
use std::time::Duration;

/// Gap between two ticks of the control thread above which the process counts as stalled. Ticks
/// come every 100 ms; a busy or slowed node is late by less.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(600);

/// Detects stalls by the ticks of one thread.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallDetector {
    last: Option<Timestamp>,
}

impl StallDetector {
    /// Creates a detector without any tick.
    #[must_use]
    pub const fn new() -> Self {
        Self { last: None }
    }

    /// Returns whether a tick is overdue, which means that the process was stalled until just now.
    #[must_use]
    pub fn is_overdue(&self, now: Timestamp) -> bool {
        self.last
            .is_some_and(|last| now.since(last) > STALL_THRESHOLD)
    }

    /// Records a tick. Returns the duration of the stall that it ends, if there was one.
    pub fn tick(&mut self, now: Timestamp) -> Option<Duration> {
        let last = self.last.replace(now)?;
        let gap = now.since(last);
        (gap > STALL_THRESHOLD).then_some(gap)
    }
}

/// State of the control thread's ticks, shared with the traffic threads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TickReport {
    /// Time of the last tick.
    pub last: Timestamp,
    /// Number of stalls since the start.
    pub stalls: u64,
}

/// Detects packets that may have been queued in a socket during a stall.
#[derive(Clone, Copy, Debug, Default)]
pub struct BacklogGuard {
    stalls_seen: u64,
    in_backlog: bool,
}

impl BacklogGuard {
    /// Returns whether a packet that was read at `now` may have been queued during a stall.
    /// Whichever thread runs first after the stall, it is detected: by the overdue tick or by the
    /// number of stalls.
    pub fn may_have_waited(&mut self, now: Timestamp, ticks: TickReport) -> bool {
        let tick_missing = now.since(ticks.last) > STALL_THRESHOLD;
        if tick_missing || ticks.stalls != self.stalls_seen {
            self.stalls_seen = ticks.stalls;
            self.in_backlog = true;
        }
        self.in_backlog
    }

    /// Records that the socket was empty: packets read from now on are not from a stall.
    pub const fn emptied(&mut self) {
        self.in_backlog = false;
    }
}
