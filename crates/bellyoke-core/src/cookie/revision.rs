//! Position in the store's one sequence of changes.

pub use crate::identity::Revision;
