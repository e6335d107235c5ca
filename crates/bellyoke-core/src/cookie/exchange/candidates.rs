//! Which nodes watch the store for all.
//!
//! Nodes claim the duty for themselves and tell each other the best claims they know, ranked by
//! rendezvous hash (a gossiped top-k aggregate), so that all soon know the same few whatever the
//! size of the cluster. A claim carries its age; a node that dies, leaves or loses the store ceases
//! to renew its claim, and the next ones take over.

use crate::time::Timestamp;
use rkyv::{Archive, Deserialize, Serialize};
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

/// The best claims that a node knows.
#[derive(Debug, Default)]
pub(super) struct ClaimTable {
    /// Address and time of the claim, by rank.
    claims: BTreeMap<u64, (SocketAddrV4, Timestamp)>,
}

impl ClaimTable {
    /// Notes a claim that was made at a time.
    pub(super) fn note(&mut self, address: SocketAddrV4, made_at: Timestamp) {
        let claim = self
            .claims
            .entry(watcher_rank(address))
            .or_insert((address, made_at));
        claim.1 = claim.1.max(made_at);
    }

    /// Takes a node's claim back.
    pub(super) fn withdraw(&mut self, address: SocketAddrV4) {
        self.claims.remove(&watcher_rank(address));
    }

    /// Keeps the best claims that still count.
    pub(super) fn trim(&mut self, now: Timestamp) {
        self.claims
            .retain(|_, (_, made_at)| now.since(*made_at) < CLAIM_LIFETIME);
        while self.claims.len() > WATCHERS {
            self.claims.pop_last();
        }
    }

    /// The claims, for peers.
    pub(super) fn claims(&self, now: Timestamp) -> Vec<WatcherClaim> {
        let claims = self.claims.values();
        let claims = claims.map(|(address, made_at)| WatcherClaim {
            address: *address,
            age_milliseconds: super::milliseconds_since(now, *made_at),
        });
        claims.collect()
    }

    /// Whether a node's claim is among them.
    pub(super) fn holds(&self, address: SocketAddrV4) -> bool {
        self.claims.contains_key(&watcher_rank(address))
    }

    /// The duty that falls to a node by its claim.
    pub(super) fn duty(&self, address: SocketAddrV4) -> StoreDuty {
        let place = self
            .claims
            .values()
            .position(|(claimant, _)| *claimant == address);
        match place {
            Some(0) => StoreDuty::Reader,
            Some(place) if place < WATCHERS => StoreDuty::Backup,
            _ => StoreDuty::Listener,
        }
    }
}

/// Whether one node stands before another where few act for all.
pub(super) fn ranks_before(one: SocketAddrV4, other: SocketAddrV4) -> bool {
    watcher_rank(one) < watcher_rank(other)
}

fn watcher_rank(address: SocketAddrV4) -> u64 {
    let mut bytes = [0; 6];
    bytes[..4].copy_from_slice(&address.ip().octets());
    bytes[4..].copy_from_slice(&address.port().to_be_bytes());
    XxHash3_64::oneshot_with_seed(RANK_SEED, &bytes)
}
