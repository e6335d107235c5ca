//! What peers tell each other of instances that may be dead: whose openings fail, which are in question, and
//! which live.

use super::{Exchange, ExchangeEffect, Heartbeat, ProbeRequest, ReachabilityReport, Refutation};
use crate::cookie::instance::Cookie;
use crate::cookie::reachability::{Finding, Origin};
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

/// Shortest time between two tellings of findings. Many instances that die together are told of together: a node
/// sends at most eighty datagrams a second for 1,000 dead ones, and word of one takes a tenth of a second longer
/// to reach all.
const FINDINGS_INTERVAL: Duration = Duration::from_millis(50);

/// Peers that must agree that an instance fails.
const REQUIRED_WITNESSES: usize = 2;

impl Exchange {
    /// Instances that don't complete the openings that this node sends itself. What it only
    /// heard of is not told on, so that a suspicion ends with those who saw it.
    pub fn set_failing(&mut self, mut failing: Vec<Cookie>) {
        failing.truncate(Heartbeat::MAXIMUM_FAILING);
        self.failing = failing;
    }

    /// Asks one peer, of another zone if there is one, to probe instances that this node couldn't reach.
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

    /// Tells peers what probes found, together with what else is found soon after.
    pub fn report_findings(
        &mut self,
        now: Timestamp,
        findings: Vec<Finding>,
    ) -> Vec<ExchangeEffect> {
        self.pending_findings.extend(findings);
        self.flush_findings(now)
    }

    /// Tells the findings that wait, unless others were told a moment ago.
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

    /// Whether no peer and no word of any stands in another zone.
    #[must_use]
    pub fn knows_only_own_zone(&self) -> bool {
        let zone = self.own_zone();
        let mut peers = self.peers.iter();
        self.zone_sizes.nodes_outside(zone) == 0.0
            && peers.all(|(_, record)| record.place.zone == zone)
    }

    /// This node, as the origin of what it finds.
    #[must_use]
    pub const fn origin(&self) -> Origin {
        Origin {
            node: self.own_address,
            zone: self.own_zone(),
        }
    }

    /// Objects to a question: some instances live.
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

    /// Instances that peers suspect. Several must agree before one counts: one alone may be
    /// cut off from it itself.
    #[must_use]
    pub fn peer_suspicions(&self) -> BTreeSet<Cookie> {
        self.peers.suspected(REQUIRED_WITNESSES)
    }
}
