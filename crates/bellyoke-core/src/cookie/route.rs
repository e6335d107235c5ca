//! Routes: which services take the new flows of an address and port.

use crate::cookie::revision::Revision;
use rkyv::{Archive, Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::time::Duration;

/// A service's share of a route's new flows.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Its weight among the route's services; zero takes no flow.
    pub weight: u32,
}

/// What may be done with a request a second time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize,
)]
pub enum RequestKind {
    /// It may run again.
    Idempotent,
    /// It may run again; its answer is bulk data.
    Download,
    /// It must run once at most; it brings bulk data.
    Upload,
    /// It must run once at most. The default, since it permits least.
    #[default]
    NonIdempotent,
}

impl RequestKind {
    /// Whether a request that may have run can be sent again.
    #[must_use]
    pub const fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Download)
    }
}

/// What the operators say of the requests on a route.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize,
)]
pub struct RequestPolicy {
    /// What may be done with them.
    pub kind: RequestKind,
    /// Rank among the requests of a service; 0 goes first.
    pub priority: u8,
    /// How soon an answer is wanted, milliseconds; zero if that isn't told.
    pub latency_target_milliseconds: u32,
    /// After how long an answer is of no use, milliseconds; zero if that isn't told.
    pub timeout_milliseconds: u32,
}

/// Where the new flows to one address and port go.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Route {
    /// The address and port that clients send to.
    pub address: SocketAddrV4,
    /// The services and their weights.
    pub services: Vec<WeightedService>,
    /// What its requests are like.
    pub request_policy: RequestPolicy,
}

/// How a service's instances work while they are cold: for some seconds after their start, or after
/// their zone was restored.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ServiceLimits {
    /// Name of the service.
    pub service: String,
    /// How long an instance stays cold, milliseconds.
    pub cold_milliseconds: u32,
    /// Flows that a cold instance bears in a minute; zero if that isn't told.
    pub cold_flows_per_minute: u32,
}

/// One version of the whole configuration.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Configuration {
    /// When it entered the store.
    pub revision: Revision,
    /// The operators' number for it.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// What its services bear.
    pub limits: Vec<ServiceLimits>,
    /// How long a flow may rest before it may be forgotten, milliseconds.
    pub idle_timeout_milliseconds: u32,
}

impl Configuration {
    /// How long a flow may rest before it may be forgotten.
    #[must_use]
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(u64::from(self.idle_timeout_milliseconds))
    }
}
