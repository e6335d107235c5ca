//! Detection of unreachable instances by the coordinator.

use super::{Coordinator, Outcome};
use crate::cookie::directory::{Directory, KnownInstance};
use crate::cookie::exchange::{ExchangeEffect, ProbeRequest, ReachabilityReport, Refutation};
use crate::cookie::instance::{Cookie, InstanceState};
use crate::cookie::placement::mix;
use crate::cookie::reachability::{
    CONFIRMATION_ATTEMPTS, CONFIRMATION_CONTROLS, Finding, LifeSign, PROBE_ATTEMPTS,
    PROBE_CONTROLS, ProbeBatch, ProbeOutcome, RECHECK_ATTEMPTS, ReachabilityChange,
    ReachabilityMonitor, RecordState, SuspicionSource,
};
use crate::cookie::replica::StateChange;
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

impl Coordinator {
    /// Marks instances as suspected because openings of this node failed there.
    pub fn suspect(&mut self, now: Timestamp, cookies: &[Cookie]) {
        for cookie in cookies {
            self.reachability
                .suspect(now, *cookie, SuspicionSource::OwnOpening);
        }
        self.update_records(now);
    }

    /// Returns the probe to start now, or `None` if no instance needs one. `healthy` are instances
    /// at which openings of this node completed recently.
    pub fn next_probe(&mut self, now: Timestamp, healthy: &[Cookie]) -> Option<ProbeBatch> {
        let mut due = self.reachability.take_suspects(SuspicionSource::OwnOpening);
        let (mut attempts, mut controls) = (PROBE_ATTEMPTS, PROBE_CONTROLS);
        if due.is_empty() {
            due = self
                .reachability
                .take_suspects(SuspicionSource::PeerRequest);
            (attempts, controls) = (CONFIRMATION_ATTEMPTS, CONFIRMATION_CONTROLS);
        }
        if due.is_empty() {
            if let Some(configuration) = self.replica.configuration() {
                self.reachability
                    .set_flow_idle_timeout(configuration.idle_timeout());
            }
            due = self.reachability.take_rechecks(now);
            (attempts, controls) = (RECHECK_ATTEMPTS, CONFIRMATION_CONTROLS);
        }
        if due.is_empty() {
            return None;
        }
        let batch = self.build_probe(now, &due, healthy, controls);
        Some(batch.with_attempts(attempts))
    }

    fn build_probe(
        &self,
        now: Timestamp,
        cookies: &[Cookie],
        healthy: &[Cookie],
        count: usize,
    ) -> ProbeBatch {
        let directory = self.replica.directory();
        let suspects = cookies.iter().filter_map(|cookie| {
            let known = directory.find(*cookie)?;
            Some((*cookie, known.record.address))
        });
        let controls = select_controls(now, directory, &self.reachability, healthy, count);
        ProbeBatch::new(suspects.collect(), controls)
    }

    /// Records the outcomes of a probe. Returns the changes in reachability, and the reports and
    /// probe requests for peers.
    pub fn record_probes(
        &mut self,
        now: Timestamp,
        outcomes: &[(Cookie, ProbeOutcome)],
    ) -> (Vec<ReachabilityChange>, Vec<ExchangeEffect>) {
        self.update_records(now);
        let known_dead = self.reachability.unreachable(now);
        let mut changes = Vec::new();
        let mut findings = Vec::new();
        for (cookie, outcome) in outcomes {
            let change = self.reachability.record_probe(now, *cookie, *outcome);
            let is_unreachable = self.reachability.found_unreachable(now, *cookie);
            let is_reachable_again = change.is_some_and(|change| !change.unreachable);
            if is_unreachable || is_reachable_again {
                findings.push(
                    self.reachability
                        .own_finding(now, *cookie, is_reachable_again),
                );
            }
            changes.extend(change);
        }
        self.update_records(now);
        self.repeat_findings(now, &findings, &known_dead);
        let mut effects = self.exchange.report_findings(now, findings);
        effects.extend(self.request_confirmation(now));
        (changes, effects)
    }

    /// Asks a peer of another zone to probe the instances that this node could not reach, and
    /// another peer if that one does not confirm the finding.
    pub(super) fn request_confirmation(&mut self, now: Timestamp) -> Vec<ExchangeEffect> {
        if self.reachability.is_empty() {
            return Vec::new();
        }
        self.reachability
            .set_single_zone(self.exchange.knows_only_own_zone());
        let unconfirmed = self.reachability.take_unconfirmed(now);
        self.exchange.request_probes(&unconfirmed)
    }

    /// Records the findings in a peer's report, and forwards those that are new.
    pub(super) fn handle_findings(
        &mut self,
        now: Timestamp,
        report: &ReachabilityReport,
    ) -> Outcome {
        self.reachability
            .set_single_zone(self.exchange.knows_only_own_zone());
        let directory = self.replica.directory();
        let known_dead = self.reachability.unreachable(now);
        let reachability = &mut self.reachability;
        let findings = report.findings_at(now);
        let known = findings.filter(|finding| directory.find(finding.cookie).is_some());
        let new_findings: Vec<Finding> = known
            .filter(|finding| reachability.record_finding(now, finding))
            .collect();
        self.repeat_findings(now, &new_findings, &known_dead);
        Outcome {
            change: StateChange::default(),
            effects: self.exchange.report_findings(now, new_findings),
        }
    }

