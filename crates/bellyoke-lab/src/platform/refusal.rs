//! Why the store refuses a request, and how that is told to the client.

use gotham::hyper::StatusCode;
use serde_json::{Value, json};

/// Why the store refuses a request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// There is no such object.
    #[error("{object} not found")]
    NotFound {
        /// Its plural and name.
        object: String,
    },
    /// There is such an object already.
    #[error("{object} already exists")]
    AlreadyExists {
        /// Its plural and name.
        object: String,
    },
    /// The object isn't what the write was made for.
    #[error(
        "operation cannot be fulfilled on {object}: the object has been modified; \
         please apply your changes to the latest version and try again"
    )]
    Conflict {
        /// Its plural and name.
        object: String,
    },
    /// A field holds something else than it may.
    #[error("{field}: {message}")]
    Invalid {
        /// Path of the field.
        field: &'static str,
        /// What is wrong.
        message: String,
    },
    /// The request can't be read.
    #[error("{message}")]
    BadRequest {
        /// What is wrong.
        message: String,
    },
    /// The kind of patch isn't served.
    #[error("content type {content_type:?} of a patch is not served")]
    UnsupportedPatch {
        /// What was sent.
        content_type: String,
    },
    /// The changes after the version are forgotten.
    #[error("too old resource version: {version}, the oldest is {oldest}")]
    Expired {
        /// The version that was asked for.
        version: u64,
        /// The oldest version whose following changes are held.
        oldest: u64,
    },
    /// The version lies ahead.
    #[error("too large resource version: {version}, current: {current}")]
    VersionAhead {
        /// The version that was asked for.
        version: u64,
        /// The store's version.
        current: u64,
    },
    /// No room for another object.
    #[error("the store holds {limit} objects, which is its limit")]
    Full {
        /// The limit.
        limit: usize,
    },
    /// The store is switched off.
    #[error("the store is down")]
    Down,
    /// The answer doesn't come in time, whatever happened.
    #[error("request did not complete within the allotted timeout")]
    GatewayTimeout,
}

impl Refusal {
    /// HTTP status code.
    #[must_use]
    pub const fn code(&self) -> StatusCode {
        match self {
            Self::NotFound { .. } => StatusCode::NOT_FOUND,
            Self::AlreadyExists { .. } | Self::Conflict { .. } => StatusCode::CONFLICT,
            Self::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            Self::BadRequest { .. } => StatusCode::BAD_REQUEST,
            Self::UnsupportedPatch { .. } => StatusCode::UNSUPPORTED_MEDIA_TYPE,
            Self::Expired { .. } => StatusCode::GONE,
            Self::VersionAhead { .. } | Self::GatewayTimeout => StatusCode::GATEWAY_TIMEOUT,
            Self::Full { .. } => StatusCode::FORBIDDEN,
            Self::Down => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The word that clients compare (Kubernetes `Status.reason`).
    #[must_use]
    pub const fn reason(&self) -> &'static str {
        match self {
            Self::NotFound { .. } => "NotFound",
            Self::AlreadyExists { .. } => "AlreadyExists",
            Self::Conflict { .. } => "Conflict",
            Self::Invalid { .. } => "Invalid",
            Self::BadRequest { .. } => "BadRequest",
            Self::UnsupportedPatch { .. } => "UnsupportedMediaType",
            Self::Expired { .. } => "Expired",
            Self::VersionAhead { .. } | Self::GatewayTimeout => "Timeout",
            Self::Full { .. } => "Forbidden",
            Self::Down => "ServiceUnavailable",
        }
    }

    /// The `Status` object that tells the client.
    #[must_use]
    pub fn status(&self) -> Value {
        json!({
            "apiVersion": "v1",
            "kind": "Status",
            "metadata": {},
            "status": "Failure",
            "message": self.to_string(),
            "reason": self.reason(),
            "code": self.code().as_u16(),
        })
    }
}
