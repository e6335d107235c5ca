//! Pacing on a simulated link with a limited rate and a short queue, with senders that have a
//! window and retransmit unacknowledged data.

use crate::support::at;
use bellyoke_core::cookie::link::{
    LinkPacer, MAXIMUM_QUEUED_PACKETS, OutgoingPacket, SendDecision,
};
use bellyoke_core::time::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

const PACKET_BYTES: usize = 1_239;
const WINDOW_PACKETS: u32 = 16;
const INITIAL_TIMEOUT_MS: u64 = 200;
const MAXIMUM_TIMEOUT_MS: u64 = 1_600;

/// Packets of an upload of 80 kB.
const UPLOAD_PACKETS: u32 = 67;

fn bulk(flow: u64, sequence: u32) -> OutgoingPacket {
    OutgoingPacket {
        flow_hash: flow.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        data_sequence: Some(sequence),
        length: PACKET_BYTES,
    }
}

/// Simulated link of the node.
struct SimulatedLink {
    bytes_per_millisecond: f64,
    maximum_wait: f64,
    /// Share of packets that is lost regardless of the load.
    loss: f64,
    free_at: f64,
}

impl SimulatedLink {
    fn new(megabits: f64, maximum_wait: f64, loss: f64) -> Self {
        Self {
            bytes_per_millisecond: megabits * 125.0,
            maximum_wait,
            loss,
            free_at: 0.0,
        }
    }

    /// Returns when the packet arrives, milliseconds; `None` if it is lost.
    fn send(&mut self, now: u64, random: &mut ChaCha8Rng) -> Option<u64> {
        let wait = (self.free_at - now as f64).max(0.0);
        if wait > self.maximum_wait {
            return None;
        }
        self.free_at = now as f64 + wait + PACKET_BYTES as f64 / self.bytes_per_millisecond;
        let lost = random.random_bool(self.loss);
        (!lost).then_some(self.free_at as u64 + 2)
    }
}

/// One upload and its receiver.
struct Upload {
    flow: u64,
    started: u64,
    next: u32,
    acknowledged: u32,
    received: BTreeSet<u32>,
    timeout: u64,
    expires: u64,
}

impl Upload {
    fn new(flow: u64, started: u64) -> Self {
        Self {
            flow,
            started,
            next: 0,
            acknowledged: 0,
            received: BTreeSet::new(),
            timeout: INITIAL_TIMEOUT_MS,
            expires: started + INITIAL_TIMEOUT_MS,
        }
    }

    /// Returns the packets that are sent at `now`.
    fn packets_to_send(&mut self, now: u64) -> Vec<u32> {
        if now >= self.expires {
            self.timeout = (self.timeout * 2).min(MAXIMUM_TIMEOUT_MS);
            self.expires = now + self.timeout;
            self.next = self.acknowledged + 1;
            return vec![self.acknowledged];
        }
        // After a timeout only the first packet is sent until it is acknowledged.
        if self.timeout > INITIAL_TIMEOUT_MS {
            return Vec::new();
        }
        let end = (self.acknowledged + WINDOW_PACKETS).min(UPLOAD_PACKETS);
        let sent = (self.next..end).collect();
        self.next = self.next.max(end);
        sent
    }

    fn receive(&mut self, now: u64, sequence: u32) {
        self.received.insert(sequence);
        let before = self.acknowledged;
        while self.received.contains(&self.acknowledged) {
            self.acknowledged += 1;
        }
        if self.acknowledged > before {
            if self.timeout > INITIAL_TIMEOUT_MS {
                self.next = self.acknowledged;
            }
            self.next = self.next.max(self.acknowledged);
            self.timeout = INITIAL_TIMEOUT_MS;
            self.expires = now + INITIAL_TIMEOUT_MS;
        }
    }
}

/// Result of a simulation.
struct Outcome {
    /// Duration of each upload, milliseconds.
    times: Vec<u64>,
    /// Number of packets that were queued by the pacer.
    queued: u64,
    pacer: LinkPacer<(u64, u32)>,
}

impl Outcome {
    fn mean(&self) -> u64 {
        self.times.iter().sum::<u64>() / self.times.len() as u64
    }
}

