//! Messages between balancers and their encoding.

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

/// Version of the peer protocol implemented by this crate.
pub const PROTOCOL_VERSION: u16 = 1;

/// Maximum length of a control message. It fits into a single datagram on common paths.
pub const MAXIMUM_CONTROL_MESSAGE_BYTES: usize = 1200;

/// Maximum length of any message. The longest ones contain a relayed packet.
pub const MAXIMUM_MESSAGE_BYTES: usize = 65_536 + MAXIMUM_CONTROL_MESSAGE_BYTES;

/// Overhead around an encoded message: the UDP header, and the version, nonce and tag of the
/// sealed envelope (XChaCha20-Poly1305).
const ENVELOPE_BYTES: usize = 8 + 1 + 24 + 16;

/// Returns the bytes sent to `address` in addition to an encoded message.
#[must_use]
pub const fn datagram_overhead(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(_) => 20 + ENVELOPE_BYTES,
        SocketAddr::V6(_) => 40 + ENVELOPE_BYTES,
    }
}

/// Content of a message, by protocol.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub enum MessageBody {
    /// Membership of the cluster.
    Membership(MembershipMessage),
    /// Renewal of leases for opening flows.
    Lease(LeaseMessage),
    /// Transfer of generations.
    Dissemination(DisseminationMessage),
    /// Acknowledgements of generations.
    Barrier(BarrierMessage),
    /// Pins of flows, and relayed packets. Boxed, since every encoded variant takes the size of
    /// the largest one.
    Ownership(Box<OwnershipMessage>),
}

/// A message between two balancers: a common header and a body.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct Message {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub version: u16,
    /// The sender.
    pub sender: NodeId,
    /// The newest generation known to the sender.
    pub generation: GenerationNumber,
    /// The newest generation acknowledged by the sender.
    pub acknowledged: GenerationNumber,
    /// The newest generation whose barrier has passed, as known to the sender.
    pub barrier: GenerationNumber,
    /// Content of the message.
    pub body: MessageBody,
}

/// Error of encoding a message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EncodeError {
    /// The message is longer than peers accept.
    #[error("message of {length} bytes exceeds the limit of {MAXIMUM_MESSAGE_BYTES}")]
    TooLong {
        /// Length of the message in bytes.
        length: usize,
    },
    /// The serializer failed.
    #[error("message cannot be encoded: {0}")]
    Serializer(String),
}

/// Error of decoding a message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The input is longer than a message may be.
    #[error("{length} bytes exceed the limit for a message of this kind")]
    TooLong {
        /// Length of the input in bytes.
        length: usize,
    },
    /// The input is not an encoded message.
    #[error("invalid message: {0}")]
    Invalid(String),
    /// The sender uses another protocol version.
    #[error("unsupported protocol version {version}, expected {PROTOCOL_VERSION}")]
    Version {
        /// The sender's version.
        version: u16,
    },
}

impl Message {
    /// Returns whether the message contains a client's packet and is traffic, not control.
    #[must_use]
    pub fn carries_packet(&self) -> bool {
        match &self.body {
            MessageBody::Ownership(body) => matches!(**body, OwnershipMessage::Relay(_)),
            _ => false,
        }
    }

    /// Encodes this message.
    ///
    /// # Errors
    ///
    /// Returns [`EncodeError`] if the message is longer than peers accept.
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

    /// Decodes a message from untrusted `bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the input is too long, malformed or of another version.
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

    /// Returns the maximum length of an encoded message of this kind.
    fn maximum_bytes(&self) -> usize {
        match &self.body {
            MessageBody::Ownership(_) => MAXIMUM_MESSAGE_BYTES,
            _ => MAXIMUM_CONTROL_MESSAGE_BYTES,
        }
    }
}
