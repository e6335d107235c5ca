//! Messages that carry generations.

use crate::identity::GenerationNumber;
use rkyv::{Archive, Deserialize, Serialize};

/// Longest content of one chunk, bytes.
pub const MAXIMUM_CHUNK_BYTES: usize = 1000;

/// Messages by which generations reach all nodes.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum DisseminationMessage {
    /// The sender newest_known the generation that the message's header names.
    Announce,
    /// Asks for a part of a generation that the sender lacks.
    Fetch {
        /// The generation wanted; the newest will do as well.
        generation: GenerationNumber,
        /// The newest that the sender newest_known: it can apply a difference to it.
        newest_known: GenerationNumber,
        /// Index of the first chunk wanted.
        first: u32,
        /// Number of chunks wanted.
        count: u32,
    },
    /// A part of a generation.
    Chunk(Box<Chunk>),
}

/// A part of an encoded [`Transfer`](super::transfer::Transfer).
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Chunk {
    /// The generation.
    pub generation: GenerationNumber,
    /// Digest of the whole transfer.
    pub digest: u128,
    /// Which part, counted from zero.
    pub index: u32,
    /// Number of parts.
    pub total: u32,
    /// The part.
    pub bytes: Vec<u8>,
}
