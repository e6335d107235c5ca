//! A caller's packet, reduced to what balancers and backends look at.

use crate::experiment::strategy::ServiceIndex;
use bellyoke_core::packet::{FlowHash, FlowKey};

/// A flow by its place in the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowIndex(pub u32);

/// What a packet does to its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketKind {
    /// A SYN.
    Opening,
    /// Anything in between.
    Data,
    /// A FIN.
    Closing,
}

/// A caller's packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowPacket {
    /// Its flow.
    pub flow: FlowIndex,
    /// The service the caller wants.
    pub service: ServiceIndex,
    /// What it does to the flow.
    pub kind: PacketKind,
    /// The flow's 5-tuple.
    pub key: FlowKey,
    /// The hash of the 5-tuple.
    pub hash: FlowHash,
}
