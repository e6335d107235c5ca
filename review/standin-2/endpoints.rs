//! Targets and clients, as PROTOCOL ("Flows", "Targets") describes them.

use crate::packet::{ACK, FIN, FlowKey, Packet, RST, SYN};
use crate::world::{DATA_PORT, World, random};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// What a target has done on a flow.
struct Served {
    client_sequence: u32,
    own_sequence: u32,
    /// When the opening packet arrived, and through which node.
    opened_at: Instant,
    node: Option<usize>,
    last_answer: Option<(u32, Packet)>,
}

/// A target process. `alive` ends it.
pub struct Target {
    pub id: u32,
    pub name: String,
    pub address: SocketAddrV4,
    pub work: Duration,
    pub alive: Arc<AtomicBool>,
    /// When the store took that the target is draining or gone.
    pub drained_at: Arc<Mutex<Option<Instant>>>,
    pub runs: Arc<AtomicU64>,
    /// Latest arrival, in milliseconds after the drain, of an opening whose request ran. Only
    /// openings through nodes in touch count.
    pub latest_ms: Arc<AtomicU64>,
}

impl Target {
    pub fn start(
        world: &Arc<World>,
        name: &str,
        id: u32,
        address: SocketAddrV4,
        work_ms: u64,
    ) -> std::io::Result<Self> {
        let target = Self {
            id,
            name: name.into(),
            address,
            work: Duration::from_millis(work_ms),
            alive: Arc::new(AtomicBool::new(true)),
            drained_at: Arc::default(),
            runs: Arc::default(),
            latest_ms: Arc::default(),
        };
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(Duration::from_millis(20)))?;
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let shared = target.share();
        let world = Arc::clone(world);
        world.note(&format!("target {name} ({id:x}) starts"));
        std::thread::spawn(move || shared.run(&world, &socket, &listener));
        Ok(target)
    }

    pub fn share(&self) -> Self {
        Self {
            id: self.id,
            name: self.name.clone(),
            address: self.address,
            work: self.work,
            alive: Arc::clone(&self.alive),
            drained_at: Arc::clone(&self.drained_at),
            runs: Arc::clone(&self.runs),
            latest_ms: Arc::clone(&self.latest_ms),
        }
    }

    pub fn end(&self) {
        self.alive.store(false, Ordering::Relaxed);
    }

    fn run(&self, world: &World, socket: &UdpSocket, listener: &TcpListener) {
        let mut flows: HashMap<FlowKey, Served> = HashMap::new();
        let mut buffer = [0; 2_048];
        while self.alive.load(Ordering::Relaxed) && !world.is_stopping() {
            // Only probes of the nodes open connections here.
            while listener.accept().is_ok() {}
            let Ok((length, SocketAddr::V4(from))) = socket.recv_from(&mut buffer) else {
                continue;
            };
            let Some((meant, bytes)) = buffer[..length].split_first_chunk::<8>() else {
                continue;
            };
            let meant = u64::from_be_bytes(*meant);
            if meant != 0 && meant != u64::from(self.id) {
                continue;
            }
            let Some(packet) = Packet::decode(bytes) else {
                world.violate(format!(
                    "UNASKED a packet reached target {} in a form that nobody wrote",
                    self.name
                ));
                continue;
            };
            let node = world.node_at(*from.ip());
            for answer in self.handle(world, &mut flows, &packet, node) {
                let client = SocketAddrV4::new(answer.destination.0, DATA_PORT);
                let _ = socket.send_to(&answer.encode(), client);
            }
        }
    }

    fn handle(
        &self,
        world: &World,
        flows: &mut HashMap<FlowKey, Served>,
        packet: &Packet,
        node: Option<usize>,
    ) -> Vec<Packet> {
        let key = FlowKey {
            client: packet.source,
            service: packet.destination,
        };
        let reply = |flags, sequence, acknowledged, data| Packet {
            source: packet.destination,
            destination: packet.source,
            sequence,
            acknowledged,
            flags,
            echo: packet.echo,
            data,
        };
        if packet.has(SYN) {
            let fresh = || Served {
                client_sequence: packet.sequence.wrapping_add(1),
                own_sequence: random(),
                opened_at: Instant::now(),
                node,
                last_answer: None,
            };
            let flow = flows.entry(key).or_insert_with(fresh);
            if flow.client_sequence != packet.sequence.wrapping_add(1) {
                *flow = fresh();
            }
            return vec![reply(
                SYN | ACK,
                flow.own_sequence,
                flow.client_sequence,
                Vec::new(),
            )];
        }
        if packet.has(RST) {
            flows.remove(&key);
            return Vec::new();
        }
        let Some(flow) = flows.get_mut(&key) else {
            if packet.has(FIN) && packet.data.is_empty() {
                return vec![reply(
                    ACK,
                    packet.acknowledged,
                    packet.sequence.wrapping_add(1),
                    Vec::new(),
                )];
            }
            return vec![reply(RST, packet.acknowledged, 0, Vec::new())];
        };
        let mut answers = Vec::new();
        if !packet.data.is_empty() {
            if let Some((sequence, answer)) = &flow.last_answer
                && *sequence == packet.sequence
            {
                answers.push(Packet {
                    echo: packet.echo,
                    ..answer.clone()
                });
            } else if packet.sequence == flow.client_sequence {
                let request = request_id(&packet.data);
                self.record_run(world, flow, request);
                std::thread::sleep(self.work);
                flow.client_sequence = flow.client_sequence.wrapping_add(packet.data.len() as u32);
                let body = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nContent-Length: 2\r\n\r\nok"
                );
                let answer = reply(
                    ACK,
                    flow.own_sequence.wrapping_add(1),
                    flow.client_sequence,
                    body.into_bytes(),
                );
                flow.own_sequence = flow.own_sequence.wrapping_add(answer.data.len() as u32);
                flow.last_answer = Some((packet.sequence, answer.clone()));
                answers.push(answer);
            }
        }
        if packet.has(FIN) {
            let answer = reply(
                FIN | ACK,
                packet.acknowledged,
                packet.sequence.wrapping_add(1),
                Vec::new(),
            );
            flows.remove(&key);
            answers.push(answer);
        }
        answers
    }

    /// Checks DRAIN as it is written: by the arrival of the flow's opening packet, for nodes in touch.
    fn record_run(&self, world: &World, flow: &Served, request: u64) {
        self.runs.fetch_add(1, Ordering::Relaxed);
        world.note(&format!(
            "target {} runs request {request} (opened through node {:?})",
            self.name, flow.node
        ));
        if flow.last_answer.is_some() {
            return;
        }
        let Some(drained_at) = *self.drained_at.lock().unwrap() else {
            return;
        };
        let Some(after) = flow.opened_at.checked_duration_since(drained_at) else {
            return;
        };
        let after = after.as_millis() as u64;
        let in_touch = flow.node.is_some_and(|node| world.is_in_touch(node));
        if in_touch {
            self.latest_ms.fetch_max(after, Ordering::Relaxed);
        }
        if after > world.bounds.drain && in_touch {
            world.violate(format!(
                "DRAIN request {request} reached target {} through node {:?} {after} ms after the store took that it \
                 is draining or gone (drain_ms {})",
                self.name, flow.node, world.bounds.drain
            ));
        }
    }
}