    /// Repeats the findings that may begin a verdict. Those that renew one reach enough nodes at
    /// once.
    fn repeat_findings(
        &mut self,
        now: Timestamp,
        findings: &[Finding],
        known_dead: &BTreeSet<Cookie>,
    ) {
        let first = findings.iter().copied();
        let first = first.filter(|finding| !known_dead.contains(&finding.cookie));
        self.exchange.repeat_findings(now, first);
    }

    /// Returns the instances that openings avoid: those that this node cannot reach, or could not
    /// reach recently.
    #[must_use]
    pub fn avoided(&self, now: Timestamp) -> BTreeSet<Cookie> {
        self.reachability.avoided(now)
    }

    /// Returns the instances that this node cannot reach.
    #[must_use]
    pub fn unreachable(&self, now: Timestamp) -> BTreeSet<Cookie> {
        self.reachability.unreachable(now)
    }

    /// Returns the instances whose flows may be ended, including idle ones.
    #[must_use]
    pub fn ended(&self, now: Timestamp) -> BTreeSet<Cookie> {
        self.reachability.ended(now)
    }

    /// Returns the instances under verification: activity of their flows would clear the suspicion.
    #[must_use]
    pub fn under_verification(&self, now: Timestamp) -> BTreeSet<Cookie> {
        self.reachability.under_verification(now)
    }

    /// Records that flows of some instances have recently made progress. Returns those that were
    /// under verification, and the messages to peers.
    pub fn report_alive(
        &mut self,
        now: Timestamp,
        signs: &[LifeSign],
    ) -> (Vec<Cookie>, Vec<ExchangeEffect>) {
        let signs = signs.iter().copied();
        let refuting: Vec<LifeSign> = signs
            .filter(|sign| self.reachability.record_life_sign(now, *sign))
            .collect();
        let effects = self.exchange.refute_suspicions(now, &refuting);
        let refuted = refuting.into_iter().map(|sign| sign.cookie);
        (refuted.collect(), effects)
    }

    /// Handles a peer's refutation, which reports that some instances are alive, and forwards the
    /// part that is new to this node.
    pub(super) fn handle_refutation(&mut self, now: Timestamp, refutation: &Refutation) -> Outcome {
        let directory = self.replica.directory();
        let signs = refutation.signs_at(now);
        let known = signs.filter(|sign| directory.find(sign.cookie).is_some());
        let reachability = &mut self.reachability;
        let new_signs: Vec<LifeSign> = known
            .filter(|sign| reachability.record_refutation(now, *sign))
            .collect();
        Outcome {
            change: StateChange::default(),
            effects: self.exchange.refute_suspicions(now, &new_signs),
        }
    }

    /// Removes the findings about instances that have restarted since.
    pub(super) fn forget_earlier_runs(&mut self) {
        for id in self.replica.take_restarted() {
            let cookie = Cookie::of(id);
            self.reachability.forget(cookie);
            self.outlier_state.forget(cookie);
        }
    }

    /// Passes deleted records and reused addresses to the reachability monitor, which contains few
    /// instances most of the time.
    pub(super) fn update_records(&mut self, now: Timestamp) {
        let reachability = &self.reachability;
        if reachability.is_empty() {
            return;
        }
        let directory = self.replica.directory();
        let address_reused = directory.with_reused_address();
        let record_of = |cookie| {
            let known = directory.find(cookie)?;
            Some(if address_reused.contains(&known.record.id) {
                RecordState::AddressReused
            } else if known.removed_at.is_some() {
                RecordState::Deleted
            } else {
                RecordState::Present
            })
        };
        self.reachability.update_records(now, record_of);
    }

    /// Handles a peer's request to probe instances that it cannot reach.
    pub(super) fn handle_probe_request(
        &mut self,
        now: Timestamp,
        request: &ProbeRequest,
    ) -> Outcome {
        let suspects = request.cookies.iter();
        let suspects = suspects.filter_map(|bits| Cookie::from_bits(*bits));
        for cookie in suspects {
            if self.replica.directory().find(cookie).is_some() {
                self.reachability
                    .suspect(now, cookie, SuspicionSource::PeerRequest);
            }
        }
        self.update_records(now);
        Outcome::default()
    }
}

/// Returns instances that are not suspected, as controls of a probe. Those known to be healthy come
/// first; the others vary from probe to probe.
fn select_controls(
    now: Timestamp,
    directory: &Directory,
    reachability: &ReachabilityMonitor,
    healthy: &[Cookie],
    count: usize,
) -> Vec<SocketAddrV4> {
    let is_healthy = |known: &&KnownInstance| {
        let cookie = Cookie::of(known.record.id);
        let serves = known.removed_at.is_none()
            && known.record.state == InstanceState::Ready
            && directory.names_service_of(&known.record);
        serves && known.warm_at <= now && !reachability.is_suspected(now, cookie)
    };
    let healthy_first = healthy.iter().filter_map(|cookie| directory.find(*cookie));
    let start = mix(now.as_micros()) as usize % directory.len().max(1);
    let others = directory.instances().skip(start);
    let others = others.chain(directory.instances().take(start));
    let mut chosen: Vec<SocketAddrV4> = Vec::with_capacity(count);
    for known in healthy_first.chain(others).filter(is_healthy) {
        if chosen.len() == count {
            break;
        }
        if !chosen.contains(&known.record.address) {
            chosen.push(known.record.address);
        }
    }
    chosen
}
