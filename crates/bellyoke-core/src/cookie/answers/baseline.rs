//! Learns the normal answers of one route.

use std::time::Duration;

/// Number of answers stored: enough for a rank near the lowest, few enough to adapt to a changed
/// route within seconds. 8 bytes each.
const HISTORY_ANSWERS: usize = 64;

/// Number of answers that are needed before any is classified. It is small because a burst may
/// arrive when a node has seen little of a rarely used route.
const MINIMUM_ANSWERS: usize = 4;

/// Number of answers up to which the thresholds are updated with each answer.
const FREQUENT_UPDATE_ANSWERS: usize = 16;

/// Number of answers between two updates of the thresholds after that.
const REFRESH_INTERVAL_ANSWERS: usize = 8;

/// Rank, from below, of the length that counts as the shortest normal one; the shortest of all may
/// be an outlier.
const SHORTEST_NORMAL_RANK: usize = 1;

/// An answer shorter than this fraction of the shortest normal one is short. Of answers whose
/// lengths are log-normal with a standard deviation of 0.6, one in some hundreds falls below it.
const SHORT_FRACTION_OF_SHORTEST: f64 = 0.7;

/// An answer of at least this fraction of the median length is never short.
const SHORT_FRACTION_OF_MEDIAN: f64 = 0.5;

/// An answer that takes this many times the median is slow. Processing times whose standard
/// deviation is half of the mean reach three times the median at the 99th percentile, queueing
/// under normal load included.
const SLOW_FACTOR: u32 = 4;

/// An answer that takes no longer than this is never slow: the loss of one packet alone takes 200
/// ms.
const MINIMUM_SLOW_TIME: Duration = Duration::from_millis(150);

/// A request that waits this many times the median is overdue.
const OVERDUE_FACTOR: u32 = 6;

/// Minimum time before a request is overdue. A request whose packet was lost is retransmitted after
/// 200 ms.
const MINIMUM_OVERDUE_TIME: Duration = Duration::from_millis(300);

/// Time after which a request is overdue while nothing is known about its route.
const DEFAULT_OVERDUE_TIME: Duration = Duration::from_secs(2);

/// Consecutive outlying answers after which such answers are learned as normal. Instances that can
/// serve an eighth of their requests still answer one in eight normally, so their rejections under
/// overload must not be learned: with them, 96 outlying answers in a row occur once in 400,000
/// requests.
const ADAPTATION_RUN_LENGTH: u32 = 96;

/// Length and time of the normal answers of one route, learned from its traffic. A few outlying
/// answers don't change the baseline: they are learned only if all answers are outlying.
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
    /// Consecutive short answers.
    short_run: u32,
    /// Consecutive slow answers.
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
        // The time of an error says nothing about normal answers.
        if !is_short && is_learned(&mut self.slow_run, is_slow) {
            let microseconds = u32::try_from(after.as_micros()).unwrap_or(u32::MAX);
            self.times.push(microseconds);
        }
        if self.lengths.is_refresh_due() {
            self.refresh();
        }
    }

    /// Returns whether an answer of `bytes` bytes is much shorter than normal.
    #[must_use]
    pub const fn is_short(&self, bytes: u32) -> bool {
        bytes < self.short_below
    }

    /// Returns whether an answer that took `after` is much slower than normal.
    #[must_use]
    pub fn is_slow(&self, after: Duration) -> bool {
        !self.slow_above.is_zero() && after > self.slow_above
    }

    /// Returns how long a request may wait before it counts as unanswered.
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

/// Returns whether an answer is learned: it isn't outlying, or so many in a row were outlying that
/// they are the normal ones.
const fn is_learned(outlying_run: &mut u32, is_outlying: bool) -> bool {
    *outlying_run = if is_outlying {
        outlying_run.saturating_add(1)
    } else {
        0
    };
    !is_outlying || *outlying_run >= ADAPTATION_RUN_LENGTH
}

/// Ring buffer of the last values.
#[derive(Clone, Debug, Default)]
struct RecentValues {
    values: Vec<u32>,
    pushed: usize,
}

impl RecentValues {
    fn push(&mut self, value: u32) {
        if self.values.len() < HISTORY_ANSWERS {
            self.values.push(value);
        } else {
            self.values[self.pushed % HISTORY_ANSWERS] = value;
        }
        self.pushed = self.pushed.wrapping_add(1);
    }

    const fn is_refresh_due(&self) -> bool {
        self.pushed <= FREQUENT_UPDATE_ANSWERS
            || self.pushed.is_multiple_of(REFRESH_INTERVAL_ANSWERS)
    }

    fn sorted(&self) -> Vec<u32> {
        let mut sorted = self.values.clone();
        sorted.sort_unstable();
        sorted
    }
}
