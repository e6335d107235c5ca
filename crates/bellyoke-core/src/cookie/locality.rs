//! Choice of the zone for a new flow.
//!
//! Flows that stay in their node's own zone are answered sooner, and their traffic costs less. The
//! own zone is therefore preferred, and a share of the openings spills to other zones: if the own
//! zone has a smaller part of the capacity than of the traffic, and, in steps, while its instances
//! answer later than a flow to another zone would be answered. Shares change in small steps;
//! otherwise nodes that decide independently would oscillate together.
//!
//! All inputs are observed by the node: the time from an opening to the next packet of its flow
//! gives the delay to a zone, the time from a request to its first acknowledgement gives processing
//! and queueing time, and incomplete openings show that a zone is failing. This module has neither
//! a clock nor a socket.

use crate::cookie::answers::AnswerSample;
use crate::cookie::placement::mix;
use crate::cookie::revision::Revision;
use crate::cookie::table::{ForwardingTable, ServiceNumber, ZoneNumber};
use crate::time::Timestamp;
use std::time::Duration;

mod capacity;
mod delays;
mod outcomes;
mod share;
mod utilization;

pub use capacity::ZoneCapacity;
use delays::DelayMean;
use outcomes::OpeningOutcomes;
pub use share::SpillShares;
use share::{ServiceSpill, ZoneView};
use utilization::TrafficEstimate;

/// Interval between two adjustments of a share. A node of a busy service sees a few dozen answers
/// in it, and it is short compared with the seconds that a surge lasts.
pub const ADJUSTMENT_INTERVAL: Duration = Duration::from_millis(250);

/// Rank of a zone for one opening, in ascending order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ZoneRank {
    /// Openings to it don't complete.
    Failing,
    /// Used only if the preferred zones have no instance of equal suitability.
    Fallback,
    /// Tried first.
    Preferred,
}

/// Ranks of all zones for one opening.
#[derive(Clone, Copy, Debug)]
pub struct ZoneRanks<'preference> {
    preference: &'preference ZonePreference,
    /// Whether the opening is sent to another zone.
    is_spilled: bool,
}

impl ZoneRanks<'_> {
    /// Returns the rank of a zone.
    #[must_use]
    pub fn of(&self, zone: ZoneNumber) -> ZoneRank {
        let Some(own) = self.preference.own else {
            return ZoneRank::Fallback;
        };
        if self.preference.outcomes.is_failing(zone) {
            return ZoneRank::Failing;
        }
        if self.is_spilled == (zone == own) {
            ZoneRank::Fallback
        } else {
            ZoneRank::Preferred
        }
    }
}

/// Number of openings by the zone that they were sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZonePlacements {
    /// To the node's own zone.
    pub own: u64,
    /// To other zones, or to any zone while the own one is unknown.
    pub other: u64,
}

/// Notable change of the spill shares of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct SpillChange {
    /// The service.
    pub service: ServiceNumber,
    /// Shares of its openings that are sent to other zones.
    pub shares: SpillShares,
    /// Recent mean time from request to answer in the own zone, if known.
    pub own_delay: Option<Duration>,
    /// Recent mean time from request to answer in other zones, if known.
    pub other_delay: Option<Duration>,
    /// How much longer flows take to open in other zones, if known.
    pub crossing_delay: Option<Duration>,
}

/// Choice of zones of one traffic thread.
///
/// ```
/// use bellyoke_core::cookie::locality::{ZonePreference, ZoneRank};
/// use bellyoke_core::cookie::table::{ServiceNumber, ZoneNumber};
///
/// let unknown = ZonePreference::new("");
/// let ranks = unknown.ranks(ServiceNumber(0), 7);
/// assert_eq!(ranks.of(ZoneNumber(0)), ZoneRank::Fallback, "no zone is preferred");
/// ```
#[derive(Clone, Debug)]
pub struct ZonePreference {
    /// Name of the node's own zone; empty if no zone is preferred.
    own_name: String,
    own: Option<ZoneNumber>,
    zones: Vec<String>,
    services: Vec<ServiceSpill>,
    /// Time from an opening to the next packet of its flow, by zone.
    opening_delays: Vec<DelayMean>,
    outcomes: OpeningOutcomes,
    traffic: TrafficEstimate,
    node_count: f32,
    /// Revisions of the table whose zone and service numbers are in use.
    adopted: Option<(Revision, Revision)>,
    placements: ZonePlacements,
    next_adjustment_at: Timestamp,
}

