//! A client: a user who sends requests over flows, one at a time.

use super::packet::{Flags, Packet, sequence_length};
use super::target::{Answer, INITIAL_RETRANSMISSION_DELAY, MAXIMUM_RETRANSMISSION_DELAY};
use bellyoke_core::cookie::packet::FlowTuple;
use bellyoke_core::time::Timestamp;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Delays after the first packet of an opening at which it is retransmitted.
const OPENING_RETRANSMISSION_DELAYS: [Duration; 2] =
    [Duration::from_millis(200), Duration::from_millis(600)];

/// Time after which an opening that has not been answered fails.
const OPENING_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Settings of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientSettings {
    /// Address of the client.
    pub address: Ipv4Addr,
    /// Address of the service.
    pub service: SocketAddrV4,
    /// Number of requests after which the client closes a flow.
    pub requests_per_flow: u32,
    /// Pause between two requests.
    pub think_time: Duration,
    /// Maximum time to wait for an answer, counted from the first attempt.
    pub deadline: Duration,
    /// Maximum number of times that a request is retried over a new flow after its flow was reset.
    pub retries: u32,
}

/// An event at a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// The first packet of a flow was sent.
    OpeningSent(FlowTuple),
    /// A request was sent.
    RequestSent {
        /// The flow.
        flow: FlowTuple,
        /// Number of the request.
        request: u64,
    },
    /// A reset was received.
    Reset {
        /// The flow.
        flow: FlowTuple,
        /// Whether the flow was open.
        open: bool,
        /// Whether no request failed because of the reset: the request is retried, or the flow was
        /// idle.
        without_loss: bool,
    },
    /// An answer was received.
    Answered {
        /// The flow.
        flow: FlowTuple,
        /// Number of the pending request.
        request: u64,
        /// Content of the answer.
        answer: Answer,
        /// Time since the first attempt of the request.
        latency: Duration,
    },
    /// Data was received that can't be decoded as an answer.
    MalformedAnswer(FlowTuple),
    /// The request timed out.
    TimedOut {
        /// The flow.
        flow: FlowTuple,
        /// Number of the request, or `None` if the flow never opened.
        request: Option<u64>,
    },
}

/// Output of a client.
#[derive(Debug, Default)]
pub struct ClientOutput {
    /// Packets for a router.
    pub packets: Vec<Packet>,
    /// Events in the order in which they occurred.
    pub events: Vec<ClientEvent>,
}

#[derive(Debug)]
enum State {
    Idle {
        until: Timestamp,
    },
    Opening {
        first_tried_at: Timestamp,
        started_at: Timestamp,
        retransmissions: u32,
    },
    AwaitingAnswer {
        request: u64,
        packet: Packet,
        first_tried_at: Timestamp,
        due_at: Timestamp,
        retransmission_delay: Duration,
        acknowledged: bool,
    },
}

#[derive(Debug)]
struct OpenFlow {
    next_sequence: u32,
    expected_sequence: u32,
    echo: u32,
    requests: u32,
}

/// A client.
#[derive(Debug)]
pub struct Client {
    /// Settings of the client.
    pub settings: ClientSettings,
    port: u16,
    state: State,
    open: Option<OpenFlow>,
    next_request: u64,
    /// Number of retries of the pending request.
    retries: u32,
}

impl Client {
    /// Creates a client that sends its first request at `start`. Its requests are numbered
    /// consecutively from `first_request`.
    #[must_use]
    pub const fn new(settings: ClientSettings, start: Timestamp, first_request: u64) -> Self {
        Self {
            settings,
            port: 1_024,
            state: State::Idle { until: start },
            open: None,
            next_request: first_request,
            retries: 0,
        }
    }

    fn flow(&self) -> FlowTuple {
        FlowTuple {
            client: SocketAddrV4::new(self.settings.address, self.port),
            service: self.settings.service,
        }
    }

    /// Handles the passage of time.
    pub fn tick(&mut self, now: Timestamp) -> ClientOutput {
        let mut output = ClientOutput::default();
        match &mut self.state {
            State::Idle { until } if *until <= now => {
                if self.open.is_some() {
                    self.request(now, now, &mut output);
                } else {
                    self.open_flow(now, now, &mut output);
                }
            }
            State::Idle { .. } => {}
            State::Opening {
                started_at,
                retransmissions,
                ..
            } => {
                let waited = now.since(*started_at);
                if waited >= OPENING_TIMEOUT {
                    self.time_out(now, &mut output);
                } else if let Some(delay) =
                    OPENING_RETRANSMISSION_DELAYS.get(*retransmissions as usize)
                    && waited >= *delay
                {
                    *retransmissions += 1;
                    let attempt = *retransmissions;
                    output.packets.push(self.opening(attempt));
                }
            }
            State::AwaitingAnswer {
                packet,
                first_tried_at,
                due_at,
                retransmission_delay,
                acknowledged,
                ..
            } => {
                if now.since(*first_tried_at) >= self.settings.deadline {
                    self.time_out(now, &mut output);
                } else if !*acknowledged && *due_at <= now {
                    *retransmission_delay =
                        (*retransmission_delay * 2).min(MAXIMUM_RETRANSMISSION_DELAY);
                    *due_at = now.after(*retransmission_delay);
                    let packet = packet.clone();
                    output.packets.push(packet);
                }
            }
        }
        output
    }

