//! What a list-and-watch reader knows and does next, without IO.
//!
//! The `kube` runtime's watcher hides the resource version of a list, and by that whether the
//! list is older than what was seen before. Here a state never goes back: an older list and
//! older events are ignored.

use std::collections::BTreeMap;

/// What the reader asks the store for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// All objects.
    List,
    /// Changes after a version.
    Watch {
        /// The version.
        after: u64,
    },
}

/// What became of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListVerdict {
    /// It is the state now.
    Taken,
    /// It is older than the state, which stays.
    Stale {
        /// Version of the state.
        known: u64,
    },
}

/// Objects of one kind as of one version, by name.
#[derive(Clone, Debug)]
pub struct ListWatch<T> {
    revision: Option<u64>,
    objects: BTreeMap<String, T>,
    list_needed: bool,
}

impl<T> Default for ListWatch<T> {
    fn default() -> Self {
        Self {
            revision: None,
            objects: BTreeMap::new(),
            list_needed: true,
        }
    }
}

impl<T> ListWatch<T> {
    /// What to ask for next.
    #[must_use]
    pub fn next_action(&self) -> Action {
        match self.revision {
            Some(after) if !self.list_needed => Action::Watch { after },
            _ => Action::List,
        }
    }

    /// Takes a whole list of version `revision`, unless it is older than the state.
    pub fn listed(&mut self, revision: u64, objects: Vec<(String, T)>) -> ListVerdict {
        if let Some(known) = self.revision.filter(|known| revision < *known) {
            return ListVerdict::Stale { known };
        }
        self.revision = Some(revision);
        self.objects = objects.into_iter().collect();
        self.list_needed = false;
        ListVerdict::Taken
    }

    /// Takes an object that was created or changed at `revision`. False if that is old.
    pub fn applied(&mut self, revision: u64, name: String, object: T) -> bool {
        let newer = self.advance(revision);
        if newer {
            self.objects.insert(name, object);
        }
        newer
    }

    /// Takes notice that an object was deleted at `revision`. False if that is old.
    pub fn deleted(&mut self, revision: u64, name: &str) -> bool {
        let newer = self.advance(revision);
        if newer {
            self.objects.remove(name);
        }
        newer
    }

    /// Takes notice that nothing else changed up to `revision`. False if that is old.
    pub fn bookmarked(&mut self, revision: u64) -> bool {
        self.advance(revision)
    }

    /// The store doesn't hold the changes after the state's version any more.
    pub const fn expired(&mut self) {
        self.list_needed = true;
    }

    /// Version of the state; none before the first list.
    #[must_use]
    pub const fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// The objects, by name.
    pub fn objects(&self) -> impl Iterator<Item = &T> {
        self.objects.values()
    }

    /// Events of one watch come in order, so an older one repeats what is known.
    fn advance(&mut self, revision: u64) -> bool {
        let newer = self.revision.is_some_and(|known| revision > known);
        if newer {
            self.revision = Some(revision);
        }
        newer
    }
}
