//! Outcomes of requests, inferred from their clients' packets.

use crate::support::{SERVICE, at, configuration, later, node, of_service, record};
use bellyoke_core::cookie::answers::{
    AnswerMonitor, AnswerOutcome, AnswerQuality, ClassifiedSample,
};
use bellyoke_core::cookie::flows::FlowTable;
use bellyoke_core::cookie::instance::{Cookie, InstanceId};
use bellyoke_core::cookie::packet::{FlowPacket, PacketRole};
use bellyoke_core::cookie::revision::Revision;
use bellyoke_core::cookie::table::ForwardingTable;
use std::time::Duration;

/// Bytes of a request.
const REQUEST_BYTES: u16 = 200;

/// A node that monitors answers, with the packets of its flows.
struct MonitoredNode {
    table: ForwardingTable,
    flows: FlowTable,
    monitor: AnswerMonitor,
    now: u64,
    samples: Vec<ClassifiedSample>,
}

impl MonitoredNode {
    fn new() -> Self {
        let mut replica = node(Vec::new());
        replica.replace_instances(
            at(0),
            Revision::new(11),
            (1..=3).map(|id| record(id, 11)).collect(),
        );
        Self {
            table: replica.table(),
            flows: FlowTable::new(10_000, Duration::from_secs(15)),
            monitor: AnswerMonitor::default(),
            now: 1_000,
            samples: Vec::new(),
        }
    }

    fn packet(&mut self, packet: &FlowPacket) {
        let (now, cookie) = (at(self.now), packet.cookie.unwrap());
        let hash = packet.flow.hash();
        let record = self.flows.record_packet(now, hash, packet, cookie);
        let sample = self.monitor.observe(now, &self.table, hash, packet, record);
        self.samples.extend(sample);
    }

    /// Advances the time, with a review every 100 ms.
    fn advance(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds {
            self.now += 1;
            if self.now.is_multiple_of(100) {
                let classified = self
                    .monitor
                    .review(at(self.now), &self.table, &mut self.flows);
                self.samples.extend(classified);
            }
        }
    }

    /// A flow with one request, answered after `after` with packets of these lengths, 1 ms apart.
    fn request(&mut self, number: u32, after: u64, lengths: &[u32]) {
        self.packet(&request_packet(number, 1, 500));
        self.advance(after);
        let mut acknowledged = 500;
        for length in lengths {
            acknowledged += length;
            self.packet(&acknowledgement(number, acknowledged));
            self.advance(1);
        }
        self.packet(&FlowPacket {
            closes: true,
            ..acknowledgement(number, acknowledged)
        });
    }

    fn take(&mut self) -> Vec<ClassifiedSample> {
        std::mem::take(&mut self.samples)
    }

    /// Flows that are answered after about 50 ms with about 4,000 bytes.
    fn learn(&mut self) {
        for number in 0..64 {
            let scatter = number % 16;
            self.request(
                number,
                40 + u64::from(scatter),
                &[1_200, 1_200, 800 + scatter * 100],
            );
        }
        self.take();
    }
}

fn cookie() -> Cookie {
    Cookie::of(InstanceId(1))
}

fn acknowledgement(number: u32, acknowledged: u32) -> FlowPacket {
    FlowPacket {
        acknowledged,
        ..later(number, cookie())
    }
}

fn request_packet(number: u32, sequence: u32, acknowledged: u32) -> FlowPacket {
    FlowPacket {
        data_sequence: Some(sequence),
        data_length: REQUEST_BYTES,
        ..acknowledgement(number, acknowledged)
    }
}

#[test]
fn a_sample_has_the_time_and_length_of_the_answer() {
    let mut monitored = MonitoredNode::new();
    monitored.request(1, 40, &[1_200, 400]);
    let samples = monitored.take();
    let after = Duration::from_millis(40);
    let expected = AnswerOutcome::Answered {
        after,
        bytes: 1_600,
    };
    assert_eq!(samples[0].sample.outcome, expected);
    assert_eq!(samples.len(), 1);
}

#[test]
fn a_much_shorter_answer_than_normal_is_a_failure() {
    let mut monitored = MonitoredNode::new();
    monitored.learn();
    monitored.request(900, 5, &[180]);
    let samples = monitored.take();
    let after = Duration::from_millis(5);
    assert_eq!(samples[0].sample.outcome, AnswerOutcome::Short { after });
    assert_eq!(samples[0].quality, AnswerQuality::Failed);
}

