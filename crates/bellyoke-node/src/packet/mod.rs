//! State with the lifetime of a packet: the traffic threads.

mod counters;
mod sender;
mod thread;

pub use counters::{PacketCounters, PacketOutcome};
pub use thread::start_traffic_thread;
