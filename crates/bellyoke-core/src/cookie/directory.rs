//! Directory of all backend instances, including those whose records were deleted.
//!
//! The deletion of a record doesn't prove that its instance has ended: some instances keep serving
//! without renewing their records, and after an outage of the store records of healthy instances
//! are deleted. The directory therefore keeps an instance whose record was deleted (a removed
//! instance) as a tombstone for the maximum lifetime of a flow, and its existing flows continue.

mod address_reuse;
mod deltas;
mod restoration;
mod tombstones;

pub use address_reuse::FirstCreation;

use crate::cookie::delta::RevisionGap;
use crate::cookie::instance::{Cookie, InstanceEvent, InstanceId, InstanceRecord};
use crate::cookie::revision::Revision;
use crate::time::Timestamp;
use address_reuse::earlier;
use restoration::is_of_another_era;
use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of tombstones; the oldest are dropped first. It is 64 times the number of
/// instances of the largest known service.
pub const MAXIMUM_TOMBSTONES: usize = 65_536;

/// Maximum number of revision gaps. Each gap adds 16 bytes to every delta that spans it. A store
/// that discards its history does so every few seconds in the worst case, and peers are at most
/// seconds behind.
const MAXIMUM_GAPS: usize = 8;

/// An instance, present or removed, and the node's own data about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownInstance {
    /// The record as last read. Its `created` is the earliest known creation, also after the record
    /// has expired and was created again.
    pub record: InstanceRecord,
    /// When its slow start (the time in which it is cold) ends.
    pub warm_at: Timestamp,
    /// When this node learned that its record was deleted, if it was.
    pub removed_at: Option<Timestamp>,
    /// Until when a removed instance's record is known to have existed. It was deleted at this time
    /// or later.
    pub present_until: Timestamp,
    /// A revision at which its record was known to be deleted; the deletion may be slightly
    /// earlier. Zero if the instance is present.
    pub removed_revision: Revision,
    /// Whether this node knew an earlier run of the instance.
    pub restarted: bool,
    /// When its exclusion from new flows ends. It is excluded if it may have ended before the store
    /// was restored.
    pub excluded_until: Option<Timestamp>,
}

/// A removed instance in messages between nodes.
#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Tombstone {
    /// The record as last read.
    pub record: InstanceRecord,
    /// Time since its record was last known to exist, in milliseconds.
    pub age_milliseconds: u32,
    /// A revision at which the record was known to be deleted.
    pub revision: Revision,
}

/// All instances known to a node.
#[derive(Debug)]
pub struct Directory {
    tombstone_lifetime: Duration,
    known: BTreeMap<InstanceId, KnownInstance>,
    as_of: Option<Revision>,
    changed_at: Revision,
    /// Tombstones are complete after this revision, except for instances that were added and
    /// removed within a gap.
    complete_since: Revision,
    /// The most recent revision gaps, the oldest first.
    gaps: Vec<RevisionGap>,
    /// Lower bound of the removal times of all tombstones, if there are any.
    oldest_removed_at: Option<Timestamp>,
    /// Cached result of [`Self::with_reused_address`], which scans all instances and is called for
    /// each table and each suspicion. Cleared by changes.
    with_reused_address: OnceCell<BTreeSet<InstanceId>>,
    /// Instances that have restarted since the last call of [`Self::take_restarted`].
    restarted: Vec<InstanceId>,
    /// The earliest [`KnownInstance::excluded_until`], if there is any.
    first_exclusion_ends_at: Option<Timestamp>,
    /// Until when the known state was the newest one, for the deletions in the update that is being
    /// applied; `None` if that is unknown.
    newest_until: Option<Timestamp>,
    /// The services that the configuration names; `None` before the first configuration.
    named_services: Option<BTreeSet<String>>,
    /// Whether known records may have revisions of another history of the store than they are from.
    may_mix_histories: bool,
}

impl Directory {
    /// Creates an empty directory that keeps tombstones for `tombstone_lifetime`.
    #[must_use]
    pub const fn new(tombstone_lifetime: Duration) -> Self {
        Self {
            tombstone_lifetime,
            known: BTreeMap::new(),
            as_of: None,
            changed_at: Revision::new(0),
            complete_since: Revision::new(0),
            gaps: Vec::new(),
            oldest_removed_at: None,
            with_reused_address: OnceCell::new(),
            restarted: Vec::new(),
            first_exclusion_ends_at: None,
            newest_until: None,
            named_services: None,
            may_mix_histories: false,
        }
    }

    /// Sets until when the known state was the newest one. Deletions in the following updates are
    /// later. With `None` they are taken for as new as the update.
    pub(crate) const fn set_newest_until(&mut self, newest_until: Option<Timestamp>) {
        self.newest_until = newest_until;
    }

