//! Which backend a new flow is placed on. One module an algorithm.

mod hashed;
mod least_loaded;

pub use hashed::Hashed;
pub use least_loaded::LeastLoaded;

use crate::identity::BackendId;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a load report counts.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);
/// Most backends whose reports are kept.
const MAX_LOAD_REPORTS: usize = 1 << 16;

/// A backend's own account of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Slots that work.
    pub busy: u32,
    /// Slots it has; 0 if it doesn't say.
    pub slots: u32,
}

/// A backend that may take a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The backend.
    pub backend: BackendId,
    /// Its share of new flows, relative to the others; at least 1.
    pub weight: u32,
    /// Open flows that this owner has placed on it.
    pub open_flows: u32,
    /// Its report, if there is a recent one.
    pub load: Option<LoadReport>,
}

/// Chooses a backend for a new flow.
pub trait BackendSelection {
    /// The backend of a new flow; none if no candidate takes it.
    fn select(&mut self, candidates: &[Candidate]) -> Option<BackendId>;
}

/// Recent load reports.
#[derive(Debug, Default)]
pub(super) struct LoadReports {
    reports: BTreeMap<BackendId, (Timestamp, LoadReport)>,
}

impl LoadReports {
    pub(super) fn record(&mut self, now: Timestamp, backend: BackendId, load: LoadReport) {
        let known = self.reports.contains_key(&backend);
        if known || self.reports.len() < MAX_LOAD_REPORTS {
            self.reports.insert(backend, (now, load));
        }
    }

    pub(super) fn recent(&self, now: Timestamp, backend: BackendId) -> Option<LoadReport> {
        let (reported, load) = self.reports.get(&backend)?;
        (now.since(*reported) < REPORT_LIFETIME).then_some(*load)
    }

    pub(super) fn remove_expired(&mut self, now: Timestamp) {
        let is_recent = |reported: &Timestamp| now.since(*reported) < REPORT_LIFETIME;
        self.reports.retain(|_, (reported, _)| is_recent(reported));
    }
}
