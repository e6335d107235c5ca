//! A cluster of nodes that gossip in virtual time.

use crate::support::{TOMBSTONE_LIFETIME, at, configuration, record};
use bellyoke_core::cookie::capacity::{CapacityClass, NodePlace, ZoneKey};
use bellyoke_core::cookie::coordinator::{Coordinator, Outcome};
use bellyoke_core::cookie::exchange::{
    Exchange, ExchangeEffect, ExchangeSettings, PeerDatagram, PeerKey, PeerSuggestion, StoreDuty,
    encode_snapshot,
};
use bellyoke_core::cookie::follower::{Update, WatchPlan};
use bellyoke_core::cookie::freshness::ObjectKind;
use bellyoke_core::cookie::instance::{InstanceEvent, InstanceId, InstanceRecord};
use bellyoke_core::cookie::replica::{Replica, Versions};
use bellyoke_core::cookie::revision::Revision;
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

pub const TICK_MS: u64 = 50;
pub const WATCH_WAIT_MS: u64 = 750;

pub struct Node {
    pub coordinator: Coordinator,
    pub alive: bool,
    pub sent: usize,
    pub fetched: usize,
    /// Bytes of the snapshots that it sent.
    pub served: usize,
}

/// How nodes are distributed over zones.
#[derive(Clone, Copy)]
pub struct Layout {
    /// Number of zones, to which nodes are assigned in turn.
    pub zones: usize,
    /// Number of nodes, from the first on, that are larger than the others.
    pub large_nodes: usize,
    pub own_zone_first: bool,
}

pub const ONE_ZONE: Layout = Layout {
    zones: 1,
    large_nodes: 0,
    own_zone_first: true,
};

impl Layout {
    fn place(self, number: usize) -> NodePlace {
        NodePlace {
            zone: ZoneKey(u16::try_from(number % self.zones).unwrap()),
            class: CapacityClass::new(if number < self.large_nodes { 3 } else { 1 }),
        }
    }
}

/// Nodes with immediate message delivery, driven in steps of [`TICK_MS`] milliseconds.
pub struct Cluster {
    pub nodes: BTreeMap<SocketAddrV4, Node>,
    pub now: u64,
    pub cut_links: Vec<(SocketAddrV4, SocketAddrV4)>,
    /// Whether the store confirms to its watchers that nothing is newer.
    pub store_answers: bool,
    pub layout: Layout,
    /// Bytes sent by kind of message, within zones and between them.
    pub traffic: BTreeMap<&'static str, [usize; 2]>,
    /// Datagrams in flight, with their sender and receiver.
    in_flight: VecDeque<(SocketAddrV4, SocketAddrV4, PeerDatagram)>,
}

pub fn address(number: usize) -> SocketAddrV4 {
    let [_, _, high, low] = u32::try_from(number).unwrap().to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, 0, high, low), 7_000)
}

/// Returns the zone of a node, in a cluster of `zones` zones.
pub fn zone_of(address: SocketAddrV4, zones: usize) -> usize {
    let [.., high, low] = address.ip().octets();
    usize::from(u16::from_be_bytes([high, low])) % zones
}

/// Returns the kind of a datagram and its encoded length.
fn encoded(datagram: &PeerDatagram) -> (&'static str, usize) {
    let key = PeerKey::default();
    let (kind, bytes) = match datagram {
        PeerDatagram::Heartbeat(heartbeat) => ("heartbeat", heartbeat.encode(&key)),
        PeerDatagram::Delta(message) => ("delta", message.encode(&key)),
        PeerDatagram::ProbeRequest(request) => ("question", request.encode(&key)),
        PeerDatagram::Findings(report) => ("findings", report.encode(&key)),
        PeerDatagram::Refutation(refutation) => ("objection", refutation.encode(&key)),
        PeerDatagram::Outliers(message) => ("outliers", message.encode(&key)),
    };
    (kind, bytes.unwrap().len())
}

impl Cluster {
    pub fn new(size: usize) -> Self {
        Self::with_layout(size, ONE_ZONE)
    }

    pub fn with_layout(size: usize, layout: Layout) -> Self {
        let mut cluster = Self {
            nodes: BTreeMap::new(),
            now: 0,
            cut_links: Vec::new(),
            store_answers: false,
            layout,
            traffic: BTreeMap::new(),
            in_flight: VecDeque::new(),
        };
        for number in 0..size {
            cluster.start(number);
        }
        cluster
    }

