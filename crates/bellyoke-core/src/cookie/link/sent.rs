//! Noticing from what senders repeat that data was lost.
//!
//! A sender that misses an acknowledgement falls silent, since its window is full, and after its time-out
//! sends the oldest data again. Once that is acknowledged it repeats the rest of the window, most of which
//! had arrived. So only data that comes again *after a pause of its flow* was lost.

use super::OutgoingPacket;
use crate::time::Timestamp;
use std::time::Duration;

/// Data packets and flows that are remembered. Powers of two; 16 bytes each. What takes another one's
/// place costs only the notice of a loss.
const DATA_PLACES: usize = 2_048;
const FLOW_PLACES: usize = 512;

/// Data that comes again sooner is a copy of the network's, or was held back here for long: senders
/// wait 200 ms for an acknowledgement.
const SHORTEST_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a flow has been silent before its sender's time-out, at least.
const SHORTEST_PAUSE: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    /// Zero for none.
    key: u64,
    at: Timestamp,
}

/// A bounded table of when things were last seen, by key.
#[derive(Debug)]
struct SeenTable {
    /// Empty until something is noted.
    places: Vec<Seen>,
    length: usize,
}

impl SeenTable {
    const fn new(length: usize) -> Self {
        Self {
            places: Vec::new(),
            length,
        }
    }

    fn seen_at(&self, key: u64) -> Option<Timestamp> {
        let place = self.places.get(self.place_of(key))?;
        (place.key == key).then_some(place.at)
    }

    fn note(&mut self, now: Timestamp, key: u64) {
        if self.places.is_empty() {
            self.places = vec![Seen::default(); self.length];
        }
        let place = self.place_of(key);
        self.places[place] = Seen { key, at: now };
    }

    fn place_of(&self, key: u64) -> usize {
        usize::try_from(key >> 32).unwrap_or_default() & (self.length - 1)
    }
}

/// What was sent last, and which flows were heard.
#[derive(Debug)]
pub struct SentTable {
    data: SeenTable,
    flows: SeenTable,
}

impl Default for SentTable {
    fn default() -> Self {
        Self {
            data: SeenTable::new(DATA_PLACES),
            flows: SeenTable::new(FLOW_PLACES),
        }
    }
}

impl SentTable {
    /// A data packet has come from its sender. Returns whether it tells that what was sent before
    /// got lost.
    pub fn heard(&mut self, now: Timestamp, packet: &OutgoingPacket) -> bool {
        let flow = packet.flow_hash | 1;
        let paused = self.flows.seen_at(flow);
        self.flows.note(now, flow);
        let sent = self.data.seen_at(data_key(packet));
        let longer =
            |since: Option<Timestamp>, least| since.is_some_and(|at| now.since(at) >= least);
        longer(paused, SHORTEST_PAUSE) && longer(sent, SHORTEST_TIMEOUT)
    }

    /// A data packet is sent. Returns whether it is new, as far as is remembered.
    pub fn sent(&mut self, now: Timestamp, packet: &OutgoingPacket) -> bool {
        let key = data_key(packet);
        let is_new = self.data.seen_at(key).is_none();
        self.data.note(now, key);
        is_new
    }
}

/// Flow hashes are uniform; the product spreads the sequence numbers of one flow.
fn data_key(packet: &OutgoingPacket) -> u64 {
    const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
    let sequence = u64::from(packet.data_sequence.unwrap_or_default());
    (packet.flow_hash ^ sequence.wrapping_mul(SPREAD)) | 1
}
