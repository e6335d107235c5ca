//! The table of peers that were seen recently.

use super::message::{Heartbeat, PeerSuggestion};
use crate::cookie::capacity::{NodePlace, ZoneKey};
use crate::cookie::instance::Cookie;
use crate::cookie::replica::Versions;
use crate::time::Timestamp;
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{Rng, RngExt};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Maximum number of peers in the table. A sample is enough and keeps the memory of a node constant
/// in clusters of any size.
const MAXIMUM_PEERS: usize = 256;

/// How many times as many entries the own zone may have as another zone.
const OWN_ZONE_WEIGHT: usize = 3;

/// One in this many suggested peers is from another zone than the receiver's, if any is known.
const OTHER_ZONE_DIVISOR: usize = 3;

/// Minimum time between two replies to one peer.
const REPLY_INTERVAL: Duration = Duration::from_millis(200);

/// The state of one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRecord {
    /// When the last heartbeat arrived, or the peer was suggested by another node.
    pub last_seen_at: Timestamp,
    /// Whether a heartbeat of the peer itself has arrived.
    pub received_heartbeat: bool,
    /// Zone and capacity class of the peer.
    pub place: NodePlace,
    /// The peer's versions as advertised by itself or by another node.
    pub versions: Versions,
    /// Instances that fail to complete openings from the peer.
    pub failing: Vec<Cookie>,
    replied_at: Option<Timestamp>,
}

/// A bounded sample of the cluster.
#[derive(Debug, Default)]
pub(super) struct PeerTable {
    records: BTreeMap<SocketAddrV4, PeerRecord>,
}

impl PeerTable {
    pub(super) fn iter(&self) -> impl Iterator<Item = (SocketAddrV4, &PeerRecord)> {
        self.records
            .iter()
            .map(|(address, record)| (*address, record))
    }

    /// Returns whether a peer is in the table, even if it was only suggested.
    pub(super) fn contains(&self, address: SocketAddrV4) -> bool {
        self.records.contains_key(&address)
    }

    /// Records a heartbeat. Returns whether it is the first one of the peer.
    pub(super) fn record_heartbeat(
        &mut self,
        now: Timestamp,
        own_zone: ZoneKey,
        from: SocketAddrV4,
        heartbeat: &Heartbeat,
    ) -> bool {
        if !self.records.contains_key(&from) {
            self.evict_if_full(own_zone);
        }
        let record = self.records.entry(from).or_insert(PeerRecord {
            last_seen_at: now,
            received_heartbeat: false,
            place: heartbeat.place,
            versions: heartbeat.versions,
            failing: Vec::new(),
            replied_at: None,
        });
        record.last_seen_at = now;
        record.place = heartbeat.place;
        record.versions = heartbeat.versions;
        let failing = heartbeat.failing.iter();
        record.failing = failing
            .filter_map(|bits| Cookie::from_bits(*bits))
            .collect();
        !std::mem::replace(&mut record.received_heartbeat, true)
    }

    /// Records a peer suggested by another node, and the versions that it supposedly has. The entry
    /// remains until a heartbeat of the peer arrives or the entry expires.
    pub(super) fn record_suggestion(
        &mut self,
        now: Timestamp,
        own_zone: ZoneKey,
        peer: &PeerSuggestion,
        known: Versions,
    ) {
        let (address, place) = (peer.address, peer.place);
        if let Some(record) = self.records.get_mut(&address) {
            if !record.received_heartbeat && record.versions.is_empty() {
                record.versions = known;
            }
            return;
        }
        if self.records.len() >= MAXIMUM_PEERS && !self.is_underrepresented(own_zone, place.zone) {
            return;
        }
        self.evict_if_full(own_zone);
        let record = PeerRecord {
            last_seen_at: now,
            received_heartbeat: false,
            place,
            versions: known,
            failing: Vec::new(),
            replied_at: None,
        };
        self.records.insert(address, record);
    }

    /// Removes a peer. Returns whether it had sent a heartbeat.
    pub(super) fn remove(&mut self, address: SocketAddrV4) -> bool {
        let removed = self.records.remove(&address);
        removed.is_some_and(|record| record.received_heartbeat)
    }

    /// Removes silent peers, and returns those that had sent a heartbeat.
    pub(super) fn expire(&mut self, now: Timestamp, lifetime: Duration) -> Vec<SocketAddrV4> {
        let silent = |record: &PeerRecord| now.since(record.last_seen_at) >= lifetime;
        let lost = self
            .records
            .iter()
            .filter(|(_, record)| record.received_heartbeat && silent(record))
            .map(|(address, _)| *address)
            .collect();
        self.records.retain(|_, record| !silent(record));
        lost
    }

