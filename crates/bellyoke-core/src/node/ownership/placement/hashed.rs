//! Placement by lookup table.

use super::{BackendSelection, Candidate};
use crate::identity::BackendId;

/// Selects the bucket's target regardless of its load.
#[derive(Clone, Copy, Debug)]
pub struct Hashed {
    /// The target of the flow's bucket.
    pub target: Option<BackendId>,
}

impl BackendSelection for Hashed {
    fn select(&mut self, candidates: &[Candidate]) -> Option<BackendId> {
        let target = self.target?;
        let is_candidate = candidates
            .iter()
            .any(|candidate| candidate.backend == target);
        is_candidate.then_some(target)
    }
}
