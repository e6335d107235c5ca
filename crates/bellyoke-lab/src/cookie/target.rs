//! A target: a backend that receives the packets of flows and answers its clients directly.

use super::packet::{Flags, Packet, sequence_length};
use bellyoke_core::cookie::instance::{InstanceId, InstanceRecord, InstanceState};
use bellyoke_core::cookie::packet::FlowTuple;
use bellyoke_core::cookie::revision::Revision;
use bellyoke_core::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Time until the first retransmission of unacknowledged data. It doubles up to
/// [`MAXIMUM_RETRANSMISSION_DELAY`].
pub const INITIAL_RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);

/// Maximum time between two retransmissions.
pub const MAXIMUM_RETRANSMISSION_DELAY: Duration = Duration::from_millis(1_600);

/// Number of retransmissions after which a target drops a flow.
const MAXIMUM_RETRANSMISSIONS: u32 = 8;

/// Settings of a target.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Identity of the target.
    pub id: InstanceId,
    /// Name of its service.
    pub service: String,
    /// Number of requests that it executes concurrently.
    pub slots: usize,
    /// Maximum number of queued requests. Further ones are answered with a refusal.
    pub maximum_queued_requests: usize,
    /// Maximum number of flows. Openings of further ones are ignored.
    pub maximum_flows: usize,
    /// Execution time of a request.
    pub work_duration: Duration,
}

impl TargetSettings {
    /// Returns the settings that runs use: two slots, a short queue and an execution time of 10 ms.
    #[must_use]
    pub fn with_defaults(id: InstanceId, service: String) -> Self {
        Self {
            id,
            service,
            slots: 2,
            maximum_queued_requests: 8,
            maximum_flows: 2_000,
            work_duration: Duration::from_millis(10),
        }
    }

    /// Returns the record of a ready target with these settings in `zone`. The store sets its
    /// revision.
    #[must_use]
    pub fn record(&self, address: SocketAddrV4, zone: String) -> InstanceRecord {
        InstanceRecord {
            id: self.id,
            revision: Revision::new(0),
            service: self.service.clone(),
            address,
            zone,
            state: InstanceState::Ready,
            cold_remaining_milliseconds: 0,
            created: None,
            slots: u32::try_from(self.slots).unwrap_or(u32::MAX),
            started: None,
        }
    }
}

/// An event at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetEvent {
    /// A flow opened.
    FlowOpened(FlowTuple),
    /// A packet of an unknown flow was received.
    UnknownFlow(FlowTuple),
    /// A packet of an existing flow was received.
    KnownFlow(FlowTuple),
    /// The execution of a request started.
    RequestStarted {
        /// Flow of the request.
        flow: FlowTuple,
        /// Number of the request.
        request: u64,
    },
}

/// Output of a target.
#[derive(Debug, Default)]
pub struct TargetOutput {
    /// Packets for clients.
    pub packets: Vec<Packet>,
    /// Events in the order in which they occurred.
    pub events: Vec<TargetEvent>,
}

#[derive(Debug)]
struct Flow {
    /// Sequence number of the next byte expected.
    expected_sequence: u32,
    /// Sequence number of the next byte to send.
    next_sequence: u32,
    echo: u32,
    established: bool,
    unacknowledged: Option<Retransmission>,
}

#[derive(Debug)]
struct Retransmission {
    packet: Packet,
    due_at: Timestamp,
    delay: Duration,
    count: u32,
}

#[derive(Debug)]
struct RunningRequest {
    flow: FlowTuple,
    request: u64,
    done_at: Timestamp,
}

/// A running target.
#[derive(Debug)]
pub struct Target {
    /// Settings of the target.
    pub settings: TargetSettings,
    /// Whether the target closes each flow with its next answer.
    pub draining: bool,
    flows: BTreeMap<FlowKey, Flow>,
    running: Vec<RunningRequest>,
    queued: VecDeque<(FlowTuple, u64)>,
    next_sequence: u32,
}

/// A flow as an ordered key.
type FlowKey = (SocketAddrV4, SocketAddrV4);

const fn key(flow: FlowTuple) -> FlowKey {
    (flow.client, flow.service)
}

