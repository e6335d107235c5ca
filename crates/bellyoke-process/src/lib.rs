//! What the daemons share besides forwarding: checked settings with flags that override them,
//! the monotonic clock, the log and signals.

pub mod clock;
pub mod log;
pub mod settings;
pub mod signals;
