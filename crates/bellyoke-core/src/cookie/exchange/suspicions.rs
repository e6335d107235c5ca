//! Messages about instances that may be dead: failed openings, probe requests, findings and
//! refutations.

use super::{Exchange, ExchangeEffect, Heartbeat, ProbeRequest, ReachabilityReport, Refutation};
use crate::cookie::instance::Cookie;
use crate::cookie::reachability::{Finding, LifeSign, Origin};
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

/// Minimum time between two reports of findings. Findings about many instances that die together
/// share datagrams: a node sends at most eighty datagrams per second for 1,000 dead instances, and
/// the finding about a single one takes 0.1 s longer to reach all nodes.
const FINDINGS_INTERVAL: Duration = Duration::from_millis(50);

/// Number of peers that must suspect an instance before the suspicion counts.
const REQUIRED_WITNESSES: usize = 2;

impl Exchange {
    /// Sets the instances that fail to complete openings which this node sent itself. Suspicions
    /// received from peers are not forwarded, and a suspicion therefore ends once the nodes that
    /// observed the failures drop it.
    pub fn set_failing(&mut self, mut failing: Vec<Cookie>) {
        failing.truncate(Heartbeat::MAXIMUM_FAILING);
        self.failing = failing;
    }

    /// Asks one peer, preferably of another zone, to probe instances that this node could not
    /// reach.
    pub fn request_probes(&mut self, cookies: &[Cookie]) -> Vec<ExchangeEffect> {
        let mut effects = Vec::new();
        for cookies in cookies.chunks(ProbeRequest::MAXIMUM_COOKIES) {
            let request = ProbeRequest {
                cookies: cookies.iter().map(|cookie| cookie.bits()).collect(),
            };
            let receiver = self.confirming_receiver();
            effects.extend(receiver.map(|to| ExchangeEffect::SendProbeRequest { to, request }));
        }
        effects
    }

    /// Queues probe findings and reports them to peers, together with other findings of the next
    /// moments.
    pub fn report_findings(
        &mut self,
        now: Timestamp,
        findings: Vec<Finding>,
    ) -> Vec<ExchangeEffect> {
        self.pending_findings.extend(findings);
        self.flush_findings(now)
    }

    /// Queues the repetitions of findings that are reported now.
    pub fn repeat_findings(&mut self, now: Timestamp, findings: impl Iterator<Item = Finding>) {
        for finding in findings {
            self.repeated_findings
                .retain(|earlier| earlier.cookie != finding.cookie);
            self.repeated_findings.push(now, finding);
        }
    }

    /// Sends findings and refutations again that may not have reached all nodes.
    pub(super) fn repeat_messages(&mut self, now: Timestamp) -> Vec<ExchangeEffect> {
        let findings = self.repeated_findings.take_due(now);
        self.pending_findings.extend(findings);
        let refuted = self.repeated_refutations.take_due(now);
        self.send_refutations(now, &refuted)
    }

    /// Reports the pending findings unless the last report was too recent.
    pub(super) fn flush_findings(&mut self, now: Timestamp) -> Vec<ExchangeEffect> {
        let mut effects = Vec::new();
        if self.pending_findings.is_empty() || now < self.next_findings_report {
            return effects;
        }
        self.next_findings_report = now.after(FINDINGS_INTERVAL);
        let findings = std::mem::take(&mut self.pending_findings);
        for findings in findings.chunks(ReachabilityReport::MAXIMUM_FINDINGS) {
            let report = ReachabilityReport::new(now, findings);
            let receivers = self.urgent_receivers().into_iter();
            effects.extend(receivers.map(|to| {
                let report = report.clone();
                ExchangeEffect::SendFindings { to, report }
            }));
        }
        effects
    }

    /// Returns whether no known peer and no advertised zone size belongs to another zone.
    #[must_use]
    pub fn knows_only_own_zone(&self) -> bool {
        let zone = self.own_zone();
        let mut peers = self.peers.iter();
        self.zone_sizes.nodes_outside(zone) == 0.0
            && peers.all(|(_, record)| record.place.zone == zone)
    }

    /// Returns this node as the origin of its findings.
    #[must_use]
    pub const fn origin(&self) -> Origin {
        Origin {
            node: self.own_address,
            zone: self.own_zone(),
        }
    }

    /// Reports to peers that suspected instances were seen alive, by this node or another one.
    /// Findings that say otherwise are not repeated any more.
    pub fn refute_suspicions(&mut self, now: Timestamp, signs: &[LifeSign]) -> Vec<ExchangeEffect> {
        for sign in signs {
            self.repeated_findings
                .retain(|finding| finding.cookie != sign.cookie);
            self.repeated_refutations
                .retain(|earlier| earlier.cookie != sign.cookie);
            self.repeated_refutations.push(now, *sign);
        }
        self.send_refutations(now, signs)
    }

    fn send_refutations(&mut self, now: Timestamp, signs: &[LifeSign]) -> Vec<ExchangeEffect> {
        let mut effects = Vec::new();
        for signs in signs.chunks(Refutation::MAXIMUM_INSTANCES) {
            let refutation = Refutation::new(now, signs);
            let receivers = self.urgent_receivers();
            let sent = receivers.into_iter().map(|to| {
                let refutation = refutation.clone();
                ExchangeEffect::SendRefutation { to, refutation }
            });
            effects.extend(sent);
        }
        effects
    }

    /// Returns the instances that several peers suspect. A single peer is not enough, since it may
    /// be the one that is cut off from the instance.
    #[must_use]
    pub fn peer_suspicions(&self) -> BTreeSet<Cookie> {
        self.peers.suspected(REQUIRED_WITNESSES)
    }
}
