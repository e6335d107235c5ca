//! Position in the store's one sequence of changes.

use rkyv::{Archive, Deserialize, Serialize};
use std::fmt;

/// The store's counter of changes. It orders everything that nodes know: the larger is the
/// newer, whoever told it.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Archive,
    Serialize,
    Deserialize,
)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}
