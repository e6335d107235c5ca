//! Peers tell each other how much they know, and fetch what they lack.
//!
//! Gossip by random peer sampling (Demers et al. 1987; Jelasity et al. 2007): each period a node
//! sends a short heartbeat with its versions to a few random peers, whatever the size of the
//! cluster. What a node learns it pushes at once to a few, as a delta, and they push it on. Who is
//! still behind fetches a snapshot from one that is ahead. So a node that the store refuses, or
//! whose watch hangs, or that starts while the store is down, still learns everything.
//!
//! Three nodes watch the store ([`StoreDuty`]). Their confirmations that nothing newer is there
//! spread the same way, and the others rest while these are fresh; whoever hears none for
//! [`ExchangeSettings::freshness_bound`] asks the store itself.
//!
//! Unlike [`crate::node::membership`] this needs no agreed member list: nothing is decided by
//! who takes part, so a sample of live peers is enough.

mod candidates;
mod effect;
mod fetches;
mod findings;
mod message;
mod outliers;
mod packed;
mod peers;
mod receivers;
mod seal;
mod settings;
mod size;
mod store_calls;
mod suspicions;
mod watching;
mod zone_sizes;

pub use candidates::{CLAIM_LIFETIME, StoreDuty, WATCHERS, WatcherClaim};
pub use effect::ExchangeEffect;
pub use fetches::FETCH_STALL_TIMEOUT;
pub use findings::{ReachabilityReport, ReportedFinding};
pub use message::{
    DeltaMessage, FetchRequest, Heartbeat, MAXIMUM_DATAGRAM_LENGTH, MAXIMUM_FETCH_LENGTH,
    MAXIMUM_HEARTBEAT_LENGTH, MAXIMUM_SNAPSHOT_LENGTH, PeerDatagram, PeerSuggestion, ProbeRequest,
    Refutation, ZoneSize, decode_snapshot, encode_snapshot,
};
pub(crate) use outliers::tallies_of;
pub use outliers::{OutlierMessage, ReportedTally};
pub use peers::PeerRecord;
pub use seal::{DecodeError, EncodeError, PeerKey};
pub use settings::ExchangeSettings;

use crate::cookie::capacity::{NodePlace, ZoneKey};
use crate::cookie::freshness::FreshnessClock;
use crate::cookie::instance::Cookie;
use crate::cookie::reachability::Finding;
use crate::cookie::replica::Versions;
use crate::time::Timestamp;
use candidates::{ClaimTable, rank_nodes};
use fetches::{FetchPurpose, FetchTable};
use peers::PeerTable;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use receivers::PUSH_SUGGESTIONS;
use size::ClusterSize;
use std::net::SocketAddrV4;
use std::time::Duration;
use store_calls::StoreCallPacer;
use zone_sizes::ZoneSizes;

/// Nodes that ask the store for all while nobody knows anything.
const BOOTSTRAP_READERS: usize = 2;

/// Snapshots that a node fetches after its start though it is not behind: the store doesn't tell
/// of instances that have gone, and the first peer may have started just now itself.
const STARTUP_FETCHES: u32 = 2;

