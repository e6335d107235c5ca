//! Packets as PROTOCOL ("Packets") describes them: a head of 31 bytes, then the data.

use std::net::Ipv4Addr;

pub const SYN: u8 = 4;
pub const FIN: u8 = 32;
pub const ACK: u8 = 64;
pub const RST: u8 = 128;

const HEAD_BYTES: usize = 31;
/// Key of the sum, known to clients and targets only.
const SUM_KEY: u32 = 0x5eed_1234;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FlowKey {
    pub client: (Ipv4Addr, u16),
    pub service: (Ipv4Addr, u16),
}

#[derive(Clone, Debug)]
pub struct Packet {
    pub source: (Ipv4Addr, u16),
    pub destination: (Ipv4Addr, u16),
    pub sequence: u32,
    pub acknowledged: u32,
    pub flags: u8,
    pub echo: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEAD_BYTES + self.data.len());
        bytes.extend_from_slice(&self.sequence.to_le_bytes());
        bytes.extend_from_slice(&self.acknowledged.to_le_bytes());
        bytes.push(self.flags);
        bytes.extend_from_slice(&self.echo.to_le_bytes());
        bytes.extend_from_slice(&[0; 4]);
        bytes.extend_from_slice(&(self.data.len() as u16).to_le_bytes());
        bytes.extend_from_slice(&self.destination.1.to_le_bytes());
        bytes.extend_from_slice(&self.source.1.to_le_bytes());
        bytes.extend_from_slice(&u32::from(self.destination.0).to_le_bytes());
        bytes.extend_from_slice(&u32::from(self.source.0).to_le_bytes());
        bytes.extend_from_slice(&self.data);
        let sum = sum(&bytes);
        bytes[13..17].copy_from_slice(&sum.to_le_bytes());
        bytes
    }

    /// Returns `None` for bytes that no client or target wrote, apart from resets of the system.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEAD_BYTES {
            return None;
        }
        let word = |at: usize| u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap());
        let half = |at: usize| u16::from_le_bytes(bytes[at..at + 2].try_into().unwrap());
        let flags = bytes[8];
        let is_system_reset = flags == RST && word(13) == 0 && bytes.len() == HEAD_BYTES;
        if usize::from(half(17)) != bytes.len() - HEAD_BYTES {
            return None;
        }
        if !is_system_reset && word(13) != sum(bytes) {
            return None;
        }
        Some(Self {
            source: (Ipv4Addr::from(word(27)), half(21)),
            destination: (Ipv4Addr::from(word(23)), half(19)),
            sequence: word(0),
            acknowledged: word(4),
            flags,
            echo: word(9),
            data: bytes[HEAD_BYTES..].to_vec(),
        })
    }
}

/// A keyed sum over everything but `echo` and the sum itself.
fn sum(bytes: &[u8]) -> u32 {
    let covered = bytes
        .iter()
        .enumerate()
        .filter(|(at, _)| !(9..17).contains(at));
    covered.fold(0x811c_9dc5 ^ SUM_KEY, |hash: u32, (_, byte)| {
        (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193)
    }) | 1
}