    pub fn start(&mut self, number: usize) {
        let seeds = vec![address(0), address(1), address(2)];
        let settings = ExchangeSettings {
            own_zone_first: self.layout.own_zone_first,
            ..ExchangeSettings::default()
        };
        let seed = number as u64 + self.now * 1_000;
        let exchange = Exchange::new(settings, address(number), seeds, seed)
            .with_place(self.layout.place(number));
        let node = Node {
            coordinator: Coordinator::new(Replica::new(TOMBSTONE_LIFETIME), exchange),
            alive: true,
            sent: 0,
            fetched: 0,
            served: 0,
        };
        self.nodes.insert(address(number), node);
    }

    pub fn node(&mut self, number: usize) -> &mut Node {
        self.nodes.get_mut(&address(number)).unwrap()
    }

    pub fn learn(&mut self, number: usize, revision: u64) {
        let now = at(self.now);
        let node = self.node(number);
        let configurations = Update::List {
            at: Revision::new(revision),
            items: vec![configuration(revision, &[("till", 1)])],
        };
        let mut outcome = node.coordinator.apply_configurations(now, configurations);
        let known = node.coordinator.known_up_to(ObjectKind::Instances);
        let instances = if known == Revision::default() {
            Update::List {
                at: Revision::new(revision),
                items: vec![record(revision, revision)],
            }
        } else {
            Update::Changes {
                at: Revision::new(revision),
                events: vec![
                    InstanceEvent::Gone(InstanceId(known.number())),
                    InstanceEvent::Put(record(revision, revision)),
                ],
            }
        };
        let second = node.coordinator.apply_instances(now, instances);
        outcome.effects.extend(second.effects);
        self.perform(address(number), outcome);
    }

    pub fn run(&mut self, milliseconds: u64) {
        let end = self.now + milliseconds;
        while self.now < end {
            self.now += TICK_MS;
            let now = at(self.now);
            for from in self.nodes.keys().copied().collect::<Vec<_>>() {
                let node = self.nodes.get_mut(&from).unwrap();
                if !node.alive {
                    continue;
                }
                let (outcome, _) = node.coordinator.tick(now);
                self.perform(from, outcome);
                if self.now.is_multiple_of(WATCH_WAIT_MS) {
                    self.confirm(from);
                }
            }
        }
    }

    /// Confirms to a node that watches the store that nothing is newer.
    pub fn confirm(&mut self, address: SocketAddrV4) {
        let now = at(self.now);
        let node = self.nodes.get_mut(&address).unwrap();
        let watches = node.coordinator.duty(now) != StoreDuty::Listener;
        if !self.store_answers || !watches {
            return;
        }
        let coordinator = &mut node.coordinator;
        let at_revision = coordinator.known_up_to(ObjectKind::Instances);
        let confirmation = Update::Changes {
            at: at_revision,
            events: Vec::new(),
        };
        let mut outcome = coordinator.apply_instances(now, confirmation);
        let confirmation = Update::Changes {
            at: at_revision,
            events: Vec::new(),
        };
        let second = coordinator.apply_configurations(now, confirmation);
        outcome.effects.extend(second.effects);
        self.perform(address, outcome);
    }

    /// Performs the effects of a node, and all that follow from them.
    pub fn perform(&mut self, from: SocketAddrV4, outcome: Outcome) {
        self.start_effects(from, outcome);
        while let Some((from, to, datagram)) = self.in_flight.pop_front() {
            self.receive(from, to, datagram);
        }
    }

    fn start_effects(&mut self, from: SocketAddrV4, outcome: Outcome) {
        for effect in outcome.effects {
            match effect {
                ExchangeEffect::SendHeartbeat { to, heartbeat } => {
                    self.deliver(from, to, PeerDatagram::Heartbeat(heartbeat));
                }
                ExchangeEffect::SendDelta {
                    to,
                    known,
                    heartbeat,
                } => {
                    let delta = self.nodes[&from].coordinator.delta_for(at(self.now), known);
                    let heartbeat = PeerDatagram::Heartbeat(heartbeat);
                    self.deliver(from, to, delta.map_or(heartbeat, PeerDatagram::Delta));
                }
                ExchangeEffect::SendFindings { to, report } => {
                    self.deliver(from, to, PeerDatagram::Findings(report));
                }
                ExchangeEffect::SendProbeRequest { to, request } => {
                    self.deliver(from, to, PeerDatagram::ProbeRequest(request));
                }
                ExchangeEffect::SendOutliers { to, message } => {
                    self.deliver(from, to, PeerDatagram::Outliers(message));
                }
                ExchangeEffect::SendRefutation { to, refutation } => {
                    self.deliver(from, to, PeerDatagram::Refutation(refutation));
                }
                ExchangeEffect::Fetch { from: source } => self.fetch(from, source),
                ExchangeEffect::PeerJoined(_) | ExchangeEffect::PeerLost(_) => {}
            }
        }
    }

