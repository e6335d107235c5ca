//! The rate of openings that is admitted while a service is overloaded.

use crate::cookie::answers::AnswerOutcome;
use crate::time::Timestamp;
use std::time::Duration;

/// Maximum relative decrease of the budget in one adjustment.
const MAXIMUM_RELATIVE_DECREASE: f32 = 0.2;

/// Delay until answers reflect a decrease of the budget: a full queue drains in about 170 ms, and
/// an answer takes as long again. Answers can't be attributed to the time of their requests,
/// because rejections come back sooner than answers.
const SETTLING_PERIOD: Duration = Duration::from_millis(350);

/// Maximum relative increase of the budget in one adjustment, reached if no request was queued.
const MAXIMUM_RELATIVE_INCREASE: f32 = 0.3;

/// Number of consecutive windows whose offered rate fits the budget after which overload is over.
const FITTING_WINDOWS_TO_END: u32 = 2;

/// Budget of openings per second, adjusted by the outcomes of requests.
///
/// ```
/// use bellyoke_core::cookie::admission::budget::OpeningBudget;
/// use bellyoke_core::time::Timestamp;
///
/// let mut budget = OpeningBudget::new(Timestamp::ZERO, 100.0);
/// budget.adjust(Timestamp::ZERO, 0.2, 1.0);
/// assert_eq!(budget.per_second(), 80.0, "the loss was a fifth above the allowance");
/// budget.adjust(Timestamp::ZERO, 0.0, 1.0);
/// assert_eq!(budget.per_second(), 80.0, "all requests were queued");
/// budget.adjust(Timestamp::ZERO, 0.0, 0.0);
/// assert!(budget.per_second() > 80.0, "no request was queued");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct OpeningBudget {
    per_second: f32,
    /// Number of consecutive windows whose offered rate fitted the budget.
    fitting_windows: u32,
    shrunk_at: Timestamp,
}

impl OpeningBudget {
    /// Creates a budget at `now`.
    #[must_use]
    pub const fn new(now: Timestamp, per_second: f32) -> Self {
        Self {
            per_second,
            fitting_windows: 0,
            shrunk_at: now,
        }
    }

    /// Returns the number of openings per second.
    #[must_use]
    pub const fn per_second(&self) -> f32 {
        self.per_second
    }

    /// Returns whether the outcome of a request reflects the current budget. Answers do once queues
    /// had time to drain after the last decrease; an unanswered request does if it was sent after
    /// it.
    #[must_use]
    pub fn is_reflected_in(&self, now: Timestamp, fate: &AnswerOutcome) -> bool {
        match *fate {
            AnswerOutcome::Unanswered { waited } => now.before(waited) >= self.shrunk_at,
            AnswerOutcome::Answered { .. } | AnswerOutcome::Short { .. } => {
                now.since(self.shrunk_at) >= SETTLING_PERIOD
            }
        }
    }

    /// Decreases the budget by the share of lost requests above the allowance (`excess`), or
    /// increases it in proportion to the share of requests that were not queued.
    pub fn adjust(&mut self, now: Timestamp, excess: f32, queued_share: f32) {
        if excess > 0.0 {
            self.per_second *= 1.0 - excess.min(MAXIMUM_RELATIVE_DECREASE);
            self.shrunk_at = now;
        } else {
            self.per_second *= 1.0 + MAXIMUM_RELATIVE_INCREASE * (1.0 - queued_share);
        }
    }

    /// Records the rate offered in a window and returns whether overload is over.
    pub fn record_offered_rate(&mut self, offered: f32) -> bool {
        let fits = offered <= self.per_second;
        self.fitting_windows = if fits { self.fitting_windows + 1 } else { 0 };
        self.fitting_windows >= FITTING_WINDOWS_TO_END
    }
}
