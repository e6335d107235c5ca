//! How many openings a second are admitted while a service is overloaded.

use crate::cookie::answers::AnswerOutcome;
use crate::time::Timestamp;
use std::time::Duration;

/// Most by which the budget shrinks at once.
const MAXIMUM_SHRINK: f32 = 0.2;

/// How long it takes until answers show that the budget has shrunk: a full queue drains in about 170 ms, and an
/// answer takes as long again. Requests can't be told apart by when they were asked: what is turned away comes
/// back sooner than what is answered.
const SETTLE_TIME: Duration = Duration::from_millis(350);

/// Part by which the budget grows at once where no request was queued for; less by as many as were.
const GROWTH: f32 = 0.3;

/// Windows in a row in which everything offered fits, after which overload is over.
const CALM_WINDOWS: u32 = 2;

/// Openings a second, by what became of requests.
///
/// ```
/// use bellyoke_core::cookie::admission::budget::OpeningBudget;
/// use bellyoke_core::time::Timestamp;
///
/// let mut budget = OpeningBudget::new(Timestamp::ZERO, 100.0);
/// budget.adjust(Timestamp::ZERO, 0.2, 1.0);
/// assert_eq!(budget.per_second(), 80.0, "a fifth too much was lost");
/// budget.adjust(Timestamp::ZERO, 0.0, 1.0);
/// assert_eq!(budget.per_second(), 80.0, "all requests were queued for");
/// budget.adjust(Timestamp::ZERO, 0.0, 0.0);
/// assert!(budget.per_second() > 80.0, "instances idle");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct OpeningBudget {
    per_second: f32,
    /// Windows in a row in which all fitted.
    calm_windows: u32,
    shrunk_at: Timestamp,
}

impl OpeningBudget {
    /// A budget that begins at `now`.
    #[must_use]
    pub const fn new(now: Timestamp, per_second: f32) -> Self {
        Self {
            per_second,
            calm_windows: 0,
            shrunk_at: now,
        }
    }

    /// Openings a second.
    #[must_use]
    pub const fn per_second(&self) -> f32 {
        self.per_second
    }

    /// Whether what became of a request shows what the budget does: not before queues have drained, nor if it was
    /// given up that was asked before.
    #[must_use]
    pub fn is_told_by(&self, now: Timestamp, outcome: &AnswerOutcome) -> bool {
        match *outcome {
            AnswerOutcome::Unanswered { waited } => now.before(waited) >= self.shrunk_at,
            AnswerOutcome::Answered { .. } | AnswerOutcome::Short { .. } => {
                now.since(self.shrunk_at) >= SETTLE_TIME
            }
        }
    }

    /// Shrinks by the share of requests that was lost beyond what is allowed, or grows by the share that was not
    /// queued for.
    pub fn adjust(&mut self, now: Timestamp, excess: f32, queued_share: f32) {
        if excess > 0.0 {
            self.per_second *= 1.0 - excess.min(MAXIMUM_SHRINK);
            self.shrunk_at = now;
        } else {
            self.per_second *= 1.0 + GROWTH * (1.0 - queued_share);
        }
    }

    /// Takes what was offered in a window, and returns whether overload is over.
    pub fn is_over(&mut self, offered: f32) -> bool {
        let fits = offered <= self.per_second;
        self.calm_windows = if fits { self.calm_windows + 1 } else { 0 };
        self.calm_windows >= CALM_WINDOWS
    }
}
