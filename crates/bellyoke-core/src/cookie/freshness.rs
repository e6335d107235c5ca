//! Age of the last confirmation that a node's state is up to date.
//!
//! A node that is idle, because others read the store, must detect that they have stopped doing so.
//! Every confirmation therefore carries its age, and the node reads the store itself once the
//! confirmation is too old.

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
/// use bellyoke_core::cookie::freshness::{FreshnessClock, ObjectKind};
/// use bellyoke_core::time::Timestamp;
/// use std::time::Duration;
///
/// let at = |seconds: u64| Timestamp::from_micros(seconds * 1_000_000);
/// let mut clock = FreshnessClock::new(false);
/// clock.confirm(ObjectKind::Instances, at(5));
/// assert_eq!(clock.age(at(7)), None, "the configuration was never confirmed");
/// clock.confirm(ObjectKind::Configuration, at(6));
/// assert_eq!(clock.age(at(7)), Some(Duration::from_secs(2)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct FreshnessClock {
    /// The kinds that must be confirmed.
    kinds: &'static [ObjectKind],
    /// Confirmation times, indexed by [`ObjectKind`].
    confirmed_at: [Option<Timestamp>; ObjectKind::COUNT],
}

impl FreshnessClock {
    /// Creates a clock without confirmations.
    #[must_use]
    pub const fn new(reads_zones: bool) -> Self {
        Self {
            kinds: ObjectKind::read(reads_zones),
            confirmed_at: [None; ObjectKind::COUNT],
        }
    }

    /// Records that the state of a kind was up to date at a time. A time before the known one has
    /// no effect.
    pub fn confirm(&mut self, kind: ObjectKind, at: Timestamp) {
        let latest = &mut self.confirmed_at[kind as usize];
        *latest = Some(latest.map_or(at, |latest| latest.max(at)));
    }

    /// Records that all kinds were up to date at a time.
    pub fn confirm_all(&mut self, at: Timestamp) {
        for kind in self.kinds {
            self.confirm(*kind, at);
        }
    }

    /// Returns when a kind was last confirmed.
    #[must_use]
    pub const fn confirmed_at(&self, kind: ObjectKind) -> Option<Timestamp> {
        self.confirmed_at[kind as usize]
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
    /// outdated.
    pub const fn clear(&mut self) {
        self.confirmed_at = [None; ObjectKind::COUNT];
    }
}
