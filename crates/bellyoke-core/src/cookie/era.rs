//! Eras of the store and the validity of its answers.
//!
//! A store that was restored from an older copy has lost changes and assigns their revisions again.
//! Most stores report their era with each answer. For a store that doesn't, the node infers a
//! restoration from a list that must show the newest state: the store was restored if the list has
//! a lower revision number than was known when the call was made, or if its objects contradict the
//! known ones ([`crate::cookie::continuity`]).

use crate::cookie::follower::{Answer, Freshness, Read, Reply};
use crate::cookie::revision::{Revision, StoreEra};
use crate::time::Timestamp;
use std::time::Duration;

/// How long stale reads are avoided after a restoration. They may be seconds old and show the state
/// before it.
const STALE_READ_EXCLUSION: Duration = Duration::from_secs(10);

/// The state known to a node when it started a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallContext {
    /// The store's era.
    pub era: StoreEra,
    /// The latest known revision of the store, across all kinds of objects.
    pub known: Revision,
}

/// Whether an answer of the store may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerValidity {
    /// The answer belongs to the current era.
    Current,
    /// The answer belongs to an earlier era, or may belong to one.
    Outdated,
    /// The answer shows that the store was restored. Its revisions don't carry the new era.
    Restored,
    /// The store may have been restored since the last answer. The known state is to be checked
    /// first.
    Unverified,
}

impl AnswerValidity {
    /// Returns the answer if it is valid, and otherwise one that makes the follower retry, or list
    /// again after a restoration.
    #[must_use]
    pub fn filter<Item, Event>(self, answer: Answer<Item, Event>) -> Answer<Item, Event> {
        match self {
            Self::Current => answer,
            Self::Outdated => Answer::Failed,
            Self::Restored => Answer::HistoryGone,
            Self::Unverified => Answer::Unverified,
        }
    }
}

/// Tracks the eras of the store.
///
/// ```
/// use bellyoke_core::cookie::era::{AnswerValidity, EraTracker};
/// use bellyoke_core::cookie::follower::{Answer, Freshness, Read, Reply};
/// use bellyoke_core::cookie::revision::{Revision, StoreEra};
/// use bellyoke_core::time::Timestamp;
///
/// let mut eras = EraTracker::default();
/// let list = Read::List { after: None, freshness: Freshness::Newest };
/// let reply = |at| Reply::<(), ()> {
///     era: None,
///     answer: Answer::Page { items: Vec::new(), next_after: None, at: Revision::new(at) },
/// };
/// let context = eras.call_context(Revision::new(26));
/// assert_eq!(eras.classify(Timestamp::ZERO, context, &list, &reply(26)), AnswerValidity::Current);
/// assert_eq!(eras.classify(Timestamp::ZERO, context, &list, &reply(24)), AnswerValidity::Restored);
/// assert_eq!(eras.era(), StoreEra(1));
/// ```
#[derive(Debug, Default)]
pub struct EraTracker {
    era: StoreEra,
    /// Whether any era is known, including the first one.
    is_known: bool,
    /// Whether the store reports its era.
    reports_era: bool,
    /// When the node learned of the current era; `None` if that is the first era that it learned
    /// of.
    restored_at: Option<Timestamp>,
}

impl EraTracker {
    /// Returns the latest known era.
    #[must_use]
    pub const fn era(&self) -> StoreEra {
        self.era
    }

    /// Returns the context of a call that starts now.
    #[must_use]
    pub const fn call_context(&self, known: Revision) -> CallContext {
        CallContext {
            era: self.era,
            known,
        }
    }

    /// Returns whether the store reports its era, as far as this node has seen.
    #[must_use]
    pub const fn reports_era(&self) -> bool {
        self.reports_era
    }

    /// Records an era. The first era that a node learns of doesn't count as a restoration.
    pub fn record_era(&mut self, now: Timestamp, era: StoreEra) {
        if era > self.era {
            self.era = era;
            self.restored_at = self.is_known.then_some(now);
        }
        self.is_known = true;
    }

    /// Returns whether the store was restored after the node learned of its first era.
    #[must_use]
    pub const fn was_restored(&self) -> bool {
        self.restored_at.is_some()
    }

    /// Returns whether the last restoration is so recent that stale reads must be avoided.
    #[must_use]
    pub fn was_recently_restored(&self, now: Timestamp) -> bool {
        self.restored_at
            .is_some_and(|restored_at| now.since(restored_at) < STALE_READ_EXCLUSION)
    }

    /// Determines the validity of the reply to a call made in `context`, and records the era that
    /// it shows.
    pub fn classify<Item, Event>(
        &mut self,
        now: Timestamp,
        context: CallContext,
        read: &Read,
        reply: &Reply<Item, Event>,
    ) -> AnswerValidity {
        if let Some(era) = reply.era {
            self.reports_era = true;
            self.record_era(now, era);
            return if era < self.era {
                AnswerValidity::Outdated
            } else {
                AnswerValidity::Current
            };
        }
        if matches!(reply.answer, Answer::Failed) {
            return AnswerValidity::Current;
        }
        if self.reports_era || context.era < self.era {
            return AnswerValidity::Outdated;
        }
        self.record_era(now, context.era);
        if reveals_restoration(context, read, &reply.answer) {
            self.record_era(now, context.era.next());
            return AnswerValidity::Restored;
        }
        AnswerValidity::Current
    }
}

/// Returns whether the answer shows that the store has lost changes that were known when the call
/// was made.
fn reveals_restoration<Item, Event>(
    context: CallContext,
    read: &Read,
    answer: &Answer<Item, Event>,
) -> bool {
    let is_newest = matches!(
        read,
        Read::List {
            freshness: Freshness::Newest,
            ..
        }
    );
    let Answer::Page { at, .. } = answer else {
        return false;
    };
    is_newest && context.known.era() == context.era && at.number() < context.known.number()
}
