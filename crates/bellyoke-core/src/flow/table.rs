//! The flow table, with a fixed amount of memory allocated at creation.
//!
//! It is an open-addressed hash table with linear probing and deletion by backward shift
//! (Knuth, TAOCP vol. 3, 6.4, algorithm R). A packet of a known flow costs one cache miss. There
//! are no tombstones and the table never grows, so no packet is delayed by a rehash.

use crate::flow::record::FlowRecord;
use crate::flow::sweep::SweepCursor;
use crate::flow::tick::Tick;
use crate::identity::BackendId;
use crate::packet::FlowHash;
use std::collections::HashMap;
use std::hint::black_box;
use thiserror::Error;

/// The flow table has reached its capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("flow table has reached its capacity of {capacity} flows")]
pub struct TableFull {
    /// Maximum number of flows.
    pub capacity: u32,
}

/// Result of a search: the slot of the flow, or the vacant slot where it can be inserted.
enum Search {
    Occupied(usize),
    Vacant(usize),
}

/// Flow records by flow hash.
#[derive(Debug)]
pub struct FlowTable {
    slots: Vec<Option<FlowRecord>>,
    capacity: u32,
    length: u32,
    sweep: SweepCursor,
    by_backend: HashMap<BackendId, u32>,
}

impl FlowTable {
    /// Creates a table for `capacity` flows, at least one, and allocates all its memory.
    #[must_use]
    pub fn new(capacity: u32) -> Self {
        let capacity = capacity.max(1);
        Self {
            slots: vec![None; slot_count_for(capacity)],
            capacity,
            length: 0,
            sweep: SweepCursor::default(),
            by_backend: HashMap::new(),
        }
    }

    /// Returns the number of flows.
    #[must_use]
    pub const fn len(&self) -> u32 {
        self.length
    }

    /// Returns whether the table has no flow.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the maximum number of flows.
    #[must_use]
    pub const fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Returns the size of all slots in bytes. It does not depend on the number of flows.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.slots.capacity() * size_of::<Option<FlowRecord>>()
    }

    /// Returns the number of flows of each backend that has any.
    #[must_use]
    pub const fn flows_by_backend(&self) -> &HashMap<BackendId, u32> {
        &self.by_backend
    }

    /// Iterates over all records.
    pub fn iter(&self) -> impl Iterator<Item = &FlowRecord> {
        self.slots.iter().flatten()
    }

    /// Returns the record of the flow with `hash`.
    #[must_use]
    pub fn get(&self, hash: FlowHash) -> Option<&FlowRecord> {
        match self.search(hash) {
            Search::Occupied(slot) => self.record_at(slot),
            Search::Vacant(_) => None,
        }
    }

    /// Returns the record of the flow with `hash`. The caller must not change the backend.
    pub(super) fn get_mut(&mut self, hash: FlowHash) -> Option<&mut FlowRecord> {
        match self.search(hash) {
            Search::Occupied(slot) => self.slots.get_mut(slot)?.as_mut(),
            Search::Vacant(_) => None,
        }
    }

    /// Loads the home slots of `hashes` into the cache. The reads are independent of each other,
    /// so their cache misses overlap.
    pub(super) fn prefetch(&self, hashes: &[FlowHash]) {
        for hash in hashes {
            let slot = &self.slots[self.home_slot(*hash)];
            black_box(slot.as_ref().map(|record| record.backend));
        }
    }

    /// Returns the number of slots.
    pub(super) fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// Returns the record in a slot, or `None` if the slot is vacant.
    pub(super) fn record_at(&self, slot: usize) -> Option<&FlowRecord> {
        self.slots.get(slot)?.as_ref()
    }

    /// Inserts `record`, replacing an older one of the same flow.
    ///
    /// # Errors
    /// Returns [`TableFull`] if the flow is new and the table is full.
    pub(super) fn insert(&mut self, record: FlowRecord) -> Result<(), TableFull> {
        let backend = record.backend;
        match self.search(record.hash()) {
            Search::Occupied(slot) => {
                if let Some(older) = self.slots[slot].replace(record) {
                    self.decrement_count(older.backend);
                }
            }
            Search::Vacant(_) if self.length >= self.capacity => {
                return Err(TableFull {
                    capacity: self.capacity,
                });
            }
            Search::Vacant(slot) => self.slots[slot] = Some(record),
        }
        self.length += 1;
        *self.by_backend.entry(backend).or_default() += 1;
        Ok(())
    }

    /// Removes the flow with `hash`.
    pub(super) fn remove(&mut self, hash: FlowHash) {
        if let Search::Occupied(slot) = self.search(hash) {
            self.remove_at(slot);
        }
    }

    /// Removes the flow in a slot and shifts later records of its run back into the gap.
    pub(super) fn remove_at(&mut self, slot: usize) {
        let Some(record) = self.slots[slot].take() else {
            return;
        };
        self.decrement_count(record.backend);
        self.close_gap(slot);
    }

    /// Returns the next slot of the sweep, or `None` at the end of a pass.
    pub(super) fn next_sweep_slot(&mut self, now: Tick) -> Option<usize> {
        let slots = self.slot_count();
        self.sweep.advance(now, slots)
    }

    /// Removes the flow in the current slot of the sweep. The sweep visits the slot again, as
    /// another record may have moved there.
    pub(super) fn remove_at_sweep(&mut self, slot: usize) {
        self.sweep.step_back(slot);
        self.remove_at(slot);
    }

    /// Returns the start of the latest completed pass of the sweep that visited every record.
    pub(super) fn last_complete_pass_start(&self) -> Option<Tick> {
        self.sweep.last_complete_pass_start()
    }

    /// Searches for a flow. Terminates because there are always more slots than records.
    fn search(&self, hash: FlowHash) -> Search {
        let mut slot = self.home_slot(hash);
        while let Some(record) = &self.slots[slot] {
            if record.hash() == hash {
                return Search::Occupied(slot);
            }
            slot = self.next_slot(slot);
        }
        Search::Vacant(slot)
    }

    fn close_gap(&mut self, mut gap: usize) {
        let mut slot = self.next_slot(gap);
        while let Some(record) = &self.slots[slot] {
            let home = self.home_slot(record.hash());
            // A record can be found as long as it is not moved before its home slot.
            if self.distance(home, slot) >= self.distance(gap, slot) {
                self.slots.swap(gap, slot);
                self.sweep.record_move(slot, gap);
                gap = slot;
            }
            slot = self.next_slot(slot);
        }
    }

    /// Returns the slot where a search starts. It is derived from the lower half of the hash, as
    /// buckets are selected by the upper half.
    fn home_slot(&self, hash: FlowHash) -> usize {
        let low = hash.0 & u128::from(u64::MAX);
        ((low * self.slots.len() as u128) >> u64::BITS) as usize
    }

    fn next_slot(&self, slot: usize) -> usize {
        if slot + 1 == self.slots.len() {
            0
        } else {
            slot + 1
        }
    }

    fn distance(&self, from: usize, to: usize) -> usize {
        if to >= from {
            to - from
        } else {
            to + self.slots.len() - from
        }
    }

    fn decrement_count(&mut self, backend: BackendId) {
        self.length -= 1;
        if let Some(count) = self.by_backend.get_mut(&backend) {
            *count -= 1;
            if *count == 0 {
                self.by_backend.remove(&backend);
            }
        }
    }
}

/// Returns three slots for every two records. At a load of two thirds a search visits two slots
/// for a known flow and five for an unknown one on average (Knuth, TAOCP vol. 3, 6.4).
fn slot_count_for(capacity: u32) -> usize {
    capacity as usize * 3 / 2 + 1
}