    /// Returns until when a record existed whose deletion is learned now.
    fn present_until(&self, now: Timestamp) -> Timestamp {
        self.newest_until.map_or(now, |until| until.min(now))
    }

    /// Sets the services that the configuration names. Records of other services may be those of
    /// another writer and decide nothing about other instances.
    pub fn set_named_services(&mut self, services: BTreeSet<String>) {
        if self.named_services.as_ref() != Some(&services) {
            self.named_services = Some(services);
            self.with_reused_address.take();
        }
    }

    /// Returns whether the configuration names the service of a record. Before the first
    /// configuration every service counts as named.
    #[must_use]
    pub fn names_service_of(&self, record: &InstanceRecord) -> bool {
        let named = self.named_services.as_ref();
        named.is_none_or(|named| named.contains(&record.service))
    }

    /// Sets whether known records may have revisions of another history of the store than they are
    /// from. Those that a new era repeats then take their new revisions, so that peers get them.
    pub(crate) const fn set_may_mix_histories(&mut self, may_mix: bool) {
        self.may_mix_histories = may_mix;
    }

    /// Returns the revision up to which all changes are known, or `None` before the first full
    /// list.
    #[must_use]
    pub const fn as_of(&self) -> Option<Revision> {
        self.as_of
    }

    /// Returns the revision of the last change of content.
    #[must_use]
    pub const fn changed_at(&self) -> Revision {
        self.changed_at
    }

    /// Iterates over all instances, present and removed, in the order of their ids.
    pub fn instances(&self) -> impl Iterator<Item = &KnownInstance> {
        self.known.values()
    }

    /// Returns the number of instances, present and removed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no instance is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the instance that a cookie identifies. If several instances have the same cookie,
    /// returns the one whose id fits 32 bits and therefore equals the cookie, or else the first by
    /// id.
    #[must_use]
    pub fn find(&self, cookie: Cookie) -> Option<&KnownInstance> {
        let own = self.known.get(&InstanceId(u64::from(cookie.bits())));
        own.or_else(|| {
            let first_wide = InstanceId(u64::from(u32::MAX) + 1);
            let zero = self.known.get_key_value(&InstanceId(0));
            let mut folded = zero.into_iter().chain(self.known.range(first_wide..));
            folded.find_map(|(id, known)| (Cookie::of(*id) == cookie).then_some(known))
        })
    }

    /// Replaces the directory with a full list as of revision `at`, from the store or a peer.
    /// Returns whether anything changed. A list older than the known state updates only creations.
    pub fn replace(&mut self, now: Timestamp, at: Revision, records: Vec<InstanceRecord>) -> bool {
        let learned = self.merge_creations(records.iter().filter_map(FirstCreation::of));
        if self.as_of.is_some_and(|known| at < known) {
            return learned;
        }
        let mut changed = self.as_of.is_none();
        match self.as_of {
            None => self.complete_since = at,
            // A peer at a revision in between can be neither updated by a delta nor confirmed as
            // unchanged.
            Some(from) if from < at => self.record_gap(RevisionGap { from, to: at }),
            Some(_) => {}
        }
        if self.as_of != Some(at) {
            self.changed_at = at;
        }
        let listed: BTreeSet<InstanceId> = records.iter().map(|record| record.id).collect();
        let present_until = self.present_until(now);
        for known in self.known.values_mut() {
            if !listed.contains(&known.record.id) && known.removed_at.is_none() {
                known.removed_at = Some(now);
                known.present_until = present_until;
                known.removed_revision = at;
                changed = true;
            }
        }
        if changed {
            self.record_removal(now);
        }
        for record in records {
            changed |= self.put(now, record);
        }
        self.advance(at, changed) || learned
    }

    /// Applies the changes up to revision `at`. Returns whether anything changed.
    pub fn apply(&mut self, now: Timestamp, at: Revision, events: Vec<InstanceEvent>) -> bool {
        let Some(as_of) = self.as_of else {
            return false;
        };
        if at <= as_of {
            return false;
        }
        let mut changed = false;
        for LastEvent { event, record } in last_events(events) {
            changed |= match event {
                InstanceEvent::Put(record) if record.revision <= as_of => false,
                InstanceEvent::Put(record) => self.put(now, record),
                InstanceEvent::Gone(id) => self.remove(now, at, id, record),
            };
        }
        self.advance(at, changed)
    }

    /// Records a peer's confirmation that nothing has changed after `changed_at` up to `as_of`. It
    /// has no effect if this node doesn't know everything up to `changed_at`.
    pub fn confirm(&mut self, changed_at: Revision, as_of: Revision) {
        if let Some(known) = &mut self.as_of
            && changed_at <= *known
        {
            *known = as_of.max(*known);
        }
    }

