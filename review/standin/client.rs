//! A client: opens flows and sends requests over them (PROTOCOL, "Flows").

use crate::nodes::Router;
use crate::packet::{Packet, ACK, FIN, RST, SYN};
use crate::record::Record;
use crate::target::{FIRST_WAIT, LONGEST_WAIT};
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// When copies of an opening are sent, and when the attempt ends.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPENING_TIMEOUT: Duration = Duration::from_millis(1400);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Answered,
    /// Reset before the flow opened, or never opened: nothing has run.
    NotOpened,
    /// Reset on the open flow.
    Reset,
    /// Not answered by its deadline.
    Deadline,
}

/// One request of a client, a single attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub client: SocketAddrV4,
    /// When the client sent the opening of the request's flow.
    pub opening_at: Instant,
    pub sent_at: Instant,
    pub fate: Fate,
    pub ended_at: Instant,
    /// Whether the reset came from a node of the system rather than from a target.
    pub by_system: bool,
}

/// What a client does.
#[derive(Clone)]
pub struct Habit {
    pub service: SocketAddrV4,
    pub requests_per_flow: u32,
    pub pause: Duration,
    pub deadline: Duration,
}

struct Flow {
    next: u32,
    expected: u32,
    /// The last `echo` that the client got on the flow.
    echo: u32,
}

pub struct Client {
    socket: UdpSocket,
    ip: Ipv4Addr,
    port: u16,
    number: u32,
    requests: u32,
    habit: Habit,
    router: Arc<Router>,
    stop: Arc<AtomicBool>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    record: Record,
}

enum Got {
    Packet(Packet, SocketAddrV4),
    Nothing,
}

