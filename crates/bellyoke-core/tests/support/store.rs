//! The platform's store, with conditional writes of the generation.

use bellyoke_core::generation::{Generation, Member, MemberObject};
use bellyoke_core::identity::GenerationNumber;
use std::sync::Arc;

/// Stores the newest generation and all earlier ones.
#[derive(Default)]
pub struct Store {
    /// All accepted generations, oldest first.
    pub history: Vec<Arc<Generation>>,
    /// Whether the store is unavailable for reads and writes.
    pub down: bool,
}

impl Store {
    /// Returns the newest generation.
    pub fn current(&self) -> Option<&Arc<Generation>> {
        self.history.last()
    }

    /// Writes `next` if its number follows the newest one. Returns whether it was written.
    pub fn write(&mut self, next: Generation) -> bool {
        let newest = self
            .current()
            .map_or(GenerationNumber(0), |generation| generation.number);
        if self.down || next.number.0 != newest.0 + 1 {
            return false;
        }
        self.history.push(Arc::new(next));
        true
    }

    /// Writes the generation that follows `base` and differs only in its members. Returns whether it
    /// was written.
    pub fn write_members(&mut self, base: GenerationNumber, members: &[MemberObject]) -> bool {
        let Some(current) = self.current().filter(|current| current.number == base) else {
            return false;
        };
        let mut next = Generation::clone(current);
        next.number = GenerationNumber(base.0 + 1);
        next.members = members.iter().map(member_from_object).collect();
        self.write(next)
    }
}

fn member_from_object(object: &MemberObject) -> Member {
    Member {
        node: object.node,
        zone: object.zone.clone(),
        peer_address: object.peer_address,
    }
}
