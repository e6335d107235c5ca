//! Control state of one node: its replica of the stored objects and its exchange with peers.
//!
//! A host passes in the replies of the store and the messages of peers, performs the returned
//! effects, and publishes the forwarding table after each change.

mod continuity_check;
mod outlier_detection;
mod probing;

use crate::cookie::capacity::BusyDetector;
use crate::cookie::continuity::{ContinuityTracker, ListedObject};
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
use outlier_detection::OutlierState;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

/// The result of applying an update.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// The changes in the node's state.
    pub change: StateChange,
    /// The effects that the host has to perform.
    pub effects: Vec<ExchangeEffect>,
}

/// The control state of one node. Its clock must not start near zero, because peers report ages
/// that may exceed the age of the process.
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
/// assert!(coordinator.apply_instances(Timestamp::ZERO, empty).change.directory);
/// ```
#[derive(Debug)]
pub struct Coordinator {
    replica: Replica,
    exchange: Exchange,
    eras: EraTracker,
    continuity: ContinuityTracker,
    stall: StallDetector,
    busy: BusyDetector,
    link_is_paced: bool,
    reachability: ReachabilityMonitor,
    outlier_state: OutlierState,
    /// Whether instances were added, removed or changed since the last tick. The records of
    /// suspected instances are updated only once per tick: this walks through all instances, and
    /// changes arrive twenty times a second.
    records_changed: bool,
    /// By [`ObjectKind`]: whether the store answered the last call.
    store_usable: [bool; ObjectKind::COUNT],
}

impl Coordinator {
    /// Creates the state of a node that has just started.
    #[must_use]
    pub fn new(replica: Replica, exchange: Exchange) -> Self {
        Self {
            reachability: ReachabilityMonitor::new(exchange.origin()),
            replica,
            exchange,
            eras: EraTracker::default(),
            continuity: ContinuityTracker::new(),
            stall: StallDetector::new(),
            busy: BusyDetector::default(),
            link_is_paced: false,
            outlier_state: OutlierState::new(OutlierSettings::default()),
            records_changed: false,
            store_usable: [true; ObjectKind::COUNT],
        }
    }

    /// Returns the node's replica of the stored objects.
    #[must_use]
    pub const fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the exchange with peers.
    #[must_use]
    pub const fn exchange(&self) -> &Exchange {
        &self.exchange
    }