fn request_id(data: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(data);
    let id = text
        .split("Request-Id: ")
        .nth(1)
        .and_then(|rest| rest.split("\r\n").next());
    id.and_then(|id| id.parse().ok()).unwrap_or_default()
}

/// How a client uses flows.
#[derive(Clone, Copy)]
pub struct Habit {
    pub service: Ipv4Addr,
    /// Requests of one flow.
    pub requests: usize,
    pub pause: Duration,
}

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// The end of a flow at its client.
#[derive(Debug, PartialEq, Eq)]
enum End {
    Done,
    NotOpened,
    /// A reset on the open flow, sent by a node.
    ResetByNode(usize),
    ResetByTarget,
    NoAnswer,
}

/// Starts a client that opens one flow after the other.
pub fn start_client(
    world: &Arc<World>,
    number: usize,
    habit: Habit,
    watched: &'static AtomicU16,
) -> std::io::Result<()> {
    let ip = world.client_ip(number);
    let socket = UdpSocket::bind((ip, DATA_PORT))?;
    let world = Arc::clone(world);
    std::thread::spawn(move || {
        let mut port = 20_000 + (random() % 20_000) as u16;
        while !world.is_stopping() {
            port = if port >= 60_000 { 20_000 } else { port + 1 };
            let flow = FlowKey {
                client: (ip, port),
                service: (habit.service, crate::world::SERVICE_PORT),
            };
            let end = run_flow(&world, &socket, flow, habit, watched);
            if end != End::Done {
                world.note(&format!("client {number}: flow {port} ended: {end:?}"));
            }
            std::thread::sleep(habit.pause);
        }
    });
    Ok(())
}

fn send(world: &World, socket: &UdpSocket, flow: &FlowKey, packet: &Packet) {
    if let Some(node) = world.route(flow) {
        let _ = socket.send_to(&packet.encode(), node);
    }
}

/// Receives the next packet of a flow, and its sender, before a time.
fn receive(socket: &UdpSocket, flow: &FlowKey, until: Instant) -> Option<(Packet, Ipv4Addr)> {
    let mut buffer = [0; 2_048];
    loop {
        let left = until
            .checked_duration_since(Instant::now())
            .filter(|left| !left.is_zero())?;
        socket.set_read_timeout(Some(left)).ok()?;
        let Ok((length, SocketAddr::V4(from))) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let Some(packet) = Packet::decode(&buffer[..length]) else {
            continue;
        };
        if packet.destination == flow.client && packet.source == flow.service {
            return Some((packet, *from.ip()));
        }
    }
}

