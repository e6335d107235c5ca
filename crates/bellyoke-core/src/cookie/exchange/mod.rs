//! Peers tell each other how much they know, and fetch what they lack.
//!
//! Gossip by random peer sampling (Demers et al. 1987; Jelasity et al. 2007): each period a node
//! sends a short heartbeat with its versions to a few random peers, whatever the size of the
//! cluster, and at once to a few when it has learned something. Who finds itself behind fetches
//! a snapshot from the one that is ahead. So a node that the store refuses, or whose watch hangs,
//! or that starts while the store is down, still learns everything.
//!
//! Unlike [`crate::node::membership`] this needs no agreed member list: nothing is decided by
//! who takes part, so a sample of live peers is enough.

mod message;
mod peers;

pub use message::{
    DecodeError, EncodeError, Heartbeat, MAXIMUM_HEARTBEAT_LENGTH, MAXIMUM_SNAPSHOT_LENGTH,
    PeerKey, decode_snapshot, encode_snapshot,
};
pub use peers::PeerRecord;

use crate::cookie::instance::Cookie;
use crate::cookie::replica::Versions;
use crate::time::Timestamp;
use peers::PeerTable;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;
use twox_hash::XxHash3_64;

/// Nodes that read the newest state for all.
const READERS: usize = 1;

/// Peers that must agree that an instance fails.
const WITNESSES: usize = 2;

/// Keeps the choice of readers apart from other hashes of addresses.
const READER_SEED: u64 = 0x7265_6164_6572_0001;

/// How the exchange is paced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeSettings {
    /// Mean time between two rounds of heartbeats.
    pub period: Duration,
    /// Peers that get a heartbeat each round.
    pub fanout: usize,
    /// Peers that are told at once of something new.
    pub push_fanout: usize,
    /// A peer that was silent for so long is forgotten.
    pub peer_lifetime: Duration,
    /// How long a node that is behind waits for the store to tell it, before it asks a peer.
    pub patience: Duration,
    /// Shortest time between two fetches.
    pub fetch_interval: Duration,
}

impl Default for ExchangeSettings {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(500),
            fanout: 2,
            push_fanout: 3,
            peer_lifetime: Duration::from_secs(10),
            patience: Duration::from_millis(250),
            fetch_interval: Duration::from_millis(300),
        }
    }
}

/// What the exchange wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeEffect {
    /// Send a heartbeat.
    Send {
        /// To whom.
        to: SocketAddrV4,
        /// What.
        heartbeat: Heartbeat,
    },
    /// Fetch a snapshot.
    Fetch {
        /// From whom.
        from: SocketAddrV4,
    },
    /// A peer was heard for the first time, or again.
    PeerJoined(SocketAddrV4),
    /// A peer was silent for too long, or has left.
    PeerLost(SocketAddrV4),
}

/// The exchange of one node.
#[derive(Debug)]
pub struct Exchange {
    settings: ExchangeSettings,
    own_address: SocketAddrV4,
    seeds: Vec<SocketAddrV4>,
    peers: PeerTable,
    random: ChaCha8Rng,
    next_round: Timestamp,
    next_fetch: Timestamp,
    behind_since: Option<Timestamp>,
    leaving: bool,
    follows_store: bool,
    suspected: Vec<Cookie>,
}

impl Exchange {
    /// A node at `own_address` that knows only where to look for peers.
    #[must_use]
    pub fn new(
        settings: ExchangeSettings,
        own_address: SocketAddrV4,
        seeds: Vec<SocketAddrV4>,
        random_seed: u64,
    ) -> Self {
        let mut exchange = Self {
            settings,
            own_address,
            seeds: Vec::new(),
            peers: PeerTable::default(),
            random: ChaCha8Rng::seed_from_u64(random_seed),
            next_round: Timestamp::ZERO,
            next_fetch: Timestamp::ZERO,
            behind_since: None,
            leaving: false,
            follows_store: false,
            suspected: Vec::new(),
        };
        exchange.set_seeds(seeds);
        exchange
    }

