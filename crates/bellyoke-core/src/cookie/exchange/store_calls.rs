//! When a node calls the store itself, and how nodes share these calls while no peer confirms the
//! state.
//!
//! A node whose state was last confirmed too long ago calls the store. If the store is down, or
//! refuses most calls, all nodes reach that point together, and the number of calls would grow with
//! the cluster while the store can handle the least. Therefore the calls of all nodes share one
//! budget: each node waits for a random slot in a window whose length grows with the number of live
//! nodes. A node that gets an answer pushes it to the others.
//!
//! A node that receives no heartbeats, or whose peers are confirmed while it is not, does not wait
//! for a slot.

use super::Exchange;
use crate::cookie::follower::{Freshness, Read};
use crate::cookie::freshness::ObjectKind;
use crate::time::Timestamp;
use rand::RngExt;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Length of the window in which a node calls again after a failed call, per live node. A node waits
/// for half of the window on average, so all nodes together make a call of one kind every 200 ms.
/// It bounds how long a recovery of the store goes unnoticed, and the calls during a long outage.
const FAILED_CALL_INTERVAL: Duration = Duration::from_millis(400);

/// Mean time between two calls of one kind, over all nodes that have not called recently, after the
/// first [`FIRST_CALLS`]. Those whose calls fail call again meanwhile.
const UNTRIED_CALL_INTERVAL: Duration = Duration::from_millis(340);

/// Number of calls of one kind that nodes make within [`FIRST_CALLS_PERIOD`], over all nodes that
/// have not called recently. Possibly only the watchers have lost the store, and a change must
/// still be in force in time. With more nodes the number varies; none of them calls in 1 of 20,000
/// cases (e^-10).
const FIRST_CALLS: f64 = 10.0;

/// Time after the state became stale in which the first nodes call.
const FIRST_CALLS_PERIOD: Duration = Duration::from_millis(600);

/// Mean time between two calls of one kind, over all nodes that the store answered recently. An
/// answer reaches all nodes within some tens of milliseconds, and a handful of nodes call before
/// they receive it.
const ANSWERED_CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Time after an answer in which a node assumes that the store is available: about two freshness
/// bounds.
const ANSWER_LIFETIME: Duration = Duration::from_secs(5);

/// How long a node that is behind its confirmed peers waits for their state: time for a fetch.
const CATCH_UP_PERIOD: Duration = Duration::from_millis(500);

/// Weight of one mentioned address in the moving average of the share that is known. The last
/// hundred or so mentions, a few seconds' worth, dominate it.
const MENTION_EWMA_WEIGHT: f64 = 0.02;

/// Lower bound of the known share. Without it a node that has just started would infer thousands of
/// nodes from a few mentions.
const MINIMUM_KNOWN_SHARE: f64 = 0.1;

/// Recent store calls of a node and recent confirmations of its peers.
#[derive(Debug)]
pub(super) struct StoreCallPacer {
    /// When the store last answered; `None` if a later call failed.
    last_answer_at: Option<Timestamp>,
    /// When a call last failed.
    last_failure_at: Option<Timestamp>,
    /// When the last heartbeat of a peer arrived.
    last_heartbeat_at: Option<Timestamp>,
    /// The newest confirmation advertised by any peer, whether or not this node is behind it.
    peers_confirmed_at: Option<Timestamp>,
    /// By [`ObjectKind`]: when the last call started.
    called_at: [Timestamp; ObjectKind::COUNT],
    /// By [`ObjectKind`]: the number of live nodes when the last call started.
    callers: [f64; ObjectKind::COUNT],
    /// By [`ObjectKind`]: position of the next slot within the slot window if the last call failed,
    /// from 0 to 1.
    retry_slot: [f64; ObjectKind::COUNT],
    /// Position of the first slot after a confirmation within the slot window, from 0 to 1.
    first_slot: [f64; ObjectKind::COUNT],
    /// Share of the addresses mentioned by peers that this node already knows.
    known_share: f64,
    /// By [`ObjectKind`]: when the last call started, or the first call of a list of several pages.
    reading_since: [Option<Timestamp>; ObjectKind::COUNT],
    /// By [`ObjectKind`]: the freshness that the last call requested.
    requested_freshness: [Freshness; ObjectKind::COUNT],
}

impl StoreCallPacer {
    /// Creates the pacer of a node that has received no message.
    pub(super) const fn new() -> Self {
        Self {
            last_answer_at: None,
            last_failure_at: None,
            last_heartbeat_at: None,
            peers_confirmed_at: None,
            called_at: [Timestamp::ZERO; ObjectKind::COUNT],
            callers: [1.0; ObjectKind::COUNT],
            retry_slot: [0.0; ObjectKind::COUNT],
            first_slot: [0.0; ObjectKind::COUNT],
            known_share: 1.0,
            reading_since: [None; ObjectKind::COUNT],
            requested_freshness: [Freshness::Newest; ObjectKind::COUNT],
        }
    }

    pub(super) const fn requested_freshness(&self, kind: ObjectKind) -> Freshness {
        self.requested_freshness[kind as usize]
    }

    pub(super) const fn reading_since(&self, kind: ObjectKind) -> Option<Timestamp> {
        self.reading_since[kind as usize]
    }

    pub(super) fn record_heartbeat(&mut self, now: Timestamp) {
        self.last_heartbeat_at = Some(now);
    }

    pub(super) fn record_peer_confirmation(&mut self, at: Timestamp) {
        let previous = self.peers_confirmed_at;
        self.peers_confirmed_at = Some(previous.map_or(at, |previous| previous.max(at)));
    }

    /// Discards confirmations of peers, which may be old.
    pub(super) const fn forget_peer_confirmations(&mut self) {
        self.peers_confirmed_at = None;
    }