fn run_flow(
    world: &World,
    socket: &UdpSocket,
    flow: FlowKey,
    habit: Habit,
    watched: &AtomicU16,
) -> End {
    let opened_at = Instant::now();
    let first = random();
    let packet = |flags, sequence, acknowledged, echo, data| Packet {
        source: flow.client,
        destination: flow.service,
        sequence,
        acknowledged,
        flags,
        echo,
        data,
    };
    // A SYN, with copies after 200 and 600 ms; the attempt ends after 1.4 s.
    let mut opened = None;
    for (copy, until) in [(0, 200), (1, 600), (2, 1_400)] {
        send(
            world,
            socket,
            &flow,
            &packet(SYN, first, copy, 0, Vec::new()),
        );
        let until = opened_at + Duration::from_millis(until);
        match receive(socket, &flow, until) {
            Some((answer, from)) if answer.has(SYN) && answer.has(ACK) => {
                opened = Some((answer, from));
                break;
            }
            Some((answer, _)) if answer.has(RST) => return End::NotOpened,
            _ => {}
        }
    }
    let Some((answer, target)) = opened else {
        return End::NotOpened;
    };
    let is_watched = || target.octets()[3] == watched.load(Ordering::Relaxed) as u8;
    let mut sequence = first.wrapping_add(1);
    let mut acknowledged = answer.sequence.wrapping_add(1);
    let mut echo = answer.echo;
    for number in 0..habit.requests {
        if number > 0 {
            // A reset that reaches the client while the flow rests counts, too.
            let until = Instant::now() + habit.pause;
            while let Some((packet, from)) = receive(socket, &flow, until) {
                if packet.has(RST) {
                    return reset(world, &flow, from, target, None, is_watched());
                }
            }
        }
        if world.is_stopping() {
            break;
        }
        let request = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
        let data = format!(
            "POST /card-tap HTTP/1.1\r\nRequest-Id: {request}\r\nContent-Length: 0\r\n\r\n"
        )
        .into_bytes();
        let length = data.len() as u32;
        let sent_at = Instant::now();
        world.note(&format!(
            "client {}: sends request {request} to target {target}",
            flow.client.0
        ));
        let mut wait = Duration::from_millis(200);
        let answer = loop {
            if sent_at.elapsed() >= Duration::from_millis(2_000) {
                world.note(&format!(
                    "client {}: no answer to request {request}",
                    flow.client.0
                ));
                return End::NoAnswer;
            }
            send(
                world,
                socket,
                &flow,
                &packet(ACK, sequence, acknowledged, echo, data.clone()),
            );
            let until = Instant::now() + wait;
            wait = (wait * 2).min(Duration::from_millis(1_600));
            let mut answered = None;
            while let Some((answer, from)) = receive(socket, &flow, until) {
                if answer.has(RST) {
                    return reset(world, &flow, from, target, Some(request), is_watched());
                }
                if !answer.data.is_empty() && answer.sequence == acknowledged {
                    answered = Some(answer);
                    break;
                }
            }
            if let Some(answer) = answered {
                break answer;
            }
        };
        if request_id(&answer.data) != request {
            world.violate(format!(
                "MIXED request {request} got the answer to another one"
            ));
        }
        world.served.fetch_add(1, Ordering::Relaxed);
        world.note(&format!(
            "client {}: answer to request {request}",
            flow.client.0
        ));
        sequence = sequence.wrapping_add(length);
        acknowledged = acknowledged.wrapping_add(answer.data.len() as u32);
        echo = answer.echo;
    }
    send(
        world,
        socket,
        &flow,
        &packet(FIN | ACK, sequence, acknowledged, echo, Vec::new()),
    );
    let until = Instant::now() + Duration::from_millis(50);
    while let Some((answer, _)) = receive(socket, &flow, until) {
        if answer.has(FIN) {
            break;
        }
    }
    End::Done
}

/// Checks FLOW (a): a reset that the flow's target didn't send, on an open flow.
fn reset(
    world: &World,
    flow: &FlowKey,
    from: Ipv4Addr,
    target: Ipv4Addr,
    request: Option<u64>,
    is_watched: bool,
) -> End {
    let Some(node) = world.node_at(from) else {
        return End::ResetByTarget;
    };
    let what = request.map_or("at rest".to_owned(), |request| {
        format!("waiting for the answer to request {request}")
    });
    world.note(&format!(
        "client {}: reset from node {node}, {what}",
        flow.client.0
    ));
    if is_watched && world.is_in_touch(node) {
        world.violate(format!(
            "FLOW a reset by node {node} reached client {} on its open flow at target {target}, which is alive; it was {what}",
            flow.client.0
        ));
    }
    End::ResetByNode(node)
}
