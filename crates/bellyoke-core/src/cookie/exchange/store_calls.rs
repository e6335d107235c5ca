//! When a node asks the store by itself, and how the nodes share that while nobody hears it.
//!
//! A node whose state was last confirmed too long ago turns to the store. If the store is down, or
//! refuses most, all nodes come to that point together, and their calls would grow with the
//! cluster just while the store bears least. So they take turns by chance, as if one budget of
//! calls were dealt out: each waits a random part of a time that grows with the cluster. Whoever
//! gets an answer tells the others.
//!
//! A node that hears no peer, or whose peers are confirmed while it is not, doesn't wait for a turn.

use super::Exchange;
use crate::cookie::follower::Freshness;
use crate::cookie::freshness::ObjectKind;
use crate::time::Timestamp;
use rand::RngExt;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Mean time between two calls of one kind by all nodes together, of those whose last call failed.
/// It bounds how long the return of the store goes unnoticed, and half the calls of a long outage.
const FAILED_CALL_INTERVAL: Duration = Duration::from_millis(200);

/// The same of those that have not called of late. It may be that only the watchers have lost the
/// store, and then a change must still be in force in time: of eight nodes, three of them watchers,
/// one calls within 1.4 s but for two cases in a thousand.
const UNTRIED_CALL_INTERVAL: Duration = Duration::from_millis(120);

/// The same of those that the store answered of late. Word of an answer reaches all nodes in some
/// tens of milliseconds, so a handful call before they hear it.
const ANSWERED_CALL_INTERVAL: Duration = Duration::from_millis(10);

/// A node that the store answered so lately counts on it: about two bounds of freshness.
const ANSWER_LIFETIME: Duration = Duration::from_secs(5);

/// How long a node that is behind its confirmed peers leaves them to tell it: time for a fetch.
const CATCH_UP_PERIOD: Duration = Duration::from_millis(500);

/// What one more mentioned address counts in the share of those that are known: the last hundred
/// or so decide, a few seconds' worth.
const MENTION_EWMA_WEIGHT: f64 = 0.02;

/// Least share that is believed, so that a node that has just started takes no few mentions for a
/// cluster of thousands.
const MINIMUM_KNOWN_SHARE: f64 = 0.1;

/// What a node knows of its own calls and of how its peers fare.
#[derive(Debug)]
pub(super) struct StoreCallPacer {
    /// When the store last answered, if the calls since then didn't fail.
    last_answer_at: Option<Timestamp>,
    /// When a peer was last record_heartbeat.
    last_heartbeat_at: Option<Timestamp>,
    /// The newest confirmation that any peer told of, be this node behind it or not.
    peers_confirmed_at: Option<Timestamp>,
    /// By [`ObjectKind`]: the next turn if the last call has failed.
    retry_at: [Timestamp; ObjectKind::COUNT],
    /// Where in the time for a turn the first one lies that follows a confirmation, 0 to 1.
    first_slot: [f64; ObjectKind::COUNT],
    /// Share of the addresses that peers mention which this node knows already.
    known_share: f64,
    /// By [`ObjectKind`]: how new the answer to the last call must be.
    requested_freshness: [Freshness; ObjectKind::COUNT],
}

impl StoreCallPacer {
    /// A node that has record_heartbeat nothing.
    pub(super) const fn new() -> Self {
        Self {
            last_answer_at: None,
            last_heartbeat_at: None,
            peers_confirmed_at: None,
            retry_at: [Timestamp::ZERO; ObjectKind::COUNT],
            first_slot: [0.0; ObjectKind::COUNT],
            known_share: 1.0,
            requested_freshness: [Freshness::Newest; ObjectKind::COUNT],
        }
    }

    pub(super) const fn requested_freshness(&self, kind: ObjectKind) -> Freshness {
        self.requested_freshness[kind as usize]
    }

    pub(super) fn record_heartbeat(&mut self, now: Timestamp) {
        self.last_heartbeat_at = Some(now);
    }

    pub(super) fn record_peer_confirmation(&mut self, at: Timestamp) {
        let previous = self.peers_confirmed_at;
        self.peers_confirmed_at = Some(previous.map_or(at, |previous| previous.max(at)));
    }

    /// What peers said may be old.
    pub(super) const fn forget_peer_confirmations(&mut self) {
        self.peers_confirmed_at = None;
    }

    /// Whether no peer was record_heartbeat for so long.
    fn is_isolated(&self, now: Timestamp, silence: Duration) -> bool {
        self.last_heartbeat_at
            .is_none_or(|last_heartbeat_at| now.since(last_heartbeat_at) >= silence)
    }

