//! Age of the last confirmation that a node's state is up to date.
//!
//! A node that is idle, because others read the store, must detect that they have stopped doing so.
//! Every confirmation therefore carries its age, and the node reads the store itself once the
//! confirmation is too old.
//!
//! Only a read of the newest state shows that there is nothing newer. A stale read, which may lag
//! by seconds, confirms the state only while no node is known to have read the newest state, as
//! right after a start of all nodes. The two are kept apart for each kind: otherwise the time of a
//! stale read would be passed on as that of a read of the newest state.

use crate::cookie::follower::Freshness;
use crate::time::Timestamp;
use std::time::Duration;

/// A kind of object in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectKind {
    /// Backend instances.
    Instances,
    /// The configuration.
    Configuration,
    /// Zones drained by operators.
    Zones,
}

impl ObjectKind {
    /// All kinds.
    pub const ALL: [Self; Self::COUNT] = [Self::Instances, Self::Configuration, Self::Zones];

    /// Number of kinds.
    pub const COUNT: usize = 3;

    /// Returns the kinds that a node reads. Drained zones are read only in clusters whose operators
    /// may drain zones.
    #[must_use]
    pub const fn read(reads_zones: bool) -> &'static [Self] {
        const WITHOUT_ZONES: [ObjectKind; 2] = [ObjectKind::Instances, ObjectKind::Configuration];
        if reads_zones {
            &Self::ALL
        } else {
            &WITHOUT_ZONES
        }
    }

    /// Returns the name used in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Instances => "instances",
            Self::Configuration => "configuration",
            Self::Zones => "zones",
        }
    }
}

/// Records when each kind of object was last confirmed by the store, directly or through peers.
///
/// ```
/// use bellyoke_core::cookie::follower::Freshness;
/// use bellyoke_core::cookie::freshness::{FreshnessClock, ObjectKind};
/// use bellyoke_core::time::Timestamp;
/// use std::time::Duration;
///
/// let at = |seconds: u64| Timestamp::from_micros(seconds * 1_000_000);
/// let mut clock = FreshnessClock::new(false);
/// clock.confirm(ObjectKind::Instances, at(5), Freshness::MayBeStale);
/// assert_eq!(clock.age(at(7)), None, "the configuration was never confirmed");
/// clock.confirm(ObjectKind::Configuration, at(6), Freshness::MayBeStale);
/// assert_eq!(clock.age(at(7)), Some(Duration::from_secs(2)));
/// clock.confirm_all(at(4), Freshness::Newest);
/// assert_eq!(clock.age(at(7)), Some(Duration::from_secs(3)), "the stale reads may lag further");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct FreshnessClock {
    /// The kinds that must be confirmed.
    kinds: &'static [ObjectKind],
    /// Confirmations, indexed by [`ObjectKind`].
    confirmations: [Confirmation; ObjectKind::COUNT],
}

/// The last confirmation of one kind of object.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    at: Option<Timestamp>,
    /// What `at` rests on. Once a read of the newest state is known, only such reads count.
    read: Freshness,
}

impl Confirmation {
    const NONE: Self = Self {
        at: None,
        read: Freshness::MayBeStale,
    };

    fn adopt(&mut self, at: Timestamp, read: Freshness) {
        match (self.read, read) {
            (Freshness::Newest, Freshness::MayBeStale) => {}
            (Freshness::MayBeStale, Freshness::Newest) => {
                *self = Self { at: Some(at), read };
            }
            _ => self.at = Some(self.at.map_or(at, |latest| latest.max(at))),
        }
    }
}

impl FreshnessClock {
    /// Creates a clock without confirmations.
    #[must_use]
    pub const fn new(reads_zones: bool) -> Self {
        Self {
            kinds: ObjectKind::read(reads_zones),
            confirmations: [Confirmation::NONE; ObjectKind::COUNT],
        }
    }

    /// Records that a read showed the state of a kind to be up to date at a time. A time before the
    /// known one has no effect, unless the known one rests on a stale read and the new one doesn't.
    /// A stale read has no effect once a read of the newest state is known.
    pub fn confirm(&mut self, kind: ObjectKind, at: Timestamp, read: Freshness) {
        self.confirmations[kind as usize].adopt(at, read);
    }

    /// Records that reads showed all kinds to be up to date at a time.
    pub fn confirm_all(&mut self, at: Timestamp, read: Freshness) {
        for kind in self.kinds {
            self.confirm(*kind, at, read);
        }
    }

    /// Returns when a kind was last confirmed.
    #[must_use]
    pub const fn confirmed_at(&self, kind: ObjectKind) -> Option<Timestamp> {
        self.confirmations[kind as usize].at
    }

    /// Returns whether some node is known to have read the newest state of a kind, so that stale
    /// reads no longer confirm it.
    #[must_use]
    pub fn newest_was_read(&self, kind: ObjectKind) -> bool {
        self.confirmations[kind as usize].read == Freshness::Newest
    }

    /// Returns what the confirmations of all kinds rest on: reads of the newest state only if that
    /// holds for each kind.
    #[must_use]
    pub fn read(&self) -> Freshness {
        if self.kinds.iter().all(|kind| self.newest_was_read(*kind)) {
            Freshness::Newest
        } else {
            Freshness::MayBeStale
        }
    }

    /// Returns the age of the oldest confirmation among all kinds, or `None` if a kind was never
    /// confirmed.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        let mut oldest = now;
        for kind in self.kinds {
            oldest = oldest.min(self.confirmed_at(*kind)?);
        }
        Some(now.since(oldest))
    }

    /// Drops all confirmations, as after a stall, when messages of peers received meanwhile are
    /// outdated. Stale reads still don't count once the newest state was read.
    pub fn clear(&mut self) {
        for confirmation in &mut self.confirmations {
            confirmation.at = None;
        }
    }
}