    /// Returns whether no heartbeat has arrived for at least `silence`.
    fn is_isolated(&self, now: Timestamp, silence: Duration) -> bool {
        self.last_heartbeat_at
            .is_none_or(|last_heartbeat_at| now.since(last_heartbeat_at) >= silence)
    }

    /// Returns whether a call has failed at or after a time.
    pub(super) fn has_failed_since(&self, time: Timestamp) -> bool {
        self.last_failure_at
            .is_some_and(|failed_at| failed_at >= time)
    }

    fn has_recent_answer(&self, now: Timestamp) -> bool {
        self.last_answer_at
            .is_some_and(|last_answer_at| now.since(last_answer_at) < ANSWER_LIFETIME)
    }
}

impl Exchange {
    /// Returns whether this node may call the store for a kind now, within the call budget that all
    /// nodes share. `knows_all` states whether it has routes and instances.
    #[must_use]
    pub fn may_call_store(&self, now: Timestamp, kind: ObjectKind, knows_all: bool) -> bool {
        let pacer = &self.pacer;
        // An isolated node calls as soon as its state is stale.
        let bound = self.settings.freshness_bound;
        if pacer.is_isolated(now, bound) || self.is_bootstrap_reader(knows_all) {
            return true;
        }
        let has_recent_answer = pacer.has_recent_answer(now);
        let has_failed = pacer.last_answer_at.is_none();
        if has_failed && now < self.retry_at(kind) {
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
            let position = self.first_callers() * pacer.first_slot[kind as usize];
            stale_at.after(if has_recent_answer {
                ANSWERED_CALL_INTERVAL.mul_f64(position)
            } else {
                untried_call_delay(position)
            })
        } else {
            stale_at.after(CATCH_UP_PERIOD)
        };
        now >= first_slot
    }

    /// Records the start of a store call for a kind, and draws the slot of the next call in case
    /// this one fails.
    pub fn record_store_call(&mut self, now: Timestamp, kind: ObjectKind, read: &Read) {
        self.pacer.requested_freshness[kind as usize] = read.freshness();
        if !matches!(read, Read::List { after: Some(_), .. }) {
            self.pacer.reading_since[kind as usize] = Some(now);
        }
        self.pacer.called_at[kind as usize] = now;
        self.pacer.callers[kind as usize] = self.live_nodes();
        self.pacer.retry_slot[kind as usize] = self.random.random_range(0.0..1.0);
    }

    /// Records the end of a store call, answered or not.
    pub const fn record_store_answer(&mut self, now: Timestamp, answered: bool) {
        if answered {
            self.pacer.last_answer_at = Some(now);
        } else {
            self.pacer.last_answer_at = None;
            self.pacer.last_failure_at = Some(now);
        }
    }

    /// Draws the slot in which this node calls the store once its state is stale.
    pub(super) fn draw_first_slots(&mut self, now: Timestamp) {
        for kind in ObjectKind::ALL {
            let confirmed_at = self.clock.confirmed_at(kind);
            let bound = self.settings.freshness_bound;
            if confirmed_at.is_some_and(|at| now.since(at) < bound) {
                self.pacer.first_slot[kind as usize] = self.random.random_range(0.0..1.0);
            }
        }
    }

    /// Records that a peer mentioned an address.
    pub(super) fn record_mention(&mut self, address: SocketAddrV4) {
        let known = if self.peers.contains(address) {
            1.0
        } else {
            0.0
        };
        let share = &mut self.pacer.known_share;
        *share += (known - *share) * MENTION_EWMA_WEIGHT;
    }

    /// Returns the estimated number of nodes: those of the own zone, and those of other zones by
    /// their advertised counts or the number of known peers, whichever is larger.
    #[must_use]
    pub fn estimated_nodes(&self) -> f64 {
        let zone = self.own_zone();
        let known = self.peers.iter().count() - self.peers.count_in(zone);
        let known = f64::from(u32::try_from(known).unwrap_or(u32::MAX));
        self.estimated_zone_nodes() + self.zone_sizes.nodes_outside(zone).max(known)
    }

    /// Returns the estimated number of nodes in the own zone. The node knows a sample of them; the
    /// share of mentioned addresses that it already knows estimates the share of all nodes that the
    /// sample covers (capture-recapture, Lincoln 1930).
    pub(super) fn estimated_zone_nodes(&self) -> f64 {
        let known = self.peers.count_in(self.own_zone()) + 1;
        let known = f64::from(u32::try_from(known).unwrap_or(u32::MAX));
        known / self.pacer.known_share.max(MINIMUM_KNOWN_SHARE)
    }

    /// Returns the slot in which this node calls again after a failed call. It comes sooner if nodes
    /// have been lost since.
    fn retry_at(&self, kind: ObjectKind) -> Timestamp {
        let callers = self.pacer.callers[kind as usize].min(self.live_nodes());
        let position = callers * self.pacer.retry_slot[kind as usize];
        self.pacer.called_at[kind as usize].after(FAILED_CALL_INTERVAL.mul_f64(position))
    }

    fn is_bootstrap_reader(&self, knows_all: bool) -> bool {
        !knows_all && self.ranks_among_first()
    }
}

/// Returns how long a node that has not called recently waits once its state is stale. `position` is
/// the expected number of live nodes that call before it.
fn untried_call_delay(position: f64) -> Duration {
    if position <= FIRST_CALLS {
        FIRST_CALLS_PERIOD.mul_f64(position / FIRST_CALLS)
    } else {
        FIRST_CALLS_PERIOD + UNTRIED_CALL_INTERVAL.mul_f64(position - FIRST_CALLS)
    }
}