    fn has_recent_answer(&self, now: Timestamp) -> bool {
        self.last_answer_at
            .is_some_and(|last_answer_at| now.since(last_answer_at) < ANSWER_LIFETIME)
    }
}

impl Exchange {
    /// Whether this node may call the store for a kind now, as far as the nodes' shared budget
    /// goes. `knows_all` tells whether it has routes and instances.
    #[must_use]
    pub fn may_call_store(&self, now: Timestamp, kind: ObjectKind, knows_all: bool) -> bool {
        let pacer = &self.pacer;
        // A node that hears nobody finds out just when its state has grown stale.
        let bound = self.settings.freshness_bound;
        if pacer.is_isolated(now, bound) || self.is_bootstrap_reader(knows_all) {
            return true;
        }
        let has_recent_answer = pacer.has_recent_answer(now);
        if !has_recent_answer && now < pacer.retry_at[kind as usize] {
            return false;
        }
        let Some(confirmed_at) = self.clock.confirmed_at(kind) else {
            return true;
        };
        let stale_at = confirmed_at.after(bound);
        if now < stale_at {
            return true;
        }
        let peers_confirmed_at = pacer.peers_confirmed_at;
        let peers_are_stale = peers_confirmed_at.is_none_or(|at| now.since(at) >= bound);
        let first_slot = if peers_are_stale {
            let interval = if has_recent_answer {
                ANSWERED_CALL_INTERVAL
            } else {
                UNTRIED_CALL_INTERVAL
            };
            let slot_window = self.slot_window(interval);
            stale_at.after(slot_window.mul_f64(pacer.first_slot[kind as usize]))
        } else {
            stale_at.after(CATCH_UP_PERIOD)
        };
        now >= first_slot
    }

    /// A call to the store for a kind begins. If it fails, this says when the next may begin.
    pub fn record_store_call(&mut self, now: Timestamp, kind: ObjectKind, freshness: Freshness) {
        self.pacer.requested_freshness[kind as usize] = freshness;
        let turn = self.random.random_range(0.0..1.0);
        let turn = self.slot_window(FAILED_CALL_INTERVAL).mul_f64(turn);
        self.pacer.retry_at[kind as usize] = now.after(turn);
    }

    /// A call to the store has ended, with an answer or not.
    pub const fn record_store_answer(&mut self, now: Timestamp, answered: bool) {
        self.pacer.last_answer_at = if answered { Some(now) } else { None };
    }

    /// Draws anew when this node's turn comes after the state has grown stale.
    pub(super) fn draw_first_slots(&mut self, now: Timestamp) {
        for kind in ObjectKind::ALL {
            let confirmed_at = self.clock.confirmed_at(kind);
            let bound = self.settings.freshness_bound;
            if confirmed_at.is_some_and(|at| now.since(at) < bound) {
                self.pacer.first_slot[kind as usize] = self.random.random_range(0.0..1.0);
            }
        }
    }

    /// A peer has told of another one.
    pub(super) fn record_mention(&mut self, address: SocketAddrV4) {
        let known = if self.peers.contains(address) {
            1.0
        } else {
            0.0
        };
        let share = &mut self.pacer.known_share;
        *share += (known - *share) * MENTION_EWMA_WEIGHT;
    }

    /// How many nodes there are, as far as this one can tell: those of its own zone, and of others
    /// what their nodes count, or as many as it knows.
    #[must_use]
    pub fn estimated_nodes(&self) -> f64 {
        let zone = self.own_zone();
        let known = self.peers.iter().count() - self.peers.count_in(zone);
        let known = f64::from(u32::try_from(known).unwrap_or(u32::MAX));
        self.estimated_zone_nodes() + self.zone_sizes.nodes_outside(zone).max(known)
    }

    /// How many nodes the own zone has. It knows a sample, and what share of all that is shows in what
    /// share of those that peers mention it knows (capture and recapture, Lincoln 1930).
    pub(super) fn estimated_zone_nodes(&self) -> f64 {
        let known = self.peers.count_in(self.own_zone()) + 1;
        let known = f64::from(u32::try_from(known).unwrap_or(u32::MAX));
        known / self.pacer.known_share.max(MINIMUM_KNOWN_SHARE)
    }

    /// The time in which each node has one turn, doubled since turns lie at random in it.
    fn slot_window(&self, interval: Duration) -> Duration {
        interval.mul_f64(2.0 * self.estimated_nodes())
    }

    fn is_bootstrap_reader(&self, knows_all: bool) -> bool {
        !knows_all && self.ranks_among_first()
    }
}
