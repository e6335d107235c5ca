//! Snapshot fetches in progress, and when another one may start.
//!
//! A fetch over a slow link takes long. A second fetch beside it would take a share of the
//! bandwidth and delay both, so none starts while the first keeps receiving data. If a fetch makes
//! no progress for [`crate::cookie::exchange::ExchangeSettings::fetch_interval`], a second one
//! starts beside it from another peer.

use crate::time::Timestamp;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A fetch without progress for this time has failed. A live peer answers within milliseconds, and
/// a link with a full queue within 250 ms.
pub const FETCH_STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum number of concurrent fetches of one purpose: a stalled one and one beside it.
const MAXIMUM_FETCHES_PER_PURPOSE: usize = 2;

/// The reason for fetching a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FetchPurpose {
    /// The peer has newer state than this node.
    CatchUp,
    /// This node has just started and needs tombstones, which the store does not provide.
    Startup,
}

#[derive(Clone, Copy, Debug)]
struct RunningFetch {
    from: SocketAddrV4,
    purpose: FetchPurpose,
    progressed_at: Timestamp,
}

/// The fetches of one node that are in progress.
#[derive(Debug, Default)]
pub(super) struct FetchTable {
    running: Vec<RunningFetch>,
    /// By [`FetchPurpose`]: the earliest start of the next fetch.
    not_before: [Timestamp; 2],
}

impl FetchTable {
    /// Returns whether a fetch may start now. Drops fetches that have stalled.
    pub(super) fn may_start(&mut self, now: Timestamp, purpose: FetchPurpose) -> bool {
        self.running
            .retain(|fetch| now.since(fetch.progressed_at) < FETCH_STALL_TIMEOUT);
        let running = self.running.iter();
        let running = running.filter(|fetch| fetch.purpose == purpose);
        now >= self.not_before[purpose as usize] && running.count() < MAXIMUM_FETCHES_PER_PURPOSE
    }

    /// Lets the next fetch start without the minimum interval.
    pub(super) const fn clear_delay(&mut self) {
        self.not_before = [Timestamp::ZERO; 2];
    }

    /// Returns whether a fetch from a peer is in progress.
    pub(super) fn is_fetching_from(&self, from: SocketAddrV4) -> bool {
        self.running.iter().any(|fetch| fetch.from == from)
    }

    /// Records the start of a fetch.
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

    /// Records that the fetch from a peer has received data.
    pub(super) fn record_progress(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        interval: Duration,
    ) {
        let fetch = self.running.iter_mut().find(|fetch| fetch.from == from);
        if let Some(fetch) = fetch {
            fetch.progressed_at = now;
            self.not_before[fetch.purpose as usize] = now.after(interval);
        }
    }

    /// Removes the fetch from a peer, whether it succeeded or failed.
    pub(super) fn end(&mut self, from: SocketAddrV4) {
        self.running.retain(|fetch| fetch.from != from);
    }
}
