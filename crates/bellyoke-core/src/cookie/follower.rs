//! Reads one kind of object from the store: a list, then watches from the revision of the list.
//!
//! The follower decides which call to make and processes the answers; the host implements the
//! store's protocol. Reads that may return an older state (*stale reads*) are cheap and don't count
//! towards the store's rate limit. Lists are stale reads, and so are the watches of all nodes but
//! one. Answers are ordered by revision, so an old answer never overrides a newer one. Only a few
//! nodes watch all the time ([`crate::cookie::exchange::StoreDuty`]); the others are idle while
//! they get sufficient updates from these nodes.

mod call;

pub use call::{Answer, Freshness, NextAction, Read, Reply, Update, WatchPlan};

use crate::cookie::revision::{Revision, StoreEra};
use crate::time::Timestamp;
use rand::{Rng, RngExt};
use std::time::Duration;

/// Timing of a follower's calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FollowerSettings {
    /// Maximum time that the store keeps a stale watch open. A connection without an answer for
    /// longer is considered dead, so this bounds the time to detect a broken connection.
    pub watch_wait: Duration,
    /// The same for a watch of the newest state, which is more expensive. Its answer is the next
    /// confirmation for idle nodes, so the sum with [`Self::reader_watch_pause`] must be shorter
    /// than the time that they stay idle after one.
    pub reader_watch_wait: Duration,
    /// Pause of a stale watch after changes. It batches changes in quick succession into one call.
    pub watch_pause: Duration,
    /// The same for a watch of the newest state.
    pub reader_watch_pause: Duration,
    /// Pause after the first failure. It doubles with each further failure.
    pub initial_backoff: Duration,
    /// Maximum pause after failures.
    pub maximum_backoff: Duration,
    /// Capacity of this machine relative to the smallest machine class. It divides the delay before
    /// the second page of a long list.
    pub relative_capacity: f64,
}

/// Maximum delay before the second page of the first list, as a multiple of the time that the first
/// page took; the actual delay is a random part of it. The delay is long when many nodes list at
/// once: a few of them then read the full list and the others get it from these. 986 nodes that all
/// read 10,000 records of 250 bytes occupy a store with 1,000 Mbit/s for 20 s; one
/// page for each node takes 1 s.
const LIST_SPREAD_FACTOR: f64 = 10.0;

/// Maximum delay before a new list after a stale read has found that the store has discarded the
/// required history. The update of a node that reads the newest state arrives within tens of
/// milliseconds and makes the list redundant. The delay is short compared to the time within which
/// a change must take effect.
const RELIST_DELAY_AFTER_STALE_READ: Duration = Duration::from_millis(300);

/// Upper bound of the delay before the second page. It lets a single node with a slow store
/// continue. If 1,000 nodes have waited 1 s for the first page, about 12 of them continue per 100
/// ms.
const MAXIMUM_LIST_DELAY: Duration = Duration::from_secs(8);

/// Maximum time that the store keeps a confirming watch open. It is short because the answer is
/// needed at once.
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

/// The current phase of the follower's reading.
#[derive(Debug)]
enum Phase<Item> {
    Listing {
        oldest_at: Option<Revision>,
        items: Vec<Item>,
        after: Option<String>,
        freshness: Freshness,
        /// The revision up to which the state was known before the list, or zero. A watch can't
        /// continue from it.
        known_up_to: Revision,
        /// Whether the list checks the known state, and is required even if peers send newer state.
        is_check: bool,
    },
    Watching {
        from: Revision,
    },
}

