//! What became of requests, as far as their clients' packets tell.

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
const REQUEST: u16 = 200;

/// A node that watches answers, and the packets of its flows.
struct Watcher {
    table: ForwardingTable,
    flows: FlowTable,
    monitor: AnswerMonitor,
    now: u64,
    samples: Vec<ClassifiedSample>,
}

impl Watcher {
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

    /// Lets time pass, with a review each 100 ms.
    fn pass(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds {
            self.now += 1;
            if self.now.is_multiple_of(100) {
                let judged = self
                    .monitor
                    .review(at(self.now), &self.table, &mut self.flows);
                self.samples.extend(judged);
            }
        }
    }

    /// A flow with one request, answered after `after` with packets of these lengths, 1 ms apart.
    fn request(&mut self, number: u32, after: u64, lengths: &[u32]) {
        self.packet(&asks(number, 1, 500));
        self.pass(after);
        let mut acknowledged = 500;
        for length in lengths {
            acknowledged += length;
            self.packet(&acknowledges(number, acknowledged));
            self.pass(1);
        }
        self.packet(&FlowPacket {
            closes: true,
            ..acknowledges(number, acknowledged)
        });
    }

    fn take(&mut self) -> Vec<ClassifiedSample> {
        std::mem::take(&mut self.samples)
    }

