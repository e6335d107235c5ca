//! Which era of the store an answer comes from.
//!
//! A store that comes back from an older copy has lost changes, and gives their revisions out again. Most stores tell
//! their era with each answer. Where one doesn't, a restoration is inferred: a list that must tell the newest state, and
//! tells a lower number than was known when it was asked for, comes from a restored store.

use crate::cookie::follower::{Answer, Freshness, Read, Reply};
use crate::cookie::revision::{Revision, StoreEra};
use crate::time::Timestamp;
use std::time::Duration;

/// How long reads that may be stale are not used after a restoration: they may be answered from a state before it, and be
/// some seconds old.
const STALE_READ_EXCLUSION: Duration = Duration::from_secs(10);

/// What a node knew when it made a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallContext {
    /// The store's era.
    pub era: StoreEra,
    /// The latest revision that it knew of the store, of any kind of object.
    pub known: Revision,
}

/// What an answer counts for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerValidity {
    /// It comes from the store's present era.
    Current,
    /// It comes from an earlier era, or may do.
    Outdated,
    /// It shows that the store was restored; its revisions are not those of the new era.
    Restored,
}

impl AnswerValidity {
    /// The answer as far as it counts: a follower lists anew on word of a restoration.
    #[must_use]
    pub fn filter<Item, Event>(self, answer: Answer<Item, Event>) -> Answer<Item, Event> {
        match self {
            Self::Current => answer,
            Self::Outdated => Answer::Failed,
            Self::Restored => Answer::HistoryGone,
        }
    }
}

/// The store's eras as a node learns of them.
///
/// ```
/// use bellyoke_core::cookie::era::{EraTracker, AnswerValidity};
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
    /// Whether any era is known, be it the first.
    is_known: bool,
    /// Whether the store tells its era.
    reports_era: bool,
    /// When the node learned of the present era; none if it is the first one that it knows.
    restored_at: Option<Timestamp>,
}

impl EraTracker {
    /// The latest era known.
    #[must_use]
    pub const fn era(&self) -> StoreEra {
        self.era
    }

    /// What to remember of a call that begins now.
    #[must_use]
    pub const fn call_context(&self, known: Revision) -> CallContext {
        CallContext {
            era: self.era,
            known,
        }
    }

    /// Hears of an era. The first one that a node hears of is no restoration.
    pub fn record_era(&mut self, now: Timestamp, era: StoreEra) {
        if era > self.era {
            self.era = era;
            self.restored_at = self.is_known.then_some(now);
        }
        self.is_known = true;
    }

    /// Whether the store was restored since the node learned of it.
    #[must_use]
    pub const fn was_restored(&self) -> bool {
        self.restored_at.is_some()
    }

    /// Whether the store was restored so lately that only its newest state counts.
    #[must_use]
    pub fn was_recently_restored(&self, now: Timestamp) -> bool {
        self.restored_at
            .is_some_and(|restored_at| now.since(restored_at) < STALE_READ_EXCLUSION)
    }

    /// What a reply counts for, to a call that was made in `context`.
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

/// Whether the store has lost what was known when the call was made.
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
