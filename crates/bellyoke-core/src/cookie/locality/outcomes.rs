//! In which zones openings come to nothing.
//!
//! A zone that has gone fails each opening, and clients whose tries are refused at once have used them up within
//! milliseconds. So a zone loses as soon as a few openings in a row are overdue, long before each is given up.

use crate::cookie::table::ZoneNumber;
use crate::time::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Openings in a row that don't complete in a zone that loses. Where a fifth of the instances is dead, as many are
/// overdue in a row once in a hundred times.
const LOSING_RUN: usize = 3;

/// How long an opening that didn't complete speaks against its zone; then the zone is tried again.
const MEMORY: Duration = Duration::from_secs(2);

/// Openings remembered that haven't completed.
const MAXIMUM_PENDING: usize = 64;

/// An opening is overdue after so many times what openings in its zone usually take.
const PATIENCE_FACTOR: u32 = 4;

/// Bounds of that: a wait for the processor, and what clients take for lost.
const PATIENCE_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_millis(150));

#[derive(Clone, Copy, Debug)]
struct PendingOpening {
    flow_hash: u64,
    sent_at: Timestamp,
    zone: ZoneNumber,
}

#[derive(Clone, Copy, Debug, Default)]
struct ZoneOutcome {
    /// When the last opening that completed was sent.
    completed: Timestamp,
    is_failing: bool,
}

/// What came of openings, by zone.
#[derive(Clone, Debug, Default)]
pub(super) struct OpeningOutcomes {
    pending: VecDeque<PendingOpening>,
    zones: Vec<ZoneOutcome>,
}

impl OpeningOutcomes {
    pub(super) fn new(zones: usize) -> Self {
        Self {
            pending: VecDeque::new(),
            zones: vec![ZoneOutcome::default(); zones],
        }
    }

    /// An opening is sent to a zone.
    pub(super) fn record_opening(&mut self, now: Timestamp, flow_hash: u64, zone: ZoneNumber) {
        if self.pending.len() >= MAXIMUM_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingOpening {
            flow_hash,
            sent_at: now,
            zone,
        });
    }

    /// An opening in a zone completed after so long.
    pub(super) fn record_opened(
        &mut self,
        now: Timestamp,
        flow_hash: u64,
        zone: ZoneNumber,
        after: Duration,
    ) {
        self.pending
            .retain(|opening| opening.flow_hash != flow_hash);
        if let Some(outcome) = self.zones.get_mut(usize::from(zone.0)) {
            outcome.completed = outcome.completed.max(now.before(after));
        }
    }

    /// The process stood still: openings under way prove nothing.
    pub(super) fn reset_after_stall(&mut self) {
        self.pending.clear();
    }

    pub(super) fn is_failing(&self, zone: ZoneNumber) -> bool {
        let outcome = self.zones.get(usize::from(zone.0));
        outcome.is_some_and(|outcome| outcome.is_failing)
    }

    /// Judges all zones; `usual` tells how long openings in one take.
    pub(super) fn review(
        &mut self,
        now: Timestamp,
        usual: impl Fn(ZoneNumber) -> Option<Duration>,
    ) {
        let is_old = |opening: &PendingOpening| now.since(opening.sent_at) >= MEMORY;
        while self.pending.front().is_some_and(is_old) {
            self.pending.pop_front();
        }
        for (number, outcome) in self.zones.iter_mut().enumerate() {
            let zone = ZoneNumber(u16::try_from(number).unwrap_or(u16::MAX));
            let timeout = overdue_timeout(usual(zone));
            let overdue = self.pending.iter().filter(|opening| {
                opening.zone == zone
                    && opening.sent_at > outcome.completed
                    && now.since(opening.sent_at) >= timeout
            });
            outcome.is_failing = overdue.count() >= LOSING_RUN;
        }
    }
}

fn overdue_timeout(usual: Option<Duration>) -> Duration {
    let (least, most) = PATIENCE_BOUNDS;
    usual.map_or(most, |usual| (usual * PATIENCE_FACTOR).clamp(least, most))
}
