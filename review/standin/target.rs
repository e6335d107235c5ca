//! A target: takes datagrams at its address and answers its clients directly (PROTOCOL, "Flows" and "Targets").

use crate::packet::{Packet, ACK, FIN, RST, SYN};
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// First wait before data is sent again; it doubles up to the longest one.
pub const FIRST_WAIT: Duration = Duration::from_millis(200);
pub const LONGEST_WAIT: Duration = Duration::from_millis(1600);
const TRIES: u32 = 8;

/// What the check needs to know of the targets.
#[derive(Clone, Debug)]
pub struct Opened {
    pub target: u64,
    pub client: SocketAddrV4,
    pub at: Instant,
    /// The node that sent on the opening.
    pub node: SocketAddrV4,
}

#[derive(Default)]
pub struct Ledger {
    /// Flows that opened.
    pub opened: Vec<Opened>,
    /// Flows that targets reset, as they don't hold them: the client's address.
    pub resets: Vec<SocketAddrV4>,
}

struct Flow {
    /// The next byte expected from the client.
    expected: u32,
    /// The next byte to send.
    next: u32,
    echo: u32,
    open: bool,
    /// The node that sent on the opening.
    node: SocketAddrV4,
    unacknowledged: Option<(Packet, Instant, Duration, u32)>,
}

pub struct Target {
    pub draining: Arc<AtomicBool>,
    /// Whether its links to the nodes are cut: nothing that they send reaches it, and connections are refused.
    pub cut: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
    health: Option<std::thread::JoinHandle<()>>,
}

impl Target {
    /// Starts a target, which holds nothing of any life before.
    pub fn start(
        id: u64,
        address: SocketAddrV4,
        client_port: u16,
        work: Duration,
        ledger: Arc<Mutex<Ledger>>,
        record: Record,
    ) -> Self {
        let socket = UdpSocket::bind(address).expect("bind a target");
        let listener = TcpListener::bind(address).expect("listen at a target");
        let draining = Arc::new(AtomicBool::new(false));
        let cut = Arc::new(AtomicBool::new(false));
        let ended = Arc::new(AtomicBool::new(false));
        let worker = Worker {
            id,
            socket,
            client_port,
            work,
            flows: BTreeMap::new(),
            running: Vec::new(),
            next: (id as u32).wrapping_mul(0x9e37_79b9) ^ (address.port() as u32) << 8,
            draining: Arc::clone(&draining),
            cut: Arc::clone(&cut),
            ended: Arc::clone(&ended),
            ledger,
            record,
        };
        let thread = std::thread::spawn(move || worker.run());
        let (health_cut, health_ended) = (Arc::clone(&cut), Arc::clone(&ended));
        let health =
            std::thread::spawn(move || serve_health(listener, address, &health_cut, &health_ended));
        Self {
            draining,
            cut,
            ended,
            thread: Some(thread),
            health: Some(health),
        }
    }

    /// Ends the target at once. Its sockets are closed on return.
    pub fn end(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
        for thread in [self.thread.take(), self.health.take()]
            .into_iter()
            .flatten()
        {
            let _ = thread.join();
        }
    }
}

