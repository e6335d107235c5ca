//! Which zone goes first for a new flow.
//!
//! A flow that stays in its node's own zone is answered sooner, and its bytes cost less. So the own zone goes
//! first, and a share of the openings goes elsewhere: as much as its part in what instances can take is
//! smaller than its part in the traffic, and, step by step, as long as its instances answer later than it
//! costs to cross. Shares change little at a time, so nodes that decide apart don't swing together.
//!
//! What is known of zones is observed: the time from an opening to the next packet of its flow tells the
//! distance, that from a request to its first acknowledgement work and queue, and openings that come to nothing
//! a zone that loses. Nothing here has a clock or a socket.

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
pub use share::ZoneShares;
use share::{ServiceShare, ZoneView};
use utilization::ZonePart;

/// Time between two changes of a share. Long enough that some dozen requests of a node of a busy service
/// are answered in it, short against the seconds that a surge lasts.
pub const WINDOW: Duration = Duration::from_millis(250);

/// How a zone ranks for one opening. The order is that of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ZoneRank {
    /// Openings in it come to nothing.
    Losing,
    /// Only if the first has nothing as suitable.
    Second,
    /// It is tried first.
    First,
}

/// How all zones rank for one opening.
#[derive(Clone, Copy, Debug)]
pub struct ZoneRanks<'preference> {
    preference: &'preference ZonePreference,
    /// Whether the opening is sent to other zones.
    is_sent_away: bool,
}

impl ZoneRanks<'_> {
    /// The rank of one zone.
    #[must_use]
    pub fn of(&self, zone: ZoneNumber) -> ZoneRank {
        let Some(own) = self.preference.own else {
            return ZoneRank::Second;
        };
        if self.preference.outcomes.is_losing(zone) {
            return ZoneRank::Losing;
        }
        if self.is_sent_away == (zone == own) {
            ZoneRank::Second
        } else {
            ZoneRank::First
        }
    }
}

/// Openings by the zone that they were sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZonePlacements {
    /// The node's own zone.
    pub own: u64,
    /// Other zones, or any while the own one isn't known.
    pub other: u64,
}

/// Shares that changed notably.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// The service.
    pub service: ServiceNumber,
    /// Shares of its openings that are sent to other zones.
    pub shares: ZoneShares,
    /// From request to answer in the own zone of late, if that is known.
    pub own_delay: Option<Duration>,
    /// The same in other zones.
    pub other_delay: Option<Duration>,
    /// How much later flows open in other zones, if that is known.
    pub crossing: Option<Duration>,
}

/// One traffic thread's choice of zones.
///
/// ```
/// use bellyoke_core::cookie::locality::{ZonePreference, ZoneRank};
/// use bellyoke_core::cookie::table::{ServiceNumber, ZoneNumber};
///
/// let unknown = ZonePreference::new("");
/// let ranks = unknown.ranks(ServiceNumber(0), 7);
/// assert_eq!(ranks.of(ZoneNumber(0)), ZoneRank::Second, "all zones are alike");
/// ```
#[derive(Clone, Debug)]
pub struct ZonePreference {
    /// Name of the node's own zone; empty if all zones are alike.
    own_name: String,
    own: Option<ZoneNumber>,
    zones: Vec<String>,
    services: Vec<ServiceShare>,
    /// From an opening to the next packet of its flow, by zone.
    distances: Vec<DelayMean>,
    outcomes: OpeningOutcomes,
    part: ZonePart,
    nodes: f32,
    /// Revisions of the table whose numbers are used.
    adopted: Option<(Revision, Revision)>,
    placements: ZonePlacements,
    window_ends: Timestamp,
}

impl ZonePreference {
    /// Prefers the zone of this name. With an empty one all zones are alike.
    #[must_use]
    pub fn new(own_name: &str) -> Self {
        Self {
            own_name: own_name.to_owned(),
            own: None,
            zones: Vec::new(),
            services: Vec::new(),
            distances: Vec::new(),
            outcomes: OpeningOutcomes::default(),
            part: ZonePart::default(),
            nodes: 0.0,
            adopted: None,
            placements: ZonePlacements::default(),
            window_ends: Timestamp::ZERO,
        }
    }

    /// Takes over the numbers of a table's zones and services. What is known of those that are still there
    /// is kept.
    pub fn adopt(&mut self, table: &ForwardingTable) {
        let revisions = (table.configuration_revision(), table.directory_revision());
        if self.own_name.is_empty() || self.adopted == Some(revisions) {
            return;
        }
        self.adopted = Some(revisions);
        if self.zones != table.zones() {
            self.zones = table.zones().to_vec();
            self.own = self.number_of(&self.own_name);
            self.distances = vec![DelayMean::default(); self.zones.len()];
            self.outcomes = OpeningOutcomes::of(self.zones.len());
        }
        let names = table.services();
        let known = self.services.iter().map(|service| &service.name);
        if !known.eq(names) {
            self.services = names.iter().map(|name| self.service_named(name)).collect();
        }
    }

    /// How many nodes there are about; zero if that isn't known.
    pub fn set_nodes(&mut self, nodes: u64) {
        self.nodes = nodes as f32;
    }

    /// The node's own zone; none if no instance stands in it.
    #[must_use]
    pub const fn own(&self) -> Option<ZoneNumber> {
        self.own
    }

