//! Counts of request outcomes by instance.

use crate::cookie::answers::{AnswerQuality, ClassifiedSample};
use crate::cookie::instance::Cookie;
use crate::cookie::table::ServiceNumber;
use std::collections::BTreeMap;

/// Maximum number of instances counted at once; samples of further ones are ignored until the next
/// report.
const MAXIMUM_INSTANCES: usize = 1_024;

/// Outcomes of the requests to one instance since the last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceTally {
    /// The instance.
    pub cookie: Cookie,
    /// Requests whose outcome is known.
    pub requests: u16,
    /// Requests that failed.
    pub failed: u16,
    /// Requests that were answered late.
    pub slow: u16,
}

impl InstanceTally {
    /// Returns the number of bad requests: those that failed or were answered late.
    #[must_use]
    pub const fn bad(&self) -> u16 {
        self.failed.saturating_add(self.slow)
    }
}

/// Sums the samples of a traffic thread between two reports.
///
/// ```
/// use bellyoke_core::cookie::answers::{AnswerOutcome, AnswerQuality, AnswerSample, ClassifiedSample};
/// use bellyoke_core::cookie::instance::{Cookie, InstanceId};
/// use bellyoke_core::cookie::outliers::TallyAccumulator;
/// use bellyoke_core::cookie::table::ServiceNumber;
/// use std::time::Duration;
///
/// let sample = AnswerSample {
///     cookie: Cookie::of(InstanceId(7)),
///     service: ServiceNumber(0),
///     priority: 0,
///     outcome: AnswerOutcome::Short { after: Duration::from_millis(2) },
/// };
/// let mut accumulator = TallyAccumulator::default();
/// accumulator.record(&ClassifiedSample { sample, quality: AnswerQuality::Failed });
/// let tallies = accumulator.take();
/// assert_eq!((tallies[0].requests, tallies[0].failed), (1, 1));
/// assert!(accumulator.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct TallyAccumulator {
    tallies: BTreeMap<Cookie, InstanceTally>,
}

impl TallyAccumulator {
    /// Counts a sample.
    pub fn record(&mut self, judged: &ClassifiedSample) {
        let cookie = judged.sample.cookie;
        let is_full = self.tallies.len() >= MAXIMUM_INSTANCES;
        if is_full && !self.tallies.contains_key(&cookie) {
            return;
        }
        let tally = self.tallies.entry(cookie).or_insert(InstanceTally {
            cookie,
            requests: 0,
            failed: 0,
            slow: 0,
        });
        tally.requests = tally.requests.saturating_add(1);
        match judged.quality {
            AnswerQuality::Normal => {}
            AnswerQuality::Slow => tally.slow = tally.slow.saturating_add(1),
            AnswerQuality::Failed => tally.failed = tally.failed.saturating_add(1),
        }
    }

    /// Returns whether nothing was counted since the last call of [`Self::take`].
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tallies.is_empty()
    }

    /// Returns the tallies since the last call and resets them.
    pub fn take(&mut self) -> Vec<InstanceTally> {
        let tallies = std::mem::take(&mut self.tallies);
        tallies.into_values().collect()
    }

    /// Adds the tallies of another accumulator.
    pub fn add(&mut self, tallies: &[InstanceTally]) {
        for tally in tallies {
            let total = self.tallies.entry(tally.cookie).or_insert(InstanceTally {
                requests: 0,
                failed: 0,
                slow: 0,
                ..*tally
            });
            total.requests = total.requests.saturating_add(tally.requests);
            total.failed = total.failed.saturating_add(tally.failed);
            total.slow = total.slow.saturating_add(tally.slow);
        }
    }
}

/// Sums the requests of each service.
pub(super) fn requests_by_service(
    tallies: &[InstanceTally],
    service_of: impl Fn(Cookie) -> Option<ServiceNumber>,
) -> BTreeMap<ServiceNumber, f64> {
    let mut requests = BTreeMap::new();
    for tally in tallies {
        if let Some(service) = service_of(tally.cookie) {
            *requests.entry(service).or_default() += f64::from(tally.requests);
        }
    }
    requests
}
