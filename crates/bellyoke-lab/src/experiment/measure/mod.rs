//! What is counted while an experiment runs.

mod ideal;
mod series;

pub use series::{NodeSample, ServiceSample, ServiceSeries};

use crate::experiment::costs::ClusterCosts;
use crate::experiment::settings::Experiment;
use crate::experiment::strategy::BackendIndex;
use crate::experiment::world::network::NodeState;
use crate::experiment::world::{Ending, network};
use bellyoke_core::time::Timestamp;
use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::time::Duration;

/// Significant digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;
/// Longest time that the histograms tell apart, microseconds: an hour.
const HISTOGRAM_MAXIMUM: u64 = 3_600_000_000;

/// Flows of one service by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlowCounts {
    /// Opened by callers.
    pub opened: u64,
    /// Ended as the caller wanted.
    pub completed: u64,
    /// Refused as "not run".
    pub refused: u64,
    /// Reset or unanswered though their backend lived.
    pub broken: u64,
    /// Lost with their backend.
    pub lost_with_backend: u64,
    /// Never opened.
    pub unanswered: u64,
    /// Shed by a backend.
    pub shed: u64,
}

/// All that a run measured.
#[derive(Debug)]
pub struct Measurements {
    warm_up: Timestamp,
    seconds: u64,
    /// Flows by service.
    pub flows: Vec<FlowCounts>,
    /// Samples by service.
    pub series: Vec<ServiceSeries>,
    /// Samples of balancers.
    pub nodes: Vec<NodeSample>,
    /// Packets that reached a backend of another service.
    pub wrong_service: u64,
    /// Opening packets that a second backend answered.
    pub crossed: u64,
    /// Requests that a second backend ran.
    pub doubled: u64,
    /// Refused flows of which a packet had reached a backend.
    pub false_not_run: u64,
    /// Flows shed since their backend held its limit of connections.
    pub connection_limit: u64,
    /// Packets that balancers got from the fabric.
    pub packets: u64,
    /// Packets that went on to another balancer.
    pub relayed_packets: u64,
    /// Time from acceptance to force, by node and change, microseconds.
    pub time_to_force: Histogram<u64>,
    /// Time requests waited for a slot, by service, microseconds.
    pub waits: Vec<Histogram<u64>>,
    /// Mean wait that one queue for all backends would give, by service; none for services
    /// without requests.
    pub ideal_waits: Vec<Option<Duration>>,
    /// Time from the acceptance of a drain to the last new flow on its backend.
    pub last_new_flow: HashMap<BackendIndex, Duration>,
    drains: HashMap<BackendIndex, Timestamp>,
    control_at_warm_up: Vec<u64>,
    /// Control bytes a second of each balancer over its life, at the end.
    pub control_rates: Vec<f64>,
    /// Flows without an answer at the end, not yet given up.
    pub stalled: u64,
    /// What the core cost after the warm-up. Real time: no part of the report.
    pub costs: ClusterCosts,
    /// Memory of this process at the end, with the world around the core, bytes.
    pub resident_bytes: u64,
}

impl Measurements {
    /// Nothing measured yet.
    ///
    /// # Panics
    ///
    /// Never: the histograms' digits are a constant in range.
    #[must_use]
    pub fn new(experiment: &Experiment) -> Self {
        let histogram = || {
            Histogram::new_with_max(HISTOGRAM_MAXIMUM, HISTOGRAM_DIGITS)
                .expect("three significant digits and an hour are allowed")
        };
        let services = &experiment.services;
        Self {
            warm_up: Timestamp::ZERO.after(Duration::from_secs(experiment.warm_up_seconds.into())),
            seconds: u64::from(experiment.duration_seconds),
            flows: vec![FlowCounts::default(); services.len()],
            series: services
                .iter()
                .map(|service| ServiceSeries::new(&service.name))
                .collect(),
            nodes: Vec::new(),
            wrong_service: 0,
            crossed: 0,
            doubled: 0,
            false_not_run: 0,
            connection_limit: 0,
            packets: 0,
            relayed_packets: 0,
            time_to_force: histogram(),
            waits: services.iter().map(|_| histogram()).collect(),
            ideal_waits: services.iter().map(ideal::mean_wait).collect(),
            last_new_flow: HashMap::new(),
            drains: HashMap::new(),
            control_at_warm_up: Vec::new(),
            control_rates: Vec::new(),
            stalled: 0,
            costs: ClusterCosts::default(),
            resident_bytes: 0,
        }
    }

