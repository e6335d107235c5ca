//! Node processes of the deploy file's command, and the platform's router.

use crate::record::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, a: u64, b: u64, c: u64) -> i32;
}

const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
const PR_SET_PDEATHSIG: i32 = 1;

/// The program of `deploy/system.toml`.
const PROGRAM: &str = "target/release/bellyoke-node";

/// The settings of a node: `deploy/node.toml`, filled in.
#[derive(Clone)]
pub struct NodeSettings {
    pub name: String,
    pub zone: String,
    pub data: SocketAddrV4,
    pub peer: SocketAddrV4,
    pub ready: SocketAddrV4,
    pub metrics: SocketAddrV4,
    pub seeds: Vec<String>,
    pub store: SocketAddrV4,
}

impl NodeSettings {
    fn text(&self) -> String {
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        format!(
            "[node]\nname = \"{}\"\nzone = \"{}\"\ndata_address = \"{}\"\npeer_address = \"{}\"\nready_address = \"{}\"\n\
             metrics_address = \"{}\"\n\n[machine]\ncpu_share = 0.25\nmemory_mb = 260\nlink_mbps = 1000.0\ndescriptors = 4100\n\n\
             [cluster]\nseeds = [{}]\n\n[store]\naddress = \"{}\"\n\n[timing]\nleave_grace_ms = 1100\n\
             in_force_within_ms = 3000\ndrained_within_ms = 3000\n\n[cold]\n\n[log]\nformat = \"json\"\nlevel = \"info\"\n",
            self.name, self.zone, self.data, self.peer, self.ready, self.metrics, seeds.join(","), self.store
        )
    }
}

pub struct Node {
    pub settings: NodeSettings,
    folder: String,
    child: Option<Child>,
}

impl Node {
    pub fn new(settings: NodeSettings, folder: &str) -> Self {
        Self {
            settings,
            folder: folder.to_owned(),
            child: None,
        }
    }

    pub fn start(&mut self) {
        let path = format!("{}/{}.toml", self.folder, self.settings.name);
        std::fs::write(&path, self.settings.text()).expect("write settings");
        let log = std::fs::File::options()
            .create(true)
            .write(true)
            .truncate(true)
            .open(format!("{}/{}.log", self.folder, self.settings.name));
        let log = log.expect("open a log");
        let mut command = Command::new(PROGRAM);
        command.arg("--config").arg(&path).stdin(Stdio::null());
        command.stdout(log.try_clone().unwrap()).stderr(log);
        // The node ends with this process, whatever happens to it.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        self.child = Some(command.spawn().expect("start a node"));
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        is_ready(self.settings.ready)
    }

    /// Returns whether the node does a duty for all, as its log tells.
    pub fn has_duty(&self) -> bool {
        let log = std::fs::read_to_string(format!("{}/{}.log", self.folder, self.settings.name));
        let log = log.unwrap_or_default();
        log.matches("\"DutyTaken\"").count() > log.matches("\"DutyLeft\"").count()
    }

    /// Returns for how long the node has had no confirmation that its state is the newest, as its metrics tell.
    pub fn confirmation_age(&self) -> Option<Duration> {
        let mut stream = TcpStream::connect(self.settings.metrics).ok()?;
        stream
            .write_all(b"GET /metrics HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
            .ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("bellyoke_confirmation_age_milliseconds "))?;
        line.trim().parse().ok().map(Duration::from_millis)
    }

    /// Waits until the process has ended by itself.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

#[derive(Clone, Copy)]
struct Polled {
    data: SocketAddrV4,
    ready: SocketAddrV4,
    is_in: bool,
    misses: u32,
}

/// The router of one zone with `hash` set to `mod`.
pub struct Router {
    nodes: Mutex<Vec<Polled>>,
}

/// Interval of the readiness checks, of which two misses take a node out.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

impl Router {
    pub fn start(record: Record) -> Arc<Self> {
        let router = Arc::new(Self {
            nodes: Mutex::default(),
        });
        let polled = Arc::clone(&router);
        std::thread::spawn(move || loop {
            let started = Instant::now();
            polled.poll(&record);
            std::thread::sleep(POLL_INTERVAL.saturating_sub(started.elapsed()));
        });
        router
    }

    pub fn add(&self, node: &NodeSettings) {
        let polled = Polled {
            data: node.data,
            ready: node.ready,
            is_in: false,
            misses: 0,
        };
        self.nodes.lock().unwrap().push(polled);
    }

    /// Removes a node for good.
    pub fn remove(&self, node: &NodeSettings) {
        self.nodes
            .lock()
            .unwrap()
            .retain(|known| known.data != node.data);
    }

    pub fn count_in(&self) -> usize {
        self.nodes
            .lock()
            .unwrap()
            .iter()
            .filter(|node| node.is_in)
            .count()
    }

    pub fn is_node(&self, address: SocketAddrV4) -> bool {
        self.nodes
            .lock()
            .unwrap()
            .iter()
            .any(|node| node.data == address)
    }

    /// Returns the node that gets the packets of a flow now. With fewer than half in, all are used.
    pub fn pick(&self, client: SocketAddrV4, service: SocketAddrV4) -> Option<SocketAddrV4> {
        let nodes = self.nodes.lock().unwrap();
        let mut usable: Vec<SocketAddrV4> = nodes
            .iter()
            .filter(|node| node.is_in)
            .map(|node| node.data)
            .collect();
        if usable.len() * 2 < nodes.len() {
            usable = nodes.iter().map(|node| node.data).collect();
        }
        if usable.is_empty() {
            return None;
        }
        let parts = [
            u64::from(u32::from(*client.ip())),
            u64::from(client.port()),
            u64::from(u32::from(*service.ip())),
            u64::from(service.port()),
        ];
        let hash = parts.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, part| {
            let mixed = (hash ^ part).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            mixed ^ (mixed >> 29)
        });
        Some(usable[(hash % usable.len() as u64) as usize])
    }

    /// Checks all nodes at once; each result counts as soon as it is there.
    fn poll(self: &Arc<Self>, record: &Record) {
        for node in self.nodes.lock().unwrap().clone() {
            let (router, record) = (Arc::clone(self), record.clone());
            std::thread::spawn(move || router.note(node.data, is_ready(node.ready), &record));
        }
    }

    fn note(&self, data: SocketAddrV4, ready: bool, record: &Record) {
        let mut nodes = self.nodes.lock().unwrap();
        let Some(node) = nodes.iter_mut().find(|node| node.data == data) else {
            return;
        };
        let was_in = node.is_in;
        node.misses = if ready { 0 } else { node.misses + 1 };
        node.is_in = ready || (was_in && node.misses < 2);
        if node.is_in != was_in {
            record.line(&format!(
                "router: node {data} is {}",
                if node.is_in { "in" } else { "out" }
            ));
        }
    }
}

fn is_ready(address: SocketAddrV4) -> bool {
    let patience = Duration::from_millis(400);
    let Ok(mut stream) = TcpStream::connect_timeout(&SocketAddr::V4(address), patience) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(patience));
    if stream
        .write_all(b"GET /readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
        .is_err()
    {
        return false;
    }
    let mut head = [0; 12];
    stream.read_exact(&mut head).is_ok() && &head == b"HTTP/1.1 200"
}
