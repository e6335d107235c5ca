//! What a run plays: machines, load, and what happens when.

use super::link::LinkSettings;
use super::router::RouterHash;
use super::store::StoreMode;
use bellyoke_core::cookie::capacity::{CapacityClass, NodePlace, ZoneKey};
use bellyoke_core::cookie::exchange::ExchangeSettings;
use bellyoke_core::cookie::route::{Configuration, RequestPolicy, Route, WeightedService};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// A mechanism that is taken out, to show that a rule needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ablation {
    /// Instances whose records have gone are forgotten at once.
    NoTombstones,
    /// Nodes don't speak to each other.
    NoPeers,
    /// Openings that waited through a stall are forwarded.
    NoBacklogGuard,
    /// A connection that says nothing is waited for.
    NoCallTimeout,
    /// Instances that drain take new flows.
    IgnoreDraining,
    /// Packets name no instance, so that whoever has the address takes them.
    NoInstanceCheck,
    /// A node writes into the data of a packet.
    CorruptData,
    /// Later packets are placed by hash like openings.
    HashEveryPacket,
    /// A packet with an unknown cookie is answered with a reset.
    ResetUnknownCookies,
    /// No instance is ever suspected.
    NoSuspicion,
    /// Flows are placed by hash alone, however busy an instance is.
    IgnoreLoad,
    /// Suspicions of peers count for nothing.
    NoPeerSuspicions,
    /// Revisions are compared by their numbers alone, whether or not the store was restored.
    IgnoreEras,
    /// All nodes watch by stale reads.
    NoReader,
    /// Lists are read as the newest state.
    NoStaleLists,
    /// A node that was told once that its state is the newest never asks again.
    IdleForever,
    /// Open flows of dead targets are left to their clients.
    NoResets,
    /// Only flows whose clients send something are reset.
    NoIdleFlowResets,
    /// Nobody objects to a question about an instance that lives.
    NoRefutations,
    /// No instance is ever probed.
    NoProbes,
    /// The instances of drained zones take new flows.
    IgnoreDrainedZones,
}

/// Something that happens. Nodes and targets are numbered from zero.
#[derive(Clone, Debug)]
pub enum Action {
    /// A configuration is written. `probe` is the service that the probe route goes to.
    Configure {
        /// Index of the service; none drops the route.
        probe: Option<usize>,
    },
    /// A target says that it drains, and ends `serves_for` later.
    Drain {
        /// The target.
        target: usize,
        /// How long it serves on.
        serves_for: Duration,
    },
    /// A target's record goes without a word, and it ends `serves_for` later.
    Unregister {
        /// The target.
        target: usize,
        /// How long it serves on.
        serves_for: Duration,
    },
    /// A target dies without a word; the store notices 3.6 s later.
    Crash {
        /// The target.
        target: usize,
    },
    /// A target takes no connections any more, though it serves its flows and new ones.
    RefuseConnections {
        /// The target.
        target: usize,
    },
    /// The record of a target that has ended is written once more, as by a call that was under way, and
    /// lapses 3.6 s later.
    WriteStaleRecord {
        /// The target.
        target: usize,
    },
    /// A new target of a service starts, at the address of another one if that is named.
    Start {
        /// Index of the service.
        service: usize,
        /// The target whose address it takes.
        address_of: Option<usize>,
    },
    /// A zone is drained. Targets stand in the zones 0 to [`TARGET_ZONES`] in turn.
    DrainZone(usize),
    /// A drained zone is taken back.
    UndrainZone(usize),
    /// Records of all targets go, and come back when the targets next write.
    ExpireRecords,
    /// The store changes its mode.
    SetStoreMode(StoreMode),
    /// The store forgets its history.
    Compact,
    /// The store's objects are copied.
    BackUpStore,
    /// The store, which was away, comes back from its last copy. The operator and the targets then write again what it
    /// has lost.
    RestoreStore,
    /// Stale reads are so much older.
    SetStaleness(Duration),
    /// A node loses the store, or has it back.
    CutFromStore {
        /// The node.
        node: usize,
        /// Whether it is cut off.
        cut: bool,
    },
    /// A node stands still.
    Freeze {
        /// The node.
        node: usize,
        /// For how long.
        duration: Duration,
    },
    /// A node's process is killed and started again.
    Kill {
        /// The node.
        node: usize,
        /// After how long it starts.
        down: Duration,
    },
    /// The nodes that watch the store for all are killed at once and start again.
    KillWatchers {
        /// After how long they start.
        down: Duration,
    },
    /// The node that watches the newest state and its backups lose the store, or it refuses them,
    /// while it answers the others. It lasts.
    CutWatchers,
    /// A node is asked to stop, and starts again half a second after it has.
    Terminate {
        /// The node.
        node: usize,
    },
    /// All nodes are killed at once. What is served from here on counts for recovery.
    KillAll {
        /// After how long they start.
        down: Duration,
    },
}

