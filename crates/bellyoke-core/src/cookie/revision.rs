//! Position in the store's one sequence of changes.

pub use crate::identity::Revision;
use std::fmt;

/// How often the store has been restored from an older copy of itself. Zero for a store that doesn't tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(pub u16);

impl fmt::Display for StoreEra {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}
