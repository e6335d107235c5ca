//! The share of one service's openings that goes to other zones.

use super::ZoneCapacity;
use super::delays::ServiceDelays;
use super::utilization::{Demand, ZonePart};
use crate::cookie::answers::AnswerOutcome;
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
pub struct ZoneShares {
    /// For the own zone's lack of instances.
    pub for_capacity: f32,
    /// For the load that the own zone would have.
    pub for_load: f32,
    /// For requests that wait in the own zone, or are turned away.
    pub for_queue: f32,
}

impl ZoneShares {
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
    pub(super) crossing: Option<Duration>,
    /// How long flows take to open in the own one, if that is known.
    pub(super) distance: Option<Duration>,
}

impl ZoneView {
    /// The largest share for load and queues: while it isn't known what crossing costs, a few find that out.
    fn largest_share(&self) -> f32 {
        if self.crossing.is_some() {
            LARGEST_QUEUE_SHARE
        } else {
            FIRST_SHARE
        }
    }
}

/// One service, as a node sees it.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceShare {
    pub(super) name: String,
    pub(super) capacity: ZoneCapacity,
    pub(super) delays: ServiceDelays,
    shares: ZoneShares,
    paused_until: Timestamp,
    told: f32,
}

impl ServiceShare {
    pub(super) fn named(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            ..Self::default()
        }
    }

    pub(super) const fn shares(&self) -> ZoneShares {
        self.shares
    }

    pub(super) fn sampled(&mut self, now: Timestamp, is_own: bool, outcome: &AnswerOutcome) {
        self.delays.add(now, is_own, outcome);
    }

    pub(super) fn note_capacity(&mut self, capacity: ZoneCapacity, zones: usize) {
        self.capacity = capacity;
        self.shares.for_capacity = capacity.share_elsewhere(zones);
    }

    /// Adapts the shares at the end of a window.
    pub(super) fn adapt(&mut self, now: Timestamp, view: &ZoneView, part: &mut ZonePart) {
        self.delays.learn_usual(now, view.crossing);
        self.adapt_to_load(now, view, part);
        self.adapt_to_queue(now, view);
        part.learn(self.shares.for_load > 0.0, self.delays.waits(now));
    }

    /// Whether the share has changed notably since this last said so.
    pub(super) fn is_news(&mut self) -> bool {
        let share = self.shares.largest();
        let is_back = share == 0.0 && self.told != 0.0;
        let is_news = is_back || (share - self.told).abs() >= NOTABLE_CHANGE;
        if is_news {
            self.told = share;
        }
        is_news
    }

    fn adapt_to_load(&mut self, now: Timestamp, view: &ZoneView, part: &ZonePart) {
        let demand = self.delays.usual().map(|usual| Demand {
            rate: self.delays.rate(now),
            work: usual.saturating_sub(view.distance.unwrap_or_default()),
            slots: self.capacity.own_slots(),
        });
        let share = demand.map(|demand| part.share_elsewhere(&demand, view.crossing));
        self.shares.for_load = at_least(share.unwrap_or_default().min(view.largest_share()));
    }

    /// More goes elsewhere while the own zone turns requests away, or queues for longer than it takes to
    /// cross; else it comes back.
    fn adapt_to_queue(&mut self, now: Timestamp, view: &ZoneView) {
        if self.shares.for_queue > 0.0 && self.delays.others_are_no_better(now) {
            self.paused_until = now.after(PAUSE);
        }
        let refused = self.delays.own_refused(now);
        let step = refused.map(|refused| refused * REFUSED_STEP);
        let crossing = view.crossing.unwrap_or_default();
        let queue = self.delays.own_queue(now);
        let is_worth_crossing = queue.is_some_and(|queue| queue > crossing);
        let step = step.or_else(|| is_worth_crossing.then_some(SHARE_STEP));
        let share = match step {
            Some(step) if now >= self.paused_until => self.shares.for_queue + step,
            _ => self.shares.for_queue * SHARE_DECAY,
        };
        self.shares.for_queue = at_least(share.min(view.largest_share()));
    }
}

fn at_least(share: f32) -> f32 {
    if share < LEAST_SHARE { 0.0 } else { share }
}
