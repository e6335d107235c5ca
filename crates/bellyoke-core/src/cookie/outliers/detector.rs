//! Compares instances by the requests that nodes report.

use super::tally::{InstanceTally, requests_by_service};
use crate::cookie::instance::Cookie;
use crate::cookie::table::{ForwardingTable, RouteService, ServiceNumber};
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Upper bound on the counts of an instance, which makes old requests lose their weight sooner.
const MAXIMUM_REQUEST_COUNT: f64 = 1_000.0;

/// Counts of bad requests at or below this value are treated as zero.
const NEGLIGIBLE_REQUESTS: f64 = 0.05;

/// Consecutive good requests after which an outlier is reinstated. An instance that fails half of
/// its requests reaches this number by chance once in 256 times.
const REINSTATEMENT_GOOD_REQUESTS: u32 = 8;

/// How often the evidence timeout of an ejected instance may double.
const MAXIMUM_TIMEOUT_DOUBLINGS: u32 = 2;

/// Thresholds for ejecting and reinstating instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierSettings {
    /// Largest share of a service's instances that may be ejected at a time; zero disables
    /// ejection.
    pub largest_share: f64,
    /// Half-life of the request counts.
    pub half_life: Duration,
    /// Minimum count of recent bad requests for an ejection.
    pub minimum_bad_requests: f64,
    /// Minimum fraction of an instance's requests that are bad for an ejection.
    pub minimum_bad_fraction: f64,
    /// Minimum ratio of that fraction to the one of the service's median instance for an ejection.
    pub minimum_median_factor: f64,
    /// An outlier without any reported request for this long is reinstated.
    pub evidence_timeout: Duration,
}

impl Default for OutlierSettings {
    fn default() -> Self {
        Self {
            largest_share: 0.4,
            half_life: Duration::from_secs(2),
            minimum_bad_requests: 2.5,
            minimum_bad_fraction: 0.2,
            minimum_median_factor: 3.0,
            // With many outliers, trial flows send each of them one request in two seconds; at 4 s,
            // one in ten was reinstated for lack of requests.
            evidence_timeout: Duration::from_secs(10),
        }
    }
}

/// An ejection or reinstatement of an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierChange {
    /// The instance.
    pub cookie: Cookie,
    /// Whether it was ejected; otherwise it was reinstated.
    pub is_outlier: bool,
    /// Decayed count of bad requests.
    pub bad: f64,
    /// Decayed count of the reported requests.
    pub requests: f64,
    /// Fraction of bad requests at the service's median instance.
    pub median_bad_fraction: f64,
    /// How long it had been ejected.
    pub ejected_for: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    requests: f64,
    bad: f64,
    /// Requests reported since the last bad one.
    consecutive_good: u32,
    /// Since when it has been ejected.
    ejected_at: Option<Timestamp>,
    /// When a request to it was last reported.
    reported_at: Timestamp,
    /// When it was last reinstated.
    reinstated_at: Option<Timestamp>,
    /// Number of consecutive times that it was ejected soon after its reinstatement.
    re_ejections: u32,
}

/// Compares the instances of each service by decaying counts of reported requests.
#[derive(Debug)]
pub struct OutlierDetector {
    settings: OutlierSettings,
    evidence: BTreeMap<Cookie, Evidence>,
    /// Decayed count of this node's own requests to each service.
    own_requests: BTreeMap<ServiceNumber, f64>,
    decayed_at: Timestamp,
}

impl OutlierDetector {
    /// Creates a detector without any evidence.
    #[must_use]
    pub const fn new(settings: OutlierSettings) -> Self {
        Self {
            settings,
            evidence: BTreeMap::new(),
            own_requests: BTreeMap::new(),
            decayed_at: Timestamp::ZERO,
        }
    }

    /// Returns whether there is evidence against no instance.
    #[must_use]
    pub fn has_no_evidence(&self) -> bool {
        self.evidence.is_empty()
    }

    /// Counts this node's own requests, from which the total of all nodes is estimated.
    pub fn record_own_requests(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        tallies: &[InstanceTally],
    ) {
        self.decay(now);
        for (service, requests) in requests_by_service(tallies, |cookie| table.service_of(cookie)) {
            *self.own_requests.entry(service).or_default() += requests;
        }
    }

    /// Clears the reports when this node no longer collects them.
    pub fn clear_reports(&mut self) {
        self.evidence.clear();
    }