/// Simulates uploads that start at the given times, with pacing or without.
fn simulate(mut link: SimulatedLink, starts: &[u64], paced: bool, seed: u64) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut pacer = LinkPacer::default();
    let mut uploads: BTreeMap<u64, Upload> = BTreeMap::new();
    let mut arrivals: BTreeMap<u64, Vec<(u64, u32)>> = BTreeMap::new();
    let mut outcome = Outcome {
        times: Vec::new(),
        queued: 0,
        pacer: LinkPacer::default(),
    };
    for now in 0..90_000 {
        for (flow, _) in starts.iter().enumerate().filter(|(_, at)| **at == now) {
            uploads.insert(flow as u64, Upload::new(flow as u64, now));
        }
        for (flow, sequence) in arrivals.remove(&now).unwrap_or_default() {
            if let Some(upload) = uploads.get_mut(&flow) {
                upload.receive(now, sequence);
                if upload.acknowledged == UPLOAD_PACKETS {
                    outcome.times.push(now - upload.started);
                    uploads.remove(&flow);
                }
            }
        }
        let mut sent = Vec::new();
        while let Some(queued) = pacer.next_due(at(now)) {
            sent.push(queued);
        }
        for upload in uploads.values_mut() {
            for sequence in upload.packets_to_send(now) {
                let packet = bulk(upload.flow, sequence);
                let verdict = match paced {
                    true => pacer.offer(at(now), &packet),
                    false => SendDecision::Now,
                };
                match verdict {
                    SendDecision::Now => sent.push((upload.flow, sequence)),
                    SendDecision::Enqueue => {
                        outcome.queued += 1;
                        pacer.enqueue(packet, (upload.flow, sequence));
                    }
                    SendDecision::Duplicate | SendDecision::QueueFull => {}
                }
            }
        }
        for (flow, sequence) in sent {
            if let Some(arrives_at) = link.send(now, &mut random) {
                arrivals
                    .entry(arrives_at)
                    .or_default()
                    .push((flow, sequence));
            }
        }
    }
    assert_eq!(outcome.times.len(), starts.len(), "all uploads complete");
    outcome.pacer = pacer;
    outcome
}

/// Returns random start times within a minute, with a mean distance.
fn starts(mean_distance: f64, seed: u64) -> Vec<u64> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut starts = Vec::new();
    let mut now = 0.0;
    while now < 60_000.0 {
        now += -mean_distance * random.random_range(1e-9..1.0_f64).ln();
        starts.push(now as u64);
    }
    starts
}

/// Without pacing, windows overflow the short queue of a slow link and are retransmitted. On a link
/// of 2.5 Mbit/s an upload takes 265 ms.
#[test]
fn uploads_on_a_slow_link_are_paced_at_its_rate() {
    for seed in 0..4 {
        let slow_link = || SimulatedLink::new(2.5, 45.0, 0.0);
        let starts = starts(1_650.0, seed);
        let without = simulate(slow_link(), &starts, false, seed).mean();
        let with = simulate(slow_link(), &starts, true, seed).mean();
        assert!(with < 600, "seed {seed}: mean of {with} ms");
        assert!(
            with * 2 < without,
            "seed {seed}: {with} ms, {without} ms without pacing"
        );
    }
}

/// The estimated rate follows links that differ by a factor of a hundred.
#[test]
fn the_rate_is_estimated_from_losses_alone() {
    for (megabits, distance) in [(1.0, 4_000.0), (3.0, 1_400.0), (10.0, 300.0), (100.0, 25.0)] {
        let link = SimulatedLink::new(megabits, 45.0, 0.0);
        let starts = starts(distance, 7);
        let without = simulate(SimulatedLink::new(megabits, 45.0, 0.0), &starts, false, 7).mean();
        let with = simulate(link, &starts, true, 7).mean();
        assert!(
            with <= without,
            "{megabits} Mbit/s: {with} ms, {without} ms without pacing"
        );
    }
}

#[test]
fn no_packet_is_queued_without_losses() {
    let outcome = simulate(
        SimulatedLink::new(1_000.0, 45.0, 0.0),
        &starts(200.0, 1),
        true,
        1,
    );
    assert_eq!(outcome.queued, 0);
    assert_eq!(outcome.pacer.bytes_per_second(), None);
}

/// Losses that aren't caused by the link must not slow uploads down notably.
#[test]
fn random_losses_on_a_fast_link_slow_uploads_little() {
    for seed in 0..4 {
        let lossy_link = || SimulatedLink::new(1_000.0, 45.0, 0.025);
        let starts = starts(500.0, seed);
        let without = simulate(lossy_link(), &starts, false, seed).mean();
        let with = simulate(lossy_link(), &starts, true, seed).mean();
        assert!(
            with * 2 < without * 3,
            "seed {seed}: {with} ms, {without} ms without pacing"
        );
    }
}

