//! Choice of the peers that a node sends to, with a preference for its own zone.
//!
//! Traffic between zones is expensive, and each zone needs each update only once from outside.
//! Therefore each node sends to peers of its own zone, and at random to one of another zone: the
//! expected number of a zone's nodes that send to another zone is fixed, whatever the zone's size.
//! No node is designated for this, so the death of a single node does not cut a zone off.

use super::live_sample::receivers_for;
use super::peers::PeerRecord;
use super::{Exchange, Heartbeat};
use crate::cookie::capacity::{CapacityClass, NodePlace, ZoneKey};
use crate::cookie::replica::Versions;
use crate::time::Timestamp;
use rand::RngExt;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Expected number of nodes per zone that push an update to another zone. The probability that none
/// of several zones pushes to a given one is 1 in 400 (e^-6); the next gossip round then covers it.
const CROSS_ZONE_PUSHERS: f64 = 6.0;

/// Expected number of nodes per zone that send a heartbeat to another zone in each gossip round.
const CROSS_ZONE_GOSSIPERS: f64 = 4.0;

/// Probability that a gossip round includes a seed. It reconnects parts of the cluster that have
/// lost each other.
const SEED_PROBABILITY: f64 = 0.1;

/// A peer is suggested as a fetch source only if it was seen within this time. In a zone of a
/// hundred nodes these are about twenty, and few of them have died since.
const SOURCE_MAXIMUM_AGE: Duration = Duration::from_secs(2);

/// Number of suggested peers in a push. With fewer, receivers would conclude that the sender has
/// too few peers.
pub(super) const PUSH_SUGGESTIONS: usize = 2;

impl Exchange {
    /// Returns the zone that this node advertises.
    pub(super) const fn own_zone(&self) -> ZoneKey {
        if self.settings.own_zone_first {
            self.place.zone
        } else {
            ZoneKey(0)
        }
    }

    /// Returns the zone and the current capacity class of this node.
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

    /// Returns the receivers of the heartbeats of a gossip round.
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

    /// Returns the receivers of a state change of a node with `own` versions. Excludes peers that
    /// are known to have the same state.
    pub(super) fn push_receivers(&mut self, own: Versions) -> Vec<SocketAddrV4> {
        self.draw_receivers(self.settings.push_fanout, CROSS_ZONE_PUSHERS, |record| {
            record.versions.lacks(own)
        })
    }

    /// Returns the receivers of a change that does not appear in the versions.
    pub(super) fn announce_receivers(&mut self) -> Vec<SocketAddrV4> {
        self.draw_receivers(self.settings.push_fanout, CROSS_ZONE_PUSHERS, |_| true)
    }

    /// Returns the receivers of rare messages that end flows and for which a random cross-zone send
    /// is too slow: peers of the own zone, and one of another zone.
    pub(super) fn urgent_receivers(&mut self) -> Vec<SocketAddrV4> {
        let all = self.own_zone_nodes;
        self.draw_receivers(self.settings.push_fanout, all, |_| true)
    }

    /// Returns the peer to ask for a confirmation of this node's findings: one of another zone if
    /// possible, otherwise one of the own zone.
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
        let shares = self.live_sample.shares();
        let random = &mut self.random;
        let near = receivers_for(count, shares.near);
        let mut receivers = self.peers.sample_in_zone(zone, near, random, &wanted);
        let live_zone_nodes = (self.own_zone_nodes * shares.near).max(1.0);
        let sends_cross_zone =
            random.random_bool((cross_zone_senders / live_zone_nodes).clamp(0.0, 1.0));
        let missing = count.saturating_sub(receivers.len());
        let far = receivers_for(missing.max(usize::from(sends_cross_zone)), shares.far);
        receivers.extend(self.peers.sample_other_zones(zone, far, random, &wanted));
        receivers
    }

    /// Returns the probability that a gossip round includes the seed.
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

    /// Adds fetch sources to the reply to a node that lacks all objects of some kind and contacted
    /// this node because it knows few other addresses.
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

    /// Records the peers and zone sizes of a heartbeat.
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