    /// Removes the reports about an instance.
    pub fn forget(&mut self, cookie: Cookie) {
        self.evidence.remove(&cookie);
    }

    /// Adds a report of a node.
    pub fn record_report(&mut self, now: Timestamp, tallies: &[InstanceTally]) {
        self.decay(now);
        self.record(now, tallies);
    }

    /// Compares the instances and returns the changes. `nodes` is the estimated number of nodes
    /// that report.
    pub fn review(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        nodes: f64,
    ) -> Vec<OutlierChange> {
        if self.evidence.is_empty() {
            return Vec::new();
        }
        self.decay(now);
        let mut changes = Vec::new();
        for number in 0..table.services().len() {
            let Ok(number) = u32::try_from(number) else {
                break;
            };
            let service = ServiceNumber(number);
            self.review_service(now, table, service, nodes, &mut changes);
        }
        let is_known = |cookie| table.destination(cookie).is_some();
        let evidence_timeout = self.settings.evidence_timeout * (1 << MAXIMUM_TIMEOUT_DOUBLINGS);
        self.evidence.retain(|cookie, evidence| {
            let counts = evidence.ejected_at.is_some() || evidence.bad > NEGLIGIBLE_REQUESTS;
            is_known(*cookie) && (counts || now.since(evidence.reported_at) < evidence_timeout)
        });
        changes
    }

    /// Returns the ejected instances, the worst first.
    #[must_use]
    pub fn outliers(&self) -> Vec<Cookie> {
        let evidence = self.evidence.iter();
        let mut ejected: Vec<_> = evidence
            .filter(|(_, evidence)| evidence.ejected_at.is_some())
            .collect();
        ejected.sort_by(|(_, one), (_, other)| other.bad.total_cmp(&one.bad));
        ejected.into_iter().map(|(cookie, _)| *cookie).collect()
    }

    fn record(&mut self, now: Timestamp, tallies: &[InstanceTally]) {
        for tally in tallies {
            let is_known = self.evidence.contains_key(&tally.cookie);
            // Good requests are counted only for instances that already had a bad one.
            if !is_known && tally.bad() == 0 {
                continue;
            }
            let evidence = self.evidence.entry(tally.cookie).or_default();
            evidence.requests =
                (evidence.requests + f64::from(tally.requests)).min(MAXIMUM_REQUEST_COUNT);
            evidence.bad = (evidence.bad + f64::from(tally.bad())).min(MAXIMUM_REQUEST_COUNT);
            evidence.consecutive_good = match tally.bad() {
                0 => evidence
                    .consecutive_good
                    .saturating_add(u32::from(tally.requests)),
                _ => 0,
            };
            evidence.reported_at = now;
        }
    }

    fn decay(&mut self, now: Timestamp) {
        let passed = now.since(self.decayed_at).as_secs_f64();
        self.decayed_at = now;
        let factor = (-passed / self.settings.half_life.as_secs_f64()).exp2();
        for evidence in self.evidence.values_mut() {
            evidence.requests *= factor;
            evidence.bad *= factor;
        }
        for requests in self.own_requests.values_mut() {
            *requests *= factor;
        }
    }

    fn review_service(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        service: ServiceNumber,
        nodes: f64,
        changes: &mut Vec<OutlierChange>,
    ) {
        let part = RouteService { weight: 1, service };
        let candidates: BTreeSet<Cookie> = table
            .candidates(&part)
            .iter()
            .map(|candidate| candidate.cookie)
            .collect();
        let own = self.own_requests.get(&service).copied().unwrap_or_default();
        let expected = own * nodes / (candidates.len().max(1) as f64);
        let median_bad_fraction = self.median_bad_fraction_of(&candidates, expected);
        let maximum_ejected = (candidates.len() as f64 * self.settings.largest_share) as usize;
        self.reinstate(now, &candidates, median_bad_fraction, changes);
        let is_ejected = |evidence: &Evidence| evidence.ejected_at.is_some();
        let ejected = candidates
            .iter()
            .filter(|cookie| self.evidence.get(cookie).is_some_and(is_ejected))
            .count();
        let mut worst: Vec<(f64, Cookie)> = candidates
            .iter()
            .filter_map(|cookie| {
                let evidence = self.evidence.get(cookie)?;
                self.exceeds_thresholds(evidence, expected, median_bad_fraction)
                    .then_some((evidence.bad, *cookie))
            })
            .collect();
        worst.sort_by(|one, other| other.0.total_cmp(&one.0));
        for (_, cookie) in worst
            .into_iter()
            .take(maximum_ejected.saturating_sub(ejected))
        {
            changes.extend(self.eject(now, cookie, median_bad_fraction));
        }
    }

