//! What the answers on one route are usually like.

use std::time::Duration;

/// Answers remembered: enough for a rank near the lowest, few enough that a changed route is learned within
/// seconds. 8 bytes each.
const REMEMBERED: usize = 64;

/// Answers before anything is judged: a burst may come when a node has seen few on a rare route.
const LEAST: usize = 4;

/// Up to so many answers each is looked at.
const FIRST_ANSWERS: usize = 16;

/// Answers between two looks at those remembered.
const REFRESH_INTERVAL: usize = 8;

/// The rank from below whose length counts as the shortest usual one; the shortest of all may be a
/// straggler.
const SHORTEST_RANK: usize = 1;

/// What is shorter than this part of the shortest usual answer isn't one. Answers whose lengths are
/// log-normal with a spread of 0.6 fall below it once in some hundreds.
const SHORT_PART: f64 = 0.7;

/// No answer of half the usual length is short.
const LONGEST_SHORT_PART: f64 = 0.5;

/// An answer that takes so many times as long as the median one is slow. Work that varies by half of
/// its mean reaches three times at its 99th percentile, queues in calm included.
const SLOW_FACTOR: u32 = 4;

/// No answer that comes sooner is slow: a lost packet alone takes 200 ms.
const LEAST_SLOW: Duration = Duration::from_millis(150);

/// A request that waits so many times as long as the median one is overdue.
const OVERDUE_FACTOR: u32 = 6;

/// No request is overdue sooner: one whose packet was lost is sent again after 200 ms.
const LEAST_OVERDUE: Duration = Duration::from_millis(300);

/// No request is overdue sooner while nothing is known of its route.
const UNKNOWN_OVERDUE: Duration = Duration::from_secs(2);

/// So many odd answers in a row are the usual ones. Instances that bear an eighth of what they get still answer one in
/// eight as usual, so that what they turn away in overload isn't taken for an answer: 96 others in a row come
/// once in 400,000 requests then.
const ODD_ROW: u32 = 96;

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
    short_row: u32,
    /// Slow answers since the last one that wasn't.
    slow_row: u32,
}

impl AnswerBaseline {
    /// Learns from an answer.
    pub fn learn(&mut self, after: Duration, bytes: u32) {
        let is_short = self.is_short(bytes);
        let is_slow = self.is_slow(after);
        if is_usual(&mut self.short_row, is_short) {
            self.lengths.push(bytes);
        }
        // How soon an error comes tells nothing of answers.
        if !is_short && is_usual(&mut self.slow_row, is_slow) {
            let microseconds = u32::try_from(after.as_micros()).unwrap_or(u32::MAX);
            self.times.push(microseconds);
        }
        if self.lengths.is_due() {
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
            return UNKNOWN_OVERDUE;
        }
        LEAST_OVERDUE.max(self.median_time * OVERDUE_FACTOR)
    }

    fn refresh(&mut self) {
        let lengths = self.lengths.sorted();
        if lengths.len() < LEAST {
            return;
        }
        let median = f64::from(lengths[lengths.len() / 2]);
        let shortest = f64::from(lengths[SHORTEST_RANK]);
        self.short_below = (shortest * SHORT_PART).min(median * LONGEST_SHORT_PART) as u32;
        let times = self.times.sorted();
        if times.is_empty() {
            return;
        }
        let median = Duration::from_micros(u64::from(times[times.len() / 2]));
        self.median_time = median;
        self.slow_above = LEAST_SLOW.max(median * SLOW_FACTOR);
    }
}

/// Whether an answer is learned: it isn't odd, or so many in a row were that they are the usual ones.
const fn is_usual(odd_row: &mut u32, is_odd: bool) -> bool {
    *odd_row = if is_odd { odd_row.saturating_add(1) } else { 0 };
    !is_odd || *odd_row >= ODD_ROW
}

/// The last values of a row, the oldest overwritten first.
#[derive(Clone, Debug, Default)]
struct RecentValues {
    values: Vec<u32>,
    pushed: usize,
}

impl RecentValues {
    fn push(&mut self, value: u32) {
        if self.values.len() < REMEMBERED {
            self.values.push(value);
        } else {
            self.values[self.pushed % REMEMBERED] = value;
        }
        self.pushed = self.pushed.wrapping_add(1);
    }

    const fn is_due(&self) -> bool {
        self.pushed <= FIRST_ANSWERS || self.pushed.is_multiple_of(REFRESH_INTERVAL)
    }

    fn sorted(&self) -> Vec<u32> {
        let mut sorted = self.values.clone();
        sorted.sort_unstable();
        sorted
    }
}