/// Returns a pacer that has sent this many packets, four of which were lost.
fn pacer_after_losses(packets: u32) -> LinkPacer<u32> {
    let mut pacer = LinkPacer::default();
    for sequence in 0..packets {
        assert_eq!(pacer.offer(at(0), &bulk(1, sequence)), SendDecision::Now);
    }
    for (milliseconds, sequence) in [(200, 9), (400, 10), (600, 11), (800, 12)] {
        let verdict = pacer.offer(at(milliseconds), &bulk(1, sequence));
        assert_eq!(verdict, SendDecision::Now);
    }
    assert!(pacer.bytes_per_second().is_some());
    pacer
}

fn active_pacer() -> LinkPacer<u32> {
    pacer_after_losses(WINDOW_PACKETS)
}

/// Offers a window and queues the packets that aren't sent at once.
fn offer_window(pacer: &mut LinkPacer<u32>, now: Timestamp, flow: u64) -> usize {
    let mut queued = 0;
    for sequence in 100..100 + WINDOW_PACKETS {
        let packet = bulk(flow, sequence);
        if pacer.offer(now, &packet) == SendDecision::Enqueue {
            pacer.enqueue(packet, sequence);
            queued += 1;
        }
    }
    queued
}

#[test]
fn data_that_arrives_again_soon_is_not_a_loss() {
    let mut pacer = LinkPacer::<()>::default();
    for now in [0, 1, 100] {
        assert_eq!(pacer.offer(at(now), &bulk(1, 5)), SendDecision::Now);
    }
    assert_eq!(pacer.bytes_per_second(), None);
}

#[test]
fn short_packets_and_openings_are_never_queued() {
    let mut pacer = active_pacer();
    assert!(offer_window(&mut pacer, at(810), 1) > 0);
    let acknowledgement = OutgoingPacket {
        flow_hash: 3,
        data_sequence: None,
        length: 39,
    };
    let request = OutgoingPacket {
        data_sequence: Some(1),
        length: 300,
        ..acknowledgement
    };
    for packet in [acknowledgement, request] {
        assert_eq!(pacer.offer(at(810), &packet), SendDecision::Now);
    }
}

#[test]
fn queued_data_is_not_queued_twice() {
    let mut pacer = active_pacer();
    offer_window(&mut pacer, at(810), 1);
    let last = bulk(1, 100 + WINDOW_PACKETS - 1);
    assert_eq!(pacer.offer(at(1_020), &last), SendDecision::Duplicate);
}

/// Pacing that doesn't reduce losses ends, even while packets are queued.
#[test]
fn queued_packets_are_due_at_once_when_pacing_ends() {
    let mut pacer = pacer_after_losses(80);
    let mut now = 2_000;
    while pacer.bytes_per_second().is_some() {
        assert!(now < 100_000, "pacing doesn't end");
        for millisecond in now - 700..now {
            while pacer.next_due(at(millisecond)).is_some() {}
        }
        assert_eq!(pacer.offer(at(now), &bulk(now, 7)), SendDecision::Now);
        offer_window(&mut pacer, at(now + 200), now + 1);
        // The first copy was lost.
        pacer.offer(at(now + 200), &bulk(now, 7));
        now += 1_000;
    }
    assert!(pacer.queued_packets() > 0);
    assert!(pacer.next_due_at().is_some_and(|due_at| due_at <= at(now)));
}

#[test]
fn the_queue_is_bounded_and_keeps_the_order() {
    let mut pacer = active_pacer();
    for flow in 0..40 {
        offer_window(&mut pacer, at(810), flow);
    }
    assert_eq!(pacer.queued_packets(), MAXIMUM_QUEUED_PACKETS);
    let mut sent = Vec::new();
    let mut now = at(810);
    while let Some(due_at) = pacer.next_due_at() {
        assert!(due_at > now, "no packet that was due is left");
        now = due_at.after(std::time::Duration::from_micros(1));
        while let Some(sequence) = pacer.next_due(now) {
            sent.push(sequence);
        }
    }
    assert_eq!(sent.len(), MAXIMUM_QUEUED_PACKETS);
    assert!(
        sent[..8].is_sorted(),
        "the first flow's window is sent in order"
    );
}
