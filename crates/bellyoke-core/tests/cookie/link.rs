//! Pacing at the node's own link, against a link with a rate and a short queue, and senders with a
//! window that repeat what is not acknowledged.

use crate::support::at;
use bellyoke_core::cookie::link::{
    LinkPacer, MAXIMUM_QUEUED_PACKETS, OutgoingPacket, SendDecision,
};
use bellyoke_core::time::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

const LENGTH: usize = 1_239;
const WINDOW: u32 = 16;
const FIRST_TIMEOUT: u64 = 200;
const LONGEST_TIMEOUT: u64 = 1_600;

/// An upload of 80 kB.
const PACKETS: u32 = 67;

fn bulk(flow: u64, sequence: u32) -> OutgoingPacket {
    OutgoingPacket {
        flow_hash: flow.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        data_sequence: Some(sequence),
        length: LENGTH,
    }
}

/// The link of the node.
struct ThinLink {
    bytes_per_millisecond: f64,
    longest_wait: f64,
    /// Share that is lost anyhow.
    loss: f64,
    free_at: f64,
}

impl ThinLink {
    fn new(megabits: f64, longest_wait: f64, loss: f64) -> Self {
        Self {
            bytes_per_millisecond: megabits * 125.0,
            longest_wait,
            loss,
            free_at: 0.0,
        }
    }

    /// When the packet arrives, milliseconds.
    fn send(&mut self, now: u64, random: &mut ChaCha8Rng) -> Option<u64> {
        let waits = (self.free_at - now as f64).max(0.0);
        if waits > self.longest_wait {
            return None;
        }
        self.free_at = now as f64 + waits + LENGTH as f64 / self.bytes_per_millisecond;
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
            timeout: FIRST_TIMEOUT,
            expires: started + FIRST_TIMEOUT,
        }
    }

    /// What it puts on the wire now.
    fn packets(&mut self, now: u64) -> Vec<u32> {
        if now >= self.expires {
            self.timeout = (self.timeout * 2).min(LONGEST_TIMEOUT);
            self.expires = now + self.timeout;
            self.next = self.acknowledged + 1;
            return vec![self.acknowledged];
        }
        // After a time-out only the first is sent until it is acknowledged.
        if self.timeout > FIRST_TIMEOUT {
            return Vec::new();
        }
        let end = (self.acknowledged + WINDOW).min(PACKETS);
        let sent = (self.next..end).collect();
        self.next = self.next.max(end);
        sent
    }

    fn arrives(&mut self, now: u64, sequence: u32) {
        self.received.insert(sequence);
        let before = self.acknowledged;
        while self.received.contains(&self.acknowledged) {
            self.acknowledged += 1;
        }
        if self.acknowledged > before {
            if self.timeout > FIRST_TIMEOUT {
                self.next = self.acknowledged;
            }
            self.next = self.next.max(self.acknowledged);
            self.timeout = FIRST_TIMEOUT;
            self.expires = now + FIRST_TIMEOUT;
        }
    }
}

/// How a run went.
struct Outcome {
    /// Time of each upload, milliseconds.
    times: Vec<u64>,
    /// Packets that were held back.
    held: u64,
    pacer: LinkPacer<(u64, u32)>,
}

impl Outcome {
    fn mean(&self) -> u64 {
        self.times.iter().sum::<u64>() / self.times.len() as u64
    }
}

/// Plays uploads that start at some times, with pacing or without, for a minute.
fn play(mut link: ThinLink, starts: &[u64], paced: bool, seed: u64) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut pacer = LinkPacer::default();
    let mut uploads: BTreeMap<u64, Upload> = BTreeMap::new();
    let mut arrivals: BTreeMap<u64, Vec<(u64, u32)>> = BTreeMap::new();
    let mut outcome = Outcome {
        times: Vec::new(),
        held: 0,
        pacer: LinkPacer::default(),
    };
    for now in 0..90_000 {
        for (flow, _) in starts.iter().enumerate().filter(|(_, at)| **at == now) {
            uploads.insert(flow as u64, Upload::new(flow as u64, now));
        }
        for (flow, sequence) in arrivals.remove(&now).unwrap_or_default() {
            if let Some(upload) = uploads.get_mut(&flow) {
                upload.arrives(now, sequence);
                if upload.acknowledged == PACKETS {
                    outcome.times.push(now - upload.started);
                    uploads.remove(&flow);
                }
            }
        }
        let mut goes = Vec::new();
        while let Some(held) = pacer.next_due(at(now)) {
            goes.push(held);
        }
        for upload in uploads.values_mut() {
            for sequence in upload.packets(now) {
                let packet = bulk(upload.flow, sequence);
                let verdict = match paced {
                    true => pacer.offer(at(now), &packet),
                    false => SendDecision::Now,
                };
                match verdict {
                    SendDecision::Now => goes.push((upload.flow, sequence)),
                    SendDecision::Enqueue => {
                        outcome.held += 1;
                        pacer.enqueue(packet, (upload.flow, sequence));
                    }
                    SendDecision::Duplicate | SendDecision::QueueFull => {}
                }
            }
        }
        for (flow, sequence) in goes {
            if let Some(arrives) = link.send(now, &mut random) {
                arrivals.entry(arrives).or_default().push((flow, sequence));
            }
        }
    }
    assert_eq!(outcome.times.len(), starts.len(), "all uploads end");
    outcome.pacer = pacer;
    outcome
}

