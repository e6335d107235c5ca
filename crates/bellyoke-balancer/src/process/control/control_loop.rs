//! The loop of the control thread: every input of the state machine passes through here.

use super::leave::{Leave, LeaveState};
use super::outputs::OutputSinks;
use super::settling::SettlingCollector;
use super::snapshot::{SnapshotInput, snapshot};
use crate::generation::StoreEvent;
use crate::process::directory::{DirectoryCommand, DirectoryEvent};
use crate::process::settings::Settings;
use crate::process::traffic::{QueuedEscalation, TrafficThreads, WorkerReport};
use crate::request::ApiState;
use bellyoke_api::event_code::EventCode;
use bellyoke_core::generation::Zone;
use bellyoke_core::identity::BackendId;
use bellyoke_core::node::{Input, MemberState, Message, Node, NodeIdentity};
use bellyoke_core::time::Timestamp;
use bellyoke_kube::store::BalancerRecord;
use bellyoke_process::clock::MonotonicClock;
use bellyoke_process::log::log_event;
use bellyoke_process::signals::Signals;
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};

/// Time between two snapshots for the operator API.
const SNAPSHOT_PERIOD: Duration = Duration::from_millis(100);

/// Snapshots between two measurements of the control rate: one second.
const SNAPSHOTS_A_SECOND: u32 = 10;

/// Most escalated packets that are taken in before other work gets its turn.
const MOST_ESCALATIONS: usize = 64;

/// What the loop works on.
pub struct ControlParts {
    /// The settings.
    pub settings: Settings,
    /// The process's clock.
    pub clock: MonotonicClock,
    /// Who the node is.
    pub identity: NodeIdentity,
    /// The state machine.
    pub node: Node,
    /// Where its outputs go.
    pub sinks: OutputSinks,
    /// What the operator API answers from.
    pub api: ApiState,
}

/// Where the loop's inputs come from.
pub struct ControlEnds {
    /// Traffic threads.
    pub traffic: TrafficThreads,
    /// The task that reads the store; silent if there is none.
    pub store: mpsc::Receiver<StoreEvent>,
    /// The task that keeps the machine list; silent if there is none.
    pub directory: mpsc::Receiver<DirectoryEvent>,
    /// Commands to it.
    pub directory_commands: Option<mpsc::Sender<DirectoryCommand>>,
    /// Signals to the process.
    pub signals: Signals,
}

/// Runs until the node has left, or a second signal stops it.
///
/// # Errors
///
/// If a traffic thread or the peer socket fails.
pub async fn run_control(parts: ControlParts, mut ends: ControlEnds) -> anyhow::Result<()> {
    let mut control = ControlLoop::new(parts, ends.directory_commands.clone());
    let outcome = control.run(&mut ends).await;
    let stopped = ends.traffic.stop();
    outcome.and(stopped)
}

struct ControlLoop {
    settings: Settings,
    clock: MonotonicClock,
    identity: NodeIdentity,
    node: Node,
    sinks: OutputSinks,
    api: ApiState,
    directory: Option<mpsc::Sender<DirectoryCommand>>,
    settling: SettlingCollector,
    flows: Vec<HashMap<BackendId, u32>>,
    leave: Option<Leave>,
    registered: bool,
    withdrawn: bool,
    had_peers: Option<bool>,
    ticks: u32,
    sent_before: u64,
    control_rate: u64,
}

impl ControlLoop {
    fn new(parts: ControlParts, directory: Option<mpsc::Sender<DirectoryCommand>>) -> Self {
        let workers = parts.sinks.traffic.ports.len();
        Self {
            settings: parts.settings,
            clock: parts.clock,
            identity: parts.identity,
            node: parts.node,
            sinks: parts.sinks,
            api: parts.api,
            directory,
            settling: SettlingCollector::new(workers),
            flows: vec![HashMap::new(); workers],
            leave: None,
            registered: false,
            withdrawn: false,
            had_peers: None,
            ticks: 0,
            sent_before: 0,
            control_rate: 0,
        }
    }

