//! Puts the process together: sockets, threads, tasks, and the control loop.

use crate::generation::{ReaderSettings, StoreCommand, StoreEvent, run_reader};
use crate::packet::{ClusterKeys, PeerCodec, bind_peer_socket};
use crate::process::control::{
    AdoptionCollector, ControlCounters, ControlEnds, ControlParts, OutputSinks, PeerPort,
    ToldDrops, run_control,
};
use crate::process::directory::{DirectoryCommand, DirectoryEvent, run_directory};
use crate::process::settings::Settings;
use crate::process::sorry::{SorrySettings, start_sorry_server};
use crate::process::traffic::{TrafficThreads, start_traffic};
use crate::request::{ApiSnapshot, ApiState, operator_router};
use anyhow::Context;
use bellyoke_api::event_code::EventCode;
use bellyoke_api::status::NodeStatus;
use bellyoke_core::generation::Zone;
use bellyoke_core::identity::NodeId;
use bellyoke_core::node::{Node, NodeIdentity, NodeSettings};
use bellyoke_core::time::Timestamp;
use bellyoke_kube::kube_store::{KubeStore, KubeStoreOptions};
use bellyoke_kube::store::Store;
use bellyoke_process::clock::MonotonicClock;
use bellyoke_process::log::{LogLimiter, log_event};
use bellyoke_process::signals::Signals;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;

/// Namespace of the objects in the store.
const NAMESPACE: &str = "default";

/// Commands and events that wait between the control loop and its tasks.
const TASK_QUEUE: usize = 64;

/// Events of one kind that packets can cause are this far apart.
const LOG_PERIOD: Duration = Duration::from_secs(10);

/// Time after which an unanswered message is sent again. Shorter, and at a few kilobytes a
/// second repeated messages hold up the answers that they wait for.
const RESEND_INTERVAL: Duration = Duration::from_secs(2);

/// Buffers asked for the peer socket, bytes.
const PEER_BUFFER: usize = 1 << 20;

/// Runs a balancer until it has left.
///
/// # Errors
///
/// If a socket cannot be bound, or something fails that it cannot go on without.
pub fn run_daemon(settings: Settings, keys: ClusterKeys) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("start the control thread's runtime")?;
    let outcome = runtime.block_on(run(settings, keys));
    // Tasks that wait for the store are given up with the runtime.
    runtime.shutdown_background();
    outcome
}

async fn run(settings: Settings, keys: ClusterKeys) -> anyhow::Result<()> {
    let clock = MonotonicClock::start();
    let signals = Signals::register().context("take over signals")?;
    let identity = NodeIdentity {
        node: NodeId(rand::random()),
        zone: Zone(settings.node.zone.clone()),
        peer_address: settings.node.peer_address,
    };
    let node_settings = node_settings(&settings)?;
    let peers = open_peer_port(&settings, identity.node, keys)?;
    let api = start_operator_api(&settings, &identity).await?;
    let traffic = start_traffic(&settings, clock)?;
    let tasks = start_tasks(&settings, &identity)?;
    let sinks = output_sinks(&settings, clock, &traffic, peers, tasks.store_commands)?;
    let node = Node::new(identity.clone(), node_settings, rand::random());
    log_event(
        EventCode::ProcessStarted,
        start_detail(&settings, &identity),
    );
    let parts = ControlParts {
        settings,
        clock,
        identity,
        node,
        sinks,
        api,
    };
    let ends = ControlEnds {
        traffic,
        store: tasks.store,
        directory: tasks.directory,
        directory_commands: tasks.directory_commands,
        signals,
    };
    let outcome = run_control(parts, ends).await;
    match &outcome {
        Ok(()) => log_event(EventCode::ProcessStopped, "as asked"),
        Err(error) => log_event(EventCode::ThreadFailed, format!("{error:#}")),
    }
    outcome
}

fn start_detail(settings: &Settings, identity: &NodeIdentity) -> String {
    let node = &settings.node;
    format!(
        "node {} in zone {}: data {}, peers {}, api {}",
        identity.node, node.zone, node.data_address, node.peer_address, node.api_address
    )
}

/// Settings of the state machine; what has no key of its own follows from those that have.
fn node_settings(settings: &Settings) -> anyhow::Result<NodeSettings> {
    let timing = &settings.timing;
    let usable_lease = timing.lease().saturating_sub(timing.lease_margin());
    let budget = u32::try_from(settings.limits.control_bytes_per_second)?;
    NodeSettings::builder()
        .probe_period(timing.probe_period())
        .probe_timeout(timing.probe_period() / 3)
        .lease_time(timing.lease())
        .lease_margin(timing.lease_margin())
        .lease_renewal(usable_lease / 3)
        .delay_horizon(timing.delay_horizon())
        .resend_interval(RESEND_INTERVAL)
        .control_budget(budget)
        .build()
        .context("settings of the state machine")
}

