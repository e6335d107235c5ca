//! Scenarios: the machines, the load and the timed actions of a run.

use super::link::LinkSettings;
use super::router::RouterHash;
use super::store::StoreMode;
use bellyoke_core::cookie::capacity::{CapacityClass, NodePlace, ZoneKey};
use bellyoke_core::cookie::exchange::ExchangeSettings;
use bellyoke_core::cookie::route::{Configuration, RequestPolicy, Route, WeightedService};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// A mechanism that is disabled to show that a rule depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ablation {
    /// Nodes drop an instance as soon as its record is deleted.
    NoTombstones,
    /// Nodes exchange no messages.
    NoPeers,
    /// Nodes forward openings that waited through a stall.
    NoBacklogGuard,
    /// Calls to the store have no effective timeout.
    NoCallTimeout,
    /// Draining instances receive new flows.
    IgnoreDraining,
    /// Packets don't name an instance, and any target at the address accepts them.
    NoInstanceCheck,
    /// Nodes modify the data of the packets that they forward.
    CorruptData,
    /// Nodes place later packets by hash, like openings.
    HashEveryPacket,
    /// Nodes reset packets with an unknown cookie.
    ResetUnknownCookies,
    /// No instance is ever suspected.
    NoSuspicion,
    /// Flows are placed by hash alone, regardless of the load of instances.
    IgnoreLoad,
    /// Nodes ignore the suspicions of their peers.
    NoPeerSuspicions,
    /// Revisions are compared by number alone, also after the store was restored.
    IgnoreEras,
    /// All nodes watch with reads that may be stale.
    NoReader,
    /// Every list reads the newest state.
    NoStaleLists,
    /// A node whose state was confirmed as the newest once never calls the store again.
    IdleForever,
    /// Nodes send no resets for open flows of dead targets.
    NoResets,
    /// Only flows whose clients send packets are reset.
    NoIdleFlowResets,
    /// Nodes don't refute the suspicion of an instance that is alive.
    NoRefutations,
    /// No instance is ever probed.
    NoProbes,
    /// Instances in drained zones receive new flows.
    IgnoreDrainedZones,
}

/// An action or fault of a scenario. Nodes and targets are numbered from zero.
#[derive(Clone, Debug)]
pub enum Action {
    /// Writes a configuration.
    Configure {
        /// Index of the service that the probe route leads to. `None` removes the route.
        probe: Option<usize>,
    },
    /// Drains a target and stops it after `serves_for`.
    Drain {
        /// Index of the target.
        target: usize,
        /// Time for which the target still serves its flows.
        serves_for: Duration,
    },
    /// Deletes the record of a target without draining it first, and stops the target after
    /// `serves_for`.
    Unregister {
        /// Index of the target.
        target: usize,
        /// Time for which the target still serves its flows.
        serves_for: Duration,
    },
    /// Stops a target without notice. The store deletes its record 3.6 s later.
    Crash {
        /// Index of the target.
        target: usize,
    },
    /// Makes a target refuse connections, including probes. It still serves its flows and accepts
    /// new ones.
    RefuseConnections {
        /// Index of the target.
        target: usize,
    },
    /// Cuts the links between a target and all nodes. Its record and its flows go on to exist.
    CutTarget {
        /// Index of the target.
        target: usize,
        /// Time until the links work again.
        duration: Duration,
    },
    /// Writes the record of a stopped target once more, as a delayed call of the target does. The
    /// record expires 3.6 s later.
    WriteStaleRecord {
        /// Index of the target.
        target: usize,
    },
    /// Starts a new target, at its own address or at the address of another target.
    Start {
        /// Index of the service.
        service: usize,
        /// Index of the target whose address is reused.
        address_of: Option<usize>,
    },
    /// Drains a zone. The targets are distributed round-robin over [`TARGET_ZONES`] zones, which
    /// are numbered from zero.
    DrainZone(usize),
    /// Undrains a zone.
    UndrainZone(usize),
    /// Deletes the records of all targets. Each returns with the next heartbeat of its target.
    ExpireRecords,
    /// Sets the mode of the store.
    SetStoreMode(StoreMode),
    /// Discards the store's history.
    Compact,
    /// Backs up the objects of the store.
    BackUpStore,
    /// Brings the store back up from its last backup. The operator and the targets then rewrite
    /// what was lost.
    RestoreStore,
    /// Sets how far stale reads lag behind the newest state.
    SetStaleness(Duration),
    /// Cuts a node off from the store, or reconnects it.
    CutFromStore {
        /// Index of the node.
        node: usize,
        /// Whether the node is cut off.
        cut: bool,
    },
    /// Suspends a node's process.
    Freeze {
        /// Index of the node.
        node: usize,
        /// Time until the process resumes.
        duration: Duration,
    },
    /// Kills a node's process and restarts it.
    Kill {
        /// Index of the node.
        node: usize,
        /// Time until the restart.
        down: Duration,
    },
    /// Kills all nodes that watch the store on behalf of others at once, and restarts them.
    KillWatchers {
        /// Time until the restart.
        down: Duration,
    },
    /// Kills all nodes that watch the store on behalf of others at once, and restarts them one after
    /// the other.
    KillWatchersAndRestartInTurn {
        /// Time until the first restart.
        first_down: Duration,
        /// Time between two restarts.
        gap: Duration,
    },
    /// Kills all nodes for good but some that do not watch the store on behalf of others.
    KillMost {
        /// Number of nodes that are left. They are in as few zones as possible.
        survivors: usize,
    },
    /// Permanently cuts off from the store the nodes that watch it on behalf of others: the reader
    /// of the newest state and its backups. The other nodes still reach the store.
    CutWatchers,
    /// Stops a node gracefully. It restarts half a second after it has stopped.
    Terminate {
        /// Index of the node.
        node: usize,
    },
    /// Kills all nodes at once. [`Rule::Recovery`](super::rules::Rule::Recovery) applies from here
    /// on.
    KillAll {
        /// Time until the restart.
        down: Duration,
    },
}

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of zones over which the nodes are distributed round-robin.
    pub node_zones: usize,
    /// Maximum number of nodes in the first zone.
    pub first_zone_nodes: usize,
    /// Number of nodes that have the largest capacity class, counted from the first.
    pub large_nodes: usize,
    /// Hash by which the routers choose nodes.
    pub hash: RouterHash,
    /// Number of targets of each service.
    pub targets: Vec<usize>,
    /// Number of clients that send many requests over each flow, distributed over the services.
    pub long_clients: usize,
    /// Requests per flow of the long clients.
    pub requests_per_flow: u32,
    /// Pause of the long clients between two requests.
    pub long_think_time: Duration,
    /// Number of clients that open a flow for each request, distributed over the services.
    pub short_clients: usize,
    /// Number of clients of the probe route.
    pub probe_clients: usize,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Links of the nodes' machines. `None` means unlimited bandwidth.
    pub node_links: Option<LinkSettings>,
    /// Whether the store's answers carry its era.
    pub store_reports_era: bool,
    /// Settings of the exchange between nodes.
    pub exchange: ExchangeSettings,
    /// Duration of the run.
    pub duration: Duration,
    /// Actions with their times, in milliseconds from the start.
    pub actions: Vec<(u64, Action)>,
    /// Mechanisms that are disabled.
    pub ablations: Vec<Ablation>,
}

