//! The links to the balancers: counters and faults.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

/// Packets of the fabric since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct LinkCounters {
    /// Packets to each balancer.
    pub to_balancers: BTreeMap<SocketAddr, u64>,
    /// Packets to each caller process.
    pub to_callers: BTreeMap<SocketAddr, u64>,
    /// Packets lost on links that were cut.
    pub cut: u64,
    /// Packets lost since there was no balancer.
    pub no_balancer: u64,
    /// Datagrams that held no IP packet.
    pub malformed: u64,
    /// Datagrams that the operating system didn't take.
    pub send_failed: u64,
    /// Packets lost since too many were delayed.
    pub delay_overflow: u64,
}

/// The state of the links.
#[derive(Debug, Clone, Default)]
pub struct Links {
    /// The counters.
    pub counters: LinkCounters,
    cut: BTreeSet<SocketAddr>,
    delay: BTreeMap<SocketAddr, Duration>,
}

impl Links {
    /// Loses all packets to a balancer from now on.
    pub fn cut(&mut self, balancer: SocketAddr) {
        self.cut.insert(balancer);
    }

    /// Ends a cut and a delay.
    pub fn restore(&mut self, balancer: SocketAddr) {
        self.cut.remove(&balancer);
        self.delay.remove(&balancer);
    }

    /// Delays all packets to a balancer from now on.
    pub fn set_delay(&mut self, balancer: SocketAddr, delay: Duration) {
        self.delay.insert(balancer, delay);
    }

    /// Whether packets to the balancer are lost.
    #[must_use]
    pub fn is_cut(&self, balancer: SocketAddr) -> bool {
        self.cut.contains(&balancer)
    }

    /// The delay of packets to the balancer.
    #[must_use]
    pub fn delay(&self, balancer: SocketAddr) -> Duration {
        self.delay.get(&balancer).copied().unwrap_or_default()
    }
}
