//! Bounded table of the times at which keys were last recorded.

use crate::time::Timestamp;

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    /// Zero if the entry is empty.
    key: u64,
    at: Timestamp,
}

/// Times by uniformly distributed keys other than zero. An entry that collides with another one
/// overwrites it, so only that time is lost. 16 bytes an entry, allocated with the first record.
#[derive(Debug)]
pub(crate) struct LastSeenTable {
    entries: Vec<Entry>,
    /// A power of two.
    length: usize,
}

impl LastSeenTable {
    pub(crate) const fn new(length: usize) -> Self {
        Self {
            entries: Vec::new(),
            length,
        }
    }

    pub(crate) fn seen_at(&self, key: u64) -> Option<Timestamp> {
        let index = self.entries.get(self.index_of(key))?;
        (index.key == key).then_some(index.at)
    }

    pub(crate) fn record(&mut self, now: Timestamp, key: u64) {
        if self.entries.is_empty() {
            self.entries = vec![Entry::default(); self.length];
        }
        let index = self.index_of(key);
        self.entries[index] = Entry { key, at: now };
    }

    fn index_of(&self, key: u64) -> usize {
        usize::try_from(key >> 32).unwrap_or_default() & (self.length - 1)
    }
}

/// Returns the key of data in a flow. Flow hashes are uniform; the product spreads the sequence
/// numbers of one flow.
pub(crate) fn data_key(flow_hash: u64, sequence: u32) -> u64 {
    const SEQUENCE_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    (flow_hash ^ u64::from(sequence).wrapping_mul(SEQUENCE_MULTIPLIER)) | 1
}
