//! Tracks the request under way on one flow.

use crate::cookie::packet::{FlowPacket, PacketRole};
use crate::time::Timestamp;
use std::time::Duration;

/// Half of the sequence space: a number that is further ahead is behind.
const HALF_SEQUENCE_SPACE: u32 = 1 << 31;

/// The request under way on one flow, as far as its client's packets show.
///
/// ```
/// use bellyoke_core::cookie::answers::RequestProgress;
/// use bellyoke_core::cookie::packet::{FlowPacket, FlowTuple, PacketRole};
/// use bellyoke_core::time::Timestamp;
/// use std::time::Duration;
///
/// let flow = FlowTuple {
///     client: "203.0.113.9:40001".parse().unwrap(),
///     service: "192.0.2.1:443".parse().unwrap(),
/// };
/// let packet = |data_sequence, data_length, closes, acknowledged| FlowPacket {
///     flow, role: PacketRole::Later, cookie: None, data_sequence, data_length, closes, acknowledged,
/// };
/// let at = Timestamp::from_micros;
/// let mut request = RequestProgress::default();
/// assert_eq!(request.observe(at(0), &packet(Some(1), 200, false, 900)), None, "a request starts");
/// assert_eq!(request.observe(at(40_000), &packet(None, 0, false, 1_700)), None, "its answer starts");
/// let status = request.observe(at(41_000), &packet(None, 0, true, 1_900)).unwrap();
/// assert_eq!(status.after, Some(Duration::from_millis(40)));
/// assert_eq!(status.bytes, 1_000);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestProgress {
    /// When the request was sent, or its last packet if it has several; `None` while the flow is
    /// idle, or once the outcome of the request was returned.
    pub sent_at: Option<Timestamp>,
    /// Acknowledgement number of the client at that time.
    pub acknowledged_before: u32,
    /// Sequence number after the last byte of data seen.
    data_end: u32,
    /// Bytes of the answer that were acknowledged.
    answered_bytes: u32,
    /// Time from the request to the first acknowledgement of the answer, microseconds; zero before
    /// it.
    first_answer_microseconds: u32,
}

/// State of a request when it finished, or when it was last checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestStatus {
    /// Time from the request to the first acknowledgement of the answer; `None` without an answer.
    pub after: Option<Duration>,
    /// Bytes of the answer that were acknowledged.
    pub bytes: u32,
    /// Time from the request until now.
    pub waited: Duration,
}

impl RequestProgress {
    /// Processes a packet of the flow. Returns the status of a request if the packet shows that it
    /// is finished: the next request starts, or the flow ends.
    pub fn observe(&mut self, now: Timestamp, packet: &FlowPacket) -> Option<RequestStatus> {
        let begins = self.begins_request(packet);
        // A later request acknowledges data of the answer before it.
        if self.sent_at.is_some() {
            self.acknowledge(now, packet.acknowledged);
        }
        let mut finished = None;
        if begins && self.answered_bytes > 0 {
            finished = self.finish(now);
        }
        if begins {
            self.start_request(now, packet);
        }
        if packet.role == PacketRole::Abort && self.answered_bytes == 0 {
            // The client may have lost interest. A request that waited too long was already
            // detected as overdue.
            self.sent_at = None;
        }
        let ends = packet.closes || packet.role == PacketRole::Abort;
        if ends && self.answered_bytes > 0 {
            finished = finished.or(self.finish(now));
        }
        finished
    }

    /// Returns the status of the request under way; `None` if there is none.
    #[must_use]
    pub fn status(&self, now: Timestamp) -> Option<RequestStatus> {
        let sent_at = self.sent_at?;
        let first_answer = Duration::from_micros(u64::from(self.first_answer_microseconds));
        Some(RequestStatus {
            after: (self.answered_bytes > 0).then_some(first_answer),
            bytes: self.answered_bytes,
            waited: now.since(sent_at),
        })
    }

    /// Returns the status of the request under way and ends it.
    pub fn finish(&mut self, now: Timestamp) -> Option<RequestStatus> {
        let status = self.status(now);
        self.sent_at = None;
        status
    }

    /// Returns whether a packet carries data that was not seen before. Duplicates and reordered
    /// packets don't.
    fn begins_request(&self, packet: &FlowPacket) -> bool {
        let Some(sequence) = packet.data_sequence else {
            return false;
        };
        let end = sequence.wrapping_add(u32::from(packet.data_length));
        let knows_end = self.data_end != 0;
        let ahead = end.wrapping_sub(self.data_end);
        !knows_end || (ahead != 0 && ahead < HALF_SEQUENCE_SPACE)
    }

    /// Starts a request, or continues it if no answer data was acknowledged.
    fn start_request(&mut self, now: Timestamp, packet: &FlowPacket) {
        let sequence = packet.data_sequence.unwrap_or_default();
        let acknowledged = self.acknowledged_before.wrapping_add(self.answered_bytes);
        let ahead = packet.acknowledged.wrapping_sub(acknowledged);
        let is_first = self.data_end == 0;
        self.acknowledged_before = if is_first || ahead < HALF_SEQUENCE_SPACE {
            packet.acknowledged
        } else {
            acknowledged
        };
        self.data_end = sequence.wrapping_add(u32::from(packet.data_length)).max(1);
        self.sent_at = Some(now);
        self.answered_bytes = 0;
        self.first_answer_microseconds = 0;
    }

    fn acknowledge(&mut self, now: Timestamp, acknowledged: u32) {
        let bytes = acknowledged.wrapping_sub(self.acknowledged_before);
        if bytes >= HALF_SEQUENCE_SPACE || bytes <= self.answered_bytes {
            return;
        }
        if self.answered_bytes == 0
            && let Some(sent_at) = self.sent_at
        {
            let after = now.since(sent_at).as_micros();
            self.first_answer_microseconds = u32::try_from(after).unwrap_or(u32::MAX);
        }
        self.answered_bytes = bytes;
    }
}
