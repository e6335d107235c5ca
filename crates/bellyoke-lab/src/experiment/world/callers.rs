//! Callers: they open flows, send, retransmit and give up as TCP does.

use super::World;
use super::event::Event;
use super::flow::{Ending, Flow, Stage};
use super::packet::{FlowIndex, FlowPacket, PacketKind};
use crate::experiment::settings::Workload;
use crate::experiment::strategy::ServiceIndex;
use bellyoke_core::packet::{FlowKey, Transport};
use bellyoke_core::time::Timestamp;
use rand::RngExt;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

/// First retransmission of a SYN (RFC 6298, 2.1); doubled each time.
const OPENING_TIMEOUT: Duration = Duration::from_secs(1);
/// SYNs sent before a caller gives up.
const OPENING_RETRIES: u8 = 4;
/// First retransmission of a packet of an established flow; doubled each time
/// (RFC 6298, 5.5).
const DATA_TIMEOUT: Duration = Duration::from_millis(300);
/// Retransmissions before a caller takes its flow for broken: it waits for 38 s in total.
/// TCP itself goes on for 100 s at least (RFC 9293, 3.8.3); callers are less patient.
const DATA_RETRIES: u8 = 6;
/// Retransmissions after which a flow that hasn't ended counts as stalled.
const STALLED_RETRIES: u8 = 3;
/// How long a caller waits for the answer to a request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Ports that one caller address uses, above the privileged ones.
const PORTS_A_CALLER: u64 = 60_000;
/// First port of a caller.
const FIRST_PORT: u64 = 1_024;
/// First caller address (RFC 2544 benchmarking range): 198.18.0.0.
const FIRST_CALLER: u32 = 0xC612_0000;

