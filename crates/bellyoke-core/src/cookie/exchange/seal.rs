//! How messages between peers are sealed and opened.
//!
//! Nothing received is trusted: length, tag and archive are validated.

use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize};
use thiserror::Error;

/// Version of the peer protocol of nodes that forward by cookie.
const PROTOCOL_VERSION: u8 = 8;

const TAG_LENGTH: usize = blake3::OUT_LEN;
const HEADER_LENGTH: usize = 2 + TAG_LENGTH;

/// Why bytes are no message of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// Shorter or longer than a message may be.
    #[error("{length} bytes are no message")]
    Length {
        /// Number of bytes.
        length: usize,
    },
    /// Another protocol version or kind.
    #[error("protocol version {version}, kind {kind}")]
    Kind {
        /// The version.
        version: u8,
        /// The kind.
        kind: u8,
    },
    /// Not sealed with this cluster's key, or damaged.
    #[error("the authentication tag doesn't match")]
    Tag,
    /// Not the encoding of a message.
    #[error("not a valid message: {0}")]
    Invalid(String),
    /// It refers to something that it doesn't hold.
    #[error("name or list {number} is missing")]
    Reference {
        /// The number of what is missing.
        number: u16,
    },
}

/// Why a message could not be encoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EncodeError {
    /// The serializer failed.
    #[error("the message cannot be encoded: {0}")]
    Serializer(String),
    /// More names, or lists of services, than can be numbered.
    #[error("{count} names or lists of services are too many")]
    TooManyNames {
        /// How many were numbered.
        count: usize,
    },
    /// Longer than peers accept.
    #[error("a message of {length} bytes is too long")]
    TooLong {
        /// Its length, bytes.
        length: usize,
    },
}

/// The key by which peers know each other's messages. Without one, tags only guard against
/// damage.
#[derive(Clone, Default)]
pub struct PeerKey(Option<[u8; 32]>);

impl PeerKey {
    /// A key shared by all nodes.
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
        let length = HEADER_LENGTH + archive.len();
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
        if !(HEADER_LENGTH..=longest).contains(&length) {
            return Err(DecodeError::Length { length });
        }
        if bytes[0] != PROTOCOL_VERSION || bytes[1] != kind {
            return Err(DecodeError::Kind {
                version: bytes[0],
                kind: bytes[1],
            });
        }
        let archive = &bytes[HEADER_LENGTH..];
        // Hashes compare in constant time.
        let tag = blake3::Hash::from_slice(&bytes[2..HEADER_LENGTH]);
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
