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

/// Counts how often the last data of a flow was sent again.
///
/// ```
/// use bellyoke_core::cookie::repeats::RepeatTable;
/// use bellyoke_core::time::Timestamp;
///
/// let at = |milliseconds: u64| Timestamp::from_micros(milliseconds * 1_000);
/// let mut table = RepeatTable::default();
/// assert_eq!(table.note(at(0), 7, 100), 0);
/// assert_eq!(table.note(at(200), 7, 100), 1);
/// assert_eq!(table.note(at(600), 7, 100), 2);
/// assert_eq!(table.note(at(610), 7, 900), 0, "newer data: the first was acknowledged");
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
    /// A packet of a flow carries data from a sequence number on. Returns how often that data
    /// was sent again before, as far as this node saw it.
    pub fn note(&mut self, now: Timestamp, flow_hash: u64, sequence: u32) -> u32 {
        let mask = PLACES as u64 - 1;
        let index = usize::try_from(flow_hash & mask).unwrap_or_default();
        let place = &mut self.places[index];
        let known = place.flow_hash == flow_hash && place.sequence == sequence;
        if !known {
            *place = LastData {
                flow_hash,
                seen_at: now,
                sequence,
                repeats: 0,
            };
        } else if now.since(place.seen_at) >= SHORTEST_WAIT {
            place.seen_at = now;
            place.repeats = place.repeats.saturating_add(1);
        }
        place.repeats
    }

    /// Forgets all flows.
    pub fn forget(&mut self) {
        self.places.fill(LastData::default());
    }
}