/// A run's settings.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Nodes.
    pub nodes: usize,
    /// Zones in which they stand in turn.
    pub node_zones: usize,
    /// So many of the first are larger than the others.
    pub large_nodes: usize,
    /// How routers choose.
    pub hash: RouterHash,
    /// Targets of each service.
    pub targets: Vec<usize>,
    /// Clients with flows of many requests, spread over the services.
    pub long_clients: usize,
    /// Requests over each of their flows.
    pub requests_per_flow: u32,
    /// Clients with a flow for each request, spread over the services.
    pub short_clients: usize,
    /// Clients of the probe route.
    pub probe_clients: usize,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// The links of the nodes' machines; none are wide enough for all.
    pub node_links: Option<LinkSettings>,
    /// Whether the store tells its era.
    pub store_reports_era: bool,
    /// How nodes pace what they tell each other.
    pub exchange: ExchangeSettings,
    /// How long it lasts.
    pub duration: Duration,
    /// What happens, and when, milliseconds from the start.
    pub actions: Vec<(u64, Action)>,
    /// What is taken out.
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
            large_nodes: 0,
            hash: RouterHash::Modulo,
            targets: vec![8, 3],
            long_clients: 24,
            requests_per_flow: 50,
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
    /// The same, with something happening.
    #[must_use]
    pub fn at(mut self, milliseconds: u64, action: Action) -> Self {
        self.actions.push((milliseconds, action));
        self
    }

    /// The same without a mechanism.
    #[must_use]
    pub fn without(mut self, ablation: Ablation) -> Self {
        self.ablations.push(ablation);
        self
    }

    /// Where a node stands.
    #[must_use]
    pub fn place_of(&self, node: usize) -> NodePlace {
        let class = if node < self.large_nodes {
            CapacityClass::LARGEST
        } else {
            CapacityClass::SMALLEST
        };
        NodePlace {
            zone: ZoneKey::of(&zone_name(node % self.node_zones.max(1))),
            class,
        }
    }

    /// Whether a mechanism is taken out.
    #[must_use]
    pub fn is_ablated(&self, ablation: Ablation) -> bool {
        self.ablations.contains(&ablation)
    }
}

/// Zones that targets stand in.
pub const TARGET_ZONES: usize = 3;

/// Name of a zone.
#[must_use]
pub fn zone_name(index: usize) -> String {
    format!("zone-{index}")
}

/// Name of a service.
#[must_use]
pub fn service_name(index: usize) -> String {
    format!("service-{index}")
}

/// The address of a service's own route.
#[must_use]
pub fn service_address(index: usize) -> SocketAddrV4 {
    let last = u8::try_from(index + 1).unwrap_or(u8::MAX);
    SocketAddrV4::new(Ipv4Addr::new(198, 51, 100, last), 443)
}

/// The address of the probe route.
pub const PROBE_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 51, 100, 200), 443);

/// The configuration of a version. The store sets its revision.
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
