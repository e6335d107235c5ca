//! What all stand-ins of a run share: addresses, the record, node processes, and the routers' choice of a node.

use crate::packet::FlowKey;
use std::fs::File;
use std::io::{BufWriter, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const DATA_PORT: u16 = 18_172;
pub const READY_PORT: u16 = 18_167;
pub const PEER_PORT: u16 = 17_720;
pub const METRICS_PORT: u16 = 19_464;
pub const STORE_PORT: u16 = 18_169;
pub const TARGET_PORT: u16 = 18_080;
/// Address and port of the routes' services.
pub const SERVICE_PORT: u16 = 443;

pub const ZONES: [&str; 3] = ["cork-hall", "limerick-hall", "kerry-hall"];

/// The bounds of the site, in milliseconds.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub drain: u64,
    pub config: u64,
    pub contact: u64,
}

pub struct Node {
    pub child: Option<Child>,
    pub is_in: bool,
    missed: u32,
    /// When its process was last started or killed.
    pub disturbed_at: Instant,
}

pub struct World {
    pub net: u8,
    pub started: Instant,
    pub bounds: Bounds,
    pub program: PathBuf,
    pub folder: PathBuf,
    record: Mutex<BufWriter<File>>,
    /// The machines whose addresses are the seeds in settings that are written from now on.
    pub seeds: Mutex<Vec<usize>>,
    pub nodes: Mutex<Vec<Node>>,
    pub stopping: AtomicBool,
    pub served: AtomicU64,
    pub violations: Mutex<Vec<String>>,
}

impl World {
    pub fn new(bounds: Bounds, program: &Path, folder: &Path, record: &Path) -> Option<Arc<Self>> {
        Some(Arc::new(Self {
            net: free_network()?,
            started: Instant::now(),
            bounds,
            program: program.into(),
            folder: folder.into(),
            record: Mutex::new(BufWriter::new(File::create(record).ok()?)),
            seeds: Mutex::new(vec![0, 1, 2]),
            nodes: Mutex::default(),
            stopping: AtomicBool::new(false),
            served: AtomicU64::new(0),
            violations: Mutex::default(),
        }))
    }

