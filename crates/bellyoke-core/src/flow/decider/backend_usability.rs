//! Whether packets may be sent to a backend.

use crate::generation::{BackendState, Forwarding};
use crate::identity::{BackendId, ServiceId};

/// Whether packets of a service may be sent to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BackendUsability {
    Usable,
    /// The backend is dead or no longer part of the generation.
    Unavailable,
    /// The backend serves another service.
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
