//! Per-packet processing: parsing, flow keys and replies.

mod checksum;
mod flow_key;
mod parse;
mod reply;
mod summary;

pub use flow_key::{FlowHash, FlowHasher, FlowKey, Transport};
pub use parse::parse;
pub use reply::{reset_for, too_big_for};
pub use summary::{PacketError, PacketKind, PacketSummary, ParseOptions, TcpFlags};