fn open_peer_port(
    settings: &Settings,
    node: NodeId,
    keys: ClusterKeys,
) -> anyhow::Result<PeerPort> {
    let address = settings.node.peer_address;
    let socket = bind_peer_socket(address, PEER_BUFFER)
        .with_context(|| format!("bind node.peer_address = {address}"))?;
    let socket = UdpSocket::from_std(socket).context("watch the peer socket")?;
    Ok(PeerPort::new(socket, PeerCodec::new(node, address, keys)))
}

async fn start_operator_api(
    settings: &Settings,
    identity: &NodeIdentity,
) -> anyhow::Result<ApiState> {
    let address = settings.node.api_address;
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("bind node.api_address = {address}"))?;
    let state = ApiState::new(first_snapshot(settings, identity));
    let router = operator_router(state.clone());
    tokio::spawn(async move {
        gotham::bind_server(listener, router, |stream| {
            std::future::ready(Ok::<_, ()>(stream))
        })
        .await
    });
    Ok(state)
}

/// What is answered before the control loop runs.
fn first_snapshot(settings: &Settings, identity: &NodeIdentity) -> ApiSnapshot {
    ApiSnapshot {
        ready: false,
        reason: "starting".to_owned(),
        status: NodeStatus {
            node: identity.node.0,
            zone: settings.node.zone.clone(),
            generation: 0,
            acknowledged: 0,
            barrier: 0,
            services_revision: 0,
            backends_revision: 0,
            lease_valid: false,
            leaving: false,
            members: Vec::new(),
            services: Vec::new(),
            backends: Vec::new(),
            control_bytes_per_second: 0,
            control_budget_bytes_per_second: settings.limits.control_bytes_per_second,
            counters: std::collections::BTreeMap::new(),
        },
        metrics: Vec::new(),
    }
}

fn output_sinks(
    settings: &Settings,
    clock: MonotonicClock,
    traffic: &TrafficThreads,
    peers: PeerPort,
    store: Option<mpsc::Sender<StoreCommand>>,
) -> anyhow::Result<OutputSinks> {
    let clone = || traffic.socket.try_clone().context("clone a data socket");
    let sorry = SorrySettings {
        fabric: settings.fabric.address,
        connections: settings.limits.sorry_connections,
        queue_packets: settings.traffic.queue_packets,
    };
    Ok(OutputSinks {
        traffic: Arc::clone(&traffic.shared),
        socket: clone()?,
        fabric: settings.fabric.address,
        sorry: start_sorry_server(sorry, clock, clone()?)?,
        peers,
        store,
        counters: ControlCounters::default(),
        leave_complete: false,
        lease_until: Timestamp::ZERO,
        adoption: AdoptionCollector::new(settings.traffic.threads),
        limiter: LogLimiter::new(LOG_PERIOD),
        drops: ToldDrops::default(),
    })
}

/// The tasks that talk to the platform, seen from the control loop.
struct Tasks {
    store: mpsc::Receiver<StoreEvent>,
    store_commands: Option<mpsc::Sender<StoreCommand>>,
    directory: mpsc::Receiver<DirectoryEvent>,
    directory_commands: Option<mpsc::Sender<DirectoryCommand>>,
}

fn start_tasks(settings: &Settings, identity: &NodeIdentity) -> anyhow::Result<Tasks> {
    let (store_events, store) = mpsc::channel(TASK_QUEUE);
    let (directory_events, directory) = mpsc::channel(TASK_QUEUE);
    let mut tasks = Tasks {
        store,
        store_commands: None,
        directory,
        directory_commands: None,
    };
    let Some(url) = &settings.platform.url else {
        return Ok(tasks);
    };
    let client = connect(settings, url, identity.node)?;
    let (commands, received) = mpsc::channel(TASK_QUEUE);
    tasks.directory_commands = Some(commands);
    let own = identity.peer_address;
    let directory_store = Arc::clone(&client);
    tokio::spawn(run_directory(
        directory_store,
        own,
        received,
        directory_events,
    ));
    if settings.platform.reader {
        let (commands, received) = mpsc::channel(TASK_QUEUE);
        tasks.store_commands = Some(commands);
        let reader = ReaderSettings {
            node: identity.node,
            flow_hash_seed: rand::random(),
        };
        tokio::spawn(run_reader(client, reader, received, store_events));
    }
    Ok(tasks)
}

fn connect(settings: &Settings, url: &str, node: NodeId) -> anyhow::Result<Arc<dyn Store>> {
    let manager = format!("bellyoke-balancer/{node}");
    let mut options = KubeStoreOptions::new(url, NAMESPACE, &manager);
    options.request_timeout = settings.timing.store_timeout();
    let store = KubeStore::connect(&options).context("make the store's client")?;
    Ok(Arc::new(store))
}
