//! Response times and failed requests in the own zone and in others, as observed from client
//! packets.

use crate::cookie::answers::AnswerOutcome;
use crate::time::Timestamp;
use std::time::Duration;

/// Half-life of the statistics. A node sees a few dozen requests per second.
const HALF_LIFE_SECONDS: f32 = 1.0;

/// Half-life for openings where they are frequent enough for a surge to show within a second.
const SHORT_HALF_LIFE_SECONDS: f32 = 0.25;

/// Number of openings (decayed) from which their rate is accurate to a fifth.
const MINIMUM_RECENT_OPENINGS: f32 = 25.0;

/// Number of samples (decayed) from which a mean is used. Processing times vary by half of their
/// mean, so the mean of eight samples is accurate to a sixth.
const MINIMUM_MEAN_WEIGHT: f32 = 8.0;

/// Multiple of the baseline from which the response time in the own zone shows a queue worth
/// avoiding. The mean of a window varies by a sixth. With two slots per instance, twice the
/// baseline corresponds to a load of 0.7.
const NOTABLE_QUEUE_FACTOR: f32 = 1.75;

/// Multiple of the baseline from which a queue is barely detectable.
const DETECTABLE_QUEUE_FACTOR: f32 = 1.3;

/// Upper bound of the response time of one request, as a multiple of the baseline: the time that an
/// instance with two slots and eight queued requests takes.
const MAXIMUM_DELAY_FACTOR: f32 = 5.0;

/// Relative steps per window of the baseline towards a shorter and towards a longer response time.
/// With so small a rise, a queue that lasts for minutes doesn't become the baseline.
const BASELINE_FALL_FRACTION: f32 = 0.05;
const BASELINE_RISE_FRACTION: f32 = 0.0005;

/// Number (decayed) and share of requests without an answer below which they are ignored. Fewer are
/// caused by single instances that are full or failing.
const MINIMUM_FAILED_REQUESTS: f32 = 3.0;
const NOTABLE_FAILED_SHARE: f32 = 0.1;

/// Exponentially decaying mean of durations.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DelayMean {
    /// Weighted sum, seconds.
    sum: f32,
    weight: f32,
    updated_at: Timestamp,
    /// The mean when it was last backed by enough samples.
    last: Option<Duration>,
}

impl DelayMean {
    pub(super) fn add(&mut self, now: Timestamp, delay: Duration) {
        let remaining = remaining(now, self.updated_at);
        self.sum = self.sum * remaining + delay.as_secs_f32();
        self.weight = self.weight * remaining + 1.0;
        self.updated_at = now;
        if self.weight >= MINIMUM_MEAN_WEIGHT || self.last.is_none() {
            self.last = Some(self.mean());
        }
    }

    /// Returns the mean if there are enough recent samples.
    pub(super) fn recent(&self, now: Timestamp) -> Option<Duration> {
        (self.weight_at(now) >= MINIMUM_MEAN_WEIGHT).then(|| self.mean())
    }

    /// Returns the mean when it was last backed by enough samples.
    pub(super) const fn last_known(&self) -> Option<Duration> {
        self.last
    }

    fn mean(&self) -> Duration {
        Duration::from_secs_f32(self.sum / self.weight)
    }

    fn weight_at(&self, now: Timestamp) -> f32 {
        self.weight * remaining(now, self.updated_at)
    }
}

/// Exponentially decaying count of events.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount {
    count: f32,
    updated_at: Timestamp,
}

impl DecayingCount {
    fn count(&mut self, now: Timestamp, half_life_seconds: f32) {
        self.count = self.count * remaining_after(now, self.updated_at, half_life_seconds) + 1.0;
        self.updated_at = now;
    }

    /// Returns the events per second; `None` if the decayed count is below `minimum_count`.
    fn per_second(
        &self,
        now: Timestamp,
        half_life_seconds: f32,
        minimum_count: f32,
    ) -> Option<f32> {
        let count = self.count * remaining_after(now, self.updated_at, half_life_seconds);
        (count >= minimum_count).then(|| count * std::f32::consts::LN_2 / half_life_seconds)
    }
}

/// Outcomes of requests in some zones.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerStatistics {
    delay: DelayMean,
    /// Decaying number of requests that got no regular answer.
    failed: f32,
    failed_at: Timestamp,
}

impl AnswerStatistics {
    /// Records an outcome. `maximum_delay` bounds the response time that is counted: lost packets
    /// don't indicate a queue.
    fn add(&mut self, now: Timestamp, outcome: &AnswerOutcome, maximum_delay: Duration) {
        match outcome {
            AnswerOutcome::Answered { after, .. } => {
                self.delay.add(now, (*after).min(maximum_delay))
            }
            AnswerOutcome::Short { .. } | AnswerOutcome::Unanswered { .. } => {
                self.failed = self.failed * remaining(now, self.failed_at) + 1.0;
                self.failed_at = now;
            }
        }
    }

    /// Returns the decayed number of requests.
    fn weight_at(&self, now: Timestamp) -> f32 {
        self.delay.weight_at(now) + self.failed * remaining(now, self.failed_at)
    }

    /// Returns the share of requests that got no regular answer, if it is notable.
    fn failed_share(&self, now: Timestamp) -> Option<f32> {
        let failed = self.failed * remaining(now, self.failed_at);
        let share = failed / (failed + self.delay.weight_at(now));
        (failed >= MINIMUM_FAILED_REQUESTS && share >= NOTABLE_FAILED_SHARE).then_some(share)
    }
}

