//! Encoding of a generation for transfer between nodes.

use crate::generation::Generation;
use crate::identity::GenerationNumber;
use crate::node::dissemination::message::{Chunk, MAXIMUM_CHUNK_BYTES};
use crate::node::member_history::MemberSet;
use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize, Serialize};
use thiserror::Error;
use twox_hash::XxHash3_128;

/// Maximum length of a transfer that is accepted.
pub const MAXIMUM_TRANSFER_BYTES: usize = 16 * 1024 * 1024;

/// Reason for rejecting a transfer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TransferError {
    /// The digest or the generation number doesn't match.
    #[error("transfer of generation {generation} is damaged")]
    Damaged {
        /// The generation.
        generation: GenerationNumber,
    },
    /// The bytes are not an encoded transfer.
    #[error("invalid transfer: {0}")]
    Invalid(String),
}

/// Content of a transferred generation.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum TransferContent {
    /// The complete content, encoded.
    Full(Vec<u8>),
    /// No content: the receiver has the generation and only lacks member sets.
    None,
}

/// A generation, and the older member sets that are still relevant.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Transfer {
    /// Number of the generation.
    pub generation: GenerationNumber,
    /// Content of the generation.
    pub content: TransferContent,
    /// Members of older generations whose barrier has not passed.
    pub older_sets: Vec<MemberSet>,
}

/// An encoded transfer, to be sent in chunks.
#[derive(Clone, Debug)]
pub struct EncodedTransfer {
    generation: GenerationNumber,
    digest: u128,
    bytes: Vec<u8>,
}

impl EncodedTransfer {
    /// Encodes `transfer`.
    #[must_use]
    pub fn new(transfer: &Transfer) -> Self {
        let bytes = encode(transfer);
        Self {
            generation: transfer.generation,
            digest: XxHash3_128::oneshot(&bytes),
            bytes,
        }
    }

    /// Returns the number of chunks.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.bytes.len().div_ceil(MAXIMUM_CHUNK_BYTES) as u32
    }

    /// Returns the chunk at `index`.
    #[must_use]
    pub fn chunk(&self, index: u32) -> Option<Chunk> {
        let bytes = self.bytes.chunks(MAXIMUM_CHUNK_BYTES).nth(index as usize)?;
        Some(Chunk {
            generation: self.generation,
            digest: self.digest,
            index,
            total: self.total(),
            bytes: bytes.to_vec(),
        })
    }
}

impl Transfer {
    /// Decodes a transfer after checking `digest`.
    ///
    /// # Errors
    ///
    /// Returns [`TransferError`] if the bytes are damaged or malformed.
    pub fn decode(
        generation: GenerationNumber,
        digest: u128,
        bytes: &[u8],
    ) -> Result<Self, TransferError> {
        if XxHash3_128::oneshot(bytes) != digest {
            return Err(TransferError::Damaged { generation });
        }
        decode(bytes)
    }
}

/// Encodes the complete content of a generation.
pub fn encode_generation(generation: &Generation) -> Vec<u8> {
    generation.encode()
}

/// Decodes the content of a generation.
///
/// # Errors
///
/// Returns [`TransferError`] if the bytes are malformed.
pub fn decode_generation(bytes: &[u8]) -> Result<Generation, TransferError> {
    Generation::decode(bytes).map_err(|error| TransferError::Invalid(error.to_string()))
}

type Serializer<'a> = rkyv::api::high::HighSerializer<
    AlignedVec,
    rkyv::ser::allocator::ArenaHandle<'a>,
    rkyv::rancor::Error,
>;
type Validator<'a> = rkyv::api::high::HighValidator<'a, rkyv::rancor::Error>;
type Deserializer = rkyv::api::high::HighDeserializer<rkyv::rancor::Error>;

fn encode<T: for<'a> Serialize<Serializer<'a>>>(value: &T) -> Vec<u8> {
    rkyv::to_bytes::<rkyv::rancor::Error>(value)
        .map(AlignedVec::into_vec)
        .unwrap_or_default()
}

fn decode<T>(bytes: &[u8]) -> Result<T, TransferError>
where
    T: Archive,
    T::Archived: for<'a> rkyv::bytecheck::CheckBytes<Validator<'a>> + Deserialize<T, Deserializer>,
{
    let mut aligned: AlignedVec = AlignedVec::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<T, rkyv::rancor::Error>(&aligned)
        .map_err(|error| TransferError::Invalid(error.to_string()))
}
