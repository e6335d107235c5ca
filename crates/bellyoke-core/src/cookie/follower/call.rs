//! What a follower asks of the store, and what it is answered.

use crate::cookie::revision::{Revision, StoreEra};
use crate::time::Timestamp;
use std::time::Duration;

/// Whether a read may be answered from an older state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It must tell the newest state.
    Newest,
    /// It may be seconds old.
    MayBeStale,
}

/// How a follower that has a list goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchPlan {
    /// It watches.
    Watch(Freshness),
    /// It asks whether anything is newer, and doesn't wait for a change: others may rest as soon as it knows.
    Confirm,
    /// It asks nothing until then.
    IdleUntil(Timestamp),
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// A page of the list.
    List {
        /// Name of the last object of the page before.
        after: Option<String>,
        /// How new the answer must be.
        freshness: Freshness,
    },
    /// The changes since a revision.
    Watch {
        /// The revision.
        from: Revision,
        /// How long the store may wait for a change.
        wait: Duration,
        /// How new the answer must be.
        freshness: Freshness,
    },
}

impl Read {
    /// How new the answer must be.
    #[must_use]
    pub const fn freshness(&self) -> Freshness {
        match self {
            Self::List { freshness, .. } | Self::Watch { freshness, .. } => *freshness,
        }
    }
}

/// What a follower wants next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Make this call and hand in its answer.
    Call(Read),
    /// Ask again then.
    WaitUntil(Timestamp),
}

/// What came of a call. `Item` is an object of a list, `Event` a change of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer<Item, Event> {
    /// A page of the list.
    Page {
        /// The objects.
        items: Vec<Item>,
        /// Name of the last, if more pages follow.
        next_after: Option<String>,
        /// The store's revision.
        at: Revision,
    },
    /// The changes since the watch's revision.
    Changes {
        /// In their order.
        events: Vec<Event>,
        /// The revision to go on from.
        at: Revision,
    },
    /// The store has forgotten the watch's revision.
    HistoryGone,
    /// Too many calls.
    Throttled,
    /// No answer, or one of no use. A call without an answer may be repeated: reads change
    /// nothing.
    Failed,
}

/// An answer, and what it tells of the store itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply<Item, Event> {
    /// The store's era, also of an answer that is of no use otherwise; none if nothing was answered.
    pub era: Option<StoreEra>,
    /// What came of the call.
    pub answer: Answer<Item, Event>,
}

impl<Item, Event> Reply<Item, Event> {
    /// The reply of a call that nothing was answered to.
    #[must_use]
    pub const fn none() -> Self {
        Self {
            era: None,
            answer: Answer::Failed,
        }
    }
}

/// News for the node's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update<Item, Event> {
    /// A whole list, true at a revision.
    List {
        /// The revision.
        at: Revision,
        /// All objects.
        items: Vec<Item>,
    },
    /// Changes up to a revision; none at all says that nothing has changed until then.
    Changes {
        /// The revision.
        at: Revision,
        /// In their order.
        events: Vec<Event>,
    },
}

impl<Item, Event> Update<Item, Event> {
    /// The revision that it is true at.
    #[must_use]
    pub const fn at(&self) -> Revision {
        match self {
            Self::List { at, .. } | Self::Changes { at, .. } => *at,
        }
    }
}

impl<Object> Update<Object, Object> {
    /// The last object that it tells of, where changes bring objects whole.
    #[must_use]
    pub fn last(&self) -> Option<&Object> {
        match self {
            Self::List { items, .. } => items.last(),
            Self::Changes { events, .. } => events.last(),
        }
    }
}
