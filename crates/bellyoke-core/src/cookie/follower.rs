//! Reading one kind of object from the store: list, then watch from the list's revision.
//!
//! The follower says what to ask and takes the answers; the host speaks the store's protocol.
//! Reads that may be answered from an older state (*stale*) are cheap and don't count towards
//! the store's rate: lists are read so, and watches of all nodes but one. Order is kept by
//! revisions, so an old answer never undoes a newer one. Few nodes watch all the time
//! ([`crate::cookie::exchange::StoreDuty`]); the others rest while these tell them enough.

mod call;

pub use call::{Answer, Freshness, NextAction, Read, Reply, Update, WatchPlan};

use crate::cookie::revision::{Revision, StoreEra};
use crate::time::Timestamp;
use rand::{Rng, RngExt};
use std::time::Duration;

/// How a follower paces itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FollowerSettings {
    /// How long the store may hold a watch open that may be stale. A connection that says
    /// nothing for longer is dead, so this bounds how long a cut goes unnoticed.
    pub watch_wait: Duration,
    /// The same for a watch of the newest state, which is dearer. With [`Self::reader_watch_pause`] it must be shorter than the
    /// time for which others rest after a confirmation: the answer is their next one.
    pub reader_watch_wait: Duration,
    /// Pause of a stale watch after changes, so that those that come together cost one call.
    pub watch_pause: Duration,
    /// The same for a watch of the newest state.
    pub reader_watch_pause: Duration,
    /// Pause after the first failure; doubles with each further one.
    pub initial_backoff: Duration,
    /// Longest pause.
    pub maximum_backoff: Duration,
    /// How much more than the least of machines this one bears: so much sooner it goes on with a long list.
    pub relative_capacity: f64,
}

/// A first list that has more pages goes on after a random part of so many times as long as the first page took. That
/// is long where many nodes list at once: a few then read the whole list, and the others learn it from them. 986 nodes
/// that all read 10,000 records of 250 bytes take a store with 1,000 Mbit/s for 20 s (worked out); one page each takes 1 s.
const LIST_SPREAD_FACTOR: f64 = 10.0;

/// Pause after a read that may be stale has told that history is gone, before the list is read: word of one who reads the
/// newest state comes within some tens of milliseconds. Short beside the time within which a change must be in force.
const RELIST_DELAY_AFTER_STALE_READ: Duration = Duration::from_millis(300);

/// Longest wait for the second page. A node that is alone with a slow store goes on after it; with 1,000 nodes that have
/// waited 1 s for the first page a dozen go on in each tenth of a second.
const MAXIMUM_LIST_DELAY: Duration = Duration::from_secs(8);

/// How long a watch may wait whose answer is wanted at once.
const CONFIRM_WATCH_WAIT: Duration = Duration::from_millis(10);

impl Default for FollowerSettings {
    fn default() -> Self {
        Self {
            watch_wait: Duration::from_millis(750),
            reader_watch_wait: Duration::from_millis(750),
            watch_pause: Duration::from_millis(50),
            reader_watch_pause: Duration::from_millis(500),
            initial_backoff: Duration::from_millis(100),
            maximum_backoff: Duration::from_millis(1_000),
            relative_capacity: 1.0,
        }
    }
}

#[derive(Debug)]
enum Phase<Item> {
    Listing {
        oldest_at: Option<Revision>,
        items: Vec<Item>,
        after: Option<String>,
        freshness: Freshness,
        /// The store has forgotten what came after this revision.
        forgotten: Revision,
    },
    Watching {
        from: Revision,
    },
}

impl<Item> Phase<Item> {
    const fn list(freshness: Freshness, forgotten: Revision) -> Self {
        Self::Listing {
            oldest_at: None,
            items: Vec::new(),
            after: None,
            freshness,
            forgotten,
        }
    }
}

/// Follows one kind of object.
#[derive(Debug)]
pub struct Follower<Item> {
    settings: FollowerSettings,
    phase: Phase<Item>,
    failures: u32,
    not_before: Timestamp,
    /// When a watch last brought changes.
    changed_at: Option<Timestamp>,
    /// When the last call began.
    call_started_at: Option<Timestamp>,
    /// Whether it may be answered from an older state. One whose history is gone may be that of a store that lags: others
    /// are told what is new, and a list each time costs the store 2.5 MB at 10,000 instances.
    last_call_may_be_stale: bool,
    /// Whether the last call was refused as one too many. The store may still answer cheaper reads, which may be stale.
    throttled: bool,
    /// The store's era. What was read in an earlier one is no place to go on from.
    era: StoreEra,
}

