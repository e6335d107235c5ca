//! Detection of zones in which openings don't complete.
//!
//! Every opening to a failed zone is lost, and clients that are refused at once use up their tries
//! within milliseconds. A zone is therefore considered failing as soon as a few consecutive
//! openings are overdue, long before each of them is given up.

use crate::cookie::table::ZoneNumber;
use crate::time::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of consecutive overdue openings from which a zone is failing. If a fifth of the instances
/// is dead, this occurs by chance in 1 % of the cases.
const FAILING_OVERDUE_OPENINGS: usize = 3;

/// How long an incomplete opening counts against its zone. After that the zone is tried again.
const PENDING_LIFETIME: Duration = Duration::from_secs(2);

/// Maximum number of incomplete openings that are stored.
const MAXIMUM_PENDING_OPENINGS: usize = 64;

/// Multiple of the typical opening time of a zone after which an opening is overdue.
const OVERDUE_FACTOR: u32 = 4;

/// Bounds of the time after which an opening is overdue: the delay of a wait for the processor, and
/// the time after which clients consider an opening lost.
const OVERDUE_TIMEOUT_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_millis(150));

#[derive(Clone, Copy, Debug)]
struct PendingOpening {
    flow_hash: u64,
    sent_at: Timestamp,
    zone: ZoneNumber,
}

#[derive(Clone, Copy, Debug, Default)]
struct ZoneOutcome {
    /// When the latest opening that completed was sent.
    completed_sent_at: Timestamp,
    is_failing: bool,
}

/// Completed and pending openings by zone.
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

    /// Records that an opening is sent to a zone.
    pub(super) fn record_opening(&mut self, now: Timestamp, flow_hash: u64, zone: ZoneNumber) {
        if self.pending.len() >= MAXIMUM_PENDING_OPENINGS {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingOpening {
            flow_hash,
            sent_at: now,
            zone,
        });
    }

    /// Records that an opening to a zone has completed after `after`.
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
            outcome.completed_sent_at = outcome.completed_sent_at.max(now.before(after));
        }
    }

    /// Discards pending openings after the process was stalled: they are no evidence against a
    /// zone.
    pub(super) fn reset_after_stall(&mut self) {
        self.pending.clear();
    }

    pub(super) fn is_failing(&self, zone: ZoneNumber) -> bool {
        let outcome = self.zones.get(usize::from(zone.0));
        outcome.is_some_and(|outcome| outcome.is_failing)
    }

    /// Determines which zones are failing; `typical_delay` returns the opening time of a zone.
    pub(super) fn review(
        &mut self,
        now: Timestamp,
        typical_delay: impl Fn(ZoneNumber) -> Option<Duration>,
    ) {
        let is_old = |opening: &PendingOpening| now.since(opening.sent_at) >= PENDING_LIFETIME;
        while self.pending.front().is_some_and(is_old) {
            self.pending.pop_front();
        }
        for (number, outcome) in self.zones.iter_mut().enumerate() {
            let zone = ZoneNumber(u16::try_from(number).unwrap_or(u16::MAX));
            let timeout = overdue_timeout(typical_delay(zone));
            let overdue = self.pending.iter().filter(|opening| {
                opening.zone == zone
                    && opening.sent_at > outcome.completed_sent_at
                    && now.since(opening.sent_at) >= timeout
            });
            outcome.is_failing = overdue.count() >= FAILING_OVERDUE_OPENINGS;
        }
    }
}

fn overdue_timeout(typical: Option<Duration>) -> Duration {
    let (minimum, maximum) = OVERDUE_TIMEOUT_BOUNDS;
    typical.map_or(maximum, |typical| {
        (typical * OVERDUE_FACTOR).clamp(minimum, maximum)
    })
}
