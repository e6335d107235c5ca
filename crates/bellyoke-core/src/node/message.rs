//! What balancers say to each other, and its encoding.

use crate::identity::{GenerationNumber, NodeId};
use crate::node::barrier::BarrierMessage;
use crate::node::dissemination::DisseminationMessage;
use crate::node::lease::LeaseMessage;
use crate::node::membership::MembershipMessage;
use crate::node::ownership::OwnershipMessage;
use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// Version of the peer protocol that this crate speaks.
pub const PROTOCOL_VERSION: u16 = 1;

/// Longest control message, bytes: it fits one datagram on any usual path.
pub const MAXIMUM_CONTROL_MESSAGE_BYTES: usize = 1200;

/// Longest message of all, bytes: one that carries a relayed packet.
pub const MAXIMUM_MESSAGE_BYTES: usize = 65_536 + MAXIMUM_CONTROL_MESSAGE_BYTES;

/// Bytes of the UDP header, and of version, nonce and tag of the sealed envelope
/// (XChaCha20-Poly1305), around an encoded message.
const ENVELOPE_BYTES: usize = 8 + 1 + 24 + 16;

/// Bytes that sending a message to `address` costs besides its encoding.
#[must_use]
pub const fn datagram_overhead(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(_) => 20 + ENVELOPE_BYTES,
        SocketAddr::V6(_) => 40 + ENVELOPE_BYTES,
    }
}

/// What a message is about.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub enum MessageBody {
    /// Who takes part.
    Membership(MembershipMessage),
    /// Whether the sender may open flows.
    Lease(LeaseMessage),
    /// Contents of generations.
    Dissemination(DisseminationMessage),
    /// Acknowledgements of generations.
    Barrier(BarrierMessage),
    /// Pins of flows and relayed packets. Boxed, since an encoded variant takes the room of
    /// the largest.
    Ownership(Box<OwnershipMessage>),
}

/// A message between two balancers: a body and what every message tells.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct Message {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub version: u16,
    /// Who sent it.
    pub sender: NodeId,
    /// The newest generation that the sender holds.
    pub generation: GenerationNumber,
    /// The newest generation that the sender has acknowledged.
    pub acknowledged: GenerationNumber,
    /// The newest generation whose barrier is known to have passed.
    pub barrier: GenerationNumber,
    /// What it is about.
    pub body: MessageBody,
}

/// Why a message could not be encoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EncodeError {
    /// It is longer than peers accept.
    #[error("a message of {length} bytes is longer than {MAXIMUM_MESSAGE_BYTES}")]
    TooLong {
        /// Its length, bytes.
        length: usize,
    },
    /// The serializer failed.
    #[error("the message cannot be encoded: {0}")]
    Serializer(String),
}

/// Why bytes are no message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// Longer than a message may be.
    #[error("{length} bytes are more than a message of this kind may have")]
    TooLong {
        /// Number of bytes.
        length: usize,
    },
    /// Not the encoding of a message.
    #[error("not a valid message: {0}")]
    Invalid(String),
    /// From a node that speaks another version.
    #[error("protocol version {version}, not {PROTOCOL_VERSION}")]
    Version {
        /// The sender's version.
        version: u16,
    },
}

impl Message {
    /// Whether it carries a caller's packet, and so is traffic rather than control.
    #[must_use]
    pub fn carries_packet(&self) -> bool {
        match &self.body {
            MessageBody::Ownership(body) => matches!(**body, OwnershipMessage::Relay(_)),
            _ => false,
        }
    }

    /// The bytes of this message.
    ///
    /// # Errors
    ///
    /// [`EncodeError`] if it is too long for a peer to accept.
    pub fn encode(&self) -> Result<Vec<u8>, EncodeError> {
        let bytes = rkyv::to_bytes::<rkyv::rancor::Error>(self)
            .map_err(|error| EncodeError::Serializer(error.to_string()))?;
        if bytes.len() > self.maximum_bytes() {
            return Err(EncodeError::TooLong {
                length: bytes.len(),
            });
        }
        Ok(bytes.into_vec())
    }

    /// The message that `bytes` encode. Nothing in them is trusted.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if they are too long, malformed or of another version.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let length = bytes.len();
        if length > MAXIMUM_MESSAGE_BYTES {
            return Err(DecodeError::TooLong { length });
        }
        let mut aligned: AlignedVec = AlignedVec::with_capacity(length);
        aligned.extend_from_slice(bytes);
        let message = rkyv::from_bytes::<Self, rkyv::rancor::Error>(&aligned)
            .map_err(|error| DecodeError::Invalid(error.to_string()))?;
        if message.version != PROTOCOL_VERSION {
            return Err(DecodeError::Version {
                version: message.version,
            });
        }
        if length > message.maximum_bytes() {
            return Err(DecodeError::TooLong { length });
        }
        Ok(message)
    }

    /// Longest encoding that a message of this kind may have, bytes.
    fn maximum_bytes(&self) -> usize {
        match &self.body {
            MessageBody::Ownership(_) => MAXIMUM_MESSAGE_BYTES,
            _ => MAXIMUM_CONTROL_MESSAGE_BYTES,
        }
    }
}
