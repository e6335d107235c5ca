//! How generations reach all nodes: pushed to some peers, pulled by the rest.
//!
//! Every message names the newest generation of its sender. Whoever newest_known an older one fetches
//! it from that sender, in chunks that fit a datagram each.

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

/// Encoded transfers that are cached for peers that are still fetching them.
const MAXIMUM_CACHED_TRANSFERS: usize = 8;

/// Most chunks that one request is answered with.
const MAXIMUM_CHUNKS_PER_REQUEST: u32 = 16;

/// What dissemination wants done.
#[derive(Clone, Debug)]
pub enum DisseminationEffect {
    /// Send a message.
    Send {
        /// The receiver.
        to: NodeId,
        /// What to say.
        message: DisseminationMessage,
    },
    /// A newer generation is here, with older member sets.
    Received(Arc<Generation>, Vec<MemberSet>),
    /// Member sets of older generations are here.
    ReceivedMemberSets(Vec<MemberSet>),
    /// A transfer was of no use.
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
    /// Peers that are being served, and until when they are taken to be.
    serving: BTreeMap<NodeId, Timestamp>,
}

impl Dissemination {
    /// A node that newest_known no generation.
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

    /// This node newest_known `generation` now.
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

    /// A message's header says that `from` newest_known `generation`.
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

    /// Fetches the older member sets that `from` has.
    pub fn fetch_member_sets(&mut self, now: Timestamp, from: NodeId) -> Vec<DisseminationEffect> {
        if self.fetch.is_some() {
            return Vec::new();
        }
        self.fetch = Some(Fetch::new(from, self.number()));
        self.request(now)
    }

    /// Takes in a message of `from`. `older_sets` are those that this node knows.
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

    /// Lets time pass.
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

    /// When [`Self::timeout`] has something to do.
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

    /// Only a few peers are served at a time, so that some are soon done and serve others.
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

    /// The transfer that a peer is fetching, or a new one of the newest generation.
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
        // The beginning of a transfer of member sets is made anew, since those change.
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
