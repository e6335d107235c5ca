//! When things were seen, in a bounded table.

use crate::time::Timestamp;

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    /// Zero for none.
    key: u64,
    at: Timestamp,
}

/// When things were seen, by uniform keys other than zero. What takes another one's place costs
/// only the memory of that one. 16 bytes a place, none until something is noted.
#[derive(Debug)]
pub(crate) struct LastSeenTable {
    places: Vec<Seen>,
    /// A power of two.
    length: usize,
}

impl LastSeenTable {
    pub(crate) const fn new(length: usize) -> Self {
        Self {
            places: Vec::new(),
            length,
        }
    }

    pub(crate) fn seen_at(&self, key: u64) -> Option<Timestamp> {
        let place = self.places.get(self.place_of(key))?;
        (place.key == key).then_some(place.at)
    }

    pub(crate) fn record(&mut self, now: Timestamp, key: u64) {
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

/// The key of data in a flow. Flow hashes are uniform; the product spreads the sequence numbers of
/// one flow.
pub(crate) fn data_key(flow_hash: u64, sequence: u32) -> u64 {
    const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
    (flow_hash ^ u64::from(sequence).wrapping_mul(SPREAD)) | 1
}
