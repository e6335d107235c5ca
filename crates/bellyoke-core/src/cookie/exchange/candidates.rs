//! Which nodes watch the store for all.
//!
//! Nodes claim the duty for themselves and tell each other the best claims they know, ranked by what
//! their machines can bear, spread over zones, and by rendezvous hash among equals (a gossiped top-k
//! aggregate), so that all soon know the same few whatever the size of the cluster. A claim carries its age; a node that dies, leaves or loses the store ceases
//! to renew its claim, and the next ones take over.

use crate::cookie::capacity::NodePlace;
use crate::time::Timestamp;
use rkyv::{Archive, Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;
use twox_hash::XxHash3_64;

/// Nodes that watch the store: one for the newest state, the others by cheaper stale reads.
pub const WATCHERS: usize = 3;

/// A claim that was not renewed for so long counts for nothing.
pub const CLAIM_LIFETIME: Duration = Duration::from_secs(5);

/// Keeps the choice of watchers apart from other hashes of addresses.
const RANK_SEED: u64 = 0x7265_6164_6572_0001;

/// A node's claim, as nodes tell each other of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct WatcherClaim {
    /// The node's peer address.
    pub address: SocketAddrV4,
    /// Where it stands, and what it can bear.
    pub place: NodePlace,
    /// How long ago the node itself made it, milliseconds.
    pub age_milliseconds: u32,
}

/// What a node reads of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreDuty {
    /// It watches for the newest state.
    Reader,
    /// It watches by stale reads.
    Backup,
    /// It rests while others tell it enough.
    Listener,
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    address: SocketAddrV4,
    place: NodePlace,
    made_at: Timestamp,
}

/// The best claims that a node knows.
#[derive(Debug, Default)]
pub(super) struct ClaimTable {
    /// By rank.
    claims: Vec<Claim>,
}

impl ClaimTable {
    /// Notes a claim that was made at a time. The last that a node made counts, also if it ranks lower.
    pub(super) fn record(&mut self, address: SocketAddrV4, place: NodePlace, made_at: Timestamp) {
        let current = self
            .claims
            .iter_mut()
            .find(|claim| claim.address == address);
        let claim = Claim {
            address,
            place,
            made_at,
        };
        match current {
            None => self.claims.push(claim),
            Some(current) if made_at >= current.made_at => *current = claim,
            Some(_) => {}
        }
    }

    /// Takes a node's claim back.
    pub(super) fn withdraw(&mut self, address: SocketAddrV4) {
        self.claims.retain(|claim| claim.address != address);
    }

    /// Keeps the best claims that still count. What it keeps of the best that several nodes keep is the
    /// best of all, so that the order in which claims are heard doesn't matter.
    pub(super) fn trim(&mut self, now: Timestamp) {
        self.claims
            .retain(|claim| now.since(claim.made_at) < CLAIM_LIFETIME);
        let claims = std::mem::take(&mut self.claims);
        self.claims = rank_nodes(claims, |claim| (claim.address, claim.place));
        self.claims.truncate(WATCHERS);
    }

    /// The claims, for peers.
    pub(super) fn claims(&self, now: Timestamp) -> Vec<WatcherClaim> {
        let claims = self.claims.iter();
        let claims = claims.map(|claim| WatcherClaim {
            address: claim.address,
            place: claim.place,
            age_milliseconds: super::milliseconds_since(now, claim.made_at),
        });
        claims.collect()
    }

    /// Where a node's claim stands among them.
    pub(super) fn rank_of(&self, address: SocketAddrV4) -> Option<usize> {
        self.claims
            .iter()
            .position(|claim| claim.address == address)
    }

    /// The duty that falls to a node by its claim.
    pub(super) fn duty(&self, address: SocketAddrV4) -> StoreDuty {
        match self.rank_of(address) {
            Some(0) => StoreDuty::Reader,
            Some(place) if place < WATCHERS => StoreDuty::Backup,
            _ => StoreDuty::Listener,
        }
    }
}

/// Puts nodes in the order in which duties fall to them: the largest first; of those of one class the first of each zone,
/// then the second, and so on; by hash among equals.
pub(super) fn rank_nodes<Node>(
    nodes: Vec<Node>,
    identity: impl Fn(&Node) -> (SocketAddrV4, NodePlace),
) -> Vec<Node> {
    let ranked = nodes.into_iter().map(|node| {
        let (address, place) = identity(&node);
        (
            Reverse(place.class),
            watcher_rank(address),
            place.zone,
            node,
        )
    });
    let mut ranked: Vec<_> = ranked.collect();
    ranked.sort_unstable_by_key(|(class, hash, ..)| (*class, *hash));
    let mut before: BTreeMap<_, u32> = BTreeMap::new();
    let placed = ranked.into_iter().map(|(class, hash, zone, node)| {
        let count = before.entry((class, zone)).or_default();
        *count += 1;
        ((class, *count, hash), node)
    });
    let mut placed: Vec<_> = placed.collect();
    placed.sort_unstable_by_key(|(rank, _)| *rank);
    placed.into_iter().map(|(_, node)| node).collect()
}

fn watcher_rank(address: SocketAddrV4) -> u64 {
    let mut bytes = [0; 6];
    bytes[..4].copy_from_slice(&address.ip().octets());
    bytes[4..].copy_from_slice(&address.port().to_be_bytes());
    XxHash3_64::oneshot_with_seed(RANK_SEED, &bytes)
}
