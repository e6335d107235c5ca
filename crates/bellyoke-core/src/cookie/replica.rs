//! The state of one node: the configuration, the instances and the drained zones, each as of a
//! revision of the store.
//!
//! Updates come from the store and from peers. The newer revision wins regardless of its source,
//! and the state never goes back to an older one within the lifetime of a process.

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

/// Maximum number of configuration deltas kept for peers that have missed some.
const MAXIMUM_RECENT_DELTAS: usize = 8;

/// Maximum number of new or changed routes in a configuration delta that is kept. Larger deltas
/// don't fit a datagram.
const MAXIMUM_DELTA_ROUTES: usize = 16;

/// Where an update came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// A peer.
    Peer,
}

impl Source {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// All instances, as sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct DirectorySnapshot {
    /// Revision up to which all changes are included.
    pub as_of: Revision,
    /// All present instances.
    pub records: Vec<InstanceRecord>,
}

/// The instances for an outdated peer.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum DirectoryPart {
    /// All of them.
    Full(DirectorySnapshot),
    /// Changes after the revision that the peer requested.
    Changes(DirectoryDelta),
}

/// All state that a node has and a peer lacks.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Snapshot {
    /// The sender's versions.
    pub versions: Versions,
    /// The configuration, if the peer's is older.
    pub configuration: Option<Configuration>,
    /// The present instances, if the peer's directory is older.
    pub directory: Option<DirectoryPart>,
    /// The removed instances.
    pub tombstones: Vec<Tombstone>,
    /// First creations of present instances that share an address with another one.
    pub creations: Vec<FirstCreation>,
    /// The drained zones, if the peer's set is older.
    pub zones: Option<ZoneSnapshot>,
}

/// Versions of a node's state. Nodes exchange them to find out which one is outdated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Versions {
    /// Version of the configuration, assigned by the operators; zero if there is none. It increases
    /// with each configuration, also across restorations of the store.
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
    /// Returns whether the configuration, the instances or the drained zones are unknown.
    #[must_use]
    pub fn is_empty(self) -> bool {
        self.configuration == 0
            || self.directory_changed_at == Revision::default()
            || self.zones_changed_at == Revision::default()
    }

    /// Returns the latest revision of the store in these versions.
    #[must_use]
    pub fn latest(self) -> Revision {
        let instances = self.directory_as_of.max(self.directory_changed_at);
        let zones = self.zones_as_of.max(self.zones_changed_at);
        self.configuration_as_of.max(instances).max(zones)
    }

    /// Returns whether a node with these versions lacks state that a node with `others` has.
    #[must_use]
    pub fn lacks(self, others: Self) -> bool {
        self.configuration < others.configuration
            || self.directory_as_of < others.directory_changed_at
            || self.zones_as_of < others.zones_changed_at
    }
}

/// The changes in a node's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateChange {
    /// The configuration was replaced.
    pub configuration: bool,
    /// Instances were added, removed or changed.
    pub directory: bool,
    /// Zones were drained or undrained.
    pub zones: bool,
}

impl StateChange {
    /// Returns whether anything changed.
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
    /// The most recent configuration deltas. Each applies to the result of the previous one.
    recent_configurations: VecDeque<ConfigurationDelta>,
    directory: Directory,
    zones: ZoneDrains,
}

impl Replica {
    /// Creates an empty state that keeps tombstones for `tombstone_lifetime`, for a cluster whose
    /// operators drain no zones.
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

    /// Creates an empty state for a cluster whose operators may drain zones. The node has to learn
    /// first which zones are drained.
    #[must_use]
    pub fn reading_zones(tombstone_lifetime: Duration) -> Self {
        Self {
            zones: ZoneDrains::unknown(),
            ..Self::new(tombstone_lifetime)
        }
    }

    /// Returns the current configuration.
    #[must_use]
    pub const fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Returns the directory of instances.
    #[must_use]
    pub const fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the drained zones.
    #[must_use]
    pub const fn zones(&self) -> &ZoneDrains {
        &self.zones
    }

    /// Returns the versions of this node's state.
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

    /// Returns whether a peer with `versions` has state that this node lacks. The peer's changes of
    /// directory and zones are compared with the revisions up to which this node knows all changes,
    /// because peers may have recorded the same change at different revisions.
    #[must_use]
    pub fn is_behind(&self, versions: Versions) -> bool {
        let directory_as_of = self.directory.as_of().unwrap_or_default();
        versions.configuration > self.configuration_version()
            || versions.directory_changed_at > directory_as_of
            || versions.zones_changed_at > self.zones.as_of().unwrap_or_default()
    }

    /// Adopts a configuration if it is newer. Returns whether it was. The operators' version
    /// decides, since a restored store may assign a later revision to an earlier configuration.
    pub fn adopt_configuration(&mut self, configuration: Configuration) -> bool {
        let current = self.configuration.as_ref();
        if current.is_some_and(|current| configuration.version <= current.version) {
            return false;
        }
        let delta =
            current.and_then(|current| ConfigurationDelta::between(current, &configuration));
        self.store_configuration_delta(delta);
        self.directory
            .set_named_services(configuration.service_names());
        self.configuration_as_of = configuration.revision.max(self.configuration_as_of);
        self.configuration = Some(configuration);
        true
    }

    /// Records that there is no newer configuration up to a revision.
    pub fn confirm_configuration(&mut self, as_of: Revision) {
        self.configuration_as_of = as_of.max(self.configuration_as_of);
    }