impl<Item> Follower<Item> {
    /// A follower that knows nothing.
    #[must_use]
    pub const fn new(settings: FollowerSettings) -> Self {
        Self {
            settings,
            phase: Phase::list(Freshness::MayBeStale, Revision::new(0)),
            failures: 0,
            not_before: Timestamp::ZERO,
            changed_at: None,
            call_started_at: None,
            last_call_may_be_stale: false,
            throttled: false,
            era: StoreEra(0),
        }
    }

    /// The store is in this era, if no later one is known.
    pub fn enter_era(&mut self, era: StoreEra) {
        self.era = era.max(self.era);
        if let Phase::Listing {
            oldest_at: Some(at),
            forgotten,
            ..
        } = self.phase
            && at.era() < self.era
        {
            self.phase = Phase::list(Freshness::Newest, forgotten);
        }
    }

    /// A call begins.
    pub fn start_call(&mut self, now: Timestamp, read: &Read) {
        if let (Read::List { freshness, .. }, Phase::Watching { from }) = (read, &self.phase) {
            self.phase = Phase::list(*freshness, *from);
        }
        self.call_started_at = Some(now);
        self.last_call_may_be_stale = matches!(
            read,
            Read::Watch {
                freshness: Freshness::MayBeStale,
                ..
            }
        );
    }

    /// What to do now. `plan` is how it goes on once it has a list.
    #[must_use]
    pub fn next_action(&self, now: Timestamp, plan: WatchPlan) -> NextAction {
        if now < self.not_before {
            return NextAction::WaitUntil(self.not_before);
        }
        match &self.phase {
            Phase::Listing {
                after, freshness, ..
            } => NextAction::Call(Read::List {
                after: after.clone(),
                freshness: *freshness,
            }),
            Phase::Watching { from } => self.watch(now, *from, plan),
        }
    }

    /// What the node has heard from elsewhere reaches up to here: the next watch goes on from
    /// there. A list that has not ended by then is not needed any more.
    pub fn skip_to(&mut self, at: Revision) {
        match &mut self.phase {
            Phase::Watching { from } => *from = at.max(*from),
            Phase::Listing { forgotten, .. } if at > *forgotten => {
                self.phase = Phase::Watching { from: at };
            }
            Phase::Listing { .. } => {}
        }
    }

    /// Whether it is reading a list that what the node has heard from elsewhere, up to here, makes
    /// needless.
    #[must_use]
    pub fn is_list_redundant(&self, at: Revision) -> bool {
        matches!(&self.phase, Phase::Listing { forgotten, .. } if at > *forgotten)
    }

    /// Whether the last call was answered, or none was made yet.
    #[must_use]
    pub const fn is_usable(&self) -> bool {
        self.failures == 0
    }

    /// Takes the answer to the last call. Returns news, if it is any.
    pub fn answer<Event>(
        &mut self,
        now: Timestamp,
        answer: Answer<Item, Event>,
        random: &mut impl Rng,
    ) -> Option<Update<Item, Event>> {
        self.throttled = matches!(answer, Answer::Throttled);
        match answer {
            Answer::Page { at, .. } | Answer::Changes { at, .. } if at.era() < self.era => {
                self.back_off(now, random);
                None
            }
            Answer::Changes { at, .. } if at.era() != self.watched_from().era() => {
                self.enter_era(at.era());
                self.restart_list(now, random);
                None
            }
            Answer::Page { at, .. } if self.has_pages_of_another_era(at.era()) => {
                self.enter_era(at.era());
                None
            }
            Answer::Page {
                items,
                next_after,
                at,
            } => {
                self.enter_era(at.era());
                self.failures = 0;
                if next_after.is_some() && self.is_first_page() {
                    self.not_before = now.after(self.list_delay(now, random));
                }
                self.page(items, next_after, at)
            }
            Answer::Changes { events, at } => {
                self.failures = 0;
                if !events.is_empty() {
                    self.changed_at = Some(now);
                }
                self.changes(events, at)
            }
            Answer::HistoryGone => {
                self.restart_list(now, random);
                None
            }
            Answer::Throttled => {
                if let Phase::Listing { forgotten, .. } = self.phase {
                    self.phase = Phase::list(Freshness::MayBeStale, forgotten);
                }
                self.back_off(now, random);
                None
            }
            Answer::Failed => {
                self.back_off(now, random);
                None
            }
        }
    }