impl Target {
    /// Creates a target without flows.
    #[must_use]
    pub fn new(settings: TargetSettings) -> Self {
        let [_, _, _, _, high, middle, low, last] = settings.id.0.to_be_bytes();
        Self {
            settings,
            draining: false,
            flows: BTreeMap::new(),
            running: Vec::new(),
            queued: VecDeque::new(),
            next_sequence: u32::from_be_bytes([last, low, middle, high]),
        }
    }

    /// Returns whether `flow` is open at this target.
    #[must_use]
    pub fn has_open_flow(&self, flow: FlowTuple) -> bool {
        self.flows
            .get(&key(flow))
            .is_some_and(|flow_state| flow_state.established)
    }

    /// Handles a received packet. A packet for another `intended_instance` is ignored; with `None`,
    /// any target accepts it.
    pub fn handle_packet(
        &mut self,
        now: Timestamp,
        intended_instance: Option<InstanceId>,
        packet: &Packet,
    ) -> TargetOutput {
        let mut output = TargetOutput::default();
        let Some(flow) = packet.flow() else {
            return output;
        };
        if intended_instance.is_some_and(|intended| intended != self.settings.id) {
            return output;
        }
        if packet.flags.syn {
            self.handle_opening(flow, packet, &mut output);
        } else {
            self.handle_flow_packet(now, flow, packet, &mut output);
        }
        output
    }

    /// Handles the passage of time.
    pub fn tick(&mut self, now: Timestamp) -> TargetOutput {
        let mut output = TargetOutput::default();
        self.complete_requests(now, &mut output);
        self.retransmit(now, &mut output);
        output
    }

    fn handle_opening(&mut self, flow: FlowTuple, packet: &Packet, output: &mut TargetOutput) {
        let full = self.flows.len() >= self.settings.maximum_flows;
        if full && !self.flows.contains_key(&key(flow)) {
            return;
        }
        let first = self.next_sequence;
        let flow_state = self.flows.entry(key(flow)).or_insert_with(|| Flow {
            expected_sequence: packet.sequence.wrapping_add(1),
            next_sequence: first.wrapping_add(1),
            echo: packet.echo,
            established: false,
            unacknowledged: None,
        });
        self.next_sequence = first.wrapping_add(0x1_0001);
        flow_state.echo = packet.echo;
        output.packets.push(Packet {
            source: Some(flow.service),
            destination: Some(flow.client),
            flags: Flags {
                syn: true,
                ack: true,
                ..Flags::default()
            },
            echo: flow_state.echo,
            sequence: flow_state.next_sequence.wrapping_sub(1),
            acknowledged: flow_state.expected_sequence,
            data: Vec::new(),
        });
    }

    fn handle_flow_packet(
        &mut self,
        now: Timestamp,
        flow: FlowTuple,
        packet: &Packet,
        output: &mut TargetOutput,
    ) {
        let known_flow = self.flows.get_mut(&key(flow)).filter(|flow_state| {
            flow_state.established || packet.acknowledged == flow_state.next_sequence
        });
        let Some(flow_state) = known_flow else {
            output.events.push(TargetEvent::UnknownFlow(flow));
            if !packet.flags.rst {
                output.packets.push(packet.reset_reply());
            }
            return;
        };
        if packet.flags.rst {
            self.flows.remove(&key(flow));
            return;
        }
        flow_state.echo = packet.echo;
        if !flow_state.established {
            flow_state.established = true;
            output.events.push(TargetEvent::FlowOpened(flow));
        }
        output.events.push(TargetEvent::KnownFlow(flow));
        if packet.acknowledged == flow_state.next_sequence {
            flow_state.unacknowledged = None;
        }
        let request = parse_request(flow_state, packet);
        if !packet.data.is_empty() {
            let acknowledgement = flow_packet(flow, flow_state, Vec::new());
            output.packets.push(acknowledgement);
        }
        if packet.flags.fin {
            self.flows.remove(&key(flow));
            return;
        }
        if let Some(request) = request {
            self.accept_request(now, flow, request, output);
        }
    }

    fn accept_request(
        &mut self,
        now: Timestamp,
        flow: FlowTuple,
        request: u64,
        output: &mut TargetOutput,
    ) {
        if self.running.len() < self.settings.slots {
            self.start_request(now, flow, request, output);
        } else if self.queued.len() < self.settings.maximum_queued_requests {
            self.queued.push_back((flow, request));
        } else {
            self.send_answer(now, flow, Answer::refusal(request), output);
        }
    }

