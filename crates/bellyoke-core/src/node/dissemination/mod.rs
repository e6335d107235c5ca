//! Dissemination of generations to all nodes: new ones are announced to random peers and fetched
//! on demand.
//!
//! Every message header contains the newest generation of its sender. A receiver with an older
//! one fetches the newer one from the sender, in chunks that each fit into a datagram.

mod fetch;
mod message;
mod transfer;

pub use message::{Chunk, DisseminationMessage, MAXIMUM_CHUNK_BYTES};
pub use transfer::{TransferError, decode_generation, encode_generation};

use crate::generation::Generation;
use crate::identity::{GenerationNumber, NodeId};
use crate::node::member_history::MemberSet;
use crate::node::settings::NodeSettings;
use crate::time::Timestamp;
use fetch::{Fetch, FetchProgress, MAXIMUM_FETCH_ATTEMPTS};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use transfer::{EncodedTransfer, Transfer, TransferContent};

/// Maximum number of encoded transfers that are cached while peers fetch them.
const MAXIMUM_CACHED_TRANSFERS: usize = 8;

/// Maximum number of chunks in reply to one request.
const MAXIMUM_CHUNKS_PER_REQUEST: u32 = 16;

/// Action requested by dissemination.
#[derive(Clone, Debug)]
pub enum DisseminationEffect {
    /// Sends a message.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: DisseminationMessage,
    },
    /// A newer generation was received, along with older member sets.
    Received(Arc<Generation>, Vec<MemberSet>),
    /// Member sets of older generations were received.
    ReceivedMemberSets(Vec<MemberSet>),
    /// A transfer from this peer was rejected.
    Rejected(NodeId, TransferError),
}

#[derive(Debug)]
struct CachedTransfer {
    generation: GenerationNumber,
    content_needed: bool,
    encoded: EncodedTransfer,
}

/// Sends and receives generations.
#[derive(Debug)]
pub struct Dissemination {
    settings: NodeSettings,
    newest: Option<Arc<Generation>>,
    fetch: Option<Fetch>,
    cached: VecDeque<CachedTransfer>,
    /// Peers currently being served, with the time at which their slots expire.
    serving: BTreeMap<NodeId, Timestamp>,
}

impl Dissemination {
    /// Returns the state of a node without a generation.
    #[must_use]
    pub fn new(settings: NodeSettings) -> Self {
        Self {
            settings,
            newest: None,
            fetch: None,
            cached: VecDeque::new(),
            serving: BTreeMap::new(),
        }
    }