/// Outcomes of a service's requests in the own zone and in other zones.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceDelays {
    own: AnswerStatistics,
    others: AnswerStatistics,
    /// Response time of the own zone without a queue, seconds.
    baseline: Option<f32>,
    /// Opened flows, with the long and the short half-life.
    openings: DecayingCount,
    recent_openings: DecayingCount,
}

impl ServiceDelays {
    pub(super) fn add(&mut self, now: Timestamp, is_own: bool, outcome: &AnswerOutcome) {
        let answers = if is_own {
            &mut self.own
        } else {
            &mut self.others
        };
        let maximum_delay = self.baseline.map_or(Duration::MAX, |baseline| {
            Duration::from_secs_f32(baseline * MAXIMUM_DELAY_FACTOR)
        });
        answers.add(now, outcome, maximum_delay);
    }

    /// Returns the mean time from request to answer in the own zone, if there are enough recent
    /// samples.
    pub(super) fn own(&self, now: Timestamp) -> Option<Duration> {
        self.own.delay.recent(now)
    }

    /// Returns the mean time from request to answer in other zones, if there are enough recent
    /// samples.
    pub(super) fn others(&self, now: Timestamp) -> Option<Duration> {
        self.others.delay.recent(now)
    }

    /// Returns the response time of the own zone without a queue, if known.
    pub(super) fn baseline(&self) -> Option<Duration> {
        self.baseline.map(Duration::from_secs_f32)
    }

    /// Records that a flow was opened in any zone.
    pub(super) fn record_opened(&mut self, now: Timestamp) {
        self.openings.count(now, HALF_LIFE_SECONDS);
        self.recent_openings.count(now, SHORT_HALF_LIFE_SECONDS);
    }

    /// Returns the requests per second to all zones, as the larger of two estimates: answers lag
    /// behind while queues grow, and openings are fewer than requests if flows are long.
    pub(super) fn request_rate(&self, now: Timestamp) -> f32 {
        let answers = self.own.weight_at(now) + self.others.weight_at(now);
        let answers = answers * std::f32::consts::LN_2 / HALF_LIFE_SECONDS;
        let recent = self.recent_openings;
        let openings = recent.per_second(now, SHORT_HALF_LIFE_SECONDS, MINIMUM_RECENT_OPENINGS);
        let openings = openings.or_else(|| self.openings.per_second(now, HALF_LIFE_SECONDS, 0.0));
        answers.max(openings.unwrap_or_default())
    }

    /// Returns whether requests in the own zone detectably queue.
    pub(super) fn is_queueing(&self, now: Timestamp) -> bool {
        let own = self.own(now).map(|own| own.as_secs_f32());
        let both = own.zip(self.baseline);
        both.is_some_and(|(own, baseline)| own > baseline * DETECTABLE_QUEUE_FACTOR)
    }

    /// Updates the baseline of the own zone once per window. The baseline doesn't exceed the
    /// response time of other zones less the crossing delay: a zone that has been full from the
    /// start would otherwise treat its queueing as normal.
    pub(super) fn learn_baseline(&mut self, now: Timestamp, crossing: Option<Duration>) {
        let Some(own) = self.own(now) else {
            return;
        };
        let baseline = self.baseline.get_or_insert(own.as_secs_f32());
        let as_others = self.others.delay.recent(now).zip(crossing);
        let as_others = as_others.map(|(others, crossing)| others.saturating_sub(crossing));
        let observed = own.min(as_others.unwrap_or(own)).as_secs_f32();
        let step = if observed < *baseline {
            BASELINE_FALL_FRACTION
        } else {
            BASELINE_RISE_FRACTION
        };
        *baseline += (observed - *baseline) * step;
    }

    /// Returns by how much the response time of the own zone exceeds the baseline, if that is
    /// notable.
    pub(super) fn own_queueing_delay(&self, now: Timestamp) -> Option<Duration> {
        let own = self.own(now)?.as_secs_f32();
        let baseline = self.baseline?;
        (own > baseline * NOTABLE_QUEUE_FACTOR).then(|| Duration::from_secs_f32(own - baseline))
    }

    /// Returns the share of requests without a regular answer in the own zone, if it is notable.
    pub(super) fn own_failed_share(&self, now: Timestamp) -> Option<f32> {
        self.own.failed_share(now)
    }

    /// Returns whether other zones perform no better than the own one, in which case spilling is of
    /// no use.
    pub(super) fn others_are_no_better(&self, now: Timestamp) -> bool {
        let failed = self.others.failed_share(now);
        if failed.is_some() || self.own_failed_share(now).is_some() {
            return failed >= self.own_failed_share(now);
        }
        let both = self.others(now).zip(self.own(now));
        both.is_some_and(|(others, own)| others >= own)
    }
}

/// Returns the remaining fraction of a count that was last updated at `at`.
fn remaining(now: Timestamp, at: Timestamp) -> f32 {
    remaining_after(now, at, HALF_LIFE_SECONDS)
}

fn remaining_after(now: Timestamp, at: Timestamp, half_life_seconds: f32) -> f32 {
    let half_lives = now.since(at).as_secs_f32() / half_life_seconds;
    (-half_lives).exp2()
}