    /// Drops tombstones that are too old to have flows, and ends exclusions that are over. Returns
    /// whether there were any.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let exclusions_ended = self.end_exclusions(now);
        self.expire_tombstones(now) || exclusions_ended
    }

    /// Returns the records of all present instances, with the remaining time of their slow start.
    #[must_use]
    pub fn records(&self, now: Timestamp) -> Vec<InstanceRecord> {
        let present = self
            .known
            .values()
            .filter(|known| known.removed_at.is_none());
        present.map(|known| known.record_at(now)).collect()
    }

    /// Sets the known revision. Returns `changed`.
    fn advance(&mut self, at: Revision, changed: bool) -> bool {
        self.as_of = Some(at);
        if changed {
            self.changed_at = at;
            self.with_reused_address.take();
        }
        changed
    }

    /// Returns the instances that have restarted since the last call. State about their earlier
    /// runs no longer applies.
    pub fn take_restarted(&mut self) -> Vec<InstanceId> {
        std::mem::take(&mut self.restarted)
    }

    /// Adds or updates an instance. Returns whether anything changed.
    fn put(&mut self, now: Timestamp, mut record: InstanceRecord) -> bool {
        let cold = Duration::from_millis(u64::from(record.cold_remaining_milliseconds));
        let mut restarted = false;
        if let Some(known) = self.known.get(&record.id) {
            if is_of_another_era(&record, known) {
                return self.put_across_eras(now, record);
            }
            let is_known = known.removed_at.is_none() && known.record.revision >= record.revision;
            if is_known || is_of_earlier_run(&record, &known.record) {
                return false;
            }
            restarted = is_of_earlier_run(&known.record, &record);
            if restarted {
                self.restarted.push(record.id);
            } else {
                record.created = earlier(known.record.created, record.created);
                restarted = known.restarted;
            }
        }
        let instance = KnownInstance {
            warm_at: now.after(cold),
            removed_at: None,
            present_until: now,
            removed_revision: Revision::new(0),
            restarted,
            excluded_until: None,
            record,
        };
        self.known.insert(instance.record.id, instance);
        true
    }

    /// Turns an instance into a tombstone. `record` is its last record within the same answer, if
    /// there is one: an instance that was added and removed within one answer needs a tombstone
    /// too, since a peer that read the store in between may know it as present.
    fn remove(
        &mut self,
        now: Timestamp,
        at: Revision,
        id: InstanceId,
        record: Option<InstanceRecord>,
    ) -> bool {
        let present_until = self.present_until(now);
        match (self.known.get_mut(&id), record) {
            (Some(known), _) if known.removed_at.is_none() => {
                known.removed_at = Some(now);
                known.present_until = present_until;
                known.removed_revision = at;
                self.record_removal(now);
                true
            }
            (Some(known), Some(record)) => {
                if is_of_earlier_run(&known.record, &record) {
                    known.record = record;
                } else if !is_of_earlier_run(&record, &known.record) {
                    let created = earlier(known.record.created, record.created);
                    known.record = InstanceRecord { created, ..record };
                }
                known.removed_at = Some(now);
                known.present_until = present_until;
                known.removed_revision = at;
                true
            }
            (None, Some(record)) => {
                let instance = KnownInstance {
                    record,
                    warm_at: now,
                    removed_at: Some(now),
                    present_until,
                    removed_revision: at,
                    restarted: false,
                    excluded_until: None,
                };
                self.known.insert(id, instance);
                self.record_removal(now);
                true
            }
            _ => false,
        }
    }
}

impl KnownInstance {
    /// Returns the record with the remaining time of the slow start at `now`.
    fn record_at(&self, now: Timestamp) -> InstanceRecord {
        InstanceRecord {
            cold_remaining_milliseconds: saturating_milliseconds(self.warm_at.since(now)),
            ..self.record.clone()
        }
    }
}

/// The last event of an instance in a batch.
struct LastEvent {
    event: InstanceEvent,
    /// The last record of the instance in the batch.
    record: Option<InstanceRecord>,
}

/// Returns the last event of each instance. Earlier ones may be older than the known state: an
/// instance that was removed and added again before the known revision must not be removed again.
fn last_events(events: Vec<InstanceEvent>) -> Vec<LastEvent> {
    let mut last: BTreeMap<InstanceId, LastEvent> = BTreeMap::new();
    for event in events {
        let id = event.id();
        let record = match &event {
            InstanceEvent::Put(record) => Some(record.clone()),
            InstanceEvent::Gone(_) => last.remove(&id).and_then(|earlier| earlier.record),
        };
        last.insert(id, LastEvent { event, record });
    }
    last.into_values().collect()
}

/// Returns whether a record belongs to an earlier run of its instance than another one. A delayed
/// write of the earlier run may reach the store after those of the later run.
fn is_of_earlier_run(record: &InstanceRecord, other: &InstanceRecord) -> bool {
    let runs = record.started.zip(other.started);
    runs.is_some_and(|(started, other_started)| started < other_started)
}

fn saturating_milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
