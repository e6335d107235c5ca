//! Traffic threads: each owns a data socket and the flow table of its share of flows.

mod counters;
mod housekeeping;
mod path;
mod port;
mod shared;
mod thread;
mod worker;

pub use counters::{TrafficCounter, WorkerCounters};
pub use path::thread_of;
pub use port::{WorkerCommand, WorkerPort, WorkerPortFull};
pub use shared::{QueuedEscalation, TrafficShared, WorkerReport, WorkerSettings};
pub use thread::{TrafficThreads, start_traffic};