    /// Returns the fraction of bad requests at the median instance. Instances without evidence
    /// count as zero.
    fn median_bad_fraction_of(&self, candidates: &BTreeSet<Cookie>, expected: f64) -> f64 {
        let fractions = candidates.iter().map(|cookie| {
            let evidence = self.evidence.get(cookie);
            evidence.map_or(0.0, |evidence| bad_fraction(evidence, expected))
        });
        let mut fractions: Vec<f64> = fractions.collect();
        fractions.sort_by(f64::total_cmp);
        fractions
            .get(fractions.len() / 2)
            .copied()
            .unwrap_or_default()
    }

    fn exceeds_thresholds(
        &self,
        evidence: &Evidence,
        expected: f64,
        median_bad_fraction: f64,
    ) -> bool {
        let settings = &self.settings;
        let fraction = bad_fraction(evidence, expected);
        evidence.ejected_at.is_none()
            && evidence.bad >= settings.minimum_bad_requests
            && fraction >= settings.minimum_bad_fraction
            && fraction >= median_bad_fraction * settings.minimum_median_factor
    }

    fn eject(
        &mut self,
        now: Timestamp,
        cookie: Cookie,
        median_bad_fraction: f64,
    ) -> Option<OutlierChange> {
        let evidence_timeout = self.settings.evidence_timeout;
        let evidence = self.evidence.get_mut(&cookie)?;
        evidence.ejected_at = Some(now);
        let is_recent = |reinstated_at: Timestamp| now.since(reinstated_at) < evidence_timeout * 2;
        evidence.re_ejections = if evidence.reinstated_at.is_some_and(is_recent) {
            (evidence.re_ejections + 1).min(MAXIMUM_TIMEOUT_DOUBLINGS)
        } else {
            0
        };
        Some(OutlierChange {
            cookie,
            is_outlier: true,
            bad: evidence.bad,
            requests: evidence.requests,
            median_bad_fraction,
            ejected_for: Duration::ZERO,
        })
    }

    /// Reinstates instances that answer well, or without reported requests for the evidence
    /// timeout.
    fn reinstate(
        &mut self,
        now: Timestamp,
        candidates: &BTreeSet<Cookie>,
        median_bad_fraction: f64,
        changes: &mut Vec<OutlierChange>,
    ) {
        let settings = self.settings;
        let reinstatement_fraction = (settings.minimum_bad_fraction / 2.0)
            .max(median_bad_fraction * settings.minimum_median_factor / 2.0);
        for cookie in candidates {
            let Some(evidence) = self.evidence.get_mut(cookie) else {
                continue;
            };
            let Some(ejected_at) = evidence.ejected_at else {
                continue;
            };
            let evidence_timeout = settings.evidence_timeout * (1 << evidence.re_ejections);
            let has_timed_out = now.since(evidence.reported_at.max(ejected_at)) >= evidence_timeout;
            let is_good = evidence.requests >= settings.minimum_bad_requests
                && evidence.bad / evidence.requests < reinstatement_fraction;
            let has_recovered = evidence.consecutive_good >= REINSTATEMENT_GOOD_REQUESTS;
            if !(has_timed_out || is_good || has_recovered) {
                continue;
            }
            changes.push(OutlierChange {
                cookie: *cookie,
                is_outlier: false,
                bad: evidence.bad,
                requests: evidence.requests,
                median_bad_fraction,
                ejected_for: now.since(ejected_at),
            });
            evidence.ejected_at = None;
            evidence.bad = 0.0;
            evidence.reinstated_at = Some(now);
        }
    }
}

/// Returns the fraction of an instance's requests that are bad. Nodes report good requests only of
/// instances with bad ones, so an instance is assumed to have had at least as many requests as the
/// average of its service.
fn bad_fraction(evidence: &Evidence, expected: f64) -> f64 {
    let requests = if evidence.ejected_at.is_some() {
        evidence.requests
    } else {
        evidence.requests.max(expected)
    };
    if requests > 0.0 {
        (evidence.bad / requests).min(1.0)
    } else {
        0.0
    }
}
