//! What a node knows of all backend instances, and of those whose records have gone.
//!
//! A record that went is no proof that its instance has ended: some serve on without a word,
//! and an outage of the store takes records of healthy instances. So a gone instance stays
//! known (a tombstone) for as long as a flow of its may live, and its flows go on.

mod address_reuse;
mod restoration;

pub use address_reuse::FirstCreation;

use crate::cookie::delta::{DirectoryDelta, RevisionGap};
use crate::cookie::instance::{Cookie, InstanceEvent, InstanceId, InstanceRecord};
use crate::cookie::revision::Revision;
use crate::time::Timestamp;
use address_reuse::earlier;
use restoration::is_of_another_era;
use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Most tombstones held; the oldest go first. 64 times the instances of the users' largest
/// service.
pub const MAXIMUM_TOMBSTONES: usize = 65_536;

/// Most gaps held; each is 16 bytes in each delta across it. A store that forgets its history does so every few seconds
/// at the worst, and peers are seconds behind at most.
const MAXIMUM_GAPS: usize = 8;

/// An instance, present or gone, and what the node has noted about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownInstance {
    /// Its record as last read, but for its creation: the first one ever heard of, also across lapses.
    pub record: InstanceRecord,
    /// From when on it works at full speed.
    pub warm_at: Timestamp,
    /// When its record went, if it has.
    pub removed_at: Option<Timestamp>,
    /// The revision by which its record had gone, if it has; it may have gone a little earlier.
    pub removed_revision: Revision,
    /// Whether this node knew an earlier run of the instance.
    pub restarted: bool,
    /// Until when it takes no new flows, as it may have ended before the store was restored.
    pub excluded_until: Option<Timestamp>,
}

/// A gone instance as nodes tell each other of it.
#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Tombstone {
    /// Its record as last read.
    pub record: InstanceRecord,
    /// How long ago its record went, milliseconds.
    pub age_milliseconds: u32,
    /// The revision by which it had gone.
    pub revision: Revision,
}

/// All instances that a node knows.
#[derive(Debug)]
pub struct Directory {
    tombstone_lifetime: Duration,
    known: BTreeMap<InstanceId, KnownInstance>,
    as_of: Option<Revision>,
    changed_at: Revision,
    /// All instances that went after this revision are still known, but for those that came and went in a gap.
    complete_since: Revision,
    /// The last spans of which only lists at their ends are known, the oldest first.
    gaps: Vec<RevisionGap>,
    /// No instance went before, of those that are known; none if none has gone.
    oldest_removed_at: Option<Timestamp>,
    /// What [`Self::with_reused_address`] told, until something changes: asked for again with each table and each doubt, and
    /// it looks at all instances.
    with_reused_address: OnceCell<BTreeSet<InstanceId>>,
    /// Instances that have started again since they were last asked for.
    restarted: Vec<InstanceId>,
    /// When the first of [`KnownInstance::excluded_until`] is over, if there is one.
    first_exclusion_ends_at: Option<Timestamp>,
}

