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
const UPDATES_A_MESSAGE: usize = 4;

/// Records in one part of a full member state.
const RECORDS_A_STATE: usize = 7;

/// Longest zone name that is accepted from a peer, bytes.
const MAXIMUM_ZONE_LENGTH: usize = 63;

/// Seeds that are tried at once.
const SEEDS_A_TIME: usize = 3;

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
    next_probe: Timestamp,
    next_contact: Timestamp,
    /// When the next full member state may be sent: a joining crowd gets the rest by gossip.
    next_state: Timestamp,
    last_run: Option<Timestamp>,
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
            next_probe: Timestamp::ZERO,
            next_contact: Timestamp::ZERO,
            next_state: Timestamp::ZERO,
            last_run: None,
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
        self.table.live()
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
        if self.table.live().is_empty() {
            self.next_contact = now;
        }
    }

    /// Makes the members of a generation known.
    pub fn learn(&mut self, members: &[Member]) -> Vec<MembershipEffect> {
        let changes = self.table.learn(members, self.own.member.node);
        changes.into_iter().map(MembershipEffect::Change).collect()
    }

    /// A generation lacks `former`, which are members of an older one: whoever published it
    /// took them for dead, if they have not announced to leave. If they live, they refute it.
    pub fn doubt(&mut self, now: Timestamp, former: &[NodeId]) -> Vec<MembershipEffect> {
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
            effects.extend(self.apply(now, &update));
        }
        effects
    }

    /// `node` has acknowledged `generation`.
    pub fn acknowledged(&mut self, node: NodeId, generation: GenerationNumber) {
        if node == self.own.member.node {
            self.own.acknowledged = generation.max(self.own.acknowledged);
        } else {
            self.table.acknowledged(node, generation);
        }
    }

    /// Announces that this node will stop.
    pub fn leave(&mut self) {
        self.own.leaving = true;
        self.publish_own();
    }

    /// Announces that this node stops now, to a few members directly.
    pub fn left(&mut self) -> Vec<MembershipEffect> {
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
                let mut effects = self.apply_all(now, &updates);
                effects.extend(self.answer(from, sequence));
                effects
            }
            MembershipMessage::ProbeRequest { sequence, target } => {
                let effect = self.probe_for(now, from, sequence, target);
                effect.into_iter().collect()
            }
            MembershipMessage::ProbeAnswer { sequence, updates } => {
                let mut effects = self.apply_all(now, &updates);
                effects.extend(self.answered(sequence));
                effects
            }
            MembershipMessage::Join {
                record,
                digest,
                exchange,
                updates,
            } => {
                let mut effects = self.apply_all(now, &updates);
                effects.extend(self.joined(now, &record, digest, exchange));
                effects
            }
            MembershipMessage::State { records } => {
                let updates: Vec<MemberUpdate> = records.iter().map(MemberRecord::update).collect();
                self.apply_all(now, &updates)
            }
        }
    }

    /// Lets time pass.
    pub fn timeout(&mut self, now: Timestamp) -> Vec<MembershipEffect> {
        self.notice_pause(now);
        let mut effects = self.fail_suspects(now);
        effects.extend(self.probe_indirectly(now));
        if now >= self.next_probe {
            effects.extend(self.next_period(now));
        }
        if now >= self.next_contact {
            effects.extend(self.contact(now));
        }
        effects
    }

    /// When [`Self::timeout`] has something to do.
    #[must_use]
    pub fn next_timeout(&self) -> Timestamp {
        let indirect = self.prober.current().and_then(|probe| probe.indirect_at);
        let optional = indirect.into_iter().chain(self.table.next_deadline());
        optional.fold(self.next_probe.min(self.next_contact), Timestamp::min)
    }

    /// A process that did not run for longer than two periods has no right to suspect others
    /// of what happened meanwhile.
    fn notice_pause(&mut self, now: Timestamp) {
        let Some(last_run) = self.last_run.replace(now) else {
            self.start(now);
            return;
        };
        let gap = now.since(last_run);
        if gap > 2 * self.settings.probe_period {
            self.prober.finish();
            self.table.postpone_deadlines(gap);
        }
    }

    /// Draws when the first probe is sent, so that nodes started together don't probe together.
    fn start(&mut self, now: Timestamp) {
        let period = self.settings.probe_period;
        self.next_probe = now.after(self.random_part(period));
        self.next_contact = now;
    }

    fn random_part(&mut self, whole: Duration) -> Duration {
        whole.mul_f64(self.random.random_range(0.0..1.0))
    }

    fn fail_suspects(&mut self, now: Timestamp) -> Vec<MembershipEffect> {
        let mut effects = Vec::new();
        for record in self.table.overdue_suspects(now) {
            let mut update = record.update();
            update.state = MemberState::Failed;
            effects.extend(self.apply(now, &update));
        }
        effects
    }

    fn apply_all(&mut self, now: Timestamp, news: &[MemberUpdate]) -> Vec<MembershipEffect> {
        let bounded = news.iter().take(RECORDS_A_STATE);
        bounded.flat_map(|record| self.apply(now, record)).collect()
    }

    fn apply(&mut self, now: Timestamp, news: &MemberUpdate) -> Vec<MembershipEffect> {
        if news.node == self.own.member.node {
            self.refute(news);
            return Vec::new();
        }
        let zone_length = news.member.as_ref().map_or(0, |member| member.zone.0.len());
        if zone_length > MAXIMUM_ZONE_LENGTH {
            return Vec::new();
        }
        let Some(change) = self.table.apply(news) else {
            return Vec::new();
        };
        self.set_deadline(now, change);
        self.updates.add(news.node, self.retransmissions());
        vec![MembershipEffect::Change(change)]
    }

    fn set_deadline(&mut self, now: Timestamp, change: MemberChange) {
        match change {
            MemberChange::Suspected(node) => {
                let deadline = now.after(self.suspicion_time());
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
    fn refute(&mut self, news: &MemberUpdate) {
        let stale = news.incarnation < self.own.incarnation;
        if stale || !news.supersedes(&self.own) {
            return;
        }
        self.own.incarnation = news.incarnation + 1;
        self.publish_own();
    }

    fn publish_own(&mut self) {
        let times = self.retransmissions();
        self.updates.add(self.own.member.node, times);
    }

    /// News to send to `receiver`; first of all what it must refute itself.
    fn updates_for(&mut self, receiver: NodeId) -> Vec<MemberUpdate> {
        let mut updates = Vec::new();
        let doubted = |record: &&MemberRecord| record.state != MemberState::Alive;
        let own_doubts = self.table.get(receiver).filter(doubted);
        updates.extend(own_doubts.map(MemberRecord::update));
        for node in self.updates.take(UPDATES_A_MESSAGE) {
            match self.record_of(node) {
                Some(_) if node == receiver => {}
                Some(record) => updates.push(record.update()),
                None => self.updates.remove(node),
            }
        }
        updates
    }

    fn record_of(&self, node: NodeId) -> Option<&MemberRecord> {
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
    fn logarithm(&self) -> u32 {
        let size = self.live_peers().len() + 1;
        size.ilog10() + 1
    }

    fn retransmissions(&self) -> u32 {
        self.settings.retransmit_multiplier * self.logarithm()
    }

    fn suspicion_time(&self) -> Duration {
        self.settings.suspicion_multiplier * self.logarithm() * self.settings.probe_period
    }
}
