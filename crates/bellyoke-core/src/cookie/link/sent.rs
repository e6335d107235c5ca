//! Noticing from what senders repeat that data was lost.
//!
//! A sender that misses an acknowledgement falls silent, since its window is full, and after its time-out
//! sends the oldest data again. Once that is acknowledged it repeats the rest of the window, most of which
//! had arrived. So only data that comes again *after a pause of its flow* was lost.

use super::OutgoingPacket;
use crate::cookie::last_seen::{LastSeenTable, data_key};
use crate::time::Timestamp;
use std::time::Duration;

/// Data packets and flows that are remembered. Powers of two; what takes another one's place
/// costs only the notice of a loss.
const DATA_PLACES: usize = 2_048;
const FLOW_PLACES: usize = 512;

/// Data that comes again sooner is a copy of the network's, or was held back here for long: senders
/// wait 200 ms for an acknowledgement.
const SHORTEST_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a flow has been silent before its sender's time-out, at least.
const SHORTEST_PAUSE: Duration = Duration::from_millis(100);

/// What was sent last, and which flows were heard.
#[derive(Debug)]
pub struct SentTable {
    data: LastSeenTable,
    flows: LastSeenTable,
}

impl Default for SentTable {
    fn default() -> Self {
        Self {
            data: LastSeenTable::new(DATA_PLACES),
            flows: LastSeenTable::new(FLOW_PLACES),
        }
    }
}

impl SentTable {
    /// A data packet has come from its sender. Returns whether it tells that what was sent before
    /// got lost.
    pub fn heard(&mut self, now: Timestamp, packet: &OutgoingPacket) -> bool {
        let flow = packet.flow_hash | 1;
        let paused = self.flows.seen_at(flow);
        self.flows.record(now, flow);
        let sent = self.data.seen_at(key_of(packet));
        let longer =
            |since: Option<Timestamp>, least| since.is_some_and(|at| now.since(at) >= least);
        longer(paused, SHORTEST_PAUSE) && longer(sent, SHORTEST_TIMEOUT)
    }

    /// A data packet is sent. Returns whether it is new, as far as is remembered.
    pub fn sent(&mut self, now: Timestamp, packet: &OutgoingPacket) -> bool {
        let key = key_of(packet);
        let is_new = self.data.seen_at(key).is_none();
        self.data.record(now, key);
        is_new
    }
}

fn key_of(packet: &OutgoingPacket) -> u64 {
    data_key(packet.flow_hash, packet.data_sequence.unwrap_or_default())
}