    /// Updates the versions of a known peer.
    pub(super) fn record_versions(&mut self, address: SocketAddrV4, versions: Versions) {
        if let Some(record) = self.records.get_mut(&address) {
            record.versions = versions;
        }
    }

    /// Returns a random peer that is alive according to itself or to another node, preferably of
    /// the own zone.
    pub(super) fn sample_alive(
        &self,
        zone: ZoneKey,
        random: &mut impl Rng,
    ) -> Option<SocketAddrV4> {
        let alive = self.records.iter();
        let alive =
            alive.filter(|(_, record)| record.received_heartbeat || !record.versions.is_empty());
        choose_source(zone, alive, random).map(|(address, _)| address)
    }

    /// Returns the zone of a known peer.
    pub(super) fn zone_of(&self, address: SocketAddrV4) -> Option<ZoneKey> {
        self.records.get(&address).map(|record| record.place.zone)
    }

    /// Returns the number of known peers in a zone.
    pub(super) fn count_in(&self, zone: ZoneKey) -> usize {
        let records = self.records.values();
        records.filter(|record| record.place.zone == zone).count()
    }

    /// Returns the instances that at least `witnesses` peers suspect. If there are fewer peers, all
    /// of them must suspect an instance.
    pub(super) fn suspected(&self, witnesses: usize) -> BTreeSet<Cookie> {
        let direct = self
            .records
            .values()
            .filter(|record| record.received_heartbeat);
        let witnesses = witnesses.min(direct.clone().count());
        let mut counts: BTreeMap<Cookie, usize> = BTreeMap::new();
        for cookie in direct.flat_map(|record| &record.failing) {
            *counts.entry(*cookie).or_default() += 1;
        }
        let enough = counts.into_iter().filter(|(_, count)| *count >= witnesses);
        enough.map(|(cookie, _)| cookie).collect()
    }

    /// Returns random peers of a zone.
    pub(super) fn sample_in_zone(
        &self,
        zone: ZoneKey,
        count: usize,
        random: &mut impl Rng,
        wanted: impl Fn(&PeerRecord) -> bool,
    ) -> Vec<SocketAddrV4> {
        let near = self.records.iter();
        let near = near.filter(|(_, record)| record.place.zone == zone && wanted(record));
        near.map(|(address, _)| *address).sample(random, count)
    }

    /// Returns random peers outside a zone, from as many zones as possible.
    pub(super) fn sample_other_zones(
        &self,
        zone: ZoneKey,
        count: usize,
        random: &mut impl Rng,
        wanted: impl Fn(&PeerRecord) -> bool,
    ) -> Vec<SocketAddrV4> {
        if count == 0 {
            return Vec::new();
        }
        let mut by_zone: BTreeMap<ZoneKey, Vec<SocketAddrV4>> = BTreeMap::new();
        for (address, record) in &self.records {
            if record.place.zone != zone && wanted(record) {
                by_zone.entry(record.place.zone).or_default().push(*address);
            }
        }
        let mut candidates: Vec<((usize, u32), SocketAddrV4)> = Vec::new();
        for mut addresses in by_zone.into_values() {
            addresses.shuffle(random);
            let placed = addresses.into_iter().take(count).enumerate();
            candidates.extend(placed.map(|(round, address)| ((round, random.random()), address)));
        }
        candidates.sort_unstable();
        let chosen = candidates.into_iter().take(count);
        chosen.map(|(_, address)| address).collect()
    }

    /// Returns live peers to suggest to a receiver, without the receiver: more of its zone than of
    /// others.
    pub(super) fn suggestions_for(
        &self,
        receiver: SocketAddrV4,
        count: usize,
        random: &mut impl Rng,
        wanted: impl Fn(&PeerRecord) -> bool,
    ) -> Vec<PeerSuggestion> {
        let alive = self.records.iter().filter(|(address, record)| {
            record.received_heartbeat && **address != receiver && wanted(record)
        });
        let mut alive: Vec<PeerSuggestion> = alive
            .map(|(address, record)| PeerSuggestion {
                address: *address,
                place: record.place,
            })
            .collect();
        alive.shuffle(random);
        let Some(zone) = self.zone_of(receiver) else {
            alive.truncate(count);
            return alive;
        };
        let (near, far): (Vec<_>, Vec<_>) =
            alive.into_iter().partition(|peer| peer.place.zone == zone);
        let least_far = far.len().min(count / OTHER_ZONE_DIVISOR);
        let near_count = near.len().min(count - least_far);
        let near = near.into_iter().take(near_count);
        near.chain(far.into_iter().take(count - near_count))
            .collect()
    }

