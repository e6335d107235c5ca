//! An emulated packet as the bytes that the core carries and never looks into.

use crate::experiment::strategy::ServiceIndex;
use crate::experiment::world::packet::{FlowIndex, FlowPacket, PacketKind};
use crate::experiment::world::{FLOW_HASH_SEED, SERVICE_PORT, service_address};
use bellyoke_core::packet::{FlowHasher, FlowKey, Transport};
use serde::{Deserialize, Serialize};
use std::net::IpAddr;

/// Length of a small IP packet, bytes: what an emulated packet weighs in a message.
pub const PACKET_LENGTH: usize = 60;

#[derive(Serialize, Deserialize)]
struct EncodedPacket {
    flow: u32,
    service: u32,
    kind: u8,
    source: IpAddr,
    source_port: u16,
}

/// The bytes of `packet`, as long as a small IP packet at least.
pub fn encode_packet(packet: &FlowPacket) -> Vec<u8> {
    let encoded = EncodedPacket {
        flow: packet.flow.0,
        service: packet.service.0,
        kind: match packet.kind {
            PacketKind::Opening => 0,
            PacketKind::Data => 1,
            PacketKind::Closing => 2,
        },
        source: packet.key.source,
        source_port: packet.key.source_port,
    };
    let mut bytes = serde_json::to_vec(&encoded).unwrap_or_default();
    if bytes.len() < PACKET_LENGTH {
        bytes.resize(PACKET_LENGTH, b' ');
    }
    bytes
}

/// The packet that `bytes` encode.
pub fn decode_packet(bytes: &[u8]) -> Option<FlowPacket> {
    let encoded: EncodedPacket = serde_json::from_slice(bytes).ok()?;
    let key = FlowKey {
        transport: Transport::Tcp,
        source: encoded.source,
        source_port: encoded.source_port,
        destination: service_address(encoded.service as usize),
        destination_port: SERVICE_PORT,
    };
    Some(FlowPacket {
        flow: FlowIndex(encoded.flow),
        service: ServiceIndex(encoded.service),
        kind: match encoded.kind {
            0 => PacketKind::Opening,
            1 => PacketKind::Data,
            _ => PacketKind::Closing,
        },
        key,
        hash: FlowHasher::new(FLOW_HASH_SEED).hash(&key),
    })
}
