//! The platform's packets (PROTOCOL, "Packets").

use std::net::{Ipv4Addr, SocketAddrV4};

pub const HEAD: usize = 31;
pub const SYN: u8 = 4;
pub const FIN: u8 = 32;
pub const ACK: u8 = 64;
pub const RST: u8 = 128;

/// A packet. `src` and `dst` hold address and port.
#[derive(Clone, Debug)]
pub struct Packet {
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub echo: u32,
    pub dst: SocketAddrV4,
    pub src: SocketAddrV4,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEAD + self.data.len());
        bytes.extend_from_slice(&self.seq.to_le_bytes());
        bytes.extend_from_slice(&self.ack.to_le_bytes());
        bytes.push(self.flags);
        bytes.extend_from_slice(&self.echo.to_le_bytes());
        bytes.extend_from_slice(&[0; 4]);
        bytes.extend_from_slice(&(self.data.len() as u16).to_le_bytes());
        bytes.extend_from_slice(&self.dst.port().to_le_bytes());
        bytes.extend_from_slice(&self.src.port().to_le_bytes());
        bytes.extend_from_slice(&u32::from(*self.dst.ip()).to_le_bytes());
        bytes.extend_from_slice(&u32::from(*self.src.ip()).to_le_bytes());
        bytes.extend_from_slice(&self.data);
        let sum = sum(&bytes);
        bytes[13..17].copy_from_slice(&sum.to_le_bytes());
        bytes
    }

    /// Returns `None` for bytes that their sender didn't write so. A reset of the system has `sum` 0.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEAD {
            return None;
        }
        let word = |at: usize| u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap());
        let half = |at: usize| u16::from_le_bytes(bytes[at..at + 2].try_into().unwrap());
        let of_system = bytes[8] == RST && word(13) == 0 && bytes.len() == HEAD;
        if !of_system && word(13) != sum(bytes) {
            return None;
        }
        Some(Self {
            seq: word(0),
            ack: word(4),
            flags: bytes[8],
            echo: word(9),
            dst: SocketAddrV4::new(Ipv4Addr::from(word(23)), half(19)),
            src: SocketAddrV4::new(Ipv4Addr::from(word(27)), half(21)),
            data: bytes[HEAD..].to_vec(),
        })
    }
}

/// A sum over everything but `echo` and the sum itself, in place of the platform's keyed one.
fn sum(bytes: &[u8]) -> u32 {
    let covered = bytes
        .iter()
        .enumerate()
        .filter(|(at, _)| !(9..17).contains(at));
    let hash = covered.fold(0x811c_9dc5_u32, |hash, (_, byte)| {
        (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193)
    });
    hash.max(1)
}
