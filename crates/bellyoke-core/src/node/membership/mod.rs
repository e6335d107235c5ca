//! Membership protocol: SWIM (Das, Gupta, Motivala 2002) with suspicion and incarnations.
//!
//! A node probes one member per period, independent of the cluster size. Updates of member states
//! are piggybacked on probes and their answers. The number of updates per message and of
//! transmissions per update are bounded.

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

/// Maximum number of queued updates piggybacked on a message.
const UPDATES_PER_MESSAGE: usize = 4;

/// Maximum number of records in each message of a full member state, and of updates applied from a
/// message.
const RECORDS_PER_STATE_MESSAGE: usize = 7;

/// Maximum length of a zone name accepted from a peer.
const MAXIMUM_ZONE_NAME_BYTES: usize = 63;

/// Number of seeds or failed members contacted at once by a node without live peers.
const SEEDS_PER_CONTACT: usize = 3;

/// Maximum number of seeds kept.
const MAXIMUM_SEEDS: usize = 1024;

/// Action requested by the membership protocol.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEffect {
    /// Sends a message.
    Send(Transmission),
    /// Reports that a member's state has changed.
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
    /// Time at which the next full member state may be sent. If many nodes join at once, the others
    /// learn the state by gossip.
    next_state_at: Timestamp,
    last_run_at: Option<Timestamp>,
}

impl Membership {
    /// Returns the state of a node without any known member.
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

    /// Returns the record of this node.
    #[must_use]
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the record of another member.
    #[must_use]
    pub fn get(&self, node: NodeId) -> Option<&MemberRecord> {
        self.table.get(node)
    }

    /// Returns all records, starting with that of this node.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        std::iter::once(&self.own).chain(self.table.records())
    }

    /// Returns the other members that are alive or suspected.
    #[must_use]
    pub fn live_peers(&self) -> Vec<NodeId> {
        self.table.live_members()
    }

    /// Returns the peer address of `node`.
    #[must_use]
    pub fn address(&self, node: NodeId) -> Option<SocketAddr> {
        self.get(node).map(|record| record.member.peer_address)
    }

    /// Returns up to `count` random live members.
    pub fn random_peers(&mut self, count: usize) -> Vec<NodeId> {
        let live = self.live_peers();
        live.sample(&mut self.random, count).copied().collect()
    }

    /// Sets addresses at which members may be reachable. They don't define the membership.
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

    /// Adds the members of a generation that are unknown.
    pub fn add_members(&mut self, members: &[Member]) -> Vec<MembershipEffect> {
        let changes = self.table.add_members(members, self.own.member.node);
        changes.into_iter().map(MembershipEffect::Change).collect()
    }

    /// Marks `former`, members of an older generation that a newer one lacks, as failed. Unless they
    /// announced to leave, the publisher of the newer generation considered them failed. If they
    /// are alive, they refute this; this node does so at once if it is one of them.
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

    /// Records that `node` has acknowledged `generation`.
    pub fn record_acknowledgement(&mut self, node: NodeId, generation: GenerationNumber) {
        if node == self.own.member.node {
            self.own.acknowledged = generation.max(self.own.acknowledged);
        } else {
            self.table.record_acknowledgement(node, generation);
        }
    }

    /// Announces that this node will leave.
    pub fn leave(&mut self) {
        self.own.leaving = true;
        self.publish_own();
    }

    /// Announces to a few members directly that this node leaves now.
    pub fn announce_left(&mut self) -> Vec<MembershipEffect> {
        self.own.state = MemberState::Left;
        self.publish_own();
        let peers = self.random_peers(self.settings.fan_out);
        let records = vec![self.own.clone()];
        let message = MembershipMessage::State { records };
        let send = |node| self.send(node, Priority::Probe, message.clone());
        peers.into_iter().filter_map(send).collect()
    }

    /// Processes a message from the node `from`.
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

    /// Performs all actions that are due at `now`.
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

    /// Returns the time at which [`Self::timeout`] is due.
    #[must_use]
    pub fn next_timeout(&self) -> Timestamp {
        let indirect = self.prober.current().and_then(|probe| probe.indirect_at);
        let optional = indirect.into_iter().chain(self.table.next_deadline());
        optional.fold(self.next_probe_at.min(self.next_contact_at), Timestamp::min)
    }

    /// Cancels the pending probe and postpones deadlines after this process was paused for more
    /// than two periods, since it couldn't receive answers or refutations meanwhile.
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

    /// Schedules the first probe at a random time within a period, which spreads the probes of
    /// nodes that start at the same time.
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

    /// Refutes an update that reports this node as suspected or failed.
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

    /// Returns updates to send to `receiver`, starting with one that it must refute itself.
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

    /// Returns the decimal logarithm of the cluster size, rounded down, plus one: the number of its
    /// decimal digits.
    fn cluster_size_digits(&self) -> u32 {
        let size = self.live_peers().len() + 1;
        size.ilog10() + 1
    }

    fn retransmission_count(&self) -> u32 {
        self.settings.retransmit_multiplier * self.cluster_size_digits()
    }

    fn suspicion_duration(&self) -> Duration {
        self.settings.suspicion_multiplier * self.cluster_size_digits() * self.settings.probe_period
    }
}