impl<Item> Phase<Item> {
    /// Returns the phase at the start of a list.
    const fn list(freshness: Freshness, known_up_to: Revision) -> Self {
        Self::Listing {
            oldest_at: None,
            items: Vec::new(),
            after: None,
            freshness,
            known_up_to,
            is_check: false,
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
    /// When the last call started.
    call_started_at: Option<Timestamp>,
    /// Whether the last call was a stale watch. If the required history was discarded, the answer
    /// may come from a lagging replica of the store, and a list each time would cost the store 2.5
    /// MB with 10,000 instances although peers send the changes.
    last_call_may_be_stale: bool,
    /// Whether the store throttled the last call. It may still answer stale reads, which are
    /// cheaper.
    throttled: bool,
    /// The store's era. Revisions of an earlier era are not valid starting points.
    era: StoreEra,
}

impl<Item> Follower<Item> {
    /// Creates a follower that has read nothing.
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

    /// Records the store's era if it is newer than the known one, and restarts a list that began in
    /// an earlier era.
    pub fn enter_era(&mut self, era: StoreEra) {
        if era > self.era
            && let Phase::Listing { is_check, .. } = &mut self.phase
        {
            *is_check = false;
        }
        self.era = era.max(self.era);
        if let Phase::Listing {
            oldest_at: Some(at),
            known_up_to,
            ..
        } = self.phase
            && at.era() < self.era
        {
            self.phase = Phase::list(Freshness::Newest, known_up_to);
        }
    }

    /// Records the start of a call.
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

    /// Returns the next action. `plan` applies after the first list.
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

    /// Records that the node has learned the state up to a revision from elsewhere. The next watch
    /// starts there, and an unfinished list that is redundant is abandoned.
    pub fn skip_to(&mut self, at: Revision) {
        if let Phase::Watching { from } = &mut self.phase {
            *from = at.max(*from);
        } else if self.is_list_redundant(at) {
            self.phase = Phase::Watching { from: at };
        }
    }

    /// Returns whether the follower is reading a list that is redundant because the node has
    /// learned the state up to `at` from elsewhere.
    #[must_use]
    pub fn is_list_redundant(&self, at: Revision) -> bool {
        matches!(
            &self.phase,
            Phase::Listing { known_up_to, is_check: false, .. } if at > *known_up_to
        )
    }

    /// Returns whether the last call was answered, or none was made yet.
    #[must_use]
    pub const fn is_usable(&self) -> bool {
        self.failures == 0
    }

    /// Processes the answer to the last call. Returns an update if the answer contains one.
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
            Answer::Unverified => {
                self.failures = 0;
                self.start_check();
                None
            }
            Answer::Throttled => {
                if let Phase::Listing { known_up_to, .. } = self.phase {
                    self.phase = Phase::list(Freshness::MayBeStale, known_up_to);
                }
                self.back_off(now, random);
                None
            }
            Answer::Failed => {
                self.abandon_check();
                self.back_off(now, random);
                None
            }
        }
    }

    /// Starts a list that checks the known state.
    fn start_check(&mut self) {
        self.phase = Phase::Listing {
            oldest_at: None,
            items: Vec::new(),
            after: None,
            freshness: Freshness::Newest,
            known_up_to: self.watched_from(),
            is_check: true,
        };
    }

    /// Returns to the watch after a check has failed: while the store is away, a watch is the
    /// cheaper way to notice its return.
    fn abandon_check(&mut self) {
        if let Phase::Listing {
            known_up_to,
            is_check: true,
            ..
        } = self.phase
        {
            self.phase = Phase::Watching { from: known_up_to };
        }
    }

    /// Returns whether the current list has pages of another era.
    fn has_pages_of_another_era(&self, era: StoreEra) -> bool {
        matches!(&self.phase, Phase::Listing { oldest_at: Some(at), .. } if at.era() != era)
    }

    /// Starts a new list because the watch can't continue from its revision.
    fn restart_list(&mut self, now: Timestamp, random: &mut impl Rng) {
        let known_up_to = self.watched_from();
        self.phase = Phase::list(Freshness::Newest, known_up_to);
        if self.last_call_may_be_stale {
            self.not_before =
                now.after(RELIST_DELAY_AFTER_STALE_READ.mul_f64(random.random_range(0.5..=1.0)));
        }
    }

    /// Returns the revision up to which the follower has read.
    const fn watched_from(&self) -> Revision {
        match &self.phase {
            Phase::Watching { from } => *from,
            Phase::Listing { known_up_to, .. } => *known_up_to,
        }
    }

    /// Returns the next action while watching.
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

    /// Returns whether the first page of the first list has not arrived yet.
    fn is_first_page(&self) -> bool {
        matches!(
            &self.phase,
            Phase::Listing { after: None, known_up_to, .. } if *known_up_to == Revision::default()
        )
    }

    /// Returns the delay before the second page, in which other nodes may read the list.
    fn list_delay(&self, now: Timestamp, random: &mut impl Rng) -> Duration {
        let page_time = self
            .call_started_at
            .map_or(Duration::ZERO, |call_started_at| now.since(call_started_at));
        let spread = LIST_SPREAD_FACTOR / self.settings.relative_capacity;
        let longest = page_time.mul_f64(spread).min(MAXIMUM_LIST_DELAY);
        longest.mul_f64(random.random_range(0.0..1.0))
    }

    /// Adds a page to the list. Returns the list once it is complete.
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
        // The list counts as of the revision of its oldest page, usually the first one. The watch
        // from there returns the changes made until the other pages were read.
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

    /// Advances the watch and returns its changes.
    fn changes<Event>(&mut self, events: Vec<Event>, at: Revision) -> Option<Update<Item, Event>> {
        let Phase::Watching { from } = &mut self.phase else {
            return None;
        };
        *from = at.max(*from);
        Some(Update::Changes { at, events })
    }

    /// Waits with exponential backoff. A random factor avoids retries at the same time by nodes
    /// that failed together.
    fn back_off(&mut self, now: Timestamp, random: &mut impl Rng) {
        let doublings = self.failures.min(16);
        let doubled = self.settings.initial_backoff.saturating_mul(1 << doublings);
        let longest = doubled.min(self.settings.maximum_backoff);
        self.failures = self.failures.saturating_add(1);
        self.not_before = now.after(longest.mul_f64(random.random_range(0.5..=1.0)));
    }
}