    /// Handles a received packet.
    pub fn handle_packet(&mut self, now: Timestamp, packet: &Packet) -> ClientOutput {
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

    fn open_flow(&mut self, now: Timestamp, first_tried_at: Timestamp, output: &mut ClientOutput) {
        self.port = if self.port == u16::MAX {
            1_024
        } else {
            self.port + 1
        };
        self.state = State::Opening {
            first_tried_at,
            started_at: now,
            retransmissions: 0,
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

    /// Handles an answer to the opening. The first one opens the flow. The echo of later ones is
    /// adopted as well, since both endpoints always send back the last value that they received.
    fn opened(&mut self, now: Timestamp, packet: &Packet, output: &mut ClientOutput) {
        if let Some(open) = &mut self.open {
            open.echo = packet.echo;
            return;
        }
        let State::Opening { first_tried_at, .. } = self.state else {
            return;
        };
        self.open = Some(OpenFlow {
            next_sequence: self.first_sequence().wrapping_add(1),
            expected_sequence: packet.sequence.wrapping_add(1),
            echo: packet.echo,
            requests: 0,
        });
        self.request(now, first_tried_at, output);
    }

    fn request(&mut self, now: Timestamp, first_tried_at: Timestamp, output: &mut ClientOutput) {
        let flow = self.flow();
        let request = self.next_request;
        self.next_request += 1;
        let Some(open) = &mut self.open else {
            return;
        };
        open.requests += 1;
        let packet = flow_packet(flow, open, request.to_be_bytes().to_vec());
        self.state = State::AwaitingAnswer {
            request,
            packet: packet.clone(),
            first_tried_at,
            due_at: now.after(INITIAL_RETRANSMISSION_DELAY),
            retransmission_delay: INITIAL_RETRANSMISSION_DELAY,
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
        let State::AwaitingAnswer {
            request,
            packet: sent,
            first_tried_at,
            acknowledged,
            ..
        } = &mut self.state
        else {
            // The target retransmitted its last answer, since the acknowledgement was lost.
            if !packet.data.is_empty() {
                output.packets.push(flow_packet(flow, open, Vec::new()));
            }
            return;
        };
        sent.echo = packet.echo;
        if packet.acknowledged == sent.sequence.wrapping_add(sequence_length(&sent.data)) {
            *acknowledged = true;
        }
        if packet.data.is_empty() {
            return;
        }
        if packet.sequence != open.expected_sequence {
            output.packets.push(flow_packet(flow, open, Vec::new()));
            return;
        }
        open.next_sequence = sent.sequence.wrapping_add(sequence_length(&sent.data));
        open.expected_sequence = open
            .expected_sequence
            .wrapping_add(sequence_length(&packet.data));
        output.packets.push(flow_packet(flow, open, Vec::new()));
        if packet.flags.fin {
            open.requests = self.settings.requests_per_flow;
        }
        let (request, latency) = (*request, now.since(*first_tried_at));
        match Answer::decode(&packet.data) {
            Some(answer) => output.events.push(ClientEvent::Answered {
                flow,
                request,
                answer,
                latency,
            }),
            None => output.events.push(ClientEvent::MalformedAnswer(flow)),
        }
        self.finish_request(now, output);
    }

    fn finish_request(&mut self, now: Timestamp, output: &mut ClientOutput) {
        self.retries = 0;
        let flow = self.flow();
        if let Some(open) = &self.open
            && open.requests >= self.settings.requests_per_flow
        {
            let mut closing = flow_packet(flow, open, Vec::new());
            closing.flags.fin = true;
            output.packets.push(closing);
            self.open = None;
        }
        self.state = State::Idle {
            until: now.after(self.settings.think_time),
        };
    }

    fn reset(&mut self, now: Timestamp, output: &mut ClientOutput) {
        let flow = self.flow();
        let open = self.open.is_some();
        if matches!(self.state, State::Idle { .. }) && !open {
            return;
        }
        let was_idle = matches!(self.state, State::Idle { .. });
        let first_tried_at = match &self.state {
            State::AwaitingAnswer { first_tried_at, .. }
                if self.retries < self.settings.retries =>
            {
                Some(*first_tried_at)
            }
            _ => None,
        };
        output.events.push(ClientEvent::Reset {
            flow,
            open,
            without_loss: first_tried_at.is_some() || was_idle,
        });
        self.open = None;
        if was_idle {
            return;
        }
        if let Some(first_tried_at) = first_tried_at {
            self.retries += 1;
            self.open_flow(now, first_tried_at, output);
            return;
        }
        self.retries = 0;
        self.state = State::Idle {
            until: now.after(self.settings.think_time),
        };
    }

    fn time_out(&mut self, now: Timestamp, output: &mut ClientOutput) {
        let flow = self.flow();
        let request = match &self.state {
            State::AwaitingAnswer { request, .. } => Some(*request),
            State::Opening { .. } | State::Idle { .. } => None,
        };
        if let Some(open) = self.open.take() {
            let mut closing = flow_packet(flow, &open, Vec::new());
            closing.flags.rst = true;
            output.packets.push(closing);
        }
        output.events.push(ClientEvent::TimedOut { flow, request });
        self.retries = 0;
        self.state = State::Idle {
            until: now.after(self.settings.think_time),
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
        sequence: open.next_sequence,
        acknowledged: open.expected_sequence,
        data,
    }
}
