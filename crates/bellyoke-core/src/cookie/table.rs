//! The immutable table that traffic threads forward by.

use crate::cookie::directory::{Directory, KnownInstance};
use crate::cookie::instance::{Cookie, InstanceId, InstanceState};
use crate::cookie::packet::Destination;
use crate::cookie::revision::Revision;
use crate::cookie::route::{Configuration, RequestPolicy, Route, ServiceLimits};
use crate::cookie::zones::ZoneDrains;
use crate::time::Timestamp;
use hashbrown::{HashMap, HashSet};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

/// An instance that may take new flows of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Id of the instance.
    pub id: InstanceId,
    /// Cookie that names the instance.
    pub cookie: Cookie,
    /// Address that packets for it are sent to.
    pub address: SocketAddrV4,
    /// When its slow start ends.
    pub warm_at: Timestamp,
    /// When this node learned that its record was deleted, if it was.
    pub removed_at: Option<Timestamp>,
    /// Until when the record is known to have existed, if it was deleted.
    pub present_until: Timestamp,
    /// Flows that it can take in a minute while it is cold; zero if unknown.
    pub cold_flows_per_minute: u32,
    /// Requests that it processes concurrently; zero if unknown.
    pub slots: u32,
    /// Its zone.
    pub zone: ZoneNumber,
}

impl Candidate {
    /// Returns the destination of packets for this instance.
    #[must_use]
    pub const fn destination(&self) -> Destination {
        Destination {
            instance: self.id,
            address: self.address,
            cookie: self.cookie,
        }
    }
}

/// Number of a service within one table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceNumber(pub u32);

/// Number of a zone within one table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneNumber(pub u16);

/// A service of a route, with its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteService {
    /// Weight among the route's services.
    pub weight: u32,
    /// The service.
    pub service: ServiceNumber,
}

/// Services that get the new flows to an address, and the policy for their requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableRoute {
    /// Services and their weights.
    pub services: Vec<RouteService>,
    /// Policy for the requests.
    pub request_policy: RequestPolicy,
}

/// The forwarding state of a node's traffic threads: one version of the routes and of the
/// instances.
#[derive(Debug, Default)]
pub struct ForwardingTable {
    /// Sorted by address.
    routes: Vec<(SocketAddrV4, TableRoute)>,
    /// Candidates by service number.
    candidates: Vec<Vec<Candidate>>,
    /// Sorted by cookie.
    destinations: Vec<(Cookie, Destination)>,
    /// Names of the services that routes name, by service number.
    services: Vec<String>,
    /// Names of the zones that instances are in, by zone number.
    zones: Vec<String>,
    /// Services and zones of the instances whose services routes name, sorted by cookie.
    service_of: Vec<(Cookie, ServiceNumber, ZoneNumber)>,
    /// Instances whose records were deleted and whose addresses have successors, with the cookies of
    /// these, sorted by cookie.
    superseded: Vec<(Cookie, Cookie)>,
    /// Instances that have restarted, with the start of the current run, sorted by cookie.
    restarted: Vec<(Cookie, u64)>,
    configuration_version: u64,
    /// Whether lists of instances and of drained zones were received, even if they are empty.
    has_lists: bool,
    configuration_revision: Revision,
    directory_revision: Revision,
}

impl ForwardingTable {
    /// Creates the table for a configuration, the instances and the drained zones that are known at
    /// the same time.
    #[must_use]
    pub fn new(
        configuration: Option<&Configuration>,
        directory: &Directory,
        zones: &ZoneDrains,
    ) -> Self {
        let destinations = destinations(directory);
        let successors = directory.superseded();
        let with_reused_address = directory.with_reused_address();
        let superseded = destinations
            .iter()
            .filter_map(|(cookie, destination)| {
                let successor = successors.get(&destination.instance)?;
                Some((*cookie, Cookie::of(*successor)))
            })
            .collect();
        let mut services = ServiceIndexes::default();
        let limits = configuration.map_or(&[][..], |configuration| &configuration.limits[..]);
        services.limits = limits
            .iter()
            .map(|limits| (&limits.service[..], limits))
            .collect();
        let routes = configuration.map_or(&[][..], |configuration| &configuration.routes[..]);
        let mut routes: Vec<_> = routes.iter().map(|route| services.resolve(route)).collect();
        routes.sort_unstable_by_key(|(address, _)| *address);
        routes.dedup_by_key(|(address, _)| *address);
        let zone_names = zone_names(directory);
        let candidates = services.candidates(
            directory,
            zones,
            &zone_names,
            &destinations,
            with_reused_address,
        );
        Self {
            routes,
            candidates,
            service_of: services.of_instances(directory, &zone_names),
            services: services.names(),
            zones: zone_names,
            destinations,
            superseded,
            restarted: restarted(directory),
            configuration_version: configuration.map_or(0, |configuration| configuration.version),
            has_lists: directory.as_of().is_some() && zones.as_of().is_some(),
            configuration_revision: configuration
                .map_or_else(Revision::default, |configuration| configuration.revision),
            directory_revision: directory.changed_at(),
        }
    }