    /// A caller opened a flow.
    pub fn opened(&mut self, _now: Timestamp, service: usize) {
        self.flows[service].opened += 1;
    }

    /// A flow ended.
    pub fn ended(&mut self, _now: Timestamp, service: usize, ending: Ending) {
        let counts = &mut self.flows[service];
        let counter = match ending {
            Ending::Completed => &mut counts.completed,
            Ending::Refused => &mut counts.refused,
            Ending::Broken => &mut counts.broken,
            Ending::LostWithBackend => &mut counts.lost_with_backend,
            Ending::Unanswered => &mut counts.unanswered,
            Ending::Shed => &mut counts.shed,
        };
        *counter += 1;
    }

    /// A packet reached a backend of another service.
    pub fn wrong_service(&mut self) {
        self.wrong_service += 1;
    }

    /// A second backend answered a flow.
    pub fn crossed(&mut self) {
        self.crossed += 1;
    }

    /// A refused flow had reached a backend.
    pub fn false_not_run(&mut self) {
        self.false_not_run += 1;
    }

    /// A backend held its limit of connections.
    pub fn connection_limit(&mut self) {
        self.connection_limit += 1;
    }

    /// A packet reached a balancer.
    pub fn packet_at_node(&mut self, relayed: bool) {
        if relayed {
            self.relayed_packets += 1;
        } else {
            self.packets += 1;
        }
    }

    /// A packet went to another balancer inside a message.
    pub fn relayed(&mut self) {
        self.relayed_packets += 1;
    }

    /// A drain was accepted.
    pub fn drain_accepted(&mut self, now: Timestamp, backend: BackendIndex) {
        self.drains.insert(backend, now);
        self.last_new_flow.insert(backend, Duration::ZERO);
    }

    /// A new flow reached a backend that drains.
    pub fn opened_while_draining(&mut self, now: Timestamp, backend: BackendIndex) {
        if let Some(accepted) = self.drains.get(&backend) {
            self.last_new_flow.insert(backend, now.since(*accepted));
        }
    }

    /// A change came into force on a node.
    pub fn in_force(&mut self, now: Timestamp, after: Duration) {
        if now >= self.warm_up {
            self.time_to_force.saturating_record(micros(after));
        }
    }

    /// A request started to be worked on.
    pub fn request_waited(&mut self, now: Timestamp, service: usize, waited: Duration) {
        if now >= self.warm_up {
            self.waits[service].saturating_record(micros(waited));
        }
    }

    /// Flows and backlogs of a service's active backends at this second.
    pub fn sample(&mut self, now: Timestamp, service: &str, flows: &[usize], backlogs: &[usize]) {
        if now < self.warm_up {
            return;
        }
        let second = now.as_micros() / 1_000_000;
        if let Some(series) = self.series.iter_mut().find(|series| series.name == service) {
            series.record(second, flows, backlogs);
        }
    }

    /// Control bytes of all balancers at this second.
    pub fn sample_nodes(&mut self, now: Timestamp, nodes: &[NodeState]) {
        if now < self.warm_up {
            return;
        }
        if self.control_at_warm_up.is_empty() {
            self.control_at_warm_up = nodes.iter().map(|node| node.control_bytes).collect();
        }
        let broken = self.flows.iter().map(|counts| counts.broken).sum();
        let control_bytes = nodes.iter().map(|node| node.control_bytes).sum();
        self.nodes.push(NodeSample {
            second: now.as_micros() / 1_000_000,
            broken,
            control_bytes,
            alive: nodes.iter().filter(|node| node.alive).count(),
        });
    }

    /// The run is over.
    pub fn finish(&mut self, now: Timestamp, nodes: &[network::NodeState]) {
        for (index, node) in nodes.iter().enumerate() {
            let before = self.control_at_warm_up.get(index).copied().unwrap_or(0);
            let since = node.started_at.max(self.warm_up);
            let seconds = now.since(since).as_secs_f64();
            if seconds > 1.0 && node.alive {
                let bytes = node.control_bytes - before;
                self.control_rates.push(bytes as f64 / seconds);
            }
        }
    }

    /// Length of the run, seconds.
    #[must_use]
    pub fn seconds(&self) -> u64 {
        self.seconds
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
