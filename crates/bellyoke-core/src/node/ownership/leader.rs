//! The owner's log of one group: batches of pins, and the items that wait for their commit.

use super::ballot::{Ballot, Configuration};
use super::message::{Installation, PinBatch};
use super::pending::{PendingItem, PendingReceipt};
use super::pin::{
    PinChange, PinDestination, PinKey, PinRun, PinTable, SettledMark, decode_runs, encode_runs,
};
use crate::identity::{BackendId, GroupIndex, NodeId};
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Maximum number of batches that are sent again to one replica at a time.
const MAX_RESENT_BATCHES: usize = 4;

/// The owner's log of one group.
#[derive(Debug)]
pub(super) struct Leader {
    group: GroupIndex,
    node: NodeId,
    ballot: Ballot,
    configuration: Configuration,
    started_at: Timestamp,
    /// The last sealed batch. The open batch has the next number.
    last_sealed: u64,
    /// The last batch that a majority stores.
    last_committed: u64,
    /// The batch that completes the initial copy.
    copy_end: u64,
    service_started: bool,
    /// Changes in the open batch.
    open_changes: BTreeMap<PinKey, PinChange>,
    open_marks: Vec<SettledMark>,
    /// Whether an item waits for the open batch, even if it is empty.
    needs_seal: bool,
    unsent: Vec<u64>,
    /// Batches that may be sent again.
    retained: BTreeMap<u64, PinBatch>,
    acknowledged: BTreeMap<NodeId, u64>,
    progress: BTreeMap<NodeId, Progress>,
    /// Replicas that need a new copy.
    lagging: BTreeSet<NodeId>,
    /// The batch of each uncommitted change.
    uncommitted_pins: HashMap<PinKey, u64>,
    open_flows: HashMap<BackendId, u32>,
    /// Items that wait for the commit of a batch, by its number.
    pending: BTreeMap<u64, Vec<PendingItem>>,
}

/// A replica's progress when it was last checked.
#[derive(Clone, Copy, Debug)]
struct Progress {
    acknowledged: u64,
    last_sealed: u64,
}

impl Progress {
    /// Returns whether batches that were already sealed at this check are still unacknowledged at
    /// `later`.
    fn is_stalled(self, later: Self) -> bool {
        self.acknowledged < self.last_sealed && self.acknowledged == later.acknowledged
    }
}

/// Limits of a log.
#[derive(Clone, Copy, Debug)]
pub(super) struct LogLimits {
    pub(super) batch_pins: usize,
    pub(super) unacknowledged_batches: usize,
}

impl Leader {
    /// Creates a log that starts with a complete copy of `pins`.
    pub(super) fn new(
        now: Timestamp,
        group: GroupIndex,
        ballot: Ballot,
        installation: &Installation,
        pins: &PinTable,
        limits: LogLimits,
    ) -> Self {
        let mut leader = Self {
            group,
            node: ballot.node,
            ballot,
            configuration: installation.configuration.clone(),
            started_at: now,
            last_sealed: 0,
            last_committed: 0,
            copy_end: 0,
            service_started: false,
            open_changes: BTreeMap::new(),
            open_marks: Vec::new(),
            needs_seal: false,
            unsent: Vec::new(),
            retained: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            progress: BTreeMap::new(),
            lagging: BTreeSet::new(),
            uncommitted_pins: HashMap::new(),
            open_flows: HashMap::new(),
            pending: BTreeMap::new(),
        };
        for (_, pin) in pins.iter() {
            leader.count_opened(pin.destination);
        }
        leader.append_copy(pins, installation, limits);
        leader
    }

    fn append_copy(&mut self, pins: &PinTable, installation: &Installation, limits: LogLimits) {
        let mut cursor = None;
        loop {
            let (runs, more) = pins.page(cursor, limits.batch_pins);
            cursor = decode_runs(&runs).map(|(key, _)| key).max();
            let installation = (!more).then(|| Box::new(installation.clone()));
            let marks = if more { Vec::new() } else { pins.marks() };
            self.push_batch(runs, marks, installation);
            if !more {
                break;
            }
        }
        self.copy_end = self.last_sealed;
        self.advance_commit();
    }

    fn push_batch(
        &mut self,
        runs: Vec<PinRun>,
        marks: Vec<SettledMark>,
        installation: Option<Box<Installation>>,
    ) {
        self.last_sealed += 1;
        let batch = PinBatch {
            group: self.group,
            ballot: self.ballot,
            sequence: self.last_sealed,
            installation,
            runs,
            marks,
        };
        self.retained.insert(self.last_sealed, batch);
        self.unsent.push(self.last_sealed);
    }

