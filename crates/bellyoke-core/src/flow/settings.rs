//! Settings of the flow table of a traffic thread.

use std::time::Duration;

/// Capacity and timeouts of a flow table. Idle timeouts are settings of the services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowSettings {
    /// Maximum number of flows. Determines the memory, 60 bytes per flow.
    pub capacity: u32,
    /// Timeout of a flow of which only the opening packet was received.
    pub half_open_timeout: Duration,
    /// Idle timeout of a flow after a FIN or RST.
    pub closing_timeout: Duration,
    /// Maximum time that the network may delay a packet.
    pub delay_horizon: Duration,
}

impl Default for FlowSettings {
    /// Returns settings for half a million flows.
    fn default() -> Self {
        Self {
            capacity: 500_000,
            half_open_timeout: Duration::from_secs(10),
            closing_timeout: Duration::from_secs(10),
            delay_horizon: Duration::from_secs(3),
        }
    }
}