    /// Sets the newest generation and cancels a fetch that it makes redundant.
    pub fn set_newest(&mut self, generation: &Arc<Generation>) {
        self.newest = Some(Arc::clone(generation));
        let number = generation.number;
        if self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.generation <= number)
        {
            self.fetch = None;
        }
    }

    /// Records that `from` has `generation`, and starts to fetch it if it is newer.
    pub fn record_peer_generation(
        &mut self,
        now: Timestamp,
        from: NodeId,
        generation: GenerationNumber,
    ) -> Vec<DisseminationEffect> {
        let busy = self.fetch.as_ref().is_some_and(|fetch| !fetch.is_stalled());
        if generation <= self.number() || busy {
            return Vec::new();
        }
        self.fetch = Some(Fetch::new(from, generation));
        self.request(now)
    }

    /// Fetches the older member sets known to `from`, unless a fetch is in progress.
    pub fn fetch_member_sets(&mut self, now: Timestamp, from: NodeId) -> Vec<DisseminationEffect> {
        if self.fetch.is_some() {
            return Vec::new();
        }
        self.fetch = Some(Fetch::new(from, self.number()));
        self.request(now)
    }

    /// Processes a message from `from`. `older_sets` returns the older member sets known to this
    /// node.
    pub fn handle(
        &mut self,
        now: Timestamp,
        from: NodeId,
        message: DisseminationMessage,
        older_sets: impl FnOnce() -> Vec<MemberSet>,
    ) -> Vec<DisseminationEffect> {
        match message {
            DisseminationMessage::Announce => Vec::new(),
            DisseminationMessage::Fetch {
                generation,
                newest_known,
                first,
                count,
            } => {
                if !self.admit_peer(now, from) {
                    return Vec::new();
                }
                self.serve(from, generation, newest_known, first, count, older_sets)
            }
            DisseminationMessage::Chunk(chunk) => self.receive(now, from, *chunk),
        }
    }

    /// Repeats or abandons the fetch in progress if its deadline has passed.
    pub fn timeout(&mut self, now: Timestamp) -> Vec<DisseminationEffect> {
        let Some(fetch) = &self.fetch else {
            return Vec::new();
        };
        if now < fetch.deadline {
            return Vec::new();
        }
        if fetch.attempts >= MAXIMUM_FETCH_ATTEMPTS {
            self.fetch = None;
            return Vec::new();
        }
        self.request(now)
    }

    /// Returns the time at which [`Self::timeout`] is due.
    #[must_use]
    pub fn next_timeout(&self) -> Option<Timestamp> {
        self.fetch.as_ref().map(|fetch| fetch.deadline)
    }

    fn number(&self) -> GenerationNumber {
        let newest = self.newest.as_ref();
        newest.map_or(GenerationNumber(0), |newest| newest.number)
    }

    fn request(&mut self, now: Timestamp) -> Vec<DisseminationEffect> {
        let newest_known = self.number();
        let Some(fetch) = &mut self.fetch else {
            return Vec::new();
        };
        let message = fetch.request(newest_known);
        fetch.deadline = now.after(self.settings.resend_interval * fetch.attempts);
        vec![DisseminationEffect::Send {
            to: fetch.from,
            message,
        }]
    }

    fn receive(&mut self, now: Timestamp, from: NodeId, chunk: Chunk) -> Vec<DisseminationEffect> {
        let Some(fetch) = &mut self.fetch else {
            return Vec::new();
        };
        if fetch.from != from {
            return Vec::new();
        }
        match fetch.receive(chunk) {
            FetchProgress::Ignored => Vec::new(),
            FetchProgress::Waiting => {
                fetch.deadline = now.after(self.settings.resend_interval);
                Vec::new()
            }
            FetchProgress::NextWindow => self.request(now),
            FetchProgress::Complete {
                generation,
                digest,
                bytes,
            } => {
                self.fetch = None;
                vec![self.complete(from, generation, digest, &bytes)]
            }
        }
    }

    fn complete(
        &self,
        from: NodeId,
        generation: GenerationNumber,
        digest: u128,
        bytes: &[u8],
    ) -> DisseminationEffect {
        match self.decode(generation, digest, bytes) {
            Ok(effect) => effect,
            Err(error) => DisseminationEffect::Rejected(from, error),
        }
    }

    fn decode(
        &self,
        generation: GenerationNumber,
        digest: u128,
        bytes: &[u8],
    ) -> Result<DisseminationEffect, TransferError> {
        let transfer = Transfer::decode(generation, digest, bytes)?;
        let content = match transfer.content {
            TransferContent::None => {
                return Ok(DisseminationEffect::ReceivedMemberSets(transfer.older_sets));
            }
            TransferContent::Full(bytes) => decode_generation(&bytes)?,
        };
        if content.number != generation {
            return Err(TransferError::Damaged { generation });
        }
        let content = Arc::new(content);
        Ok(DisseminationEffect::Received(content, transfer.older_sets))
    }

    /// Returns whether `peer` may be served now. Only a few peers are served at the same time, which
    /// lets them finish early and serve others.
    fn admit_peer(&mut self, now: Timestamp, peer: NodeId) -> bool {
        self.serving.retain(|_, until| *until > now);
        let admitted = self.serving.contains_key(&peer);
        if !admitted && self.serving.len() >= self.settings.fan_out {
            return false;
        }
        let until = now.after(2 * self.settings.resend_interval);
        self.serving.insert(peer, until);
        true
    }

    fn serve(
        &mut self,
        to: NodeId,
        generation: GenerationNumber,
        newest_known: GenerationNumber,
        first: u32,
        count: u32,
        older_sets: impl FnOnce() -> Vec<MemberSet>,
    ) -> Vec<DisseminationEffect> {
        let content_needed = newest_known < generation;
        let Some(cached) = self.cached_transfer(generation, content_needed, first, older_sets)
        else {
            return Vec::new();
        };
        let count = count.min(MAXIMUM_CHUNKS_PER_REQUEST);
        let indexes = first..first.saturating_add(count);
        let chunks = indexes.filter_map(|index| cached.encoded.chunk(index));
        chunks
            .map(|chunk| DisseminationEffect::Send {
                to,
                message: DisseminationMessage::Chunk(Box::new(chunk)),
            })
            .collect()
    }

    /// Returns the cached transfer requested by a peer, or caches a new one of the newest
    /// generation.
    fn cached_transfer(
        &mut self,
        generation: GenerationNumber,
        content_needed: bool,
        first: u32,
        older_sets: impl FnOnce() -> Vec<MemberSet>,
    ) -> Option<&CachedTransfer> {
        let matches = |cached: &CachedTransfer| {
            cached.generation == generation && cached.content_needed == content_needed
        };
        // A transfer of member sets is rebuilt at its first chunk, since the sets change.
        let must_rebuild = !content_needed && first == 0;
        if let Some(index) = self
            .cached
            .iter()
            .position(matches)
            .filter(|_| !must_rebuild)
        {
            return self.cached.get(index);
        }
        let newest = self.newest.as_ref()?;
        let content = if content_needed {
            TransferContent::Full(encode_generation(newest))
        } else {
            TransferContent::None
        };
        let transfer = Transfer {
            generation: newest.number,
            content,
            older_sets: older_sets(),
        };
        let cached = CachedTransfer {
            generation: newest.number,
            content_needed,
            encoded: EncodedTransfer::new(&transfer),
        };
        self.cached.retain(|other| {
            other.generation != cached.generation || other.content_needed != cached.content_needed
        });
        if self.cached.len() >= MAXIMUM_CACHED_TRANSFERS {
            self.cached.pop_front();
        }
        self.cached.push_back(cached);
        self.cached.back()
    }
}
