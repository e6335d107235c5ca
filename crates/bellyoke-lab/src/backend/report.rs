//! What a backend counts and reports.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Most request identifiers that a backend remembers.
const RECORDED_RUNS_LIMIT: usize = 1_000_000;

/// The report of a backend, as its admin API gives it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BackendReport {
    /// The backend's name.
    pub name: String,
    /// How often each request ran, by its identifier.
    pub runs: BTreeMap<String, u64>,
    /// Runs that were not recorded, since [`Self::runs`] is full.
    pub runs_unrecorded: u64,
    /// Requests and connections for a service that the backend doesn't serve, or for a second one at the same time.
    pub wrong_service: u64,
    /// What those were, for the first few.
    pub wrong_service_details: Vec<String>,
    /// Connections accepted since the start.
    pub connections_accepted: u64,
    /// Connections accepted since the backend was told to drain.
    pub connections_accepted_while_draining: u64,
    /// Connections that are open.
    pub connections_open: u64,
    /// Slots that are taken.
    pub slots_busy: u64,
    /// Requests that wait for a slot.
    pub queued: u64,
    /// Taken slots and waiting requests for each slot; the switch for lies doesn't alter it here.
    pub load: f64,
    /// Requests refused for want of a slot: they did not run.
    pub shed: u64,
    /// Requests whose deadline passed before they had a slot: they did not run.
    pub expired: u64,
    /// Runs whose caller went away before the answer.
    pub cancelled: u64,
    /// Requests whose caller went away before they had a slot: they did not run.
    pub cancelled_before_start: u64,
    /// Requests that weren't understood.
    pub bad_requests: u64,
    /// Packets of TCP flows that were not opened on this backend.
    pub stray_packets: u64,
    /// UDP datagrams that were answered.
    pub datagrams: u64,
}

/// Details of wrong-service events that a report keeps.
const DETAIL_LIMIT: usize = 20;

impl BackendReport {
    /// Records that the request ran.
    pub fn record_run(&mut self, id: &str) {
        if let Some(count) = self.runs.get_mut(id) {
            *count += 1;
        } else if self.runs.len() < RECORDED_RUNS_LIMIT {
            self.runs.insert(id.to_owned(), 1);
        } else {
            self.runs_unrecorded += 1;
        }
    }

    /// Records traffic of a service that the backend must not see now.
    pub fn record_wrong_service(&mut self, detail: String) {
        self.wrong_service += 1;
        if self.wrong_service_details.len() < DETAIL_LIMIT {
            self.wrong_service_details.push(detail);
        }
    }
}
