//! Virtual network: links between hosts, and the event queue.

use crate::support::checks;
use crate::support::host::Host;
use crate::support::store::Store;
use bellyoke_core::generation::{Generation, Member};
use bellyoke_core::identity::{GenerationNumber, NodeId};
use bellyoke_core::node::{
    AdoptionReport, Input, Message, NodeEvent, NodeIdentity, NodeSettings, Output, Proposal,
    datagram_overhead,
};
use bellyoke_core::time::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of trace lines kept for a failing test.
const MAXIMUM_TRACE_LINES: usize = 400;

/// Minimum delay of answers by traffic threads and the store.
const LOCAL_DELAY: Duration = Duration::from_millis(1);

/// Properties of the links between hosts.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    /// Minimum one-way delay.
    pub delay: Duration,
    /// Maximum random addition to the delay.
    pub jitter: Duration,
    /// Lost messages per thousand.
    pub loss_per_thousand: u32,
    /// Duplicated messages per thousand.
    pub duplication_per_thousand: u32,
}

impl Default for Link {
    fn default() -> Self {
        Self {
            delay: Duration::from_micros(500),
            jitter: Duration::from_millis(2),
            loss_per_thousand: 0,
            duplication_per_thousand: 0,
        }
    }
}

#[derive(Debug)]
enum ScheduledEvent {
    Arrival {
        to: NodeId,
        from: NodeId,
        bytes: Vec<u8>,
    },
    Wake(NodeId),
    Adopted(NodeId, GenerationNumber),
    StoreRead(NodeId),
    Write {
        base: GenerationNumber,
        members: Vec<bellyoke_core::generation::MemberObject>,
    },
}

/// Hosts, the links between them, and a store.
pub struct VirtualNetwork {
    /// All hosts, including killed ones.
    pub hosts: BTreeMap<NodeId, Host>,
    /// The store.
    pub store: Store,
    /// Properties of the links for messages sent from now on.
    pub link: Link,
    settings: NodeSettings,
    seed: u64,
    random: ChaCha8Rng,
    now: Timestamp,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    scheduled: BTreeMap<u64, ScheduledEvent>,
    next_event_number: u64,
    addresses: BTreeMap<SocketAddr, NodeId>,
    isolated: BTreeSet<NodeId>,
    trace: VecDeque<String>,
    milestones: Vec<String>,
}

impl VirtualNetwork {
    /// Returns a network without hosts.
    pub fn new(seed: u64, settings: NodeSettings) -> Self {
        Self {
            hosts: BTreeMap::new(),
            store: Store::default(),
            link: Link::default(),
            settings,
            seed,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Timestamp::ZERO,
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            next_event_number: 0,
            addresses: BTreeMap::new(),
            isolated: BTreeSet::new(),
            trace: VecDeque::new(),
            milestones: Vec::new(),
        }
    }

