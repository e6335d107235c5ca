//! Selection of a backend for a new flow, with one module per algorithm.

mod hashed;
mod least_loaded;

pub use hashed::Hashed;
pub use least_loaded::LeastLoaded;

use crate::identity::BackendId;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a load report is valid.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);
/// Maximum number of backends whose reports are stored.
const MAX_LOAD_REPORTS: usize = 1 << 16;

/// The load that a backend reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Busy slots.
    pub busy: u32,
    /// All slots; 0 if not reported.
    pub slots: u32,
}

/// A backend that may receive a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The backend.
    pub backend: BackendId,
    /// Its relative share of new flows; at least 1.
    pub weight: u32,
    /// Open flows that this owner has placed on it.
    pub open_flows: u32,
    /// Its load report if it is recent.
    pub load: Option<LoadReport>,
}

/// Selects a backend for a new flow.
pub trait BackendSelection {
    /// Returns the backend of a new flow, or `None` if no candidate accepts it.
    fn select(&mut self, candidates: &[Candidate]) -> Option<BackendId>;
}

/// Recent load reports.
#[derive(Debug, Default)]
pub(super) struct LoadReports {
    reports: BTreeMap<BackendId, (Timestamp, LoadReport)>,
}

impl LoadReports {
    pub(super) fn record(&mut self, now: Timestamp, backend: BackendId, load: LoadReport) {
        let is_known = self.reports.contains_key(&backend);
        if is_known || self.reports.len() < MAX_LOAD_REPORTS {
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
