//! What one node holds of the instances in question.

use super::finding::{Finding, Origin, PeerFindings, is_fresh};
use super::{
    AVOIDANCE, CONFIRMATION_TIME, CONFIRMERS, INCONCLUSIVE_PROBES, MAXIMUM_SUSPECTS,
    OBJECTION_TIME, ProbeOutcome, QUESTION_INTERVAL, RECHECK_INTERVAL,
};
use crate::cookie::instance::Cookie;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

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

#[derive(Clone, Copy, Debug, Default)]
struct InstanceState {
    /// Whether it waits for a probe, or one is under way.
    questioned: bool,
    /// Whether a peer has asked.
    by_peer: bool,
    under_way: bool,
    /// The probe under way began at an earlier run of the instance.
    is_void: bool,
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
    /// When this node is to find out whether it is still unreachable; none if it isn't, by its own probe.
    recheck_at: Option<Timestamp>,
    inconclusive: u32,
    /// When its flows last showed that it lives.
    lived_at: Option<Timestamp>,
    /// When a probe of this node last reached it: what peers found before counts no longer.
    reached_at: Option<Timestamp>,
    peers: PeerFindings,
    /// Peers that were asked to confirm the verdict, and when the next one may be.
    confirmers_asked: u32,
    next_confirmer_at: Timestamp,
}

/// What a node has established of the instances that were in question, and heard of them.
#[derive(Debug)]
pub struct ReachabilityMonitor {
    own: Origin,
    /// Whether all nodes stand in one zone, as far as this one knows.
    one_zone: bool,
    states: BTreeMap<Cookie, InstanceState>,
}

impl ReachabilityMonitor {
    /// A node that has heard nothing.
    #[must_use]
    pub const fn new(own: Origin) -> Self {
        Self {
            own,
            one_zone: true,
            states: BTreeMap::new(),
        }
    }

    /// Whether all nodes stand in one zone.
    pub const fn set_one_zone(&mut self, one_zone: bool) {
        self.one_zone = one_zone;
    }

    /// The finding of this node's own probe.
    #[must_use]
    pub const fn own_finding(&self, now: Timestamp, cookie: Cookie, reached: bool) -> Finding {
        Finding {
            cookie,
            origin: self.own,
            found_at: now,
            reached,
        }
    }

    /// Whether a probe of this node that ended at `now` couldn't reach an instance.
    #[must_use]
    pub fn was_found(&self, now: Timestamp, cookie: Cookie) -> bool {
        let state = self.states.get(&cookie);
        state.is_some_and(|state| state.unreachable_at == Some(now))
    }

    /// A peer has told what its probe of a known instance found. Returns whether that is news, to be told on.
    pub fn note_finding(&mut self, now: Timestamp, finding: &Finding) -> bool {
        let state = self.states.entry(finding.cookie).or_default();
        let lived_at = state.lived_at;
        let lives = lived_at.is_some_and(|at| now.since(at) < QUESTION_INTERVAL);
        let reached = state.reached_at.is_some_and(|at| finding.found_at <= at);
        if state.settled || state.succeeded || lives || reached {
            return false;
        }
        if !finding.reached {
            let was_in_question = state.is_in_question(now);
            let is_news = state.peers.note(now, finding, self.one_zone);
            if is_news && !was_in_question {
                state.asked_at = Some(now);
            }
            return is_news;
        }
        let withdrawn = state.peers.withdraw(finding, self.one_zone);
        if withdrawn && !state.is_in_question(now) {
            state.asked_at = None;
            state.avoided_until = finding.found_at.after(AVOIDANCE).max(state.avoided_until);
        }
        withdrawn
    }

    /// Instances that this node couldn't reach and that a peer is to be asked about now, since nobody has confirmed
    /// it.
    pub fn unconfirmed(&mut self, now: Timestamp) -> Vec<Cookie> {
        let (own, one_zone) = (self.own, self.one_zone);
        let states = self.states.iter_mut();
        let unconfirmed = states.filter(|(_, state)| {
            let found = state.unreachable_at;
            let is_open = found.is_some_and(|at| is_fresh(now, at)) && !state.settled;
            is_open
                && !state.by_peer
                && state.confirmers_asked < CONFIRMERS
                && now >= state.next_confirmer_at
                && !state.peers.confirm(now, own, one_zone)
        });
        let asked = unconfirmed.map(|(cookie, state)| {
            state.confirmers_asked += 1;
            state.next_confirmer_at = now.after(CONFIRMATION_TIME);
            *cookie
        });
        asked.collect()
    }

