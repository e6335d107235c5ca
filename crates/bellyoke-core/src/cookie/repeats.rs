//! Data that a client sends again, since nobody acknowledges it.
//!
//! A bounded table of the last data packet of each flow, as a cache has it: a flow that meets
//! another one's place takes it. What is forgotten so costs only the notice of a repetition.

use crate::time::Timestamp;
use std::time::Duration;

/// Flows that are remembered at once. A power of two; 24 bytes each.
const PLACES: usize = 1_024;

/// Copies that come sooner are duplicates of the network: senders wait 200 ms and longer.
const SHORTEST_WAIT: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug, Default)]
struct LastData {
    flow_hash: u64,
    seen_at: Timestamp,
    sequence: u32,
    repeats: u32,
}

/// What a data packet tells of its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DataNotice {
    /// The flow was not remembered.
    Unknown,
    /// Other data than the last: that was acknowledged.
    Newer,
    /// The last data again. How often it was sent again, as far as this node saw it.
    Repeated(u32),
}

/// Counts how often the last data of a flow was sent again.
///
/// ```
/// use bellyoke_core::cookie::repeats::{DataNotice, RepeatTable};
/// use bellyoke_core::time::Timestamp;
///
/// let at = |milliseconds: u64| Timestamp::from_micros(milliseconds * 1_000);
/// let mut table = RepeatTable::default();
/// assert_eq!(table.note(at(0), 7, 100), DataNotice::Unknown);
/// assert_eq!(table.note(at(200), 7, 100), DataNotice::Repeated(1));
/// assert_eq!(table.note(at(600), 7, 100), DataNotice::Repeated(2));
/// assert_eq!(table.note(at(610), 7, 900), DataNotice::Newer);
/// ```
#[derive(Debug)]
pub struct RepeatTable {
    places: Vec<LastData>,
}

impl Default for RepeatTable {
    fn default() -> Self {
        Self {
            places: vec![LastData::default(); PLACES],
        }
    }
}

impl RepeatTable {
    /// A packet of a flow carries data from a sequence number on.
    pub fn note(&mut self, now: Timestamp, flow_hash: u64, sequence: u32) -> DataNotice {
        let mask = PLACES as u64 - 1;
        let index = usize::try_from(flow_hash & mask).unwrap_or_default();
        let place = &mut self.places[index];
        let same_flow = place.flow_hash == flow_hash;
        if same_flow && place.sequence == sequence {
            if now.since(place.seen_at) >= SHORTEST_WAIT {
                place.seen_at = now;
                place.repeats = place.repeats.saturating_add(1);
            }
            return DataNotice::Repeated(place.repeats);
        }
        // Older data is what a sender of several packets sends again first: no progress.
        let newer = same_flow && sequence.wrapping_sub(place.sequence) < u32::MAX / 2;
        *place = LastData {
            flow_hash,
            seen_at: now,
            sequence,
            repeats: 0,
        };
        if newer {
            DataNotice::Newer
        } else {
            DataNotice::Unknown
        }
    }

    /// Forgets all flows.
    pub fn forget(&mut self) {
        self.places.fill(LastData::default());
    }
}