    pub(super) fn ballot(&self) -> Ballot {
        self.ballot
    }

    pub(super) fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    pub(super) fn started_at(&self) -> Timestamp {
        self.started_at
    }

    pub(super) fn last_sealed(&self) -> u64 {
        self.last_sealed
    }

    /// Returns whether a majority of the replicas stores a complete copy.
    pub(super) fn serves(&self) -> bool {
        self.last_committed >= self.copy_end
    }

    /// Returns true on the first call only.
    pub(super) fn start_service(&mut self) -> bool {
        !std::mem::replace(&mut self.service_started, true)
    }

    /// Returns whether the log may grow. False if replicas have left too many batches
    /// unacknowledged.
    pub(super) fn has_capacity(&self, limits: LogLimits) -> bool {
        let outstanding = self.last_sealed - self.last_committed;
        outstanding < limits.unacknowledged_batches as u64 / 2
    }

    /// Appends a change to the open batch and returns the number of that batch.
    pub(super) fn append(&mut self, key: PinKey, change: PinChange, limits: LogLimits) -> u64 {
        let sequence = self.last_sealed + 1;
        self.open_changes.insert(key, change);
        self.uncommitted_pins.insert(key, sequence);
        if self.open_changes.len() >= limits.batch_pins {
            self.seal_batch();
        }
        sequence
    }

    /// Appends a mark to the open batch and returns the number of that batch.
    pub(super) fn append_mark(&mut self, mark: SettledMark) -> u64 {
        self.open_marks.push(mark);
        self.request_confirmation()
    }

    /// Returns the batch whose commit shows that this node was still the owner after this call.
    pub(super) fn request_confirmation(&mut self) -> u64 {
        self.needs_seal = true;
        self.last_sealed + 1
    }

    /// Returns the batch that contains an uncommitted change of a pin.
    pub(super) fn uncommitted_batch(&self, key: &PinKey) -> Option<u64> {
        self.uncommitted_pins.get(key).copied()
    }

    /// Seals the open batch if something waits for it and the previous batch is committed. With
    /// only one batch in flight, a slow replica or an exhausted budget leads to larger batches
    /// instead of more of them.
    pub(super) fn seal_if_ready(&mut self) {
        if !self.has_open_batch() || self.last_sealed > self.last_committed {
            return;
        }
        self.seal_batch();
    }

    /// Returns whether something waits for the open batch.
    pub(super) fn has_open_batch(&self) -> bool {
        !self.open_changes.is_empty() || self.needs_seal
    }

    fn seal_batch(&mut self) {
        let runs = encode_runs(std::mem::take(&mut self.open_changes));
        self.needs_seal = false;
        let marks = std::mem::take(&mut self.open_marks);
        self.push_batch(runs, marks, None);
        self.advance_commit();
    }

    /// Takes the batches that were never sent, for each other replica.
    pub(super) fn take_unsent(&mut self, suspected: &BTreeSet<NodeId>) -> Vec<(NodeId, PinBatch)> {
        let unsent = std::mem::take(&mut self.unsent);
        let batches: Vec<&PinBatch> = unsent
            .iter()
            .filter_map(|sequence| self.retained.get(sequence))
            .collect();
        let mut messages = Vec::new();
        let receivers = self.receivers();
        for replica in receivers
            .into_iter()
            .filter(|node| !suspected.contains(node))
        {
            messages.extend(batches.iter().map(|batch| (replica, (*batch).clone())));
        }
        messages
    }

    /// Returns unacknowledged batches, oldest first, for each other replica that has acknowledged
    /// none since the previous call.
    pub(super) fn take_stalled_batches(
        &mut self,
        suspected: &BTreeSet<NodeId>,
    ) -> Vec<(NodeId, PinBatch)> {
        let mut messages = Vec::new();
        for replica in self.receivers() {
            let progress = Progress {
                acknowledged: self.acknowledged_by(replica),
                last_sealed: self.last_sealed,
            };
            let before = self.progress.insert(replica, progress);
            let is_stalled = before.is_some_and(|before| before.is_stalled(progress));
            if !is_stalled || suspected.contains(&replica) {
                continue;
            }
            let batches = self.retained.range(progress.acknowledged + 1..);
            let batches = batches.take(MAX_RESENT_BATCHES);
            messages.extend(batches.map(|(_, batch)| (replica, batch.clone())));
        }
        messages
    }

