//! Callers: they open flows, retransmit unanswered opening packets, and send data until the flow
//! ends.

use bellyoke_core::flow::EscalationKind;
use bellyoke_core::identity::ServiceId;
use bellyoke_core::packet::FlowHash;

/// A caller's flow.
#[derive(Clone, Debug)]
pub struct Client {
    pub service: ServiceId,
    pub hash: FlowHash,
    pub started_at: u64,
    pub ends_at: u64,
    pub established: bool,
    pub ended: bool,
}

/// A caller's packet, encoded as the payload of an escalated packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientPacket {
    pub flow: u32,
    pub kind: EscalationKind,
}

impl ClientPacket {
    pub fn encode(self) -> Vec<u8> {
        let mut bytes = self.flow.to_be_bytes().to_vec();
        bytes.push(u8::from(self.kind == EscalationKind::Opening));
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Self {
        let flow = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
        let kind = match bytes[4] {
            1 => EscalationKind::Opening,
            _ => EscalationKind::Other,
        };
        Self { flow, kind }
    }
}
