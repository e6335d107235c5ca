//! Host of the virtual network.

use bellyoke_core::generation::Generation;
use bellyoke_core::identity::GenerationNumber;
use bellyoke_core::node::{Input, Message, Node, NodeEvent, NodeIdentity, NodeSettings};
use bellyoke_core::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// A node and the state kept by the caller of its state machine.
pub struct Host {
    /// State machine of the node.
    pub node: Node,
    /// Identity of the node.
    pub identity: NodeIdentity,
    /// Whether the process exists. False once it was killed or has left.
    pub alive: bool,
    /// Whether the process is paused.
    pub paused: bool,
    /// Whether the node reads the store.
    pub reads_store: bool,
    /// Inputs that arrived while the process was paused.
    pub backlog: VecDeque<Input<Message>>,
    /// Generation used by its traffic threads.
    pub forwarding_generation: GenerationNumber,
    /// All events, each with its network time.
    pub events: Vec<(Timestamp, NodeEvent)>,
    /// Bytes sent, including headers.
    pub sent_bytes: u64,
    /// Messages sent.
    pub sent_messages: u64,
    /// Remaining budget at `allowance_updated_at`, in millionths of a byte.
    pub allowance_microbytes: u64,
    /// Network time of the latest update of `allowance_microbytes`.
    pub allowance_updated_at: Timestamp,
    /// Network time of the next wake-up.
    pub next_wake_at: Timestamp,
    /// Number of consecutive wake-ups that were due immediately.
    pub immediate_wakes: u32,
    /// Generations passed to its traffic threads.
    pub generations: BTreeMap<GenerationNumber, Arc<Generation>>,
    lease_until: Timestamp,
    clock_offset: Duration,
}

impl Host {
    /// Returns a host whose clock is ahead of the network time by `clock_offset`.
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

    /// Converts a network time to this host's clock.
    pub fn local_time(&self, now: Timestamp) -> Timestamp {
        now.after(self.clock_offset)
    }

    /// Converts a time of this host's clock to network time.
    pub fn network_time(&self, local: Timestamp) -> Timestamp {
        let start = self.clock_offset.as_micros() as u64;
        Timestamp::from_micros(local.as_micros().saturating_sub(start))
    }

    /// Sets the time, on this host's clock, until which its traffic threads may open flows.
    pub fn set_lease(&mut self, until: Timestamp) {
        self.lease_until = until;
    }

    /// Returns whether its traffic threads may open flows at the network time `now`.
    pub fn may_open_flows(&self, now: Timestamp) -> bool {
        self.alive && self.local_time(now) < self.lease_until
    }

    /// Returns the network time at which the lease expires or expired, or `None` if there was none.
    pub fn lease_end(&self) -> Option<Timestamp> {
        let had_one = self.lease_until > Timestamp::ZERO;
        had_one.then(|| self.network_time(self.lease_until))
    }

    /// Returns whether the process exists and is not paused.
    pub fn is_running(&self) -> bool {
        self.alive && !self.paused
    }

    /// Returns a one-line summary of its state.
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

    /// Returns the number of occurrences of `event`.
    pub fn count_events(&self, event: &NodeEvent) -> usize {
        let same = |(_, other): &&(Timestamp, NodeEvent)| other == event;
        self.events.iter().filter(same).count()
    }
}
