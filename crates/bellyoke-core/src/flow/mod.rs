//! Per-flow state: the flow table and the forwarding decision for each packet.

mod counters;
mod decider;
mod decision;
mod record;
mod service_index;
mod settings;
mod settlement;
mod sweep;
mod table;
mod tick;

pub use counters::FlowCounters;
pub use decider::Decider;
pub use decision::{
    Decision, DropReason, Escalation, EscalationKind, FlowPlace, LeaseState, OpenedFlow,
    SettledBucket,
};
pub use record::{FlowRecord, FlowState};
pub use settings::FlowSettings;
pub use sweep::SweepReport;
pub use table::{FlowTable, TableFull};
