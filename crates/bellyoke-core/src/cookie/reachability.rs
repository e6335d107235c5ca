//! Which instances can't be reached, established by probes.
//!
//! A failed opening is no proof: the packet may have been lost, the instance may be full, or this
//! node's own link may be. It only raises the question, which a probe answers: connections to the
//! instance, several in a row, beside connections to other instances (controls). An instance is
//! *unreachable* if none of its connections opened while all controls did, so that the fault is
//! not this node's. A verdict is this node's own; peers only pass the question on, so that all ask
//! it at once. It holds for a moment and is asked again, so that it ends soon after its cause.

use crate::cookie::instance::Cookie;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Connections in a row that a probe tries. With three of ten packets lost on this node's own link
/// three fail while six of controls open in 3 of 1,000 probes.
pub const ATTEMPTS: usize = 3;

/// Attempts for an instance that a peer can't reach, whose own probe speaks against it too.
pub const ATTEMPTS_FOR_PEERS: usize = 2;

/// Attempts to find out whether an instance is still unreachable.
pub const ATTEMPTS_AGAIN: usize = 1;

/// How long one of them may take. Connections open within two round trips, some milliseconds; a
/// process on a small share of a processor may get none for 100 ms.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(100);

/// Time from the start of one attempt to that of the next, which overlap: silence for 200 ms is as long as
/// that after which clients repeat themselves.
pub const ATTEMPT_INTERVAL: Duration = Duration::from_millis(50);

/// Other instances that a probe must reach at the same time.
pub const CONTROLS: usize = 2;

/// Instances probed at once; further ones wait for the next probe.
pub const MAXIMUM_SUSPECTS: usize = 64;

/// How long a verdict holds. Shorter than the 4 s for which the paths to an instance must have been whole
/// before users count an ended flow as the balancer's fault, so that none outlives a cut by as much.
pub const VERDICT_LIFETIME: Duration = Duration::from_millis(3_000);

/// Time after which an unreachable instance is probed again, so that the verdict goes on or ends.
const RECHECK_INTERVAL: Duration = Duration::from_millis(2_000);

/// Probes that follow a verdict without a new question, of one attempt each: by then the record of a
/// dead instance has gone, which settles it.
const RECHECKS: u32 = 2;

/// Probes in a row that may find nothing out before the question is dropped. With a quarter of all instances
/// dead at once, 44 of 100 probes have a dead control and one in 60 questions would have five.
const INCONCLUSIVE_PROBES: u32 = 5;

/// How long openings avoid an instance after it took connections again: what answers there may be
/// another instance that has taken over its address, of which the records tell later. Longer than
/// the store is away mostly; until then a flow that goes on there proves that it lives.
const AVOIDANCE: Duration = Duration::from_secs(10);

/// An instance that was probed so lately isn't questioned again.
const QUESTION_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long peers have, once they were asked about an instance, to say that it lives, before its resting
/// flows are ended. A peer that sees a few requests a second there knows within 300 ms; the word takes
/// some ms, and 100 ms wherever a control thread waits for its tick.
pub const OBJECTION_TIME: Duration = Duration::from_millis(400);

/// What the records tell of an instance in question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// Its record is there.
    Present,
    /// Its record has gone.
    Gone,
    /// One that was created later is at its address: connections there tell nothing of it.
    Succeeded,
}

/// What a probe found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// A connection opened.
    Reached,
    /// None opened, though those of all controls did.
    Unreachable,
    /// None opened, and not those of all controls: the fault may be this node's.
    Inconclusive,
}

/// Who can't reach an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubter {
    /// This node: an opening came to nothing.
    Node,
    /// A peer: its probe came to nothing.
    Peer,
}

/// A change of what is held of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachabilityChange {
    /// The instance.
    pub cookie: Cookie,
    /// Whether it is held to be unreachable now.
    pub unreachable: bool,
}