    /// Flows answered after about 50 ms with about 4,000 bytes.
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

fn acknowledges(number: u32, acknowledged: u32) -> FlowPacket {
    FlowPacket {
        acknowledged,
        ..later(number, cookie())
    }
}

fn asks(number: u32, sequence: u32, acknowledged: u32) -> FlowPacket {
    FlowPacket {
        data_sequence: Some(sequence),
        data_length: REQUEST,
        ..acknowledges(number, acknowledged)
    }
}

#[test]
fn an_answer_tells_its_time_and_length() {
    let mut watcher = Watcher::new();
    watcher.request(1, 40, &[1_200, 400]);
    let samples = watcher.take();
    let after = Duration::from_millis(40);
    let expected = AnswerOutcome::Answered {
        after,
        bytes: 1_600,
    };
    assert_eq!(samples[0].sample.outcome, expected);
    assert_eq!(samples.len(), 1);
}

#[test]
fn a_much_shorter_answer_than_usual_is_a_failure() {
    let mut watcher = Watcher::new();
    watcher.learn();
    watcher.request(900, 5, &[180]);
    let samples = watcher.take();
    let after = Duration::from_millis(5);
    assert_eq!(samples[0].sample.outcome, AnswerOutcome::Short { after });
    assert_eq!(samples[0].quality, AnswerQuality::Failed);
}

#[test]
fn a_request_without_any_answer_is_told_once_it_is_overdue_and_once_only() {
    let mut watcher = Watcher::new();
    watcher.learn();
    watcher.packet(&asks(900, 1, 500));
    watcher.pass(200);
    assert_eq!(watcher.take(), []);
    watcher.pass(400);
    let samples = watcher.take();
    assert_eq!(samples.len(), 1);
    assert_eq!(samples[0].quality, AnswerQuality::Failed);
    assert!(matches!(
        samples[0].sample.outcome,
        AnswerOutcome::Unanswered { .. }
    ));
    // The client gives up.
    watcher.packet(&FlowPacket {
        closes: true,
        ..acknowledges(900, 500)
    });
    watcher.pass(1_000);
    assert_eq!(watcher.take(), []);
}

#[test]
fn an_answer_far_later_than_usual_is_slow() {
    let mut watcher = Watcher::new();
    watcher.learn();
    watcher.request(900, 300, &[1_200, 1_200, 800]);
    assert_eq!(watcher.take()[0].quality, AnswerQuality::Slow);
}

#[test]
fn copies_and_overtaken_packets_are_no_requests() {
    let mut watcher = Watcher::new();
    watcher.packet(&asks(1, 1 + u32::from(REQUEST), 500));
    watcher.packet(&asks(1, 1, 500));
    watcher.pass(30);
    watcher.packet(&acknowledges(1, 2_900));
    watcher.packet(&acknowledges(1, 1_700));
    watcher.packet(&asks(1, 1, 500));
    watcher.pass(500);
    let samples = watcher.take();
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
fn the_next_request_on_a_flow_acknowledges_what_was_answered_last() {
    let mut watcher = Watcher::new();
    watcher.packet(&asks(1, 1, 500));
    watcher.pass(30);
    watcher.packet(&asks(1, 201, 1_300));
    watcher.pass(60);
    watcher.packet(&acknowledges(1, 1_900));
    watcher.pass(400);
    let lengths: Vec<u32> = watcher
        .take()
        .iter()
        .filter_map(|judged| match judged.sample.outcome {
            AnswerOutcome::Answered { bytes, .. } => Some(bytes),
            _ => None,
        })
        .collect();
    assert_eq!(lengths, [800, 600]);
}

#[test]
fn files_of_lengths_that_vary_by_nature_raise_no_alarm() {
    let mut watcher = Watcher::new();
    // Log-normal about 80 kB, as far out as 1.8 standard deviations of 0.6.
    for number in 0_u32..400 {
        let deviation = f64::from(number.wrapping_mul(2_654_435_761) % 3_600) / 1_000.0 - 1.8;
        let length = (80_000.0 * (0.6 * deviation).exp()) as u32;
        watcher.request(number, 8 + u64::from(number % 9), &[2_400, length - 2_400]);
    }
    let failed = watcher.take();
    let failed = failed
        .iter()
        .filter(|judged| judged.quality != AnswerQuality::Normal);
    assert!(failed.count() <= 4, "one in a hundred at most");
}

#[test]
fn a_stream_that_goes_on_for_long_raises_no_alarm() {
    let mut watcher = Watcher::new();
    watcher.learn();
    watcher.packet(&asks(900, 1, 500));
    watcher.pass(50);
    for event in 1..=100 {
        watcher.packet(&acknowledges(900, 500 + event * 700));
        watcher.pass(90);
    }
    watcher.pass(500);
    let samples = watcher.take();
    assert_eq!(samples.len(), 1);
    assert_eq!(samples[0].quality, AnswerQuality::Normal);
}

#[test]
fn streams_that_rest_between_events_raise_no_alarm() {
    let mut watcher = Watcher::new();
    for number in 0..100 {
        watcher.packet(&asks(number, 1, 500));
        watcher.pass(20 + u64::from(number % 10));
        for event in 1..=5 {
            watcher.packet(&acknowledges(number, 500 + event * (500 + number % 7 * 40)));
            watcher.pass(400);
        }
    }
    let samples = watcher.take();
    let usual = |judged: &&ClassifiedSample| judged.quality == AnswerQuality::Normal;
    assert_eq!(samples.iter().filter(usual).count(), 100);
    assert_eq!(samples.len(), 100);
}

#[test]
fn an_upload_is_not_overdue_while_it_goes_on() {
    let mut watcher = Watcher::new();
    watcher.learn();
    for part in 0..100 {
        watcher.packet(&asks(900, 1 + part * u32::from(REQUEST), 500));
        watcher.pass(20);
    }
    watcher.pass(40);
    watcher.packet(&acknowledges(900, 4_500));
    watcher.pass(300);
    let samples = watcher.take();
    assert_eq!(samples.len(), 1);
    assert_eq!(samples[0].quality, AnswerQuality::Normal);
}

#[test]
fn a_client_that_loses_interest_blames_nobody() {
    let mut watcher = Watcher::new();
    watcher.learn();
    watcher.packet(&asks(900, 1, 500));
    watcher.pass(100);
    watcher.packet(&FlowPacket {
        role: PacketRole::Abort,
        ..acknowledges(900, 500)
    });
    watcher.pass(2_000);
    assert_eq!(watcher.take(), []);
}

#[test]
fn flows_that_routers_sent_to_other_nodes_blame_nobody() {
    let mut watcher = Watcher::new();
    watcher.learn();
    watcher.packet(&asks(900, 1, 500));
    for _ in 0..3 {
        watcher.pass(60);
        watcher.monitor.record_moved_flow(at(watcher.now));
    }
    watcher.pass(1_000);
    assert_eq!(watcher.take(), []);
    // What is asked afterwards counts again, and one forgotten flow changes nothing.
    watcher.packet(&asks(901, 1, 500));
    watcher.pass(50);
    watcher.monitor.record_moved_flow(at(watcher.now));
    watcher.pass(600);
    assert_eq!(watcher.take().len(), 1);
}

#[test]
fn a_node_that_stood_still_blames_nobody() {
    let mut watcher = Watcher::new();
    watcher.learn();
    watcher.packet(&asks(900, 1, 500));
    watcher.monitor.forget_requests(&mut watcher.flows);
    watcher.pass(2_000);
    assert_eq!(watcher.take(), []);
}

#[test]
fn where_most_answers_change_they_are_the_usual_ones() {
    let mut watcher = Watcher::new();
    watcher.learn();
    for number in 100..300 {
        watcher.request(number, 50, &[400]);
    }
    let samples = watcher.take();
    assert_eq!(samples[0].quality, AnswerQuality::Failed);
    let last = samples.last().unwrap();
    assert_eq!(last.quality, AnswerQuality::Normal, "learned by now");
}

#[test]
fn services_behind_one_route_are_compared_with_themselves() {
    let mut replica = node(Vec::new());
    replica.adopt_configuration(configuration(2, &[("till", 1), ("stock", 1)]));
    let instances = vec![record(1, 11), of_service("stock", record(2, 11))];
    replica.replace_instances(at(0), Revision::new(11), instances);
    let mut watcher = Watcher::new();
    watcher.table = replica.table();
    assert!(watcher.table.route(SERVICE).is_some());
    watcher.learn();
    let other = Cookie::of(InstanceId(2));
    for (sequence, acknowledged, passes) in [(Some(1), 500, 20), (None, 680, 300)] {
        watcher.packet(&FlowPacket {
            cookie: Some(other),
            data_sequence: sequence,
            data_length: REQUEST,
            ..acknowledges(900, acknowledged)
        });
        watcher.pass(passes);
    }
    let samples = watcher.take();
    assert_eq!(samples[0].sample.cookie, other);
    assert_eq!(
        samples[0].quality,
        AnswerQuality::Normal,
        "nothing is known of it"
    );
}
