//! What traffic threads and the control thread share.

use super::counters::WorkerCounters;
use super::port::WorkerPort;
use arc_swap::ArcSwap;
use bellyoke_core::flow::{FlowSettings, LeaseState, SettledBucket};
use bellyoke_core::generation::Forwarding;
use bellyoke_core::identity::{BackendId, GenerationNumber};
use bellyoke_core::node::{AdoptionReport, EscalatedPacket};
use bellyoke_core::packet::ParseOptions;
use bellyoke_core::time::Timestamp;
use bellyoke_process::clock::MonotonicClock;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::mpsc;

/// Settings of one traffic thread.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// Most packets of one system call.
    pub batch: usize,
    /// How strictly packets are read.
    pub parse: ParseOptions,
    /// The flow table's share of this thread.
    pub flows: FlowSettings,
    /// Longest time between decision and sending.
    pub longest_hold: Duration,
    /// A thread that was held up for longer drops what waited at its socket meanwhile.
    pub longest_stall: Duration,
    /// UDP address of replies to callers.
    pub fabric: SocketAddr,
}

/// A packet on its way to the control thread.
#[derive(Clone, Debug)]
pub struct QueuedEscalation {
    /// When the traffic thread had it.
    pub received_at: Timestamp,
    /// The packet.
    pub packet: EscalatedPacket,
}

/// What a traffic thread reports besides escalated packets. Never dropped.
#[derive(Clone, Debug)]
pub enum WorkerReport {
    /// The thread forwards by a newer generation.
    Adopted {
        /// The thread.
        worker: usize,
        /// The generation and the flows to hand over.
        report: AdoptionReport,
    },
    /// Buckets in which the thread has seen no flow off target for the idle time.
    Settled {
        /// The thread.
        worker: usize,
        /// The generation that it forwards by.
        generation: GenerationNumber,
        /// The buckets.
        buckets: Vec<SettledBucket>,
    },
    /// Flows that the thread holds on each backend.
    Load {
        /// The thread.
        worker: usize,
        /// Flows by backend.
        flows: Vec<(BackendId, u32)>,
    },
}

/// What all traffic threads and the control thread share.
#[derive(Debug)]
pub struct TrafficShared {
    /// The process's clock.
    pub clock: MonotonicClock,
    forwarding: ArcSwap<Forwarding>,
    lease_until: AtomicU64,
    stop: AtomicBool,
    /// One for each traffic thread.
    pub ports: Vec<WorkerPort>,
    /// One for each traffic thread.
    pub counters: Vec<WorkerCounters>,
    /// Packets that only their bucket's owner can decide.
    pub escalations: mpsc::Sender<QueuedEscalation>,
    /// Everything else that the control thread must know.
    pub reports: mpsc::Sender<WorkerReport>,
}

impl TrafficShared {
    /// Shared state of a node that knows no generation and holds no lease.
    #[must_use]
    pub fn new(
        clock: MonotonicClock,
        ports: Vec<WorkerPort>,
        escalations: mpsc::Sender<QueuedEscalation>,
        reports: mpsc::Sender<WorkerReport>,
    ) -> Self {
        let counters = ports.iter().map(|_| WorkerCounters::default()).collect();
        Self {
            clock,
            forwarding: ArcSwap::from_pointee(Forwarding::empty()),
            lease_until: AtomicU64::new(0),
            stop: AtomicBool::new(false),
            ports,
            counters,
            escalations,
            reports,
        }
    }

    /// The forwarding that threads switch to, or have.
    #[must_use]
    pub const fn forwarding(&self) -> &ArcSwap<Forwarding> {
        &self.forwarding
    }

    /// Hands the threads a newer forwarding.
    pub fn publish(&self, forwarding: std::sync::Arc<Forwarding>) {
        self.forwarding.store(forwarding);
        self.wake_all();
    }

    /// Sets until when threads may open flows.
    pub fn set_lease(&self, until: Timestamp) {
        self.lease_until.store(until.as_micros(), Ordering::Release);
    }

    /// Whether threads may open flows at `now`.
    #[must_use]
    pub fn lease(&self, now: Timestamp) -> LeaseState {
        if now.as_micros() < self.lease_until.load(Ordering::Acquire) {
            LeaseState::Valid
        } else {
            LeaseState::Fenced
        }
    }

    /// Asks all threads to end.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Release);
        self.wake_all();
    }

    /// Whether threads are to end.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop.load(Ordering::Acquire)
    }

    /// A wake-up that fails only delays the thread to its next housekeeping.
    fn wake_all(&self) {
        for port in &self.ports {
            let _ = port.wake();
        }
    }
}
