//! Routes map addresses to the services that take their new flows.

use crate::cookie::revision::Revision;
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A service of a route, with its weight.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight among the route's services; with zero it gets no flow.
    pub weight: u32,
}

/// Whether a request may run twice, and whether it transfers bulk data.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize,
)]
pub enum RequestKind {
    /// The request may run again.
    Idempotent,
    /// The request may run again; its answer is bulk data.
    Download,
    /// The request must run at most once; it uploads bulk data.
    Upload,
    /// The request must run at most once. This is the default, since it is the most restrictive.
    #[default]
    NonIdempotent,
}

impl RequestKind {
    /// Returns whether a request that may have run may be retried.
    #[must_use]
    pub const fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Download)
    }
}

/// Policy that operators configure for the requests of a route.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize,
)]
pub struct RequestPolicy {
    /// Kind of the requests.
    pub kind: RequestKind,
    /// Priority among the requests of a service; 0 is the highest.
    pub priority: u8,
    /// Target for the time to answer, milliseconds; zero if not configured.
    pub latency_target_milliseconds: u32,
    /// Time after which an answer is useless, milliseconds; zero if not configured.
    pub timeout_milliseconds: u32,
}

/// Destinations of the new flows to one address and port.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Route {
    /// Address and port that clients send to.
    pub address: SocketAddrV4,
    /// Services and their weights.
    pub services: Vec<WeightedService>,
    /// Policy for its requests.
    pub request_policy: RequestPolicy,
}

/// Limits of a service's instances while they are cold (slow start): for some seconds after their
/// start, or after their zone was undrained.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ServiceLimits {
    /// Name of the service.
    pub service: String,
    /// Duration of the slow start, milliseconds.
    pub cold_milliseconds: u32,
    /// Flows that a cold instance can take in a minute; zero if not configured.
    pub cold_flows_per_minute: u32,
}

/// One version of the whole configuration.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Configuration {
    /// Revision at which it was stored.
    pub revision: Revision,
    /// Version number that operators gave to it.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// Limits of its services.
    pub limits: Vec<ServiceLimits>,
    /// Idle time after which a flow's record may be dropped, milliseconds.
    pub idle_timeout_milliseconds: u32,
}

impl Configuration {
    /// Returns the names of all services that routes or limits name.
    #[must_use]
    pub fn service_names(&self) -> BTreeSet<String> {
        let routed = self.routes.iter().flat_map(|route| &route.services);
        let routed = routed.map(|weighted| &weighted.service);
        let limited = self.limits.iter().map(|limits| &limits.service);
        routed.chain(limited).cloned().collect()
    }

    /// Returns the idle time after which a flow's record may be dropped.
    #[must_use]
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(u64::from(self.idle_timeout_milliseconds))
    }
}