impl Directory {
    /// An empty directory that remembers gone instances for `tombstone_lifetime`.
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
        }
    }

    /// The revision up to which all changes are known; none before the first whole list.
    #[must_use]
    pub const fn as_of(&self) -> Option<Revision> {
        self.as_of
    }

    /// The revision of the last change of content.
    #[must_use]
    pub const fn changed_at(&self) -> Revision {
        self.changed_at
    }

    /// All instances, present and gone, by id.
    pub fn instances(&self) -> impl Iterator<Item = &KnownInstance> {
        self.known.values()
    }

    /// How many instances are known, present and gone.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no instance is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The instance that a cookie names. Of several with one cookie it is one that has an id of no more than
    /// 32 bits, which is its own cookie, or the first by id.
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

    /// Takes over a whole list that was true at revision `at`, from the store or a peer.
    /// Returns whether anything changed; a list older than what is known changes nothing.
    pub fn replace(&mut self, now: Timestamp, at: Revision, records: Vec<InstanceRecord>) -> bool {
        let learned = self.merge_creations(records.iter().filter_map(FirstCreation::of));
        if self.as_of.is_some_and(|known| at < known) {
            return learned;
        }
        let mut changed = self.as_of.is_none();
        match self.as_of {
            None => self.complete_since = at,
            // Peers that know a revision in between can't be told by a delta, nor that nothing has changed.
            Some(from) if from < at => self.record_gap(RevisionGap { from, to: at }),
            Some(_) => {}
        }
        if self.as_of != Some(at) {
            self.changed_at = at;
        }
        let listed: BTreeSet<InstanceId> = records.iter().map(|record| record.id).collect();
        for known in self.known.values_mut() {
            if !listed.contains(&known.record.id) && known.removed_at.is_none() {
                known.removed_at = Some(now);
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

    /// Takes over the changes up to revision `at`. Returns whether anything changed.
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

    /// What has changed since a revision, for a peer that knows everything up to it; none if too
    /// much has been forgotten since then, or if this node knows no more.
    #[must_use]
    pub fn delta_since(&self, now: Timestamp, since: Revision) -> Option<DirectoryDelta> {
        let as_of = self.as_of?;
        let is_in_gap = self.gaps.iter().any(|gap| gap.contains(since));
        if since < self.complete_since || since >= as_of || is_in_gap {
            return None;
        }
        let present = self
            .known
            .values()
            .filter(|known| known.removed_at.is_none());
        let changed = present.filter(|known| known.record.revision > since);
        Some(DirectoryDelta {
            since,
            as_of,
            gaps: self.gaps_since(since),
            records: changed.map(|known| known.record_at(now)).collect(),
            tombstones: self.tombstones_since(now, since),
        })
    }

    /// Takes over what a peer knows to have changed. Returns whether anything changed; a delta
    /// that starts after what is known, or ends before it, changes nothing, nor does one with a gap around what is known.
    pub fn apply_delta(&mut self, now: Timestamp, delta: DirectoryDelta) -> bool {
        let Some(as_of) = self.as_of.filter(|as_of| *as_of >= delta.since) else {
            return false;
        };
        if delta.gaps.iter().any(|gap| gap.contains(as_of)) {
            return false;
        }
        for gap in delta.gaps.iter().filter(|gap| as_of <= gap.from) {
            self.record_gap(*gap);
        }
        let learned = self.merge_creations(delta.records.iter().filter_map(FirstCreation::of));
        let gone = delta.tombstones.iter();
        let gone = gone.map(|tombstone| InstanceEvent::Gone(tombstone.record.id));
        let put = delta.records.into_iter().map(InstanceEvent::Put);
        let changed = self.apply(now, delta.as_of, put.chain(gone).collect());
        self.merge_tombstones(now, delta.tombstones) || changed || learned
    }

    /// What came and went within a span isn't known. Of many spans the oldest counts as if all before it were unknown.
    fn record_gap(&mut self, gap: RevisionGap) {
        if self.gaps.contains(&gap) {
            return;
        }
        self.gaps.push(gap);
        if self.gaps.len() > MAXIMUM_GAPS {
            let oldest = self.gaps.remove(0);
            self.complete_since = oldest.to.max(self.complete_since);
        }
    }

    /// The spans that end after a revision.
    fn gaps_since(&self, since: Revision) -> Vec<RevisionGap> {
        let gaps = self.gaps.iter().filter(|gap| gap.to > since);
        gaps.copied().collect()
    }

    /// A peer's word that nothing has changed after `changed_at` up to `as_of`.
    pub fn confirm(&mut self, changed_at: Revision, as_of: Revision) {
        if let Some(known) = &mut self.as_of
            && changed_at <= *known
        {
            *known = as_of.max(*known);
        }
    }

    /// Learns of gone instances that this node never saw, so that their flows go on here too, and of
    /// earlier creations of those that it knows. Returns whether anything was new.
    pub fn merge_tombstones(&mut self, now: Timestamp, tombstones: Vec<Tombstone>) -> bool {
        let records = tombstones.iter().map(|tombstone| &tombstone.record);
        let mut changed = self.merge_creations(records.filter_map(FirstCreation::of));
        for tombstone in tombstones {
            let age = Duration::from_millis(u64::from(tombstone.age_milliseconds));
            let known = self.known.contains_key(&tombstone.record.id);
            if known || age >= self.tombstone_lifetime {
                continue;
            }
            let removed_at = now.before(age);
            let id = tombstone.record.id;
            let instance = KnownInstance {
                record: tombstone.record,
                warm_at: removed_at,
                removed_at: Some(removed_at),
                removed_revision: tombstone.revision,
                restarted: false,
                excluded_until: None,
            };
            self.known.insert(id, instance);
            self.record_removal(removed_at);
            changed = true;
        }
        changed
    }

    /// Forgets gone instances that can have no flow any more, and ends doubts. Returns whether there was any.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let exclusions_ended = self.end_exclusions(now);
        self.expire_tombstones(now) || exclusions_ended
    }

    fn expire_tombstones(&mut self, now: Timestamp) -> bool {
        let before = self.known.len();
        let lifetime = self.tombstone_lifetime;
        let oldest = self.oldest_removed_at;
        let is_due = oldest.is_some_and(|removed_at| now.since(removed_at) >= lifetime);
        if !is_due && before <= MAXIMUM_TOMBSTONES {
            return false;
        }
        let complete_since = &mut self.complete_since;
        self.known.retain(|_, known| {
            let kept = known
                .removed_at
                .is_none_or(|removed_at| now.since(removed_at) < lifetime);
            if !kept {
                *complete_since = known.removed_revision.max(*complete_since);
            }
            kept
        });
        self.drop_excess_tombstones();
        self.oldest_removed_at = self
            .known
            .values()
            .filter_map(|known| known.removed_at)
            .min();
        let expired = self.known.len() != before;
        if expired {
            self.with_reused_address.take();
        }
        expired
    }

    /// The records of all present instances, with the time they stay cold from `now` on.
    #[must_use]
    pub fn records(&self, now: Timestamp) -> Vec<InstanceRecord> {
        let present = self
            .known
            .values()
            .filter(|known| known.removed_at.is_none());
        present.map(|known| known.record_at(now)).collect()
    }

    /// The instances that went after a revision, with their age.
    #[must_use]
    pub fn tombstones_since(&self, now: Timestamp, since: Revision) -> Vec<Tombstone> {
        self.tombstones_where(now, |known| known.removed_revision > since)
    }

    fn tombstones_where(
        &self,
        now: Timestamp,
        wanted: impl Fn(&KnownInstance) -> bool,
    ) -> Vec<Tombstone> {
        let gone = self.known.values().filter(|known| wanted(known));
        let gone = gone.filter_map(|known| {
            let age = now.since(known.removed_at?);
            Some(Tombstone {
                record: known.record.clone(),
                age_milliseconds: saturating_milliseconds(age),
                revision: known.removed_revision,
            })
        });
        gone.collect()
    }

    /// An instance went at a time.
    fn record_removal(&mut self, removed_at: Timestamp) {
        let oldest = self
            .oldest_removed_at
            .map_or(removed_at, |oldest| oldest.min(removed_at));
        self.oldest_removed_at = Some(oldest);
        self.with_reused_address.take();
    }

    fn advance(&mut self, at: Revision, changed: bool) -> bool {
        self.as_of = Some(at);
        if changed {
            self.changed_at = at;
            self.with_reused_address.take();
        }
        changed
    }

    /// Instances that have started again since the last call: what was held of their earlier runs counts no longer.
    pub fn take_restarted(&mut self) -> Vec<InstanceId> {
        std::mem::take(&mut self.restarted)
    }

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
            removed_revision: Revision::new(0),
            restarted,
            excluded_until: None,
            record,
        };
        self.known.insert(instance.record.id, instance);
        true
    }

    /// An instance is gone. One that came and went within one answer is known by its `record`
    /// there: a peer that asked in between may know it as present.
    fn remove(
        &mut self,
        now: Timestamp,
        at: Revision,
        id: InstanceId,
        record: Option<InstanceRecord>,
    ) -> bool {
        match (self.known.get_mut(&id), record) {
            (Some(known), _) if known.removed_at.is_none() => {
                known.removed_at = Some(now);
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
                known.removed_revision = at;
                true
            }
            (None, Some(record)) => {
                let instance = KnownInstance {
                    record,
                    warm_at: now,
                    removed_at: Some(now),
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

    fn drop_excess_tombstones(&mut self) {
        if self.known.len() <= MAXIMUM_TOMBSTONES {
            return;
        }
        let mut gone: Vec<(Timestamp, InstanceId)> = self
            .known
            .values()
            .filter_map(|known| Some((known.removed_at?, known.record.id)))
            .collect();
        let excess = gone.len().saturating_sub(MAXIMUM_TOMBSTONES);
        gone.sort_unstable();
        for (_, id) in gone.into_iter().take(excess) {
            if let Some(known) = self.known.remove(&id) {
                self.complete_since = known.removed_revision.max(self.complete_since);
            }
        }
    }
}

impl KnownInstance {
    fn record_at(&self, now: Timestamp) -> InstanceRecord {
        InstanceRecord {
            cold_remaining_milliseconds: saturating_milliseconds(self.warm_at.since(now)),
            ..self.record.clone()
        }
    }
}

/// The last event of an instance among several.
struct LastEvent {
    event: InstanceEvent,
    /// The last record of it among them.
    record: Option<InstanceRecord>,
}

/// The last event of each instance. The earlier ones may be older than what is known: an
/// instance that went and came back before then must not go again.
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

/// Whether a record is of an earlier run of its instance than another one. A write of an earlier run may reach the
/// store after those of the later one.
fn is_of_earlier_run(record: &InstanceRecord, other: &InstanceRecord) -> bool {
    let runs = record.started.zip(other.started);
    runs.is_some_and(|(started, other_started)| started < other_started)
}

fn saturating_milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