/// One probe under way.
///
/// ```
/// use bellyoke_core::cookie::instance::{Cookie, InstanceId};
/// use bellyoke_core::cookie::reachability::{ATTEMPTS, ProbeBatch, ProbeOutcome};
/// use std::collections::BTreeSet;
///
/// let suspect = (Cookie::of(InstanceId(7)), "10.0.0.7:80".parse().unwrap());
/// let control = "10.0.0.8:80".parse().unwrap();
/// let mut batch = ProbeBatch::new(vec![suspect], vec![control]);
/// for _ in 0..ATTEMPTS {
///     assert_eq!(batch.next_addresses(), [suspect.1, control]);
///     batch.attempted(&BTreeSet::from([control]));
/// }
/// assert!(batch.is_over());
/// assert_eq!(batch.outcomes(), [(suspect.0, ProbeOutcome::Unreachable)]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeBatch {
    suspects: Vec<(Cookie, SocketAddrV4)>,
    controls: Vec<SocketAddrV4>,
    reached: BTreeSet<SocketAddrV4>,
    controls_failed: bool,
    attempts_left: usize,
}

impl ProbeBatch {
    /// A probe of some instances beside controls.
    #[must_use]
    pub const fn new(suspects: Vec<(Cookie, SocketAddrV4)>, controls: Vec<SocketAddrV4>) -> Self {
        Self {
            controls_failed: controls.is_empty(),
            suspects,
            controls,
            reached: BTreeSet::new(),
            attempts_left: ATTEMPTS,
        }
    }

    /// The same with so many attempts.
    #[must_use]
    pub fn with_attempts(self, attempts: usize) -> Self {
        Self {
            attempts_left: attempts,
            ..self
        }
    }

    /// Where to connect in the next attempt.
    #[must_use]
    pub fn next_addresses(&self) -> Vec<SocketAddrV4> {
        let suspects = self.suspects.iter().map(|(_, address)| *address);
        let silent = suspects.filter(|address| !self.reached.contains(address));
        silent.chain(self.controls.iter().copied()).collect()
    }

    /// An attempt is over, and these connections opened.
    pub fn attempted(&mut self, opened: &BTreeSet<SocketAddrV4>) {
        self.attempts_left = self.attempts_left.saturating_sub(1);
        self.controls_failed |= !self.controls.iter().all(|control| opened.contains(control));
        self.reached.extend(opened);
    }

    /// Attempts that are not over yet.
    #[must_use]
    pub const fn attempts_left(&self) -> usize {
        self.attempts_left
    }

    /// Whether no attempt is left that could tell more.
    #[must_use]
    pub fn is_over(&self) -> bool {
        let mut suspects = self.suspects.iter();
        let all_reached = suspects.all(|(_, address)| self.reached.contains(address));
        all_reached || self.controls_failed || self.attempts_left == 0
    }