    /// Records a peer's confirmation of its versions. It applies to the parts in which this node
    /// isn't behind the peer.
    pub fn confirm(&mut self, versions: Versions) {
        if versions.configuration <= self.configuration_version() {
            self.confirm_configuration(versions.configuration_as_of);
        }
        self.directory
            .confirm(versions.directory_changed_at, versions.directory_as_of);
        self.zones
            .confirm(versions.zones_changed_at, versions.zones_as_of);
    }

    /// Returns the delta for a peer with `versions`, or `None` if the peer lacks nothing or needs a
    /// snapshot.
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

    /// Applies those parts of a peer's delta that are applicable.
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

    /// Replaces the drained zones with a full list. Returns whether the list is newer than the
    /// known state.
    pub fn replace_zones(&mut self, now: Timestamp, at: Revision, zones: Vec<DrainedZone>) -> bool {
        self.zones.replace(now, at, zones)
    }

    /// Applies changes of drained zones. Returns whether there were any.
    pub fn apply_zones(&mut self, now: Timestamp, at: Revision, events: Vec<ZoneEvent>) -> bool {
        self.zones.apply(now, at, events)
    }

    /// Sets until when the known instances were the newest ones, for deletions in the following
    /// updates.
    pub(crate) const fn set_newest_until(&mut self, newest_until: Option<Timestamp>) {
        self.directory.set_newest_until(newest_until);
    }

    /// Sets whether known records may have revisions of another history of the store than they are
    /// from.
    pub(crate) const fn set_may_mix_histories(&mut self, may_mix: bool) {
        self.directory.set_may_mix_histories(may_mix);
    }

    /// Replaces the instances with a full list. Returns whether anything changed.
    pub fn replace_instances(
        &mut self,
        now: Timestamp,
        at: Revision,
        records: Vec<InstanceRecord>,
    ) -> bool {
        self.directory.replace(now, at, records)
    }

    /// Applies changes of instances. Returns whether anything changed.
    pub fn apply_instances(
        &mut self,
        now: Timestamp,
        at: Revision,
        events: Vec<InstanceEvent>,
    ) -> bool {
        self.directory.apply(now, at, events)
    }

    /// Returns whether a peer's snapshot can't be part of the history that this state is from.
    #[must_use]
    pub fn is_contradicted_by(&self, snapshot: &Snapshot) -> bool {
        let Some(DirectoryPart::Full(full)) = &snapshot.directory else {
            return false;
        };
        let mut records = full.records.iter();
        records.any(|record| self.directory.contradicts(record, full.as_of))
    }

    /// Merges the newer parts of a peer's snapshot.
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
            Some(DirectoryPart::Full(full)) => {
                let known = self.directory.as_of();
                if known.is_none_or(|known| full.as_of > known) {
                    change.directory = self.directory.replace(now, full.as_of, full.records);
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

    /// Returns the instances that have restarted since the last call.
    pub fn take_restarted(&mut self) -> Vec<InstanceId> {
        self.directory.take_restarted()
    }

    /// Drops outdated records and ends temporary states whose time is over. Returns the changes.
    pub fn expire(&mut self, now: Timestamp) -> StateChange {
        StateChange {
            directory: self.directory.expire(now),
            zones: self.zones.expire(now),
            ..StateChange::default()
        }
    }

    /// Returns the full state of this node.
    #[must_use]
    pub fn snapshot(&self, now: Timestamp) -> Snapshot {
        self.snapshot_for(now, Versions::default(), Revision::default())
    }

    /// Returns all state that a peer with `versions` lacks, and the tombstones of instances removed
    /// after a revision.
    #[must_use]
    pub fn snapshot_for(
        &self,
        now: Timestamp,
        versions: Versions,
        removed_since: Revision,
    ) -> Snapshot {
        let current = self.configuration.as_ref();
        Snapshot {
            versions: self.versions(),
            configuration: current
                .filter(|current| current.version > versions.configuration)
                .cloned(),
            directory: self.directory_part(now, versions.directory_as_of),
            tombstones: self.directory.tombstones_since(now, removed_since),
            creations: self.directory.first_creations(),
            zones: self.zones_for(now, versions),
        }
    }

    /// Builds the forwarding table for traffic threads.
    #[must_use]
    pub fn table(&self) -> ForwardingTable {
        ForwardingTable::new(self.configuration(), &self.directory, &self.zones)
    }

    /// Returns the version of the configuration, or zero if there is none.
    fn configuration_version(&self) -> u64 {
        self.configuration
            .as_ref()
            .map_or(0, |current| current.version)
    }

    /// Returns the instances for a peer that knows all changes up to `since`, or `None` if it lacks
    /// nothing.
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

    /// Returns the drained zones for a peer with `versions`, or `None` if it has them.
    fn zones_for(&self, now: Timestamp, versions: Versions) -> Option<ZoneSnapshot> {
        let lacks = self.zones.changed_at() > versions.zones_as_of;
        lacks.then(|| self.zones.snapshot(now)).flatten()
    }

    /// Returns the deltas from the configuration of a version to the current one, or an empty list
    /// if one of them is no longer kept.
    fn configuration_deltas_since(&self, since: u64) -> Vec<ConfigurationDelta> {
        let recent = self.recent_configurations.iter();
        let steps = recent.skip_while(|delta| delta.since != since);
        steps.cloned().collect()
    }

    /// Stores a configuration delta for peers. A delta that is missing or too large discards all
    /// earlier ones.
    fn store_configuration_delta(&mut self, delta: Option<ConfigurationDelta>) {
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