impl Client {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        number: u32,
        ip: Ipv4Addr,
        port: u16,
        habit: Habit,
        router: Arc<Router>,
        stop: Arc<AtomicBool>,
        attempts: Arc<Mutex<Vec<Attempt>>>,
        record: Record,
    ) -> Self {
        let socket = UdpSocket::bind(SocketAddrV4::new(ip, port)).expect("bind a client");
        Self {
            socket,
            ip,
            port: 1023,
            number,
            requests: 0,
            habit,
            router,
            stop,
            attempts,
            record,
        }
    }

    pub fn run(mut self) {
        while !self.stop.load(Ordering::SeqCst) {
            self.one_flow();
            self.rest(self.habit.pause);
        }
    }

    /// Waits without an open flow, and ignores what comes.
    fn rest(&self, pause: Duration) {
        let until = Instant::now() + pause;
        while Instant::now() < until {
            self.receive(until);
        }
    }

    fn flow_addresses(&self) -> (SocketAddrV4, SocketAddrV4) {
        (SocketAddrV4::new(self.ip, self.port), self.habit.service)
    }

    fn one_flow(&mut self) {
        self.port += 1;
        let opening_at = Instant::now();
        let Some(mut flow) = self.open(opening_at) else {
            return;
        };
        for number in 0..self.habit.requests_per_flow {
            if number > 0 && !self.rest_on(&mut flow, opening_at) {
                return;
            }
            if !self.request(&mut flow, opening_at) || self.stop.load(Ordering::SeqCst) {
                return;
            }
        }
        let fin = self.packet(&flow, ACK | FIN, Vec::new());
        self.send(&fin);
    }

    fn open(&mut self, started: Instant) -> Option<Flow> {
        let (client, service) = self.flow_addresses();
        let first = u32::from(self.port) << 12;
        let mut copies = 0;
        let opening = |copy: u32| Packet {
            seq: first,
            ack: copy,
            flags: SYN,
            echo: 0,
            dst: service,
            src: client,
            data: Vec::new(),
        };
        self.send(&opening(0));
        loop {
            let due = COPIES.get(copies).copied().unwrap_or(OPENING_TIMEOUT);
            if started.elapsed() >= OPENING_TIMEOUT {
                self.not_opened(started, "no answer to the opening", false);
                return None;
            }
            if copies < COPIES.len() && started.elapsed() >= due {
                copies += 1;
                self.send(&opening(copies as u32));
                continue;
            }
            let Got::Packet(packet, from) = self.receive(started + due) else {
                continue;
            };
            if packet.has(RST) {
                self.not_opened(started, "the opening was reset", self.router.is_node(from));
                return None;
            }
            if packet.has(SYN) {
                return Some(Flow {
                    next: first.wrapping_add(1),
                    expected: packet.seq.wrapping_add(1),
                    echo: packet.echo,
                });
            }
        }
    }

    fn not_opened(&mut self, started: Instant, why: &str, by_system: bool) {
        let id = self.next_id();
        self.end(id, started, started, Fate::NotOpened, by_system, why);
    }

    fn next_id(&mut self) -> String {
        self.requests += 1;
        format!("c{}-{}", self.number, self.requests)
    }

    /// Sends a request and waits for its answer. Returns whether the flow goes on.
    fn request(&mut self, flow: &mut Flow, opening_at: Instant) -> bool {
        let id = self.next_id();
        let data = format!(
            "POST /pay HTTP/1.1\r\nHost: shop\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        )
        .into_bytes();
        let length = data.len() as u32;
        let sent_at = Instant::now();
        let mut packet = self.packet(flow, ACK, data);
        let mut wait = FIRST_WAIT;
        let mut due = sent_at + wait;
        let mut acknowledged = false;
        self.send(&packet);
        loop {
            let now = Instant::now();
            if now >= sent_at + self.habit.deadline {
                self.end(
                    id,
                    opening_at,
                    sent_at,
                    Fate::Deadline,
                    false,
                    "no answer by the deadline",
                );
                return false;
            }
            if !acknowledged && now >= due {
                wait = (wait * 2).min(LONGEST_WAIT);
                due = now + wait;
                packet.echo = flow.echo;
                self.send(&packet);
            }
            let until = if acknowledged {
                sent_at + self.habit.deadline
            } else {
                due.min(sent_at + self.habit.deadline)
            };
            let Got::Packet(got, from) = self.receive(until) else {
                continue;
            };
            if got.has(RST) {
                let by_system = self.router.is_node(from);
                self.end(
                    id,
                    opening_at,
                    sent_at,
                    Fate::Reset,
                    by_system,
                    &format!("reset on the open flow by {from}"),
                );
                return false;
            }
            flow.echo = got.echo;
            if got.has(SYN) {
                continue;
            }
            acknowledged |= got.ack == packet.seq.wrapping_add(length);
            if got.data.is_empty() || got.seq != flow.expected {
                continue;
            }
            flow.next = packet.seq.wrapping_add(length);
            flow.expected = flow.expected.wrapping_add(got.data.len() as u32);
            let acknowledgement = self.packet(flow, ACK, Vec::new());
            self.send(&acknowledgement);
            self.end(id, opening_at, sent_at, Fate::Answered, false, "answered");
            return !got.has(FIN);
        }
    }

    /// Rests on an open flow. Returns whether it is still open.
    fn rest_on(&mut self, flow: &mut Flow, opening_at: Instant) -> bool {
        let started = Instant::now();
        let until = started + self.habit.pause;
        while Instant::now() < until {
            let Got::Packet(packet, from) = self.receive(until) else {
                continue;
            };
            if packet.has(RST) {
                let id = self.next_id();
                let by_system = self.router.is_node(from);
                self.end(
                    id,
                    opening_at,
                    started,
                    Fate::Reset,
                    by_system,
                    &format!("reset on the open flow, at rest, by {from}"),
                );
                return false;
            }
            flow.echo = packet.echo;
            if !packet.data.is_empty() {
                let acknowledgement = self.packet(flow, ACK, Vec::new());
                self.send(&acknowledgement);
            }
        }
        true
    }

    fn end(
        &mut self,
        id: String,
        opening_at: Instant,
        sent_at: Instant,
        fate: Fate,
        by_system: bool,
        why: &str,
    ) {
        let client = self.flow_addresses().0;
        self.record.line(&format!(
            "client {client}: request {id} sent at {:.3}: {fate:?} ({why})",
            self.record.seconds(sent_at)
        ));
        let attempt = Attempt {
            client,
            opening_at,
            sent_at,
            fate,
            ended_at: Instant::now(),
            by_system,
        };
        self.attempts.lock().unwrap().push(attempt);
    }

    fn packet(&self, flow: &Flow, flags: u8, data: Vec<u8>) -> Packet {
        let (client, service) = self.flow_addresses();
        Packet {
            seq: flow.next,
            ack: flow.expected,
            flags,
            echo: flow.echo,
            dst: service,
            src: client,
            data,
        }
    }

    /// Hands a packet to the node that the router picks now.
    fn send(&self, packet: &Packet) {
        let Some(node) = self.router.pick(packet.src, packet.dst) else {
            return;
        };
        let _ = self.socket.send_to(&packet.encode(), node);
    }

    /// Returns the next packet of the current flow, or nothing by `until`.
    fn receive(&self, until: Instant) -> Got {
        let (client, service) = self.flow_addresses();
        let mut buffer = [0; 2048];
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Got::Nothing;
            }
            self.socket
                .set_read_timeout(Some(left.max(Duration::from_millis(1))))
                .unwrap();
            let Ok((length, std::net::SocketAddr::V4(from))) = self.socket.recv_from(&mut buffer)
            else {
                return Got::Nothing;
            };
            match Packet::decode(&buffer[..length]) {
                Some(packet) if packet.dst == client && packet.src == service => {
                    return Got::Packet(packet, from)
                }
                _ => {}
            }
        }
    }
}
