//! How long flows take, by what clients' packets tell.

use crate::cookie::answers::AnswerOutcome;
use crate::time::Timestamp;
use std::time::Duration;

/// Time after which what was seen weighs half as much. A node sees some dozen requests a second.
const HALF_LIFE_SECONDS: f32 = 1.0;

/// The same for openings, where there are so many that a surge shows in less than a second.
const SHORT_HALF_LIFE_SECONDS: f32 = 0.25;

/// Openings (decayed) by which a rate is known to a fifth.
const LEAST_OF_LATE: f32 = 25.0;

/// The mean of fewer of them (decayed) tells nothing: times of work differ by half of their mean, so that of
/// so many is known to a sixth.
const LEAST_WEIGHT: f32 = 8.0;

/// How much longer than usual the own zone must take before that is a queue. The mean of a window strays
/// by a sixth; with two slots an instance, twice the usual is a load of 0.7.
const QUEUE_FACTOR: f32 = 1.75;

/// The same for a wait that is just to be seen.
const WAIT_FACTOR: f32 = 1.3;

/// What one request counts at most, in usual times. Two slots and eight that wait take as long.
const LONGEST_FACTOR: f32 = 5.0;

/// How far the usual time follows a shorter one in a window, and a longer one. A queue that lasts for minutes
/// isn't usual yet.
const USUAL_FALL: f32 = 0.05;
const USUAL_RISE: f32 = 0.0005;

/// Fewer requests (decayed) without an answer say nothing, and a smaller share of them neither: single
/// instances that are full or fail.
const LEAST_REFUSED: f32 = 3.0;
const NOTABLE_REFUSED: f32 = 0.1;

/// A decaying mean of times.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DelayMean {
    /// Seconds, weighted.
    sum: f32,
    weight: f32,
    counted_at: Timestamp,
    /// The mean when it last told something.
    last: Option<Duration>,
}

impl DelayMean {
    pub(super) fn add(&mut self, now: Timestamp, delay: Duration) {
        let kept = kept(now, self.counted_at);
        self.sum = self.sum * kept + delay.as_secs_f32();
        self.weight = self.weight * kept + 1.0;
        self.counted_at = now;
        if self.weight >= LEAST_WEIGHT || self.last.is_none() {
            self.last = Some(self.mean());
        }
    }

    /// The mean, if enough was seen of late.
    pub(super) fn of_late(&self, now: Timestamp) -> Option<Duration> {
        (self.weight_at(now) >= LEAST_WEIGHT).then(|| self.mean())
    }

    /// The mean when it last told something.
    pub(super) const fn ever(&self) -> Option<Duration> {
        self.last
    }

    fn mean(&self) -> Duration {
        Duration::from_secs_f32(self.sum / self.weight)
    }

    fn weight_at(&self, now: Timestamp) -> f32 {
        self.weight * kept(now, self.counted_at)
    }
}

/// How often something happens, decaying.
#[derive(Clone, Copy, Debug, Default)]
struct EventRate {
    count: f32,
    counted_at: Timestamp,
}

impl EventRate {
    fn count(&mut self, now: Timestamp, half_life_seconds: f32) {
        self.count = self.count * kept_after(now, self.counted_at, half_life_seconds) + 1.0;
        self.counted_at = now;
    }

    /// How often in a second; none if it was counted less than `least` times (decayed).
    fn per_second(&self, now: Timestamp, half_life_seconds: f32, least: f32) -> Option<f32> {
        let count = self.count * kept_after(now, self.counted_at, half_life_seconds);
        (count >= least).then(|| count * std::f32::consts::LN_2 / half_life_seconds)
    }
}

/// What became of requests in some zones.
#[derive(Clone, Copy, Debug, Default)]
struct Answers {
    delay: DelayMean,
    /// Requests that got no answer of theirs, decaying.
    refused: f32,
    refused_at: Timestamp,
}

impl Answers {
    /// `longest` bounds what one request counts: a packet that was lost tells nothing of a queue.
    fn add(&mut self, now: Timestamp, outcome: &AnswerOutcome, longest: Duration) {
        match outcome {
            AnswerOutcome::Answered { after, .. } => self.delay.add(now, (*after).min(longest)),
            AnswerOutcome::Short { .. } | AnswerOutcome::Unanswered { .. } => {
                self.refused = self.refused * kept(now, self.refused_at) + 1.0;
                self.refused_at = now;
            }
        }
    }

    /// Requests, decaying.
    fn weight_at(&self, now: Timestamp) -> f32 {
        self.delay.weight_at(now) + self.refused * kept(now, self.refused_at)
    }

    /// The share of requests that got no answer of theirs, if that is notable.
    fn refused_share(&self, now: Timestamp) -> Option<f32> {
        let refused = self.refused * kept(now, self.refused_at);
        let share = refused / (refused + self.delay.weight_at(now));
        (refused >= LEAST_REFUSED && share >= NOTABLE_REFUSED).then_some(share)
    }
}

