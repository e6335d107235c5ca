//! Calls of a follower to the store and their answers.

use crate::cookie::revision::{Revision, StoreEra};
use crate::time::Timestamp;
use std::time::Duration;

/// Whether a read may be answered from an older state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The answer must show the newest state.
    Newest,
    /// The answer may be seconds old.
    MayBeStale,
}

/// How a follower continues after its list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchPlan {
    /// Watches.
    Watch(Freshness),
    /// Checks whether there is anything newer, without waiting for a change. Other nodes can become
    /// idle after the answer.
    Confirm,
    /// Makes no calls until then.
    IdleUntil(Timestamp),
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// A page of the list.
    List {
        /// Name of the last object of the previous page.
        after: Option<String>,
        /// How new the answer must be.
        freshness: Freshness,
    },
    /// The changes after a revision.
    Watch {
        /// The revision.
        from: Revision,
        /// Maximum time that the store waits for a change.
        wait: Duration,
        /// How new the answer must be.
        freshness: Freshness,
    },
}

impl Read {
    /// Returns how new the answer must be.
    #[must_use]
    pub const fn freshness(&self) -> Freshness {
        match self {
            Self::List { freshness, .. } | Self::Watch { freshness, .. } => *freshness,
        }
    }
}

/// The next action of a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Make this call and pass on its answer.
    Call(Read),
    /// Do nothing until then.
    WaitUntil(Timestamp),
}

/// The outcome of a call. `Item` is an object in a list, `Event` a change of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer<Item, Event> {
    /// A page of the list.
    Page {
        /// The objects.
        items: Vec<Item>,
        /// Name of the last object, if more pages follow.
        next_after: Option<String>,
        /// The store's revision.
        at: Revision,
    },
    /// The changes after the watch's revision.
    Changes {
        /// The changes, in order.
        events: Vec<Event>,
        /// The revision to continue from.
        at: Revision,
    },
    /// The store has discarded its history after the watch's revision.
    HistoryGone,
    /// The answer can't be used before a list of the newest state has shown that the known state
    /// is part of the store's history.
    Unverified,
    /// The store rejected the call because of its rate limit.
    Throttled,
    /// There is no usable answer. The call may be retried, since reads have no side effects.
    Failed,
}

/// An answer and the era of the store that it reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply<Item, Event> {
    /// The store's era, also if the answer is unusable otherwise; `None` if the store didn't report
    /// it or didn't answer.
    pub era: Option<StoreEra>,
    /// The outcome of the call.
    pub answer: Answer<Item, Event>,
}

impl<Item, Event> Reply<Item, Event> {
    /// Returns the reply for a call without an answer.
    #[must_use]
    pub const fn none() -> Self {
        Self {
            era: None,
            answer: Answer::Failed,
        }
    }
}

/// An update for the node's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update<Item, Event> {
    /// A full list as of a revision.
    List {
        /// The revision.
        at: Revision,
        /// All objects.
        items: Vec<Item>,
    },
    /// Changes up to a revision. An empty list means that nothing has changed.
    Changes {
        /// The revision.
        at: Revision,
        /// The changes, in order.
        events: Vec<Event>,
    },
}

impl<Item, Event> Update<Item, Event> {
    /// Returns whether the update is a full list.
    #[must_use]
    pub const fn is_list(&self) -> bool {
        matches!(self, Self::List { .. })
    }

    /// Returns the revision up to which the update is complete.
    #[must_use]
    pub const fn at(&self) -> Revision {
        match self {
            Self::List { at, .. } | Self::Changes { at, .. } => *at,
        }
    }
}

impl<Object> Update<Object, Object> {
    /// Returns the last object of the update, for kinds whose changes contain full objects.
    #[must_use]
    pub fn last(&self) -> Option<&Object> {
        match self {
            Self::List { items, .. } => items.last(),
            Self::Changes { events, .. } => events.last(),
        }
    }
}
