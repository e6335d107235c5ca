//! Positions in the store's history.

use rkyv::{Archive, Deserialize, Serialize};
use std::fmt;

/// How often the store has been restored from an older copy of itself. Zero for one that never was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(pub u16);

impl StoreEra {
    /// The era that a restoration of the store begins.
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

/// Bits of a revision that hold its number.
const NUMBER_BITS: u32 = 48;

/// Position in the store's history: the era, and the store's count of changes. It orders everything that nodes which
/// forward by cookie know: the larger is the newer, whoever told it.
///
/// A restored store counts on from its copy and gives numbers out again, so that a number alone doesn't tell which of two
/// states is the newer. Both are held in one word, since each instance and each heartbeat carry several.
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
    /// The largest number that the store may count to.
    pub const MAXIMUM_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

    /// A revision of a store that was never restored. A larger number than [`Self::MAXIMUM_NUMBER`] counts as that.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        if number > Self::MAXIMUM_NUMBER {
            Self(Self::MAXIMUM_NUMBER)
        } else {
            Self(number)
        }
    }

    /// A revision of an era; none if its number is larger than [`Self::MAXIMUM_NUMBER`].
    #[must_use]
    pub const fn in_era(era: StoreEra, number: u64) -> Option<Self> {
        if number > Self::MAXIMUM_NUMBER {
            return None;
        }
        Some(Self((era.0 as u64) << NUMBER_BITS | number))
    }

    /// The era of the store that gave it.
    #[must_use]
    pub const fn era(self) -> StoreEra {
        StoreEra((self.0 >> NUMBER_BITS) as u16)
    }

    /// The store's number for it, which may stand for another state in another era.
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