/// What became of requests in the own zone and in others.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceDelays {
    own: Answers,
    others: Answers,
    /// What the own zone usually takes, seconds.
    usual: Option<f32>,
    /// Flows opened, over a long time and over a short one.
    openings: EventRate,
    openings_of_late: EventRate,
}

impl ServiceDelays {
    pub(super) fn add(&mut self, now: Timestamp, is_own: bool, outcome: &AnswerOutcome) {
        let answers = if is_own {
            &mut self.own
        } else {
            &mut self.others
        };
        let longest = self.usual.map_or(Duration::MAX, |usual| {
            Duration::from_secs_f32(usual * LONGEST_FACTOR)
        });
        answers.add(now, outcome, longest);
    }

    /// From request to answer in the own zone, if enough was seen of late.
    pub(super) fn own(&self, now: Timestamp) -> Option<Duration> {
        self.own.delay.of_late(now)
    }

    /// The same in other zones.
    pub(super) fn others(&self, now: Timestamp) -> Option<Duration> {
        self.others.delay.of_late(now)
    }

    /// What the own zone usually takes, if that is known.
    pub(super) fn usual(&self) -> Option<Duration> {
        self.usual.map(Duration::from_secs_f32)
    }

    /// A flow was opened, in whatever zone.
    pub(super) fn opened(&mut self, now: Timestamp) {
        self.openings.count(now, HALF_LIFE_SECONDS);
        self.openings_of_late.count(now, SHORT_HALF_LIFE_SECONDS);
    }

    /// Requests a second, in whatever zones: answers lag behind while more and more wait, and openings are
    /// fewer where flows are long.
    pub(super) fn rate(&self, now: Timestamp) -> f32 {
        let answers = self.own.weight_at(now) + self.others.weight_at(now);
        let answers = answers * std::f32::consts::LN_2 / HALF_LIFE_SECONDS;
        let of_late = self.openings_of_late;
        let openings = of_late.per_second(now, SHORT_HALF_LIFE_SECONDS, LEAST_OF_LATE);
        let openings = openings.or_else(|| self.openings.per_second(now, HALF_LIFE_SECONDS, 0.0));
        answers.max(openings.unwrap_or_default())
    }

    /// Whether requests wait notably in the own zone.
    pub(super) fn waits(&self, now: Timestamp) -> bool {
        let own = self.own(now).map(|own| own.as_secs_f32());
        let both = own.zip(self.usual);
        both.is_some_and(|(own, usual)| own > usual * WAIT_FACTOR)
    }

    /// Learns what the own zone usually takes, once a window. It isn't more than what others take that stand
    /// so much further away: a zone that has been full ever since takes what it takes for usual.
    pub(super) fn learn_usual(&mut self, now: Timestamp, crossing: Option<Duration>) {
        let Some(own) = self.own(now) else {
            return;
        };
        let usual = self.usual.get_or_insert(own.as_secs_f32());
        let as_others = self.others.delay.of_late(now).zip(crossing);
        let as_others = as_others.map(|(others, crossing)| others.saturating_sub(crossing));
        let seen = own.min(as_others.unwrap_or(own)).as_secs_f32();
        let follow = if seen < *usual {
            USUAL_FALL
        } else {
            USUAL_RISE
        };
        *usual += (seen - *usual) * follow;
    }

    /// How much longer than usual the own zone takes, if that is notable.
    pub(super) fn own_queue(&self, now: Timestamp) -> Option<Duration> {
        let own = self.own(now)?.as_secs_f32();
        let usual = self.usual?;
        (own > usual * QUEUE_FACTOR).then(|| Duration::from_secs_f32(own - usual))
    }

    /// The share of requests that the own zone turns away, if that is notable.
    pub(super) fn own_refused(&self, now: Timestamp) -> Option<f32> {
        self.own.refused_share(now)
    }

    /// Whether other zones do no better than the own one: then it is no use to go there.
    pub(super) fn others_are_no_better(&self, now: Timestamp) -> bool {
        let refused = self.others.refused_share(now);
        if refused.is_some() || self.own_refused(now).is_some() {
            return refused >= self.own_refused(now);
        }
        let both = self.others(now).zip(self.own(now));
        both.is_some_and(|(others, own)| others >= own)
    }
}

/// What is left of a count made at `at`.
fn kept(now: Timestamp, at: Timestamp) -> f32 {
    kept_after(now, at, HALF_LIFE_SECONDS)
}

fn kept_after(now: Timestamp, at: Timestamp, half_life_seconds: f32) -> f32 {
    let half_lives = now.since(at).as_secs_f32() / half_life_seconds;
    (-half_lives).exp2()
}
