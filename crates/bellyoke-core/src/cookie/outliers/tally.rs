//! Counts of samples by instance.

use crate::cookie::answers::{AnswerQuality, ClassifiedSample};
use crate::cookie::instance::Cookie;
use crate::cookie::table::ServiceNumber;
use std::collections::BTreeMap;

/// Instances counted at once; samples of further ones are left out until the next report.
const MAXIMUM_INSTANCES: usize = 1_024;

/// What became of the requests to one instance since the last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceTally {
    /// The instance.
    pub cookie: Cookie,
    /// Requests of which it is known what became.
    pub asked: u16,
    /// Those that failed.
    pub failed: u16,
    /// Those that were answered late.
    pub slow: u16,
}

impl InstanceTally {
    /// Requests that speak against the instance.
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
/// use bellyoke_core::cookie::outliers::TallyBook;
/// use bellyoke_core::cookie::table::ServiceNumber;
/// use std::time::Duration;
///
/// let sample = AnswerSample {
///     cookie: Cookie::of(InstanceId(7)),
///     service: ServiceNumber(0),
///     priority: 0,
///     outcome: AnswerOutcome::Short { after: Duration::from_millis(2) },
/// };
/// let mut book = TallyBook::default();
/// book.note(&ClassifiedSample { sample, quality: AnswerQuality::Failed });
/// let tallies = book.take();
/// assert_eq!((tallies[0].asked, tallies[0].failed), (1, 1));
/// assert!(book.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct TallyBook {
    tallies: BTreeMap<Cookie, InstanceTally>,
}

impl TallyBook {
    /// Counts a sample.
    pub fn note(&mut self, judged: &ClassifiedSample) {
        let cookie = judged.sample.cookie;
        let is_full = self.tallies.len() >= MAXIMUM_INSTANCES;
        if is_full && !self.tallies.contains_key(&cookie) {
            return;
        }
        let tally = self.tallies.entry(cookie).or_insert(InstanceTally {
            cookie,
            asked: 0,
            failed: 0,
            slow: 0,
        });
        tally.asked = tally.asked.saturating_add(1);
        match judged.quality {
            AnswerQuality::Normal => {}
            AnswerQuality::Slow => tally.slow = tally.slow.saturating_add(1),
            AnswerQuality::Failed => tally.failed = tally.failed.saturating_add(1),
        }
    }

    /// Whether nothing was counted since the last call of [`Self::take`].
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tallies.is_empty()
    }

    /// What was counted since the last call.
    pub fn take(&mut self) -> Vec<InstanceTally> {
        let tallies = std::mem::take(&mut self.tallies);
        tallies.into_values().collect()
    }

    /// Counts tallies of another book.
    pub fn add(&mut self, tallies: &[InstanceTally]) {
        for tally in tallies {
            let held = self.tallies.entry(tally.cookie).or_insert(InstanceTally {
                asked: 0,
                failed: 0,
                slow: 0,
                ..*tally
            });
            held.asked = held.asked.saturating_add(tally.asked);
            held.failed = held.failed.saturating_add(tally.failed);
            held.slow = held.slow.saturating_add(tally.slow);
        }
    }
}

/// Counts the requests of each service.
pub(super) fn asked_by_service(
    tallies: &[InstanceTally],
    service_of: impl Fn(Cookie) -> Option<ServiceNumber>,
) -> BTreeMap<ServiceNumber, f64> {
    let mut asked = BTreeMap::new();
    for tally in tallies {
        if let Some(service) = service_of(tally.cookie) {
            *asked.entry(service).or_default() += f64::from(tally.asked);
        }
    }
    asked
}
