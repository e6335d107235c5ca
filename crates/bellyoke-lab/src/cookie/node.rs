//! A node of the model: the product's state machines, wired as the daemon wires them.

use super::packet::Packet;
use super::scenario::Ablation;
use super::store::{ObjectKind, StoreAnswer};
use bellyoke_core::cookie::exchange::{Exchange, ExchangeEffect, ExchangeSettings, Heartbeat};
use bellyoke_core::cookie::follower::{
    Answer, Follower, FollowerSettings, Freshness, Next, Read, Update,
};
use bellyoke_core::cookie::forwarder::{Decision, DropReason, Forwarder};
use bellyoke_core::cookie::health::HealthSettings;
use bellyoke_core::cookie::instance::{InstanceEvent, InstanceRecord, InstanceState};
use bellyoke_core::cookie::packet::{Destination, PacketRole};
use bellyoke_core::cookie::readiness::Lifecycle;
use bellyoke_core::cookie::replica::{Replica, Snapshot};
use bellyoke_core::cookie::route::Configuration;
use bellyoke_core::cookie::stall::{BacklogGuard, StallDetector, TickReport};
use bellyoke_core::cookie::table::ForwardingTable;
use bellyoke_core::time::Timestamp;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddrV4;
use std::time::Duration;

/// How long gone instances are remembered.
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(70);

/// How long a leaving node goes on.
const LEAVE_GRACE: Duration = Duration::from_millis(1_100);

/// How long a node waits for an answer beyond what it let the store wait.
const PATIENCE: Duration = Duration::from_millis(1_500);

/// How long it waits where that is taken out.
const FOREVER: Duration = Duration::from_secs(3_600);

/// What a node does with a packet.
#[derive(Debug)]
pub enum Forwarded {
    /// It goes to an instance.
    To(Destination, Packet),
    /// Its sender gets a reset.
    Reset(Packet),
    /// Nothing.
    Dropped,
}

/// A call that a node makes to the store.
#[derive(Clone, Debug)]
pub struct StoreCall {
    /// What it asks for.
    pub kind: ObjectKind,
    /// How.
    pub read: Read,
    /// Its number, to tell its answer from those of calls that were given up.
    pub number: u64,
    /// How long the node waits.
    pub patience: Duration,
}

/// One run of a node's process.
#[derive(Debug)]
pub struct Node {
    ablations: Vec<Ablation>,
    replica: Replica,
    table: ForwardingTable,
    forwarder: Forwarder,
    exchange: Exchange,
    lifecycle: Lifecycle,
    stall: StallDetector,
    ticks: TickReport,
    guard: BacklogGuard,
    instances: Follower<InstanceRecord>,
    configurations: Follower<Configuration>,
    calls: [Option<u64>; 2],
    next_call: u64,
    random: ChaCha8Rng,
}

