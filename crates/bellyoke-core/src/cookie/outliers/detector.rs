//! The comparison of instances by what nodes report of them.

use super::tally::{InstanceTally, asked_by_service};
use crate::cookie::instance::Cookie;
use crate::cookie::table::{ForwardingTable, RouteService, ServiceNumber};
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Requests counted at most by instance; what happened long ago is gone sooner then.
const MAXIMUM_COUNT: f64 = 1_000.0;

/// Below so much a count is nothing.
const NOTHING: f64 = 0.05;

/// An outlier with so many good requests in a row works again. One that fails half of them gets there by
/// luck once in 256 times.
const GOOD_IN_ROW: u32 = 8;

/// How often a held outlier may double the time until it is tried without evidence.
const MOST_DOUBLINGS: u32 = 2;

/// When an instance stands out, and what follows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierSettings {
    /// Largest part of a service's instances that are set aside; zero for none.
    pub largest_share: f64,
    /// Time in which counts halve.
    pub half_life: Duration,
    /// Bad requests that an instance must have had lately.
    pub least_bad: f64,
    /// Part of its requests that must be bad.
    pub least_part: f64,
    /// The same, as a multiple of what is bad at the service's median instance.
    pub least_factor: f64,
    /// An outlier of which nothing was heard for so long is one no longer.
    pub memory: Duration,
}

impl Default for OutlierSettings {
    fn default() -> Self {
        Self {
            largest_share: 0.4,
            half_life: Duration::from_secs(2),
            least_bad: 2.5,
            least_part: 0.2,
            least_factor: 3.0,
            // Trials bring a request in two seconds to one of many outliers; with 4 s one in ten came back for want of any.
            memory: Duration::from_secs(10),
        }
    }
}

/// A change of what is believed of an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierChange {
    /// The instance.
    pub cookie: Cookie,
    /// Whether it is set aside from now on.
    pub is_outlier: bool,
    /// Bad requests lately.
    pub bad: f64,
    /// Requests lately, as far as known.
    pub asked: f64,
    /// Part that is bad at the service's median instance.
    pub usual_part: f64,
    /// How long it was set aside.
    pub held: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    asked: f64,
    bad: f64,
    /// Requests reported since the last bad one.
    good_in_row: u32,
    /// Since when it is set aside.
    since: Option<Timestamp>,
    /// When a request to it was last reported.
    heard_at: Timestamp,
    /// When it was last let back.
    back_at: Option<Timestamp>,
    /// How often it was set aside again soon after it was let back.
    returns: u32,
}

/// Compares the instances of each service by decaying counts of what nodes report.
#[derive(Debug)]
pub struct OutlierDetector {
    settings: OutlierSettings,
    evidence: BTreeMap<Cookie, Evidence>,
    /// This node's own requests by service, decaying.
    own_asked: BTreeMap<ServiceNumber, f64>,
    decayed_at: Timestamp,
}

impl OutlierDetector {
    /// A detector that has heard nothing.
    #[must_use]
    pub const fn new(settings: OutlierSettings) -> Self {
        Self {
            settings,
            evidence: BTreeMap::new(),
            own_asked: BTreeMap::new(),
            decayed_at: Timestamp::ZERO,
        }
    }

    /// Whether nobody is set aside.
    #[must_use]
    pub fn is_calm(&self) -> bool {
        self.evidence.is_empty()
    }

    /// How many requests this node itself saw, from which it tells how many there are in all.
    pub fn note_own(&mut self, now: Timestamp, table: &ForwardingTable, tallies: &[InstanceTally]) {
        self.decay(now);
        for (service, asked) in asked_by_service(tallies, |cookie| table.service_of(cookie)) {
            *self.own_asked.entry(service).or_default() += asked;
        }
    }

    /// This node collects no longer.
    pub fn forget_reports(&mut self) {
        self.evidence.clear();
    }

    /// Forgets what was reported of an instance.
    pub fn forget(&mut self, cookie: Cookie) {
        self.evidence.remove(&cookie);
    }

    /// What a node reports.
    pub fn note_report(&mut self, now: Timestamp, tallies: &[InstanceTally]) {
        self.decay(now);
        self.note(now, tallies);
    }

