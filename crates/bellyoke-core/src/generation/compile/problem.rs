//! Problems in the operators' objects.

use crate::generation::validate::ObjectError;
use std::net::SocketAddr;
use thiserror::Error;

/// A part of the operators' objects that is not in effect as configured.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Problem {
    /// A service is invalid. If it was served before, it keeps its previous settings.
    #[error("service {service} is invalid: {error}")]
    InvalidService {
        /// Name of the service.
        service: String,
        /// The error.
        error: ObjectError,
    },
    /// A backend is invalid. If it was in use before, it is drained.
    #[error("backend {backend} is invalid: {error}")]
    InvalidBackend {
        /// Name of the backend.
        backend: String,
        /// The error.
        error: ObjectError,
    },
    /// Two services have the same address, port and protocol. Only the older one is served there.
    #[error("service {service} is not served: service {holder} has its address and port")]
    AddressTaken {
        /// The service that is not served there.
        service: String,
        /// The service that is.
        holder: String,
    },
    /// Several services select a backend. It serves the first by name.
    #[error("backend {backend} is also selected by {other}; it serves {service}")]
    SelectedTwice {
        /// The backend.
        backend: String,
        /// The service that it serves.
        service: String,
        /// The service that it does not serve.
        other: String,
    },
    /// No backend matches a selector.
    #[error("selector {index} of service {service} matches no backend")]
    NothingSelected {
        /// The service.
        service: String,
        /// Position of the selector, starting at 0.
        index: usize,
    },
    /// The configured table size differs from the one that was fixed when the service was created.
    #[error(
        "service {service} keeps its {current} buckets; a table of {wanted} requires a new service"
    )]
    TableSizeFixed {
        /// The service.
        service: String,
        /// Current number of buckets.
        current: usize,
        /// Configured number of buckets.
        wanted: u32,
    },
    /// The configured address of a backend in use differs from its current one. The address is
    /// fixed because otherwise another host would inherit its flows.
    #[error("backend {backend} keeps {current}; {wanted} needs a new object")]
    BackendAddressFixed {
        /// The backend.
        backend: String,
        /// Current address.
        current: SocketAddr,
        /// Configured address.
        wanted: SocketAddr,
    },
    /// Two backends have the same address. Only the older one is used.
    #[error("backend {backend} is not used: backend {holder} has its address")]
    BackendAddressTaken {
        /// The backend that is not used.
        backend: String,
        /// The backend that is.
        holder: String,
    },
    /// A backend still has flows in its previous service.
    #[error("backend {backend} still drains from {from}{}", joins(.to))]
    StillDraining {
        /// The backend.
        backend: String,
        /// The previous service.
        from: String,
        /// The service that it joins afterwards.
        to: Option<String>,
    },
}

fn joins(service: &Option<String>) -> String {
    match service {
        Some(service) => format!(" and joins {service} then"),
        None => String::new(),
    }
}