/// Random starts at a mean distance, for a minute.
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

/// An upload takes 265 ms of a link of 2.5 Mbit/s.
#[test]
fn uploads_on_a_thin_link_are_paced_at_its_rate() {
    for seed in 0..4 {
        let thin = || ThinLink::new(2.5, 45.0, 0.0);
        let starts = starts(1_650.0, seed);
        let without = play(thin(), &starts, false, seed).mean();
        let with = play(thin(), &starts, true, seed).mean();
        assert!(with < 600, "seed {seed}: {with} ms in the mean");
        assert!(with * 2 < without, "seed {seed}: {with}, {without} without");
    }
}

/// The learned rate follows links that differ by a hundred times.
#[test]
fn the_rate_is_learned_from_nothing_but_losses() {
    for (megabits, distance) in [(1.0, 4_000.0), (3.0, 1_400.0), (10.0, 300.0), (100.0, 25.0)] {
        let link = ThinLink::new(megabits, 45.0, 0.0);
        let starts = starts(distance, 7);
        let without = play(ThinLink::new(megabits, 45.0, 0.0), &starts, false, 7).mean();
        let with = play(link, &starts, true, 7).mean();
        assert!(
            with <= without,
            "{megabits} Mbit/s: {with}, {without} without"
        );
    }
}

#[test]
fn nothing_is_held_back_where_nothing_is_lost() {
    let outcome = play(
        ThinLink::new(1_000.0, 45.0, 0.0),
        &starts(200.0, 1),
        true,
        1,
    );
    assert_eq!(outcome.held, 0);
    assert_eq!(outcome.pacer.bytes_per_second(), None);
}

/// Losses that have nothing to do with the link.
#[test]
fn random_losses_on_a_wide_link_slow_little() {
    for seed in 0..4 {
        let lossy = || ThinLink::new(1_000.0, 45.0, 0.025);
        let starts = starts(500.0, seed);
        let without = play(lossy(), &starts, false, seed).mean();
        let with = play(lossy(), &starts, true, seed).mean();
        assert!(
            with * 2 < without * 3,
            "seed {seed}: {with} ms, {without} without"
        );
    }
}

/// A pacer that has sent so many packets and seen four of them lost.
fn paced_after(packets: u32) -> LinkPacer<u32> {
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

fn paced() -> LinkPacer<u32> {
    paced_after(WINDOW)
}

/// Offers a window and holds what goes later.
fn offer_window(pacer: &mut LinkPacer<u32>, now: Timestamp, flow: u64) -> usize {
    let mut held = 0;
    for sequence in 100..100 + WINDOW {
        let packet = bulk(flow, sequence);
        if pacer.offer(now, &packet) == SendDecision::Enqueue {
            pacer.enqueue(packet, sequence);
            held += 1;
        }
    }
    held
}

#[test]
fn data_that_comes_again_soon_is_no_loss() {
    let mut pacer = LinkPacer::<()>::default();
    for now in [0, 1, 100] {
        assert_eq!(pacer.offer(at(now), &bulk(1, 5)), SendDecision::Now);
    }
    assert_eq!(pacer.bytes_per_second(), None);
}

#[test]
fn short_packets_and_openings_never_wait() {
    let mut pacer = paced();
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
fn data_that_waits_already_is_not_sent_twice() {
    let mut pacer = paced();
    offer_window(&mut pacer, at(810), 1);
    let last = bulk(1, 100 + WINDOW - 1);
    assert_eq!(pacer.offer(at(1_020), &last), SendDecision::Duplicate);
}

/// Losses that pacing doesn't make rarer end it, whatever waits then.
#[test]
fn what_is_held_goes_at_once_when_pacing_ends() {
    let mut pacer = paced_after(80);
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
    assert!(
        pacer
            .next_due_at()
            .is_some_and(|next_at| next_at <= at(now))
    );
}

#[test]
fn what_waits_is_bounded_and_goes_in_order() {
    let mut pacer = paced();
    for flow in 0..40 {
        offer_window(&mut pacer, at(810), flow);
    }
    assert_eq!(pacer.queued_packets(), MAXIMUM_QUEUED_PACKETS);
    let mut sent = Vec::new();
    let mut now = at(810);
    while let Some(next_at) = pacer.next_due_at() {
        assert!(next_at > now, "nothing is due that was not sent");
        now = next_at.after(std::time::Duration::from_micros(1));
        while let Some(sequence) = pacer.next_due(now) {
            sent.push(sequence);
        }
    }
    assert_eq!(sent.len(), MAXIMUM_QUEUED_PACKETS);
    assert!(
        sent[..8].is_sorted(),
        "the first flow's window in its order"
    );
}
