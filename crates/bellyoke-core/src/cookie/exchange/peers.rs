//! The peers that a node has heard of late.

use super::message::Heartbeat;
use crate::cookie::instance::Cookie;
use crate::cookie::replica::Versions;
use crate::time::Timestamp;
use rand::Rng;
use rand::seq::IteratorRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Most peers remembered. A sample is enough, so that the state of a node stays the same in a
/// cluster of any size.
const MAXIMUM_PEERS: usize = 256;

/// Shortest time between two replies to one peer.
const REPLY_INTERVAL: Duration = Duration::from_millis(200);

/// What a node knows of one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRecord {
    /// When it was last heard, or suggested by another.
    pub noted_at: Timestamp,
    /// Whether it was heard itself.
    pub heard: bool,
    /// How much it knows.
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
    pub(super) fn knows(&self, address: SocketAddrV4) -> bool {
        self.records.contains_key(&address)
    }

    /// Notes that a peer spoke. Returns whether it was not known to be alive.
    pub(super) fn heard(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        heartbeat: &Heartbeat,
    ) -> bool {
        if !self.records.contains_key(&from) {
            self.make_room();
        }
        let record = self.records.entry(from).or_insert(PeerRecord {
            noted_at: now,
            heard: false,
            versions: heartbeat.versions,
            failing: Vec::new(),
            replied_at: None,
        });
        record.noted_at = now;
        record.versions = heartbeat.versions;
        let failing = heartbeat.failing.iter();
        record.failing = failing
            .filter_map(|bits| Cookie::from_bits(*bits))
            .collect();
        !std::mem::replace(&mut record.heard, true)
    }

    /// Notes a peer that another one told of, until it speaks itself or is forgotten.
    pub(super) fn suggest(&mut self, now: Timestamp, address: SocketAddrV4) {
        if self.records.len() >= MAXIMUM_PEERS {
            return;
        }
        self.records.entry(address).or_insert(PeerRecord {
            noted_at: now,
            heard: false,
            versions: Versions::default(),
            failing: Vec::new(),
            replied_at: None,
        });
    }

    /// Returns whether the peer was known to be alive.
    pub(super) fn remove(&mut self, address: SocketAddrV4) -> bool {
        let removed = self.records.remove(&address);
        removed.is_some_and(|record| record.heard)
    }

    /// Forgets silent peers, and returns those that had been heard.
    pub(super) fn expire(&mut self, now: Timestamp, lifetime: Duration) -> Vec<SocketAddrV4> {
        let silent = |record: &PeerRecord| now.since(record.noted_at) >= lifetime;
        let lost = self
            .records
            .iter()
            .filter(|(_, record)| record.heard && silent(record))
            .map(|(address, _)| *address)
            .collect();
        self.records.retain(|_, record| !silent(record));
        lost
    }

    /// Notes how much a known peer knows now.
    pub(super) fn note_versions(&mut self, address: SocketAddrV4, versions: Versions) {
        if let Some(record) = self.records.get_mut(&address) {
            record.versions = versions;
        }
    }

    /// A peer that is alive.
    pub(super) fn sample_heard(&self, random: &mut impl Rng) -> Option<SocketAddrV4> {
        let heard = self.records.iter().filter(|(_, record)| record.heard);
        heard.map(|(address, _)| *address).choose(random)
    }

    /// Instances that at least `witnesses` peers suspect; all peers, if there are fewer.
    pub(super) fn suspected(&self, witnesses: usize) -> BTreeSet<Cookie> {
        let heard = self.records.values().filter(|record| record.heard);
        let witnesses = witnesses.min(heard.clone().count());
        let mut counts: BTreeMap<Cookie, usize> = BTreeMap::new();
        for cookie in heard.flat_map(|record| &record.failing) {
            *counts.entry(*cookie).or_default() += 1;
        }
        let enough = counts.into_iter().filter(|(_, count)| *count >= witnesses);
        enough.map(|(cookie, _)| cookie).collect()
    }

    pub(super) fn sample(&self, count: usize, random: &mut impl Rng) -> Vec<SocketAddrV4> {
        self.records.keys().copied().sample(random, count)
    }

    /// Peers that are alive and not `receiver` itself.
    pub(super) fn sample_for(
        &self,
        receiver: SocketAddrV4,
        count: usize,
        random: &mut impl Rng,
    ) -> Vec<SocketAddrV4> {
        let alive = self.records.iter().filter(|(_, record)| record.heard);
        let addresses = alive.map(|(address, _)| *address);
        addresses
            .filter(|address| *address != receiver)
            .sample(random, count)
    }

    /// Whether a reply to the peer is due; if so it counts as sent.
    pub(super) fn may_reply(&mut self, now: Timestamp, to: SocketAddrV4) -> bool {
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

    /// One of the peers that know more than this node, and what it knows; one that knows something of
    /// all if there is one.
    pub(super) fn newest(
        &self,
        behind: &impl Fn(Versions) -> bool,
        random: &mut impl Rng,
    ) -> Option<(SocketAddrV4, Versions)> {
        let ahead = self.records.iter();
        let ahead = ahead.filter(|(_, record)| record.heard && behind(record.versions));
        let ahead = ahead.map(|(address, record)| (*address, record.versions));
        let complete = ahead.clone().filter(|(_, versions)| !versions.is_empty());
        complete.choose(random).or_else(|| ahead.choose(random))
    }

    /// Forgets how much a peer claimed to know, until it speaks again.
    pub(super) fn discredit(&mut self, address: SocketAddrV4) {
        if let Some(record) = self.records.get_mut(&address) {
            record.versions = Versions::default();
        }
    }

    /// Makes room for a peer that spoke: one that was only suggested goes first, then the one
    /// that was silent for longest. Whoever speaks must be known, or it is never answered.
    fn make_room(&mut self) {
        if self.records.len() < MAXIMUM_PEERS {
            return;
        }
        let first_to_go = self
            .records
            .iter()
            .min_by_key(|(_, record)| (record.heard, record.noted_at));
        if let Some(address) = first_to_go.map(|(address, _)| *address) {
            self.records.remove(&address);
        }
    }
}