/// Takes connections, which only probes of the system open here, and closes them. Refuses them while the links are cut.
fn serve_health(
    listener: TcpListener,
    address: SocketAddrV4,
    cut: &AtomicBool,
    ended: &AtomicBool,
) {
    let mut listener = Some(listener);
    while !ended.load(Ordering::SeqCst) {
        if cut.load(Ordering::SeqCst) {
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(address).ok();
        }
        let accepted = listener.as_ref().is_some_and(|listener| {
            let _ = listener.set_nonblocking(true);
            listener.accept().is_ok()
        });
        if !accepted {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

struct Worker {
    id: u64,
    socket: UdpSocket,
    client_port: u16,
    work: Duration,
    flows: BTreeMap<(SocketAddrV4, SocketAddrV4), Flow>,
    running: Vec<(Instant, (SocketAddrV4, SocketAddrV4), String)>,
    next: u32,
    draining: Arc<AtomicBool>,
    cut: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
    ledger: Arc<Mutex<Ledger>>,
    record: Record,
}

impl Worker {
    fn run(mut self) {
        self.socket
            .set_read_timeout(Some(Duration::from_millis(2)))
            .unwrap();
        let mut buffer = [0; 2048];
        while !self.ended.load(Ordering::SeqCst) {
            if let Ok((length, SocketAddr::V4(node))) = self.socket.recv_from(&mut buffer) {
                if !self.cut.load(Ordering::SeqCst) {
                    self.take(&buffer[..length], node);
                }
            }
            self.finish_work();
            self.send_again();
        }
    }

    fn take(&mut self, bytes: &[u8], node: SocketAddrV4) {
        if bytes.len() < 8 {
            return;
        }
        let meant = u64::from_be_bytes(bytes[..8].try_into().unwrap());
        if meant != 0 && meant != self.id {
            return;
        }
        let Some(packet) = Packet::decode(&bytes[8..]) else {
            self.record.line(&format!(
                "target {:x}: a packet was changed on its way",
                self.id
            ));
            return;
        };
        let key = (packet.src, packet.dst);
        if packet.has(SYN) {
            self.open(key, &packet, node);
            return;
        }
        let known = self
            .flows
            .get_mut(&key)
            .filter(|flow| flow.open || packet.ack == flow.next);
        let Some(flow) = known else {
            if !packet.has(RST) {
                self.reset(&packet);
            }
            return;
        };
        if packet.has(RST) {
            self.flows.remove(&key);
            return;
        }
        flow.echo = packet.echo;
        if !flow.open {
            flow.open = true;
            let opened = Opened {
                target: self.id,
                client: packet.src,
                at: Instant::now(),
                node: flow.node,
            };
            self.record.line(&format!(
                "target {:x}: flow {} is open",
                self.id, packet.src
            ));
            self.ledger.lock().unwrap().opened.push(opened);
        }
        if packet.ack == flow.next {
            flow.unacknowledged = None;
        }
        let mut request = None;
        if !packet.data.is_empty() {
            if packet.seq == flow.expected {
                flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
                request = request_id(&packet.data);
            }
            let acknowledgement = Packet {
                seq: flow.next,
                ack: flow.expected,
                flags: ACK,
                echo: flow.echo,
                dst: key.0,
                src: key.1,
                data: Vec::new(),
            };
            self.send(&acknowledgement);
        }
        if packet.has(FIN) {
            self.flows.remove(&key);
            return;
        }
        if let Some(id) = request {
            let now = Instant::now();
            self.record
                .line(&format!("target {:x}: runs request {id}", self.id));
            self.running.push((now + self.work, key, id));
        }
    }

    fn open(&mut self, key: (SocketAddrV4, SocketAddrV4), packet: &Packet, node: SocketAddrV4) {
        if !self.flows.contains_key(&key) {
            self.next = self.next.wrapping_add(0x1_0001);
            let flow = Flow {
                expected: packet.seq.wrapping_add(1),
                next: self.next.wrapping_add(1),
                echo: packet.echo,
                open: false,
                node,
                unacknowledged: None,
            };
            self.flows.insert(key, flow);
        }
        let flow = self.flows.get_mut(&key).unwrap();
        flow.echo = packet.echo;
        let answer = Packet {
            seq: flow.next.wrapping_sub(1),
            ack: flow.expected,
            flags: SYN | ACK,
            echo: flow.echo,
            dst: key.0,
            src: key.1,
            data: Vec::new(),
        };
        self.send(&answer);
    }

    /// Answers a packet of a flow that this target doesn't hold.
    fn reset(&mut self, packet: &Packet) {
        self.ledger.lock().unwrap().resets.push(packet.src);
        let reset = Packet {
            seq: packet.ack,
            ack: packet.seq,
            flags: RST | ACK,
            echo: packet.echo,
            dst: packet.src,
            src: packet.dst,
            data: Vec::new(),
        };
        self.send(&reset);
    }

    fn finish_work(&mut self) {
        let now = Instant::now();
        let running = std::mem::take(&mut self.running);
        let (done, running): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|(until, ..)| *until <= now);
        self.running = running;
        for (_, key, id) in done {
            let leaving = self.draining.load(Ordering::SeqCst);
            let Some(flow) = self.flows.get_mut(&key) else {
                continue;
            };
            let packet = Packet {
                seq: flow.next,
                ack: flow.expected,
                flags: if leaving { ACK | FIN } else { ACK },
                echo: flow.echo,
                dst: key.0,
                src: key.1,
                data: format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer: {:x}\r\nContent-Length: 0\r\n\r\n", self.id).into_bytes(),
            };
            flow.next = flow.next.wrapping_add(packet.data.len() as u32);
            flow.unacknowledged = Some((packet.clone(), now + FIRST_WAIT, FIRST_WAIT, 0));
            self.send(&packet);
        }
    }

    fn send_again(&mut self) {
        let now = Instant::now();
        let mut due = Vec::new();
        self.flows.retain(|_, flow| {
            let echo = flow.echo;
            let Some((packet, at, wait, tries)) = &mut flow.unacknowledged else {
                return true;
            };
            if *at > now {
                return true;
            }
            *tries += 1;
            *wait = (*wait * 2).min(LONGEST_WAIT);
            *at = now + *wait;
            packet.echo = echo;
            due.push(packet.clone());
            *tries < TRIES
        });
        for packet in due {
            self.send(&packet);
        }
    }

    fn send(&self, packet: &Packet) {
        let to = SocketAddrV4::new(*packet.dst.ip(), self.client_port);
        let _ = self.socket.send_to(&packet.encode(), to);
    }
}

fn request_id(data: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(data).ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("Request-Id: "))?;
    Some(line.trim().to_owned())
}
