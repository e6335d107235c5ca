//! The snapshots that a node is fetching, and when it may begin another.
//!
//! A fetch over a thin link takes long. Another one beside it would only take its share of the
//! link, so that neither ends; so none begins while one goes on bringing data. One that brings
//! nothing for [`crate::cookie::exchange::ExchangeSettings::fetch_interval`] gets a second beside
//! it, from another peer.

use crate::time::Timestamp;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A fetch that brings nothing for so long has failed. A peer that lives answers within
/// milliseconds, and a link with a full queue within a quarter of a second.
pub const FETCH_STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Fetches of one purpose that run at once: one that is stuck, and one beside it.
const MAXIMUM_FETCHES_PER_PURPOSE: usize = 2;

/// Why a snapshot is fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FetchPurpose {
    /// The peer knows more than this node.
    CatchUp,
    /// This node has just started, and asks what the store doesn't tell.
    Startup,
}

#[derive(Clone, Copy, Debug)]
struct RunningFetch {
    from: SocketAddrV4,
    purpose: FetchPurpose,
    progressed_at: Timestamp,
}

/// The fetches of one node that have not ended.
#[derive(Debug, Default)]
pub(super) struct FetchTable {
    running: Vec<RunningFetch>,
    /// By [`FetchPurpose`]: when the next may begin at the earliest.
    not_before: [Timestamp; 2],
}

impl FetchTable {
    /// Whether a fetch may begin.
    pub(super) fn may_start(&mut self, now: Timestamp, purpose: FetchPurpose) -> bool {
        self.running
            .retain(|fetch| now.since(fetch.progressed_at) < FETCH_STALL_TIMEOUT);
        let alike = self.running.iter();
        let alike = alike.filter(|fetch| fetch.purpose == purpose);
        now >= self.not_before[purpose as usize] && alike.count() < MAXIMUM_FETCHES_PER_PURPOSE
    }

    /// The next fetch needn't wait for the one before.
    pub(super) const fn clear_delay(&mut self) {
        self.not_before = [Timestamp::ZERO; 2];
    }

    /// Whether a fetch from a peer is under way.
    pub(super) fn is_fetching_from(&self, from: SocketAddrV4) -> bool {
        self.running.iter().any(|fetch| fetch.from == from)
    }

    /// A fetch begins.
    pub(super) fn start(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        purpose: FetchPurpose,
        interval: Duration,
    ) {
        self.not_before[purpose as usize] = now.after(interval);
        self.running.push(RunningFetch {
            from,
            purpose,
            progressed_at: now,
        });
    }

    /// The fetch from a peer has brought data.
    pub(super) fn progressed(&mut self, now: Timestamp, from: SocketAddrV4, interval: Duration) {
        let fetch = self.running.iter_mut().find(|fetch| fetch.from == from);
        if let Some(fetch) = fetch {
            fetch.progressed_at = now;
            self.not_before[fetch.purpose as usize] = now.after(interval);
        }
    }

    /// The fetch from a peer has ended, well or not.
    pub(super) fn end(&mut self, from: SocketAddrV4) {
        self.running.retain(|fetch| fetch.from != from);
    }
}
