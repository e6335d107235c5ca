//! Who is told, and who is asked: peers of the own zone first.
//!
//! Bytes between zones are dear, and each zone needs to hear a thing once from outside. So each node
//! tells peers of its own zone, and one of another zone by chance, so that a fixed number of a zone's
//! nodes does, however many it has. Nobody is chosen for it: no node's death cuts a zone off, and
//! none has to know that it was chosen.

use super::peers::PeerRecord;
use super::{Exchange, Heartbeat};
use crate::cookie::capacity::{CapacityClass, NodePlace, ZoneKey};
use crate::cookie::replica::Versions;
use crate::time::Timestamp;
use rand::RngExt;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Nodes of each zone that tell another one what is new. That none of several zones tells one has a chance of
/// one in four hundred (e to the minus six); then the next round does.
const CROSS_ZONE_PUSHERS: f64 = 6.0;

/// Nodes of each zone that tell another one in each round what they know.
const CROSS_ZONE_GOSSIPERS: f64 = 4.0;

/// A seed now and then joins parts of the cluster that have lost each other.
const SEED_PROBABILITY: f64 = 0.1;

/// A peer that was heard so lately is told of as one to fetch from: in a zone of a hundred these are
/// some twenty, and few of them have died since.
const SOURCE_MAXIMUM_AGE: Duration = Duration::from_secs(2);

/// Peers that a push tells of: enough that its sender isn't taken for one that knows nobody.
pub(super) const PUSH_SUGGESTIONS: usize = 2;

impl Exchange {
    /// The number of the zone that this node tells that it stands in.
    pub(super) const fn own_zone(&self) -> ZoneKey {
        if self.settings.own_zone_first {
            self.place.zone
        } else {
            ZoneKey(0)
        }
    }

    /// Where this node stands, and what it can bear at the moment.
    pub(super) const fn own_place(&self) -> NodePlace {
        NodePlace {
            zone: self.own_zone(),
            class: if self.busy {
                CapacityClass::BUSY
            } else {
                self.place.class
            },
        }
    }

    /// Who gets the heartbeats of a round.
    pub(super) fn gossip_receivers(&mut self) -> Vec<SocketAddrV4> {
        let fanout = self.settings.fanout;
        let mut receivers = self.draw_receivers(fanout, CROSS_ZONE_GOSSIPERS, |_| true);
        let too_few_peers = receivers.len() < fanout;
        if let Some(seed) = self.random_seed()
            && (too_few_peers || self.random.random_bool(self.seed_probability(seed)))
            && !receivers.contains(&seed)
        {
            receivers.push(seed);
        }
        receivers
    }

    /// Who is told at once of what a node with `own` versions has learned: nobody who has told that it
    /// knows as much.
    pub(super) fn push_receivers(&mut self, own: Versions) -> Vec<SocketAddrV4> {
        self.draw_receivers(self.settings.push_fanout, CROSS_ZONE_PUSHERS, |record| {
            record.versions.lacks(own)
        })
    }

    /// Who is told at once of what doesn't show in the versions.
    pub(super) fn announce_receivers(&mut self) -> Vec<SocketAddrV4> {
        self.draw_receivers(self.settings.push_fanout, CROSS_ZONE_PUSHERS, |_| true)
    }

    /// Who is told of what can't wait for chance, as it is rare and ends flows: peers of the own zone, and one of another.
    pub(super) fn urgent_receivers(&mut self) -> Vec<SocketAddrV4> {
        let all = self.own_zone_nodes;
        self.draw_receivers(self.settings.push_fanout, all, |_| true)
    }

    /// Who is asked to confirm what this node found: a peer of another zone, or of the own one if there is no other.
    pub(super) fn confirming_receiver(&mut self) -> Option<SocketAddrV4> {
        let zone = self.own_zone();
        let random = &mut self.random;
        let is_alive = |record: &PeerRecord| record.received_heartbeat;
        let mut receivers = self.peers.sample_other_zones(zone, 1, random, is_alive);
        if receivers.is_empty() {
            receivers = self.peers.sample_in_zone(zone, 1, random, is_alive);
        }
        receivers.pop()
    }

    fn draw_receivers(
        &mut self,
        count: usize,
        cross_zone_senders: f64,
        wanted: impl Fn(&PeerRecord) -> bool,
    ) -> Vec<SocketAddrV4> {
        let zone = self.own_zone();
        let random = &mut self.random;
        let mut receivers = self.peers.sample_in_zone(zone, count, random, &wanted);
        let sends_cross_zone =
            random.random_bool((cross_zone_senders / self.own_zone_nodes).clamp(0.0, 1.0));
        let missing = count - receivers.len();
        let far = missing.max(usize::from(sends_cross_zone));
        receivers.extend(self.peers.sample_other_zones(zone, far, random, &wanted));
        receivers
    }

    /// How likely a round goes to a seed as well.
    fn seed_probability(&self, seed: SocketAddrV4) -> f64 {
        let zone = self.own_zone();
        let is_near = zone == ZoneKey(0) || self.peers.zone_of(seed) == Some(zone);
        if is_near {
            SEED_PROBABILITY
        } else {
            SEED_PROBABILITY * (CROSS_ZONE_GOSSIPERS / self.own_zone_nodes).clamp(0.0, 1.0)
        }
    }

    fn random_seed(&mut self) -> Option<SocketAddrV4> {
        if self.seeds.is_empty() {
            return None;
        }
        let index = self.random.random_range(0..self.seeds.len());
        Some(self.seeds[index])
    }

    /// Tells a node that lacks everything of a kind from whom it can fetch instead of this one, which it
    /// asked since it had no other address.
    pub(super) fn suggest_sources(
        &mut self,
        now: Timestamp,
        receiver: SocketAddrV4,
        heartbeat: &mut Heartbeat,
    ) {
        let has_recent_state = |record: &PeerRecord| {
            !record.versions.is_empty() && now.since(record.last_seen_at) < SOURCE_MAXIMUM_AGE
        };
        let count = Heartbeat::MAXIMUM_PEERS;
        let sources =
            self.peers
                .suggestions_for(receiver, count, &mut self.random, has_recent_state);
        if !sources.is_empty() {
            heartbeat.peers = sources;
            heartbeat.peers_up_to_date = true;
        }
    }

    /// Notes what a heartbeat tells of other nodes.
    pub(super) fn record_suggestions(&mut self, now: Timestamp, heartbeat: &Heartbeat) {
        let zone = self.own_zone();
        let known = if heartbeat.peers_up_to_date {
            heartbeat.versions
        } else {
            Versions::default()
        };
        for peer in &heartbeat.peers {
            if peer.address == self.own_address {
                continue;
            }
            if peer.place.zone == zone {
                self.record_mention(peer.address);
            }
            self.peers.record_suggestion(now, zone, peer, known);
        }
        for size in &heartbeat.zones {
            let age = Duration::from_millis(u64::from(size.age_milliseconds));
            if size.zone != zone {
                self.zone_sizes
                    .record(size.zone, size.nodes, now.before(age));
            }
        }
    }
}
