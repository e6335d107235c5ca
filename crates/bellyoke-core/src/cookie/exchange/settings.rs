//! Settings of the exchange.

use std::time::Duration;

/// Intervals, fan-outs and options of the exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeSettings {
    /// Mean time between two gossip rounds.
    pub period: Duration,
    /// Number of peers that receive a heartbeat in each round.
    pub fanout: usize,
    /// Number of peers that receive a state change at once.
    pub push_fanout: usize,
    /// A peer that sends nothing for this time is removed.
    pub peer_lifetime: Duration,
    /// How long a node that is behind waits for the store before it fetches from a peer.
    pub catch_up_delay: Duration,
    /// Minimum time between the starts of two fetches, and the time without progress after which a
    /// second fetch may run beside the first.
    pub fetch_interval: Duration,
    /// Maximum age of the last confirmation before a node calls the store itself. It must be well
    /// below the time within which a change must be in force.
    pub freshness_bound: Duration,
    /// Whether nodes prefer peers of their own zone, which keeps the traffic between zones
    /// independent of the number of nodes in a zone.
    pub own_zone_first: bool,
    /// Whether operators may drain zones, in which case nodes also read the list of drained zones.
    pub reads_zones: bool,
}

impl Default for ExchangeSettings {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(500),
            fanout: 2,
            push_fanout: 3,
            peer_lifetime: Duration::from_secs(10),
            catch_up_delay: Duration::from_millis(250),
            fetch_interval: Duration::from_millis(300),
            freshness_bound: Duration::from_millis(1_500),
            own_zone_first: true,
            reads_zones: false,
        }
    }
}
