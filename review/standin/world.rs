//! The small deployment that all cases share: a store, nodes, targets, clients and a router on loopback addresses.

use crate::client::{Attempt, Client, Habit};
use crate::nodes::{Node, NodeSettings, Router};
use crate::record::Record;
use crate::store::Store;
use crate::target::{Ledger, Target};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Bounds of the deployment, as in the small site files.
pub const CONTACT: Duration = Duration::from_millis(4000);
pub const DRAIN: Duration = Duration::from_millis(3000);
pub const RECOVERY: Duration = Duration::from_secs(12);

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// The numbers of the zones of nodes and of targets, in their order.
pub struct Places {
    pub nodes: &'static [usize],
    pub targets: &'static [usize],
}

/// One of each in each zone, and on from the first.
pub const EVEN: Places = Places {
    nodes: &[0, 1, 2],
    targets: &[0, 1, 2, 0],
};
pub const SERVICE: &str = "till";

pub struct World {
    pub record: Record,
    pub store: Arc<Store>,
    pub router: Arc<Router>,
    pub nodes: Vec<Node>,
    pub targets: Vec<Target>,
    pub ledger: Arc<Mutex<Ledger>>,
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
    stop: Arc<AtomicBool>,
    clients: Vec<std::thread::JoinHandle<()>>,
    net: u8,
    data_port: u16,
    target_port: u16,
    work: Duration,
    version: u64,
    places: Places,
}

/// Whether the case plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

impl World {
    /// Starts a store with a configuration, and prepares the nodes.
    pub fn start(record: Record, folder: &str, places: Places, work: Duration) -> Self {
        let net = 2 + (std::process::id() % 250) as u8;
        let ports = free_ports(net);
        let store_address = SocketAddrV4::new(Ipv4Addr::new(127, net, 2, 1), ports[0]);
        let store = Store::start(store_address);
        let router = Router::start(record.clone());
        let mut world = Self {
            record,
            store,
            router,
            nodes: Vec::new(),
            targets: Vec::new(),
            ledger: Arc::default(),
            attempts: Arc::default(),
            stop: Arc::default(),
            clients: Vec::new(),
            net,
            data_port: ports[1],
            target_port: ports[5],
            work,
            version: 6,
            places,
        };
        world.configure();
        let settings = world
            .places
            .nodes
            .iter()
            .enumerate()
            .map(|(number, zone)| NodeSettings {
                name: format!("edge-{}", number + 1),
                zone: ZONES[*zone].to_owned(),
                data: world.node_address(number, ports[1]),
                peer: world.node_address(number, ports[2]),
                ready: world.node_address(number, ports[3]),
                metrics: world.node_address(number, ports[4]),
                seeds: (0..world.places.nodes.len().min(3))
                    .map(|seed| world.node_address(seed, ports[2]).to_string())
                    .collect(),
                store: store_address,
            });
        let nodes = settings
            .map(|settings| Node::new(settings, folder))
            .collect();
        world.nodes = nodes;
        world
    }

