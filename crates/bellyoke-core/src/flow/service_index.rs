//! Index of services by number. [`Forwarding`] has them by endpoint only.

use crate::flow::tick::TickSpan;
use crate::generation::{BucketRoute, Forwarding, ServiceEndpoint, ServiceForwarding};
use crate::identity::ServiceId;
use crate::packet::{FlowHash, Transport};
use std::collections::HashMap;

/// Properties of a service that flow records need.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceEntry {
    pub(super) endpoint: ServiceEndpoint,
    pub(super) idle_timeout: TickSpan,
}

impl ServiceEntry {
    pub(super) fn transport(&self) -> Transport {
        self.endpoint.transport
    }
}

/// Services of one generation, by number.
#[derive(Debug, Default)]
pub(super) struct ServiceIndex {
    entries: HashMap<ServiceId, ServiceEntry>,
}

impl ServiceIndex {
    pub(super) fn new(forwarding: &Forwarding) -> Self {
        let services = forwarding.services.iter();
        let entries = services.map(|(endpoint, service)| {
            let entry = ServiceEntry {
                endpoint: *endpoint,
                idle_timeout: TickSpan::from_duration(service.idle_timeout),
            };
            (service.id, entry)
        });
        Self {
            entries: entries.collect(),
        }
    }

    pub(super) fn entry(&self, service: ServiceId) -> Option<&ServiceEntry> {
        self.entries.get(&service)
    }

    pub(super) fn service<'a>(
        &self,
        forwarding: &'a Forwarding,
        service: ServiceId,
    ) -> Option<&'a ServiceForwarding> {
        let entry = self.entries.get(&service)?;
        let found = forwarding.services.get(&entry.endpoint)?;
        (found.id == service).then_some(found)
    }

    /// Returns the route of the bucket that contains the flow with `hash`.
    pub(super) fn route(
        &self,
        forwarding: &Forwarding,
        service: ServiceId,
        hash: FlowHash,
    ) -> Option<BucketRoute> {
        let service = self.service(forwarding, service)?;
        Some(service.route(service.bucket(hash)))
    }
}
