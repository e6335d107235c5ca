//! What lives for one request to the operator API.

mod handler;
mod metrics;
mod snapshot;

pub use handler::{ApiState, operator_router};
pub use metrics::encode_metrics;
pub use snapshot::{ApiSnapshot, MetricKind, MetricSample};
