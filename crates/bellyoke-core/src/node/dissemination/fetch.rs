//! Receiving side of a transfer.

use crate::identity::{GenerationNumber, NodeId};
use crate::node::dissemination::message::{Chunk, DisseminationMessage, MAXIMUM_CHUNK_BYTES};
use crate::node::dissemination::transfer::MAXIMUM_TRANSFER_BYTES;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// Number of chunks per request.
const WINDOW_CHUNKS: u32 = 4;

/// Number of consecutive requests without a useful chunk after which the peer is abandoned.
pub const MAXIMUM_FETCH_ATTEMPTS: u32 = 3;

/// Result of receiving a chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchProgress {
    /// The chunk is not useful and was ignored.
    Ignored,
    /// Further chunks of the window are outstanding.
    Waiting,
    /// The window is complete, and the next one is to be requested.
    NextWindow,
    /// The transfer is complete.
    Complete {
        /// The generation.
        generation: GenerationNumber,
        /// The digest given by the sender.
        digest: u128,
        /// The encoded transfer.
        bytes: Vec<u8>,
    },
}

/// Collects the chunks of one transfer from one peer.
#[derive(Debug)]
pub struct Fetch {
    /// The peer.
    pub from: NodeId,
    /// The requested generation.
    pub generation: GenerationNumber,
    /// Time at which the request is repeated.
    pub deadline: Timestamp,
    /// Number of requests since the last useful chunk.
    pub attempts: u32,
    identity: Option<(u128, u32)>,
    chunks: BTreeMap<u32, Vec<u8>>,
    window_end: u32,
}

impl Fetch {
    /// Returns an empty transfer of `generation` from the peer `from`.
    #[must_use]
    pub fn new(from: NodeId, generation: GenerationNumber) -> Self {
        Self {
            from,
            generation,
            deadline: Timestamp::ZERO,
            attempts: 0,
            identity: None,
            chunks: BTreeMap::new(),
            window_end: 0,
        }
    }

    /// Returns whether a request was repeated without receiving a useful chunk, in which case
    /// another peer may replace this one.
    #[must_use]
    pub fn is_stalled(&self) -> bool {
        self.attempts > 1
    }

    /// Returns the request for the next missing chunks.
    pub fn request(&mut self, newest_known: GenerationNumber) -> DisseminationMessage {
        let first = self.first_missing();
        let mut end = first + WINDOW_CHUNKS;
        if let Some((_, total)) = self.identity {
            end = end.min(total);
        }
        self.window_end = end;
        self.attempts += 1;
        DisseminationMessage::Fetch {
            generation: self.generation,
            newest_known,
            first,
            count: end - first,
        }
    }

    /// Stores a chunk.
    pub fn receive(&mut self, chunk: Chunk) -> FetchProgress {
        if !is_plausible(&chunk) || chunk.generation < self.generation {
            return FetchProgress::Ignored;
        }
        let identity = (chunk.digest, chunk.total);
        if chunk.generation > self.generation || self.identity != Some(identity) {
            self.restart(chunk.generation, identity);
        }
        if self.chunks.insert(chunk.index, chunk.bytes).is_some() {
            return FetchProgress::Ignored;
        }
        self.attempts = 0;
        if self.chunks.len() == chunk.total as usize {
            return self.complete(chunk.digest);
        }
        if self.first_missing() >= self.window_end.min(chunk.total) {
            return FetchProgress::NextWindow;
        }
        FetchProgress::Waiting
    }

    fn restart(&mut self, generation: GenerationNumber, identity: (u128, u32)) {
        self.generation = generation;
        self.identity = Some(identity);
        self.chunks.clear();
    }

    fn complete(&mut self, digest: u128) -> FetchProgress {
        let chunks = std::mem::take(&mut self.chunks);
        FetchProgress::Complete {
            generation: self.generation,
            digest,
            bytes: chunks.into_values().flatten().collect(),
        }
    }

    fn first_missing(&self) -> u32 {
        let contiguous = self
            .chunks
            .keys()
            .zip(0..)
            .take_while(|(index, at)| **index == *at);
        contiguous.count() as u32
    }
}

fn is_plausible(chunk: &Chunk) -> bool {
    let maximum_chunks = (MAXIMUM_TRANSFER_BYTES / MAXIMUM_CHUNK_BYTES) as u32;
    let length = chunk.bytes.len();
    chunk.total <= maximum_chunks
        && chunk.index < chunk.total
        && (1..=MAXIMUM_CHUNK_BYTES).contains(&length)
}