/// The exchange of one node.
#[derive(Debug)]
pub struct Exchange {
    settings: ExchangeSettings,
    own_address: SocketAddrV4,
    place: NodePlace,
    /// Whether it has too much to do for duties that others can take.
    busy: bool,
    seeds: Vec<SocketAddrV4>,
    peers: PeerTable,
    zone_sizes: ZoneSizes,
    /// How many nodes its own zone has, as of the last round.
    own_zone_nodes: f64,
    random: ChaCha8Rng,
    next_gossip: Timestamp,
    fetches: FetchTable,
    behind_since: Option<Timestamp>,
    leaving: bool,
    claims: ClaimTable,
    /// Since when this node's own claim has been among the best.
    claimed_since: Option<Timestamp>,
    store_usable: bool,
    /// Whether this node, or one that it heard, has read the newest state, and not only states that may be stale.
    newest_was_read: bool,
    clock: FreshnessClock,
    pacer: StoreCallPacer,
    /// The last confirmation that was pushed on.
    pushed_confirmation: Timestamp,
    ignore_confirmations_until: Timestamp,
    startup_fetches_left: u32,
    /// Whether a peer that another one named as a source had nothing.
    ignore_suggested_versions: bool,
    failing: Vec<Cookie>,
    /// Findings of probes that wait to be told, and when they may be.
    pending_findings: Vec<Finding>,
    next_findings_report: Timestamp,
    size: ClusterSize,
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
            place: NodePlace::default(),
            busy: false,
            seeds: Vec::new(),
            peers: PeerTable::default(),
            zone_sizes: ZoneSizes::default(),
            own_zone_nodes: 1.0,
            random: ChaCha8Rng::seed_from_u64(random_seed),
            next_gossip: Timestamp::ZERO,
            fetches: FetchTable::default(),
            behind_since: None,
            leaving: false,
            claims: ClaimTable::default(),
            claimed_since: None,
            store_usable: true,
            newest_was_read: false,
            clock: FreshnessClock::new(settings.reads_zones),
            pacer: StoreCallPacer::new(),
            pushed_confirmation: Timestamp::ZERO,
            ignore_confirmations_until: Timestamp::ZERO,
            startup_fetches_left: STARTUP_FETCHES,
            ignore_suggested_versions: false,
            failing: Vec::new(),
            pending_findings: Vec::new(),
            next_findings_report: Timestamp::ZERO,
            size: ClusterSize::default(),
        };
        exchange.set_seeds(seeds);
        exchange
    }

    /// The same, of a node that stands at a place.
    #[must_use]
    pub const fn with_place(mut self, place: NodePlace) -> Self {
        self.place = place;
        self
    }

    /// Whether the node has too much to do for duties that others can take. They go to others, unless
    /// these have too.
    pub const fn set_busy(&mut self, busy: bool) {
        self.busy = busy;
    }

    /// Where the node stands, and what it tells others that it can bear.
    #[must_use]
    pub const fn place(&self) -> NodePlace {
        self.own_place()
    }

    /// Whether it has too much to do for duties that others can take.
    #[must_use]
    pub const fn is_busy(&self) -> bool {
        self.busy
    }

    /// The zone of a peer, if it is known.
    #[must_use]
    pub fn zone_of(&self, peer: SocketAddrV4) -> Option<ZoneKey> {
        self.peers.zone_of(peer)
    }

    /// Where the node's claim stands among those that it knows, the first at zero; none if others are better.
    #[must_use]
    pub fn claim_rank(&self) -> Option<usize> {
        self.claims.rank_of(self.own_address)
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

    /// Whether this node is one of the few that stand first by rank among those that it knows, alive or
    /// suggested.
    #[must_use]
    pub fn ranks_among_first(&self) -> bool {
        let known = self.peers.iter();
        let mut known: Vec<_> = known
            .map(|(address, record)| (address, record.place))
            .collect();
        known.push((self.own_address, self.own_place()));
        let mut first = rank_nodes(known, |node| *node)
            .into_iter()
            .take(BOOTSTRAP_READERS);
        first.any(|(address, _)| address == self.own_address)
    }

    /// When [`Self::tick`] has something to do.
    #[must_use]
    pub const fn next_tick(&self) -> Timestamp {
        self.next_gossip
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
        if now >= self.next_gossip {
            self.next_gossip = now.after(self.jittered_period());
            for lost in self.peers.expire(now, self.settings.peer_lifetime) {
                effects.push(ExchangeEffect::PeerLost(lost));
            }
            self.renew_claim(now);
            self.draw_first_slots(now);
            self.count_nodes(now);
            self.send_gossip(now, own, &mut effects);
        }
        self.fetch_if_behind(now, own, &behind, &mut effects);
        effects.extend(self.flush_findings(now));
        effects
    }

    /// A heartbeat has come from `from`.
    pub fn handle_heartbeat(
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
            self.claims.withdraw(from);
            if self.peers.remove(from) {
                effects.push(ExchangeEffect::PeerLost(from));
            }
            return effects;
        }
        self.pacer.record_heartbeat(now);
        let zone = self.own_zone();
        if self.peers.record_heartbeat(now, zone, from, heartbeat) {
            effects.push(ExchangeEffect::PeerJoined(from));
        }
        self.record_suggestions(now, heartbeat);
        self.record_claims(now, &heartbeat.claims);
        if let Some(confirmed_at) = self.confirmation(now, heartbeat) {
            self.pacer.record_peer_confirmation(confirmed_at);
            if !behind(heartbeat.versions) {
                let by_newest = heartbeat.confirmed_by_newest_read;
                self.adopt_confirmation(now, confirmed_at, by_newest, own, &mut effects);
            }
        }
        self.reply(now, from, heartbeat, own, &mut effects);
        self.fetch_if_behind(now, own, &behind, &mut effects);
        effects
    }

    /// A peer has sent a delta, and told its versions with it.
    pub fn record_versions(&mut self, from: SocketAddrV4, versions: Versions) {
        self.peers.record_versions(from, versions);
    }

    /// This node, which knew `before`, has learned something: tells a few peers at once.
    pub fn push_changes(
        &mut self,
        now: Timestamp,
        before: Versions,
        own: Versions,
    ) -> Vec<ExchangeEffect> {
        let receivers = self.push_receivers(own);
        let deltas = self.push_heartbeats(now, receivers, own).into_iter();
        let deltas = deltas.map(|(to, heartbeat)| ExchangeEffect::SendDelta {
            to,
            known: before,
            heartbeat,
        });
        deltas.collect()
    }

    /// Tells a few peers at once what doesn't show in the versions.
    pub fn announce(&mut self, now: Timestamp, own: Versions) -> Vec<ExchangeEffect> {
        let receivers = self.announce_receivers();
        let heartbeats = self.push_heartbeats(now, receivers, own).into_iter();
        let sent =
            heartbeats.map(|(to, heartbeat)| ExchangeEffect::SendHeartbeat { to, heartbeat });
        sent.collect()
    }

    /// This node leaves: tells a few peers, who forget it.
    pub fn leave(&mut self, now: Timestamp, own: Versions) -> Vec<ExchangeEffect> {
        self.leaving = true;
        self.withdraw_claim();
        self.announce(now, own)
    }

    /// How many nodes there are, rather too many than too few.
    #[must_use]
    pub fn node_count_upper_bound(&self, now: Timestamp) -> f64 {
        self.size.upper_bound(now)
    }

    /// Whether this node has started of late, so that it may not have heard of all instances that have gone.
    #[must_use]
    pub const fn started_recently(&self) -> bool {
        self.startup_fetches_left > 0
    }

    /// The fetch from a peer has brought data, though not all yet.
    pub fn fetch_progressed(&mut self, now: Timestamp, from: SocketAddrV4) {
        let interval = self.settings.fetch_interval;
        self.fetches.progressed(now, from, interval);
    }

    /// A snapshot of a peer with these versions was taken over.
    pub fn fetch_succeeded(&mut self, from: SocketAddrV4, versions: Versions) {
        self.fetches.end(from);
        if versions.is_empty() {
            self.record_empty_source(from);
        } else {
            self.startup_fetches_left = self.startup_fetches_left.saturating_sub(1);
        }
    }

    /// A fetch from `from` came to nothing.
    pub fn fetch_failed(&mut self, from: SocketAddrV4) {
        self.fetches.end(from);
        self.record_empty_source(from);
    }

    /// A peer has nothing for this node: it isn't asked again before it speaks, and from now on only those
    /// are that spoke themselves. What others tell is old where many have just started anew.
    fn record_empty_source(&mut self, from: SocketAddrV4) {
        if self.peers.clear_versions(from) && !self.ignore_suggested_versions {
            self.ignore_suggested_versions = true;
            self.fetches.clear_delay();
        }
    }

    fn jittered_period(&mut self) -> Duration {
        self.settings
            .period
            .mul_f64(self.random.random_range(0.8..=1.2))
    }

    fn send_gossip(&mut self, now: Timestamp, own: Versions, effects: &mut Vec<ExchangeEffect>) {
        for to in self.gossip_receivers() {
            let heartbeat = self.heartbeat_for(now, to, own, Heartbeat::MAXIMUM_PEERS);
            effects.push(ExchangeEffect::SendHeartbeat { to, heartbeat });
        }
    }

    fn push_heartbeats(
        &mut self,
        now: Timestamp,
        receivers: Vec<SocketAddrV4>,
        own: Versions,
    ) -> Vec<(SocketAddrV4, Heartbeat)> {
        let heartbeats = receivers.into_iter();
        let heartbeats =
            heartbeats.map(|to| (to, self.heartbeat_for(now, to, own, PUSH_SUGGESTIONS)));
        heartbeats.collect()
    }

    /// Counts the nodes of the own zone, for others, and all, for this one.
    fn count_nodes(&mut self, now: Timestamp) {
        self.own_zone_nodes = self.estimated_zone_nodes();
        self.zone_sizes.expire(now);
        let nodes = self.own_zone_nodes.round().min(f64::from(u16::MAX)) as u16;
        self.zone_sizes.record(self.own_zone(), nodes, now);
        let nodes = self.estimated_nodes();
        self.size.record(now, nodes);
    }

    fn heartbeat_for(
        &mut self,
        now: Timestamp,
        to: SocketAddrV4,
        own: Versions,
        maximum_suggestions: usize,
    ) -> Heartbeat {
        let age = self.clock.age(now);
        Heartbeat {
            versions: own,
            leaving: self.leaving,
            peers_up_to_date: false,
            confirmed_age_milliseconds: age.and_then(|age| u32::try_from(age.as_millis()).ok()),
            confirmed_by_newest_read: self.newest_was_read,
            place: self.own_place(),
            claims: self.claims.claims(now),
            peers: self
                .peers
                .suggestions_for(to, maximum_suggestions, &mut self.random, |_| true),
            zones: self.zone_sizes.recent_counts(now),
            failing: self.failing.iter().map(|cookie| cookie.bits()).collect(),
        }
    }

    /// A node that is behind, or that doesn't know anybody, is answered; but not too often.
    fn reply(
        &mut self,
        now: Timestamp,
        to: SocketAddrV4,
        heartbeat: &Heartbeat,
        own: Versions,
        effects: &mut Vec<ExchangeEffect>,
    ) {
        let known = heartbeat.versions;
        let sender_is_behind = known.lacks(own);
        let sender_lacks_peers = heartbeat.peers.len() < self.settings.fanout;
        if !(sender_is_behind || sender_lacks_peers) || !self.peers.try_reply(now, to) {
            return;
        }
        let mut heartbeat = self.heartbeat_for(now, to, own, Heartbeat::MAXIMUM_PEERS);
        // No delta tells a node all that lacks everything of a kind: it has to know whom to ask.
        let needs_snapshot = known.is_empty() && !own.is_empty();
        if needs_snapshot {
            self.suggest_sources(now, to, &mut heartbeat);
        }
        effects.push(if sender_is_behind && !needs_snapshot {
            ExchangeEffect::SendDelta {
                to,
                known,
                heartbeat,
            }
        } else {
            ExchangeEffect::SendHeartbeat { to, heartbeat }
        });
    }

    fn fetch_if_behind(
        &mut self,
        now: Timestamp,
        own: Versions,
        behind: &impl Fn(Versions) -> bool,
        effects: &mut Vec<ExchangeEffect>,
    ) {
        let zone = self.own_zone();
        let Some((from, versions)) = self.peers.newest(
            zone,
            !self.ignore_suggested_versions,
            behind,
            &mut self.random,
        ) else {
            self.behind_since = None;
            self.fetch_after_start(now, effects);
            return;
        };
        let since = *self.behind_since.get_or_insert(now);
        // A node that lacks something altogether doesn't wait for the store, but for a peer that knows
        // all: those that learn first have the one kind before the other.
        let urgent = own.is_empty() && !versions.is_empty();
        let delay_elapsed = now.since(since) >= self.settings.catch_up_delay;
        if urgent || delay_elapsed {
            self.fetch(now, from, FetchPurpose::CatchUp, effects);
        }
    }

    /// Fetches from any peer, after the start. This must not delay a fetch from one that is ahead.
    fn fetch_after_start(&mut self, now: Timestamp, effects: &mut Vec<ExchangeEffect>) {
        if self.startup_fetches_left == 0 {
            return;
        }
        if let Some(from) = self.peers.sample_alive(self.own_zone(), &mut self.random) {
            self.fetch(now, from, FetchPurpose::Startup, effects);
        }
    }

    fn fetch(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        purpose: FetchPurpose,
        effects: &mut Vec<ExchangeEffect>,
    ) {
        if !self.fetches.is_fetching_from(from) && self.fetches.may_start(now, purpose) {
            let interval = self.settings.fetch_interval;
            self.fetches.start(now, from, purpose, interval);
            effects.push(ExchangeEffect::Fetch { from });
        }
    }
}

/// Milliseconds from an earlier time to now, as messages tell ages.
fn milliseconds_since(now: Timestamp, earlier: Timestamp) -> u32 {
    u32::try_from(now.since(earlier).as_millis()).unwrap_or(u32::MAX)
}
