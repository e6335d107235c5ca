//! Who takes part: SWIM (Das, Gupta, Motivala 2002) with suspicion and incarnations.
//!
//! A node probes one member a period, whatever the size of the cluster. News of members ride
//! on probes and their answers, a bounded number on each, each a bounded number of times.

mod contact;
mod message;
mod prober;
mod probing;
mod record;
mod table;
mod updates;

pub use message::MembershipMessage;
pub use record::{MemberRecord, MemberState, MemberUpdate};
pub use table::MemberChange;

use crate::generation::Member;
use crate::identity::{GenerationNumber, NodeId};
use crate::node::budget::{Priority, Transmission};
use crate::node::message::MessageBody;
use crate::node::settings::NodeSettings;
use crate::time::Timestamp;
use prober::Prober;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::time::Duration;
use table::MemberTable;
use updates::UpdateQueue;

/// Records that ride on one message.
const UPDATES_PER_MESSAGE: usize = 4;

/// Records in one part of a full member state.
const RECORDS_PER_STATE_MESSAGE: usize = 7;

/// Longest zone name that is accepted from a peer, bytes.
const MAXIMUM_ZONE_NAME_BYTES: usize = 63;

/// Seeds that are tried at once.
const SEEDS_PER_CONTACT: usize = 3;

/// Seeds that are remembered.
const MAXIMUM_SEEDS: usize = 1024;

/// What membership wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEffect {
    /// Send a message.
    Send(Transmission),
    /// A member's state has changed.
    Change(MemberChange),
}

/// The membership protocol of one node.
#[derive(Debug)]
pub struct Membership {
    own: MemberRecord,
    settings: NodeSettings,
    random: ChaCha8Rng,
    table: MemberTable,
    updates: UpdateQueue,
    prober: Prober,
    seeds: Vec<SocketAddr>,
    next_probe_at: Timestamp,
    next_contact_at: Timestamp,
    /// When the next full member state may be sent: a joining crowd gets the rest by gossip.
    next_state_at: Timestamp,
    last_run_at: Option<Timestamp>,
}

impl Membership {
    /// A node that knows nobody yet.
    #[must_use]
    pub fn new(member: Member, settings: NodeSettings, seed: u64) -> Self {
        Self {
            own: MemberRecord::alive(member),
            settings,
            random: ChaCha8Rng::seed_from_u64(seed),
            table: MemberTable::default(),
            updates: UpdateQueue::default(),
            prober: Prober::default(),
            seeds: Vec::new(),
            next_probe_at: Timestamp::ZERO,
            next_contact_at: Timestamp::ZERO,
            next_state_at: Timestamp::ZERO,
            last_run_at: None,
        }
    }

    /// This node's own record.
    #[must_use]
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// The record of another member.
    #[must_use]
    pub fn get(&self, node: NodeId) -> Option<&MemberRecord> {
        self.table.get(node)
    }

