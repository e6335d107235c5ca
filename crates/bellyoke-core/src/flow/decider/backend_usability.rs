//! Whether a backend may be given a packet.

use crate::generation::{BackendState, Forwarding};
use crate::identity::{BackendId, ServiceId};

/// Whether a backend may be given packets of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BackendUsability {
    Usable,
    Unavailable,
    OtherService,
}

pub(super) fn backend_usability(
    forwarding: &Forwarding,
    backend: BackendId,
    service: ServiceId,
) -> BackendUsability {
    match forwarding.backends.get(&backend) {
        None => BackendUsability::Unavailable,
        Some(found) if found.state == BackendState::Dead => BackendUsability::Unavailable,
        Some(found) if found.service != Some(service) => BackendUsability::OtherService,
        Some(_) => BackendUsability::Usable,
    }
}
