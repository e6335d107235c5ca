//! A target: a backend that takes packets of flows and answers its clients directly.

use super::packet::{Flags, Packet, data_length};
use bellyoke_core::cookie::instance::{InstanceId, InstanceRecord, InstanceState};
use bellyoke_core::cookie::packet::FlowTuple;
use bellyoke_core::cookie::revision::Revision;
use bellyoke_core::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Time after which unacknowledged data is sent again; doubles up to [`LONGEST_REPEAT`].
pub const FIRST_REPEAT: Duration = Duration::from_millis(200);

/// Longest time between two repeats.
pub const LONGEST_REPEAT: Duration = Duration::from_millis(1_600);

/// Repeats after which a target gives a flow up.
const MOST_REPEATS: u32 = 8;

/// What a target is built from.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Its identity.
    pub id: InstanceId,
    /// Its service.
    pub service: String,
    /// Requests that it works on at once.
    pub slots: usize,
    /// Requests that wait; further ones are answered with a refusal.
    pub queue: usize,
    /// Flows that it holds; beyond them it is silent to openings.
    pub flows: usize,
    /// How long a request takes.
    pub work: Duration,
}

impl TargetSettings {
    /// The settings that runs use: two slots, a short queue, work of 10 ms.
    #[must_use]
    pub fn usual(id: InstanceId, service: String) -> Self {
        Self {
            id,
            service,
            slots: 2,
            queue: 8,
            flows: 2_000,
            work: Duration::from_millis(10),
        }
    }

    /// The record of a ready target with these settings in a zone. The store sets its revision.
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

/// What happened at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetEvent {
    /// A flow opened.
    Opened(FlowTuple),
    /// A packet of a flow that is not held here.
    Foreign(FlowTuple),
    /// A packet of a flow that is held here.
    Own(FlowTuple),
    /// It has begun to work on a request.
    Ran {
        /// The flow that brought it.
        flow: FlowTuple,
        /// The request's number.
        request: u64,
    },
}

/// What a target wants done.
#[derive(Debug, Default)]
pub struct TargetOutput {
    /// Packets to clients.
    pub packets: Vec<Packet>,
    /// What happened.
    pub events: Vec<TargetEvent>,
}

#[derive(Debug)]
struct HeldFlow {
    /// Number of the next byte expected.
    expected: u32,
    /// Number of the next byte to send.
    next: u32,
    echo: u32,
    established: bool,
    unacknowledged: Option<Repeat>,
}

#[derive(Debug)]
struct Repeat {
    packet: Packet,
    due: Timestamp,
    pause: Duration,
    count: u32,
}

#[derive(Debug)]
struct Work {
    flow: FlowTuple,
    request: u64,
    done: Timestamp,
}

/// A running target.
#[derive(Debug)]
pub struct Target {
    /// What it was built from.
    pub settings: TargetSettings,
    /// It closes each flow with its next answer.
    pub draining: bool,
    held: BTreeMap<SocketFlow, HeldFlow>,
    working: Vec<Work>,
    waiting: VecDeque<(FlowTuple, u64)>,
    next_sequence: u32,
}

/// A flow as a key that can be ordered.
type SocketFlow = (SocketAddrV4, SocketAddrV4);

const fn key(flow: FlowTuple) -> SocketFlow {
    (flow.client, flow.service)
}

impl Target {
    /// A target that holds no flow.
    #[must_use]
    pub fn new(settings: TargetSettings) -> Self {
        let [_, _, _, _, high, middle, low, last] = settings.id.0.to_be_bytes();
        Self {
            settings,
            draining: false,
            held: BTreeMap::new(),
            working: Vec::new(),
            waiting: VecDeque::new(),
            next_sequence: u32::from_be_bytes([last, low, middle, high]),
        }
    }

    /// Whether the flow is open here.
    #[must_use]
    pub fn holds(&self, flow: FlowTuple) -> bool {
        self.held
            .get(&key(flow))
            .is_some_and(|held| held.established)
    }

    /// A packet has come, meant for `meant` (none: for whoever takes it).
    pub fn packet(
        &mut self,
        now: Timestamp,
        meant: Option<InstanceId>,
        packet: &Packet,
    ) -> TargetOutput {
        let mut output = TargetOutput::default();
        let Some(flow) = packet.flow() else {
            return output;
        };
        if meant.is_some_and(|meant| meant != self.settings.id) {
            return output;
        }
        if packet.flags.syn {
            self.open(flow, packet, &mut output);
        } else {
            self.follow(now, flow, packet, &mut output);
        }
        output
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Timestamp) -> TargetOutput {
        let mut output = TargetOutput::default();
        self.finish_work(now, &mut output);
        self.repeat(now, &mut output);
        output
    }

    fn open(&mut self, flow: FlowTuple, packet: &Packet, output: &mut TargetOutput) {
        let full = self.held.len() >= self.settings.flows;
        if full && !self.held.contains_key(&key(flow)) {
            return;
        }
        let first = self.next_sequence;
        let held = self.held.entry(key(flow)).or_insert_with(|| HeldFlow {
            expected: packet.sequence.wrapping_add(1),
            next: first.wrapping_add(1),
            echo: packet.echo,
            established: false,
            unacknowledged: None,
        });
        self.next_sequence = first.wrapping_add(0x1_0001);
        held.echo = packet.echo;
        output.packets.push(Packet {
            source: Some(flow.service),
            destination: Some(flow.client),
            flags: Flags {
                syn: true,
                ack: true,
                ..Flags::default()
            },
            echo: held.echo,
            sequence: held.next.wrapping_sub(1),
            acknowledged: held.expected,
            data: Vec::new(),
        });
    }