impl Node {
    /// A process that starts now.
    #[must_use]
    pub fn new(
        now: Timestamp,
        address: SocketAddrV4,
        seeds: Vec<SocketAddrV4>,
        ablations: Vec<Ablation>,
        seed: u64,
    ) -> Self {
        let tombstone_lifetime = if ablations.contains(&Ablation::ForgetGone) {
            Duration::ZERO
        } else {
            TOMBSTONE_LIFETIME
        };
        let health = HealthSettings {
            failure_threshold: if ablations.contains(&Ablation::NoSuspicion) {
                u32::MAX
            } else {
                HealthSettings::default().failure_threshold
            },
            ..HealthSettings::default()
        };
        let follower = FollowerSettings::default();
        Self {
            ablations,
            replica: Replica::new(tombstone_lifetime),
            table: ForwardingTable::default(),
            forwarder: Forwarder::new(health),
            exchange: Exchange::new(ExchangeSettings::default(), address, seeds, seed),
            lifecycle: Lifecycle::new(LEAVE_GRACE),
            stall: StallDetector::default(),
            ticks: TickReport {
                last: now,
                stalls: 0,
            },
            guard: BacklogGuard::default(),
            instances: Follower::new(follower),
            configurations: Follower::new(follower),
            calls: [None, None],
            next_call: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Whether it takes new flows.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let configured = self.replica.configuration().is_some();
        let informed = self.replica.directory().as_of().is_some();
        self.lifecycle.ready(configured, informed).is_ok()
    }

    /// It is asked to stop.
    pub fn terminate(&mut self, now: Timestamp) {
        self.lifecycle.leave(now);
    }

    /// Whether its grace time is over.
    #[must_use]
    pub fn is_over(&self, now: Timestamp) -> bool {
        self.lifecycle.stop_at().is_some_and(|stop| now >= stop)
    }

    /// All that it knows.
    #[must_use]
    pub fn snapshot(&self, now: Timestamp) -> Snapshot {
        self.replica.snapshot(now)
    }

    /// A packet has come. `last` tells that the socket is empty after it.
    pub fn packet(&mut self, now: Timestamp, packet: &Packet, last: bool) -> Forwarded {
        let Some(view) = packet.product_view() else {
            return Forwarded::Dropped;
        };
        let mut backlog = self.guard.packet(now, self.ticks);
        if self.lacks(Ablation::NoBacklogGuard) {
            backlog = false;
        }
        if last {
            self.guard.emptied();
        }
        let mut view = view;
        if self.lacks(Ablation::HashEveryPacket) && view.role == PacketRole::Later {
            view.role = PacketRole::Opening { attempt: 0 };
        }
        let decision = self.forwarder.decide(now, &self.table, &view, backlog);
        match decision {
            Decision::Place { destination, .. } | Decision::Follow { destination, .. } => {
                let mut forwarded = packet.clone();
                forwarded.echo = destination.cookie.bits();
                if self.lacks(Ablation::RewriteData)
                    && let Some(last) = forwarded.data.last_mut()
                {
                    *last ^= 0x80;
                }
                Forwarded::To(destination, forwarded)
            }
            Decision::Refuse(_) => Forwarded::Reset(packet.reset()),
            Decision::Drop(DropReason::UnknownCookie) if self.lacks(Ablation::ResetUnknown) => {
                Forwarded::Reset(packet.reset())
            }
            Decision::Drop(_) => Forwarded::Dropped,
        }
    }

    /// A heartbeat has come.
    pub fn heartbeat(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        heartbeat: &Heartbeat,
    ) -> Vec<ExchangeEffect> {
        let replica = &self.replica;
        let versions = replica.versions();
        let behind = |versions| replica.is_behind(versions);
        self.exchange
            .heartbeat(now, from, heartbeat, versions, behind)
    }

    /// A snapshot has come, or none.
    pub fn fetched(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        snapshot: Option<Snapshot>,
    ) -> Vec<ExchangeEffect> {
        let Some(snapshot) = snapshot else {
            self.exchange.fetch_failed(from);
            return Vec::new();
        };
        let change = self.replica.merge(now, snapshot);
        self.publish_if(change.any())
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Timestamp) -> Vec<ExchangeEffect> {
        let stalled = self.stall.tick(now).is_some();
        if stalled {
            self.forwarder.stalled();
        }
        self.ticks = TickReport {
            last: now,
            stalls: self.ticks.stalls + u64::from(stalled),
        };
        if self.replica.expire(now) {
            self.table = self.replica.table();
        }
        self.forwarder.review(now, &self.table);
        if self.lacks(Ablation::NoPeers) {
            return Vec::new();
        }
        let suspected = self.forwarder.suspected().collect();
        self.exchange.set_suspected(suspected);
        if !self.lacks(Ablation::NoHearsay) {
            self.forwarder
                .set_hearsay(&self.exchange.suspected_by_peers());
        }
        let replica = &self.replica;
        let behind = |versions| replica.is_behind(versions);
        self.exchange.tick(now, replica.versions(), behind)
    }

    /// The calls to make now.
    pub fn store_calls(&mut self, now: Timestamp) -> Vec<StoreCall> {
        let kinds = [ObjectKind::Instances, ObjectKind::Configurations];
        kinds
            .into_iter()
            .filter_map(|kind| self.store_call(now, kind))
            .collect()
    }

    fn store_call(&mut self, now: Timestamp, kind: ObjectKind) -> Option<StoreCall> {
        if self.calls[kind as usize].is_some() {
            return None;
        }
        let reader = self.exchange.is_reader() && !self.lacks(Ablation::NoReader);
        let freshness = if reader {
            Freshness::Newest
        } else {
            Freshness::MayBeStale
        };
        let next = match kind {
            ObjectKind::Instances => self.instances.next(now, freshness),
            ObjectKind::Configurations => self.configurations.next(now, freshness),
        };
        let Next::Call(read) = next else {
            return None;
        };
        self.next_call += 1;
        self.calls[kind as usize] = Some(self.next_call);
        let wait = match &read {
            Read::Watch { wait, .. } => *wait,
            Read::List { .. } => Duration::ZERO,
        };
        Some(StoreCall {
            kind,
            read,
            number: self.next_call,
            patience: if self.lacks(Ablation::WaitForever) {
                FOREVER
            } else {
                wait + PATIENCE
            },
        })
    }

    /// The answer to a call, or that none came. An answer to a call that was given up counts
    /// for nothing.
    pub fn store_answer(
        &mut self,
        now: Timestamp,
        number: u64,
        answer: StoreAnswer,
    ) -> Vec<ExchangeEffect> {
        let kind = match &answer {
            StoreAnswer::Instances(_) => ObjectKind::Instances,
            StoreAnswer::Configurations(_) => ObjectKind::Configurations,
        };
        if self.calls[kind as usize] != Some(number) {
            return Vec::new();
        }
        self.calls[kind as usize] = None;
        let changed = match answer {
            StoreAnswer::Instances(answer) => self.take_instances(now, answer),
            StoreAnswer::Configurations(answer) => self.take_configurations(now, answer),
        };
        let follows = self.instances.is_following() && self.configurations.is_following();
        self.exchange.set_follows_store(follows);
        self.publish_if(changed)
    }

    fn take_instances(
        &mut self,
        now: Timestamp,
        answer: Answer<InstanceRecord, InstanceEvent>,
    ) -> bool {
        let answer = match answer {
            Answer::Throttled if self.lacks(Ablation::NoStaleLists) => Answer::Failed,
            answer => answer,
        };
        let update = self.instances.answer(now, answer, &mut self.random);
        match update {
            None => false,
            Some(Update::Whole { at, mut items }) => {
                items.iter_mut().for_each(|record| self.taint(record));
                self.replica.replace_instances(now, at, items)
            }
            Some(Update::Changes { at, mut events }) => {
                for event in &mut events {
                    if let InstanceEvent::Put(record) = event {
                        self.taint(record);
                    }
                }
                self.replica.apply_instances(now, at, events)
            }
        }
    }

    fn take_configurations(
        &mut self,
        now: Timestamp,
        answer: Answer<Configuration, Configuration>,
    ) -> bool {
        let update = self.configurations.answer(now, answer, &mut self.random);
        let Some(Update::Whole { items, .. } | Update::Changes { events: items, .. }) = update
        else {
            return false;
        };
        let mut changed = false;
        for configuration in items {
            changed |= self.replica.adopt_configuration(configuration);
        }
        changed
    }

    fn lacks(&self, ablation: Ablation) -> bool {
        self.ablations.contains(&ablation)
    }

    fn taint(&self, record: &mut InstanceRecord) {
        if self.lacks(Ablation::IgnoreDraining) {
            record.state = InstanceState::Ready;
        }
    }

    fn publish_if(&mut self, changed: bool) -> Vec<ExchangeEffect> {
        if !changed {
            return Vec::new();
        }
        self.table = self.replica.table();
        if self.lacks(Ablation::NoPeers) {
            return Vec::new();
        }
        self.exchange.changed(self.replica.versions())
    }
}
