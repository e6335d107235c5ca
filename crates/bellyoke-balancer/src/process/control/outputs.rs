//! Does what the state machine asks for.

use super::adoption::AdoptionCollector;
use super::peers::PeerPort;
use crate::generation::StoreCommand;
use crate::process::sorry::SorryPort;
use crate::process::traffic::{TrafficCounter, TrafficShared, WorkerCommand, thread_of};
use bellyoke_api::event_code::EventCode;
use bellyoke_core::flow::FlowPlace;
use bellyoke_core::generation::{Forwarding, RefusalStyle};
use bellyoke_core::identity::{BackendId, GenerationNumber, ServiceId};
use bellyoke_core::node::{Message, NodeEvent, Output, Proposal};
use bellyoke_core::packet::reset_for;
use bellyoke_core::time::Timestamp;
use bellyoke_process::log::{LogLimiter, log_event};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use tokio::sync::mpsc;

/// What the control thread has done with packets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlCounters {
    /// Escalated packets that were decided here or sent to their owner.
    pub escalated: u64,
    /// Escalated packets dropped because they had waited for too long.
    pub escalated_late: u64,
    /// Packets forwarded as owner.
    pub forwarded: u64,
    /// Packets of refused flows handed to the sorry server or answered by a reset.
    pub refused: u64,
    /// Packets answered by a reset because their backend is dead.
    pub reset: u64,
    /// Packets and learned flows that could not be passed on.
    pub failed: u64,
}

/// Counts as they were when people were last told of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ToldDrops {
    rejected: u64,
    send_failed: u64,
    queue_full: u64,
    tunnel_failed: u64,
    dropped: u64,
}

/// Drops that [`EventCode::PacketsDropped`] tells of.
const DROPS: [TrafficCounter; 9] = [
    TrafficCounter::DroppedMalformed,
    TrafficCounter::DroppedChecksum,
    TrafficCounter::DroppedFragment,
    TrafficCounter::DroppedProtocol,
    TrafficCounter::DroppedUnknownService,
    TrafficCounter::DroppedOversized,
    TrafficCounter::DroppedTableFull,
    TrafficCounter::DroppedFenced,
    TrafficCounter::Late,
];

/// The ends that outputs go to.
pub struct OutputSinks {
    /// Traffic threads.
    pub traffic: Arc<TrafficShared>,
    /// A data socket.
    pub socket: UdpSocket,
    /// UDP address of replies to callers.
    pub fabric: SocketAddr,
    /// The sorry server.
    pub sorry: SorryPort,
    /// The peer socket.
    pub peers: PeerPort,
    /// The task that reads the store, if this node does.
    pub store: Option<mpsc::Sender<StoreCommand>>,
    /// What was done.
    pub counters: ControlCounters,
    /// Whether the state machine has handed over everything.
    pub leave_complete: bool,
    /// Until when flows may be opened.
    pub lease_until: Timestamp,
    /// Collects answers to [`Output::Adopt`].
    pub adoption: AdoptionCollector,
    /// For events that packets can cause.
    pub limiter: LogLimiter,
    /// What people were told of.
    pub drops: ToldDrops,
}

impl OutputSinks {
    /// Does what `outputs` ask for; `known` is the newest generation that the node knows.
    pub fn apply(
        &mut self,
        now: Timestamp,
        known: GenerationNumber,
        outputs: Vec<Output<Message>>,
    ) {
        for output in outputs {
            match output {
                Output::Send {
                    to,
                    address,
                    message,
                } => self.peers.send(to, address, &message),
                Output::Adopt(forwarding) => {
                    self.adoption.expect(forwarding.generation);
                    self.traffic.publish(forwarding);
                }
                Output::Forward { backend, packet } => self.forward(backend, &packet),
                Output::Learn { place, backend } => self.learn(place, backend),
                Output::Refuse {
                    service, packet, ..
                } => self.refuse(service, packet),
                Output::Reset { packet } => {
                    self.counters.reset += 1;
                    self.reply(&packet);
                }
                Output::Lease(until) => {
                    self.lease_until = until;
                    self.traffic.set_lease(until);
                }
                Output::Propose(proposal) => self.propose(proposal, known),
                Output::Event(event) => self.tell(now, event),
            }
        }
    }

