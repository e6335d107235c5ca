//! Election of the nodes that watch the store for all.
//!
//! Nodes claim the duty and exchange the best claims that they know. Claims are ranked by machine
//! capacity, spread over zones, and ordered by rendezvous hash among equals (a gossiped top-k
//! aggregate); all nodes soon agree on the same few, whatever the size of the cluster. A claim
//! carries its age. A node that dies, leaves or loses the store stops renewing its claim, and the
//! next nodes take over.

use crate::cookie::capacity::NodePlace;
use crate::time::Timestamp;
use rkyv::{Archive, Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;
use twox_hash::XxHash3_64;

/// Number of nodes that watch the store: one reads the newest state, the others use cheaper stale
/// reads.
pub const WATCHERS: usize = 3;

/// A claim that is not renewed for this time expires.
pub const CLAIM_LIFETIME: Duration = Duration::from_secs(5);

/// Hash seed that makes the choice of watchers independent of other hashes of addresses.
const RANK_SEED: u64 = 0x7265_6164_6572_0001;

/// A node's claim to watch the store, as sent in heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct WatcherClaim {
    /// The node's peer address.
    pub address: SocketAddrV4,
    /// Zone and capacity class of the node.
    pub place: NodePlace,
    /// Time since the node itself made the claim, in milliseconds.
    pub age_milliseconds: u32,
}

/// A node's duty in reading the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreDuty {
    /// The node watches the newest state.
    Reader,
    /// The node watches with stale reads.
    Backup,
    /// The node stays idle while other nodes send it enough.
    Listener,
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    address: SocketAddrV4,
    place: NodePlace,
    made_at: Timestamp,
}

/// The best known claims.
#[derive(Debug, Default)]
pub(super) struct ClaimTable {
    /// In order of rank.
    claims: Vec<Claim>,
}

impl ClaimTable {
    /// Records a claim made at `made_at`. The latest claim of a node replaces earlier ones, even if
    /// it ranks lower.
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

    /// Removes a node's claim.
    pub(super) fn withdraw(&mut self, address: SocketAddrV4) {
        self.claims.retain(|claim| claim.address != address);
    }

    /// Keeps the best claims that have not expired. The best of the best claims of several nodes
    /// are the best claims overall, and the result does not depend on the order in which claims
    /// arrive.
    pub(super) fn trim(&mut self, now: Timestamp) {
        self.claims
            .retain(|claim| now.since(claim.made_at) < CLAIM_LIFETIME);
        let claims = std::mem::take(&mut self.claims);
        self.claims = rank_nodes(claims, |claim| (claim.address, claim.place));
        self.claims.truncate(WATCHERS);
    }

    /// Returns the claims, for heartbeats.
    pub(super) fn claims(&self, now: Timestamp) -> Vec<WatcherClaim> {
        let claims = self.claims.iter();
        let claims = claims.map(|claim| WatcherClaim {
            address: claim.address,
            place: claim.place,
            age_milliseconds: super::milliseconds_since(now, claim.made_at),
        });
        claims.collect()
    }

    /// Returns the rank of a node's claim.
    pub(super) fn rank_of(&self, address: SocketAddrV4) -> Option<usize> {
        self.claims
            .iter()
            .position(|claim| claim.address == address)
    }

    /// Returns the duty that a node has by the rank of its claim.
    pub(super) fn duty(&self, address: SocketAddrV4) -> StoreDuty {
        match self.rank_of(address) {
            Some(0) => StoreDuty::Reader,
            Some(place) if place < WATCHERS => StoreDuty::Backup,
            _ => StoreDuty::Listener,
        }
    }
}

/// Sorts nodes by their priority for duties: larger capacity classes first; within a class the
/// first node of each zone, then the second of each, and so on; equals by hash.
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