    /// All records, with this node's own first.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        std::iter::once(&self.own).chain(self.table.records())
    }

    /// Other members that are not known to be dead.
    #[must_use]
    pub fn live_peers(&self) -> Vec<NodeId> {
        self.table.live_members()
    }

    /// The peer socket of `node`.
    #[must_use]
    pub fn address(&self, node: NodeId) -> Option<SocketAddr> {
        self.get(node).map(|record| record.member.peer_address)
    }

    /// Up to `count` random live members.
    pub fn random_peers(&mut self, count: usize) -> Vec<NodeId> {
        let live = self.live_peers();
        live.sample(&mut self.random, count).copied().collect()
    }

    /// Addresses where members may be found. They decide nothing.
    pub fn add_seeds(&mut self, now: Timestamp, seeds: Vec<SocketAddr>) {
        let own_address = self.own.member.peer_address;
        self.seeds = seeds
            .into_iter()
            .filter(|seed| *seed != own_address)
            .collect();
        self.seeds.truncate(MAXIMUM_SEEDS);
        if self.table.live_members().is_empty() {
            self.next_contact_at = now;
        }
    }

    /// Makes the members of a generation known.
    pub fn add_members(&mut self, members: &[Member]) -> Vec<MembershipEffect> {
        let changes = self.table.add_members(members, self.own.member.node);
        changes.into_iter().map(MembershipEffect::Change).collect()
    }

    /// A generation lacks `former`, which are members of an older one: whoever published it
    /// took them for dead, if they have not announced to leave. If they live, they refute it.
    pub fn fail_former_members(
        &mut self,
        now: Timestamp,
        former: &[NodeId],
    ) -> Vec<MembershipEffect> {
        let mut effects = Vec::new();
        for node in former {
            if *node == self.own.member.node && !self.own.leaving {
                self.own.incarnation += 1;
                self.publish_own();
            }
            let Some(known) = self.table.get(*node).filter(|known| !known.leaving) else {
                continue;
            };
            let mut update = known.update();
            update.state = MemberState::Failed;
            effects.extend(self.apply_update(now, &update));
        }
        effects
    }

    /// `node` has acknowledged `generation`.
    pub fn record_acknowledgement(&mut self, node: NodeId, generation: GenerationNumber) {
        if node == self.own.member.node {
            self.own.acknowledged = generation.max(self.own.acknowledged);
        } else {
            self.table.record_acknowledgement(node, generation);
        }
    }

    /// Announces that this node will stop.
    pub fn leave(&mut self) {
        self.own.leaving = true;
        self.publish_own();
    }

    /// Announces that this node stops now, to a few members directly.
    pub fn announce_left(&mut self) -> Vec<MembershipEffect> {
        self.own.state = MemberState::Left;
        self.publish_own();
        let peers = self.random_peers(self.settings.fan_out);
        let records = vec![self.own.clone()];
        let message = MembershipMessage::State { records };
        let send = |node| self.send(node, Priority::Probe, message.clone());
        peers.into_iter().filter_map(send).collect()
    }

    /// Takes in a message of the node `from`.
    pub fn handle(
        &mut self,
        now: Timestamp,
        from: NodeId,
        message: MembershipMessage,
    ) -> Vec<MembershipEffect> {
        match message {
            MembershipMessage::Probe { sequence, updates } => {
                let mut effects = self.apply_updates(now, &updates);
                effects.extend(self.send_probe_answer(from, sequence));
                effects
            }
            MembershipMessage::ProbeRequest { sequence, target } => {
                let effect = self.probe_on_behalf_of(now, from, sequence, target);
                effect.into_iter().collect()
            }
            MembershipMessage::ProbeAnswer { sequence, updates } => {
                let mut effects = self.apply_updates(now, &updates);
                effects.extend(self.handle_probe_answer(sequence));
                effects
            }
            MembershipMessage::Join {
                record,
                digest,
                reply_requested,
                updates,
            } => {
                let mut effects = self.apply_updates(now, &updates);
                effects.extend(self.handle_join(now, &record, digest, reply_requested));
                effects
            }
            MembershipMessage::State { records } => {
                let updates: Vec<MemberUpdate> = records.iter().map(MemberRecord::update).collect();
                self.apply_updates(now, &updates)
            }
        }
    }

    /// Lets time pass.
    pub fn timeout(&mut self, now: Timestamp) -> Vec<MembershipEffect> {
        self.handle_pause(now);
        let mut effects = self.fail_suspects(now);
        effects.extend(self.probe_indirectly(now));
        if now >= self.next_probe_at {
            effects.extend(self.start_probe_period(now));
        }
        if now >= self.next_contact_at {
            effects.extend(self.contact_members(now));
        }
        effects
    }

    /// When [`Self::timeout`] has something to do.
    #[must_use]
    pub fn next_timeout(&self) -> Timestamp {
        let indirect = self.prober.current().and_then(|probe| probe.indirect_at);
        let optional = indirect.into_iter().chain(self.table.next_deadline());
        optional.fold(self.next_probe_at.min(self.next_contact_at), Timestamp::min)
    }

    /// A process that did not run for longer than two periods has no right to suspect others
    /// of what happened meanwhile.
    fn handle_pause(&mut self, now: Timestamp) {
        let Some(last_run_at) = self.last_run_at.replace(now) else {
            self.schedule_first_probe(now);
            return;
        };
        let gap = now.since(last_run_at);
        if gap > 2 * self.settings.probe_period {
            self.prober.finish();
            self.table.postpone_deadlines(gap);
        }
    }

    /// Draws when the first probe is sent, so that nodes started together don't probe together.
    fn schedule_first_probe(&mut self, now: Timestamp) {
        let period = self.settings.probe_period;
        self.next_probe_at = now.after(self.random_share_of(period));
        self.next_contact_at = now;
    }

    fn random_share_of(&mut self, whole: Duration) -> Duration {
        whole.mul_f64(self.random.random_range(0.0..1.0))
    }

    fn fail_suspects(&mut self, now: Timestamp) -> Vec<MembershipEffect> {
        let mut effects = Vec::new();
        for record in self.table.overdue_suspects(now) {
            let mut update = record.update();
            update.state = MemberState::Failed;
            effects.extend(self.apply_update(now, &update));
        }
        effects
    }

    fn apply_updates(&mut self, now: Timestamp, updates: &[MemberUpdate]) -> Vec<MembershipEffect> {
        let bounded = updates.iter().take(RECORDS_PER_STATE_MESSAGE);
        bounded
            .flat_map(|record| self.apply_update(now, record))
            .collect()
    }

    fn apply_update(&mut self, now: Timestamp, update: &MemberUpdate) -> Vec<MembershipEffect> {
        if update.node == self.own.member.node {
            self.refute(update);
            return Vec::new();
        }
        let zone_length = update
            .member
            .as_ref()
            .map_or(0, |member| member.zone.0.len());
        if zone_length > MAXIMUM_ZONE_NAME_BYTES {
            return Vec::new();
        }
        let Some(change) = self.table.apply_update(update) else {
            return Vec::new();
        };
        self.set_deadline(now, change);
        self.updates.add(update.node, self.retransmission_count());
        vec![MembershipEffect::Change(change)]
    }

    fn set_deadline(&mut self, now: Timestamp, change: MemberChange) {
        match change {
            MemberChange::Suspected(node) => {
                let deadline = now.after(self.suspicion_duration());
                self.table.set_deadline(node, deadline);
            }
            MemberChange::Failed(node) | MemberChange::Left(node) => {
                let deadline = now.after(self.settings.forget_after);
                self.table.set_deadline(node, deadline);
            }
            MemberChange::Joined(_) | MemberChange::Recovered(_) | MemberChange::Leaving(_) => {}
        }
    }

    /// Others say that this node is suspected or dead: it is not.
    fn refute(&mut self, update: &MemberUpdate) {
        let stale = update.incarnation < self.own.incarnation;
        if stale || !update.supersedes(&self.own) {
            return;
        }
        self.own.incarnation = update.incarnation + 1;
        self.publish_own();
    }

    fn publish_own(&mut self) {
        let times = self.retransmission_count();
        self.updates.add(self.own.member.node, times);
    }

    /// News to send to `receiver`; first of all what it must refute itself.
    fn updates_for(&mut self, receiver: NodeId) -> Vec<MemberUpdate> {
        let mut updates = Vec::new();
        let not_alive = |record: &&MemberRecord| record.state != MemberState::Alive;
        let receiver_record = self.table.get(receiver).filter(not_alive);
        updates.extend(receiver_record.map(MemberRecord::update));
        for node in self.updates.take(UPDATES_PER_MESSAGE) {
            match self.own_or_known_record(node) {
                Some(_) if node == receiver => {}
                Some(record) => updates.push(record.update()),
                None => self.updates.remove(node),
            }
        }
        updates
    }

    fn own_or_known_record(&self, node: NodeId) -> Option<&MemberRecord> {
        if node == self.own.member.node {
            return Some(&self.own);
        }
        self.table.get(node)
    }

    fn send(
        &self,
        to: NodeId,
        priority: Priority,
        message: MembershipMessage,
    ) -> Option<MembershipEffect> {
        let address = self.address(to)?;
        Some(MembershipEffect::Send(Transmission {
            to: Some(to),
            address,
            priority,
            body: MessageBody::Membership(message),
        }))
    }

    /// Decimal logarithm of the cluster's size, rounded up; at least one.
    fn cluster_size_log10(&self) -> u32 {
        let size = self.live_peers().len() + 1;
        size.ilog10() + 1
    }

    fn retransmission_count(&self) -> u32 {
        self.settings.retransmit_multiplier * self.cluster_size_log10()
    }

    fn suspicion_duration(&self) -> Duration {
        self.settings.suspicion_multiplier * self.cluster_size_log10() * self.settings.probe_period
    }
}