    fn start_request(
        &mut self,
        now: Timestamp,
        flow: FlowTuple,
        request: u64,
        output: &mut TargetOutput,
    ) {
        output
            .events
            .push(TargetEvent::RequestStarted { flow, request });
        self.running.push(RunningRequest {
            flow,
            request,
            done_at: now.after(self.settings.work_duration),
        });
    }

    fn complete_requests(&mut self, now: Timestamp, output: &mut TargetOutput) {
        let running = std::mem::take(&mut self.running);
        let (done, running): (Vec<_>, Vec<_>) = running
            .into_iter()
            .partition(|finished| finished.done_at <= now);
        self.running = running;
        for finished in done {
            let answer = Answer {
                request: finished.request,
                target: self.settings.id.0,
                executed: true,
            };
            self.send_answer(now, finished.flow, answer, output);
            if let Some((flow, request)) = self.queued.pop_front() {
                self.start_request(now, flow, request, output);
            }
        }
    }

    fn send_answer(
        &mut self,
        now: Timestamp,
        flow: FlowTuple,
        answer: Answer,
        output: &mut TargetOutput,
    ) {
        let Some(flow_state) = self.flows.get_mut(&key(flow)) else {
            return;
        };
        let mut packet = flow_packet(flow, flow_state, answer.encode());
        packet.flags.fin = self.draining;
        flow_state.next_sequence = flow_state
            .next_sequence
            .wrapping_add(sequence_length(&packet.data));
        flow_state.unacknowledged = Some(Retransmission {
            packet: packet.clone(),
            due_at: now.after(INITIAL_RETRANSMISSION_DELAY),
            delay: INITIAL_RETRANSMISSION_DELAY,
            count: 0,
        });
        output.packets.push(packet);
    }

    fn retransmit(&mut self, now: Timestamp, output: &mut TargetOutput) {
        self.flows.retain(|_, flow_state| {
            let Some(retransmission) = &mut flow_state.unacknowledged else {
                return true;
            };
            if retransmission.due_at > now {
                return true;
            }
            retransmission.count += 1;
            retransmission.delay = (retransmission.delay * 2).min(MAXIMUM_RETRANSMISSION_DELAY);
            retransmission.due_at = now.after(retransmission.delay);
            retransmission.packet.echo = flow_state.echo;
            output.packets.push(retransmission.packet.clone());
            retransmission.count < MAXIMUM_RETRANSMISSIONS
        });
    }
}

/// Returns the request in a packet if its data is the next expected.
fn parse_request(flow_state: &mut Flow, packet: &Packet) -> Option<u64> {
    if packet.data.is_empty() || packet.sequence != flow_state.expected_sequence {
        return None;
    }
    flow_state.expected_sequence = flow_state
        .expected_sequence
        .wrapping_add(sequence_length(&packet.data));
    let number = packet.data.first_chunk()?;
    Some(u64::from_be_bytes(*number))
}

fn flow_packet(flow: FlowTuple, flow_state: &Flow, data: Vec<u8>) -> Packet {
    Packet {
        source: Some(flow.service),
        destination: Some(flow.client),
        flags: Flags {
            ack: true,
            ..Flags::default()
        },
        echo: flow_state.echo,
        sequence: flow_state.next_sequence,
        acknowledged: flow_state.expected_sequence,
        data,
    }
}

/// Answer of a target to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Number of the request.
    pub request: u64,
    /// Identity of the answering target; zero in a refusal.
    pub target: u64,
    /// Whether the request was executed.
    pub executed: bool,
}

impl Answer {
    const fn refusal(request: u64) -> Self {
        Self {
            request,
            target: 0,
            executed: false,
        }
    }

    /// Returns the encoded answer.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.request.to_be_bytes().to_vec();
        bytes.extend_from_slice(&self.target.to_be_bytes());
        bytes.push(u8::from(self.executed));
        bytes
    }

    /// Decodes an answer.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (request, rest) = bytes.split_first_chunk()?;
        let (target, rest) = rest.split_first_chunk()?;
        Some(Self {
            request: u64::from_be_bytes(*request),
            target: u64::from_be_bytes(*target),
            executed: *rest.first()? != 0,
        })
    }
}