    /// Replaces the seed addresses at which peers are looked for.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.exchange.set_seeds(seeds);
    }

    /// Sets whether the node paces its packets because the capacity of its link is reached.
    pub const fn set_link_paced(&mut self, paced: bool) {
        self.link_is_paced = paced;
    }

    /// Returns whether this node, which has no state yet, is one of the few that read the store on
    /// behalf of all nodes without state.
    #[must_use]
    pub fn is_bootstrap_reader(&self) -> bool {
        self.replica.versions().is_empty() && self.exchange.ranks_among_first()
    }

    /// Returns the node's duty in reading the store.
    #[must_use]
    pub fn duty(&self, now: Timestamp) -> StoreDuty {
        self.exchange.duty(now)
    }

    /// Returns how the node continues to read objects of a kind.
    #[must_use]
    pub fn watch_plan(&self, now: Timestamp, kind: ObjectKind) -> WatchPlan {
        let versions = self.replica.versions();
        match self.exchange.watch_plan(now, kind, versions) {
            WatchPlan::IdleUntil(_) if self.continuity.must_check() => WatchPlan::Confirm,
            plan if !self.eras.was_recently_restored(now) => plan,
            plan @ WatchPlan::IdleUntil(time) if now < time => plan,
            WatchPlan::Watch(_) => WatchPlan::Watch(Freshness::Newest),
            WatchPlan::Confirm | WatchPlan::IdleUntil(_) => WatchPlan::Confirm,
        }
    }

    /// Returns the latest known era of the store.
    #[must_use]
    pub const fn era(&self) -> StoreEra {
        self.eras.era()
    }

    /// Returns whether the store was restored since this node learned of it.
    #[must_use]
    pub const fn store_was_restored(&self) -> bool {
        self.eras.was_restored()
    }

    /// Returns the context of a store call that starts now, to be passed in with its reply.
    #[must_use]
    pub fn call_context(&self) -> CallContext {
        let known = self.replica.versions().latest();
        self.eras.call_context(known)
    }

    /// Checks whether a reply of the store is current. Any other reply must not be applied.
    pub fn classify_reply<Item: ListedObject, Event>(
        &mut self,
        now: Timestamp,
        context: CallContext,
        read: &Read,
        reply: &Reply<Item, Event>,
    ) -> AnswerValidity {
        match self.eras.classify(now, context, read, reply) {
            AnswerValidity::Current if !self.eras.reports_era() => {
                self.check_continuity(now, context, read, &reply.answer)
            }
            validity => validity,
        }
    }

    /// Returns the revision up to which all objects of a kind are known, from any source.
    #[must_use]
    pub fn known_up_to(&self, kind: ObjectKind) -> Revision {
        let versions = self.replica.versions();
        match kind {
            ObjectKind::Instances => versions.directory_as_of,
            ObjectKind::Configuration => versions.configuration_as_of,
            ObjectKind::Zones => versions.zones_as_of,
        }
    }

    /// Returns whether the node may call the store now. While the store answers no node, each node
    /// waits for its slot.
    #[must_use]
    pub fn may_call_store(&self, now: Timestamp, kind: ObjectKind) -> bool {
        let knows_all = !self.replica.versions().is_empty();
        self.exchange.may_call_store(now, kind, knows_all)
    }

    /// Records the start of a store call for objects of a kind.
    pub fn record_store_call(&mut self, now: Timestamp, kind: ObjectKind, read: &Read) {
        self.continuity.record_call(now, kind);
        self.exchange.record_store_call(now, kind, read);
    }

    /// Records whether the store answered the last call for objects of a kind.
    pub fn record_store_availability(&mut self, now: Timestamp, kind: ObjectKind, usable: bool) {
        self.exchange.record_store_answer(now, usable);
        self.store_usable[kind as usize] = usable;
        self.exchange
            .set_store_usable(self.store_usable == [true; ObjectKind::COUNT]);
    }

    /// Applies an update of the instances from the store.
    pub fn apply_instances(
        &mut self,
        now: Timestamp,
        update: Update<InstanceRecord, InstanceEvent>,
    ) -> Outcome {
        let before = self.replica.versions();
        let was_list = update.is_list();
        self.prepare_instance_update(now);
        let directory = match update {
            Update::List { at, items } => self.replica.replace_instances(now, at, items),
            Update::Changes { at, events } => self.replica.apply_instances(now, at, events),
        };
        self.replica.set_newest_until(None);
        let change = StateChange {
            directory,
            ..StateChange::default()
        };
        self.finish_store_update(now, ObjectKind::Instances, was_list, before, change)
    }

    /// Tells the replica what the times and revisions in the next update of the store stand for.
    fn prepare_instance_update(&mut self, now: Timestamp) {
        let may_mix = !self.eras.reports_era() && self.continuity.started_recently(now);
        self.replica.set_may_mix_histories(may_mix);
        let newest_until = self.exchange.newest_until(now, ObjectKind::Instances);
        self.replica.set_newest_until(newest_until);
    }

    /// Applies an update of the configuration from the store.
    pub fn apply_configurations(
        &mut self,
        now: Timestamp,
        update: Update<Configuration, Configuration>,
    ) -> Outcome {
        let before = self.replica.versions();
        let was_list = update.is_list();
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
        self.finish_store_update(now, ObjectKind::Configuration, was_list, before, change)
    }

    /// Applies an update of the drained zones from the store.
    pub fn apply_zones(
        &mut self,
        now: Timestamp,
        update: Update<DrainedZone, ZoneEvent>,
    ) -> Outcome {
        let before = self.replica.versions();
        let was_list = update.is_list();
        let zones = match update {
            Update::List { at, items } => self.replica.replace_zones(now, at, items),
            Update::Changes { at, events } => self.replica.apply_zones(now, at, events),
        };
        let change = StateChange {
            zones,
            ..StateChange::default()
        };
        self.finish_store_update(now, ObjectKind::Zones, was_list, before, change)
    }

    /// Handles a datagram from a peer.
    pub fn handle_datagram(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        datagram: PeerDatagram,
    ) -> Outcome {
        self.detect_stall(now);
        match datagram {
            PeerDatagram::Heartbeat(heartbeat) => self.handle_heartbeat(now, from, &heartbeat),
            PeerDatagram::Delta(message) => self.handle_delta(now, from, message),
            PeerDatagram::ProbeRequest(request) => self.handle_probe_request(now, &request),
            PeerDatagram::Refutation(refutation) => self.handle_refutation(now, &refutation),
            PeerDatagram::Findings(report) => self.handle_findings(now, &report),
            PeerDatagram::Outliers(message) => self.handle_outlier_message(now, &message),
        }
    }

    /// Applies a snapshot that was fetched from a peer.
    pub fn apply_snapshot(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        snapshot: Snapshot,
    ) -> Outcome {
        let before = self.replica.versions();
        if !self.eras.reports_era() && self.replica.is_contradicted_by(&snapshot) {
            self.continuity.record_contradicting_peer();
        }
        self.record_versions(now, snapshot.versions);
        self.exchange.fetch_succeeded(from, snapshot.versions);
        let change = self.replica.merge(now, snapshot);
        self.changed(now, before, change)
    }

    /// Records that a fetch from a peer has received data but is not complete.
    pub fn record_fetch_progress(&mut self, now: Timestamp, from: SocketAddrV4) {
        self.exchange.record_fetch_progress(now, from);
    }

    /// Records that a fetch from a peer has failed.
    pub fn fetch_failed(&mut self, from: SocketAddrV4) {
        self.exchange.fetch_failed(from);
    }

    /// Advances the time. Returns how long the process was stalled, if it was.
    pub fn tick(&mut self, now: Timestamp) -> (Outcome, Option<Duration>) {
        self.detect_stall(now);
        let stalled = self.stall.tick(now);
        self.busy.tick(now);
        let busy = self.link_is_paced || self.busy.is_busy(now);
        self.exchange.set_busy(busy);
        if stalled.is_some() {
            self.reachability.reset_after_stall();
        }
        let change = self.replica.expire(now);
        if std::mem::take(&mut self.records_changed) || change.directory {
            self.update_records(now);
        }
        let replica = &self.replica;
        let behind = |versions| replica.is_behind(versions);
        let mut effects = self.exchange.tick(now, replica.versions(), behind);
        effects.extend(self.request_confirmation(now));
        (Outcome { change, effects }, stalled)
    }

    /// Sets the instances that fail the openings of this node, and announces a change to peers at
    /// once.
    pub fn set_failing(&mut self, now: Timestamp, failing: Vec<Cookie>) -> Vec<ExchangeEffect> {
        self.exchange.set_failing(failing);
        self.exchange.announce(now, self.replica.versions())
    }

    /// Returns an upper estimate of the number of nodes.
    #[must_use]
    pub fn node_count_upper_bound(&self, now: Timestamp) -> f64 {
        self.exchange.node_count_upper_bound(now)
    }

    /// Returns the instances that peers suspect.
    #[must_use]
    pub fn peer_suspicions(&self) -> BTreeSet<Cookie> {
        self.exchange.peer_suspicions()
    }

    /// Leaves the cluster, and announces it to a few peers.
    pub fn leave(&mut self, now: Timestamp) -> Vec<ExchangeEffect> {
        self.exchange.leave(now, self.replica.versions())
    }

    /// Returns the message for a peer whose state is `known`; `None` if it lacks nothing, or more
    /// than a delta can carry.
    #[must_use]
    pub fn delta_for(&self, now: Timestamp, known: Versions) -> Option<DeltaMessage> {
        Some(DeltaMessage {
            versions: self.replica.versions(),
            delta: self.replica.delta_for(now, known)?,
        })
    }

    /// Returns the request to fetch a snapshot from a peer that is ahead.
    #[must_use]
    pub fn fetch_request(&self) -> FetchRequest {
        FetchRequest {
            known: self.replica.versions(),
            zone: self.exchange.place().zone,
            wants_all_tombstones: self.exchange.started_recently(),
        }
    }

    /// Returns the snapshot that answers a peer's request.
    #[must_use]
    pub fn snapshot_for(&self, now: Timestamp, request: FetchRequest) -> Snapshot {
        let removed_since = if request.wants_all_tombstones {
            Revision::default()
        } else {
            request.known.directory_as_of
        };
        self.replica.snapshot_for(now, request.known, removed_since)
    }

    fn handle_heartbeat(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        heartbeat: &Heartbeat,
    ) -> Outcome {
        self.record_versions(now, heartbeat.versions);
        self.replica.confirm(heartbeat.versions);
        let replica = &self.replica;
        let behind = |versions| replica.is_behind(versions);
        let effects =
            self.exchange
                .handle_heartbeat(now, from, heartbeat, replica.versions(), behind);
        Outcome {
            change: StateChange::default(),
            effects,
        }
    }

    fn handle_delta(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        message: DeltaMessage,
    ) -> Outcome {
        let before = self.replica.versions();
        self.record_versions(now, message.versions);
        let change = self.replica.merge_delta(now, message.delta);
        self.replica.confirm(message.versions);
        self.exchange.record_versions(from, message.versions);
        self.changed(now, before, change)
    }

    fn finish_store_update(
        &mut self,
        now: Timestamp,
        kind: ObjectKind,
        was_list: bool,
        before: Versions,
        change: StateChange,
    ) -> Outcome {
        self.detect_stall(now);
        let mut outcome = self.changed(now, before, change);
        let own = self.replica.versions();
        let effects = self.exchange.store_confirmed(now, kind, was_list, own);
        outcome.effects.extend(effects);
        outcome
    }

    fn changed(&mut self, now: Timestamp, before: Versions, change: StateChange) -> Outcome {
        if change.directory {
            self.forget_earlier_runs();
        }
        // Whether an address counts as reused depends on the services that the configuration names.
        self.records_changed |= change.directory || change.configuration;
        let effects = if change.any() {
            let own = self.replica.versions();
            self.exchange.push_changes(now, before, own)
        } else {
            Vec::new()
        };
        Outcome { change, effects }
    }

    /// Records the versions that a peer reported, which include the era of the store that it knows.
    fn record_versions(&mut self, now: Timestamp, versions: Versions) {
        if !versions.is_empty() {
            self.eras.record_era(now, versions.latest().era());
        }
    }

    /// Detects a stall of the process. Confirmations that were queued in sockets meanwhile are out
    /// of date.
    fn detect_stall(&mut self, now: Timestamp) {
        if self.stall.is_overdue(now) {
            self.exchange.reset_after_stall(now);
        }
    }
}
