//! Share of one service's openings that spills to other zones.

use super::ZoneCapacity;
use super::delays::ServiceDelays;
use super::utilization::{Demand, TrafficEstimate};
use crate::cookie::answers::AnswerOutcome;
use crate::time::Timestamp;
use std::time::Duration;

/// Increase of the queue share in a window in which the own zone queues notably.
const QUEUE_SHARE_STEP: f32 = 0.05;

/// Increase of the queue share in a window in which the own zone fails requests, per unit of the
/// failed share.
const FAILED_SHARE_STEP: f32 = 0.25;

/// Factor to the queue share in a window in which the own zone doesn't queue. Halves the share in
/// 1.5 s.
const QUEUE_SHARE_DECAY: f32 = 0.9;

/// Share below which nothing spills: it would be less than one flow per window.
const MINIMUM_SHARE: f32 = 0.02;

/// Maximum share for load and queues. The rest of the flows shows when the queue has drained.
const MAXIMUM_SHARE: f32 = 0.9;

/// Maximum share for load and queues while the crossing delay is unknown.
const MAXIMUM_INITIAL_SHARE: f32 = 0.25;

/// How long the queue share isn't increased after other zones have answered no sooner.
const INCREASE_PAUSE: Duration = Duration::from_secs(4);

/// Change since the last reported share from which a share is reported again.
const REPORTED_SHARE_CHANGE: f32 = 0.1;

/// Shares of openings that are sent to other zones, by cause. The largest one applies.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpillShares {
    /// Because the own zone lacks capacity.
    pub for_capacity: f32,
    /// Because of the estimated load of the own zone.
    pub for_load: f32,
    /// Because requests in the own zone queue, are rejected or get no answer.
    pub for_queue: f32,
}

impl SpillShares {
    /// Returns the share that is sent to other zones.
    #[must_use]
    pub fn largest(&self) -> f32 {
        self.for_capacity.max(self.for_load).max(self.for_queue)
    }
}

/// Figures that are common to all services of a node.
#[derive(Clone, Copy, Debug)]
pub(super) struct ZoneView {
    /// Number of zones.
    pub(super) zones: usize,
    /// How much longer flows take to open in other zones, if known.
    pub(super) crossing_delay: Option<Duration>,
    /// How long flows take to open in the own zone, if known.
    pub(super) opening_delay: Option<Duration>,
}

impl ZoneView {
    /// Returns the maximum share for load and queues. While the crossing delay is unknown, a small
    /// share is enough to measure it.
    fn maximum_share(&self) -> f32 {
        if self.crossing_delay.is_some() {
            MAXIMUM_SHARE
        } else {
            MAXIMUM_INITIAL_SHARE
        }
    }
}

/// Spill shares of one service on a node.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceSpill {
    pub(super) name: String,
    pub(super) capacity: ZoneCapacity,
    pub(super) delays: ServiceDelays,
    shares: SpillShares,
    paused_until: Timestamp,
    reported: f32,
}

impl ServiceSpill {
    pub(super) fn named(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            ..Self::default()
        }
    }

    pub(super) const fn shares(&self) -> SpillShares {
        self.shares
    }

    pub(super) fn record_sample(&mut self, now: Timestamp, is_own: bool, fate: &AnswerOutcome) {
        self.delays.add(now, is_own, fate);
    }

    pub(super) fn record_capacity(&mut self, capacity: ZoneCapacity, zones: usize) {
        self.capacity = capacity;
        self.shares.for_capacity = capacity.spill_share(zones);
    }

    /// Adjusts the shares at the end of a window.
    pub(super) fn adjust(
        &mut self,
        now: Timestamp,
        view: &ZoneView,
        traffic: &mut TrafficEstimate,
    ) {
        self.delays.learn_baseline(now, view.crossing_delay);
        self.adjust_to_load(now, view, traffic);
        self.adjust_to_queue(now, view);
        traffic.learn(self.shares.for_load > 0.0, self.delays.is_queueing(now));
    }

    /// Returns whether the share has changed notably since it was last reported, and if so records
    /// it as reported.
    pub(super) fn take_notable_change(&mut self) -> bool {
        let share = self.shares.largest();
        let has_ended = share == 0.0 && self.reported != 0.0;
        let is_notable = has_ended || (share - self.reported).abs() >= REPORTED_SHARE_CHANGE;
        if is_notable {
            self.reported = share;
        }
        is_notable
    }

    fn adjust_to_load(&mut self, now: Timestamp, view: &ZoneView, traffic: &TrafficEstimate) {
        let demand = self.delays.baseline().map(|baseline| Demand {
            rate: self.delays.request_rate(now),
            work: baseline.saturating_sub(view.opening_delay.unwrap_or_default()),
            slots: self.capacity.own_slots(),
        });
        let share = demand.map(|demand| traffic.spill_share(&demand, view.crossing_delay));
        self.shares.for_load =
            zero_if_negligible(share.unwrap_or_default().min(view.maximum_share()));
    }

    /// Increases the queue share while the own zone fails requests or queues for longer than the
    /// crossing delay; otherwise decreases it.
    fn adjust_to_queue(&mut self, now: Timestamp, view: &ZoneView) {
        if self.shares.for_queue > 0.0 && self.delays.others_are_no_better(now) {
            self.paused_until = now.after(INCREASE_PAUSE);
        }
        let failed = self.delays.own_failed_share(now);
        let step = failed.map(|failed| failed * FAILED_SHARE_STEP);
        let crossing_delay = view.crossing_delay.unwrap_or_default();
        let queueing_delay = self.delays.own_queueing_delay(now);
        let is_worth_crossing =
            queueing_delay.is_some_and(|queueing_delay| queueing_delay > crossing_delay);
        let step = step.or_else(|| is_worth_crossing.then_some(QUEUE_SHARE_STEP));
        let share = match step {
            Some(step) if now >= self.paused_until => self.shares.for_queue + step,
            _ => self.shares.for_queue * QUEUE_SHARE_DECAY,
        };
        self.shares.for_queue = zero_if_negligible(share.min(view.maximum_share()));
    }
}

fn zero_if_negligible(share: f32) -> f32 {
    if share < MINIMUM_SHARE { 0.0 } else { share }
}
