//! Gossip between nodes: they exchange state versions and fetch the state that they lack.
//!
//! Gossip uses random peer sampling (Demers et al. 1987; Jelasity et al. 2007): in each period a
//! node sends a short heartbeat with its state versions to a few random peers, whatever the size of
//! the cluster. A node pushes each state change at once to a few peers as a delta, and they forward
//! it. A node that is still behind fetches a snapshot from a peer that is ahead. A node therefore
//! receives the whole state even if the store refuses its calls, its watch hangs, or it starts
//! during a store outage.
//!
//! Three nodes watch the store ([`StoreDuty`]). Their confirmations that the state is current
//! spread the same way, and the other nodes stay idle while these confirmations are fresh. A node
//! that receives none for [`ExchangeSettings::freshness_bound`] calls the store itself.
//!
//! Unlike the membership protocol of [`crate::node`], this protocol needs no agreed member list: no
//! decision depends on the set of participants, and a sample of live peers is enough.

mod cluster_size;
mod effect;
mod fetches;
mod findings;
mod live_sample;
mod message;
mod outliers;
mod packed;
mod peers;
mod receivers;
mod repeats;
mod seal;
mod settings;
mod store_calls;
mod suspicions;
mod watcher_claims;
mod watchers;
mod zone_sizes;

pub use effect::ExchangeEffect;
pub use fetches::FETCH_STALL_TIMEOUT;
pub use findings::{ReachabilityReport, ReportedFinding};
pub use message::{
    AliveInstance, DeltaMessage, FetchRequest, Heartbeat, MAXIMUM_DATAGRAM_BYTES,
    MAXIMUM_FETCH_BYTES, MAXIMUM_HEARTBEAT_BYTES, MAXIMUM_SNAPSHOT_BYTES, PeerDatagram,
    PeerSuggestion, ProbeRequest, Refutation, ZoneSize, decode_snapshot, encode_snapshot,
};
pub(crate) use outliers::tallies_of;
pub use outliers::{OutlierMessage, ReportedTally};
pub use peers::PeerRecord;
pub use seal::{DecodeError, EncodeError, PeerKey};
pub use settings::ExchangeSettings;
pub use watcher_claims::{CLAIM_LIFETIME, StoreDuty, WATCHERS, WatcherClaim};
pub use watchers::ConfirmationSource;

use crate::cookie::capacity::{NodePlace, ZoneKey};
use crate::cookie::freshness::FreshnessClock;
use crate::cookie::instance::Cookie;
use crate::cookie::reachability::{Finding, LifeSign};
use crate::cookie::replica::Versions;
use crate::time::Timestamp;
use cluster_size::ClusterSize;
use fetches::{FetchPurpose, FetchTable};
use live_sample::LiveSample;
use peers::PeerTable;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use receivers::PUSH_SUGGESTIONS;
use repeats::{FINDING_REPETITIONS, REFUTATION_REPETITIONS, RepeatQueue};
use std::net::SocketAddrV4;
use std::time::Duration;
use store_calls::StoreCallPacer;
use watcher_claims::{ClaimTable, rank_nodes};
use zone_sizes::ZoneSizes;

/// Number of nodes that read the whole state from the store while no node has it.
const BOOTSTRAP_READERS: usize = 2;

/// Number of snapshots that a node fetches after its start even if it is not behind. The store does
/// not report deleted instances, and the first peer may itself have just started.
const STARTUP_FETCHES: u32 = 2;

/// The gossip state of one node.
#[derive(Debug)]
pub struct Exchange {
    settings: ExchangeSettings,
    own_address: SocketAddrV4,
    place: NodePlace,
    /// Whether the node is too busy for duties that other nodes can take.
    busy: bool,
    seeds: Vec<SocketAddrV4>,
    peers: PeerTable,
    zone_sizes: ZoneSizes,
    /// Estimated number of nodes in the own zone, as of the last gossip round.
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
    clock: FreshnessClock,
    confirmation_source: Option<ConfirmationSource>,
    pacer: StoreCallPacer,
    /// The last confirmation that was pushed to peers.
    pushed_confirmation: Timestamp,
    ignore_confirmations_until: Timestamp,
    startup_fetches_left: u32,
    /// Set once a suggested fetch source had no state.
    ignore_suggested_versions: bool,
    failing: Vec<Cookie>,
    /// Probe findings that are not yet reported, and the earliest time of the next report.
    pending_findings: Vec<Finding>,
    repeated_findings: RepeatQueue<Finding>,
    repeated_refutations: RepeatQueue<LifeSign>,
    next_findings_report: Timestamp,
    cluster_size: ClusterSize,
    live_sample: LiveSample,
}