    fn follow(
        &mut self,
        now: Timestamp,
        flow: FlowTuple,
        packet: &Packet,
        output: &mut TargetOutput,
    ) {
        let known = self
            .held
            .get_mut(&key(flow))
            .filter(|held| held.established || packet.acknowledged == held.next);
        let Some(held) = known else {
            output.events.push(TargetEvent::Foreign(flow));
            if !packet.flags.rst {
                output.packets.push(packet.reset());
            }
            return;
        };
        if packet.flags.rst {
            self.held.remove(&key(flow));
            return;
        }
        held.echo = packet.echo;
        if !held.established {
            held.established = true;
            output.events.push(TargetEvent::Opened(flow));
        }
        output.events.push(TargetEvent::Own(flow));
        if packet.acknowledged == held.next {
            held.unacknowledged = None;
        }
        let request = take_request(held, packet);
        if !packet.data.is_empty() {
            let acknowledgement = answer(flow, held, Vec::new());
            output.packets.push(acknowledgement);
        }
        if packet.flags.fin {
            self.held.remove(&key(flow));
            return;
        }
        if let Some(request) = request {
            self.accept(now, flow, request, output);
        }
    }

    fn accept(&mut self, now: Timestamp, flow: FlowTuple, request: u64, output: &mut TargetOutput) {
        if self.working.len() < self.settings.slots {
            self.begin(now, flow, request, output);
        } else if self.waiting.len() < self.settings.queue {
            self.waiting.push_back((flow, request));
        } else {
            self.send(now, flow, Answer::refusal(request), output);
        }
    }

    fn begin(&mut self, now: Timestamp, flow: FlowTuple, request: u64, output: &mut TargetOutput) {
        output.events.push(TargetEvent::Ran { flow, request });
        self.working.push(Work {
            flow,
            request,
            done: now.after(self.settings.work),
        });
    }

    fn finish_work(&mut self, now: Timestamp, output: &mut TargetOutput) {
        let working = std::mem::take(&mut self.working);
        let (done, working): (Vec<_>, Vec<_>) =
            working.into_iter().partition(|work| work.done <= now);
        self.working = working;
        for work in done {
            let answer = Answer {
                request: work.request,
                target: self.settings.id.0,
                ran: true,
            };
            self.send(now, work.flow, answer, output);
            if let Some((flow, request)) = self.waiting.pop_front() {
                self.begin(now, flow, request, output);
            }
        }
    }

    fn send(
        &mut self,
        now: Timestamp,
        flow: FlowTuple,
        content: Answer,
        output: &mut TargetOutput,
    ) {
        let Some(held) = self.held.get_mut(&key(flow)) else {
            return;
        };
        let mut packet = answer(flow, held, content.encode());
        packet.flags.fin = self.draining;
        held.next = held.next.wrapping_add(data_length(&packet.data));
        held.unacknowledged = Some(Repeat {
            packet: packet.clone(),
            due: now.after(FIRST_REPEAT),
            pause: FIRST_REPEAT,
            count: 0,
        });
        output.packets.push(packet);
    }

    fn repeat(&mut self, now: Timestamp, output: &mut TargetOutput) {
        self.held.retain(|_, held| {
            let Some(repeat) = &mut held.unacknowledged else {
                return true;
            };
            if repeat.due > now {
                return true;
            }
            repeat.count += 1;
            repeat.pause = (repeat.pause * 2).min(LONGEST_REPEAT);
            repeat.due = now.after(repeat.pause);
            repeat.packet.echo = held.echo;
            output.packets.push(repeat.packet.clone());
            repeat.count < MOST_REPEATS
        });
    }
}

/// The request in a packet, if it is the one expected next.
fn take_request(held: &mut HeldFlow, packet: &Packet) -> Option<u64> {
    if packet.data.is_empty() || packet.sequence != held.expected {
        return None;
    }
    held.expected = held.expected.wrapping_add(data_length(&packet.data));
    let number = packet.data.first_chunk()?;
    Some(u64::from_be_bytes(*number))
}

fn answer(flow: FlowTuple, held: &HeldFlow, data: Vec<u8>) -> Packet {
    Packet {
        source: Some(flow.service),
        destination: Some(flow.client),
        flags: Flags {
            ack: true,
            ..Flags::default()
        },
        echo: held.echo,
        sequence: held.next,
        acknowledged: held.expected,
        data,
    }
}

/// What a target answers to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The request's number.
    pub request: u64,
    /// Who answers.
    pub target: u64,
    /// Whether the request has run.
    pub ran: bool,
}

impl Answer {
    const fn refusal(request: u64) -> Self {
        Self {
            request,
            target: 0,
            ran: false,
        }
    }

    /// Its bytes.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.request.to_be_bytes().to_vec();
        bytes.extend_from_slice(&self.target.to_be_bytes());
        bytes.push(u8::from(self.ran));
        bytes
    }

    /// The answer that `bytes` hold.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (request, rest) = bytes.split_first_chunk()?;
        let (target, rest) = rest.split_first_chunk()?;
        Some(Self {
            request: u64::from_be_bytes(*request),
            target: u64::from_be_bytes(*target),
            ran: *rest.first()? != 0,
        })
    }
}
