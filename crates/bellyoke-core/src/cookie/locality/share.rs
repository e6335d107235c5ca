//! The share of one service's openings that goes to other zones.

use super::ZoneCapacity;
use super::delays::ServiceDelays;
use super::utilization::{Demand, TrafficEstimate};
use crate::cookie::answers::AnswerFate;
use crate::time::Timestamp;
use std::time::Duration;

/// What is added to the share for queues in a window in which the own zone queues.
const SHARE_STEP: f32 = 0.05;

/// What is added in a window in which the own zone turns requests away, for each unit of their share.
const REFUSED_STEP: f32 = 0.25;

/// Factor to the share in a window in which the own zone doesn't queue: half of it is back in a second and
/// a half.
const SHARE_DECAY: f32 = 0.9;

/// A share below this is none: it would be less than a flow in a window.
const LEAST_SHARE: f32 = 0.02;

/// The share that answers queues, at most: the rest stays to tell when the queue is over.
const LARGEST_QUEUE_SHARE: f32 = 0.9;

/// The same before any opening went to another zone.
const FIRST_SHARE: f32 = 0.25;

/// How long a node leaves the share alone after other zones turned out to answer no sooner.
const PAUSE: Duration = Duration::from_secs(4);

/// A share that moved by so much since it was last told is told again.
const NOTABLE_CHANGE: f32 = 0.1;

/// The shares of openings that are sent elsewhere, by cause. The largest counts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpillShares {
    /// For the own zone's lack of instances.
    pub for_capacity: f32,
    /// For the load that the own zone would have.
    pub for_load: f32,
    /// For requests that wait in the own zone, or are turned away.
    pub for_queue: f32,
}

impl SpillShares {
    /// The share that is sent elsewhere.
    #[must_use]
    pub fn largest(&self) -> f32 {
        self.for_capacity.max(self.for_load).max(self.for_queue)
    }
}

/// What all services of a node share.
#[derive(Clone, Copy, Debug)]
pub(super) struct ZoneView {
    /// How many zones there are.
    pub(super) zones: usize,
    /// How much later flows open in other zones, if that is known.
    pub(super) crossing_delay: Option<Duration>,
    /// How long flows take to open in the own one, if that is known.
    pub(super) opening_delay: Option<Duration>,
}

impl ZoneView {
    /// The largest share for load and queues: while it isn't known what crossing costs, a few find that out.
    fn largest_share(&self) -> f32 {
        if self.crossing_delay.is_some() {
            LARGEST_QUEUE_SHARE
        } else {
            FIRST_SHARE
        }
    }
}

/// One service, as a node sees it.
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

    pub(super) fn record_sample(&mut self, now: Timestamp, is_own: bool, fate: &AnswerFate) {
        self.delays.add(now, is_own, fate);
    }

    pub(super) fn record_capacity(&mut self, capacity: ZoneCapacity, zones: usize) {
        self.capacity = capacity;
        self.shares.for_capacity = capacity.spill_share(zones);
    }

    /// Adapts the shares at the end of a window.
    pub(super) fn adapt(&mut self, now: Timestamp, view: &ZoneView, traffic: &mut TrafficEstimate) {
        self.delays.learn_baseline(now, view.crossing_delay);
        self.adapt_to_load(now, view, traffic);
        self.adapt_to_queue(now, view);
        traffic.learn(self.shares.for_load > 0.0, self.delays.is_queueing(now));
    }

    /// Whether the share has changed notably since this last said so.
    pub(super) fn take_notable_change(&mut self) -> bool {
        let share = self.shares.largest();
        let is_back = share == 0.0 && self.reported != 0.0;
        let is_news = is_back || (share - self.reported).abs() >= NOTABLE_CHANGE;
        if is_news {
            self.reported = share;
        }
        is_news
    }

    fn adapt_to_load(&mut self, now: Timestamp, view: &ZoneView, traffic: &TrafficEstimate) {
        let demand = self.delays.baseline().map(|usual| Demand {
            rate: self.delays.request_rate(now),
            work: usual.saturating_sub(view.opening_delay.unwrap_or_default()),
            slots: self.capacity.own_slots(),
        });
        let share = demand.map(|demand| traffic.spill_share(&demand, view.crossing_delay));
        self.shares.for_load =
            zero_if_negligible(share.unwrap_or_default().min(view.largest_share()));
    }

    /// More goes elsewhere while the own zone turns requests away, or queues for longer than it takes to
    /// cross; else it comes back.
    fn adapt_to_queue(&mut self, now: Timestamp, view: &ZoneView) {
        if self.shares.for_queue > 0.0 && self.delays.others_are_no_better(now) {
            self.paused_until = now.after(PAUSE);
        }
        let refused = self.delays.own_rejected(now);
        let step = refused.map(|refused| refused * REFUSED_STEP);
        let crossing = view.crossing_delay.unwrap_or_default();
        let queue = self.delays.own_queueing_delay(now);
        let is_worth_crossing = queue.is_some_and(|queue| queue > crossing);
        let step = step.or_else(|| is_worth_crossing.then_some(SHARE_STEP));
        let share = match step {
            Some(step) if now >= self.paused_until => self.shares.for_queue + step,
            _ => self.shares.for_queue * SHARE_DECAY,
        };
        self.shares.for_queue = zero_if_negligible(share.min(view.largest_share()));
    }
}

fn zero_if_negligible(share: f32) -> f32 {
    if share < LEAST_SHARE { 0.0 } else { share }
}
