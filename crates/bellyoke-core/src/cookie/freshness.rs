//! How long ago the state that a node holds was known to be the newest.
//!
//! A node that rests, because others read the store for it, must notice when they no longer do:
//! every confirmation that it hears of carries its age, and one that is too old sends the node to
//! the store itself.

use crate::time::Timestamp;
use std::time::Duration;

/// A kind of object in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectKind {
    /// The instances.
    Instances,
    /// The configuration.
    Configuration,
    /// The zones that operators have drained.
    Zones,
}

impl ObjectKind {
    /// All kinds.
    pub const ALL: [Self; Self::COUNT] = [Self::Instances, Self::Configuration, Self::Zones];

    /// How many there are.
    pub const COUNT: usize = 3;

    /// The kinds that a node reads: drained zones only where operators drain any.
    #[must_use]
    pub const fn read(reads_zones: bool) -> &'static [Self] {
        const WITHOUT_ZONES: [ObjectKind; 2] = [ObjectKind::Instances, ObjectKind::Configuration];
        if reads_zones {
            &Self::ALL
        } else {
            &WITHOUT_ZONES
        }
    }

    /// Its name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Instances => "instances",
            Self::Configuration => "configuration",
            Self::Zones => "zones",
        }
    }
}

/// When each kind was last confirmed by the store, directly or through peers.
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
    /// The kinds that count.
    kinds: &'static [ObjectKind],
    /// By [`ObjectKind`].
    confirmed_at: [Option<Timestamp>; ObjectKind::COUNT],
}

impl FreshnessClock {
    /// Nothing was confirmed yet.
    #[must_use]
    pub const fn new(reads_zones: bool) -> Self {
        Self {
            kinds: ObjectKind::read(reads_zones),
            confirmed_at: [None; ObjectKind::COUNT],
        }
    }

    /// The state of a kind was the newest at a time. An earlier time than is known changes
    /// nothing.
    pub fn confirm(&mut self, kind: ObjectKind, at: Timestamp) {
        let held = &mut self.confirmed_at[kind as usize];
        *held = Some(held.map_or(at, |held| held.max(at)));
    }

    /// All kinds were the newest at a time.
    pub fn confirm_all(&mut self, at: Timestamp) {
        for kind in self.kinds {
            self.confirm(*kind, at);
        }
    }

    /// When a kind was last confirmed.
    #[must_use]
    pub const fn confirmed_at(&self, kind: ObjectKind) -> Option<Timestamp> {
        self.confirmed_at[kind as usize]
    }

    /// How long ago the kind that was confirmed first was confirmed; none if one never was.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        let mut oldest = now;
        for kind in self.kinds {
            oldest = oldest.min(self.confirmed_at(*kind)?);
        }
        Some(now.since(oldest))
    }

    /// Forgets all confirmations, as after a stall: what peers said meanwhile is old.
    pub const fn clear(&mut self) {
        self.confirmed_at = [None; ObjectKind::COUNT];
    }
}