    /// Returns the route of an address; `None` without such a route.
    #[must_use]
    pub fn route(&self, address: SocketAddrV4) -> Option<&TableRoute> {
        let found = self
            .routes
            .binary_search_by_key(&address, |(address, _)| *address);
        found.ok().map(|index| &self.routes[index].1)
    }

    /// Returns the instances that may take new flows of a service.
    #[must_use]
    pub fn candidates(&self, service: &RouteService) -> &[Candidate] {
        usize::try_from(service.service.0).map_or(&[], |number| &self.candidates[number])
    }

    /// Returns the instances that may take new flows, service by service.
    pub fn candidates_by_service(&self) -> impl Iterator<Item = &[Candidate]> {
        self.candidates.iter().map(Vec::as_slice)
    }

    /// Returns the service of an instance; `None` if no route names the service, or the instance is
    /// unknown.
    #[must_use]
    pub fn service_of(&self, cookie: Cookie) -> Option<ServiceNumber> {
        self.location_of(cookie).map(|(service, _)| service)
    }

    /// Returns the service and the zone of an instance; `None` if no route names the service, or
    /// the instance is unknown.
    #[must_use]
    pub fn location_of(&self, cookie: Cookie) -> Option<(ServiceNumber, ZoneNumber)> {
        let found = self
            .service_of
            .binary_search_by_key(&cookie, |(cookie, ..)| *cookie);
        let (_, service, zone) = self.service_of[found.ok()?];
        Some((service, zone))
    }

    /// Returns the names of the services that routes name, by number.
    #[must_use]
    pub fn services(&self) -> &[String] {
        &self.services
    }

    /// Returns the names of the zones that instances are in, by number.
    #[must_use]
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// Returns the destination of packets with this cookie; `None` if there is no such instance.
    #[must_use]
    pub fn destination(&self, cookie: Cookie) -> Option<&Destination> {
        let found = self
            .destinations
            .binary_search_by_key(&cookie, |(cookie, _)| *cookie);
        found.ok().map(|index| &self.destinations[index].1)
    }

    /// Returns the successor at the address of the instance with this cookie, whose record was
    /// deleted; `None` if there is none.
    #[must_use]
    pub fn successor_of(&self, cookie: Cookie) -> Option<Cookie> {
        let found = self
            .superseded
            .binary_search_by_key(&cookie, |(cookie, _)| *cookie);
        found.ok().map(|index| self.superseded[index].1)
    }

    /// Returns the cookies of instances whose records were deleted and whose addresses have
    /// successors, with the cookies of these, ascending.
    #[must_use]
    pub fn superseded(&self) -> &[(Cookie, Cookie)] {
        &self.superseded
    }

    /// Returns instances that have restarted, with the start of the current run, ascending.
    #[must_use]
    pub fn restarted(&self) -> &[(Cookie, u64)] {
        &self.restarted
    }

    /// Returns the cookies of all known instances, ascending.
    pub fn cookies(&self) -> impl Iterator<Item = Cookie> {
        self.destinations.iter().map(|(cookie, _)| *cookie)
    }

    /// Returns whether routes, instances and drained zones were received. Until then no flow may be
    /// refused.
    #[must_use]
    pub const fn is_initialized(&self) -> bool {
        self.configuration_version != 0 && self.has_lists
    }

    /// Returns the version number that operators gave to the configuration.
    #[must_use]
    pub const fn configuration_version(&self) -> u64 {
        self.configuration_version
    }

    /// Returns the revision at which the configuration was stored.
    #[must_use]
    pub const fn configuration_revision(&self) -> Revision {
        self.configuration_revision
    }

    /// Returns the revision at which the instances last changed.
    #[must_use]
    pub const fn directory_revision(&self) -> Revision {
        self.directory_revision
    }
}

/// Returns the destination of each cookie. If several instances share a cookie, the first created
/// of those whose service the configuration names keeps it, since its flows are older; all nodes
/// agree on the order of creation. The others get no flow until the record of the first is dropped.
fn destinations(directory: &Directory) -> Vec<(Cookie, Destination)> {
    let mut known: Vec<&KnownInstance> = directory.instances().collect();
    known.sort_unstable_by_key(|known| {
        let record = &known.record;
        let unnamed = !directory.names_service_of(record);
        let unknown = record.created.is_none();
        let cookie = Cookie::of(record.id);
        (cookie, unnamed, unknown, record.created, record.id)
    });
    known.dedup_by_key(|known| Cookie::of(known.record.id));
    let entries = known.into_iter().map(|known| {
        let cookie = Cookie::of(known.record.id);
        let destination = Destination {
            instance: known.record.id,
            address: known.record.address,
            cookie,
        };
        (cookie, destination)
    });
    entries.collect()
}

/// Returns instances that have restarted, with the start of the current run.
fn restarted(directory: &Directory) -> Vec<(Cookie, u64)> {
    let restarted = directory.instances().filter(|known| known.restarted);
    let restarted = restarted.filter_map(|known| {
        let started = known.record.started?;
        Some((Cookie::of(known.record.id), started))
    });
    let mut restarted: Vec<_> = restarted.collect();
    restarted.sort_unstable();
    restarted
}

