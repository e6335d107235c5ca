//! What one node knows: the configuration and the instances, each at a revision of the store.
//!
//! News come from the store and from peers. The newer revision wins, whoever brings it; within
//! the life of a process nothing ever goes back.

use crate::cookie::directory::{Directory, Tombstone};
use crate::cookie::instance::{InstanceEvent, InstanceRecord};
use crate::cookie::revision::Revision;
use crate::cookie::route::Configuration;
use crate::cookie::table::ForwardingTable;
use crate::time::Timestamp;
use rkyv::{Archive, Deserialize, Serialize};
use std::time::Duration;

/// Who brought a piece of news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// A peer.
    Peer,
}

impl Source {
    /// Its name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// The instances as a peer tells them.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct DirectorySnapshot {
    /// The revision up to which all changes are in it.
    pub as_of: Revision,
    /// All present instances.
    pub records: Vec<InstanceRecord>,
}

/// Everything that a node knows, for a peer that knows less.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration.
    pub configuration: Option<Configuration>,
    /// The present instances.
    pub directory: Option<DirectorySnapshot>,
    /// The gone instances.
    pub tombstones: Vec<Tombstone>,
}

/// What nodes tell each other of their knowledge, to find out who knows more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Versions {
    /// Revision of the configuration; zero if there is none.
    pub configuration: Revision,
    /// Revision of the last change of the instances; zero if they are not known.
    pub directory_changed_at: Revision,
}

impl Versions {
    /// Whether the configuration or the instances are not known at all.
    #[must_use]
    pub fn is_empty(self) -> bool {
        self.configuration == Revision::default()
            || self.directory_changed_at == Revision::default()
    }
}

/// What changed in a node's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateChange {
    /// Another configuration is in force.
    pub configuration: bool,
    /// Instances came, went or changed.
    pub directory: bool,
}

impl StateChange {
    /// Whether anything changed.
    #[must_use]
    pub const fn any(self) -> bool {
        self.configuration || self.directory
    }
}

/// The state of one node.
#[derive(Debug)]
pub struct Replica {
    configuration: Option<Configuration>,
    directory: Directory,
}

impl Replica {
    /// A node that knows nothing and remembers gone instances for `tombstone_lifetime`.
    #[must_use]
    pub const fn new(tombstone_lifetime: Duration) -> Self {
        Self {
            configuration: None,
            directory: Directory::new(tombstone_lifetime),
        }
    }

    /// The configuration in force.
    #[must_use]
    pub const fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// The instances.
    #[must_use]
    pub const fn directory(&self) -> &Directory {
        &self.directory
    }

    /// How much this node knows.
    #[must_use]
    pub fn versions(&self) -> Versions {
        Versions {
            configuration: self.configuration_revision(),
            directory_changed_at: self.directory.changed_at(),
        }
    }

    /// Whether a peer with `versions` knows something that this node doesn't. The directory is
    /// compared with the revision up to which this node has heard, so that a peer that counted
    /// a change otherwise is not taken for newer.
    #[must_use]
    pub fn is_behind(&self, versions: Versions) -> bool {
        let heard = self.directory.as_of().unwrap_or_default();
        versions.configuration > self.configuration_revision()
            || versions.directory_changed_at > heard
    }

    /// Takes over a configuration if it is newer. Returns whether it was.
    pub fn adopt_configuration(&mut self, configuration: Configuration) -> bool {
        let held = self.configuration.as_ref();
        if held.is_some_and(|held| configuration.revision <= held.revision) {
            return false;
        }
        self.configuration = Some(configuration);
        true
    }

    /// Takes over a whole list of instances. Returns whether anything changed.
    pub fn replace_instances(
        &mut self,
        now: Timestamp,
        at: Revision,
        records: Vec<InstanceRecord>,
    ) -> bool {
        self.directory.replace(now, at, records)
    }

    /// Takes over changes of instances. Returns whether anything changed.
    pub fn apply_instances(
        &mut self,
        now: Timestamp,
        at: Revision,
        events: Vec<InstanceEvent>,
    ) -> bool {
        self.directory.apply(now, at, events)
    }

    /// Takes over what is newer in a peer's snapshot.
    pub fn merge(&mut self, now: Timestamp, snapshot: Snapshot) -> StateChange {
        let mut change = StateChange::default();
        if let Some(configuration) = snapshot.configuration {
            change.configuration = self.adopt_configuration(configuration);
        }
        if let Some(directory) = snapshot.directory {
            let newer = self
                .directory
                .as_of()
                .is_none_or(|known| directory.as_of > known);
            if newer {
                change.directory = self
                    .directory
                    .replace(now, directory.as_of, directory.records);
            }
        }
        change.directory |= self.directory.learn_tombstones(now, snapshot.tombstones);
        change
    }

    /// Forgets what is too old to matter. Returns whether anything was.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        self.directory.expire(now)
    }

    /// All that this node knows.
    #[must_use]
    pub fn snapshot(&self, now: Timestamp) -> Snapshot {
        let directory = self.directory.as_of().map(|as_of| DirectorySnapshot {
            as_of,
            records: self.directory.records(now),
        });
        Snapshot {
            configuration: self.configuration.clone(),
            directory,
            tombstones: self.directory.tombstones(now),
        }
    }

    /// The table for traffic threads.
    #[must_use]
    pub fn table(&self) -> ForwardingTable {
        ForwardingTable::new(self.configuration(), &self.directory)
    }

    fn configuration_revision(&self) -> Revision {
        self.configuration
            .as_ref()
            .map_or_else(Revision::default, |held| held.revision)
    }
}