    /// Returns the network time.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Returns a random number below `bound`.
    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.random.random_range(0..bound)
    }

    /// Starts a host with the given seed addresses.
    pub fn start(&mut self, member: &Member, reads_store: bool, seeds: Vec<SocketAddr>) {
        let identity = NodeIdentity {
            node: member.node,
            zone: member.zone.clone(),
            peer_address: member.peer_address,
        };
        let clock_offset = Duration::from_micros(self.random.random_range(0..1_000_000_000));
        let seed = self.random.random();
        let mut host = Host::new(identity, self.settings.clone(), seed, clock_offset);
        host.reads_store = reads_store;
        self.addresses.insert(member.peer_address, member.node);
        self.hosts.insert(member.node, host);
        self.input(member.node, Input::Seeds(seeds));
        if reads_store {
            self.schedule_local(ScheduledEvent::StoreRead(member.node));
        }
    }

    /// Writes a generation to the store and notifies its readers.
    pub fn publish(&mut self, generation: Generation) {
        let number = generation.number;
        assert!(
            self.store.write(generation),
            "the store rejects generation {number}"
        );
        self.notify_readers();
    }

    /// Publishes the next generation, with the same content as the newest one.
    pub fn publish_next(&mut self) -> GenerationNumber {
        let current = self.store.current().expect("a generation was published");
        let mut next = Generation::clone(current);
        next.number.0 += 1;
        let number = next.number;
        self.publish(next);
        number
    }

    /// Isolates the hosts in `group` from all others. An empty group heals the partition.
    pub fn partition(&mut self, group: impl IntoIterator<Item = NodeId>) {
        self.isolated = group.into_iter().collect();
        self.record_milestone(format!("partition {:?}", self.isolated));
    }

    /// Kills the process of a host.
    pub fn kill(&mut self, node: NodeId) {
        self.record_milestone(format!("kill {node}"));
        let host = self.hosts.get_mut(&node).expect("the host exists");
        host.alive = false;
    }

    /// Pauses the process of a host without notice.
    pub fn pause(&mut self, node: NodeId) {
        self.record_milestone(format!("pause {node}"));
        self.hosts.get_mut(&node).expect("the host exists").paused = true;
    }

    /// Resumes a paused host. Inputs that arrived meanwhile are processed first.
    pub fn resume(&mut self, node: NodeId) {
        self.record_milestone(format!("resume {node}"));
        let host = self.hosts.get_mut(&node).expect("the host exists");
        host.paused = false;
        let backlog = std::mem::take(&mut host.backlog);
        for input in backlog {
            self.input(node, input);
        }
        self.input(node, Input::Timeout);
    }

    /// Runs for `span` of virtual time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now.after(span);
        while self.queue.peek().is_some_and(|Reverse((at, _))| *at <= end) {
            self.step();
        }
        self.now = end;
    }

    /// Runs until `done` returns true, for at most `limit`. Returns whether it did so in time.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now.after(limit);
        while !done(self) {
            let next = self.queue.peek().map(|Reverse((at, _))| *at);
            if next.is_none_or(|at| at > end) {
                self.now = end;
                return done(self);
            }
            self.step();
        }
        true
    }

    /// Returns whether all running hosts use `generation` or a newer one.
    pub fn all_adopted(&self, generation: GenerationNumber) -> bool {
        let mut running = self.hosts.values().filter(|host| host.is_running());
        running.all(|host| host.forwarding_generation >= generation)
    }

    /// Returns whether all running hosts know that the barrier of `generation` has passed.
    pub fn all_passed(&self, generation: GenerationNumber) -> bool {
        let mut running = self.hosts.values().filter(|host| host.is_running());
        running.all(|host| host.node.status().barrier >= generation)
    }

    /// Passes `input` to a host, or queues it while the host is paused.
    pub fn input(&mut self, node: NodeId, input: Input<Message>) {
        let now = self.now;
        let host = self.hosts.get_mut(&node).expect("the host exists");
        if !host.alive {
            return;
        }
        if host.paused {
            host.backlog.push_back(input);
            return;
        }
        let outputs = host.node.handle(host.local_time(now), input);
        for output in outputs {
            self.handle_output(node, output);
        }
        self.schedule_wake(node);
    }

    fn step(&mut self) {
        let Some(Reverse((at, number))) = self.queue.pop() else {
            return;
        };
        self.now = at;
        let event = self
            .scheduled
            .remove(&number)
            .expect("the event is scheduled");
        match event {
            ScheduledEvent::Arrival { to, from, bytes } => self.deliver(to, from, &bytes),
            ScheduledEvent::Wake(node) => self.handle_wake(node, at),
            ScheduledEvent::Adopted(node, generation) => self.handle_adopted(node, generation),
            ScheduledEvent::StoreRead(node) => self.read_store(node),
            ScheduledEvent::Write { base, members } => {
                if self.store.write_members(base, &members) {
                    let nodes: Vec<NodeId> = members.iter().map(|member| member.node).collect();
                    self.record_milestone(format!("members after {base}: {nodes:?}"));
                    self.notify_readers();
                }
            }
        }
    }

    fn deliver(&mut self, to: NodeId, from: NodeId, bytes: &[u8]) {
        if self.isolated.contains(&to) != self.isolated.contains(&from) {
            return;
        }
        let message = Message::decode(bytes).expect("the peer's message is valid");
        self.record_trace(format!("{from} -> {to}: {:?}", message.body));
        self.input(to, Input::Message { from, message });
    }

    fn handle_wake(&mut self, node: NodeId, at: Timestamp) {
        if self.hosts[&node].next_wake_at == at && self.hosts[&node].is_running() {
            self.input(node, Input::Timeout);
        }
    }

    fn handle_adopted(&mut self, node: NodeId, generation: GenerationNumber) {
        let host = self.hosts.get_mut(&node).expect("the host exists");
        if host.paused {
            self.schedule_local(ScheduledEvent::Adopted(node, generation));
            return;
        }
        host.forwarding_generation = host.forwarding_generation.max(generation);
        let report = AdoptionReport {
            generation,
            opened: Vec::new(),
        };
        self.input(node, Input::Adopted(report));
    }

    fn read_store(&mut self, node: NodeId) {
        let current = self.store.current().filter(|_| !self.store.down).cloned();
        if let Some(current) = current {
            self.input(node, Input::Published(current));
        }
    }

    fn notify_readers(&mut self) {
        let readers = self.hosts.values().filter(|host| host.reads_store);
        let readers: Vec<NodeId> = readers.map(|host| host.identity.node).collect();
        for reader in readers {
            self.schedule_local(ScheduledEvent::StoreRead(reader));
        }
    }

    fn handle_output(&mut self, node: NodeId, output: Output<Message>) {
        match output {
            Output::Send {
                address, message, ..
            } => self.send(node, address, &message),
            Output::Adopt(forwarding) => self.start_adoption(node, forwarding.generation),
            Output::Lease(until) => {
                let host = self.hosts.get_mut(&node).expect("the host exists");
                host.set_lease(until);
            }
            Output::Propose(Proposal::Members(members)) => self.handle_proposal(node, members),
            Output::Event(event) => self.handle_event(node, event),
            _ => {}
        }
    }

    fn send(&mut self, from: NodeId, address: SocketAddr, message: &Message) {
        let bytes = message.encode().expect("the message is encoded");
        let cost = (bytes.len() + datagram_overhead(address)) as u64;
        let budget = u64::from(self.settings.control_budget());
        let now = self.now;
        let host = self.hosts.get_mut(&from).expect("the host exists");
        host.sent_bytes += cost;
        host.sent_messages += 1;
        let burst = self.settings.control_burst().as_secs();
        checks::charge_budget(host, now, cost, budget, burst);
        let Some(to) = self.addresses.get(&address).copied() else {
            return;
        };
        if self.random_below(1000) < u64::from(self.link.loss_per_thousand) {
            return;
        }
        let copies = 1 + usize::from(
            self.random_below(1000) < u64::from(self.link.duplication_per_thousand),
        );
        for _ in 0..copies {
            let jitter = self.random_below(self.link.jitter.as_micros() as u64 + 1);
            let at = self
                .now
                .after(self.link.delay + Duration::from_micros(jitter));
            let bytes = bytes.clone();
            self.schedule(at, ScheduledEvent::Arrival { to, from, bytes });
        }
    }

    fn start_adoption(&mut self, node: NodeId, generation: GenerationNumber) {
        let published = self
            .store
            .history
            .iter()
            .find(|candidate| candidate.number == generation);
        let published = Arc::clone(published.expect("the generation was published"));
        let host = self.hosts.get_mut(&node).expect("the host exists");
        checks::check_adoption_is_newer(host, generation);
        host.generations.insert(generation, published);
        self.schedule_local(ScheduledEvent::Adopted(node, generation));
    }

    fn handle_proposal(
        &mut self,
        node: NodeId,
        members: Vec<bellyoke_core::generation::MemberObject>,
    ) {
        let base = self.hosts[&node].node.status().known;
        if self.hosts[&node].reads_store && !self.store.down {
            self.schedule_local(ScheduledEvent::Write { base, members });
        }
    }

    fn handle_event(&mut self, node: NodeId, event: NodeEvent) {
        match event {
            NodeEvent::MemberFailed(_) | NodeEvent::BarrierPassed(_) => {
                self.record_milestone(format!("{node}: {event:?}"));
            }
            _ => self.record_trace(format!("{node}: {event:?}")),
        }
        if let NodeEvent::BarrierPassed(passed) = event {
            let horizon = self.settings.delay_horizon();
            checks::check_barrier_is_safe(&self.hosts, &self.store, self.now, passed, horizon);
        }
        let host = self.hosts.get_mut(&node).expect("the host exists");
        // The process exits once it has completed leaving.
        host.alive &= event != NodeEvent::LeaveComplete;
        host.events.push((self.now, event));
    }

    fn schedule_wake(&mut self, node: NodeId) {
        let now = self.now;
        let host = self.hosts.get_mut(&node).expect("the host exists");
        let at = host.network_time(host.node.next_timeout()).max(now);
        // Virtual time would not advance if a timeout was always due.
        host.immediate_wakes = if at == now {
            host.immediate_wakes + 1
        } else {
            0
        };
        assert!(
            host.immediate_wakes < 1000,
            "node {node} has a timeout that is always due"
        );
        let at = if at == now {
            now.after(Duration::from_micros(1))
        } else {
            at
        };
        if host.next_wake_at == at {
            return;
        }
        host.next_wake_at = at;
        self.schedule(at, ScheduledEvent::Wake(node));
    }

    fn schedule_local(&mut self, event: ScheduledEvent) {
        let extra = Duration::from_micros(self.random_below(20_000));
        self.schedule(self.now.after(LOCAL_DELAY + extra), event);
    }

    fn schedule(&mut self, at: Timestamp, event: ScheduledEvent) {
        let number = self.next_event_number;
        self.next_event_number += 1;
        self.queue.push(Reverse((at, number)));
        self.scheduled.insert(number, event);
    }

    /// Records an event of importance for analyzing the trace.
    fn record_milestone(&mut self, line: String) {
        let seconds = self.now.as_micros() as f64 / 1e6;
        self.milestones.push(format!("{seconds:10.6} {line}"));
        self.record_trace(line);
    }

    fn record_trace(&mut self, line: String) {
        if self.trace.len() >= MAXIMUM_TRACE_LINES {
            self.trace.pop_front();
        }
        let seconds = self.now.as_micros() as f64 / 1e6;
        self.trace.push_back(format!("{seconds:10.6} {line}"));
    }
}

impl Drop for VirtualNetwork {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for line in self.trace.iter().chain(&self.milestones) {
                eprintln!("{line}");
            }
            for host in self.hosts.values() {
                eprintln!("{}", host.summary(self.now));
            }
            let newest = self
                .store
                .current()
                .map(|generation| (generation.number, generation.members.len()));
            eprintln!("seed {}, store {newest:?}", self.seed);
        }
    }
}
