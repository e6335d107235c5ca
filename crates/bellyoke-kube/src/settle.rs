//! How the outcome of one conditional write is settled when answers are lost, without IO.
//!
//! A write is never repeated blindly. After a lost answer the object is read back: if it
//! carries the operation id, the write is accepted; if it is still the version that the write
//! follows, the same write may be sent again, since its condition lets it take effect once at
//! most; anything else is a newer object by somebody else.

use crate::backoff::Backoff;
use crate::store::ResourceVersion;
use bellyoke_core::time::Timestamp;
use std::time::Duration;

const FIRST_DELAY: Duration = Duration::from_millis(50);
const DELAY_CEILING: Duration = Duration::from_secs(2);

/// Limits the retries of all writes of a process together, so that a store that is slow isn't
/// loaded with repeated requests on top: a token bucket.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    capacity: u32,
    refill: Duration,
    tokens: u32,
    refilled: Timestamp,
}

impl RetryBudget {
    /// Up to `capacity` retries at once, and one more each `refill`.
    #[must_use]
    pub const fn new(capacity: u32, refill: Duration) -> Self {
        Self {
            capacity,
            refill,
            tokens: capacity,
            refilled: Timestamp::ZERO,
        }
    }

    /// Takes one retry, if there is one left.
    pub fn take(&mut self, now: Timestamp) -> bool {
        self.add_tokens(now);
        let allowed = self.tokens > 0;
        self.tokens = self.tokens.saturating_sub(1);
        allowed
    }

    fn add_tokens(&mut self, now: Timestamp) {
        let refill = self.refill.as_micros().max(1);
        let earned = now.since(self.refilled).as_micros() / refill;
        let earned = u32::try_from(earned).unwrap_or(u32::MAX);
        if earned == 0 {
            return;
        }
        self.tokens = self.tokens.saturating_add(earned).min(self.capacity);
        self.refilled = self.refilled.after(self.refill.saturating_mul(earned));
    }
}

/// What a retry is decided by.
#[derive(Debug)]
pub struct RetryContext<'a, R: ?Sized> {
    /// Retries of the process.
    pub budget: &'a mut RetryBudget,
    /// The time.
    pub now: Timestamp,
    /// Draws the delay.
    pub random: &'a mut R,
}

/// What the store said to the write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteAnswer<S> {
    /// Done: the object as stored.
    Stored(S),
    /// The object isn't the version that the write follows.
    Conflict,
    /// Refused for another reason, without effect.
    Refused,
    /// No answer, or one that leaves open whether the write took effect.
    Lost,
}

/// What the store said when the object was read back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadAnswer<S> {
    /// The object as stored.
    Found(ReadBack<S>),
    /// There is no such object.
    Missing,
    /// No answer.
    Lost,
}

/// An object that was read back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadBack<S> {
    /// The object.
    pub object: S,
    /// Its version.
    pub version: ResourceVersion,
    /// Whether its operation id (and digest, where it has one) are those of the write.
    pub ours: bool,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<S> {
    /// Send the write.
    Write {
        /// Wait first.
        delay: Duration,
    },
    /// Read the object back.
    Read {
        /// Wait first.
        delay: Duration,
    },
    /// The end.
    Done(Settled<S>),
}

/// What came of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled<S> {
    /// It is in the store.
    Accepted(S),
    /// The store holds an object that somebody else wrote.
    Conflict {
        /// That object.
        newer: S,
        /// True if an answer was lost: the own write may have been in force before.
        overtaken: bool,
    },
    /// The object to be replaced isn't there any more.
    Deleted,
    /// Refused without effect.
    Refused,
    /// Out of retries: the write may have taken effect or may yet.
    Unknown,
}

/// The state of one write.
#[derive(Clone, Debug)]
pub struct Settlement {
    previous: Option<ResourceVersion>,
    backoff: Backoff,
    retries_left: u32,
    answer_lost: bool,
}

impl Settlement {
    /// A write that follows `previous` (none: creates the object), with at most `retries`
    /// further requests after answers were lost.
    #[must_use]
    pub const fn new(previous: Option<ResourceVersion>, retries: u32) -> Self {
        Self {
            previous,
            backoff: Backoff::new(FIRST_DELAY, DELAY_CEILING),
            retries_left: retries,
            answer_lost: false,
        }
    }

    /// After the write was sent.
    pub fn on_write<S, R: rand::Rng + ?Sized>(
        &mut self,
        answer: WriteAnswer<S>,
        context: &mut RetryContext<'_, R>,
    ) -> Step<S> {
        match answer {
            WriteAnswer::Stored(object) => Step::Done(Settled::Accepted(object)),
            WriteAnswer::Conflict => Step::Read {
                delay: Duration::ZERO,
            },
            WriteAnswer::Refused if self.answer_lost => Step::Done(Settled::Unknown),
            WriteAnswer::Refused => Step::Done(Settled::Refused),
            WriteAnswer::Lost => {
                self.answer_lost = true;
                self.retry(context, |delay| Step::Read { delay })
            }
        }
    }

    /// After the object was read back.
    pub fn on_read<S, R: rand::Rng + ?Sized>(
        &mut self,
        answer: ReadAnswer<S>,
        context: &mut RetryContext<'_, R>,
    ) -> Step<S> {
        match answer {
            ReadAnswer::Found(found) if found.ours => Step::Done(Settled::Accepted(found.object)),
            ReadAnswer::Found(found) if self.previous.as_ref() == Some(&found.version) => {
                self.retry(context, |delay| Step::Write { delay })
            }
            ReadAnswer::Found(found) => Step::Done(Settled::Conflict {
                newer: found.object,
                overtaken: self.answer_lost,
            }),
            ReadAnswer::Missing if self.previous.is_some() => Step::Done(Settled::Deleted),
            ReadAnswer::Missing => self.retry(context, |delay| Step::Write { delay }),
            ReadAnswer::Lost => self.retry(context, |delay| Step::Read { delay }),
        }
    }

    fn retry<S, R: rand::Rng + ?Sized>(
        &mut self,
        context: &mut RetryContext<'_, R>,
        step: impl FnOnce(Duration) -> Step<S>,
    ) -> Step<S> {
        if self.retries_left == 0 || !context.budget.take(context.now) {
            return Step::Done(Settled::Unknown);
        }
        self.retries_left -= 1;
        step(self.backoff.next_delay(context.random))
    }
}