impl Exchange {
    /// Creates the exchange of a node at `own_address` whose only known peers are `seeds`.
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
            clock: FreshnessClock::new(settings.reads_zones),
            confirmation_source: None,
            pacer: StoreCallPacer::new(),
            pushed_confirmation: Timestamp::ZERO,
            ignore_confirmations_until: Timestamp::ZERO,
            startup_fetches_left: STARTUP_FETCHES,
            ignore_suggested_versions: false,
            failing: Vec::new(),
            pending_findings: Vec::new(),
            repeated_findings: RepeatQueue::new(FINDING_REPETITIONS),
            repeated_refutations: RepeatQueue::new(REFUTATION_REPETITIONS),
            next_findings_report: Timestamp::ZERO,
            cluster_size: ClusterSize::default(),
            live_sample: LiveSample::new(),
        };
        exchange.set_seeds(seeds);
        exchange
    }

    /// Sets the zone and the capacity class of the node.
    #[must_use]
    pub const fn with_place(mut self, place: NodePlace) -> Self {
        self.place = place;
        self
    }

    /// Sets whether the node is too busy for duties that other nodes can take. They move to other
    /// nodes unless those are busy as well.
    pub const fn set_busy(&mut self, busy: bool) {
        self.busy = busy;
    }

    /// Returns the zone and the capacity class that the node advertises.
    #[must_use]
    pub const fn place(&self) -> NodePlace {
        self.own_place()
    }

    /// Returns whether the node is too busy for duties that other nodes can take.
    #[must_use]
    pub const fn is_busy(&self) -> bool {
        self.busy
    }

    /// Returns the zone of a known peer.
    #[must_use]
    pub fn zone_of(&self, peer: SocketAddrV4) -> Option<ZoneKey> {
        self.peers.zone_of(peer)
    }

    /// Returns the rank of this node's claim among the best claims, starting at zero, or `None` if
    /// it is not among them.
    #[must_use]
    pub fn claim_rank(&self) -> Option<usize> {
        self.claims.rank_of(self.own_address)
    }

    /// Replaces the addresses of the seed nodes.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
        self.seeds.retain(|seed| *seed != self.own_address);
    }

    /// Returns the peers that were seen recently.
    pub fn peers(&self) -> impl Iterator<Item = (SocketAddrV4, &PeerRecord)> {
        self.peers.iter()
    }

    /// Returns whether this node is one of the first `BOOTSTRAP_READERS` by rank among all known
    /// nodes, including those that were only suggested.
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

    /// Returns when [`Self::tick`] is due next.
    #[must_use]
    pub const fn next_tick(&self) -> Timestamp {
        self.next_gossip
    }

    /// Performs the work that is due at `now`. `own` is the state version of this node; `behind`
    /// returns whether this node lacks something that a peer with the given versions has.
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
        effects.extend(self.sample_live_peers(now, own));
        effects.extend(self.repeat_messages(now));
        effects.extend(self.flush_findings(now));
        effects
    }

    /// Handles a heartbeat from `from`.
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
        let is_reply = self.live_sample.record_heartbeat(from);
        let zone = self.own_zone();
        if self.peers.record_heartbeat(now, zone, from, heartbeat) {
            effects.push(ExchangeEffect::PeerJoined(from));
        }
        if !is_reply {
            self.record_suggestions(now, heartbeat);
        }
        self.record_claims(now, &heartbeat.claims);
        if let Some(confirmed_at) = self.confirmation(now, heartbeat) {
            self.pacer.record_peer_confirmation(confirmed_at);
            if !behind(heartbeat.versions) {
                let read = heartbeat.confirming_read();
                self.adopt_confirmation(now, from, confirmed_at, read, own, &mut effects);
            }
        }
        self.reply(now, from, heartbeat, own, &mut effects);
        self.fetch_if_behind(now, own, &behind, &mut effects);
        effects
    }

    /// Records the versions that a peer sent with a delta.
    pub fn record_versions(&mut self, from: SocketAddrV4, versions: Versions) {
        self.peers.record_versions(from, versions);
    }

    /// Pushes the changes since the versions `before` to a few peers.
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

    /// Pushes a heartbeat to a few peers, for changes that do not appear in the versions.
    pub fn announce(&mut self, now: Timestamp, own: Versions) -> Vec<ExchangeEffect> {
        let receivers = self.announce_receivers();
        let heartbeats = self.push_heartbeats(now, receivers, own).into_iter();
        let sent =
            heartbeats.map(|(to, heartbeat)| ExchangeEffect::SendHeartbeat { to, heartbeat });
        sent.collect()
    }

    /// Announces to a few peers that this node leaves; they remove it from their tables.
    pub fn leave(&mut self, now: Timestamp, own: Versions) -> Vec<ExchangeEffect> {
        self.leaving = true;
        self.withdraw_claim();
        self.announce(now, own)
    }

    /// Returns an estimate of the number of nodes that errs on the high side.
    #[must_use]
    pub fn node_count_upper_bound(&self, now: Timestamp) -> f64 {
        self.cluster_size.upper_bound(now)
    }

    /// Returns whether this node started recently and may lack tombstones of deleted instances.
    #[must_use]
    pub const fn started_recently(&self) -> bool {
        self.startup_fetches_left > 0
    }

    /// Records that the fetch from a peer has received data but is not complete.
    pub fn record_fetch_progress(&mut self, now: Timestamp, from: SocketAddrV4) {
        let interval = self.settings.fetch_interval;
        self.fetches.record_progress(now, from, interval);
    }

    /// Records that a snapshot with these versions was fetched from a peer and merged.
    pub fn fetch_succeeded(&mut self, from: SocketAddrV4, versions: Versions) {
        self.fetches.end(from);
        if versions.is_empty() {
            self.record_empty_source(from);
        } else {
            self.startup_fetches_left = self.startup_fetches_left.saturating_sub(1);
        }
    }

    /// Records that the fetch from `from` failed.
    pub fn fetch_failed(&mut self, from: SocketAddrV4) {
        self.fetches.end(from);
        self.record_empty_source(from);
    }

    /// Records that a peer had no state to offer. It is not fetched from again before its next
    /// heartbeat, and if it was only suggested, suggested versions are ignored from then on: after
    /// a restart of many nodes they are outdated.
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

    /// Counts the nodes of the own zone, which is advertised to peers, and the nodes of the
    /// cluster.
    fn count_nodes(&mut self, now: Timestamp) {
        self.own_zone_nodes = self.estimated_zone_nodes();
        self.zone_sizes.expire(now);
        let nodes = self.own_zone_nodes.round().min(f64::from(u16::MAX)) as u16;
        self.zone_sizes.record(self.own_zone(), nodes, now);
        let nodes = self.estimated_nodes();
        self.cluster_size.record(now, nodes);
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
            confirmed_by_newest_read: self.rests_on_newest_read(),
            place: self.own_place(),
            claims: self.claims.claims(now),
            peers: self
                .peers
                .suggestions_for(to, maximum_suggestions, &mut self.random, |_| true),
            zones: self.zone_sizes.recent_counts(now),
            failing: self.failing.iter().map(|cookie| cookie.bits()).collect(),
        }
    }

    /// Replies to a node that is behind or knows too few peers, at a limited rate.
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
        // A delta cannot supply all objects of a kind. The node needs peers to fetch from.
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
        // A node that has no state of some kind fetches at once instead of waiting for the store,
        // but only from a peer with all kinds: the first nodes to get data have one kind before the
        // others.
        let urgent = own.is_empty() && !versions.is_empty();
        let delay_elapsed = now.since(since) >= self.settings.catch_up_delay;
        if urgent || delay_elapsed {
            self.fetch(now, from, FetchPurpose::CatchUp, effects);
        }
    }

    /// Fetches from any peer after the start. Does not delay a fetch from a peer that is ahead.
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

/// Returns the time from `earlier` to `now` in milliseconds, the unit of ages in messages.
fn milliseconds_since(now: Timestamp, earlier: Timestamp) -> u32 {
    u32::try_from(now.since(earlier).as_millis()).unwrap_or(u32::MAX)
}
