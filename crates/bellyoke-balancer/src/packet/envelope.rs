//! Seals peer messages and opens them again.
//!
//! A datagram is a format byte, a nonce and a message sealed by XChaCha20-Poly1305
//! (draft-irtf-cfrg-xchacha). The nonce holds the sender, its sequence number and random
//! bits, so it tells replays and costs no byte more. The format, the receiver's address
//! and, where it is known, the receiving process are authenticated: a datagram cannot be
//! turned on another node, nor on the next process at the same address.

use super::key::ClusterKeys;
use crate::connection::replay::ReplayGuard;
use bellyoke_core::identity::NodeId;
use chacha20poly1305::XNonce;
use chacha20poly1305::aead::{Aead, Payload};
use std::net::{IpAddr, SocketAddr};
use thiserror::Error;

/// First byte of a datagram whose receiving process is not known to the sender.
const TO_ADDRESS: u8 = 1;

/// First byte of a datagram for one process.
const TO_PROCESS: u8 = 2;

const NONCE_LENGTH: usize = 24;
const HEADER_LENGTH: usize = 1 + NONCE_LENGTH;
const TAG_LENGTH: usize = 16;

/// Bytes that sealing adds to a message.
pub const SEAL_OVERHEAD: usize = HEADER_LENGTH + TAG_LENGTH;

/// Longest datagram that is taken, bytes: a relayed packet of 9000 bytes and its message.
pub const LONGEST_DATAGRAM: usize = 12_288;

/// Senders whose received sequence numbers are remembered.
const REMEMBERED_SENDERS: usize = 8192;

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum RejectReason {
    /// Longer than any that peers send.
    #[error("too long")]
    TooLong,
    /// Too short, or of another format.
    #[error("not of this format")]
    Format,
    /// No key opens it: forged, damaged, or meant for another address or process.
    #[error("no key opens it")]
    Forged,
    /// It was received before.
    #[error("received before")]
    Replayed,
    /// This process has sent it.
    #[error("sent by this process")]
    Reflected,
    /// It opens, but its content is no message.
    #[error("not a message")]
    Malformed,
}

impl RejectReason {
    /// All reasons.
    pub const ALL: [Self; 6] = [
        Self::TooLong,
        Self::Format,
        Self::Forged,
        Self::Replayed,
        Self::Reflected,
        Self::Malformed,
    ];

    /// Its name among the metrics.
    #[must_use]
    pub const fn metric(self) -> &'static str {
        match self {
            Self::TooLong => "peer_rejected_too_long",
            Self::Format => "peer_rejected_format",
            Self::Forged => "peer_rejected_forged",
            Self::Replayed => "peer_rejected_replayed",
            Self::Reflected => "peer_rejected_reflected",
            Self::Malformed => "peer_rejected_malformed",
        }
    }
}

/// Why a message is not sent.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SealError {
    /// Peers would not take it.
    #[error("a datagram of {length} bytes is longer than {LONGEST_DATAGRAM}")]
    TooLong {
        /// Its length, bytes.
        length: usize,
    },
    /// The cipher refused.
    #[error("the message cannot be sealed")]
    Cipher,
}

/// What was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opened {
    /// The process that sealed it.
    pub sender: NodeId,
    /// The encoded message.
    pub message: Vec<u8>,
}

/// Seals and opens the datagrams of one process.
pub struct PeerCodec {
    node: NodeId,
    address: SocketAddr,
    keys: ClusterKeys,
    last_sequence: u64,
    guard: ReplayGuard,
}

impl PeerCodec {
    /// A codec of the process `node`, whose peer socket has `address`.
    #[must_use]
    pub fn new(node: NodeId, address: SocketAddr, keys: ClusterKeys) -> Self {
        Self {
            node,
            address,
            keys,
            last_sequence: 0,
            guard: ReplayGuard::new(REMEMBERED_SENDERS),
        }
    }

