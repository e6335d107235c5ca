//! Revisions of the store.

use rkyv::{Archive, Deserialize, Serialize};
use std::fmt;

/// Number of times that the store was restored from an older copy of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(pub u16);

impl StoreEra {
    /// Returns the era after the next restoration of the store.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Number of bits of a revision that contain its number; the higher bits contain the era.
const NUMBER_BITS: u32 = 48;

/// A position in the store's history: the era and the store's change number. Revisions order all
/// state of nodes that forward by cookie: the larger revision is the newer one, whether it comes
/// from the store or a peer.
///
/// A restored store continues from the number of its copy and assigns numbers again, so the number
/// alone doesn't show which of two states is newer. Era and number are packed into one word because
/// each instance and each heartbeat carries several revisions.
///
/// ```
/// use bellyoke_core::cookie::revision::{Revision, StoreEra};
///
/// let lost = Revision::new(26);
/// let restored = Revision::in_era(StoreEra(1), 24).unwrap();
/// assert!(restored > lost);
/// assert_eq!((restored.era(), restored.number()), (StoreEra(1), 24));
/// assert_eq!(restored.to_string(), "1/24");
/// ```
#[derive(
    Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize,
)]
#[rkyv(derive(Debug, PartialEq, Eq, PartialOrd, Ord, Hash))]
pub struct Revision(u64);

impl Revision {
    /// The largest supported change number.
    pub const MAXIMUM_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

    /// Creates a revision of a store that was never restored. Numbers above
    /// [`Self::MAXIMUM_NUMBER`] saturate.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        if number > Self::MAXIMUM_NUMBER {
            Self(Self::MAXIMUM_NUMBER)
        } else {
            Self(number)
        }
    }

    /// Creates a revision of an era. Returns `None` if the number is larger than
    /// [`Self::MAXIMUM_NUMBER`].
    #[must_use]
    pub const fn in_era(era: StoreEra, number: u64) -> Option<Self> {
        if number > Self::MAXIMUM_NUMBER {
            return None;
        }
        Some(Self((era.0 as u64) << NUMBER_BITS | number))
    }

    /// Returns the era in which the store assigned the revision.
    #[must_use]
    pub const fn era(self) -> StoreEra {
        StoreEra((self.0 >> NUMBER_BITS) as u16)
    }

    /// Returns the change number. The same number may identify a different state in another era.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0 & Self::MAXIMUM_NUMBER
    }
}

impl fmt::Debug for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Revision({self})")
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era() == StoreEra::default() {
            write!(formatter, "{}", self.number())
        } else {
            write!(formatter, "{}/{}", self.era(), self.number())
        }
    }
}