    /// How the zones rank for an opening of a service. All copies of it have the same draw.
    #[must_use]
    pub fn ranks(&self, service: ServiceNumber, flow_hash: u64) -> ZoneRanks<'_> {
        ZoneRanks {
            preference: self,
            is_sent_away: draw(flow_hash) < self.shares(service).largest(),
        }
    }

    /// Openings so far.
    #[must_use]
    pub const fn placements(&self) -> ZonePlacements {
        self.placements
    }

    /// Shares of a service's openings that are sent to other zones.
    #[must_use]
    pub fn shares(&self, service: ServiceNumber) -> ZoneShares {
        let service = self.services.get(service.0 as usize);
        service.map_or_else(ZoneShares::default, ServiceShare::shares)
    }

    /// An opening of a service was sent to a zone; `capacity` could have taken it.
    pub fn placed(
        &mut self,
        now: Timestamp,
        service: ServiceNumber,
        flow_hash: u64,
        zone: ZoneNumber,
        capacity: ZoneCapacity,
    ) {
        self.outcomes.opening(now, flow_hash, zone);
        if self.own == Some(zone) {
            self.placements.own += 1;
        } else {
            self.placements.other += 1;
        }
        let zones = self.zones.len();
        if let Some(service) = self.services.get_mut(service.0 as usize) {
            service.delays.opened(now);
            service.note_capacity(capacity, zones);
        }
    }

    /// An opening in a zone completed after so long.
    pub fn opened(&mut self, now: Timestamp, flow_hash: u64, zone: ZoneNumber, after: Duration) {
        self.outcomes.opened(now, flow_hash, zone, after);
        if let Some(distance) = self.distances.get_mut(usize::from(zone.0)) {
            distance.add(now, after);
        }
    }

    /// What became of a request in a zone.
    pub fn sampled(&mut self, now: Timestamp, zone: ZoneNumber, sample: &AnswerSample) {
        let is_own = self.own == Some(zone);
        if let Some(service) = self.services.get_mut(sample.service.0 as usize) {
            service.sampled(now, is_own, &sample.outcome);
        }
    }

    /// Adapts the shares, once a window, and returns those that changed notably.
    pub fn review(&mut self, now: Timestamp) -> Vec<ShareChange> {
        let mut changes = Vec::new();
        let Some(own) = self.own else {
            return changes;
        };
        if now < self.window_ends {
            return changes;
        }
        self.window_ends = now.after(WINDOW);
        self.review_outcomes(now);
        let view = self.view(own);
        self.part.set(self.nodes, view.zones);
        for (number, service) in self.services.iter_mut().enumerate() {
            service.adapt(now, &view, &mut self.part);
            if service.is_news() {
                changes.push(ShareChange {
                    service: ServiceNumber(u32::try_from(number).unwrap_or(u32::MAX)),
                    shares: service.shares(),
                    own_delay: service.delays.own(now),
                    other_delay: service.delays.others(now),
                    crossing: view.crossing,
                });
            }
        }
        self.part.relax();
        changes
    }

    /// Judges which zones lose. Asked before each opening, since a zone that has gone fails all of them.
    pub fn review_outcomes(&mut self, now: Timestamp) {
        let distances = &self.distances;
        let usual = |zone: ZoneNumber| distances.get(usize::from(zone.0))?.ever();
        self.outcomes.review(now, usual);
    }

    /// The process stood still: openings under way prove nothing.
    pub fn stalled(&mut self) {
        self.outcomes.stalled();
    }

    fn view(&self, own: ZoneNumber) -> ZoneView {
        let own_distance = self.distances.get(usize::from(own.0));
        let own_distance = own_distance.and_then(|distance| distance.ever());
        ZoneView {
            zones: self.zones.len(),
            crossing: self.crossing_cost(own, own_distance),
            distance: own_distance,
        }
    }

    /// How much later flows open in other zones than in the own one: about twice the distance. Known once
    /// some have opened there.
    fn crossing_cost(&self, own: ZoneNumber, own_distance: Option<Duration>) -> Option<Duration> {
        let others = self.distances.iter().enumerate();
        let others = others.filter(|(index, _)| *index != usize::from(own.0));
        let nearest = others.filter_map(|(_, distance)| distance.ever()).min()?;
        Some(nearest.saturating_sub(own_distance?))
    }

    fn number_of(&self, name: &str) -> Option<ZoneNumber> {
        let number = self.zones.iter().position(|zone| zone == name)?;
        u16::try_from(number).ok().map(ZoneNumber)
    }

    fn service_named(&self, name: &str) -> ServiceShare {
        let known = self.services.iter().find(|service| service.name == name);
        known.cloned().unwrap_or_else(|| ServiceShare::named(name))
    }
}

/// A number from 0 to 1 of a flow, independent of how it ranks instances.
fn draw(flow_hash: u64) -> f32 {
    const DRAW_SALT: u64 = 0xd1b5_4a32_d192_ed03;
    const STEPS: u64 = 1 << 16;
    (mix(flow_hash ^ DRAW_SALT) % STEPS) as f32 / STEPS as f32
}

/// The largest of some loads, in their means; 1 if nothing is loaded.
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
