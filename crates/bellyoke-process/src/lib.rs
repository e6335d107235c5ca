//! Process infrastructure shared by the daemons: validated settings with command-line overrides,
//! the monotonic clock, logging and signal handling.

pub mod clock;
pub mod log;
pub mod settings;
pub mod signals;
