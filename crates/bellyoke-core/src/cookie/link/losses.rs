//! Detection of lost data from retransmissions.
//!
//! A sender that misses an acknowledgement stops sending, because its window is full, and
//! retransmits the oldest data after its retransmission timeout. Once that is acknowledged, it
//! retransmits the rest of the window, most of which had arrived. Therefore only data that is
//! retransmitted *after a pause of its flow* counts as lost.

use super::OutgoingPacket;
use crate::cookie::last_seen::{LastSeenTable, data_key};
use crate::time::Timestamp;
use std::time::Duration;

/// Sizes of the tables of data packets and flows. Both are powers of two. An entry that is
/// overwritten by another one only means that a loss isn't detected.
const DATA_TABLE_SIZE: usize = 2_048;
const FLOW_TABLE_SIZE: usize = 512;

/// Minimum time after which retransmitted data counts as lost. Data that arrives again sooner was
/// duplicated by the network or delayed in this node's queue: senders wait 200 ms for an
/// acknowledgement.
const MINIMUM_RETRANSMISSION_DELAY: Duration = Duration::from_millis(150);

/// Minimum pause of a flow before its sender's retransmission timeout.
const MINIMUM_FLOW_PAUSE: Duration = Duration::from_millis(100);

/// Recently sent data, and flows from which packets were recently received.
#[derive(Debug)]
pub struct LossDetector {
    data: LastSeenTable,
    flows: LastSeenTable,
}

impl Default for LossDetector {
    fn default() -> Self {
        Self {
            data: LastSeenTable::new(DATA_TABLE_SIZE),
            flows: LastSeenTable::new(FLOW_TABLE_SIZE),
        }
    }
}

impl LossDetector {
    /// Records a data packet that was received from its sender. Returns whether it retransmits data
    /// that was lost after it had been sent.
    pub fn record_received(&mut self, now: Timestamp, packet: &OutgoingPacket) -> bool {
        let flow = packet.flow_hash | 1;
        let last_received_at = self.flows.seen_at(flow);
        self.flows.record(now, flow);
        let last_sent_at = self.data.seen_at(key_of(packet));
        let has_passed =
            |since: Option<Timestamp>, minimum| since.is_some_and(|at| now.since(at) >= minimum);
        has_passed(last_received_at, MINIMUM_FLOW_PAUSE)
            && has_passed(last_sent_at, MINIMUM_RETRANSMISSION_DELAY)
    }

    /// Records a data packet that is sent. Returns whether its data is new, as far as recorded.
    pub fn record_sent(&mut self, now: Timestamp, packet: &OutgoingPacket) -> bool {
        let key = key_of(packet);
        let is_new = self.data.seen_at(key).is_none();
        self.data.record(now, key);
        is_new
    }
}

fn key_of(packet: &OutgoingPacket) -> u64 {
    data_key(packet.flow_hash, packet.data_sequence.unwrap_or_default())
}
