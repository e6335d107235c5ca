//! A client: one user who sends requests over flows, one after the other.

use super::packet::{Flags, Packet, data_length};
use super::target::{Answer, FIRST_REPEAT, LONGEST_REPEAT};
use bellyoke_core::cookie::packet::FlowTuple;
use bellyoke_core::time::Timestamp;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// When copies of an opening are sent, after the first.
const OPENING_COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// When an opening is given up.
const OPENING_TIMEOUT: Duration = Duration::from_millis(1_400);

/// How a client behaves.
#[derive(Clone, Copy, Debug)]
pub struct ClientSettings {
    /// Its address.
    pub address: Ipv4Addr,
    /// The service that it uses.
    pub service: SocketAddrV4,
    /// Requests over one flow before it is closed.
    pub requests_per_flow: u32,
    /// Rest between two requests.
    pub pause: Duration,
    /// How long it waits for an answer, from its first try.
    pub deadline: Duration,
    /// How often it tries a request again over a new flow when its flow was reset.
    pub retries: u32,
}

/// What happened to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// The first packet of a flow was sent.
    OpeningSent(FlowTuple),
    /// A request was sent.
    RequestSent {
        /// The flow.
        flow: FlowTuple,
        /// The request's number.
        request: u64,
    },
    /// A reset has come.
    Reset {
        /// The flow.
        flow: FlowTuple,
        /// Whether it was open.
        open: bool,
        /// Whether no request was lost by it: it is tried again, or the flow rested.
        retried: bool,
    },
    /// An answer has come.
    Answered {
        /// The flow.
        flow: FlowTuple,
        /// The request that was waited for.
        request: u64,
        /// What the answer says.
        answer: Answer,
        /// Time since the request was first tried.
        after: Duration,
    },
    /// Something that is no answer to what was asked has come.
    Garbled(FlowTuple),
    /// The request was given up.
    GivenUp {
        /// The flow.
        flow: FlowTuple,
        /// The request's number; none if the flow never opened.
        request: Option<u64>,
    },
}

/// What a client wants done.
#[derive(Debug, Default)]
pub struct ClientOutput {
    /// Packets to a router.
    pub packets: Vec<Packet>,
    /// What happened.
    pub events: Vec<ClientEvent>,
}

#[derive(Debug)]
enum State {
    Resting {
        until: Timestamp,
    },
    Opening {
        first_tried: Timestamp,
        since: Timestamp,
        copies: u32,
    },
    Waiting {
        request: u64,
        packet: Packet,
        since: Timestamp,
        due: Timestamp,
        pause: Duration,
        acknowledged: bool,
    },
}

#[derive(Debug)]
struct OpenFlow {
    next: u32,
    expected: u32,
    echo: u32,
    requests: u32,
}

/// One user.
#[derive(Debug)]
pub struct Client {
    /// How it behaves.
    pub settings: ClientSettings,
    port: u16,
    state: State,
    open: Option<OpenFlow>,
    next_request: u64,
    /// Times that the request under way was tried again.
    retried: u32,
}

impl Client {
    /// A client that sends its first request at `start`. Its requests are numbered from
    /// `first_request` on.
    #[must_use]
    pub const fn new(settings: ClientSettings, start: Timestamp, first_request: u64) -> Self {
        Self {
            settings,
            port: 1_024,
            state: State::Resting { until: start },
            open: None,
            next_request: first_request,
            retried: 0,
        }
    }