    /// Tells people of dropped packets and datagrams, if there were any since the last time.
    pub fn tell_drops(&mut self, now: Timestamp) {
        let rejected = self.peers.counters().rejected.values().sum();
        if rejected > self.drops.rejected {
            let detail = format!("{:?}", self.peers.counters().rejected);
            self.limiter
                .log(EventCode::PeerMessagesRejected, now, detail);
        }
        let failed = self.peers.counters().send_failed;
        if failed > self.drops.send_failed {
            let detail = format!("{failed} since the start");
            self.limiter.log(EventCode::PeerSendFailed, now, detail);
        }
        let full = self.queue_drops();
        if full > self.drops.queue_full {
            let detail = format!("{full} since the start");
            self.limiter.log(EventCode::QueueFull, now, detail);
        }
        let tunnel = self.sum(&[TrafficCounter::SendFailed]);
        if tunnel > self.drops.tunnel_failed {
            let detail = format!("{tunnel} since the start");
            self.limiter.log(EventCode::TunnelSendFailed, now, detail);
        }
        let dropped = self.sum(&DROPS);
        if dropped > self.drops.dropped {
            self.limiter
                .log(EventCode::PacketsDropped, now, self.drop_detail());
        }
        self.drops = ToldDrops {
            rejected,
            send_failed: failed,
            queue_full: full,
            tunnel_failed: tunnel,
            dropped,
        };
    }

    fn sum(&self, counters: &[TrafficCounter]) -> u64 {
        let workers = self.traffic.counters.iter();
        workers
            .flat_map(|worker| counters.iter().map(|counter| worker.get(*counter)))
            .sum()
    }

    fn queue_drops(&self) -> u64 {
        self.sum(&[
            TrafficCounter::EscalationsDropped,
            TrafficCounter::HandoversDropped,
        ])
    }

    fn drop_detail(&self) -> String {
        let counted = DROPS.iter().map(|counter| (counter, self.sum(&[*counter])));
        let counted = counted.filter(|(_, count)| *count > 0);
        let parts = counted.map(|(counter, count)| format!("{}={count}", counter.metric()));
        parts.collect::<Vec<_>>().join(" ")
    }

    fn forward(&mut self, backend: BackendId, packet: &[u8]) {
        let forwarding = self.traffic.forwarding().load();
        let Some(target) = forwarding.backends.get(&backend) else {
            self.counters.failed += 1;
            return;
        };
        match self.socket.send_to(packet, target.tunnel) {
            Ok(_) => self.counters.forwarded += 1,
            Err(_) => self.counters.failed += 1,
        }
    }

    fn learn(&mut self, place: FlowPlace, backend: BackendId) {
        let ports = &self.traffic.ports;
        let port = &ports[thread_of(place.hash, ports.len())];
        let command = WorkerCommand::Learn { place, backend };
        // A thread that doesn't learn escalates the flow's next packet again.
        if port.queue(command).is_err() || port.wake().is_err() {
            self.counters.failed += 1;
        }
    }

    fn refuse(&mut self, service: ServiceId, packet: Vec<u8>) {
        self.counters.refused += 1;
        let forwarding = self.traffic.forwarding().load_full();
        match refusal_style(&forwarding, service) {
            RefusalStyle::Http => self.sorry.refuse(packet),
            RefusalStyle::Reset => self.reply(&packet),
        }
    }

    fn reply(&mut self, packet: &[u8]) {
        let Some(reply) = reset_for(packet) else {
            return;
        };
        if self.socket.send_to(&reply, self.fabric).is_err() {
            self.counters.failed += 1;
        }
    }

    fn propose(&mut self, proposal: Proposal, known: GenerationNumber) {
        // The state machine proposes again for as long as it wants the change.
        if let Some(store) = &self.store {
            let _ = store.try_send(StoreCommand::Propose { proposal, known });
        }
    }

    fn tell(&mut self, now: Timestamp, event: NodeEvent) {
        match event {
            NodeEvent::MemberJoined(node) => log_event(EventCode::MemberJoined, node),
            NodeEvent::MemberSuspected(node) => log_event(EventCode::MemberSuspected, node),
            NodeEvent::MemberFailed(node) => log_event(EventCode::MemberFailed, node),
            NodeEvent::MemberLeft(node) => log_event(EventCode::MemberLeft, node),
            NodeEvent::GenerationAdopted(number) => {
                log_event(EventCode::GenerationAdopted, number);
            }
            NodeEvent::BarrierPassed(number) => log_event(EventCode::BarrierPassed, number),
            NodeEvent::Fenced => log_event(EventCode::Fenced, "no quorum answered in time"),
            NodeEvent::Unfenced => log_event(EventCode::Unfenced, "a quorum answers"),
            NodeEvent::OwnershipTaken(group) => {
                self.limiter.log(EventCode::OwnershipTaken, now, group);
            }
            NodeEvent::BudgetExhausted => {
                self.limiter
                    .log(EventCode::BudgetExhausted, now, "messages wait");
            }
            NodeEvent::LeaveComplete => {
                self.leave_complete = true;
                log_event(EventCode::LeaveComplete, "everything is handed over");
            }
        }
    }
}

/// What callers of `service` are told; of a service that is gone, by reset.
fn refusal_style(forwarding: &Forwarding, service: ServiceId) -> RefusalStyle {
    let mut services = forwarding.services.values();
    services
        .find(|candidate| candidate.id == service)
        .map_or(RefusalStyle::Reset, |found| found.refusal)
}
