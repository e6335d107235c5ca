//! One node's control state: what it knows, and what it tells and asks its peers.
//!
//! A host hands in what the store and peers say, does the effects, and publishes the forwarding
//! table after each change.

mod outlying;
mod probing;

use crate::cookie::capacity::BusyDetector;
use crate::cookie::era::{AnswerValidity, CallContext, EraTracker};
use crate::cookie::exchange::{
    DeltaMessage, Exchange, ExchangeEffect, FetchRequest, Heartbeat, PeerDatagram, StoreDuty,
};
use crate::cookie::follower::{Freshness, Read, Reply, Update, WatchPlan};
use crate::cookie::freshness::ObjectKind;
use crate::cookie::instance::{Cookie, InstanceEvent, InstanceRecord};
use crate::cookie::outliers::OutlierSettings;
use crate::cookie::reachability::ReachabilityMonitor;
use crate::cookie::replica::{Replica, Snapshot, StateChange, Versions};
use crate::cookie::revision::{Revision, StoreEra};
use crate::cookie::route::Configuration;
use crate::cookie::stall::StallDetector;
use crate::cookie::zones::{DrainedZone, ZoneEvent};
use crate::time::Timestamp;
use outlying::OutlierDuty;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

/// What came of a piece of news.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// What changed in the node's state.
    pub change: StateChange,
    /// What the host has to do.
    pub effects: Vec<ExchangeEffect>,
}

/// The control state of one node. Its clock must not start near zero: peers tell ages that may be
/// greater than that of the process.
///
/// ```
/// use bellyoke_core::cookie::coordinator::Coordinator;
/// use bellyoke_core::cookie::exchange::{Exchange, ExchangeSettings};
/// use bellyoke_core::cookie::follower::Update;
/// use bellyoke_core::cookie::replica::Replica;
/// use bellyoke_core::cookie::revision::Revision;
/// use bellyoke_core::time::Timestamp;
/// use std::time::Duration;
///
/// let own_address = "10.0.0.1:7000".parse().unwrap();
/// let exchange = Exchange::new(ExchangeSettings::default(), own_address, Vec::new(), 1);
/// let replica = Replica::new(Duration::from_secs(70));
/// let mut coordinator = Coordinator::new(replica, exchange);
/// let empty = Update::List { at: Revision::new(3), items: Vec::new() };
/// assert!(coordinator.instances(Timestamp::ZERO, empty).change.directory);
/// ```
#[derive(Debug)]
pub struct Coordinator {
    replica: Replica,
    exchange: Exchange,
    eras: EraTracker,
    stall: StallDetector,
    busy: BusyDetector,
    link_is_paced: bool,
    reachability: ReachabilityMonitor,
    outlying: OutlierDuty,
    /// Whether instances came, went or changed since the last tick. What that tells of those in question is looked at once
    /// a tick: it takes a walk through all instances, and changes come twenty times a second.
    records_changed: bool,
    /// By [`ObjectKind`]: whether the last call to the store was answered.
    store_usable: [bool; ObjectKind::COUNT],
}

impl Coordinator {
    /// A node that has just started.
    #[must_use]
    pub fn new(replica: Replica, exchange: Exchange) -> Self {
        Self {
            reachability: ReachabilityMonitor::new(exchange.origin()),
            replica,
            exchange,
            eras: EraTracker::default(),
            stall: StallDetector::new(),
            busy: BusyDetector::default(),
            link_is_paced: false,
            outlying: OutlierDuty::new(OutlierSettings::default()),
            records_changed: false,
            store_usable: [true; ObjectKind::COUNT],
        }
    }

    /// What the node knows.
    #[must_use]
    pub const fn replica(&self) -> &Replica {
        &self.replica
    }

    /// How it speaks to its peers.
    #[must_use]
    pub const fn exchange(&self) -> &Exchange {
        &self.exchange
    }

