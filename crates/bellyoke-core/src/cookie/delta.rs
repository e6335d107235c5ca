//! What changed between two revisions: short enough to be pushed to peers by datagram.
//!
//! A delta is exact: whoever knows all changes up to its first revision knows all up to its last
//! once it has applied it. Whoever knows less must leave it alone and fetch a snapshot; whoever
//! knows a part of it already may apply the rest, since records carry their revisions.

use crate::cookie::directory::Tombstone;
use crate::cookie::instance::InstanceRecord;
use crate::cookie::revision::Revision;
use crate::cookie::route::{Configuration, Route, ServiceLimits};
use crate::cookie::zones::ZoneSnapshot;
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// The changes of the instances after one revision, up to another.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct DirectoryDelta {
    /// The receiver must know all changes up to here.
    pub since: Revision,
    /// Afterwards it knows all up to here.
    pub as_of: Revision,
    /// Whoever knows a revision within one of these spans can't apply it.
    pub gaps: Vec<RevisionGap>,
    /// Records that are new or have changed.
    pub records: Vec<InstanceRecord>,
    /// Instances whose records have gone.
    pub tombstones: Vec<Tombstone>,
}

/// A span of revisions of which the store's history is lost: what came and went within it isn't known. Whoever knows all
/// up to its beginning knows all at its end by what a list shows there; whoever knows a revision within it may hold an
/// instance that no list names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RevisionGap {
    /// The last revision before it.
    pub from: Revision,
    /// The first revision after it.
    pub to: Revision,
}

impl RevisionGap {
    /// Whether a revision lies within the span.
    ///
    /// ```
    /// use bellyoke_core::cookie::delta::RevisionGap;
    /// use bellyoke_core::cookie::revision::Revision;
    ///
    /// let gap = RevisionGap { from: Revision::new(4), to: Revision::new(9) };
    /// assert!(gap.contains(Revision::new(5)));
    /// assert!(!gap.contains(Revision::new(4)) && !gap.contains(Revision::new(9)));
    /// ```
    #[must_use]
    pub fn contains(self, revision: Revision) -> bool {
        self.from < revision && revision < self.to
    }
}

/// The changes from one configuration to the next.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ConfigurationDelta {
    /// Version of the configuration that it applies to, and to no other.
    pub since: u64,
    /// Revision of the configuration that results.
    pub revision: Revision,
    /// The operators' number for it.
    pub version: u64,
    /// How long a flow may rest before it may be forgotten, milliseconds.
    pub idle_timeout_milliseconds: u32,
    /// Routes that are new or have changed.
    pub put: Vec<Route>,
    /// Addresses of routes that are no more.
    pub removed: Vec<SocketAddrV4>,
    /// The limits of all services, if any has changed.
    pub limits: Option<Vec<ServiceLimits>>,
}

impl ConfigurationDelta {
    /// The delta from `old` to `new`; none if two routes of either share an address, since
    /// routes are told apart by it.
    ///
    /// ```
    /// use bellyoke_core::cookie::delta::ConfigurationDelta;
    /// use bellyoke_core::cookie::revision::Revision;
    /// use bellyoke_core::cookie::route::Configuration;
    ///
    /// let old = Configuration {
    ///     revision: Revision::new(4),
    ///     version: 1,
    ///     routes: Vec::new(),
    ///     limits: Vec::new(),
    ///     idle_timeout_milliseconds: 15_000,
    /// };
    /// let new = Configuration { revision: Revision::new(9), version: 2, ..old.clone() };
    /// let delta = ConfigurationDelta::between(&old, &new).unwrap();
    /// assert_eq!(delta.apply(&old), Some(new));
    /// ```
    #[must_use]
    pub fn between(old: &Configuration, new: &Configuration) -> Option<Self> {
        let old_routes = routes_by_address(old)?;
        let new_routes = routes_by_address(new)?;
        let put = new_routes
            .iter()
            .filter(|(address, route)| old_routes.get(*address) != Some(*route));
        let removed = old_routes
            .keys()
            .filter(|address| !new_routes.contains_key(*address));
        Some(Self {
            since: old.version,
            revision: new.revision,
            version: new.version,
            idle_timeout_milliseconds: new.idle_timeout_milliseconds,
            put: put.map(|(_, route)| (*route).clone()).collect(),
            removed: removed.copied().collect(),
            limits: (old.limits != new.limits).then(|| new.limits.clone()),
        })
    }

    /// The configuration that results from `old`, its routes in the order of their addresses;
    /// none if the delta is not one of `old`.
    #[must_use]
    pub fn apply(&self, old: &Configuration) -> Option<Configuration> {
        if old.version != self.since {
            return None;
        }
        let mut routes = routes_by_address(old)?;
        for address in &self.removed {
            routes.remove(address);
        }
        for route in &self.put {
            routes.insert(route.address, route);
        }
        Some(Configuration {
            revision: self.revision,
            version: self.version,
            routes: routes.into_values().cloned().collect(),
            limits: self.limits.as_ref().unwrap_or(&old.limits).clone(),
            idle_timeout_milliseconds: self.idle_timeout_milliseconds,
        })
    }
}

/// The routes of a configuration; none if two share an address.
fn routes_by_address(configuration: &Configuration) -> Option<BTreeMap<SocketAddrV4, &Route>> {
    let routes: BTreeMap<_, _> = configuration
        .routes
        .iter()
        .map(|route| (route.address, route))
        .collect();
    (routes.len() == configuration.routes.len()).then_some(routes)
}

/// What a peer that knows a little less needs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct StateDelta {
    /// Changes of the configuration, the oldest first.
    pub configuration: Vec<ConfigurationDelta>,
    /// Changes of the instances.
    pub directory: Option<DirectoryDelta>,
    /// The drained zones, all of them.
    pub zones: Option<ZoneSnapshot>,
}

impl StateDelta {
    /// Whether it tells nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.configuration.is_empty() && self.directory.is_none() && self.zones.is_none()
    }
}