    fn flow(&self) -> FlowTuple {
        FlowTuple {
            client: SocketAddrV4::new(self.settings.address, self.port),
            service: self.settings.service,
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Timestamp) -> ClientOutput {
        let mut output = ClientOutput::default();
        match &mut self.state {
            State::Resting { until } if *until <= now => {
                if self.open.is_some() {
                    self.request(now, now, &mut output);
                } else {
                    self.begin(now, now, &mut output);
                }
            }
            State::Resting { .. } => {}
            State::Opening { since, copies, .. } => {
                let waited = now.since(*since);
                if waited >= OPENING_TIMEOUT {
                    self.give_up(now, &mut output);
                } else if let Some(due) = OPENING_COPIES.get(*copies as usize)
                    && waited >= *due
                {
                    *copies += 1;
                    let copy = *copies;
                    output.packets.push(self.opening(copy));
                }
            }
            State::Waiting {
                packet,
                since,
                due,
                pause,
                acknowledged,
                ..
            } => {
                if now.since(*since) >= self.settings.deadline {
                    self.give_up(now, &mut output);
                } else if !*acknowledged && *due <= now {
                    *pause = (*pause * 2).min(LONGEST_REPEAT);
                    *due = now.after(*pause);
                    let packet = packet.clone();
                    output.packets.push(packet);
                }
            }
        }
        output
    }

    /// A packet has come.
    pub fn packet(&mut self, now: Timestamp, packet: &Packet) -> ClientOutput {
        let mut output = ClientOutput::default();
        let flow = self.flow();
        if packet.source != Some(flow.service) || packet.destination != Some(flow.client) {
            return output;
        }
        if packet.flags.rst {
            self.reset(now, &mut output);
        } else if packet.flags.syn {
            self.opened(now, packet, &mut output);
        } else if self.open.is_some() {
            self.data(now, packet, &mut output);
        }
        output
    }

    fn begin(&mut self, now: Timestamp, first_tried: Timestamp, output: &mut ClientOutput) {
        self.port = if self.port == u16::MAX {
            1_024
        } else {
            self.port + 1
        };
        self.state = State::Opening {
            first_tried,
            since: now,
            copies: 0,
        };
        output.events.push(ClientEvent::OpeningSent(self.flow()));
        output.packets.push(self.opening(0));
    }

    fn opening(&self, attempt: u32) -> Packet {
        Packet {
            source: Some(self.flow().client),
            destination: Some(self.settings.service),
            flags: Flags {
                syn: true,
                ..Flags::default()
            },
            sequence: self.first_sequence(),
            acknowledged: attempt,
            ..Packet::default()
        }
    }

    fn first_sequence(&self) -> u32 {
        u32::from(self.port) << 12
    }

    /// The first answer to an opening wins; the echo of a later one is taken over all the same,
    /// as both ends always repeat the last they got.
    fn opened(&mut self, now: Timestamp, packet: &Packet, output: &mut ClientOutput) {
        if let Some(open) = &mut self.open {
            open.echo = packet.echo;
            return;
        }
        let State::Opening { first_tried, .. } = self.state else {
            return;
        };
        self.open = Some(OpenFlow {
            next: self.first_sequence().wrapping_add(1),
            expected: packet.sequence.wrapping_add(1),
            echo: packet.echo,
            requests: 0,
        });
        self.request(now, first_tried, output);
    }

    fn request(&mut self, now: Timestamp, since: Timestamp, output: &mut ClientOutput) {
        let flow = self.flow();
        let request = self.next_request;
        self.next_request += 1;
        let Some(open) = &mut self.open else {
            return;
        };
        open.requests += 1;
        let packet = flow_packet(flow, open, request.to_be_bytes().to_vec());
        self.state = State::Waiting {
            request,
            packet: packet.clone(),
            since,
            due: now.after(FIRST_REPEAT),
            pause: FIRST_REPEAT,
            acknowledged: false,
        };
        output
            .events
            .push(ClientEvent::RequestSent { flow, request });
        output.packets.push(packet);
    }

    fn data(&mut self, now: Timestamp, packet: &Packet, output: &mut ClientOutput) {
        let flow = self.flow();
        let Some(open) = &mut self.open else {
            return;
        };
        open.echo = packet.echo;
        let State::Waiting {
            request,
            packet: sent,
            since,
            acknowledged,
            ..
        } = &mut self.state
        else {
            // A repeat of the last answer: its acknowledgement was lost.
            if !packet.data.is_empty() {
                output.packets.push(flow_packet(flow, open, Vec::new()));
            }
            return;
        };
        sent.echo = packet.echo;
        if packet.acknowledged == sent.sequence.wrapping_add(data_length(&sent.data)) {
            *acknowledged = true;
        }
        if packet.data.is_empty() {
            return;
        }
        if packet.sequence != open.expected {
            output.packets.push(flow_packet(flow, open, Vec::new()));
            return;
        }
        open.next = sent.sequence.wrapping_add(data_length(&sent.data));
        open.expected = open.expected.wrapping_add(data_length(&packet.data));
        output.packets.push(flow_packet(flow, open, Vec::new()));
        if packet.flags.fin {
            open.requests = self.settings.requests_per_flow;
        }
        let (request, after) = (*request, now.since(*since));
        match Answer::decode(&packet.data) {
            Some(answer) => output.events.push(ClientEvent::Answered {
                flow,
                request,
                answer,
                after,
            }),
            None => output.events.push(ClientEvent::Garbled(flow)),
        }
        self.rest(now, output);
    }

    fn rest(&mut self, now: Timestamp, output: &mut ClientOutput) {
        self.retried = 0;
        let flow = self.flow();
        if let Some(open) = &self.open
            && open.requests >= self.settings.requests_per_flow
        {
            let mut end = flow_packet(flow, open, Vec::new());
            end.flags.fin = true;
            output.packets.push(end);
            self.open = None;
        }
        self.state = State::Resting {
            until: now.after(self.settings.pause),
        };
    }

    fn reset(&mut self, now: Timestamp, output: &mut ClientOutput) {
        let flow = self.flow();
        let open = self.open.is_some();
        if matches!(self.state, State::Resting { .. }) && !open {
            return;
        }
        let rested = matches!(self.state, State::Resting { .. });
        let first_tried = match &self.state {
            State::Waiting { since, .. } if self.retried < self.settings.retries => Some(*since),
            _ => None,
        };
        output.events.push(ClientEvent::Reset {
            flow,
            open,
            retried: first_tried.is_some() || rested,
        });
        self.open = None;
        if rested {
            return;
        }
        if let Some(first_tried) = first_tried {
            self.retried += 1;
            self.begin(now, first_tried, output);
            return;
        }
        self.retried = 0;
        self.state = State::Resting {
            until: now.after(self.settings.pause),
        };
    }

    fn give_up(&mut self, now: Timestamp, output: &mut ClientOutput) {
        let flow = self.flow();
        let request = match &self.state {
            State::Waiting { request, .. } => Some(*request),
            State::Opening { .. } | State::Resting { .. } => None,
        };
        if let Some(open) = self.open.take() {
            let mut end = flow_packet(flow, &open, Vec::new());
            end.flags.rst = true;
            output.packets.push(end);
        }
        output.events.push(ClientEvent::GivenUp { flow, request });
        self.retried = 0;
        self.state = State::Resting {
            until: now.after(self.settings.pause),
        };
    }
}

fn flow_packet(flow: FlowTuple, open: &OpenFlow, data: Vec<u8>) -> Packet {
    Packet {
        source: Some(flow.client),
        destination: Some(flow.service),
        flags: Flags {
            ack: true,
            ..Flags::default()
        },
        echo: open.echo,
        sequence: open.next,
        acknowledged: open.expected,
        data,
    }
}