impl ZonePreference {
    /// Creates a preference for the zone of this name, or for no zone if the name is empty.
    #[must_use]
    pub fn new(own_name: &str) -> Self {
        Self {
            own_name: own_name.to_owned(),
            own: None,
            zones: Vec::new(),
            services: Vec::new(),
            opening_delays: Vec::new(),
            outcomes: OpeningOutcomes::default(),
            traffic: TrafficEstimate::default(),
            node_count: 0.0,
            adopted: None,
            placements: ZonePlacements::default(),
            next_adjustment_at: Timestamp::ZERO,
        }
    }

    /// Adopts the zone and service numbers of a table. Statistics of services that it still
    /// contains are kept, and those of zones unless the list of zones has changed.
    pub fn adopt(&mut self, table: &ForwardingTable) {
        let revisions = (table.configuration_revision(), table.directory_revision());
        if self.own_name.is_empty() || self.adopted == Some(revisions) {
            return;
        }
        self.adopted = Some(revisions);
        if self.zones != table.zones() {
            self.zones = table.zones().to_vec();
            self.own = self.number_of(&self.own_name);
            self.opening_delays = vec![DelayMean::default(); self.zones.len()];
            self.outcomes = OpeningOutcomes::new(self.zones.len());
        }
        let names = table.services();
        let known = self.services.iter().map(|service| &service.name);
        if !known.eq(names) {
            self.services = names.iter().map(|name| self.service_spill(name)).collect();
        }
    }

    /// Sets the approximate number of nodes; zero if unknown.
    pub fn set_node_count(&mut self, nodes: u64) {
        self.node_count = nodes as f32;
    }

    /// Returns the node's own zone; `None` if it has no instances.
    #[must_use]
    pub const fn own(&self) -> Option<ZoneNumber> {
        self.own
    }

