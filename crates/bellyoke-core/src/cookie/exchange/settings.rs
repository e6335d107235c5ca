//! How the exchange is paced.

use std::time::Duration;

/// How the exchange is paced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeSettings {
    /// Mean time between two rounds of heartbeats.
    pub period: Duration,
    /// Peers that get a heartbeat each round.
    pub fanout: usize,
    /// Peers that are told at once of something new.
    pub push_fanout: usize,
    /// A peer that was silent for so long is forgotten.
    pub peer_lifetime: Duration,
    /// How long a node that is behind waits for the store to tell it, before it asks a peer.
    pub catch_up_delay: Duration,
    /// Shortest time between the beginnings of two fetches, and how long one must have brought
    /// nothing before another begins beside it.
    pub fetch_interval: Duration,
    /// How old the last confirmation may be before a node asks the store itself. Well below the
    /// time within which a change must be in force.
    pub freshness_bound: Duration,
    /// Whether nodes tell and ask peers of their own zone first, so that bytes between zones don't grow
    /// with the nodes of a zone.
    pub own_zone_first: bool,
    /// Whether operators may drain zones, so that nodes read which.
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