impl World<'_> {
    pub(super) fn schedule_callers(&mut self) {
        let experiment = self.experiment;
        for (service, settings) in experiment.services.iter().enumerate() {
            for (caller, stream) in settings.callers.iter().enumerate() {
                self.schedule_next_arrival(service, caller);
                for _ in 0..stream.open_at_start {
                    let spread = self
                        .caller_random
                        .random_range(0..=Self::start_spread(experiment));
                    let at = Timestamp::from_micros(spread);
                    self.queue.schedule(
                        at,
                        Event::FlowArrives {
                            service,
                            caller: caller + settings.callers.len(),
                        },
                    );
                }
            }
        }
    }

    /// Flows that are open from the start are opened over the first half of the warm-up.
    fn start_spread(experiment: &crate::experiment::settings::Experiment) -> u64 {
        u64::from(experiment.warm_up_seconds) * 1_000_000 / 2
    }

    fn schedule_next_arrival(&mut self, service: usize, caller: usize) {
        let rate = self.experiment.services[service].callers[caller].flows_per_second;
        if rate <= 0.0 {
            return;
        }
        let wait = self.exponential(1_000_000.0 / rate);
        self.queue.schedule(
            self.now.after(Duration::from_micros(wait)),
            Event::FlowArrives { service, caller },
        );
    }

    /// A waiting time by chance with the given mean, microseconds.
    pub(super) fn exponential(&mut self, mean: f64) -> u64 {
        let uniform: f64 = self.caller_random.random_range(f64::EPSILON..1.0);
        (-uniform.ln() * mean) as u64
    }

    pub(super) fn flow_arrives(&mut self, service: usize, caller: usize) {
        let streams = self.experiment.services[service].callers.len();
        if caller < streams {
            self.schedule_next_arrival(service, caller);
        }
        let index = self.create_flow(service, caller % streams);
        self.measurements.opened(self.now, service);
        self.send_opening(index);
    }

    fn create_flow(&mut self, service: usize, caller: usize) -> FlowIndex {
        let stream = &self.experiment.services[service].callers[caller];
        let mean = stream.mean_milliseconds * 1_000.0;
        let (workload, interval) = (stream.workload, stream.packet_interval_milliseconds);
        let length = self.exponential(mean);
        let key = self.next_key(service);
        let flow = Flow {
            service: ServiceIndex(service as u32),
            workload,
            interval_milliseconds: interval,
            key,
            hash: self.hasher.hash(&key),
            backend: None,
            stage: Stage::Opening,
            step: 0,
            retries: 0,
            closes_at: self.now.after(Duration::from_micros(length)),
            work_microseconds: length,
            sent_at: self.now,
            reached_backend: false,
            ran: false,
        };
        self.flows.push(flow);
        FlowIndex(self.flows.len() as u32 - 1)
    }

    fn next_key(&mut self, service: usize) -> FlowKey {
        let number = self.next_key;
        self.next_key += 1;
        let address = FIRST_CALLER + (number / PORTS_A_CALLER) as u32;
        FlowKey {
            transport: Transport::Tcp,
            source: IpAddr::V4(Ipv4Addr::from(address)),
            source_port: (FIRST_PORT + number % PORTS_A_CALLER) as u16,
            destination: service_address(service),
            destination_port: super::store::SERVICE_PORT,
        }
    }

    fn send_opening(&mut self, index: FlowIndex) {
        let packet = self.flow(index).packet(index, PacketKind::Opening);
        self.send_to_fabric(packet, Duration::ZERO);
        let chance = self.experiment.cluster.duplicated_openings_per_million;
        if chance > 0 && self.random.random_range(0..1_000_000) < chance {
            let latest = self.experiment.cluster.duplicate_delay_milliseconds;
            let late = self.random.random_range(0..=latest);
            self.send_to_fabric(packet, Duration::from_millis(late.into()));
        }
        let retries = self.flow(index).retries;
        self.start_timer(index, OPENING_TIMEOUT * (1 << retries.min(5)));
    }

    fn send_to_fabric(&mut self, packet: FlowPacket, late: Duration) {
        let Some(node) = self.spray() else {
            return;
        };
        let delay = self.delays.to_caller(&mut self.random) + late;
        self.queue.schedule(
            self.now.after(delay),
            Event::AtNode {
                node,
                packet,
                relayed: false,
            },
        );
    }

    fn start_timer(&mut self, index: FlowIndex, wait: Duration) {
        let flow = self.flow(index);
        flow.step += 1;
        let step = flow.step;
        self.queue.schedule(
            self.now.after(wait),
            Event::CallerTimer { flow: index, step },
        );
    }

    pub(super) fn caller_timer(&mut self, index: FlowIndex, step: u32) {
        if self.flow(index).step != step {
            return;
        }
        match self.flow(index).stage {
            Stage::Opening => self.retry_opening(index),
            Stage::Idle => self.send_next(index),
            Stage::AwaitingAcknowledgement => self.retry_data(index),
            Stage::AwaitingAnswer => self.end_flow(index, Ending::Broken),
            Stage::Ended => {}
        }
    }

    fn retry_opening(&mut self, index: FlowIndex) {
        let flow = self.flow(index);
        flow.retries += 1;
        if flow.retries > OPENING_RETRIES {
            self.end_flow(index, Ending::Unanswered);
            return;
        }
        self.send_opening(index);
    }

    fn send_next(&mut self, index: FlowIndex) {
        let now = self.now;
        let flow = self.flow(index);
        if flow.workload != Workload::Request && now >= flow.closes_at {
            let packet = flow.packet(index, PacketKind::Closing);
            self.send_to_fabric(packet, Duration::ZERO);
            self.end_flow(index, Ending::Completed);
            return;
        }
        flow.retries = 0;
        flow.sent_at = now;
        self.send_data(index);
    }

    fn send_data(&mut self, index: FlowIndex) {
        let flow = self.flow(index);
        flow.stage = Stage::AwaitingAcknowledgement;
        let packet = flow.packet(index, PacketKind::Data);
        self.send_to_fabric(packet, Duration::ZERO);
        let retries = self.flow(index).retries;
        self.start_timer(index, DATA_TIMEOUT * (1 << retries.min(DATA_RETRIES)));
    }

    fn retry_data(&mut self, index: FlowIndex) {
        let flow = self.flow(index);
        flow.retries += 1;
        if flow.retries > DATA_RETRIES {
            self.end_flow(index, Ending::Broken);
            return;
        }
        self.send_data(index);
    }

    /// The backend's SYN+ACK is on its way to the caller.
    pub(super) fn established(&mut self, index: FlowIndex) {
        let delay = self.delays.to_caller(&mut self.random);
        self.flow(index).stage = Stage::Idle;
        self.flow(index).retries = 0;
        self.start_timer(index, delay);
    }

    /// The backend's acknowledgement is on its way to the caller.
    pub(super) fn acknowledged(&mut self, index: FlowIndex) {
        let interval = Duration::from_millis(self.flow(index).interval_milliseconds.into());
        self.flow(index).stage = Stage::Idle;
        self.start_timer(index, interval);
    }

    /// The request was taken: the caller waits for its answer.
    pub(super) fn awaits_answer(&mut self, index: FlowIndex) {
        self.flow(index).stage = Stage::AwaitingAnswer;
        self.start_timer(index, ANSWER_TIMEOUT);
    }

    /// Flows that get no answer, not yet given up.
    pub(super) fn stalled_flows(&self) -> u64 {
        let flows = self.flows.iter();
        let stalled = flows.filter(|flow| {
            flow.stage == Stage::AwaitingAcknowledgement && flow.retries >= STALLED_RETRIES
        });
        stalled.count() as u64
    }

    /// Ends a flow. If it was open at a backend, that forgets it.
    pub(super) fn end_flow(&mut self, index: FlowIndex, ending: Ending) {
        if self.flow(index).stage == Stage::Ended {
            return;
        }
        let now = self.now;
        let flow = self.flow(index);
        flow.stage = Stage::Ended;
        flow.step += 1;
        let backend = flow.backend;
        let service = flow.service;
        let opened_falsely = ending == Ending::Refused && flow.reached_backend;
        let ending = match backend {
            Some(backend) if ending == Ending::Broken && !self.backend(backend).alive => {
                Ending::LostWithBackend
            }
            _ => ending,
        };
        if ending == Ending::Broken {
            let (at, flow) = (now.as_micros(), self.flow(index));
            tracing::debug!(at, flow = index.0, hash = ?flow.hash, ?backend, retries = flow.retries, "broken");
        }
        if let Some(backend) = backend {
            self.backend(backend).close(index);
        }
        if opened_falsely {
            self.measurements.false_not_run();
        }
        self.measurements.ended(now, service.0 as usize, ending);
    }
}

/// Address of a service in the world (RFC 5737 TEST-NET-1 and on).
#[must_use]
pub fn service_address(service: usize) -> IpAddr {
    const FIRST_SERVICE: u32 = 0xC000_0200;
    IpAddr::V4(Ipv4Addr::from(FIRST_SERVICE + service as u32))
}
