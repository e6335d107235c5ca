//! What the operator API answers from; the control thread replaces it a few times a second.

use bellyoke_api::status::NodeStatus;

/// Whether a metric can fall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// It only rises.
    Counter,
    /// It rises and falls.
    Gauge,
}

/// One metric and its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricSample {
    /// Its name without prefix and suffix.
    pub name: &'static str,
    /// What it counts.
    pub help: &'static str,
    /// Whether it can fall.
    pub kind: MetricKind,
    /// Its value.
    pub value: u64,
}

/// A node at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiSnapshot {
    /// Whether the node forwards and takes new flows.
    pub ready: bool,
    /// Why it is not ready, if so.
    pub reason: String,
    /// What `/v1/status` says.
    pub status: NodeStatus,
    /// What `/metrics` says.
    pub metrics: Vec<MetricSample>,
}
