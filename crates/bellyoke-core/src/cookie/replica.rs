//! What one node knows: the configuration, the instances and the drained zones, each at a revision
//! of the store.
//!
//! News come from the store and from peers. The newer revision wins, whoever brings it; within
//! the life of a process nothing ever goes back.

use crate::cookie::delta::{ConfigurationDelta, DirectoryDelta, StateDelta};
use crate::cookie::directory::{Directory, FirstCreation, Tombstone};
use crate::cookie::instance::{InstanceEvent, InstanceId, InstanceRecord};
use crate::cookie::revision::Revision;
use crate::cookie::route::Configuration;
use crate::cookie::table::ForwardingTable;
use crate::cookie::zones::{DrainedZone, ZoneDrains, ZoneEvent, ZoneSnapshot};
use crate::time::Timestamp;
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Changes of the configuration that are kept for peers that missed one.
const MAXIMUM_RECENT_DELTAS: usize = 8;

/// Most routes of a change that is kept; larger ones don't fit a datagram anyway.
const MAXIMUM_DELTA_ROUTES: usize = 16;

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

/// The instances for a peer that knows less.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum DirectoryPart {
    /// All of them.
    Full(DirectorySnapshot),
    /// What has changed since the revision that the peer named.
    Changes(DirectoryDelta),
}

/// Everything that a node knows and a peer doesn't.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Snapshot {
    /// The sender's versions.
    pub versions: Versions,
    /// The configuration, if the peer's is older.
    pub configuration: Option<Configuration>,
    /// The present instances, if the peer's knowledge of them is older.
    pub directory: Option<DirectoryPart>,
    /// The gone instances.
    pub tombstones: Vec<Tombstone>,
    /// First creations of present instances that share an address with another one.
    pub creations: Vec<FirstCreation>,
    /// The drained zones.
    pub zones: Option<ZoneSnapshot>,
}

/// What nodes tell each other of their knowledge, to find out who knows more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Versions {
    /// The operators' number for the configuration; zero if there is none. It rises with each configuration, also across
    /// restorations of the store.
    pub configuration: u64,
    /// Revision up to which there is no newer configuration.
    pub configuration_as_of: Revision,
    /// Revision of the last change of the instances; zero if they are not known.
    pub directory_changed_at: Revision,
    /// Revision up to which all changes of the instances are known.
    pub directory_as_of: Revision,
    /// Revision of the last change of the drained zones; zero if they are not known.
    pub zones_changed_at: Revision,
    /// Revision up to which all changes of the drained zones are known.
    pub zones_as_of: Revision,
}

impl Versions {
    /// Whether the configuration, the instances or the drained zones are not known at all.
    #[must_use]
    pub fn is_empty(self) -> bool {
        self.configuration == 0
            || self.directory_changed_at == Revision::default()
            || self.zones_changed_at == Revision::default()
    }

    /// The latest revision of the store that they tell of.
    #[must_use]
    pub fn latest(self) -> Revision {
        let instances = self.directory_as_of.max(self.directory_changed_at);
        let zones = self.zones_as_of.max(self.zones_changed_at);
        self.configuration_as_of.max(instances).max(zones)
    }

    /// Whether whoever has told these versions lacks something that another one with `others` knows.
    #[must_use]
    pub fn lacks(self, others: Self) -> bool {
        self.configuration < others.configuration
            || self.directory_as_of < others.directory_changed_at
            || self.zones_as_of < others.zones_changed_at
    }
}

/// What changed in a node's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateChange {
    /// Another configuration is in force.
    pub configuration: bool,
    /// Instances came, went or changed.
    pub directory: bool,
    /// Zones were drained or restored.
    pub zones: bool,
}

impl StateChange {
    /// Whether anything changed.
    #[must_use]
    pub const fn any(self) -> bool {
        self.configuration || self.directory || self.zones
    }
}

/// The state of one node.
#[derive(Debug)]
pub struct Replica {
    configuration: Option<Configuration>,
    configuration_as_of: Revision,
    /// The last changes of the configuration, each of which applies to the result of the one
    /// before.
    recent_configurations: VecDeque<ConfigurationDelta>,
    directory: Directory,
    zones: ZoneDrains,
}

