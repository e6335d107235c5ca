//! The peers that a node has heard of late.

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

/// Most peers remembered. A sample is enough, so that the state of a node stays the same in a
/// cluster of any size.
const MAXIMUM_PEERS: usize = 256;

/// The own zone may take as many times more of the table as another.
const OWN_ZONE_WEIGHT: usize = 3;

/// One in so many peers that are suggested is of another zone than the receiver's, if any is known.
const OTHER_ZONE_DIVISOR: usize = 3;

/// Shortest time between two replies to one peer.
const REPLY_INTERVAL: Duration = Duration::from_millis(200);

/// What a node contains of one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRecord {
    /// When it was last received_heartbeat, or suggested by another.
    pub last_seen_at: Timestamp,
    /// Whether it was heard itself.
    pub received_heartbeat: bool,
    /// Where it stands, and what it can bear.
    pub place: NodePlace,
    /// How much it contains, as it told itself or another told of it.
    pub versions: Versions,
    /// Instances that don't complete its openings.
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

    /// Whether a peer is known, be it only by hearsay.
    pub(super) fn contains(&self, address: SocketAddrV4) -> bool {
        self.records.contains_key(&address)
    }

    /// Notes that a peer spoke. Returns whether it was not known to be alive.
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

    /// Notes a peer that another one told of, until it speaks itself or is forgotten, and how much it is
    /// said to know.
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

    /// Returns whether the peer was known to be alive.
    pub(super) fn remove(&mut self, address: SocketAddrV4) -> bool {
        let removed = self.records.remove(&address);
        removed.is_some_and(|record| record.received_heartbeat)
    }

    /// Forgets silent peers, and returns those that had been heard.
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

    /// Notes how much a known peer contains now.
    pub(super) fn record_versions(&mut self, address: SocketAddrV4, versions: Versions) {
        if let Some(record) = self.records.get_mut(&address) {
            record.versions = versions;
        }
    }

    /// A peer that is alive, by its own word or another's, of the own zone if there is one.
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

    /// The zone of a peer that is known.
    pub(super) fn zone_of(&self, address: SocketAddrV4) -> Option<ZoneKey> {
        self.records.get(&address).map(|record| record.place.zone)
    }

    /// How many peers of a zone are known.
    pub(super) fn count_in(&self, zone: ZoneKey) -> usize {
        let records = self.records.values();
        records.filter(|record| record.place.zone == zone).count()
    }

    /// Instances that at least `witnesses` peers suspect; all peers, if there are fewer.
    pub(super) fn suspected(&self, witnesses: usize) -> BTreeSet<Cookie> {
        let heard = self
            .records
            .values()
            .filter(|record| record.received_heartbeat);
        let witnesses = witnesses.min(heard.clone().count());
        let mut counts: BTreeMap<Cookie, usize> = BTreeMap::new();
        for cookie in heard.flat_map(|record| &record.failing) {
            *counts.entry(*cookie).or_default() += 1;
        }
        let enough = counts.into_iter().filter(|(_, count)| *count >= witnesses);
        enough.map(|(cookie, _)| cookie).collect()
    }

    /// Some peers of a zone.
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

    /// Some peers of other zones, of as many zones as possible.
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
        let mut turns: Vec<((usize, u32), SocketAddrV4)> = Vec::new();
        for mut addresses in by_zone.into_values() {
            addresses.shuffle(random);
            let placed = addresses.into_iter().take(count).enumerate();
            turns.extend(placed.map(|(turn, address)| ((turn, random.random()), address)));
        }
        turns.sort_unstable();
        let chosen = turns.into_iter().take(count);
        chosen.map(|(_, address)| address).collect()
    }

    /// Peers that are alive, for a receiver, who isn't among them: more of its zone than of others.
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

    /// Whether a reply to the peer is due; if so it counts as sent.
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

    /// One of the peers that know more than this node, and what it contains; one that contains something of
    /// all if there is one, of the own zone if there is one. `include_suggested` lets it be one that only another
    /// told of.
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

    /// Forgets how much a peer claimed to know, until it speaks again. Returns whether only another one
    /// had claimed it.
    pub(super) fn clear_versions(&mut self, address: SocketAddrV4) -> bool {
        let Some(record) = self.records.get_mut(&address) else {
            return false;
        };
        let was_only_suggested = !record.received_heartbeat && !record.versions.is_empty();
        record.versions = Versions::default();
        was_only_suggested
    }

    /// Makes room for a peer: one that was only suggested goes first, then one of the zone with the
    /// most, the one that was silent for longest. Whoever speaks must be known, or it is never answered.
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

    /// How much of the table each zone takes; the own one may take more.
    fn weighted_counts(&self, own_zone: ZoneKey) -> BTreeMap<ZoneKey, usize> {
        let mut weighted_counts: BTreeMap<ZoneKey, usize> = BTreeMap::new();
        for record in self.records.values() {
            let zone = record.place.zone;
            let weight = if zone == own_zone { 1 } else { OWN_ZONE_WEIGHT };
            *weighted_counts.entry(zone).or_default() += weight;
        }
        weighted_counts
    }

    /// Whether a zone takes less than half of what the one with the most takes.
    fn is_underrepresented(&self, own_zone: ZoneKey, zone: ZoneKey) -> bool {
        let weighted_counts = self.weighted_counts(own_zone);
        let most = weighted_counts.values().max().copied().unwrap_or_default();
        weighted_counts.get(&zone).copied().unwrap_or_default() * 2 < most
    }
}

/// One of some peers to fetch from: of the own zone if one is there, more likely one that can bear more.
fn choose_source<'a>(
    zone: ZoneKey,
    peers: impl Iterator<Item = (&'a SocketAddrV4, &'a PeerRecord)>,
    random: &mut impl Rng,
) -> Option<(SocketAddrV4, Versions)> {
    let mut chosen = None;
    let mut chosen_key = (false, 0.0);
    for (address, record) in peers {
        // The greatest of such draws is each peer's by its share of all weights (Efraimidis and Spirakis 2006).
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