impl Default for Scenario {
    fn default() -> Self {
        let exchange = ExchangeSettings {
            reads_zones: true,
            ..ExchangeSettings::default()
        };
        Self {
            exchange,
            nodes: 5,
            node_zones: 1,
            first_zone_nodes: usize::MAX,
            large_nodes: 0,
            hash: RouterHash::Modulo,
            targets: vec![8, 3],
            long_clients: 24,
            requests_per_flow: 50,
            long_think_time: Duration::from_millis(150),
            short_clients: 12,
            probe_clients: 4,
            loss: 0.0,
            node_links: None,
            store_reports_era: true,
            duration: Duration::from_secs(20),
            actions: Vec::new(),
            ablations: Vec::new(),
        }
    }
}

impl Scenario {
    /// Adds an action at a time.
    #[must_use]
    pub fn at(mut self, milliseconds: u64, action: Action) -> Self {
        self.actions.push((milliseconds, action));
        self
    }

    /// Disables a mechanism.
    #[must_use]
    pub fn without(mut self, ablation: Ablation) -> Self {
        self.ablations.push(ablation);
        self
    }

    /// Returns the zone and capacity class of a node.
    #[must_use]
    pub fn place_of(&self, node: usize) -> NodePlace {
        let class = if node < self.large_nodes {
            CapacityClass::LARGEST
        } else {
            CapacityClass::SMALLEST
        };
        NodePlace {
            zone: ZoneKey::of(&zone_name(self.zone_of(node))),
            class,
        }
    }

    /// Returns the zone of a node.
    #[must_use]
    pub fn zone_of(&self, node: usize) -> usize {
        let zones = self.node_zones.max(1);
        let is_beyond = node / zones >= self.first_zone_nodes;
        match node % zones {
            0 if is_beyond && zones > 1 => 1 + (node / zones) % (zones - 1),
            zone => zone,
        }
    }

    /// Returns whether a mechanism is disabled.
    #[must_use]
    pub fn is_ablated(&self, ablation: Ablation) -> bool {
        self.ablations.contains(&ablation)
    }
}

/// Number of zones over which the targets are distributed.
pub const TARGET_ZONES: usize = 3;

/// Returns the name of a zone.
#[must_use]
pub fn zone_name(index: usize) -> String {
    format!("zone-{index}")
}

/// Returns the name of a service.
#[must_use]
pub fn service_name(index: usize) -> String {
    format!("service-{index}")
}

/// Returns the address of a service's own route.
#[must_use]
pub fn service_address(index: usize) -> SocketAddrV4 {
    let last = u8::try_from(index + 1).unwrap_or(u8::MAX);
    SocketAddrV4::new(Ipv4Addr::new(198, 51, 100, last), 443)
}

/// Address of the probe route.
pub const PROBE_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 51, 100, 200), 443);

/// Returns the configuration with a version number. The store sets its revision.
#[must_use]
pub fn configuration(version: u64, services: usize, probe: Option<usize>) -> Configuration {
    let route = |address, index| Route {
        address,
        services: vec![WeightedService {
            service: service_name(index),
            weight: 1,
        }],
        request_policy: RequestPolicy::default(),
    };
    let own = (0..services).map(|index| route(service_address(index), index));
    let probe = probe.map(|index| route(PROBE_ADDRESS, index));
    Configuration {
        revision: bellyoke_core::cookie::revision::Revision::new(0),
        version,
        routes: own.chain(probe).collect(),
        limits: Vec::new(),
        idle_timeout_milliseconds: 15_000,
    }
}
