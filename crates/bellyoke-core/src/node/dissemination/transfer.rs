//! A generation on its way from one node to another.

use crate::generation::Generation;
use crate::identity::GenerationNumber;
use crate::node::dissemination::message::{Chunk, MAXIMUM_CHUNK_BYTES};
use crate::node::member_history::MemberSet;
use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize, Serialize};
use thiserror::Error;
use twox_hash::XxHash3_128;

/// Longest transfer that is accepted, bytes.
pub const MAXIMUM_TRANSFER_BYTES: usize = 16 * 1024 * 1024;

/// Why a transfer is of no use.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TransferError {
    /// The bytes are not those that the sender took the digest of.
    #[error("the transfer of generation {generation} is damaged")]
    Damaged {
        /// The generation.
        generation: GenerationNumber,
    },
    /// The bytes are no transfer.
    #[error("not a valid transfer: {0}")]
    Invalid(String),
}

/// How the content of a generation is told.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum TransferContent {
    /// The whole content, encoded.
    Full(Vec<u8>),
    /// The receiver has it; it only lacks member sets.
    None,
}

/// A generation and the older member sets that still matter.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Transfer {
    /// Number of the generation.
    pub generation: GenerationNumber,
    /// Its content.
    pub content: TransferContent,
    /// Members of older generations whose barrier has not passed.
    pub older_sets: Vec<MemberSet>,
}

/// An encoded transfer, ready to be sent in parts.
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

    /// Number of parts.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.bytes.len().div_ceil(MAXIMUM_CHUNK_BYTES) as u32
    }

    /// The part at `index`.
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
    /// The transfer that `bytes` encode, if `digest` is theirs.
    ///
    /// # Errors
    ///
    /// [`TransferError`] if the bytes are damaged or no transfer.
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

/// The encoding of a generation's whole content.
pub fn encode_generation(generation: &Generation) -> Vec<u8> {
    generation.encode()
}

/// The generation that `bytes` encode.
///
/// # Errors
///
/// [`TransferError`] if they are malformed.
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
