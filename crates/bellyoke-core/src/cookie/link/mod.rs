//! The node's own link, as far as a sender can see it: pacing of bulk data.
//!
//! Senders of bulk data put a whole window on the wire at once. A node on a thin link would send it on
//! as fast, and its link drops what its short queue doesn't hold; the sender then waits for its
//! time-out, sends the window again, and most of it is dropped again. Nobody tells a node how wide its
//! link is, but data that comes a second time was lost: [`rate`] learns from that, [`sent`] remembers
//! what was sent, and [`LinkPacer`] spreads bulk data over time at the learned rate, with a bounded
//! queue. Nothing is paced until data was lost. Short packets (openings, acknowledgements, short
//! requests) never wait.

pub mod losses;
pub mod rate;

use crate::time::Timestamp;
use losses::LossDetector;
use rate::LinkRate;
use std::collections::VecDeque;
use std::time::Duration;

/// Packets of fewer bytes are never held back, and their loss tells nothing of the link.
pub const BULK_MINIMUM_BYTES: usize = 1_000;

/// What may be sent at once after a pause, bytes: some full packets.
const BURST_ALLOWANCE: f32 = 5_000.0;

/// Most packets that wait. Each sender has a window of packets under way, so that these are a few
/// windows.
pub const MAXIMUM_QUEUED_PACKETS: usize = 256;

/// A packet that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutgoingPacket {
    /// Hash of its flow.
    pub flow_hash: u64,
    /// Sequence number of its first byte of data; none without data.
    pub data_sequence: Option<u32>,
    /// Its bytes on the link.
    pub length: usize,
}

impl OutgoingPacket {
    const fn is_bulk(&self) -> bool {
        self.data_sequence.is_some() && self.length >= BULK_MINIMUM_BYTES
    }
}

/// When a packet goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDecision {
    /// At once.
    Now,
    /// The host hands it to [`LinkPacer::enqueue`].
    Enqueue,
    /// Not at all: the same data waits already.
    Duplicate,
    /// Not at all: too much waits.
    QueueFull,
}

#[derive(Debug)]
struct QueuedPacket<Payload> {
    packet: OutgoingPacket,
    payload: Payload,
}

/// Paces the packets of one sender. `Payload` is what the host needs to send a packet that was held.
///
/// ```
/// use bellyoke_core::cookie::link::{LinkPacer, OutgoingPacket, SendDecision};
/// use bellyoke_core::time::Timestamp;
///
/// let at = |milliseconds: u64| Timestamp::from_micros(milliseconds * 1_000);
/// let bulk = |sequence| OutgoingPacket { flow_hash: 7, data_sequence: Some(sequence), length: 1_200 };
/// let mut pacer = LinkPacer::default();
/// for sequence in 0..16 {
///     assert_eq!(pacer.offer(at(0), &bulk(sequence)), SendDecision::Now, "nothing was lost yet");
/// }
/// // The sender repeats what was lost: from now on a window is spread.
/// for (milliseconds, sequence) in [(200, 12), (400, 13), (600, 14), (800, 15)] {
///     assert_eq!(pacer.offer(at(milliseconds), &bulk(sequence)), SendDecision::Now);
/// }
/// let held = (20..36).filter(|sequence| pacer.offer(at(810), &bulk(*sequence)) == SendDecision::Enqueue);
/// assert!(held.count() > 8);
/// # pacer.enqueue(bulk(20), ());
/// ```
#[derive(Debug)]
pub struct LinkPacer<Payload> {
    rate: LinkRate,
    losses: LossDetector,
    queue: VecDeque<QueuedPacket<Payload>>,
    /// When the link will have carried all that was sent, if it carries the learned rate.
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
    /// Whether a packet may be sent at `now`. If so it counts as sent.
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

    /// Keeps a packet that goes later.
    pub fn enqueue(&mut self, packet: OutgoingPacket, payload: Payload) {
        self.queue.push_back(QueuedPacket { packet, payload });
    }

    /// The next packet that may be sent at `now`. It counts as sent.
    pub fn next_due(&mut self, now: Timestamp) -> Option<Payload> {
        if !self.has_room(now) {
            return None;
        }
        let held = self.queue.pop_front()?;
        self.count(now, &held.packet);
        Some(held.payload)
    }

    /// When the next packet that waits may be sent; none if none waits.
    #[must_use]
    pub fn next_due_at(&self) -> Option<Timestamp> {
        self.queue.front()?;
        // Once pacing has ended, all that waits goes at once.
        let due = |allowance| self.clear_at.before(allowance);
        Some(self.allowance().map_or(Timestamp::ZERO, due))
    }

    /// Packets that wait.
    #[must_use]
    pub fn queued_packets(&self) -> usize {
        self.queue.len()
    }

    /// The learned rate, bytes a second; none while nothing is paced.
    #[must_use]
    pub fn bytes_per_second(&self) -> Option<f32> {
        self.rate.bytes_per_second()
    }

    fn is_queued(&self, packet: &OutgoingPacket) -> bool {
        let same = |held: &QueuedPacket<Payload>| {
            held.packet.flow_hash == packet.flow_hash
                && held.packet.data_sequence == packet.data_sequence
        };
        self.queue.iter().any(same)
    }

    /// How far ahead of the link packets may be sent; none while nothing is paced.
    fn allowance(&self) -> Option<Duration> {
        let rate = self.rate.bytes_per_second()?;
        Some(Duration::from_secs_f32(BURST_ALLOWANCE / rate))
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