impl Replica {
    /// A node that knows nothing and remembers gone instances for `tombstone_lifetime`, of a cluster
    /// whose operators drain no zones.
    #[must_use]
    pub const fn new(tombstone_lifetime: Duration) -> Self {
        Self {
            configuration: None,
            configuration_as_of: Revision::new(0),
            recent_configurations: VecDeque::new(),
            directory: Directory::new(tombstone_lifetime),
            zones: ZoneDrains::none(),
        }
    }

    /// The same of a cluster whose operators may drain zones, so that it has to learn which.
    #[must_use]
    pub fn reading_zones(tombstone_lifetime: Duration) -> Self {
        Self {
            zones: ZoneDrains::unknown(),
            ..Self::new(tombstone_lifetime)
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

    /// The drained zones.
    #[must_use]
    pub const fn zones(&self) -> &ZoneDrains {
        &self.zones
    }

    /// How much this node knows.
    #[must_use]
    pub fn versions(&self) -> Versions {
        Versions {
            configuration: self.configuration_version(),
            configuration_as_of: self.configuration_as_of,
            directory_changed_at: self.directory.changed_at(),
            directory_as_of: self.directory.as_of().unwrap_or_default(),
            zones_changed_at: self.zones.changed_at(),
            zones_as_of: self.zones.as_of().unwrap_or_default(),
        }
    }

    /// Whether a peer with `versions` knows something that this node doesn't. Directory and zones are
    /// compared with the revision up to which this node has heard, so that a peer that counted
    /// a change otherwise is not taken for newer.
    #[must_use]
    pub fn is_behind(&self, versions: Versions) -> bool {
        let heard = self.directory.as_of().unwrap_or_default();
        versions.configuration > self.configuration_version()
            || versions.directory_changed_at > heard
            || versions.zones_changed_at > self.zones.as_of().unwrap_or_default()
    }

    /// Takes over a configuration if it is newer. Returns whether it was. The operators' number tells, since a restored store
    /// may give a later revision to an earlier configuration.
    pub fn adopt_configuration(&mut self, configuration: Configuration) -> bool {
        let current = self.configuration.as_ref();
        if current.is_some_and(|current| configuration.version <= current.version) {
            return false;
        }
        let delta =
            current.and_then(|current| ConfigurationDelta::between(current, &configuration));
        self.remember_configuration_delta(delta);
        self.configuration_as_of = configuration.revision.max(self.configuration_as_of);
        self.configuration = Some(configuration);
        true
    }

    /// The store's word that there is no newer configuration up to a revision.
    pub fn confirm_configuration(&mut self, as_of: Revision) {
        self.configuration_as_of = as_of.max(self.configuration_as_of);
    }

    /// A peer's word on how new its state is. A node that isn't behind it knows as much.
    pub fn confirm(&mut self, versions: Versions) {
        if versions.configuration <= self.configuration_version() {
            self.confirm_configuration(versions.configuration_as_of);
        }
        self.directory
            .confirm(versions.directory_changed_at, versions.directory_as_of);
        self.zones
            .confirm(versions.zones_changed_at, versions.zones_as_of);
    }

    /// What a peer with `versions` lacks; none if it lacks nothing, or more than a delta tells.
    #[must_use]
    pub fn delta_for(&self, now: Timestamp, versions: Versions) -> Option<StateDelta> {
        let delta = StateDelta {
            configuration: self.configuration_deltas_since(versions.configuration),
            directory: (self.directory.changed_at() > versions.directory_as_of)
                .then(|| self.directory.delta_since(now, versions.directory_as_of))
                .flatten(),
            zones: self.zones_for(now, versions),
        };
        (!delta.is_empty()).then_some(delta)
    }

    /// Takes over what of a peer's delta applies to this node's state.
    pub fn merge_delta(&mut self, now: Timestamp, delta: StateDelta) -> StateChange {
        let mut change = StateChange::default();
        for step in &delta.configuration {
            let next = self.configuration.as_ref();
            let next = next.and_then(|current| step.apply(current));
            if let Some(next) = next {
                change.configuration |= self.adopt_configuration(next);
            }
        }
        if let Some(delta) = delta.directory {
            change.directory = self.directory.apply_delta(now, delta);
        }
        if let Some(zones) = delta.zones {
            change.zones = self.zones.adopt(now, zones);
        }
        change
    }

    /// Takes over a whole list of drained zones. Returns whether it tells anything new.
    pub fn replace_zones(&mut self, now: Timestamp, at: Revision, zones: Vec<DrainedZone>) -> bool {
        self.zones.replace(now, at, zones)
    }

    /// Takes over changes of drained zones. Returns whether there were any.
    pub fn apply_zones(&mut self, now: Timestamp, at: Revision, events: Vec<ZoneEvent>) -> bool {
        self.zones.apply(now, at, events)
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
        match snapshot.directory {
            None => {}
            Some(DirectoryPart::Changes(delta)) => {
                change.directory = self.directory.apply_delta(now, delta);
            }
            Some(DirectoryPart::Full(whole)) => {
                let known = self.directory.as_of();
                if known.is_none_or(|known| whole.as_of > known) {
                    change.directory = self.directory.replace(now, whole.as_of, whole.records);
                }
            }
        }
        change.directory |= self.directory.merge_tombstones(now, snapshot.tombstones);
        change.directory |= self.directory.merge_creations(snapshot.creations);
        if let Some(zones) = snapshot.zones {
            change.zones = self.zones.adopt(now, zones);
        }
        self.confirm(snapshot.versions);
        change
    }

    /// Instances that have started again since the last call.
    pub fn take_restarted(&mut self) -> Vec<InstanceId> {
        self.directory.take_restarted()
    }

    /// Forgets what is too old to matter, and ends what was held only for a while.
    pub fn expire(&mut self, now: Timestamp) -> StateChange {
        StateChange {
            directory: self.directory.expire(now),
            zones: self.zones.expire(now),
            ..StateChange::default()
        }
    }

    /// All that this node knows.
    #[must_use]
    pub fn snapshot(&self, now: Timestamp) -> Snapshot {
        self.snapshot_for(now, Versions::default(), Revision::default())
    }

    /// All that this node knows and a peer with `versions` doesn't, and the instances that went after a revision.
    #[must_use]
    pub fn snapshot_for(
        &self,
        now: Timestamp,
        versions: Versions,
        gone_since: Revision,
    ) -> Snapshot {
        let current = self.configuration.as_ref();
        Snapshot {
            versions: self.versions(),
            configuration: current
                .filter(|current| current.version > versions.configuration)
                .cloned(),
            directory: self.directory_part(now, versions.directory_as_of),
            tombstones: self.directory.tombstones_since(now, gone_since),
            creations: self.directory.first_creations(),
            zones: self.zones_for(now, versions),
        }
    }

    /// The table for traffic threads.
    #[must_use]
    pub fn table(&self) -> ForwardingTable {
        ForwardingTable::new(self.configuration(), &self.directory, &self.zones)
    }

    fn configuration_version(&self) -> u64 {
        self.configuration
            .as_ref()
            .map_or(0, |current| current.version)
    }

    fn directory_part(&self, now: Timestamp, since: Revision) -> Option<DirectoryPart> {
        let as_of = self.directory.as_of()?;
        if since >= as_of {
            return None;
        }
        if let Some(delta) = self.directory.delta_since(now, since) {
            return Some(DirectoryPart::Changes(delta));
        }
        Some(DirectoryPart::Full(DirectorySnapshot {
            as_of,
            records: self.directory.records(now),
        }))
    }

    /// The drained zones for a peer with `versions`; none if it knows them.
    fn zones_for(&self, now: Timestamp, versions: Versions) -> Option<ZoneSnapshot> {
        let lacks = self.zones.changed_at() > versions.zones_as_of;
        lacks.then(|| self.zones.snapshot(now)).flatten()
    }

    /// The changes that lead from the configuration of a version to the one in force; none if
    /// one of them is not known any more.
    fn configuration_deltas_since(&self, since: u64) -> Vec<ConfigurationDelta> {
        let recent = self.recent_configurations.iter();
        let steps = recent.skip_while(|delta| delta.since != since);
        steps.cloned().collect()
    }

    fn remember_configuration_delta(&mut self, delta: Option<ConfigurationDelta>) {
        let Some(delta) = delta.filter(|delta| delta.put.len() <= MAXIMUM_DELTA_ROUTES) else {
            self.recent_configurations.clear();
            return;
        };
        if self.recent_configurations.len() >= MAXIMUM_RECENT_DELTAS {
            self.recent_configurations.pop_front();
        }
        self.recent_configurations.push_back(delta);
    }
}