    async fn run(&mut self, ends: &mut ControlEnds) -> anyhow::Result<()> {
        let own = self.settings.node.peer_address;
        let peers = self.settings.cluster.peers.iter().copied();
        let seeds = peers.filter(|peer| *peer != own).collect();
        self.handle(Input::Seeds(seeds));
        let mut ticks = interval(SNAPSHOT_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let due = Instant::from_std(self.clock.instant(self.node.next_timeout()));
            tokio::select! {
                readable = self.sinks.peers.readable() => {
                    readable?;
                    self.take_messages();
                }
                Some(packet) = ends.traffic.escalations.recv() => {
                    self.take_escalation(packet);
                    self.take_more_escalations(&mut ends.traffic);
                }
                Some(report) = ends.traffic.reports.recv() => self.take_report(report),
                Some(event) = ends.store.recv() => match event {
                    StoreEvent::Generation(generation) => {
                        self.handle(Input::Published(generation));
                    }
                },
                Some(event) = ends.directory.recv() => self.take_directory_event(event),
                () = sleep_until(due) => self.handle(Input::Timeout),
                () = ends.signals.next() => {
                    if self.leave.is_some() {
                        log_event(EventCode::StoppedAtOnce, "second signal");
                        return Ok(());
                    }
                    self.begin_leave();
                }
                _ = ticks.tick() => {
                    if ends.traffic.has_failed() {
                        anyhow::bail!("a traffic thread has ended");
                    }
                    if self.tick() == LeaveState::Done {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Hands an input to the state machine and does what it asks for.
    fn handle(&mut self, input: Input<Message>) {
        let now = self.clock.now();
        let outputs = self.node.handle(now, input);
        let known = self.node.generation().map(|generation| generation.number);
        self.sinks.apply(now, known.unwrap_or_default(), outputs);
    }

    fn take_messages(&mut self) {
        for received in self.sinks.peers.receive() {
            self.handle(Input::Message {
                from: received.from,
                message: received.message,
            });
        }
    }

    /// A packet that has waited for long is dropped: the network may not hold one back for
    /// longer than the delay horizon, and this queue is a part of the network to others.
    fn take_escalation(&mut self, queued: QueuedEscalation) {
        let waited = self.clock.now().since(queued.received_at);
        if waited > self.settings.timing.delay_horizon() / 2 {
            self.sinks.counters.escalated_late += 1;
            return;
        }
        self.sinks.counters.escalated += 1;
        self.handle(Input::Escalated(queued.packet));
    }

    fn take_more_escalations(&mut self, traffic: &mut TrafficThreads) {
        for _ in 0..MOST_ESCALATIONS {
            let Ok(packet) = traffic.escalations.try_recv() else {
                break;
            };
            self.take_escalation(packet);
        }
    }

    fn take_report(&mut self, report: WorkerReport) {
        match report {
            WorkerReport::Adopted { worker, report } => {
                if let Some(report) = self.sinks.adoption.collect(worker, report) {
                    self.handle(Input::Adopted(report));
                    self.register();
                }
            }
            WorkerReport::Settled {
                worker,
                generation,
                buckets,
            } => {
                let settled = self.settling.collect(worker, generation, buckets);
                if !settled.is_empty() {
                    self.handle(Input::Settled(settled));
                }
            }
            WorkerReport::Load { worker, flows } => {
                self.flows[worker] = flows.into_iter().collect();
            }
        }
    }

    fn take_directory_event(&mut self, event: DirectoryEvent) {
        match event {
            DirectoryEvent::Seeds(seeds) => self.handle(Input::Seeds(seeds)),
            DirectoryEvent::Registered => {
                log_event(EventCode::BalancerRegistered, self.identity.node);
            }
            DirectoryEvent::Withdrawn => self.withdrawn = true,
        }
    }

    /// The fabric may send packets here once the node holds a generation.
    fn register(&mut self) {
        if !std::mem::replace(&mut self.registered, true) {
            self.write_entry(false);
        }
    }

    fn write_entry(&self, leaving: bool) {
        self.command_directory(DirectoryCommand::Register(BalancerRecord {
            node: self.identity.node,
            data_address: self.settings.node.data_address,
            peer_address: self.settings.node.peer_address,
            zone: Zone(self.settings.node.zone.clone()),
            leaving,
        }));
    }

    fn command_directory(&self, command: DirectoryCommand) {
        if let Some(directory) = &self.directory {
            // The queue holds more than is ever sent while one command is worked on.
            let _ = directory.try_send(command);
        }
    }

    fn begin_leave(&mut self) {
        log_event(EventCode::LeaveRequested, self.identity.node);
        let grace = self.settings.timing.leave_grace();
        self.leave = Some(Leave::begin(self.clock.now(), grace));
        if self.registered {
            self.write_entry(true);
        }
        self.handle(Input::Leave);
    }

    fn tick(&mut self) -> LeaveState {
        let now = self.clock.now();
        self.ticks = self.ticks.wrapping_add(1);
        if self.ticks.is_multiple_of(SNAPSHOTS_A_SECOND) {
            self.every_second(now);
        }
        self.publish_snapshot(now);
        self.leave_state(now)
    }

    fn every_second(&mut self, now: Timestamp) {
        let sent = self.node.status().budget.sent_bytes;
        self.control_rate = sent - self.sent_before;
        self.sent_before = sent;
        let has_peers = self.has_peers();
        if self.had_peers != Some(has_peers) {
            self.had_peers = Some(has_peers);
            self.command_directory(DirectoryCommand::HasPeers(has_peers));
        }
        self.sinks.tell_drops(now);
    }

    fn has_peers(&self) -> bool {
        let status = self.node.status();
        let mut others = status.members.iter().skip(1);
        others.any(|record| record.state == MemberState::Alive && !record.leaving)
    }

    fn publish_snapshot(&mut self, now: Timestamp) {
        let status = self.node.status();
        let mut flows: HashMap<BackendId, u64> = HashMap::new();
        for (backend, count) in self.flows.iter().flatten() {
            *flows.entry(*backend).or_default() += u64::from(*count);
        }
        let input = SnapshotInput {
            now,
            zone: &self.settings.node.zone,
            status: &status,
            generation: self.node.generation().map(|generation| &**generation),
            flows: &flows,
            control_rate: self.control_rate,
            control_budget: self.settings.limits.control_bytes_per_second,
        };
        self.api.replace(snapshot(&input, &self.sinks));
    }

    /// Deletes the node's entry at the end of a leave, and waits for that as long as the store
    /// usually takes.
    fn leave_state(&mut self, now: Timestamp) -> LeaveState {
        let has_peers = self.has_peers();
        let Some(leave) = &mut self.leave else {
            return LeaveState::Forwarding;
        };
        let state = leave.state(now, self.sinks.leave_complete, has_peers);
        let entry_is_gone = !self.registered || self.withdrawn || self.directory.is_none();
        if state == LeaveState::Forwarding || entry_is_gone {
            return state;
        }
        if leave.withdrawal_overdue(now, self.settings.timing.store_timeout()) {
            return LeaveState::Done;
        }
        if leave.begin_withdrawal(now) {
            self.command_directory(DirectoryCommand::Withdraw(self.identity.node));
        }
        LeaveState::Forwarding
    }
}
