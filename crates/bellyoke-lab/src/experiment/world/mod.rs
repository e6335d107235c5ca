//! The world around a cluster in virtual time: callers, fabric, backends, store and clock.
//! Balancers are a [`Strategy`]; everything by chance comes from one seeded generator, so
//! that the same seed gives the same run.

mod backend;
mod backends;
mod callers;
mod effects;
mod event;
mod flow;
pub mod network;
pub mod packet;
mod store;
mod timeline;

use crate::experiment::costs::resident_bytes;
use crate::experiment::measure::Measurements;
use crate::experiment::settings::{Experiment, Timeline};
use crate::experiment::strategy::{BackendIndex, Effect, ServiceIndex, Strategy};
use backend::Backend;
use bellyoke_core::packet::FlowHasher;
use bellyoke_core::time::Timestamp;
pub use callers::service_address;
use event::{Event, EventQueue};
pub use flow::Ending;
use flow::Flow;
use network::{Delays, NodeIndex, NodeState};
use packet::FlowIndex;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
pub use store::SERVICE_PORT;
use store::Store;

/// Time between two measurements.
const SAMPLE_PERIOD: Duration = Duration::from_secs(1);

/// Seed of the flow hash; the same in all runs, so that runs differ by their own seed only.
pub const FLOW_HASH_SEED: u64 = 0x0062_656c_6c79_6f6b;

/// A run of an experiment.
pub struct World<'a> {
    experiment: &'a Experiment,
    timeline: &'a Timeline,
    strategy: Box<dyn Strategy>,
    now: Timestamp,
    end: Timestamp,
    queue: EventQueue,
    /// Chance in the network; strategies differ in how much of it they use.
    random: ChaCha8Rng,
    /// Chance among callers: the same flows under each strategy.
    caller_random: ChaCha8Rng,
    /// Chance in the timeline: the same machines under each strategy.
    timeline_random: ChaCha8Rng,
    delays: Delays,
    hasher: FlowHasher,
    nodes: Vec<NodeState>,
    listed: Vec<NodeIndex>,
    backends: Vec<Backend>,
    flows: Vec<Flow>,
    next_key: u64,
    store: Store,
    shown_readers: Vec<NodeIndex>,
    effects: Vec<Effect>,
    measurements: Measurements,
}

impl<'a> World<'a> {
    /// A world at time zero with `strategy` as its cluster.
    #[must_use]
    pub fn new(
        experiment: &'a Experiment,
        timeline: &'a Timeline,
        strategy: Box<dyn Strategy>,
        seed: u64,
    ) -> Self {
        let end = Timestamp::ZERO.after(Duration::from_secs(experiment.duration_seconds.into()));
        Self {
            experiment,
            timeline,
            strategy,
            now: Timestamp::ZERO,
            end,
            queue: EventQueue::default(),
            random: random_stream(seed, 0),
            caller_random: random_stream(seed, 1),
            timeline_random: random_stream(seed, 2),
            delays: Delays::new(&experiment.cluster),
            hasher: FlowHasher::new(FLOW_HASH_SEED),
            nodes: Vec::new(),
            listed: Vec::new(),
            backends: Vec::new(),
            flows: Vec::new(),
            next_key: 0,
            store: Store::default(),
            shown_readers: Vec::new(),
            effects: Vec::new(),
            measurements: Measurements::new(experiment),
        }
    }

    /// Runs to the end of the experiment, calling `progress` once a virtual second.
    pub fn run(mut self, progress: &mut dyn FnMut(u64)) -> Measurements {
        self.set_up();
        while let Some((at, event)) = self.queue.next() {
            if at > self.end {
                break;
            }
            self.now = at;
            if matches!(event, Event::Sample) {
                let second = at.as_micros() / 1_000_000;
                progress(second);
                if second == u64::from(self.experiment.warm_up_seconds) {
                    self.strategy.take_costs();
                }
            }
            self.handle(event);
            self.apply_effects();
        }
        self.measurements.finish(self.now, &self.nodes);
        self.measurements.stalled = self.stalled_flows();
        self.measurements.costs = self.strategy.take_costs();
        self.measurements.resident_bytes = resident_bytes();
        self.measurements
    }

    fn set_up(&mut self) {
        self.add_initial_backends();
        self.publish_objects();
        for _ in 0..self.experiment.cluster.balancers {
            self.start_node();
        }
        self.apply_effects();
        self.schedule_timeline();
        self.schedule_callers();
        self.queue
            .schedule(self.now.after(SAMPLE_PERIOD), Event::Sample);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::FlowArrives { service, caller } => self.flow_arrives(service, caller),
            Event::CallerTimer { flow, step } => self.caller_timer(flow, step),
            Event::AtNode {
                node,
                packet,
                relayed,
            } => self.packet_at_node(node, packet, relayed),
            Event::AtBackend { backend, packet } => self.packet_at_backend(backend, packet),
            Event::WorkDone { backend, flow } => self.work_done(backend, flow),
            Event::Control {
                node,
                from,
                payload,
            } => self.control_at_node(node, from, payload),
            Event::NodeTimer { node } => self.node_timer(node),
            Event::StoreWrite { node, generation } => self.store_write(node, generation),
            Event::StoreAnswer {
                node,
                generation,
                outcome,
            } => self.store_answer(node, &generation, outcome),
            Event::StoreRead { node, content } => self.store_read(node, content),
            Event::FabricList { node, listed } => self.set_listed(node, listed),
            Event::Timeline { index } => self.timeline_event(index),
            Event::PlannedLeave => self.planned_leave(),
            Event::Sample => self.sample(),
        }
    }

    fn sample(&mut self) {
        self.queue
            .schedule(self.now.after(SAMPLE_PERIOD), Event::Sample);
        self.show_store_to_new_readers();
        for (index, service) in self.experiment.services.iter().enumerate() {
            let active: Vec<&Backend> = self
                .backends
                .iter()
                .filter(|backend| {
                    backend.alive
                        && !backend.draining
                        && backend.service == ServiceIndex(index as u32)
                })
                .collect();
            let flows: Vec<usize> = active.iter().map(|backend| backend.open.len()).collect();
            let backlogs: Vec<usize> = active.iter().map(|backend| backend.backlog()).collect();
            self.measurements
                .sample(self.now, &service.name, &flows, &backlogs);
        }
        self.measurements.sample_nodes(self.now, &self.nodes);
    }

    /// A node that takes a dead reader's place starts with a list of the objects.
    fn show_store_to_new_readers(&mut self) {
        let readers = self.strategy.readers();
        for node in &readers {
            if !self.shown_readers.contains(node) {
                self.show_store_to(*node);
            }
        }
        self.shown_readers = readers;
    }

    fn backend(&mut self, index: BackendIndex) -> &mut Backend {
        &mut self.backends[index.0 as usize]
    }

    fn flow(&mut self, index: FlowIndex) -> &mut Flow {
        &mut self.flows[index.0 as usize]
    }

    fn node(&self, index: NodeIndex) -> &NodeState {
        &self.nodes[index.0 as usize]
    }
}

/// One of several independent streams of a seed.
fn random_stream(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(stream);
    random
}
