//! Pacing of bulk data on the node's own link.
//!
//! Senders of bulk data send a whole window at once. A node on a low-bandwidth link would forward
//! it as fast, and the link drops the packets that exceed its short queue. The sender then waits
//! for its retransmission timeout and sends the window again, most of which is dropped again. A
//! node isn't configured with the rate of its link, but data that arrives a second time was lost:
//! [`losses`] detects such losses, [`rate`] estimates the link rate from them, and [`LinkPacer`]
//! spreads bulk data over time at this rate, with a bounded queue. Nothing is paced before losses
//! occur. Short packets (openings, acknowledgements, short requests) are never delayed.

pub mod losses;
pub mod rate;

use crate::time::Timestamp;
use losses::LossDetector;
use rate::LinkRate;
use std::collections::VecDeque;
use std::time::Duration;

/// Minimum length of bulk packets, bytes. Shorter packets are never delayed, and their loss is no
/// evidence about the link.
pub const BULK_MINIMUM_BYTES: usize = 1_000;

/// Data that may be sent at once after a pause, bytes: a few full packets.
const BURST_ALLOWANCE_BYTES: f32 = 5_000.0;

/// Capacity of the queue. Each sender has up to a window of packets in flight, so a few windows fit
/// in the queue.
pub const MAXIMUM_QUEUED_PACKETS: usize = 256;

/// A packet to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutgoingPacket {
    /// Hash of its flow.
    pub flow_hash: u64,
    /// Sequence number of its first data byte; `None` without data.
    pub data_sequence: Option<u32>,
    /// Length on the link, bytes.
    pub length: usize,
}

impl OutgoingPacket {
    const fn is_bulk(&self) -> bool {
        self.data_sequence.is_some() && self.length >= BULK_MINIMUM_BYTES
    }
}

/// When a packet is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDecision {
    /// Immediately.
    Now,
    /// Later; the caller passes it to [`LinkPacer::enqueue`].
    Enqueue,
    /// Never: the same data is already queued.
    Duplicate,
    /// Never: the queue is full.
    QueueFull,
}

#[derive(Debug)]
struct QueuedPacket<Payload> {
    packet: OutgoingPacket,
    payload: Payload,
}

/// Paces the packets of one sender. `Payload` is the data that the caller needs to send a queued
/// packet.
///
/// ```
/// use bellyoke_core::cookie::link::{LinkPacer, OutgoingPacket, SendDecision};
/// use bellyoke_core::time::Timestamp;
///
/// let at = |milliseconds: u64| Timestamp::from_micros(milliseconds * 1_000);
/// let bulk = |sequence| OutgoingPacket { flow_hash: 7, data_sequence: Some(sequence), length: 1_200 };
/// let mut pacer = LinkPacer::default();
/// for sequence in 0..16 {
///     assert_eq!(pacer.offer(at(0), &bulk(sequence)), SendDecision::Now, "no loss so far");
/// }
/// // The sender retransmits lost data; from then on a window is spread over time.
/// for (milliseconds, sequence) in [(200, 12), (400, 13), (600, 14), (800, 15)] {
///     assert_eq!(pacer.offer(at(milliseconds), &bulk(sequence)), SendDecision::Now);
/// }
/// let queued = (20..36).filter(|sequence| pacer.offer(at(810), &bulk(*sequence)) == SendDecision::Enqueue);
/// assert!(queued.count() > 8);
/// # pacer.enqueue(bulk(20), ());
/// ```
#[derive(Debug)]
pub struct LinkPacer<Payload> {
    rate: LinkRate,
    losses: LossDetector,
    queue: VecDeque<QueuedPacket<Payload>>,
    /// When the link will have transmitted everything that was sent, at the estimated rate.
    clear_at: Timestamp,
}

impl<Payload> Default for LinkPacer<Payload> {
    fn default() -> Self {
        Self {
            rate: LinkRate::default(),
            losses: LossDetector::default(),
            queue: VecDeque::new(),
            clear_at: Timestamp::ZERO,
        }
    }
}

impl<Payload> LinkPacer<Payload> {
    /// Returns whether a packet may be sent at `now`, in which case it is recorded as sent.
    pub fn offer(&mut self, now: Timestamp, packet: &OutgoingPacket) -> SendDecision {
        if !packet.is_bulk() {
            self.count(now, packet);
            return SendDecision::Now;
        }
        let lost = self.losses.record_received(now, packet);
        if self.is_queued(packet) {
            return SendDecision::Duplicate;
        }
        if lost {
            self.rate.record_loss(now);
        }
        if self.queue.is_empty() && self.has_room(now) {
            self.count(now, packet);
            return SendDecision::Now;
        }
        self.rate.record_delayed();
        if self.queue.len() >= MAXIMUM_QUEUED_PACKETS {
            return SendDecision::QueueFull;
        }
        SendDecision::Enqueue
    }

    /// Queues a packet for later.
    pub fn enqueue(&mut self, packet: OutgoingPacket, payload: Payload) {
        self.queue.push_back(QueuedPacket { packet, payload });
    }

    /// Returns the next packet that may be sent at `now` and records it as sent.
    pub fn next_due(&mut self, now: Timestamp) -> Option<Payload> {
        if !self.has_room(now) {
            return None;
        }
        let queued = self.queue.pop_front()?;
        self.count(now, &queued.packet);
        Some(queued.payload)
    }

    /// Returns when the next queued packet may be sent; `None` if the queue is empty.
    #[must_use]
    pub fn next_due_at(&self) -> Option<Timestamp> {
        self.queue.front()?;
        // Once pacing has ended, all queued packets are due at once.
        let due = |allowance| self.clear_at.before(allowance);
        Some(self.allowance().map_or(Timestamp::ZERO, due))
    }

    /// Returns the number of queued packets.
    #[must_use]
    pub fn queued_packets(&self) -> usize {
        self.queue.len()
    }

    /// Returns the estimated link rate, bytes per second; `None` while nothing is paced.
    #[must_use]
    pub fn bytes_per_second(&self) -> Option<f32> {
        self.rate.bytes_per_second()
    }

    fn is_queued(&self, packet: &OutgoingPacket) -> bool {
        let same = |queued: &QueuedPacket<Payload>| {
            queued.packet.flow_hash == packet.flow_hash
                && queued.packet.data_sequence == packet.data_sequence
        };
        self.queue.iter().any(same)
    }

    /// Returns how far ahead of the link packets may be sent; `None` while nothing is paced.
    fn allowance(&self) -> Option<Duration> {
        let rate = self.rate.bytes_per_second()?;
        Some(Duration::from_secs_f32(BURST_ALLOWANCE_BYTES / rate))
    }

    fn has_room(&self, now: Timestamp) -> bool {
        let allowance = self.allowance();
        allowance.is_none_or(|allowance| self.clear_at.since(now) < allowance)
    }

    fn count(&mut self, now: Timestamp, packet: &OutgoingPacket) {
        if packet.is_bulk() {
            let is_new = self.losses.record_sent(now, packet);
            self.rate.record_sent(now, packet.length, is_new);
        }
        if let Some(rate) = self.rate.bytes_per_second() {
            let takes = Duration::from_secs_f32(packet.length as f32 / rate);
            self.clear_at = self.clear_at.max(now).after(takes);
        }
    }
}