/// Returns when an instance's slow start ends. An instance whose zone was undrained after its
/// record last changed may be cold although its record doesn't say so.
fn warm_at(known: &KnownInstance, zones: &ZoneDrains, limits: Option<&ServiceLimits>) -> Timestamp {
    let undrain = zones.last_undrain(&known.record.zone);
    let undrain = undrain.filter(|undrain| undrain.revision >= known.record.revision);
    let Some((undrain, limits)) = undrain.zip(limits) else {
        return known.warm_at;
    };
    let cold = Duration::from_millis(u64::from(limits.cold_milliseconds));
    known.warm_at.max(undrain.at.after(cold))
}

/// Returns the sorted names of all zones that have instances of named services.
fn zone_names(directory: &Directory) -> Vec<String> {
    let records = directory.instances().map(|known| &known.record);
    let records = records.filter(|record| directory.names_service_of(record));
    let zones: HashSet<&String> = records.map(|record| &record.zone).collect();
    let mut names: Vec<String> = zones.into_iter().cloned().collect();
    names.sort_unstable();
    names
}

fn zone_number(names: &[String], zone: &str) -> ZoneNumber {
    let number = names.binary_search_by(|name| name.as_str().cmp(zone));
    ZoneNumber(u16::try_from(number.unwrap_or_default()).unwrap_or(u16::MAX))
}

/// Numbers the services that routes name, in order of appearance.
#[derive(Default)]
struct ServiceIndexes<'configuration> {
    indexes: HashMap<&'configuration str, ServiceNumber>,
    /// Limits of services, as far as they are configured.
    limits: HashMap<&'configuration str, &'configuration ServiceLimits>,
}

impl<'configuration> ServiceIndexes<'configuration> {
    fn resolve(&mut self, route: &'configuration Route) -> (SocketAddrV4, TableRoute) {
        let mut services = Vec::with_capacity(route.services.len());
        for weighted in &route.services {
            let next = ServiceNumber(u32::try_from(self.indexes.len()).unwrap_or(u32::MAX));
            let service = *self.indexes.entry(&weighted.service).or_insert(next);
            services.push(RouteService {
                weight: weighted.weight,
                service,
            });
        }
        let request_policy = route.request_policy;
        (
            route.address,
            TableRoute {
                services,
                request_policy,
            },
        )
    }

    fn names(&self) -> Vec<String> {
        let mut numbered: Vec<_> = self.indexes.iter().collect();
        numbered.sort_unstable_by_key(|(_, number)| **number);
        numbered
            .into_iter()
            .map(|(name, _)| (*name).to_owned())
            .collect()
    }

    /// Returns the services and zones of all instances whose service a route names, by cookie.
    fn of_instances(
        &self,
        directory: &Directory,
        zone_names: &[String],
    ) -> Vec<(Cookie, ServiceNumber, ZoneNumber)> {
        let instances = directory.instances().filter_map(|known| {
            let service = self.indexes.get(&known.record.service[..])?;
            let zone = zone_number(zone_names, &known.record.zone);
            Some((Cookie::of(known.record.id), *service, zone))
        });
        let mut services: Vec<_> = instances.collect();
        services.sort_unstable_by_key(|(cookie, ..)| *cookie);
        services.dedup_by_key(|(cookie, ..)| *cookie);
        services
    }

    fn candidates(
        &self,
        directory: &Directory,
        zones: &ZoneDrains,
        zone_names: &[String],
        destinations: &[(Cookie, Destination)],
        with_reused_address: &BTreeSet<InstanceId>,
    ) -> Vec<Vec<Candidate>> {
        let mut candidates = vec![Vec::new(); self.indexes.len()];
        let cookies_are_unique = destinations.len() == directory.len();
        let owns_cookie = |id: InstanceId| {
            if cookies_are_unique {
                return true;
            }
            let cookie = Cookie::of(id);
            let found = destinations.binary_search_by_key(&cookie, |(cookie, _)| *cookie);
            found.is_ok_and(|index| destinations[index].1.instance == id)
        };
        for known in directory.instances() {
            let record = &known.record;
            let Some(&service) = self.indexes.get(&record.service[..]) else {
                continue;
            };
            let is_drained = record.state != InstanceState::Ready || zones.is_drained(&record.zone);
            let takes_flows = owns_cookie(record.id) && !with_reused_address.contains(&record.id);
            if is_drained || !takes_flows || known.excluded_until.is_some() {
                continue;
            }
            let limits = self.limits.get(&record.service[..]).copied();
            let Some(candidates) = candidates.get_mut(service.0 as usize) else {
                continue;
            };
            candidates.push(Candidate {
                id: record.id,
                cookie: Cookie::of(record.id),
                address: record.address,
                warm_at: warm_at(known, zones, limits),
                removed_at: known.removed_at,
                present_until: known.present_until,
                cold_flows_per_minute: limits.map_or(0, |limits| limits.cold_flows_per_minute),
                slots: record.slots,
                zone: zone_number(zone_names, &record.zone),
            });
        }
        candidates
    }
}