    /// Returns whether a reply to the peer is due, and if it is, records it as sent.
    pub(super) fn try_reply(&mut self, now: Timestamp, to: SocketAddrV4) -> bool {
        let Some(record) = self.records.get_mut(&to) else {
            return false;
        };
        let due = record
            .replied_at
            .is_none_or(|replied_at| now.since(replied_at) >= REPLY_INTERVAL);
        if due {
            record.replied_at = Some(now);
        }
        due
    }

    /// Returns a random peer with newer state than this node, and its versions. Prefers peers that
    /// have state of all kinds, then peers of the own zone. `include_suggested` admits peers whose
    /// versions only another node advertised.
    pub(super) fn newest(
        &self,
        zone: ZoneKey,
        include_suggested: bool,
        behind: &impl Fn(Versions) -> bool,
        random: &mut impl Rng,
    ) -> Option<(SocketAddrV4, Versions)> {
        let ahead = self.records.iter();
        let ahead = ahead.filter(|(_, record)| {
            (record.received_heartbeat || include_suggested) && behind(record.versions)
        });
        let complete = ahead
            .clone()
            .filter(|(_, record)| !record.versions.is_empty());
        choose_source(zone, complete, random).or_else(|| choose_source(zone, ahead, random))
    }

    /// Clears the versions of a peer until its next heartbeat. Returns whether only another node
    /// had advertised them.
    pub(super) fn clear_versions(&mut self, address: SocketAddrV4) -> bool {
        let Some(record) = self.records.get_mut(&address) else {
            return false;
        };
        let was_only_suggested = !record.received_heartbeat && !record.versions.is_empty();
        record.versions = Versions::default();
        was_only_suggested
    }

    /// Evicts a peer if the table is full: first one that was only suggested, then the longest
    /// silent one of the zone with the most entries. A peer that sends heartbeats needs an entry,
    /// since nodes without one get no reply.
    fn evict_if_full(&mut self, own_zone: ZoneKey) {
        if self.records.len() < MAXIMUM_PEERS {
            return;
        }
        let largest = self
            .weighted_counts(own_zone)
            .into_iter()
            .max_by_key(|(_, load)| *load);
        let largest = largest.map(|(zone, _)| zone);
        let evicted = self.records.iter().min_by_key(|(_, record)| {
            let outside_largest = Some(record.place.zone) != largest;
            (
                record.received_heartbeat,
                outside_largest,
                record.last_seen_at,
            )
        });
        if let Some(address) = evicted.map(|(address, _)| *address) {
            self.records.remove(&address);
        }
    }

    /// Returns the number of entries of each zone, weighted by how many the zone may have.
    fn weighted_counts(&self, own_zone: ZoneKey) -> BTreeMap<ZoneKey, usize> {
        let mut weighted_counts: BTreeMap<ZoneKey, usize> = BTreeMap::new();
        for record in self.records.values() {
            let zone = record.place.zone;
            let weight = if zone == own_zone { 1 } else { OWN_ZONE_WEIGHT };
            *weighted_counts.entry(zone).or_default() += weight;
        }
        weighted_counts
    }

    /// Returns whether a zone has less than half the weighted entries of the largest one.
    fn is_underrepresented(&self, own_zone: ZoneKey, zone: ZoneKey) -> bool {
        let weighted_counts = self.weighted_counts(own_zone);
        let most = weighted_counts.values().max().copied().unwrap_or_default();
        weighted_counts.get(&zone).copied().unwrap_or_default() * 2 < most
    }
}

/// Chooses a random peer to fetch from: one of the own zone if possible, weighted by capacity.
fn choose_source<'a>(
    zone: ZoneKey,
    peers: impl Iterator<Item = (&'a SocketAddrV4, &'a PeerRecord)>,
    random: &mut impl Rng,
) -> Option<(SocketAddrV4, Versions)> {
    let mut chosen = None;
    let mut chosen_key = (false, 0.0);
    for (address, record) in peers {
        // The greatest of these draws belongs to each peer with a probability proportional to its
        // weight (Efraimidis and Spirakis 2006).
        let draw: f64 = random.random_range(0.0..1.0);
        let draw = draw.powf(1.0 / f64::from(record.place.class.weight()));
        let key = (record.place.zone == zone, draw);
        if chosen.is_none() || key > chosen_key {
            chosen = Some((*address, record.versions));
            chosen_key = key;
        }
    }
    chosen
}