#[test]
fn an_overdue_request_is_reported_exactly_once() {
    let mut monitored = MonitoredNode::new();
    monitored.learn();
    monitored.packet(&request_packet(900, 1, 500));
    monitored.advance(200);
    assert_eq!(monitored.take(), []);
    monitored.advance(400);
    let samples = monitored.take();
    assert_eq!(samples.len(), 1);
    assert_eq!(samples[0].quality, AnswerQuality::Failed);
    assert!(matches!(
        samples[0].sample.outcome,
        AnswerOutcome::Unanswered { .. }
    ));
    // The client gives up.
    monitored.packet(&FlowPacket {
        closes: true,
        ..acknowledgement(900, 500)
    });
    monitored.advance(1_000);
    assert_eq!(monitored.take(), []);
}

#[test]
fn a_much_later_answer_than_normal_is_slow() {
    let mut monitored = MonitoredNode::new();
    monitored.learn();
    monitored.request(900, 300, &[1_200, 1_200, 800]);
    assert_eq!(monitored.take()[0].quality, AnswerQuality::Slow);
}

#[test]
fn duplicate_and_reordered_packets_are_no_requests() {
    let mut monitored = MonitoredNode::new();
    monitored.packet(&request_packet(1, 1 + u32::from(REQUEST_BYTES), 500));
    monitored.packet(&request_packet(1, 1, 500));
    monitored.advance(30);
    monitored.packet(&acknowledgement(1, 2_900));
    monitored.packet(&acknowledgement(1, 1_700));
    monitored.packet(&request_packet(1, 1, 500));
    monitored.advance(500);
    let samples = monitored.take();
    let after = Duration::from_millis(30);
    assert_eq!(samples.len(), 1);
    assert_eq!(
        samples[0].sample.outcome,
        AnswerOutcome::Answered {
            after,
            bytes: 2_400
        }
    );
}

#[test]
fn the_next_request_on_a_flow_acknowledges_the_last_answer() {
    let mut monitored = MonitoredNode::new();
    monitored.packet(&request_packet(1, 1, 500));
    monitored.advance(30);
    monitored.packet(&request_packet(1, 201, 1_300));
    monitored.advance(60);
    monitored.packet(&acknowledgement(1, 1_900));
    monitored.advance(400);
    let lengths: Vec<u32> = monitored
        .take()
        .iter()
        .filter_map(|classified| match classified.sample.outcome {
            AnswerOutcome::Answered { bytes, .. } => Some(bytes),
            _ => None,
        })
        .collect();
    assert_eq!(lengths, [800, 600]);
}

#[test]
fn answers_of_varying_lengths_are_no_failures() {
    let mut monitored = MonitoredNode::new();
    // Log-normal with a median of 80 kB, up to 1.8 standard deviations of 0.6.
    for number in 0_u32..400 {
        let deviation = f64::from(number.wrapping_mul(2_654_435_761) % 3_600) / 1_000.0 - 1.8;
        let length = (80_000.0 * (0.6 * deviation).exp()) as u32;
        monitored.request(number, 8 + u64::from(number % 9), &[2_400, length - 2_400]);
    }
    let failed = monitored.take();
    let failed = failed
        .iter()
        .filter(|classified| classified.quality != AnswerQuality::Normal);
    assert!(failed.count() <= 4, "at most one in a hundred");
}

#[test]
fn a_long_stream_is_no_failure() {
    let mut monitored = MonitoredNode::new();
    monitored.learn();
    monitored.packet(&request_packet(900, 1, 500));
    monitored.advance(50);
    for event in 1..=100 {
        monitored.packet(&acknowledgement(900, 500 + event * 700));
        monitored.advance(90);
    }
    monitored.advance(500);
    let samples = monitored.take();
    assert_eq!(samples.len(), 1);
    assert_eq!(samples[0].quality, AnswerQuality::Normal);
}