    /// Replaces the addresses where peers are looked for.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
        self.seeds.retain(|seed| *seed != self.own_address);
    }

    /// Peers heard of late.
    pub fn peers(&self) -> impl Iterator<Item = (SocketAddrV4, &PeerRecord)> {
        self.peers.iter()
    }

    /// When [`Self::tick`] has something to do.
    #[must_use]
    pub const fn next_tick(&self) -> Timestamp {
        self.next_round
    }

    /// Time has passed. `own` is what this node knows; `behind` tells whether a peer's versions
    /// are ahead of it.
    pub fn tick(
        &mut self,
        now: Timestamp,
        own: Versions,
        behind: impl Fn(Versions) -> bool,
    ) -> Vec<ExchangeEffect> {
        let mut effects = Vec::new();
        if now >= self.next_round {
            self.next_round = now.after(self.jittered_period());
            for lost in self.peers.expire(now, self.settings.peer_lifetime) {
                effects.push(ExchangeEffect::PeerLost(lost));
            }
            self.send_round(own, &mut effects);
        }
        self.fetch_if_behind(now, own, &behind, &mut effects);
        effects
    }

    /// A heartbeat has come from `from`.
    pub fn heartbeat(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        heartbeat: &Heartbeat,
        own: Versions,
        behind: impl Fn(Versions) -> bool,
    ) -> Vec<ExchangeEffect> {
        let mut effects = Vec::new();
        if from == self.own_address {
            return effects;
        }
        if heartbeat.leaving {
            if self.peers.remove(from) {
                effects.push(ExchangeEffect::PeerLost(from));
            }
            return effects;
        }
        if self.peers.heard(now, from, heartbeat) {
            effects.push(ExchangeEffect::PeerJoined(from));
        }
        for address in &heartbeat.peers {
            if *address != self.own_address {
                self.peers.suggest(now, *address);
            }
        }
        if self.deserves_reply(now, from, heartbeat, own) {
            self.send(from, own, &mut effects);
        }
        self.fetch_if_behind(now, own, &behind, &mut effects);
        effects
    }

    /// This node has learned something: tells a few peers at once.
    pub fn changed(&mut self, own: Versions) -> Vec<ExchangeEffect> {
        let mut effects = Vec::new();
        let receivers = self
            .peers
            .sample(self.settings.push_fanout, &mut self.random);
        for receiver in receivers {
            self.send(receiver, own, &mut effects);
        }
        effects
    }

    /// This node leaves: tells a few peers, who forget it.
    pub fn leave(&mut self, own: Versions) -> Vec<ExchangeEffect> {
        self.leaving = true;
        self.changed(own)
    }

    /// Whether the store answers this node.
    pub const fn set_follows_store(&mut self, follows_store: bool) {
        self.follows_store = follows_store;
    }

    /// Instances that don't complete the openings that this node sends itself. What it only
    /// heard of is not told on, so that a suspicion ends with those who saw it.
    pub fn set_suspected(&mut self, mut suspected: Vec<Cookie>) {
        suspected.truncate(Heartbeat::MAXIMUM_SUSPECTED);
        self.suspected = suspected;
    }

    /// Instances that several peers suspect. One alone may be cut off from them itself.
    #[must_use]
    pub fn suspected_by_peers(&self) -> BTreeSet<Cookie> {
        self.peers.suspected(WITNESSES)
    }

    /// Whether this node is one of the few that read the newest state for all: the store answers
    /// it, and it is the first by rendezvous hash among the peers it knows that the store answers. Nodes that know other
    /// peers may see it otherwise, so that now and then there are more or fewer readers; when
    /// one fails the next notices by its heartbeats.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        let own = reader_rank(self.own_address);
        let ahead = self.peers.followers().map(reader_rank);
        self.follows_store && ahead.filter(|rank| *rank < own).count() < READERS
    }

    /// A fetch from `from` came to nothing.
    pub fn fetch_failed(&mut self, from: SocketAddrV4) {
        self.peers.discredit(from);
    }

    fn jittered_period(&mut self) -> Duration {
        self.settings
            .period
            .mul_f64(self.random.random_range(0.8..=1.2))
    }

    fn send_round(&mut self, own: Versions, effects: &mut Vec<ExchangeEffect>) {
        let mut receivers = self.peers.sample(self.settings.fanout, &mut self.random);
        let seed = self.random_seed();
        let lonely = receivers.len() < self.settings.fanout;
        // A seed now and then joins parts of the cluster that have lost each other.
        const SEED_CHANCE: f64 = 0.1;
        if let Some(seed) = seed
            && (lonely || self.random.random_bool(SEED_CHANCE))
            && !receivers.contains(&seed)
        {
            receivers.push(seed);
        }
        for receiver in receivers {
            self.send(receiver, own, effects);
        }
    }

    fn random_seed(&mut self) -> Option<SocketAddrV4> {
        if self.seeds.is_empty() {
            return None;
        }
        let index = self.random.random_range(0..self.seeds.len());
        Some(self.seeds[index])
    }

    fn send(&mut self, to: SocketAddrV4, own: Versions, effects: &mut Vec<ExchangeEffect>) {
        let peers = self
            .peers
            .sample_for(to, Heartbeat::MAXIMUM_PEERS, &mut self.random);
        effects.push(ExchangeEffect::Send {
            to,
            heartbeat: Heartbeat {
                versions: own,
                leaving: self.leaving,
                follows_store: self.follows_store,
                peers,
                suspected: self.suspected.iter().map(|cookie| cookie.bits()).collect(),
            },
        });
    }

    /// A node that is behind, or that doesn't know anybody, is answered; but not too often.
    fn deserves_reply(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        heartbeat: &Heartbeat,
        own: Versions,
    ) -> bool {
        let sender_is_behind = heartbeat.versions.configuration < own.configuration
            || heartbeat.versions.directory_changed_at < own.directory_changed_at;
        let sender_is_lonely = heartbeat.peers.len() < self.settings.fanout;
        (sender_is_behind || sender_is_lonely) && self.peers.may_reply(now, from)
    }

    fn fetch_if_behind(
        &mut self,
        now: Timestamp,
        own: Versions,
        behind: &impl Fn(Versions) -> bool,
        effects: &mut Vec<ExchangeEffect>,
    ) {
        let Some(from) = self.peers.newest(behind, &mut self.random) else {
            self.behind_since = None;
            return;
        };
        let since = *self.behind_since.get_or_insert(now);
        let patience_over = own.is_empty() || now.since(since) >= self.settings.patience;
        if patience_over && now >= self.next_fetch {
            self.next_fetch = now.after(self.settings.fetch_interval);
            effects.push(ExchangeEffect::Fetch { from });
        }
    }
}

fn reader_rank(address: SocketAddrV4) -> u64 {
    let mut bytes = [0; 6];
    bytes[..4].copy_from_slice(&address.ip().octets());
    bytes[4..].copy_from_slice(&address.port().to_be_bytes());
    XxHash3_64::oneshot_with_seed(READER_SEED, &bytes)
}