    pub fn node_ip(&self, node: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 1, node as u8 + 1)
    }

    pub fn target_address(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(
            Ipv4Addr::new(127, self.net, 2, number as u8 + 1),
            TARGET_PORT,
        )
    }

    pub fn client_ip(&self, client: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 3, client as u8 + 1)
    }

    /// The store's address for a node. Each node has one of its own, which tells the nodes apart.
    pub fn store_address(&self, node: usize) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.net, 4, node as u8 + 1), STORE_PORT)
    }

    pub fn node_at(&self, ip: Ipv4Addr) -> Option<usize> {
        let octets = ip.octets();
        (octets[0] == 127 && octets[1] == self.net && octets[2] == 1)
            .then(|| usize::from(octets[3]) - 1)
    }

    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Writes a line into the record.
    pub fn note(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{seconds:9.4} {text}");
    }

    /// Records a broken rule.
    pub fn violate(&self, text: String) {
        self.note(&format!("BROKEN {text}"));
        self.violations.lock().unwrap().push(text);
    }

    /// Returns whether no process of the node was killed or started within `contact_ms`.
    pub fn is_in_touch(&self, node: usize) -> bool {
        let contact = Duration::from_millis(self.bounds.contact);
        let nodes = self.nodes.lock().unwrap();
        nodes[node].child.is_some() && nodes[node].disturbed_at.elapsed() >= contact
    }

    /// Starts the processes of all nodes with the command of the deploy file.
    pub fn start_nodes(self: &Arc<Self>, count: usize) -> std::io::Result<()> {
        for node in 0..count {
            let child = self.spawn(node)?;
            self.nodes.lock().unwrap().push(Node {
                child: Some(child),
                is_in: false,
                missed: 0,
                disturbed_at: Instant::now(),
            });
        }
        for node in 0..count {
            let world = Arc::clone(self);
            std::thread::spawn(move || world.poll_readiness(node));
        }
        Ok(())
    }

    fn spawn(&self, node: usize) -> std::io::Result<Child> {
        let settings = self.folder.join(format!("node-{node}.toml"));
        std::fs::write(&settings, self.settings(node))?;
        let log = File::create(self.folder.join(format!("node-{node}.log")))?;
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let mut pids = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        self.note(&format!("platform: started node {node}"));
        Ok(child)
    }

    /// The template `deploy/node.toml`, filled as for a machine of the site.
    fn settings(&self, node: usize) -> String {
        let ip = self.node_ip(node);
        let seeds = self.seeds.lock().unwrap().clone();
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{}:18166\"", self.node_ip(*seed)))
            .collect();
        format!(
            "[node]\nname = \"edge-{node}\"\nzone = \"{zone}\"\ndata_address = \"{ip}:{DATA_PORT}\"\n\
             peer_address = \"{ip}:{PEER_PORT}\"\nready_address = \"{ip}:{READY_PORT}\"\n\
             metrics_address = \"{ip}:{METRICS_PORT}\"\n\n[machine]\ncpu_share = 0.25\nmemory_mb = 260\n\
             link_mbps = 1000.0\ndescriptors = 4100\n\n[cluster]\nseeds = [{seeds}]\n\n[store]\n\
             address = \"{store}\"\n\n[timing]\nleave_grace_ms = 1100\nin_force_within_ms = {config}\n\
             drained_within_ms = {drain}\n\n[cold]\n\n[log]\nformat = \"json\"\nlevel = \"info\"\n",
            zone = ZONES[node % ZONES.len()],
            seeds = seeds.join(","),
            store = self.store_address(node),
            config = self.bounds.config,
            drain = self.bounds.drain,
        )
    }

    /// Starts a node's process again.
    pub fn restart(&self, node: usize) -> std::io::Result<()> {
        let child = self.spawn(node)?;
        let mut nodes = self.nodes.lock().unwrap();
        nodes[node].child = Some(child);
        nodes[node].disturbed_at = Instant::now();
        Ok(())
    }

    /// Ends a node's process with SIGKILL.
    pub fn kill(&self, node: usize) {
        let mut nodes = self.nodes.lock().unwrap();
        nodes[node].disturbed_at = Instant::now();
        if let Some(mut child) = nodes[node].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        drop(nodes);
        self.note(&format!("trouble: killed node {node}"));
    }

    pub fn kill_all(&self) {
        for node in self.nodes.lock().unwrap().iter_mut() {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = self.record.lock().unwrap().flush();
    }

    /// Returns whether a process has ended by itself.
    pub fn has_lost_process(&self) -> bool {
        let mut nodes = self.nodes.lock().unwrap();
        let mut children = nodes.iter_mut().filter_map(|node| node.child.as_mut());
        children.any(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Asks a node twice a second whether it is ready. After two misses it is out until it answers 200 again.
    fn poll_readiness(&self, node: usize) {
        let address = SocketAddrV4::new(self.node_ip(node), READY_PORT);
        while !self.is_stopping() {
            let ready = is_ready(address);
            let mut nodes = self.nodes.lock().unwrap();
            let state = &mut nodes[node];
            state.missed = if ready { 0 } else { state.missed + 1 };
            let was_in = state.is_in;
            state.is_in = ready || (state.is_in && state.missed < 2);
            let is_in = state.is_in;
            drop(nodes);
            if was_in != is_in {
                self.note(&format!(
                    "routers: node {node} is {}",
                    if is_in { "in" } else { "out" }
                ));
            }
            std::thread::sleep(Duration::from_millis(500));
        }
    }

    /// Returns the node that the routers pick for a flow, by its hash among those that are in.
    pub fn route(&self, flow: &FlowKey) -> Option<SocketAddrV4> {
        let nodes = self.nodes.lock().unwrap();
        let ready: Vec<usize> = (0..nodes.len()).filter(|node| nodes[*node].is_in).collect();
        drop(nodes);
        if ready.is_empty() {
            return None;
        }
        let node = ready[hash(flow) as usize % ready.len()];
        Some(SocketAddrV4::new(self.node_ip(node), DATA_PORT))
    }

    pub fn all_in(&self) -> bool {
        self.nodes.lock().unwrap().iter().all(|node| node.is_in)
    }

    /// Waits until the condition holds. Returns whether it does in time.
    pub fn wait(&self, longest: Duration, condition: impl Fn() -> bool) -> bool {
        let deadline = Instant::now() + longest;
        while !condition() {
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        true
    }
}

fn is_ready(address: SocketAddrV4) -> bool {
    let limit = Duration::from_millis(400);
    let Ok(mut stream) = TcpStream::connect_timeout(&address.into(), limit) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(limit));
    let request = format!("GET /readyz HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let mut head = [0; 12];
    stream.write_all(request.as_bytes()).is_ok()
        && stream.read_exact(&mut head).is_ok()
        && head == *b"HTTP/1.1 200"
}

/// Finds a loopback network in which the ports of a run are free.
fn free_network() -> Option<u8> {
    let start = random() as u8;
    (0..200_u8)
        .map(|step| 20 + (start.wrapping_add(step) % 200))
        .find(|net| {
            let ip = |group| Ipv4Addr::new(127, *net, group, 1);
            UdpSocket::bind((ip(1), DATA_PORT)).is_ok()
                && TcpListener::bind((ip(1), READY_PORT)).is_ok()
                && TcpListener::bind((ip(1), PEER_PORT)).is_ok()
                && TcpListener::bind((ip(4), STORE_PORT)).is_ok()
                && UdpSocket::bind((ip(2), TARGET_PORT)).is_ok()
        })
}

fn hash(flow: &FlowKey) -> u32 {
    let mut bytes = Vec::new();
    bytes.extend_from_slice(&flow.client.0.octets());
    bytes.extend_from_slice(&flow.client.1.to_le_bytes());
    bytes.extend_from_slice(&flow.service.0.octets());
    bytes.extend_from_slice(&flow.service.1.to_le_bytes());
    let hash = bytes.iter().fold(0x811c_9dc5, |hash: u32, byte| {
        (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193)
    });
    hash ^ (hash >> 15)
}

/// Returns an unpredictable number.
pub fn random() -> u32 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish() as u32
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}