    /// The datagram that carries `message` to `receiver`, if it is known, at `address`.
    ///
    /// # Errors
    ///
    /// [`SealError`] if the message is too long.
    pub fn seal(
        &mut self,
        receiver: Option<NodeId>,
        address: SocketAddr,
        message: &[u8],
    ) -> Result<Vec<u8>, SealError> {
        let length = SEAL_OVERHEAD + message.len();
        if length > LONGEST_DATAGRAM {
            return Err(SealError::TooLong { length });
        }
        self.last_sequence += 1;
        let nonce = Nonce {
            sender: self.node,
            sequence: self.last_sequence,
        };
        let nonce = nonce.encode(rand::random());
        let format = receiver.map_or(TO_ADDRESS, |_| TO_PROCESS);
        let payload = Payload {
            msg: message,
            aad: &associated_data(format, address, receiver),
        };
        let sealed = self
            .keys
            .sealing()
            .encrypt(&XNonce::from(nonce), payload)
            .map_err(|_| SealError::Cipher)?;
        let mut datagram = Vec::with_capacity(length);
        datagram.push(format);
        datagram.extend_from_slice(&nonce);
        datagram.extend_from_slice(&sealed);
        Ok(datagram)
    }

    /// What `datagram` carries. Nothing in it is trusted before a key has opened it.
    ///
    /// # Errors
    ///
    /// [`RejectReason`] says why it is to be dropped.
    pub fn open(&mut self, datagram: &[u8]) -> Result<Opened, RejectReason> {
        if datagram.len() > LONGEST_DATAGRAM {
            return Err(RejectReason::TooLong);
        }
        if datagram.len() < SEAL_OVERHEAD {
            return Err(RejectReason::Format);
        }
        let (header, sealed) = datagram.split_at(HEADER_LENGTH);
        let receiver = match header[0] {
            TO_ADDRESS => None,
            TO_PROCESS => Some(self.node),
            _ => return Err(RejectReason::Format),
        };
        let encoded = header[1..].try_into().map_err(|_| RejectReason::Format)?;
        let associated = associated_data(header[0], self.address, receiver);
        let message = self
            .decrypt(&XNonce::from(encoded), sealed, &associated)
            .ok_or(RejectReason::Forged)?;
        let nonce = Nonce::decode(&encoded);
        if nonce.sender == self.node {
            return Err(RejectReason::Reflected);
        }
        if !self.guard.accept(nonce.sender, nonce.sequence) {
            return Err(RejectReason::Replayed);
        }
        Ok(Opened {
            sender: nonce.sender,
            message,
        })
    }

    fn decrypt(&self, nonce: &XNonce, sealed: &[u8], associated: &[u8]) -> Option<Vec<u8>> {
        self.keys.opening().find_map(|cipher| {
            let payload = Payload {
                msg: sealed,
                aad: associated,
            };
            cipher.decrypt(nonce, payload).ok()
        })
    }
}

/// What a nonce holds besides random bits. No two datagrams have the same: a process draws
/// its identity at random and counts.
struct Nonce {
    sender: NodeId,
    sequence: u64,
}

impl Nonce {
    fn encode(&self, random: [u8; 8]) -> [u8; NONCE_LENGTH] {
        let mut encoded = [0; NONCE_LENGTH];
        encoded[..8].copy_from_slice(&self.sender.0.to_be_bytes());
        encoded[8..16].copy_from_slice(&self.sequence.to_be_bytes());
        encoded[16..].copy_from_slice(&random);
        encoded
    }

    fn decode(encoded: &[u8; NONCE_LENGTH]) -> Self {
        let number = |start: usize| {
            let mut bytes = [0; 8];
            bytes.copy_from_slice(&encoded[start..start + 8]);
            u64::from_be_bytes(bytes)
        };
        Self {
            sender: NodeId(number(0)),
            sequence: number(8),
        }
    }
}

/// What is authenticated with the message: where it is meant to go.
fn associated_data(format: u8, address: SocketAddr, receiver: Option<NodeId>) -> Vec<u8> {
    let mut data = vec![format];
    match address.ip() {
        IpAddr::V4(address) => data.extend_from_slice(&address.to_ipv6_mapped().octets()),
        IpAddr::V6(address) => data.extend_from_slice(&address.octets()),
    }
    data.extend_from_slice(&address.port().to_be_bytes());
    if let Some(receiver) = receiver {
        data.extend_from_slice(&receiver.0.to_be_bytes());
    }
    data
}
