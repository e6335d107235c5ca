//! Messages of the dissemination protocol.

use crate::identity::GenerationNumber;
use rkyv::{Archive, Deserialize, Serialize};

/// Maximum length of the content of a chunk.
pub const MAXIMUM_CHUNK_BYTES: usize = 1000;

/// Messages that announce and transfer generations.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum DisseminationMessage {
    /// The sender has the generation given in the message header.
    Announce,
    /// Requests part of a generation that the sender lacks.
    Fetch {
        /// The requested generation. The receiver may send the newest one instead.
        generation: GenerationNumber,
        /// The newest generation known to the sender. If it is the requested one, only member
        /// sets are requested.
        newest_known: GenerationNumber,
        /// Index of the first requested chunk.
        first: u32,
        /// Number of requested chunks.
        count: u32,
    },
    /// Part of a generation.
    Chunk(Box<Chunk>),
}

/// Part of an encoded [`Transfer`](super::transfer::Transfer).
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Chunk {
    /// The transferred generation.
    pub generation: GenerationNumber,
    /// Digest of the complete transfer.
    pub digest: u128,
    /// Index of the chunk, counted from zero.
    pub index: u32,
    /// Number of chunks in the transfer.
    pub total: u32,
    /// Content of the chunk.
    pub bytes: Vec<u8>,
}
