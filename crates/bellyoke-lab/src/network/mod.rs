//! The IP side of the stand-ins: a TCP/IP stack without sockets of the operating system, and the tunnel that joins it
//! to the fabric.

mod device;
mod prefix;
mod socket;
mod stack;
mod summary;
mod tunnel;
mod unreachable;

pub use prefix::{Prefix, PrefixError};
pub use socket::bind_udp;
pub use stack::NetworkStack;
pub use summary::{FlowKey, PacketSummary, Role};
pub use tunnel::{PacketHost, run_tunnel};
pub use unreachable::unreachable_flow;
