//! State shared between the control thread and the traffic threads.

use crate::packet::PacketCounters;
use arc_swap::ArcSwap;
use bellyoke_core::cookie::instance::Cookie;
use bellyoke_core::cookie::outliers::InstanceTally;
use bellyoke_core::cookie::reachability::LifeSign;
use bellyoke_core::cookie::stall::TickReport;
use bellyoke_core::cookie::table::ForwardingTable;
use bellyoke_core::time::Timestamp;
use bellyoke_process::clock::MonotonicClock;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::sync::mpsc::Sender;

/// State shared between the control thread and the traffic threads.
#[derive(Debug)]
pub struct Shared {
    /// The clock of the process.
    pub clock: MonotonicClock,
    /// The current forwarding table.
    pub table: ArcSwap<ForwardingTable>,
    /// Packet counters.
    pub packets: PacketCounters,
    /// Instances at which the traffic thread's openings fail, to report to peers.
    pub failing: ArcSwap<Vec<Cookie>>,
    /// Instances suspected by peers, for the traffic thread.
    pub peer_suspicions: ArcSwap<BTreeSet<Cookie>>,
    /// Instances that this node cannot reach, for the traffic thread.
    pub unreachable: ArcSwap<BTreeSet<Cookie>>,
    /// Instances that are unreachable or recently were; openings avoid them.
    pub avoided: ArcSwap<BTreeSet<Cookie>>,
    /// Instances whose idle flows must be reset, for the traffic thread.
    pub ended: ArcSwap<BTreeSet<Cookie>>,
    /// Instances under verification, for the traffic thread.
    pub under_verification: ArcSwap<BTreeSet<Cookie>>,
    /// Instances under verification that the traffic thread recently saw alive.
    pub alive: ArcSwap<Vec<LifeSign>>,
    /// Upper bound of the number of nodes, for the traffic thread.
    pub node_count_upper_bound: AtomicU64,
    /// Whether the traffic thread paces its packets because the link is saturated.
    pub link_paced: AtomicBool,
    /// Estimated number of nodes, for the traffic thread.
    pub estimated_node_count: AtomicU64,
    /// Instances at which the traffic thread's openings recently completed.
    pub healthy: ArcSwap<Vec<Cookie>>,
    /// Outliers, instances whose answers fail or are late, for the traffic thread.
    pub outliers: ArcSwap<BTreeSet<Cookie>>,
    /// Request outcomes recorded by the traffic thread, for the control thread. The traffic thread
    /// never blocks on this lock.
    pub tallies: Mutex<Vec<InstanceTally>>,
    /// Channel through which the traffic thread reports suspected instances.
    pub suspects: Sender<Vec<Cookie>>,
    last_tick: AtomicU64,
    stalls: AtomicU64,
}

impl Shared {
    /// Creates the shared state with an empty table and a first tick now. The traffic thread sends
    /// suspected instances to `suspects`.
    #[must_use]
    pub fn new(
        clock: MonotonicClock,
        packets: PacketCounters,
        suspects: Sender<Vec<Cookie>>,
    ) -> Self {
        Self {
            table: ArcSwap::default(),
            packets,
            failing: ArcSwap::default(),
            peer_suspicions: ArcSwap::default(),
            unreachable: ArcSwap::default(),
            node_count_upper_bound: AtomicU64::new(u64::MAX),
            avoided: ArcSwap::default(),
            link_paced: AtomicBool::new(false),
            ended: ArcSwap::default(),
            under_verification: ArcSwap::default(),
            alive: ArcSwap::default(),
            estimated_node_count: AtomicU64::new(0),
            healthy: ArcSwap::default(),
            outliers: ArcSwap::default(),
            tallies: Mutex::default(),
            suspects,
            last_tick: AtomicU64::new(clock.now().as_micros()),
            stalls: AtomicU64::new(0),
            clock,
        }
    }

    /// Records that the control thread is running at `now`, and whether it stalled before.
    pub fn tick(&self, now: Timestamp, stalled: bool) {
        if stalled {
            self.stalls.fetch_add(1, Ordering::Release);
        }
        self.last_tick.store(now.as_micros(), Ordering::Release);
    }

    /// Returns the time of the last tick and the number of stalls.
    #[must_use]
    pub fn ticks(&self) -> TickReport {
        TickReport {
            last: Timestamp::from_micros(self.last_tick.load(Ordering::Acquire)),
            stalls: self.stalls.load(Ordering::Acquire),
        }
    }
}
