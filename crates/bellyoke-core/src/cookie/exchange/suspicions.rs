//! Messages about instances that may be dead: failed openings, probe requests, findings and
//! refutations.

use super::{Exchange, ExchangeEffect, Heartbeat, ProbeRequest, ReachabilityReport, Refutation};
use crate::cookie::instance::Cookie;
use crate::cookie::reachability::{Finding, Origin};
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

    /// Reports to peers that suspected instances are alive.
    pub fn refute_suspicions(&mut self, cookies: &[Cookie]) -> Vec<ExchangeEffect> {
        let mut effects = Vec::new();
        for cookies in cookies.chunks(Refutation::MAXIMUM_COOKIES) {
            let refutation = Refutation {
                cookies: cookies.iter().map(|cookie| cookie.bits()).collect(),
            };
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
