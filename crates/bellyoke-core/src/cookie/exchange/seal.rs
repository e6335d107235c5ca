//! Sealing and opening of messages between peers.
//!
//! Received bytes are untrusted: length, authentication tag and archive are validated.

use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize};
use thiserror::Error;

/// Version of the peer protocol of nodes that forward by cookie.
const PROTOCOL_VERSION: u8 = 9;

const TAG_BYTES: usize = blake3::OUT_LEN;
const HEADER_BYTES: usize = 2 + TAG_BYTES;

/// Error of decoding a peer message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The message is shorter or longer than allowed.
    #[error("{length} bytes is not a valid message length")]
    Length {
        /// Number of bytes.
        length: usize,
    },
    /// The message has another protocol version or kind.
    #[error("unexpected protocol version {version} or message kind {kind}")]
    Kind {
        /// The protocol version.
        version: u8,
        /// The kind byte.
        kind: u8,
    },
    /// The message was not sealed with this cluster's key, or it is corrupted.
    #[error("the authentication tag does not match")]
    Tag,
    /// The content is not a valid encoding.
    #[error("not a valid message: {0}")]
    Invalid(String),
    /// The message refers to an index that it does not define.
    #[error("the message does not define name or list {number}")]
    Reference {
        /// The undefined index.
        number: u16,
    },
}

/// Error of encoding a peer message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EncodeError {
    /// The serializer failed.
    #[error("the message cannot be encoded: {0}")]
    Serializer(String),
    /// The message has more names, or lists of services, than there are indices.
    #[error("too many names or lists of services: all {count} indices are in use")]
    TooManyNames {
        /// Number of entries that already have an index.
        count: usize,
    },
    /// The message is longer than peers accept.
    #[error("the message is too long: {length} bytes")]
    TooLong {
        /// Length in bytes.
        length: usize,
    },
}

/// The key that authenticates messages between peers. Without a key, tags only detect corruption.
#[derive(Clone, Default)]
pub struct PeerKey(Option<[u8; 32]>);

impl PeerKey {
    /// Creates a key that all nodes share.
    #[must_use]
    pub const fn new(key: [u8; 32]) -> Self {
        Self(Some(key))
    }

    fn tag(&self, kind: u8, archive: &[u8]) -> blake3::Hash {
        let mut hasher = match &self.0 {
            Some(key) => blake3::Hasher::new_keyed(key),
            None => blake3::Hasher::new(),
        };
        hasher.update(&[PROTOCOL_VERSION, kind]);
        hasher.update(archive);
        hasher.finalize()
    }

    pub(super) fn seal(
        &self,
        kind: u8,
        archive: &[u8],
        longest: usize,
    ) -> Result<Vec<u8>, EncodeError> {
        let length = HEADER_BYTES + archive.len();
        if length > longest {
            return Err(EncodeError::TooLong { length });
        }
        let mut bytes = Vec::with_capacity(length);
        bytes.extend_from_slice(&[PROTOCOL_VERSION, kind]);
        bytes.extend_from_slice(self.tag(kind, archive).as_bytes());
        bytes.extend_from_slice(archive);
        Ok(bytes)
    }

    pub(super) fn open(
        &self,
        kind: u8,
        bytes: &[u8],
        longest: usize,
    ) -> Result<AlignedVec, DecodeError> {
        let length = bytes.len();
        if !(HEADER_BYTES..=longest).contains(&length) {
            return Err(DecodeError::Length { length });
        }
        if bytes[0] != PROTOCOL_VERSION || bytes[1] != kind {
            return Err(DecodeError::Kind {
                version: bytes[0],
                kind: bytes[1],
            });
        }
        let archive = &bytes[HEADER_BYTES..];
        // Hashes compare in constant time.
        let tag = blake3::Hash::from_slice(&bytes[2..HEADER_BYTES]);
        if tag.ok() != Some(self.tag(kind, archive)) {
            return Err(DecodeError::Tag);
        }
        let mut aligned = AlignedVec::with_capacity(archive.len());
        aligned.extend_from_slice(archive);
        Ok(aligned)
    }
}

impl std::fmt::Debug for PeerKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let state = if self.0.is_some() { "set" } else { "not set" };
        write!(formatter, "PeerKey({state})")
    }
}

/// Archives and seals a message.
pub(super) fn encode<Message>(
    message: &Message,
    key: &PeerKey,
    kind: u8,
    longest: usize,
) -> Result<Vec<u8>, EncodeError>
where
    Message: for<'a> rkyv::Serialize<
            rkyv::api::high::HighSerializer<
                AlignedVec,
                rkyv::ser::allocator::ArenaHandle<'a>,
                rkyv::rancor::Error,
            >,
        >,
{
    key.seal(kind, &archived(message)?, longest)
}

pub(super) fn archived<Message>(message: &Message) -> Result<AlignedVec, EncodeError>
where
    Message: for<'a> rkyv::Serialize<
            rkyv::api::high::HighSerializer<
                AlignedVec,
                rkyv::ser::allocator::ArenaHandle<'a>,
                rkyv::rancor::Error,
            >,
        >,
{
    rkyv::to_bytes::<rkyv::rancor::Error>(message)
        .map_err(|error| EncodeError::Serializer(error.to_string()))
}

/// Opens and validates a message.
pub(super) fn decode<Message>(
    bytes: &[u8],
    key: &PeerKey,
    kind: u8,
    longest: usize,
) -> Result<Message, DecodeError>
where
    Message: Archive,
    Message::Archived: for<'a> rkyv::bytecheck::CheckBytes<rkyv::api::high::HighValidator<'a, rkyv::rancor::Error>>
        + Deserialize<Message, rkyv::api::high::HighDeserializer<rkyv::rancor::Error>>,
{
    validated(&key.open(kind, bytes, longest)?)
}

pub(super) fn validated<Message>(archive: &[u8]) -> Result<Message, DecodeError>
where
    Message: Archive,
    Message::Archived: for<'a> rkyv::bytecheck::CheckBytes<rkyv::api::high::HighValidator<'a, rkyv::rancor::Error>>
        + Deserialize<Message, rkyv::api::high::HighDeserializer<rkyv::rancor::Error>>,
{
    rkyv::from_bytes::<Message, rkyv::rancor::Error>(archive)
        .map_err(|error| DecodeError::Invalid(error.to_string()))
}