    /// Something speaks against an instance. Returns whether that is news, for peers.
    pub fn question(&mut self, now: Timestamp, cookie: Cookie, doubter: Doubter) -> bool {
        let state = self.states.entry(cookie).or_default();
        let probed_at = state.probed_at;
        let lately = probed_at.is_some_and(|at| now.since(at) < QUESTION_INTERVAL);
        let is_answered = doubter == Doubter::Node && state.peers.agree(now);
        let is_over = state.settled || state.succeeded || is_answered;
        if state.questioned || state.under_way || lately || is_over {
            return false;
        }
        state.questioned = true;
        state.by_peer = doubter == Doubter::Peer;
        if state.by_peer || !state.peers.any(now) {
            state.asked_at = state.by_peer.then_some(now);
        }
        state.inconclusive = 0;
        true
    }

    /// The instances in question that are to be probed now.
    pub fn questioned(&mut self, doubter: Doubter) -> Vec<Cookie> {
        let by_peer = doubter == Doubter::Peer;
        self.begin(|state| state.questioned && state.by_peer == by_peer)
    }

    /// The unreachable instances that are to be probed again, since nobody else has done so.
    pub fn due_again(&mut self, now: Timestamp) -> Vec<Cookie> {
        self.begin(|state| {
            let found_at = state.unreachable_at.filter(|at| is_fresh(now, *at));
            let is_due = state.recheck_at.is_some_and(|at| now >= at);
            let is_open = !state.settled && !state.succeeded;
            let is_renewed = |found_at| state.peers.agree_since(found_at);
            is_due && is_open && found_at.is_some_and(|found_at| !is_renewed(found_at))
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
        if std::mem::take(&mut state.is_void) {
            return None;
        }
        state.probed_at = Some(now);
        let lived = state.lived_at;
        let lives = lived.is_some_and(|at| now.since(at) < QUESTION_INTERVAL);
        if state.succeeded || (lives && outcome == ProbeOutcome::Unreachable) {
            return None;
        }
        if outcome == ProbeOutcome::Inconclusive {
            state.inconclusive += 1;
            if state.inconclusive >= INCONCLUSIVE_PROBES {
                state.questioned = false;
                state.recheck_at = None;
            }
            return None;
        }
        state.questioned = false;
        state.inconclusive = 0;
        if outcome == ProbeOutcome::Reached {
            if was_unreachable {
                state.avoided_until = now.after(AVOIDANCE);
            }
            state.unreachable_at = None;
            state.reached_at = Some(now);
            state.peers = PeerFindings::default();
            state.settled = false;
            state.recheck_at = None;
        } else {
            state.unreachable_at = Some(now);
            state.confirmers_asked = 0;
            state.asked_at.get_or_insert(now);
            state.recheck_at = Some(now.after(RECHECK_INTERVAL));
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

    /// Forgets what is held of an instance. A probe of it that is under way tells nothing.
    pub fn forget(&mut self, cookie: Cookie) {
        if let Some(state) = self.states.get_mut(&cookie) {
            *state = InstanceState {
                under_way: state.under_way,
                is_void: state.under_way,
                ..InstanceState::default()
            };
        }
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

    /// Instances that openings avoid: the unreachable ones, those that were a while ago, and those that another node
    /// of this zone can't reach.
    #[must_use]
    pub fn avoided(&self, now: Timestamp) -> BTreeSet<Cookie> {
        let zone = self.own.zone;
        let states = self.states.iter();
        let avoided = states.filter(|(_, state)| {
            let is_open = !state.succeeded && state.peers.speak_for(now, zone);
            is_open || state.is_unreachable(now) || now < state.avoided_until
        });
        avoided.map(|(cookie, _)| *cookie).collect()
    }

    /// Whether an instance is in question, or held to be unreachable.
    #[must_use]
    pub fn is_in_doubt(&self, now: Timestamp, cookie: Cookie) -> bool {
        let state = self.states.get(&cookie);
        state.is_some_and(|state| {
            state.questioned || state.is_unreachable(now) || state.peers.any(now)
        })
    }

    /// Forgets what this node holds, since it stood still: nothing of it is fresh any more.
    pub fn stalled(&mut self) {
        for state in self.states.values_mut() {
            state.unreachable_at = None;
            state.peers = PeerFindings::default();
            state.avoided_until = Timestamp::ZERO;
            state.settled = false;
        }
    }
}

impl InstanceState {
    fn is_in_question(&self, now: Timestamp) -> bool {
        let is_open = self.questioned || self.is_unreachable(now) || self.peers.any(now);
        is_open && !self.settled && !self.succeeded
    }

    fn is_unreachable(&self, now: Timestamp) -> bool {
        let verdict = self.unreachable_at;
        let found = verdict.is_some_and(|at| is_fresh(now, at));
        self.settled || found || self.peers.agree(now)
    }
}
