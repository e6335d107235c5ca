//! The flows that a node knows, in memory that is fixed when the table is made.
//!
//! Records lie in the slots of an open-addressed table: linear probing, deletion by backward
//! shift (Knuth, TAOCP vol. 3, 6.4, algorithm R). A packet of a known flow so costs one
//! cache miss; there are no tombstones and nothing grows, so that no packet waits for a
//! rehash.

use crate::flow::record::FlowRecord;
use crate::flow::sweep::SweepCursor;
use crate::flow::tick::Tick;
use crate::identity::BackendId;
use crate::packet::FlowHash;
use std::collections::HashMap;
use std::hint::black_box;
use thiserror::Error;

/// The flow table holds as many flows as it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the flow table holds all the {capacity} flows that it may")]
pub struct TableFull {
    /// How many flows it may hold.
    pub capacity: u32,
}

/// Where a search for a flow ends.
enum Search {
    Occupied(usize),
    Vacant(usize),
}

/// Flows by hash.
#[derive(Debug)]
pub struct FlowTable {
    slots: Vec<Option<FlowRecord>>,
    capacity: u32,
    length: u32,
    sweep: SweepCursor,
    by_backend: HashMap<BackendId, u32>,
}

impl FlowTable {
    /// A table for `capacity` flows, at least one. It takes its memory at once and never more.
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

    /// Number of flows held.
    #[must_use]
    pub const fn len(&self) -> u32 {
        self.length
    }

    /// Whether no flow is held.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Number of flows that may be held.
    #[must_use]
    pub const fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Bytes taken by the slots, however many flows are held.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.slots.capacity() * size_of::<Option<FlowRecord>>()
    }

    /// Number of flows held on each backend that has any.
    #[must_use]
    pub const fn flows_by_backend(&self) -> &HashMap<BackendId, u32> {
        &self.by_backend
    }

    /// All records.
    pub fn iter(&self) -> impl Iterator<Item = &FlowRecord> {
        self.slots.iter().flatten()
    }

    /// The record of the flow with `hash`.
    #[must_use]
    pub fn get(&self, hash: FlowHash) -> Option<&FlowRecord> {
        match self.search(hash) {
            Search::Occupied(slot) => self.record_at(slot),
            Search::Vacant(_) => None,
        }
    }

    /// The record of the flow with `hash`. Its hash and backend stay as they are.
    pub(super) fn get_mut(&mut self, hash: FlowHash) -> Option<&mut FlowRecord> {
        match self.search(hash) {
            Search::Occupied(slot) => self.slots.get_mut(slot)?.as_mut(),
            Search::Vacant(_) => None,
        }
    }

    /// Reads the slots where searches for `hashes` begin, none of which waits for another, so
    /// that they are in the cache when the searches come.
    pub(super) fn prefetch(&self, hashes: &[FlowHash]) {
        for hash in hashes {
            let slot = &self.slots[self.home_slot(*hash)];
            black_box(slot.as_ref().map(|record| record.backend));
        }
    }

    /// Number of slots: the range of [`Self::record_at`].
    pub(super) fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// The record in a slot, if it holds one.
    pub(super) fn record_at(&self, slot: usize) -> Option<&FlowRecord> {
        self.slots.get(slot)?.as_ref()
    }

    /// Holds `record`, in place of an older one of the same flow.
    ///
    /// # Errors
    /// [`TableFull`] if the flow is new and there is no room.
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

    /// Forgets the flow with `hash`.
    pub(super) fn remove(&mut self, hash: FlowHash) {
        if let Search::Occupied(slot) = self.search(hash) {
            self.remove_at(slot);
        }
    }

    /// Forgets the flow in a slot, and moves later records of its run back over the gap.
    pub(super) fn remove_at(&mut self, slot: usize) {
        let Some(record) = self.slots[slot].take() else {
            return;
        };
        self.decrement_count(record.backend);
        self.close_gap(slot);
    }

    /// The next slot of the sweep; none at the end of a round.
    pub(super) fn next_sweep_slot(&mut self, now: Tick) -> Option<usize> {
        let slots = self.slot_count();
        self.sweep.advance(now, slots)
    }

    /// Forgets the flow in the slot that the sweep is at. The sweep looks at the slot again:
    /// another record may have moved there.
    pub(super) fn remove_at_sweep(&mut self, slot: usize) {
        self.sweep.step_back(slot);
        self.remove_at(slot);
    }

    /// When the newest round of the sweep began that is over and met every record.
    pub(super) fn last_complete_pass_start(&self) -> Option<Tick> {
        self.sweep.last_complete_pass_start()
    }

    /// Ends, since there are always more slots than records.
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
            // A record is still found if it doesn't come to lie before its home.
            if self.distance(home, slot) >= self.distance(gap, slot) {
                self.slots.swap(gap, slot);
                self.sweep.record_move(slot, gap);
                gap = slot;
            }
            slot = self.next_slot(slot);
        }
    }

    /// By the lower half of the hash: buckets are chosen by the upper one.
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

/// Three slots for two records: at a load of two thirds a search looks at two slots for a
/// known flow and at five for an unknown one, on average (Knuth, TAOCP vol. 3, 6.4).
fn slot_count_for(capacity: u32) -> usize {
    capacity as usize * 3 / 2 + 1
}