    /// Whether the list that it reads began in another era.
    fn has_pages_of_another_era(&self, era: StoreEra) -> bool {
        matches!(&self.phase, Phase::Listing { oldest_at: Some(at), .. } if at.era() != era)
    }

    /// The watch can't go on from where it is.
    fn restart_list(&mut self, now: Timestamp, random: &mut impl Rng) {
        let forgotten = self.watched_from();
        self.phase = Phase::list(Freshness::Newest, forgotten);
        if self.last_call_may_be_stale {
            self.not_before =
                now.after(RELIST_DELAY_AFTER_STALE_READ.mul_f64(random.random_range(0.5..=1.0)));
        }
    }

    /// The revision up to which the follower has read.
    const fn watched_from(&self) -> Revision {
        match &self.phase {
            Phase::Watching { from } => *from,
            Phase::Listing { forgotten, .. } => *forgotten,
        }
    }

    fn watch(&self, now: Timestamp, from: Revision, plan: WatchPlan) -> NextAction {
        let freshness = match plan {
            WatchPlan::Watch(_) | WatchPlan::Confirm if self.throttled => Freshness::MayBeStale,
            WatchPlan::Watch(freshness) => freshness,
            WatchPlan::Confirm => Freshness::Newest,
            WatchPlan::IdleUntil(time) if now < time => return NextAction::WaitUntil(time),
            WatchPlan::IdleUntil(_) => Freshness::MayBeStale,
        };
        let (wait, pause) = match freshness {
            Freshness::Newest => (
                self.settings.reader_watch_wait,
                self.settings.reader_watch_pause,
            ),
            Freshness::MayBeStale => (self.settings.watch_wait, self.settings.watch_pause),
        };
        let pause_ends = self.changed_at.map(|changed_at| changed_at.after(pause));
        if let Some(pause_ends) = pause_ends.filter(|pause_ends| now < *pause_ends) {
            return NextAction::WaitUntil(pause_ends);
        }
        if from.era() < self.era {
            return NextAction::Call(Read::List {
                after: None,
                freshness: Freshness::Newest,
            });
        }
        NextAction::Call(Read::Watch {
            from,
            wait: if plan == WatchPlan::Confirm {
                CONFIRM_WATCH_WAIT
            } else {
                wait
            },
            freshness,
        })
    }

    /// Whether no page of the first list has come yet.
    fn is_first_page(&self) -> bool {
        matches!(
            &self.phase,
            Phase::Listing { after: None, forgotten, .. } if *forgotten == Revision::default()
        )
    }

    /// How long others have to read the list, after its first page.
    fn list_delay(&self, now: Timestamp, random: &mut impl Rng) -> Duration {
        let took = self
            .call_started_at
            .map_or(Duration::ZERO, |call_started_at| now.since(call_started_at));
        let spread = LIST_SPREAD_FACTOR / self.settings.relative_capacity;
        let longest = took.mul_f64(spread).min(MAXIMUM_LIST_DELAY);
        longest.mul_f64(random.random_range(0.0..1.0))
    }

    fn page<Event>(
        &mut self,
        page: Vec<Item>,
        next_after: Option<String>,
        at: Revision,
    ) -> Option<Update<Item, Event>> {
        let Phase::Listing {
            oldest_at,
            items,
            after,
            ..
        } = &mut self.phase
        else {
            return None;
        };
        // The list is true at the revision of its oldest page, mostly the first: the watch from
        // there tells what changed until the other pages were read.
        let list_at = oldest_at.map_or(at, |oldest| oldest.min(at));
        *oldest_at = Some(list_at);
        items.extend(page);
        if next_after.is_some() {
            *after = next_after;
            return None;
        }
        let items = std::mem::take(items);
        self.phase = Phase::Watching { from: list_at };
        Some(Update::List { at: list_at, items })
    }

    fn changes<Event>(&mut self, events: Vec<Event>, at: Revision) -> Option<Update<Item, Event>> {
        let Phase::Watching { from } = &mut self.phase else {
            return None;
        };
        *from = at.max(*from);
        Some(Update::Changes { at, events })
    }

    /// Waits for a random part of a time that doubles with each failure, so that nodes that
    /// failed together don't come back together.
    fn back_off(&mut self, now: Timestamp, random: &mut impl Rng) {
        let doublings = self.failures.min(16);
        let doubled = self.settings.initial_backoff.saturating_mul(1 << doublings);
        let longest = doubled.min(self.settings.maximum_backoff);
        self.failures = self.failures.saturating_add(1);
        self.not_before = now.after(longest.mul_f64(random.random_range(0.5..=1.0)));
    }
}
