//! The control thread: everything that is not on the packet path.

mod adoption;
mod control_loop;
mod leave;
mod outputs;
mod peers;
mod settling;
mod snapshot;

pub use adoption::AdoptionCollector;
pub use control_loop::{ControlEnds, ControlParts, run_control};
pub use outputs::{ControlCounters, OutputSinks, ToldDrops};
pub use peers::PeerPort;
pub use settling::SettlingCollector;