    pub fn deliver(&mut self, from: SocketAddrV4, to: SocketAddrV4, datagram: PeerDatagram) {
        self.nodes.get_mut(&from).unwrap().sent += 1;
        let (kind, length) = encoded(&datagram);
        self.count(kind, from, to, length);
        if !self.cut_links.contains(&(from, to)) {
            self.in_flight.push_back((from, to, datagram));
        }
    }

    fn receive(&mut self, from: SocketAddrV4, to: SocketAddrV4, datagram: PeerDatagram) {
        let now = at(self.now);
        let Some(node) = self.nodes.get_mut(&to).filter(|node| node.alive) else {
            return;
        };
        let outcome = node.coordinator.handle_datagram(now, from, datagram);
        self.start_effects(to, outcome);
    }

    pub fn fetch(&mut self, to: SocketAddrV4, from: SocketAddrV4) {
        let now = at(self.now);
        let request = self.nodes[&to].coordinator.fetch_request();
        let source = self.nodes.get(&from).filter(|node| node.alive);
        let snapshot = source.map(|node| node.coordinator.snapshot_for(now, request));
        if let Some(snapshot) = &snapshot {
            let length = encode_snapshot(snapshot, &PeerKey::default())
                .unwrap()
                .len();
            self.count("snapshot", from, to, length);
            self.nodes.get_mut(&from).unwrap().served += length;
        }
        let node = self.nodes.get_mut(&to).unwrap();
        node.fetched += 1;
        let Some(snapshot) = snapshot else {
            node.coordinator.fetch_failed(from);
            return;
        };
        let outcome = node.coordinator.apply_snapshot(now, from, snapshot);
        self.start_effects(to, outcome);
    }

    fn count(&mut self, kind: &'static str, from: SocketAddrV4, to: SocketAddrV4, length: usize) {
        let crosses = zone_of(from, self.layout.zones) != zone_of(to, self.layout.zones);
        self.traffic.entry(kind).or_default()[usize::from(crosses)] += length;
    }

    pub fn versions(&self, node: &Node) -> Versions {
        node.coordinator.replica().versions()
    }

    pub fn nodes_knowing(&self, revision: u64) -> usize {
        let is_up_to_date =
            |node: &&Node| node.alive && self.versions(node).configuration >= revision;
        self.nodes.values().filter(is_up_to_date).count()
    }

    pub fn with_duty(&self, wanted: StoreDuty) -> Vec<SocketAddrV4> {
        let nodes = self.nodes.iter();
        let found =
            nodes.filter(|(_, node)| node.alive && node.coordinator.duty(at(self.now)) == wanted);
        found.map(|(address, _)| *address).collect()
    }

    pub fn passive_nodes(&self) -> usize {
        let is_passive = |node: &&Node| {
            let plan = node
                .coordinator
                .watch_plan(at(self.now), ObjectKind::Instances);
            matches!(plan, WatchPlan::IdleUntil(until) if until > at(self.now))
        };
        self.nodes.values().filter(is_passive).count()
    }
}

pub fn watching_cluster(size: usize) -> Cluster {
    watching_cluster_in(size, ONE_ZONE)
}

/// Creates nodes that have a configuration and watch the store.
pub fn watching_cluster_in(size: usize, layout: Layout) -> Cluster {
    let mut cluster = Cluster::with_layout(size, layout);
    cluster.store_answers = true;
    cluster.learn(0, 5);
    cluster.run(10_000);
    cluster
}

pub fn suggestion(number: usize) -> PeerSuggestion {
    PeerSuggestion {
        address: address(number),
        place: NodePlace::default(),
    }
}

/// Creates nodes in five zones that have `instances` instances.
pub fn cluster_in_five_zones(nodes: usize, instances: u64) -> Cluster {
    let layout = Layout {
        zones: 5,
        large_nodes: 0,
        own_zone_first: true,
    };
    let mut cluster = Cluster::with_layout(nodes, layout);
    cluster.store_answers = true;
    let records: Vec<InstanceRecord> = (1..=instances).map(|id| record(id, id)).collect();
    let revision = Revision::new(instances + 1);
    for node in cluster.nodes.values_mut() {
        let coordinator = &mut node.coordinator;
        let configuration = configuration(revision.number(), &[("till", 1)]);
        let items = vec![configuration];
        coordinator.apply_configurations(
            at(0),
            Update::List {
                at: revision,
                items,
            },
        );
        let items = records.clone();
        coordinator.apply_instances(
            at(0),
            Update::List {
                at: revision,
                items,
            },
        );
    }
    cluster.run(4_000);
    cluster
}
