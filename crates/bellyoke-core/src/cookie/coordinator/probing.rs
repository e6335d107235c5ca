//! The coordinator's part in finding out which instances can't be reached.

use super::{Coordinator, Outcome};
use crate::cookie::directory::{Directory, KnownInstance};
use crate::cookie::exchange::{ExchangeEffect, Objection, Question, ReachabilityReport};
use crate::cookie::instance::{Cookie, InstanceState};
use crate::cookie::placement::mix;
use crate::cookie::reachability::{
    ATTEMPTS, ATTEMPTS_AGAIN, ATTEMPTS_FOR_PEERS, CONTROLS, CONTROLS_AGAIN, Doubter, Finding,
    ProbeBatch, ProbeOutcome, ReachabilityChange, ReachabilityMonitor, RecordState,
};
use crate::cookie::replica::StateChange;
use crate::time::Timestamp;
use std::collections::BTreeSet;
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
        let (mut attempts, mut controls) = (ATTEMPTS, CONTROLS);
        if due.is_empty() {
            due = self.reachability.questioned(Doubter::Peer);
            (attempts, controls) = (ATTEMPTS_FOR_PEERS, CONTROLS_AGAIN);
        }
        if due.is_empty() {
            due = self.reachability.due_again(now);
            (attempts, controls) = (ATTEMPTS_AGAIN, CONTROLS_AGAIN);
        }
        if due.is_empty() {
            return None;
        }
        let batch = self.probe_of(now, &due, sound, controls);
        Some(batch.with_attempts(attempts))
    }

    fn probe_of(
        &self,
        now: Timestamp,
        cookies: &[Cookie],
        sound: &[Cookie],
        count: usize,
    ) -> ProbeBatch {
        let directory = self.replica.directory();
        let suspects = cookies.iter().filter_map(|cookie| {
            let known = directory.find(*cookie)?;
            Some((*cookie, known.record.address))
        });
        let controls = controls(now, directory, &self.reachability, sound, count);
        ProbeBatch::new(suspects.collect(), controls)
    }

    /// A probe is over. Returns what changed, and what to tell and ask peers.
    pub fn probed(
        &mut self,
        now: Timestamp,
        outcomes: &[(Cookie, ProbeOutcome)],
    ) -> (Vec<ReachabilityChange>, Vec<ExchangeEffect>) {
        self.note_records(now);
        let mut changes = Vec::new();
        let mut findings = Vec::new();
        for (cookie, outcome) in outcomes {
            let change = self.reachability.probed(now, *cookie, *outcome);
            let is_unreachable = self.reachability.was_found(now, *cookie);
            let is_back = change.is_some_and(|change| !change.unreachable);
            if is_unreachable || is_back {
                findings.push(self.reachability.own_finding(now, *cookie, is_back));
            }
            changes.extend(change);
        }
        self.note_records(now);
        let mut effects = self.exchange.tell_findings(now, findings);
        effects.extend(self.ask_for_confirmation(now));
        (changes, effects)
    }

    /// Asks a peer of another zone to probe what this node couldn't reach, and another one if it doesn't confirm it.
    pub(super) fn ask_for_confirmation(&mut self, now: Timestamp) -> Vec<ExchangeEffect> {
        if self.reachability.is_empty() {
            return Vec::new();
        }
        self.reachability
            .set_one_zone(self.exchange.stands_in_only_zone());
        let unconfirmed = self.reachability.unconfirmed(now);
        self.exchange.ask_peer(&unconfirmed)
    }

    /// A peer tells what nodes couldn't reach, or reach again. What is news goes on to others.
    pub(super) fn findings(&mut self, now: Timestamp, report: &ReachabilityReport) -> Outcome {
        self.reachability
            .set_one_zone(self.exchange.stands_in_only_zone());
        let directory = self.replica.directory();
        let reachability = &mut self.reachability;
        let told = report.findings_at(now);
        let known = told.filter(|finding| directory.find(finding.cookie).is_some());
        let news: Vec<Finding> = known
            .filter(|finding| reachability.note_finding(now, finding))
            .collect();
        Outcome {
            change: StateChange::default(),
            effects: self.exchange.tell_findings(now, news),
        }
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

    /// Forgets what was found of instances that have started again since.
    pub(super) fn forget_earlier_runs(&mut self) {
        for id in self.replica.take_restarted() {
            let cookie = Cookie::of(id);
            self.reachability.forget(cookie);
            self.outlying.forget(cookie);
        }
    }

    /// Tells the reachability monitor whose records have gone, or whose addresses passed on. It holds few instances mostly.
    pub(super) fn note_records(&mut self, now: Timestamp) {
        let held = &self.reachability;
        if held.is_empty() {
            return;
        }
        let directory = self.replica.directory();
        let succeeded = directory.with_reused_address();
        let state_of = |cookie| {
            let known = directory.find(cookie)?;
            Some(if succeeded.contains(&known.record.id) {
                RecordState::Succeeded
            } else if known.removed_at.is_some() {
                RecordState::Gone
            } else {
                RecordState::Present
            })
        };
        self.reachability.note_records(now, state_of);
    }

    /// A peer can't reach some instances, and asks this node to probe them too.
    pub(super) fn question(&mut self, now: Timestamp, question: &Question) -> Outcome {
        let asked = question.cookies.iter();
        let asked = asked.filter_map(|bits| Cookie::from_bits(*bits));
        for cookie in asked {
            if self.replica.directory().find(cookie).is_some() {
                self.reachability.question(now, cookie, Doubter::Peer);
            }
        }
        self.note_records(now);
        Outcome::default()
    }
}

/// Instances that nothing speaks against, as controls of a probe: those that were known to be sound
/// last go first. Which they are changes from probe to probe.
fn controls(
    now: Timestamp,
    directory: &Directory,
    reachability: &ReachabilityMonitor,
    proven: &[Cookie],
    count: usize,
) -> Vec<SocketAddrV4> {
    let is_sound = |known: &&KnownInstance| {
        let cookie = Cookie::of(known.record.id);
        let serves = known.removed_at.is_none() && known.record.state == InstanceState::Ready;
        serves && known.warm_at <= now && !reachability.is_in_doubt(now, cookie)
    };
    let proven_first = proven.iter().filter_map(|cookie| directory.find(*cookie));
    let start = mix(now.as_micros()) as usize % directory.len().max(1);
    let others = directory.instances().skip(start);
    let others = others.chain(directory.instances().take(start));
    let mut chosen: Vec<SocketAddrV4> = Vec::with_capacity(count);
    for known in proven_first.chain(others).filter(is_sound) {
        if chosen.len() == count {
            break;
        }
        if !chosen.contains(&known.record.address) {
            chosen.push(known.record.address);
        }
    }
    chosen
}