    fn node_address(&self, number: usize, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.net, 1, 1 + number as u8), port)
    }

    pub fn service_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.net, 9, 1), 443)
    }

    /// Writes the next version of the configuration, which is the same but for a time-out.
    pub fn configure(&mut self) {
        self.version += 1;
        let route = self.service_address();
        let spec = format!(
            "{{\"version\":{},\"routes\":[{{\"name\":\"r-pay\",\"hostname\":\"{}\",\"path_prefix\":\"/{}/\",\
             \"route_type\":\"non_idempotent\",\"timeout_ms\":{},\"aim_ms\":500,\"priority\":1,\"service\":\"{SERVICE}\",\
             \"max_attempts\":2}}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":2000,\
             \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
            self.version,
            route.ip(),
            route.port(),
            2000 + self.version,
        );
        self.store.put("config", "main", &spec);
        self.record
            .line(&format!("store: version {} is acknowledged", self.version));
    }

    pub fn target_address(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(
            Ipv4Addr::new(127, self.net, 3, 1 + number as u8),
            self.target_port,
        )
    }

    /// Starts the target of a number, which keeps its id, and writes its entry.
    pub fn start_target(&mut self, number: usize, born: u64) {
        let id = target_id(number);
        let target = Target::start(
            id,
            self.target_address(number),
            self.data_port,
            self.work,
            Arc::clone(&self.ledger),
            self.record.clone(),
        );
        if number < self.targets.len() {
            self.targets[number] = target;
        } else {
            self.targets.push(target);
        }
        self.write_entry(number, "ready", born);
    }

    /// Writes a target's entry, as the target itself does.
    pub fn write_entry(&self, number: usize, state: &str, born: u64) {
        let spec = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":2,\"state\":\"{state}\",\
             \"cold_remaining_ms\":0,\"seq\":1,\"born\":{born}}}",
            self.target_address(number),
            ZONES[self.places.targets[number]],
        );
        self.store
            .put("servers", &format!("i-{:x}", target_id(number)), &spec);
        self.record.line(&format!(
            "store: the entry of target {:x} is acknowledged: {state}, born {born}",
            target_id(number)
        ));
    }

    /// Removes a target's entry. The target may live on.
    pub fn remove_entry(&self, number: usize) {
        self.store
            .delete("servers", &format!("i-{:x}", target_id(number)));
        self.record.line(&format!(
            "store: the entry of target {:x} is gone",
            target_id(number)
        ));
    }

    /// Starts the clients of some numbers.
    pub fn start_clients(&mut self, numbers: std::ops::Range<u32>, habit: &Habit) {
        for number in numbers {
            let ip = Ipv4Addr::new(127, self.net, 4, 1 + number as u8);
            let client = Client::new(
                number,
                ip,
                self.data_port,
                habit.clone(),
                Arc::clone(&self.router),
                Arc::clone(&self.stop),
                Arc::clone(&self.attempts),
                self.record.clone(),
            );
            // Clients start one after the other, so that their flows don't open together.
            let delay = Duration::from_millis(u64::from(number) * 17);
            self.clients.push(std::thread::spawn(move || {
                std::thread::sleep(delay);
                client.run();
            }));
        }
    }

    /// Starts the first nodes and waits until the router takes them in. Returns whether it did.
    pub fn wait_until_in(&mut self, count: usize) -> bool {
        for node in &mut self.nodes[..count] {
            self.router.add(&node.settings);
            node.start();
        }
        wait_for(Duration::from_secs(20), || self.router.count_in() == count)
    }

    /// Starts all nodes, of which the router knows those of the first zone. Returns whether all got ready.
    pub fn start_with_router_of_first_zone(&mut self) -> bool {
        for (node, zone) in self.nodes.iter_mut().zip(self.places.nodes) {
            if *zone == 0 {
                self.router.add(&node.settings);
            }
            node.start();
        }
        wait_for(Duration::from_secs(20), || {
            self.nodes.iter().all(Node::is_ready)
        })
    }

    pub fn stop_clients(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }

    /// Returns whether a node has ended by itself.
    pub fn has_lost_node(&mut self) -> bool {
        self.nodes.iter_mut().any(Node::has_ended)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
        for target in &mut self.targets {
            target.end();
        }
    }
}

pub const fn target_id(number: usize) -> u64 {
    0x7f3a_9100 + number as u64
}

/// Unix milliseconds of the machine's clock.
pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

pub fn wait_for(longest: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + longest;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Returns ports that are free for TCP and UDP at all addresses of the case's network.
fn free_ports(net: u8) -> Vec<u16> {
    let mut ports = Vec::new();
    while ports.len() < 6 {
        let probe = TcpListener::bind("127.0.0.1:0").expect("find a free port");
        let port = probe.local_addr().expect("find a free port").port();
        let hosts = (1..=4).map(|part| Ipv4Addr::new(127, net, part, 1));
        let is_free = hosts.into_iter().all(|ip| {
            let address = SocketAddrV4::new(ip, port);
            UdpSocket::bind(address).is_ok() && TcpListener::bind(address).is_ok()
        });
        if is_free && !ports.contains(&port) {
            ports.push(port);
        }
    }
    ports
}
