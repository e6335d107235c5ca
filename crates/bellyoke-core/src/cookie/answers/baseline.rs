//! What the answers on one route are usually like.

use std::time::Duration;

/// Answers remembered: enough for a rank near the lowest, few enough that a changed route is learned within
/// seconds. 8 bytes each.
const HISTORY_LENGTH: usize = 64;

/// Answers before anything is judged: a burst may come when a node has seen few on a rare route.
const MINIMUM_ANSWERS: usize = 4;

/// Up to so many answers each is looked at.
const EVERY_ANSWER_UNTIL: usize = 16;

/// Answers between two looks at those remembered.
const REFRESH_INTERVAL_ANSWERS: usize = 8;

/// The rank from below whose length counts as the shortest usual one; the shortest of all may be a
/// straggler.
const SHORTEST_NORMAL_RANK: usize = 1;

/// What is shorter than this part of the shortest usual answer isn't one. Answers whose lengths are
/// log-normal with a spread of 0.6 fall below it once in some hundreds.
const SHORT_FRACTION_OF_SHORTEST: f64 = 0.7;

/// No answer of half the usual length is short.
const SHORT_FRACTION_OF_MEDIAN: f64 = 0.5;

/// An answer that takes so many times as long as the median one is slow. Work that varies by half of
/// its mean reaches three times at its 99th percentile, queues in calm included.
const SLOW_FACTOR: u32 = 4;

/// No answer that comes sooner is slow: a lost packet alone takes 200 ms.
const MINIMUM_SLOW_TIME: Duration = Duration::from_millis(150);

/// A request that waits so many times as long as the median one is overdue.
const OVERDUE_FACTOR: u32 = 6;

/// No request is overdue sooner: one whose packet was lost is sent again after 200 ms.
const MINIMUM_OVERDUE_TIME: Duration = Duration::from_millis(300);

/// No request is overdue sooner while nothing is known of its route.
const DEFAULT_OVERDUE_TIME: Duration = Duration::from_secs(2);

/// So many odd answers in a row are the usual ones. Instances that bear an eighth of what they get still answer one in
/// eight as usual, so that what they turn away in overload isn't taken for an answer: 96 others in a row come
/// once in 400,000 requests then.
const ADAPTATION_RUN_LENGTH: u32 = 96;

/// What the answers on one route are usually like, learned from them. Few odd answers don't change it: they
/// aren't learned unless all are odd.
///
/// ```
/// use bellyoke_core::cookie::answers::AnswerBaseline;
/// use std::time::Duration;
///
/// let mut baseline = AnswerBaseline::default();
/// for _ in 0..32 {
///     baseline.learn(Duration::from_millis(50), 800);
/// }
/// assert!(baseline.is_short(180));
/// assert!(!baseline.is_short(700));
/// assert!(baseline.is_slow(Duration::from_millis(400)));
/// assert_eq!(baseline.overdue(), Duration::from_millis(300));
/// ```
#[derive(Clone, Debug, Default)]
pub struct AnswerBaseline {
    lengths: RecentValues,
    /// Microseconds.
    times: RecentValues,
    short_below: u32,
    slow_above: Duration,
    median_time: Duration,
    /// Short answers since the last one that wasn't.
    short_run: u32,
    /// Slow answers since the last one that wasn't.
    slow_run: u32,
}

impl AnswerBaseline {
    /// Learns from an answer.
    pub fn learn(&mut self, after: Duration, bytes: u32) {
        let is_short = self.is_short(bytes);
        let is_slow = self.is_slow(after);
        if is_learned(&mut self.short_run, is_short) {
            self.lengths.push(bytes);
        }
        // How soon an error comes tells nothing of answers.
        if !is_short && is_learned(&mut self.slow_run, is_slow) {
            let microseconds = u32::try_from(after.as_micros()).unwrap_or(u32::MAX);
            self.times.push(microseconds);
        }
        if self.lengths.is_refresh_due() {
            self.refresh();
        }
    }

    /// Whether an answer of so many bytes is much shorter than usual.
    #[must_use]
    pub const fn is_short(&self, bytes: u32) -> bool {
        bytes < self.short_below
    }

    /// Whether an answer that took so long is much later than usual.
    #[must_use]
    pub fn is_slow(&self, after: Duration) -> bool {
        !self.slow_above.is_zero() && after > self.slow_above
    }

    /// How long a request may wait before it counts as one that is not answered.
    #[must_use]
    pub fn overdue(&self) -> Duration {
        if self.slow_above.is_zero() {
            return DEFAULT_OVERDUE_TIME;
        }
        MINIMUM_OVERDUE_TIME.max(self.median_time * OVERDUE_FACTOR)
    }

    fn refresh(&mut self) {
        let lengths = self.lengths.sorted();
        if lengths.len() < MINIMUM_ANSWERS {
            return;
        }
        let median = f64::from(lengths[lengths.len() / 2]);
        let shortest = f64::from(lengths[SHORTEST_NORMAL_RANK]);
        self.short_below =
            (shortest * SHORT_FRACTION_OF_SHORTEST).min(median * SHORT_FRACTION_OF_MEDIAN) as u32;
        let times = self.times.sorted();
        if times.is_empty() {
            return;
        }
        let median = Duration::from_micros(u64::from(times[times.len() / 2]));
        self.median_time = median;
        self.slow_above = MINIMUM_SLOW_TIME.max(median * SLOW_FACTOR);
    }
}

/// Whether an answer is learned: it isn't odd, or so many in a row were that they are the usual ones.
const fn is_learned(outlying_run: &mut u32, is_outlying: bool) -> bool {
    *outlying_run = if is_outlying {
        outlying_run.saturating_add(1)
    } else {
        0
    };
    !is_outlying || *outlying_run >= ADAPTATION_RUN_LENGTH
}

/// The last values of a row, the oldest overwritten first.
#[derive(Clone, Debug, Default)]
struct RecentValues {
    values: Vec<u32>,
    pushed: usize,
}

impl RecentValues {
    fn push(&mut self, value: u32) {
        if self.values.len() < HISTORY_LENGTH {
            self.values.push(value);
        } else {
            self.values[self.pushed % HISTORY_LENGTH] = value;
        }
        self.pushed = self.pushed.wrapping_add(1);
    }

    const fn is_refresh_due(&self) -> bool {
        self.pushed <= EVERY_ANSWER_UNTIL || self.pushed.is_multiple_of(REFRESH_INTERVAL_ANSWERS)
    }

    fn sorted(&self) -> Vec<u32> {
        let mut sorted = self.values.clone();
        sorted.sort_unstable();
        sorted
    }
}
