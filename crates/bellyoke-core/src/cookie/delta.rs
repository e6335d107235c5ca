//! Changes between two revisions, small enough to be pushed to peers in a datagram.
//!
//! A delta is exact: a node that knows all changes up to its first revision knows all changes up to
//! its last one after applying it. A node that knows less must ignore the delta and fetch a
//! snapshot. A node that already knows a part of the changes can still apply it, since each record
//! carries its revision.

use crate::cookie::directory::Tombstone;
use crate::cookie::instance::InstanceRecord;
use crate::cookie::revision::Revision;
use crate::cookie::route::{Configuration, Route, ServiceLimits};
use crate::cookie::zones::ZoneSnapshot;
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// The changes of the instances after one revision, up to and including another.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct DirectoryDelta {
    /// The receiver must know all changes up to this revision.
    pub since: Revision,
    /// The revision up to which the receiver knows all changes after applying the delta.
    pub as_of: Revision,
    /// Revision gaps. A node whose known revision lies within one of them can't apply the delta.
    pub gaps: Vec<RevisionGap>,
    /// New or changed records.
    pub records: Vec<InstanceRecord>,
    /// Instances whose records were deleted.
    pub tombstones: Vec<Tombstone>,
}

/// A span of revisions for which the store's history is lost, so instances that were added and
/// removed within it are unknown. A node that knows everything up to the start of the gap is
/// complete at its end with the list read there. A node whose known revision lies within the gap
/// may have an instance that is in no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RevisionGap {
    /// The last revision before the gap.
    pub from: Revision,
    /// The first revision after the gap.
    pub to: Revision,
}

impl RevisionGap {
    /// Returns whether a revision lies within the gap, its ends excluded.
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
    /// Version of the only configuration that the delta applies to.
    pub since: u64,
    /// Revision of the resulting configuration.
    pub revision: Revision,
    /// Version of the resulting configuration, assigned by the operators.
    pub version: u64,
    /// Idle time after which a flow may be dropped, in milliseconds.
    pub idle_timeout_milliseconds: u32,
    /// New or changed routes.
    pub put: Vec<Route>,
    /// Addresses of removed routes.
    pub removed: Vec<SocketAddrV4>,
    /// The limits of all services, if any of them has changed.
    pub limits: Option<Vec<ServiceLimits>>,
}

impl ConfigurationDelta {
    /// Computes the delta from `old` to `new`. Returns `None` if two routes of either configuration
    /// share an address, since the address identifies a route.
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

    /// Returns the configuration that results from `old`, with its routes sorted by address.
    /// Returns `None` if the delta doesn't apply to `old`, or if two of its routes share an
    /// address.
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

/// Returns the routes of a configuration by address, or `None` if two of them share an address.
fn routes_by_address(configuration: &Configuration) -> Option<BTreeMap<SocketAddrV4, &Route>> {
    let routes: BTreeMap<_, _> = configuration
        .routes
        .iter()
        .map(|route| (route.address, route))
        .collect();
    (routes.len() == configuration.routes.len()).then_some(routes)
}

/// The changes that a slightly outdated peer needs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct StateDelta {
    /// Changes of the configuration, the oldest first.
    pub configuration: Vec<ConfigurationDelta>,
    /// Changes of the instances.
    pub directory: Option<DirectoryDelta>,
    /// The full set of drained zones, if it has changed.
    pub zones: Option<ZoneSnapshot>,
}

impl StateDelta {
    /// Returns whether the delta contains no changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.configuration.is_empty() && self.directory.is_none() && self.zones.is_none()
    }
}