    /// Returns the ranks of the zones for an opening of a service. They are the same for all copies
    /// of an opening.
    #[must_use]
    pub fn ranks(&self, service: ServiceNumber, flow_hash: u64) -> ZoneRanks<'_> {
        ZoneRanks {
            preference: self,
            is_spilled: draw(flow_hash) < self.spill_shares(service).largest(),
        }
    }

    /// Returns the number of openings so far.
    #[must_use]
    pub const fn placements(&self) -> ZonePlacements {
        self.placements
    }

    /// Returns the shares of a service's openings that are sent to other zones.
    #[must_use]
    pub fn spill_shares(&self, service: ServiceNumber) -> SpillShares {
        let service = self.services.get(service.0 as usize);
        service.map_or_else(SpillShares::default, ServiceSpill::shares)
    }

    /// Records that an opening of a service is sent to a zone. `capacity` counts the instances that
    /// it could have been sent to.
    pub fn record_placement(
        &mut self,
        now: Timestamp,
        service: ServiceNumber,
        flow_hash: u64,
        zone: ZoneNumber,
        capacity: ZoneCapacity,
    ) {
        self.outcomes.record_opening(now, flow_hash, zone);
        if self.own == Some(zone) {
            self.placements.own += 1;
        } else {
            self.placements.other += 1;
        }
        let zones = self.zones.len();
        if let Some(service) = self.services.get_mut(service.0 as usize) {
            service.delays.record_opened(now);
            service.record_capacity(capacity, zones);
        }
    }

    /// Records that an opening to a zone has completed after `after`.
    pub fn record_opened(
        &mut self,
        now: Timestamp,
        flow_hash: u64,
        zone: ZoneNumber,
        after: Duration,
    ) {
        self.outcomes.record_opened(now, flow_hash, zone, after);
        if let Some(delay) = self.opening_delays.get_mut(usize::from(zone.0)) {
            delay.add(now, after);
        }
    }

    /// Records the outcome of a request in a zone.
    pub fn record_sample(&mut self, now: Timestamp, zone: ZoneNumber, sample: &AnswerSample) {
        let is_own = self.own == Some(zone);
        if let Some(service) = self.services.get_mut(sample.service.0 as usize) {
            service.record_sample(now, is_own, &sample.outcome);
        }
    }

    /// Adjusts the shares once per [`ADJUSTMENT_INTERVAL`] and returns notable changes.
    pub fn review(&mut self, now: Timestamp) -> Vec<SpillChange> {
        let mut changes = Vec::new();
        let Some(own) = self.own else {
            return changes;
        };
        if now < self.next_adjustment_at {
            return changes;
        }
        self.next_adjustment_at = now.after(ADJUSTMENT_INTERVAL);
        self.review_failing_zones(now);
        let view = self.view(own);
        self.traffic.set_counts(self.node_count, view.zones);
        for (number, service) in self.services.iter_mut().enumerate() {
            service.adjust(now, &view, &mut self.traffic);
            if service.take_notable_change() {
                changes.push(SpillChange {
                    service: ServiceNumber(u32::try_from(number).unwrap_or(u32::MAX)),
                    shares: service.shares(),
                    own_delay: service.delays.own(now),
                    other_delay: service.delays.others(now),
                    crossing_delay: view.crossing_delay,
                });
            }
        }
        self.traffic.decay_correction();
        changes
    }

    /// Determines which zones are failing. Called before each opening, because all openings to a
    /// failed zone are lost.
    pub fn review_failing_zones(&mut self, now: Timestamp) {
        let opening_delays = &self.opening_delays;
        let typical_delay =
            |zone: ZoneNumber| opening_delays.get(usize::from(zone.0))?.last_known();
        self.outcomes.review(now, typical_delay);
    }

    /// Discards pending openings after the process was stalled: they are no evidence against a
    /// zone.
    pub fn reset_after_stall(&mut self) {
        self.outcomes.reset_after_stall();
    }

    fn view(&self, own: ZoneNumber) -> ZoneView {
        let own_opening_delay = self.opening_delays.get(usize::from(own.0));
        let own_opening_delay = own_opening_delay.and_then(|delay| delay.last_known());
        ZoneView {
            zones: self.zones.len(),
            crossing_delay: self.crossing_delay(own, own_opening_delay),
            opening_delay: own_opening_delay,
        }
    }

    /// Returns how much longer flows take to open in other zones than in the own one, which is
    /// about twice the one-way delay. Known once some have opened there.
    fn crossing_delay(
        &self,
        own: ZoneNumber,
        own_opening_delay: Option<Duration>,
    ) -> Option<Duration> {
        let others = self.opening_delays.iter().enumerate();
        let others = others.filter(|(index, _)| *index != usize::from(own.0));
        let nearest = others.filter_map(|(_, delay)| delay.last_known()).min()?;
        Some(nearest.saturating_sub(own_opening_delay?))
    }

    fn number_of(&self, name: &str) -> Option<ZoneNumber> {
        let number = self.zones.iter().position(|zone| zone == name)?;
        u16::try_from(number).ok().map(ZoneNumber)
    }

    fn service_spill(&self, name: &str) -> ServiceSpill {
        let known = self.services.iter().find(|service| service.name == name);
        known.cloned().unwrap_or_else(|| ServiceSpill::named(name))
    }
}

/// Maps a flow to a number from 0 to 1, independent of the ranking of instances.
fn draw(flow_hash: u64) -> f32 {
    const DRAW_SALT: u64 = 0xd1b5_4a32_d192_ed03;
    const STEPS: u64 = 1 << 16;
    (mix(flow_hash ^ DRAW_SALT) % STEPS) as f32 / STEPS as f32
}

/// Returns the ratio of the largest load to the mean load; 1 if there is no load.
pub fn imbalance(loads: impl Iterator<Item = f32>) -> f32 {
    let (mut largest, mut sum, mut count) = (0.0_f32, 0.0, 0.0);
    for load in loads {
        largest = largest.max(load);
        sum += load;
        count += 1.0;
    }
    if sum > 0.0 {
        largest * count / sum
    } else {
        1.0
    }
}