#[test]
fn streams_that_pause_between_events_are_no_failures() {
    let mut monitored = MonitoredNode::new();
    for number in 0..100 {
        monitored.packet(&request_packet(number, 1, 500));
        monitored.advance(20 + u64::from(number % 10));
        for event in 1..=5 {
            monitored.packet(&acknowledgement(
                number,
                500 + event * (500 + number % 7 * 40),
            ));
            monitored.advance(400);
        }
    }
    let samples = monitored.take();
    let normal = |classified: &&ClassifiedSample| classified.quality == AnswerQuality::Normal;
    assert_eq!(samples.iter().filter(normal).count(), 100);
    assert_eq!(samples.len(), 100);
}

#[test]
fn an_upload_in_progress_is_not_overdue() {
    let mut monitored = MonitoredNode::new();
    monitored.learn();
    for part in 0..100 {
        monitored.packet(&request_packet(
            900,
            1 + part * u32::from(REQUEST_BYTES),
            500,
        ));
        monitored.advance(20);
    }
    monitored.advance(40);
    monitored.packet(&acknowledgement(900, 4_500));
    monitored.advance(300);
    let samples = monitored.take();
    assert_eq!(samples.len(), 1);
    assert_eq!(samples[0].quality, AnswerQuality::Normal);
}

#[test]
fn an_aborted_request_is_no_failure() {
    let mut monitored = MonitoredNode::new();
    monitored.learn();
    monitored.packet(&request_packet(900, 1, 500));
    monitored.advance(100);
    monitored.packet(&FlowPacket {
        role: PacketRole::Abort,
        ..acknowledgement(900, 500)
    });
    monitored.advance(2_000);
    assert_eq!(monitored.take(), []);
}

#[test]
fn requests_on_redistributed_flows_are_no_failures() {
    let mut monitored = MonitoredNode::new();
    monitored.learn();
    monitored.packet(&request_packet(900, 1, 500));
    for _ in 0..3 {
        monitored.advance(60);
        monitored.monitor.record_moved_flow(at(monitored.now));
    }
    monitored.advance(1_000);
    assert_eq!(monitored.take(), []);
    // Later requests count again, and a single flow without a record changes nothing.
    monitored.packet(&request_packet(901, 1, 500));
    monitored.advance(50);
    monitored.monitor.record_moved_flow(at(monitored.now));
    monitored.advance(600);
    assert_eq!(monitored.take().len(), 1);
}

#[test]
fn requests_under_way_during_a_stall_are_no_failures() {
    let mut monitored = MonitoredNode::new();
    monitored.learn();
    monitored.packet(&request_packet(900, 1, 500));
    monitored.monitor.forget_requests(&mut monitored.flows);
    monitored.advance(2_000);
    assert_eq!(monitored.take(), []);
}

#[test]
fn a_lasting_change_of_answers_becomes_normal() {
    let mut monitored = MonitoredNode::new();
    monitored.learn();
    for number in 100..300 {
        monitored.request(number, 50, &[400]);
    }
    let samples = monitored.take();
    assert_eq!(samples[0].quality, AnswerQuality::Failed);
    let last = samples.last().unwrap();
    assert_eq!(
        last.quality,
        AnswerQuality::Normal,
        "the new lengths are learned"
    );
}

#[test]
fn each_service_of_a_route_has_its_own_baseline() {
    let mut replica = node(Vec::new());
    replica.adopt_configuration(configuration(2, &[("till", 1), ("stock", 1)]));
    let instances = vec![record(1, 11), of_service("stock", record(2, 11))];
    replica.replace_instances(at(0), Revision::new(11), instances);
    let mut monitored = MonitoredNode::new();
    monitored.table = replica.table();
    assert!(monitored.table.route(SERVICE).is_some());
    monitored.learn();
    let other = Cookie::of(InstanceId(2));
    for (sequence, acknowledged, milliseconds) in [(Some(1), 500, 20), (None, 680, 300)] {
        monitored.packet(&FlowPacket {
            cookie: Some(other),
            data_sequence: sequence,
            data_length: REQUEST_BYTES,
            ..acknowledgement(900, acknowledged)
        });
        monitored.advance(milliseconds);
    }
    let samples = monitored.take();
    assert_eq!(samples[0].sample.cookie, other);
    assert_eq!(
        samples[0].quality,
        AnswerQuality::Normal,
        "the other service has no baseline"
    );
}