    fn receivers(&self) -> Vec<NodeId> {
        let receives = |node: &NodeId| *node != self.node && !self.lagging.contains(node);
        let replicas = self.configuration.replicas.iter().copied();
        replicas.filter(receives).collect()
    }

    /// Records that a replica stores all batches up to `sequence`.
    pub(super) fn acknowledge(&mut self, replica: NodeId, sequence: u64) {
        if !self.configuration.replicas.contains(&replica) || sequence > self.last_sealed {
            return;
        }
        let last = self.acknowledged.entry(replica).or_default();
        *last = (*last).max(sequence);
        self.advance_commit();
    }

    fn acknowledged_by(&self, replica: NodeId) -> u64 {
        if replica == self.node {
            return self.last_sealed;
        }
        self.acknowledged.get(&replica).copied().unwrap_or(0)
    }

    fn advance_commit(&mut self) {
        let mut next = self.last_committed;
        while next < self.last_sealed {
            let candidate = next + 1;
            let has_batch = |node| self.acknowledged_by(node) >= candidate;
            if !self.configuration.has_majority(has_batch) {
                break;
            }
            next = candidate;
        }
        if next > self.last_committed {
            self.last_committed = next;
            self.uncommitted_pins.retain(|_, sequence| *sequence > next);
        }
    }

    /// Drops batches that all replicas store. A replica that is too far behind receives no more
    /// batches: it needs a new copy.
    pub(super) fn trim(&mut self, limits: LogLimits) {
        while self.retained.len() > limits.unacknowledged_batches && self.serves() {
            let receivers = self.receivers();
            let Some(slowest) = receivers
                .into_iter()
                .min_by_key(|node| self.acknowledged_by(*node))
            else {
                break;
            };
            if self.acknowledged_by(slowest) >= self.last_committed {
                break;
            }
            self.lagging.insert(slowest);
            self.drop_fully_replicated();
        }
        self.drop_fully_replicated();
    }

    fn drop_fully_replicated(&mut self) {
        let receivers = self.receivers();
        let positions = receivers.iter().map(|node| self.acknowledged_by(*node));
        let fully_replicated = positions
            .min()
            .unwrap_or(self.last_sealed)
            .min(self.last_committed);
        self.retained = self.retained.split_off(&(fully_replicated + 1));
    }

    pub(super) fn lagging(&self) -> &BTreeSet<NodeId> {
        &self.lagging
    }

    /// Keeps `item` until batch `sequence` is committed.
    pub(super) fn add_pending(&mut self, sequence: u64, item: PendingItem) {
        self.pending.entry(sequence).or_default().push(item);
    }

    /// Returns whether a confirmation of the same part to the same node is already pending.
    pub(super) fn has_pending_receipt(&self, receipt: &PendingReceipt) -> bool {
        let mut pending = self.pending.values().flatten();
        pending.any(|item| match item {
            PendingItem::Receipt(other) => {
                other.to == receipt.to && other.receipt == receipt.receipt
            }
            _ => false,
        })
    }

    /// Takes the items whose batches are committed.
    pub(super) fn take_committed(&mut self) -> Vec<PendingItem> {
        let later = self.pending.split_off(&(self.last_committed + 1));
        let released = std::mem::replace(&mut self.pending, later);
        released.into_values().flatten().collect()
    }

    /// Takes the items whose deadline has passed.
    pub(super) fn take_expired(&mut self, now: Timestamp) -> Vec<PendingItem> {
        let mut expired = Vec::new();
        for items in self.pending.values_mut() {
            expired.extend(items.extract_if(.., |item| item.deadline() <= now));
        }
        self.pending.retain(|_, items| !items.is_empty());
        expired
    }

    /// Takes all pending items.
    pub(super) fn take_pending(&mut self) -> Vec<PendingItem> {
        let pending = std::mem::take(&mut self.pending);
        pending.into_values().flatten().collect()
    }

    pub(super) fn count_opened(&mut self, destination: PinDestination) {
        if let PinDestination::Backend(backend) = destination {
            *self.open_flows.entry(backend).or_default() += 1;
        }
    }

    pub(super) fn count_ended(&mut self, destination: PinDestination) {
        let PinDestination::Backend(backend) = destination else {
            return;
        };
        if let Some(count) = self.open_flows.get_mut(&backend) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the number of flows pinned to `backend` whose end was not reported.
    pub(super) fn open_flows(&self, backend: BackendId) -> u32 {
        self.open_flows.get(&backend).copied().unwrap_or(0)
    }
}
