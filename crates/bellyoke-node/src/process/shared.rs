//! What the control thread and the traffic threads share.

use crate::packet::PacketCounters;
use arc_swap::ArcSwap;
use bellyoke_core::cookie::instance::Cookie;
use bellyoke_core::cookie::outliers::InstanceTally;
use bellyoke_core::cookie::stall::TickReport;
use bellyoke_core::cookie::table::ForwardingTable;
use bellyoke_core::time::Timestamp;
use bellyoke_process::clock::MonotonicClock;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::sync::mpsc::Sender;

/// Written by the control thread, read by all.
#[derive(Debug)]
pub struct Shared {
    /// The process's clock.
    pub clock: MonotonicClock,
    /// The table in force.
    pub table: ArcSwap<ForwardingTable>,
    /// Counts of packets.
    pub packets: PacketCounters,
    /// Instances that fail the traffic thread's openings, for peers.
    pub failing: ArcSwap<Vec<Cookie>>,
    /// Instances that peers suspect, for the traffic thread.
    pub peer_suspicions: ArcSwap<BTreeSet<Cookie>>,
    /// Instances that this node can't reach, for the traffic thread.
    pub unreachable: ArcSwap<BTreeSet<Cookie>>,
    /// Those, and the ones that were unreachable a while ago: openings avoid them.
    pub avoided: ArcSwap<BTreeSet<Cookie>>,
    /// Instances whose resting flows end, for the traffic thread.
    pub ended: ArcSwap<BTreeSet<Cookie>>,
    /// Instances in question, for the traffic thread.
    pub under_verification: ArcSwap<BTreeSet<Cookie>>,
    /// Those of them that showed life at the traffic thread a moment ago.
    pub alive: ArcSwap<Vec<Cookie>>,
    /// How many nodes there are at most, for the traffic thread.
    pub node_count_upper_bound: AtomicU64,
    /// Whether what the traffic thread sends is paced, since the link carries no more.
    pub link_paced: AtomicBool,
    /// How many nodes there are about, for the traffic thread.
    pub estimated_node_count: AtomicU64,
    /// Instances at which the traffic thread's openings completed a moment ago.
    pub healthy: ArcSwap<Vec<Cookie>>,
    /// Instances whose answers fail, for the traffic thread.
    pub outliers: ArcSwap<BTreeSet<Cookie>>,
    /// What the traffic thread saw of answers, for the control thread. The traffic thread doesn't wait for it.
    pub tallies: Mutex<Vec<InstanceTally>>,
    /// Where the traffic thread says which instances it doubts.
    pub suspects: Sender<Vec<Cookie>>,
    last_tick: AtomicU64,
    stalls: AtomicU64,
}

impl Shared {
    /// An empty table, a first tick now. Doubts of the traffic thread go to `doubts`.
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

    /// The control thread is alive at `now`; `stalled` tells whether it stood still before.
    pub fn tick(&self, now: Timestamp, stalled: bool) {
        if stalled {
            self.stalls.fetch_add(1, Ordering::Release);
        }
        self.last_tick.store(now.as_micros(), Ordering::Release);
    }

    /// The ticks so far.
    #[must_use]
    pub fn ticks(&self) -> TickReport {
        TickReport {
            last: Timestamp::from_micros(self.last_tick.load(Ordering::Acquire)),
            stalls: self.stalls.load(Ordering::Acquire),
        }
    }
}
