//! What a traffic thread does besides packets, in small steps.

use super::shared::WorkerReport;
use bellyoke_core::flow::Decider;
use bellyoke_core::generation::Forwarding;
use bellyoke_core::time::Timestamp;
use std::time::Duration;

/// Time between two steps.
pub const STEP_PERIOD: Duration = Duration::from_millis(20);

/// Steps in which the whole flow table is looked at once: two seconds.
const STEPS_IN_ROUND: u32 = 100;

/// Steps between two reports: one second.
const STEPS_BETWEEN_REPORTS: u32 = 50;

/// Sweeps the flow table and reports, a step at a time.
pub struct Housekeeping {
    next_step: Timestamp,
    records_a_step: u32,
    steps: u32,
}

/// What one run brought.
#[derive(Default)]
pub struct HousekeepingOutcome {
    /// Whether counters are to be published.
    pub counted: bool,
    /// For the control thread.
    pub reports: Vec<WorkerReport>,
}

impl Housekeeping {
    /// Housekeeping of a flow table with `capacity` places.
    #[must_use]
    pub fn new(now: Timestamp, capacity: u32) -> Self {
        Self {
            next_step: now.after(STEP_PERIOD),
            records_a_step: capacity.div_ceil(STEPS_IN_ROUND),
            steps: 0,
        }
    }

    /// Does a step if one is due.
    pub fn run(
        &mut self,
        now: Timestamp,
        worker: usize,
        decider: &mut Decider,
        forwarding: &Forwarding,
    ) -> HousekeepingOutcome {
        let mut outcome = HousekeepingOutcome::default();
        if now < self.next_step {
            return outcome;
        }
        self.next_step = now.after(STEP_PERIOD);
        self.steps = self.steps.wrapping_add(1);
        decider.sweep(now, forwarding, self.records_a_step);
        outcome.counted = true;
        if self.steps.is_multiple_of(STEPS_BETWEEN_REPORTS) {
            outcome.reports = reports(now, worker, decider, forwarding);
        }
        outcome
    }
}

fn reports(
    now: Timestamp,
    worker: usize,
    decider: &mut Decider,
    forwarding: &Forwarding,
) -> Vec<WorkerReport> {
    let flows = decider.flows_by_backend();
    let flows = flows.iter().map(|(backend, count)| (*backend, *count));
    let mut reports = vec![WorkerReport::Load {
        worker,
        flows: flows.collect(),
    }];
    let buckets = decider.settled_buckets(now, forwarding);
    if !buckets.is_empty() {
        reports.push(WorkerReport::Settled {
            worker,
            generation: forwarding.generation,
            buckets,
        });
    }
    reports
}
