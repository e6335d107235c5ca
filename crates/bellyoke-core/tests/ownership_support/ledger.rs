//! Records what reached backends and callers, and detects violated invariants.

use super::generations::service_of;
use bellyoke_core::identity::{BackendId, ServiceId};
use std::collections::BTreeMap;

/// The outcome of one flow.
#[derive(Clone, Debug, Default)]
pub struct FlowRecord {
    pub backend: Option<BackendId>,
    pub refused: bool,
    pub reset: bool,
}

/// The outcomes of all flows.
#[derive(Debug, Default)]
pub struct Ledger {
    pub flows: BTreeMap<u32, FlowRecord>,
    pub violation: Option<String>,
}

impl Ledger {
    pub fn deliver(&mut self, flow: u32, service: ServiceId, backend: BackendId) {
        let record = self.flows.entry(flow).or_default();
        let violation = match record.backend {
            _ if service_of(backend) != service => Some("a backend of another service"),
            _ if record.refused => Some("a backend although it was refused"),
            Some(known) if known != backend => Some("a second backend"),
            _ => None,
        };
        let before = record.backend.replace(backend);
        if let Some(violation) = violation {
            let text = format!("flow {flow} reached {violation}: {before:?} then {backend}");
            self.violation.get_or_insert(text);
        }
    }

    pub fn refuse(&mut self, flow: u32) {
        let record = self.flows.entry(flow).or_default();
        record.refused = true;
        if let Some(backend) = record.backend {
            let text = format!("flow {flow} was refused after it reached {backend}");
            self.violation.get_or_insert(text);
        }
    }

    pub fn reset(&mut self, flow: u32) {
        self.flows.entry(flow).or_default().reset = true;
    }

    pub fn fail(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }
}
