//! Starts and ends traffic threads.

use super::housekeeping::STEP_PERIOD;
use super::port::{WorkerCommand, WorkerPort};
use super::shared::{QueuedEscalation, TrafficShared, WorkerReport, WorkerSettings};
use super::worker::Worker;
use crate::packet::bind_data_socket;
use crate::process::settings::Settings;
use anyhow::Context;
use bellyoke_core::flow::FlowSettings;
use bellyoke_core::packet::ParseOptions;
use bellyoke_process::clock::MonotonicClock;
use crossbeam_channel::Receiver;
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token, Waker};
use std::net::UdpSocket;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use tokio::sync::mpsc;

const SOCKET: Token = Token(0);
const COMMANDS: Token = Token(1);

/// Reports that wait for the control thread; a thread keeps what doesn't fit.
const REPORT_QUEUE: usize = 256;

/// Least flows that a thread remembers.
const LEAST_FLOWS: usize = 1024;

/// The running traffic threads and what comes from them.
pub struct TrafficThreads {
    /// What they share with the control thread.
    pub shared: Arc<TrafficShared>,
    /// Packets that only their bucket's owner can decide.
    pub escalations: mpsc::Receiver<QueuedEscalation>,
    /// Everything else.
    pub reports: mpsc::Receiver<WorkerReport>,
    /// A handle of a data socket, for what the control thread sends.
    pub socket: UdpSocket,
    handles: Vec<JoinHandle<anyhow::Result<()>>>,
}

impl TrafficThreads {
    /// Ends all threads and waits for them.
    ///
    /// # Errors
    ///
    /// The first error of a thread.
    pub fn stop(&mut self) -> anyhow::Result<()> {
        self.shared.stop();
        let outcomes: Vec<_> = self
            .handles
            .drain(..)
            .map(|handle| match handle.join() {
                Ok(outcome) => outcome,
                Err(_) => Err(anyhow::anyhow!("a traffic thread panicked")),
            })
            .collect();
        outcomes.into_iter().collect()
    }

    /// Whether a thread has ended though it was not asked to.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.handles.iter().any(JoinHandle::is_finished) && !self.shared.is_stopping()
    }
}

/// What a thread is made of before it runs.
struct Parts {
    poll: Poll,
    socket: UdpSocket,
    inbox: Receiver<WorkerCommand>,
}

/// Binds the data sockets and starts the threads.
///
/// # Errors
///
/// If a socket cannot be bound or a thread not started.
pub fn start_traffic(settings: &Settings, clock: MonotonicClock) -> anyhow::Result<TrafficThreads> {
    let traffic = &settings.traffic;
    let mut ports = Vec::new();
    let mut parts = Vec::new();
    for _ in 0..traffic.threads {
        let (port, part) = prepare(settings)?;
        ports.push(port);
        parts.push(part);
    }
    let socket = parts[0].socket.try_clone().context("clone a data socket")?;
    let (escalations_in, escalations) = mpsc::channel(traffic.queue_packets);
    let (reports_in, reports) = mpsc::channel(REPORT_QUEUE);
    let shared = TrafficShared::new(clock, ports, escalations_in, reports_in);
    let shared = Arc::new(shared);
    let worker_settings = worker_settings(settings);
    let mut handles = Vec::new();
    for (index, part) in parts.into_iter().enumerate() {
        let settings = worker_settings.clone();
        let shared = Arc::clone(&shared);
        let handle = Builder::new()
            .name(format!("traffic-{index}"))
            .spawn(move || run(index, settings, part, &shared))
            .context("start a traffic thread")?;
        handles.push(handle);
    }
    Ok(TrafficThreads {
        shared,
        escalations,
        reports,
        socket,
        handles,
    })
}

fn prepare(settings: &Settings) -> anyhow::Result<(WorkerPort, Parts)> {
    let traffic = &settings.traffic;
    let address = settings.node.data_address;
    let socket = bind_data_socket(address, traffic.socket_buffer_bytes)
        .with_context(|| format!("bind node.data_address = {address}"))?;
    let poll = Poll::new().context("create an event queue")?;
    let descriptor = socket.as_raw_fd();
    poll.registry()
        .register(&mut SourceFd(&descriptor), SOCKET, Interest::READABLE)
        .context("watch a data socket")?;
    let waker = Waker::new(poll.registry(), COMMANDS).context("create a waker")?;
    let (port, inbox) = WorkerPort::new(traffic.queue_packets, waker);
    let parts = Parts {
        poll,
        socket,
        inbox,
    };
    Ok((port, parts))
}

fn worker_settings(settings: &Settings) -> WorkerSettings {
    let traffic = &settings.traffic;
    let share = (traffic.flow_capacity / traffic.threads).max(LEAST_FLOWS);
    WorkerSettings {
        batch: traffic.batch,
        parse: ParseOptions {
            verify_checksums: traffic.verify_checksums,
            maximum_packet_bytes: traffic.mtu,
        },
        flows: FlowSettings {
            capacity: u32::try_from(share).unwrap_or(u32::MAX),
            delay_horizon: settings.timing.delay_horizon(),
            ..FlowSettings::default()
        },
        longest_hold: settings.timing.lease_margin() / 2,
        longest_stall: settings.timing.delay_horizon() / 2,
        fabric: settings.fabric.address,
    }
}

/// Readiness is edge-triggered: the thread waits only after it found nothing.
fn run(
    index: usize,
    settings: WorkerSettings,
    parts: Parts,
    shared: &Arc<TrafficShared>,
) -> anyhow::Result<()> {
    let Parts {
        mut poll,
        socket,
        inbox,
    } = parts;
    let mut worker = Worker::new(index, settings, Arc::clone(shared), socket, inbox);
    let mut events = Events::with_capacity(2);
    while !shared.is_stopping() {
        let busy = worker.turn().context("receive from a data socket")?;
        if busy {
            continue;
        }
        match poll.poll(&mut events, Some(STEP_PERIOD)) {
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
            outcome => outcome.context("wait for packets")?,
        }
    }
    Ok(())
}
