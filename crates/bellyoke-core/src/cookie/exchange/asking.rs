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
const FAILED_INTERVAL: Duration = Duration::from_millis(200);

/// The same of those that have not called of late. It may be that only the watchers have lost the
/// store, and then a change must still be in force in time: of eight nodes, three of them watchers,
/// one calls within 1.4 s but for two cases in a thousand.
const UNTRIED_INTERVAL: Duration = Duration::from_millis(120);

/// The same of those that the store answered of late. Word of an answer reaches all nodes in some
/// tens of milliseconds, so a handful call before they hear it.
const SERVED_INTERVAL: Duration = Duration::from_millis(10);

/// A node that the store answered so lately counts on it: about two bounds of freshness.
const SERVED_LIFETIME: Duration = Duration::from_secs(5);

/// How long a node that is behind its confirmed peers leaves them to tell it: time for a fetch.
const CATCH_UP: Duration = Duration::from_millis(500);

/// What one more mentioned address counts in the share of those that are known: the last hundred
/// or so decide, a few seconds' worth.
const MENTION_WEIGHT: f64 = 0.02;

/// Least share that is believed, so that a node that has just started takes no few mentions for a
/// cluster of thousands.
const LEAST_KNOWN_SHARE: f64 = 0.1;

/// What a node knows of its own calls and of how its peers fare.
#[derive(Debug)]
pub(super) struct AskPacer {
    /// When the store last answered, if the calls since then didn't fail.
    served_at: Option<Timestamp>,
    /// When a peer was last heard.
    heard_at: Option<Timestamp>,
    /// The newest confirmation that any peer told of, be this node behind it or not.
    peers_confirmed_at: Option<Timestamp>,
    /// By [`ObjectKind`]: the next turn if the last call has failed.
    next_turn: [Timestamp; ObjectKind::COUNT],
    /// Where in the time for a turn the first one lies that follows a confirmation, 0 to 1.
    first_turn: [f64; ObjectKind::COUNT],
    /// Share of the addresses that peers mention which this node knows already.
    known_share: f64,
    /// By [`ObjectKind`]: how new the answer to the last call must be.
    asked: [Freshness; ObjectKind::COUNT],
}

impl AskPacer {
    /// A node that has heard nothing.
    pub(super) const fn new() -> Self {
        Self {
            served_at: None,
            heard_at: None,
            peers_confirmed_at: None,
            next_turn: [Timestamp::ZERO; ObjectKind::COUNT],
            first_turn: [0.0; ObjectKind::COUNT],
            known_share: 1.0,
            asked: [Freshness::Newest; ObjectKind::COUNT],
        }
    }

    pub(super) const fn asked(&self, kind: ObjectKind) -> Freshness {
        self.asked[kind as usize]
    }

    pub(super) fn heard(&mut self, now: Timestamp) {
        self.heard_at = Some(now);
    }

    pub(super) fn peer_confirmed(&mut self, at: Timestamp) {
        let held = self.peers_confirmed_at;
        self.peers_confirmed_at = Some(held.map_or(at, |held| held.max(at)));
    }

    /// What peers said may be old.
    pub(super) const fn stalled(&mut self) {
        self.peers_confirmed_at = None;
    }

    /// Whether no peer was heard for so long.
    fn is_alone(&self, now: Timestamp, silence: Duration) -> bool {
        self.heard_at
            .is_none_or(|heard_at| now.since(heard_at) >= silence)
    }

    fn is_served(&self, now: Timestamp) -> bool {
        self.served_at
            .is_some_and(|served_at| now.since(served_at) < SERVED_LIFETIME)
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
        if pacer.is_alone(now, bound) || self.is_first_of_the_blind(knows_all) {
            return true;
        }
        let is_served = pacer.is_served(now);
        if !is_served && now < pacer.next_turn[kind as usize] {
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
        let first_turn = if peers_are_stale {
            let interval = if is_served {
                SERVED_INTERVAL
            } else {
                UNTRIED_INTERVAL
            };
            let turn_time = self.turn_time(interval);
            stale_at.after(turn_time.mul_f64(pacer.first_turn[kind as usize]))
        } else {
            stale_at.after(CATCH_UP)
        };
        now >= first_turn
    }

    /// A call to the store for a kind begins. If it fails, this says when the next may begin.
    pub fn record_store_call(&mut self, now: Timestamp, kind: ObjectKind, freshness: Freshness) {
        self.pacer.asked[kind as usize] = freshness;
        let turn = self.random.random_range(0.0..1.0);
        let turn = self.turn_time(FAILED_INTERVAL).mul_f64(turn);
        self.pacer.next_turn[kind as usize] = now.after(turn);
    }

    /// A call to the store has ended, with an answer or not.
    pub const fn record_store_answer(&mut self, now: Timestamp, answered: bool) {
        self.pacer.served_at = if answered { Some(now) } else { None };
    }

    /// Draws anew when this node's turn comes after the state has grown stale.
    pub(super) fn draw_first_turns(&mut self, now: Timestamp) {
        for kind in ObjectKind::ALL {
            let confirmed_at = self.clock.confirmed_at(kind);
            let bound = self.settings.freshness_bound;
            if confirmed_at.is_some_and(|at| now.since(at) < bound) {
                self.pacer.first_turn[kind as usize] = self.random.random_range(0.0..1.0);
            }
        }
    }

    /// A peer has told of another one.
    pub(super) fn note_mention(&mut self, address: SocketAddrV4) {
        let known = if self.peers.knows(address) { 1.0 } else { 0.0 };
        let share = &mut self.pacer.known_share;
        *share += (known - *share) * MENTION_WEIGHT;
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
        known / self.pacer.known_share.max(LEAST_KNOWN_SHARE)
    }

    /// The time in which each node has one turn, doubled since turns lie at random in it.
    fn turn_time(&self, interval: Duration) -> Duration {
        interval.mul_f64(2.0 * self.estimated_nodes())
    }

    fn is_first_of_the_blind(&self, knows_all: bool) -> bool {
        !knows_all && self.ranks_among_first()
    }
}