    /// Compares the instances, and returns what changed. `nodes` report, as far as known.
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
        let memory = self.settings.memory * (1 << MOST_DOUBLINGS);
        self.evidence.retain(|cookie, held| {
            let counts = held.since.is_some() || held.bad > NOTHING;
            is_known(*cookie) && (counts || now.since(held.heard_at) < memory)
        });
        changes
    }

    /// Instances that are set aside, the worst first.
    #[must_use]
    pub fn outliers(&self) -> Vec<Cookie> {
        let held = self.evidence.iter();
        let mut held: Vec<_> = held.filter(|(_, held)| held.since.is_some()).collect();
        held.sort_by(|(_, one), (_, other)| other.bad.total_cmp(&one.bad));
        held.into_iter().map(|(cookie, _)| *cookie).collect()
    }

    fn note(&mut self, now: Timestamp, tallies: &[InstanceTally]) {
        for tally in tallies {
            let is_held = self.evidence.contains_key(&tally.cookie);
            // Good requests count only for those that something speaks against.
            if !is_held && tally.bad() == 0 {
                continue;
            }
            let evidence = self.evidence.entry(tally.cookie).or_default();
            evidence.asked = (evidence.asked + f64::from(tally.asked)).min(MAXIMUM_COUNT);
            evidence.bad = (evidence.bad + f64::from(tally.bad())).min(MAXIMUM_COUNT);
            evidence.good_in_row = match tally.bad() {
                0 => evidence.good_in_row.saturating_add(u32::from(tally.asked)),
                _ => 0,
            };
            evidence.heard_at = now;
        }
    }

    fn decay(&mut self, now: Timestamp) {
        let passed = now.since(self.decayed_at).as_secs_f64();
        self.decayed_at = now;
        let factor = (-passed / self.settings.half_life.as_secs_f64()).exp2();
        for evidence in self.evidence.values_mut() {
            evidence.asked *= factor;
            evidence.bad *= factor;
        }
        for asked in self.own_asked.values_mut() {
            *asked *= factor;
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
        let own = self.own_asked.get(&service).copied().unwrap_or_default();
        let expected = own * nodes / (candidates.len().max(1) as f64);
        let usual_part = self.median_part(&candidates, expected);
        let most = (candidates.len() as f64 * self.settings.largest_share) as usize;
        self.let_back(now, &candidates, usual_part, changes);
        let held = |held: &Evidence| held.since.is_some();
        let aside = candidates
            .iter()
            .filter(|cookie| self.evidence.get(cookie).is_some_and(held))
            .count();
        let mut worst: Vec<(f64, Cookie)> = candidates
            .iter()
            .filter_map(|cookie| {
                let evidence = self.evidence.get(cookie)?;
                self.stands_out(evidence, expected, usual_part)
                    .then_some((evidence.bad, *cookie))
            })
            .collect();
        worst.sort_by(|one, other| other.0.total_cmp(&one.0));
        for (_, cookie) in worst.into_iter().take(most.saturating_sub(aside)) {
            changes.extend(self.set_aside(now, cookie, usual_part));
        }
    }

    /// Part of the requests that is bad at the median instance. Those without evidence have none.
    fn median_part(&self, candidates: &BTreeSet<Cookie>, expected: f64) -> f64 {
        let parts = candidates.iter().map(|cookie| {
            let evidence = self.evidence.get(cookie);
            evidence.map_or(0.0, |evidence| part_of(evidence, expected))
        });
        let mut parts: Vec<f64> = parts.collect();
        parts.sort_by(f64::total_cmp);
        parts.get(parts.len() / 2).copied().unwrap_or_default()
    }

    fn stands_out(&self, evidence: &Evidence, expected: f64, usual_part: f64) -> bool {
        let settings = &self.settings;
        let part = part_of(evidence, expected);
        evidence.since.is_none()
            && evidence.bad >= settings.least_bad
            && part >= settings.least_part
            && part >= usual_part * settings.least_factor
    }

    fn set_aside(
        &mut self,
        now: Timestamp,
        cookie: Cookie,
        usual_part: f64,
    ) -> Option<OutlierChange> {
        let memory = self.settings.memory;
        let evidence = self.evidence.get_mut(&cookie)?;
        evidence.since = Some(now);
        let soon = |back_at: Timestamp| now.since(back_at) < memory * 2;
        evidence.returns = if evidence.back_at.is_some_and(soon) {
            (evidence.returns + 1).min(MOST_DOUBLINGS)
        } else {
            0
        };
        Some(OutlierChange {
            cookie,
            is_outlier: true,
            bad: evidence.bad,
            asked: evidence.asked,
            usual_part,
            held: Duration::ZERO,
        })
    }

    /// Lets those back that answer well, or of which nothing was heard for long.
    fn let_back(
        &mut self,
        now: Timestamp,
        candidates: &BTreeSet<Cookie>,
        usual_part: f64,
        changes: &mut Vec<OutlierChange>,
    ) {
        let settings = self.settings;
        let good_part = (settings.least_part / 2.0).max(usual_part * settings.least_factor / 2.0);
        for cookie in candidates {
            let Some(evidence) = self.evidence.get_mut(cookie) else {
                continue;
            };
            let Some(since) = evidence.since else {
                continue;
            };
            let memory = settings.memory * (1 << evidence.returns);
            let forgotten = now.since(evidence.heard_at.max(since)) >= memory;
            let is_good =
                evidence.asked >= settings.least_bad && evidence.bad / evidence.asked < good_part;
            let works = evidence.good_in_row >= GOOD_IN_ROW;
            if !(forgotten || is_good || works) {
                continue;
            }
            changes.push(OutlierChange {
                cookie: *cookie,
                is_outlier: false,
                bad: evidence.bad,
                asked: evidence.asked,
                usual_part,
                held: now.since(since),
            });
            evidence.since = None;
            evidence.bad = 0.0;
            evidence.back_at = Some(now);
        }
    }
}

/// Part of an instance's requests that is bad. Nodes tell of good requests only where there were bad ones,
/// so that at least as many were asked as at others, on average.
fn part_of(evidence: &Evidence, expected: f64) -> f64 {
    let asked = if evidence.since.is_some() {
        evidence.asked
    } else {
        evidence.asked.max(expected)
    };
    if asked > 0.0 {
        (evidence.bad / asked).min(1.0)
    } else {
        0.0
    }
}
