//! The coordinator's part in finding out which instances can't be reached.

use super::{Coordinator, Outcome};
use crate::cookie::directory::KnownInstance;
use crate::cookie::exchange::{ExchangeEffect, Objection, Question};
use crate::cookie::instance::{Cookie, InstanceState};
use crate::cookie::placement::mix;
use crate::cookie::reachability::{
    ATTEMPTS, ATTEMPTS_AGAIN, ATTEMPTS_FOR_PEERS, CONTROLS, Doubter, ProbeBatch, ProbeOutcome,
    ReachabilityChange, ReachabilityMonitor, RecordState,
};
use crate::cookie::replica::StateChange;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

impl Coordinator {
    /// Openings of this node at some instances came to nothing.
    pub fn doubt(&mut self, now: Timestamp, cookies: &[Cookie]) {
        for cookie in cookies {
            self.reachability.question(now, *cookie, Doubter::Node);
        }
        self.note_records(now);
    }

    /// The probe to begin now; none if no instance is in question. `sound` are instances at which
    /// this node's openings completed a moment ago.
    pub fn next_probe(&mut self, now: Timestamp, sound: &[Cookie]) -> Option<ProbeBatch> {
        let mut due = self.reachability.questioned(Doubter::Node);
        let mut attempts = ATTEMPTS;
        if due.is_empty() {
            due = self.reachability.questioned(Doubter::Peer);
            attempts = ATTEMPTS_FOR_PEERS;
        }
        if due.is_empty() {
            due = self.reachability.due_again(now);
            attempts = ATTEMPTS_AGAIN;
        }
        let batch = (!due.is_empty()).then(|| self.probe_of(now, &due, sound));
        batch.map(|batch| batch.with_attempts(attempts))
    }

    fn probe_of(&self, now: Timestamp, cookies: &[Cookie], sound: &[Cookie]) -> ProbeBatch {
        let known = self.known_by_cookie();
        let suspects = cookies.iter().filter_map(|cookie| {
            let known = known.get(cookie)?;
            Some((*cookie, known.record.address))
        });
        let controls = controls(now, &known, &self.reachability, sound);
        ProbeBatch::new(suspects.collect(), controls)
    }

    fn known_by_cookie(&self) -> BTreeMap<Cookie, &KnownInstance> {
        let known = self.replica.directory().instances();
        known
            .map(|known| (Cookie::of(known.record.id), known))
            .collect()
    }

    /// A probe is over. Returns what changed, and what to tell peers.
    pub fn probed(
        &mut self,
        now: Timestamp,
        outcomes: &[(Cookie, ProbeOutcome)],
    ) -> (Vec<ReachabilityChange>, Vec<ExchangeEffect>) {
        self.note_records(now);
        let changes: Vec<ReachabilityChange> = outcomes
            .iter()
            .filter_map(|(cookie, outcome)| self.reachability.probed(now, *cookie, *outcome))
            .collect();
        self.note_records(now);
        let lost = changes.iter().filter(|change| change.unreachable);
        let lost: Vec<Cookie> = lost.map(|change| change.cookie).collect();
        (changes, self.exchange.ask_peers(&lost))
    }

    /// Instances that openings avoid: those that this node can't reach, or couldn't a while ago.
    #[must_use]
    pub fn avoided(&self, now: Timestamp) -> BTreeSet<Cookie> {
        self.reachability.avoided(now)
    }

    /// Instances that this node can't reach.
    #[must_use]
    pub fn unreachable(&self, now: Timestamp) -> BTreeSet<Cookie> {
        self.reachability.unreachable(now)
    }

    /// Instances whose flows may be ended, resting ones too.
    #[must_use]
    pub fn ended(&self, now: Timestamp) -> BTreeSet<Cookie> {
        self.reachability.ended(now)
    }

    /// Instances of which a sign of life would change something.
    #[must_use]
    pub fn in_question(&self, now: Timestamp) -> BTreeSet<Cookie> {
        self.reachability.in_question(now)
    }

    /// Flows of some instances have gone on a moment ago. Returns those that were in question, and what to
    /// tell peers.
    pub fn object(
        &mut self,
        now: Timestamp,
        living: &[Cookie],
    ) -> (Vec<Cookie>, Vec<ExchangeEffect>) {
        let living = living.iter().copied();
        let dropped: Vec<Cookie> = living
            .filter(|cookie| self.reachability.lives(now, *cookie))
            .collect();
        let effects = self.exchange.tell_living(&dropped);
        (dropped, effects)
    }

    /// A peer objects: some instances live. What is news goes on to others.
    pub(super) fn objection(&mut self, now: Timestamp, objection: &Objection) -> Outcome {
        let living = objection.cookies.iter();
        let living: Vec<Cookie> = living.filter_map(|bits| Cookie::from_bits(*bits)).collect();
        let (_, effects) = self.object(now, &living);
        Outcome {
            change: StateChange::default(),
            effects,
        }
    }

    /// Tells the reachability monitor whose records have gone, or whose addresses passed on. It holds few instances mostly.
    pub(super) fn note_records(&mut self, now: Timestamp) {
        let held = &self.reachability;
        if held.is_empty() {
            return;
        }
        let directory = self.replica.directory();
        let succeeded = directory.succeeded();
        let held = directory.instances().filter_map(|known| {
            let cookie = Cookie::of(known.record.id);
            let state = if succeeded.contains(&known.record.id) {
                RecordState::Succeeded
            } else if known.gone_at.is_some() {
                RecordState::Gone
            } else {
                RecordState::Present
            };
            held.holds(cookie).then_some((cookie, state))
        });
        let states: BTreeMap<Cookie, RecordState> = held.collect();
        self.reachability
            .note_records(now, |cookie| states.get(&cookie).copied());
    }

    /// A peer can't reach some instances: this node probes them too, and passes the question on.
    pub(super) fn question(&mut self, now: Timestamp, question: &Question) -> Outcome {
        let asked = question.cookies.iter();
        let asked: BTreeSet<Cookie> = asked.filter_map(|bits| Cookie::from_bits(*bits)).collect();
        let known = self.replica.directory().instances();
        let known = known.map(|known| Cookie::of(known.record.id));
        let news: Vec<Cookie> = known
            .filter(|cookie| asked.contains(cookie))
            .filter(|cookie| self.reachability.question(now, *cookie, Doubter::Peer))
            .collect();
        self.note_records(now);
        Outcome {
            change: StateChange::default(),
            effects: self.exchange.ask_peers(&news),
        }
    }
}

/// Instances that nothing speaks against, as controls of a probe: those that were known to be sound
/// last go first. Which they are changes from probe to probe.
fn controls(
    now: Timestamp,
    known: &BTreeMap<Cookie, &KnownInstance>,
    reachability: &ReachabilityMonitor,
    proven: &[Cookie],
) -> Vec<SocketAddrV4> {
    let sound = known.iter().filter(|(cookie, known)| {
        let serves = known.gone_at.is_none() && known.record.state == InstanceState::Ready;
        serves && known.warm_at <= now && !reachability.is_in_doubt(now, **cookie)
    });
    let mut sound: Vec<&KnownInstance> = sound.map(|(_, known)| *known).collect();
    sound.sort_unstable_by_key(|known| {
        let cookie = Cookie::of(known.record.id);
        let rank = proven.iter().position(|proven| *proven == cookie);
        let order = mix(known.record.id.0 ^ now.as_micros());
        (rank.unwrap_or(proven.len()), order)
    });
    let chosen = sound.iter().take(CONTROLS);
    chosen.map(|known| known.record.address).collect()
}
