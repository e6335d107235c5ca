//! What a run tells people and programs.

mod plot;
mod table;

pub use plot::write_plots;
pub use table::render;

use crate::experiment::measure::{FlowCounts, Measurements};
use serde::Serialize;

/// Report of a whole experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub experiment: String,
    /// The seed it ran with.
    pub seed: u64,
    /// Each strategy under each timeline.
    pub runs: Vec<RunReport>,
}

/// Report of one strategy under one timeline.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// The strategy.
    pub strategy: String,
    /// The timeline.
    pub timeline: String,
    /// Flows that callers opened.
    pub flows: u64,
    /// Flows broken under a timeline with planned changes only.
    pub broken_planned: u64,
    /// Flows broken under a timeline with failures.
    pub broken_failure: u64,
    /// Flows without an answer at the end of the run, after three retransmissions or more.
    pub stalled_at_end: u64,
    /// Flows that ended with their backend; no balancer could have saved them.
    pub lost_with_backend: u64,
    /// Flows that could never be opened.
    pub unanswered: u64,
    /// Flows refused as "not run".
    pub refused: u64,
    /// Flows shed by backends.
    pub shed: u64,
    /// Packets that reached a backend of another service.
    pub wrong_service: u64,
    /// Opening packets that a second backend answered.
    pub crossed: u64,
    /// Requests that a second backend ran.
    pub doubled: u64,
    /// Refused flows of which a packet had reached a backend.
    pub false_not_run: u64,
    /// The worst service's mean over time of most flows over mean flows a backend.
    pub flow_max_over_mean: f64,
    /// The worst service's 99th percentile of backlogs over their mean.
    pub slot_p99_over_mean: f64,
    /// The worst service's mean wait of a request for a slot, milliseconds.
    pub wait_mean_ms: f64,
    /// The worst service's 99th percentile of the wait, milliseconds.
    pub wait_p99_ms: f64,
    /// 99th percentile of the time from acceptance to force on a node, milliseconds.
    pub time_to_force_p99_ms: f64,
    /// Longest time from the acceptance of a drain to the last new flow, milliseconds.
    pub last_new_flow_on_drained_ms: f64,
    /// Mean control bytes a second of a balancer.
    pub control_bytes_per_second: f64,
    /// Most control bytes a second of any balancer.
    pub control_bytes_per_second_most: f64,
    /// Share of packets that went through a second balancer.
    pub relayed_share: f64,
    /// Imbalance by service.
    pub services: Vec<ServiceReport>,
}

/// Imbalance and flows of one service.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceReport {
    /// The service.
    pub name: String,
    /// Flows that callers opened.
    pub opened: u64,
    /// Flows that ended as the caller wanted.
    pub completed: u64,
    /// See [`RunReport::flow_max_over_mean`].
    pub flow_max_over_mean: f64,
    /// See [`RunReport::slot_p99_over_mean`].
    pub slot_p99_over_mean: f64,
    /// Mean wait of a request for a slot, milliseconds.
    pub wait_mean_ms: f64,
    /// 99th percentile of the wait, milliseconds.
    pub wait_p99_ms: f64,
    /// Mean wait with one queue for all backends at the start, milliseconds.
    pub ideal_wait_mean_ms: Option<f64>,
}

const MICROSECONDS_PER_MILLISECOND: f64 = 1_000.0;

impl RunReport {
    /// The report of a run.
    #[must_use]
    pub fn new(strategy: &str, timeline: &str, planned: bool, run: &Measurements) -> Self {
        let services = service_reports(run);
        let sum = |field: fn(&FlowCounts) -> u64| run.flows.iter().map(field).sum::<u64>();
        let broken = sum(|counts| counts.broken);
        let flow_worst = worst(services.iter().map(|service| service.flow_max_over_mean));
        let slot_worst = worst(services.iter().map(|service| service.slot_p99_over_mean));
        let last_new_flow = run
            .last_new_flow
            .values()
            .max()
            .copied()
            .unwrap_or_default();
        Self {
            strategy: strategy.to_owned(),
            timeline: timeline.to_owned(),
            flows: sum(|counts| counts.opened),
            broken_planned: if planned { broken } else { 0 },
            broken_failure: if planned { 0 } else { broken },
            stalled_at_end: run.stalled,
            lost_with_backend: sum(|counts| counts.lost_with_backend),
            unanswered: sum(|counts| counts.unanswered),
            refused: sum(|counts| counts.refused),
            shed: sum(|counts| counts.shed),
            wrong_service: run.wrong_service,
            crossed: run.crossed,
            doubled: run.doubled,
            false_not_run: run.false_not_run,
            flow_max_over_mean: flow_worst,
            slot_p99_over_mean: slot_worst,
            wait_mean_ms: worst(services.iter().map(|service| service.wait_mean_ms)),
            wait_p99_ms: worst(services.iter().map(|service| service.wait_p99_ms)),
            time_to_force_p99_ms: quantile_ms(&run.time_to_force),
            last_new_flow_on_drained_ms: rounded(last_new_flow.as_secs_f64() * 1_000.0),
            control_bytes_per_second: rounded(mean(&run.control_rates)),
            control_bytes_per_second_most: rounded(worst(run.control_rates.iter().copied())),
            relayed_share: rounded(share(run.relayed_packets, run.packets)),
            services,
        }
    }
}

fn service_reports(run: &Measurements) -> Vec<ServiceReport> {
    run.series
        .iter()
        .zip(&run.flows)
        .zip(run.waits.iter().zip(&run.ideal_waits))
        .map(|((series, counts), (waits, ideal))| ServiceReport {
            name: series.name.clone(),
            opened: counts.opened,
            completed: counts.completed,
            flow_max_over_mean: rounded(series.flow_max_over_mean()),
            slot_p99_over_mean: rounded(series.slot_p99_over_mean()),
            wait_mean_ms: rounded(waits.mean() / MICROSECONDS_PER_MILLISECOND),
            wait_p99_ms: quantile_ms(waits),
            ideal_wait_mean_ms: ideal.map(|wait| rounded(wait.as_secs_f64() * 1_000.0)),
        })
        .collect()
}

fn quantile_ms(histogram: &hdrhistogram::Histogram<u64>) -> f64 {
    rounded(histogram.value_at_quantile(0.99) as f64 / MICROSECONDS_PER_MILLISECOND)
}

fn worst(values: impl Iterator<Item = f64>) -> f64 {
    values.fold(0.0, f64::max)
}

fn mean(values: &[f64]) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.iter().sum::<f64>() / values.len() as f64
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}

/// Four decimals: what a report of this size can stand for.
fn rounded(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