    /// Replaces the addresses where peers are looked for.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.exchange.set_seeds(seeds);
    }

    /// Whether what the node sends is paced, since its link carries no more.
    pub const fn set_link_paced(&mut self, paced: bool) {
        self.link_is_paced = paced;
    }

    /// Whether this node, which knows nothing yet, is one of the few that ask the store for all
    /// that know nothing.
    #[must_use]
    pub fn asks_for_all(&self) -> bool {
        self.replica.versions().is_empty() && self.exchange.ranks_among_first()
    }

    /// What the node reads of the store.
    #[must_use]
    pub fn duty(&self, now: Timestamp) -> StoreDuty {
        self.exchange.duty(now)
    }

    /// How the node goes on reading objects of a kind.
    #[must_use]
    pub fn watch_plan(&self, now: Timestamp, kind: ObjectKind) -> WatchPlan {
        let versions = self.replica.versions();
        match self.exchange.watch_plan(now, kind, versions) {
            plan if !self.eras.was_recently_restored(now) => plan,
            plan @ WatchPlan::IdleUntil(time) if now < time => plan,
            WatchPlan::Watch(_) => WatchPlan::Watch(Freshness::Newest),
            WatchPlan::Confirm | WatchPlan::IdleUntil(_) => WatchPlan::Confirm,
        }
    }

    /// The latest era of the store that is known.
    #[must_use]
    pub const fn era(&self) -> StoreEra {
        self.eras.era()
    }

    /// Whether the store was restored since this node learned of it.
    #[must_use]
    pub const fn store_was_restored(&self) -> bool {
        self.eras.was_restored()
    }

    /// What to hand in with the reply to a call that begins now.
    #[must_use]
    pub fn call_context(&self) -> CallContext {
        let known = self.replica.versions().latest();
        self.eras.call_context(known)
    }

    /// What a reply of the store counts for. One that is not current must not be handed in otherwise.
    pub fn judge_reply<Item, Event>(
        &mut self,
        now: Timestamp,
        context: CallContext,
        read: &Read,
        reply: &Reply<Item, Event>,
    ) -> AnswerValidity {
        self.eras.classify(now, context, read, reply)
    }

    /// The revision up to which everything of a kind is known, wherever it came from.
    #[must_use]
    pub fn known_up_to(&self, kind: ObjectKind) -> Revision {
        let versions = self.replica.versions();
        match kind {
            ObjectKind::Instances => versions.directory_as_of,
            ObjectKind::Configuration => versions.configuration_as_of,
            ObjectKind::Zones => versions.zones_as_of,
        }
    }

    /// Whether the node may call the store now: while nobody gets an answer, the nodes take turns.
    #[must_use]
    pub fn may_ask(&self, now: Timestamp, kind: ObjectKind) -> bool {
        let knows_all = !self.replica.versions().is_empty();
        self.exchange.may_ask(now, kind, knows_all)
    }

    /// A call to the store for objects of a kind begins.
    pub fn note_asked(&mut self, now: Timestamp, kind: ObjectKind, freshness: Freshness) {
        self.exchange.note_asked(now, kind, freshness);
    }

    /// Whether the store answered the last call for objects of a kind.
    pub fn note_store(&mut self, now: Timestamp, kind: ObjectKind, usable: bool) {
        self.exchange.note_answered(now, usable);
        self.store_usable[kind as usize] = usable;
        self.exchange
            .set_store_usable(self.store_usable == [true; ObjectKind::COUNT]);
    }

    /// The store tells of instances.
    pub fn instances(
        &mut self,
        now: Timestamp,
        update: Update<InstanceRecord, InstanceEvent>,
    ) -> Outcome {
        let before = self.replica.versions();
        let directory = match update {
            Update::List { at, items } => self.replica.replace_instances(now, at, items),
            Update::Changes { at, events } => self.replica.apply_instances(now, at, events),
        };
        let change = StateChange {
            directory,
            ..StateChange::default()
        };
        self.told_by_store(now, ObjectKind::Instances, before, change)
    }

    /// The store tells of the configuration.
    pub fn configurations(
        &mut self,
        now: Timestamp,
        update: Update<Configuration, Configuration>,
    ) -> Outcome {
        let before = self.replica.versions();
        let (Update::List {
            at,
            items: configurations,
        }
        | Update::Changes {
            at,
            events: configurations,
        }) = update;
        let mut change = StateChange::default();
        for configuration in configurations {
            change.configuration |= self.replica.adopt_configuration(configuration);
        }
        self.replica.confirm_configuration(at);
        self.told_by_store(now, ObjectKind::Configuration, before, change)
    }

    /// The store tells of drained zones.
    pub fn zones(&mut self, now: Timestamp, update: Update<DrainedZone, ZoneEvent>) -> Outcome {
        let before = self.replica.versions();
        let zones = match update {
            Update::List { at, items } => self.replica.replace_zones(now, at, items),
            Update::Changes { at, events } => self.replica.apply_zones(now, at, events),
        };
        let change = StateChange {
            zones,
            ..StateChange::default()
        };
        self.told_by_store(now, ObjectKind::Zones, before, change)
    }

    /// A datagram has come from a peer.
    pub fn datagram(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        datagram: PeerDatagram,
    ) -> Outcome {
        self.notice_stall(now);
        match datagram {
            PeerDatagram::Heartbeat(heartbeat) => self.heartbeat(now, from, &heartbeat),
            PeerDatagram::Delta(message) => self.delta(now, from, message),
            PeerDatagram::Question(question) => self.question(now, &question),
            PeerDatagram::Objection(objection) => self.objection(now, &objection),
            PeerDatagram::Findings(report) => self.findings(now, &report),
            PeerDatagram::Outliers(message) => self.outlier_message(now, &message),
        }
    }

    /// A snapshot that was fetched from a peer has come.
    pub fn snapshot(&mut self, now: Timestamp, from: SocketAddrV4, snapshot: Snapshot) -> Outcome {
        let before = self.replica.versions();
        self.note_versions(now, snapshot.versions);
        self.exchange.fetched(from, snapshot.versions);
        let change = self.replica.merge(now, snapshot);
        self.changed(now, before, change)
    }

    /// A fetch from a peer has brought data, though not all yet.
    pub fn fetch_progressed(&mut self, now: Timestamp, from: SocketAddrV4) {
        self.exchange.fetch_progressed(now, from);
    }

    /// A fetch from a peer came to nothing.
    pub fn fetch_failed(&mut self, from: SocketAddrV4) {
        self.exchange.fetch_failed(from);
    }

    /// Time has passed. Returns how long the process stood still, if it did.
    pub fn tick(&mut self, now: Timestamp) -> (Outcome, Option<Duration>) {
        self.notice_stall(now);
        let stalled = self.stall.tick(now);
        self.busy.tick(now);
        let busy = self.link_is_paced || self.busy.is_busy(now);
        self.exchange.set_busy(busy);
        if stalled.is_some() {
            self.reachability.stalled();
        }
        let change = self.replica.expire(now);
        if std::mem::take(&mut self.records_changed) || change.directory {
            self.note_records(now);
        }
        let replica = &self.replica;
        let behind = |versions| replica.is_behind(versions);
        let mut effects = self.exchange.tick(now, replica.versions(), behind);
        effects.extend(self.ask_for_confirmation(now));
        (Outcome { change, effects }, stalled)
    }

    /// Instances that fail the openings that this node sends. Tells peers of a change at once.
    pub fn set_failing(&mut self, now: Timestamp, failing: Vec<Cookie>) -> Vec<ExchangeEffect> {
        self.exchange.set_failing(failing);
        self.exchange.announce(now, self.replica.versions())
    }

    /// How many nodes there are, rather too many than too few.
    #[must_use]
    pub fn nodes_at_most(&self, now: Timestamp) -> f64 {
        self.exchange.nodes_at_most(now)
    }

    /// Instances that peers suspect.
    #[must_use]
    pub fn peer_suspicions(&self) -> BTreeSet<Cookie> {
        self.exchange.peer_suspicions()
    }

    /// The node leaves: tells a few peers.
    pub fn leave(&mut self, now: Timestamp) -> Vec<ExchangeEffect> {
        self.exchange.leave(now, self.replica.versions())
    }

    /// The message for a peer that knows `known`; none if it lacks nothing, or too much.
    #[must_use]
    pub fn delta_for(&self, now: Timestamp, known: Versions) -> Option<DeltaMessage> {
        Some(DeltaMessage {
            versions: self.replica.versions(),
            delta: self.replica.delta_for(now, known)?,
        })
    }

    /// What this node asks a peer that is ahead.
    #[must_use]
    pub fn fetch_request(&self) -> FetchRequest {
        FetchRequest {
            known: self.replica.versions(),
            zone: self.exchange.place().zone,
            wants_all_gone: self.exchange.is_newcomer(),
        }
    }

    /// The answer to a peer's request.
    #[must_use]
    pub fn snapshot_for(&self, now: Timestamp, request: FetchRequest) -> Snapshot {
        let gone_since = if request.wants_all_gone {
            Revision::default()
        } else {
            request.known.directory_as_of
        };
        self.replica.snapshot_for(now, request.known, gone_since)
    }

    fn heartbeat(&mut self, now: Timestamp, from: SocketAddrV4, heartbeat: &Heartbeat) -> Outcome {
        self.note_versions(now, heartbeat.versions);
        self.replica.confirm(heartbeat.versions);
        let replica = &self.replica;
        let behind = |versions| replica.is_behind(versions);
        let effects = self
            .exchange
            .heartbeat(now, from, heartbeat, replica.versions(), behind);
        Outcome {
            change: StateChange::default(),
            effects,
        }
    }

    fn delta(&mut self, now: Timestamp, from: SocketAddrV4, message: DeltaMessage) -> Outcome {
        let before = self.replica.versions();
        self.note_versions(now, message.versions);
        let change = self.replica.merge_delta(now, message.delta);
        self.replica.confirm(message.versions);
        self.exchange.note_versions(from, message.versions);
        self.changed(now, before, change)
    }

    fn told_by_store(
        &mut self,
        now: Timestamp,
        kind: ObjectKind,
        before: Versions,
        change: StateChange,
    ) -> Outcome {
        self.notice_stall(now);
        let mut outcome = self.changed(now, before, change);
        let own = self.replica.versions();
        let effects = self.exchange.store_confirmed(now, kind, own);
        outcome.effects.extend(effects);
        outcome
    }

    fn changed(&mut self, now: Timestamp, before: Versions, change: StateChange) -> Outcome {
        if change.directory {
            self.forget_earlier_runs();
            self.records_changed = true;
        }
        let effects = if change.any() {
            let own = self.replica.versions();
            self.exchange.changed(now, before, own)
        } else {
            Vec::new()
        };
        Outcome { change, effects }
    }

    /// A peer has told its versions, and with them the era of the store that it knows.
    fn note_versions(&mut self, now: Timestamp, versions: Versions) {
        if !versions.is_empty() {
            self.eras.record_era(now, versions.latest().era());
        }
    }

    /// After a stall, confirmations that waited in sockets are old.
    fn notice_stall(&mut self, now: Timestamp) {
        if self.stall.is_overdue(now) {
            self.exchange.stalled(now);
        }
    }
}