    /// What it found.
    #[must_use]
    pub fn outcomes(&self) -> Vec<(Cookie, ProbeOutcome)> {
        let suspects = self.suspects.iter();
        let outcomes = suspects.map(|(cookie, address)| {
            let outcome = if self.reached.contains(address) {
                ProbeOutcome::Reached
            } else if self.controls_failed {
                ProbeOutcome::Inconclusive
            } else {
                ProbeOutcome::Unreachable
            };
            (*cookie, outcome)
        });
        outcomes.collect()
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct InstanceState {
    /// Whether it waits for a probe, or one is under way.
    questioned: bool,
    /// Whether a peer has asked.
    by_peer: bool,
    under_way: bool,
    probed_at: Option<Timestamp>,
    unreachable_at: Option<Timestamp>,
    /// When peers were asked about it, or asked.
    asked_at: Option<Timestamp>,
    /// Its record went, or its address passed on, while it was unreachable: it has ended, unless the
    /// record comes back.
    settled: bool,
    /// Another instance holds its address, so that probes tell nothing of it.
    succeeded: bool,
    /// Until when openings avoid it though it takes connections again.
    avoided_until: Timestamp,
    rechecks: u32,
    inconclusive: u32,
    /// When its flows last showed that it lives.
    lived_at: Option<Timestamp>,
}

/// What a node has established of the instances that were in question.
#[derive(Debug, Default)]
pub struct ReachabilityMonitor {
    states: BTreeMap<Cookie, InstanceState>,
}

impl ReachabilityMonitor {
    /// Something speaks against an instance. Returns whether that is news, for peers.
    pub fn question(&mut self, now: Timestamp, cookie: Cookie, doubter: Doubter) -> bool {
        let state = self.states.entry(cookie).or_default();
        let probed_at = state.probed_at;
        let lately = probed_at.is_some_and(|at| now.since(at) < QUESTION_INTERVAL);
        if state.questioned || state.under_way || lately || state.settled || state.succeeded {
            return false;
        }
        state.questioned = true;
        state.by_peer = doubter == Doubter::Peer;
        state.asked_at = state.by_peer.then_some(now);
        state.inconclusive = 0;
        true
    }

    /// The instances in question that are to be probed now.
    pub fn questioned(&mut self, doubter: Doubter) -> Vec<Cookie> {
        let by_peer = doubter == Doubter::Peer;
        self.begin(|state| state.questioned && state.by_peer == by_peer)
    }

    /// The unreachable instances that are to be probed again.
    pub fn due_again(&mut self, now: Timestamp) -> Vec<Cookie> {
        self.begin(|state| {
            let probed_at = state.probed_at;
            let is_due = probed_at.is_some_and(|at| now.since(at) >= RECHECK_INTERVAL);
            is_due && state.rechecks > 0 && !state.settled && !state.succeeded
        })
    }

    fn begin(&mut self, is_due: impl Fn(&InstanceState) -> bool) -> Vec<Cookie> {
        let states = self.states.iter_mut();
        let due = states.filter(|(_, state)| !state.under_way && is_due(state));
        let begun = due.take(MAXIMUM_SUSPECTS).map(|(cookie, state)| {
            state.under_way = true;
            *cookie
        });
        begun.collect()
    }

    /// What the records tell of instances. One that was unreachable when its record went, or another
    /// one came to its address, has ended; if the record comes back, it lives.
    pub fn note_records(
        &mut self,
        now: Timestamp,
        record_of: impl Fn(Cookie) -> Option<RecordState>,
    ) {
        self.states.retain(|cookie, state| {
            let Some(record) = record_of(*cookie) else {
                return false;
            };
            state.settled = record != RecordState::Present && state.is_unreachable(now);
            state.succeeded = record == RecordState::Succeeded;
            state.questioned &= !state.succeeded;
            true
        });
    }

    /// A probe of an instance is over. Returns what changed.
    pub fn probed(
        &mut self,
        now: Timestamp,
        cookie: Cookie,
        outcome: ProbeOutcome,
    ) -> Option<ReachabilityChange> {
        let state = self.states.entry(cookie).or_default();
        let was_unreachable = state.is_unreachable(now);
        state.under_way = false;
        state.probed_at = Some(now);
        let lived = state.lived_at;
        let lives = lived.is_some_and(|at| now.since(at) < QUESTION_INTERVAL);
        if state.succeeded || (lives && outcome == ProbeOutcome::Unreachable) {
            return None;
        }
        if outcome == ProbeOutcome::Inconclusive {
            state.inconclusive += 1;
            state.questioned &= state.inconclusive < INCONCLUSIVE_PROBES;
            state.rechecks = state.rechecks.saturating_sub(1);
            return None;
        }
        state.questioned = false;
        state.inconclusive = 0;
        if outcome == ProbeOutcome::Reached {
            if was_unreachable {
                state.avoided_until = now.after(AVOIDANCE);
            }
            state.unreachable_at = None;
            state.settled = false;
            state.rechecks = 0;
        } else {
            state.unreachable_at = Some(now);
            state.asked_at.get_or_insert(now);
            state.rechecks = match state.rechecks {
                0 if !was_unreachable => RECHECKS,
                left => left.saturating_sub(1),
            };
        }
        let unreachable = state.is_unreachable(now);
        (unreachable != was_unreachable).then_some(ReachabilityChange {
            cookie,
            unreachable,
        })
    }

    /// Instances whose flows may be ended, resting ones too: they are held to be unreachable, and peers have
    /// had time to object.
    #[must_use]
    pub fn ended(&self, now: Timestamp) -> BTreeSet<Cookie> {
        let had_time = |state: &InstanceState| {
            let asked_at = state.asked_at;
            state.settled || asked_at.is_some_and(|at| now.since(at) >= OBJECTION_TIME)
        };
        let states = self.states.iter();
        let ended = states.filter(|(_, state)| state.is_unreachable(now) && had_time(state));
        ended.map(|(cookie, _)| *cookie).collect()
    }

    /// Instances of which a sign of life would change something: they are in question, or held to be
    /// unreachable and not settled.
    #[must_use]
    pub fn in_question(&self, now: Timestamp) -> BTreeSet<Cookie> {
        let states = self.states.iter();
        let questioned = states.filter(|(_, state)| state.is_in_question(now));
        questioned.map(|(cookie, _)| *cookie).collect()
    }

    /// An instance in question lives, as its flows show: drops question and verdict. Returns whether
    /// there was any.
    pub fn lives(&mut self, now: Timestamp, cookie: Cookie) -> bool {
        let Some(state) = self.states.get_mut(&cookie) else {
            return false;
        };
        if !state.is_in_question(now) {
            return false;
        }
        *state = InstanceState {
            under_way: state.under_way,
            lived_at: Some(now),
            probed_at: Some(now),
            ..InstanceState::default()
        };
        true
    }

    /// Whether an instance was ever in question.
    #[must_use]
    pub fn holds(&self, cookie: Cookie) -> bool {
        self.states.contains_key(&cookie)
    }

    /// Whether no instance was ever in question, of those still known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Instances that are held to be unreachable.
    #[must_use]
    pub fn unreachable(&self, now: Timestamp) -> BTreeSet<Cookie> {
        let states = self.states.iter();
        let unreachable = states.filter(|(_, state)| state.is_unreachable(now));
        unreachable.map(|(cookie, _)| *cookie).collect()
    }

    /// Instances that openings avoid: the unreachable ones, and those that were a while ago.
    #[must_use]
    pub fn avoided(&self, now: Timestamp) -> BTreeSet<Cookie> {
        let states = self.states.iter();
        let avoided =
            states.filter(|(_, state)| state.is_unreachable(now) || now < state.avoided_until);
        avoided.map(|(cookie, _)| *cookie).collect()
    }

    /// Whether an instance is in question, or held to be unreachable.
    #[must_use]
    pub fn is_in_doubt(&self, now: Timestamp, cookie: Cookie) -> bool {
        let state = self.states.get(&cookie);
        state.is_some_and(|state| state.questioned || state.is_unreachable(now))
    }

    /// Forgets what this node holds, since it stood still: nothing of it is fresh any more.
    pub fn stalled(&mut self) {
        for state in self.states.values_mut() {
            state.unreachable_at = None;
            state.avoided_until = Timestamp::ZERO;
            state.settled = false;
        }
    }
}

impl InstanceState {
    fn is_in_question(&self, now: Timestamp) -> bool {
        let is_open = self.questioned || self.is_unreachable(now);
        is_open && !self.settled && !self.succeeded
    }

    fn is_unreachable(&self, now: Timestamp) -> bool {
        let verdict = self.unreachable_at;
        self.settled || verdict.is_some_and(|at| now.since(at) < VERDICT_LIFETIME)
    }
}
