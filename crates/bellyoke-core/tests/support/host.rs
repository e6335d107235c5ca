//! One machine of the virtual network.

use bellyoke_core::generation::Generation;
use bellyoke_core::identity::GenerationNumber;
use bellyoke_core::node::{Input, Message, Node, NodeEvent, NodeIdentity, NodeSettings};
use bellyoke_core::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// A node and all that the caller of its state machine keeps.
pub struct Host {
    /// The state machine.
    pub node: Node,
    /// Who it is.
    pub identity: NodeIdentity,
    /// False once it was killed.
    pub alive: bool,
    /// True while it is paused.
    pub paused: bool,
    /// Whether it reads the store.
    pub reads_store: bool,
    /// What arrived while it was paused.
    pub backlog: VecDeque<Input<Message>>,
    /// Generation that its traffic threads forward by.
    pub forwarding_generation: GenerationNumber,
    /// All events, with the true time of each.
    pub events: Vec<(Timestamp, NodeEvent)>,
    /// Bytes sent, headers included.
    pub sent_bytes: u64,
    /// Messages sent.
    pub sent_messages: u64,
    /// Bytes that the budget would allow at `allowance_updated_at`, in millionths.
    pub allowance_microbytes: u64,
    /// See `allowance_microbytes`.
    pub allowance_updated_at: Timestamp,
    /// True time of the next wake-up.
    pub next_wake_at: Timestamp,
    /// Wake-ups in a row that were due at once.
    pub immediate_wakes: u32,
    /// Members of the generations that it has forwarded by.
    pub generations: BTreeMap<GenerationNumber, Arc<Generation>>,
    lease_until: Timestamp,
    clock_offset: Duration,
}

impl Host {
    /// A host whose clock was started `clock_offset` before the network's.
    pub fn new(
        identity: NodeIdentity,
        settings: NodeSettings,
        seed: u64,
        clock_offset: Duration,
    ) -> Self {
        let allowance_microbytes =
            u64::from(settings.control_budget()) * settings.control_burst().as_secs() * 1_000_000;
        Self {
            node: Node::new(identity.clone(), settings, seed),
            identity,
            alive: true,
            paused: false,
            reads_store: false,
            backlog: VecDeque::new(),
            forwarding_generation: GenerationNumber(0),
            events: Vec::new(),
            sent_bytes: 0,
            sent_messages: 0,
            allowance_microbytes,
            allowance_updated_at: Timestamp::ZERO,
            next_wake_at: Timestamp::ZERO,
            immediate_wakes: 0,
            generations: BTreeMap::new(),
            lease_until: Timestamp::ZERO,
            clock_offset,
        }
    }

    /// What this host's clock shows at the true time `now`.
    pub fn local_time(&self, now: Timestamp) -> Timestamp {
        now.after(self.clock_offset)
    }

    /// The true time at which this host's clock shows `local`.
    pub fn network_time(&self, local: Timestamp) -> Timestamp {
        let start = self.clock_offset.as_micros() as u64;
        Timestamp::from_micros(local.as_micros().saturating_sub(start))
    }

    /// The traffic threads are told until when, by this host's clock, they may open flows.
    pub fn set_lease(&mut self, until: Timestamp) {
        self.lease_until = until;
    }

    /// Whether its traffic threads may open a flow at the true time `now`.
    pub fn may_open_flows(&self, now: Timestamp) -> bool {
        self.alive && self.local_time(now) < self.lease_until
    }

    /// The true time at which the lease ends or ended; none, if there never was one.
    pub fn lease_end(&self) -> Option<Timestamp> {
        let had_one = self.lease_until > Timestamp::ZERO;
        had_one.then(|| self.network_time(self.lease_until))
    }

    /// Whether it runs and is reached.
    pub fn is_running(&self) -> bool {
        self.alive && !self.paused
    }

    /// One line about its state.
    pub fn summary(&self, now: Timestamp) -> String {
        let status = self.node.status();
        let members: Vec<String> = status
            .members
            .iter()
            .map(|record| format!("{}:{:?}", record.member.node, record.state))
            .collect();
        format!(
            "node {}{}{}{}{}: known {} adopted {} acknowledged {} barrier {} waits for {:?} budget {:?} {}",
            self.identity.node,
            if self.alive { "" } else { " dead" },
            if status.leaving { " leaving" } else { "" },
            if self.reads_store { " reader" } else { "" },
            if self.may_open_flows(now) {
                ""
            } else {
                " fenced"
            },
            status.known,
            status.adopted,
            status.acknowledged,
            status.barrier,
            status.barrier_waits_for,
            status.budget,
            members.join(" ")
        )
    }

    /// How often `event` has happened.
    pub fn count_events(&self, event: &NodeEvent) -> usize {
        let same = |(_, other): &&(Timestamp, NodeEvent)| other == event;
        self.events.iter().filter(same).count()
    }
}
