//! What a node knows of all backend instances, and of those whose records have gone.
//!
//! A record that went is no proof that its instance has ended: some serve on without a word,
//! and an outage of the store takes records of healthy instances. So a gone instance stays
//! known (a tombstone) for as long as a flow of its may live, and its flows go on.

use crate::cookie::instance::{InstanceEvent, InstanceId, InstanceRecord};
use crate::cookie::revision::Revision;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Most tombstones held; the oldest go first. 64 times the instances of the users' largest
/// service.
pub const MAXIMUM_TOMBSTONES: usize = 65_536;

/// An instance, present or gone, and what the node has noted about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownInstance {
    /// Its record as last read.
    pub record: InstanceRecord,
    /// When this node first heard of it.
    pub first_seen: Timestamp,
    /// From when on it works at full speed.
    pub warm_at: Timestamp,
    /// When its record went, if it has.
    pub gone_at: Option<Timestamp>,
}

/// A gone instance as nodes tell each other of it.
#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Tombstone {
    /// Its record as last read.
    pub record: InstanceRecord,
    /// How long ago its record went, milliseconds.
    pub age_milliseconds: u32,
}

/// All instances that a node knows.
#[derive(Debug)]
pub struct Directory {
    tombstone_lifetime: Duration,
    known: BTreeMap<InstanceId, KnownInstance>,
    as_of: Option<Revision>,
    changed_at: Revision,
}

impl Directory {
    /// An empty directory that remembers gone instances for `tombstone_lifetime`.
    #[must_use]
    pub const fn new(tombstone_lifetime: Duration) -> Self {
        Self {
            tombstone_lifetime,
            known: BTreeMap::new(),
            as_of: None,
            changed_at: Revision(0),
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

    /// Takes over a whole list that was true at revision `at`, from the store or a peer.
    /// Returns whether anything changed; a list older than what is known changes nothing.
    pub fn replace(&mut self, now: Timestamp, at: Revision, records: Vec<InstanceRecord>) -> bool {
        if self.as_of.is_some_and(|known| at < known) {
            return false;
        }
        let mut changed = self.as_of.is_none();
        let listed: BTreeSet<InstanceId> = records.iter().map(|record| record.id).collect();
        for known in self.known.values_mut() {
            if !listed.contains(&known.record.id) && known.gone_at.is_none() {
                known.gone_at = Some(now);
                changed = true;
            }
        }
        for record in records {
            changed |= self.put(now, record);
        }
        self.advance(at, changed)
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
        for event in last_events(events) {
            changed |= match event {
                InstanceEvent::Put(record) if record.revision <= as_of => false,
                InstanceEvent::Put(record) => self.put(now, record),
                InstanceEvent::Gone(id) => self.remove(now, id),
            };
        }
        self.advance(at, changed)
    }

    /// Learns of gone instances that this node never saw, so that their flows go on here too.
    /// Returns whether any was new.
    pub fn learn_tombstones(&mut self, now: Timestamp, tombstones: Vec<Tombstone>) -> bool {
        let mut changed = false;
        for tombstone in tombstones {
            let age = Duration::from_millis(u64::from(tombstone.age_milliseconds));
            let known = self.known.contains_key(&tombstone.record.id);
            if known || age >= self.tombstone_lifetime {
                continue;
            }
            let gone_at = now.before(age);
            let id = tombstone.record.id;
            let instance = KnownInstance {
                record: tombstone.record,
                first_seen: gone_at,
                warm_at: gone_at,
                gone_at: Some(gone_at),
            };
            self.known.insert(id, instance);
            changed = true;
        }
        changed
    }

    /// Forgets gone instances that can have no flow any more. Returns whether any was.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.known.len();
        let lifetime = self.tombstone_lifetime;
        self.known.retain(|_, known| {
            known
                .gone_at
                .is_none_or(|gone_at| now.since(gone_at) < lifetime)
        });
        self.drop_excess_tombstones();
        self.known.len() != before
    }

    /// The records of all present instances, with the time they stay cold from `now` on.
    #[must_use]
    pub fn records(&self, now: Timestamp) -> Vec<InstanceRecord> {
        let present = self.known.values().filter(|known| known.gone_at.is_none());
        present.map(|known| known.record_at(now)).collect()
    }

    /// All gone instances, with their age.
    #[must_use]
    pub fn tombstones(&self, now: Timestamp) -> Vec<Tombstone> {
        let gone = self.known.values().filter_map(|known| {
            let age = now.since(known.gone_at?);
            Some(Tombstone {
                record: known.record.clone(),
                age_milliseconds: saturating_milliseconds(age),
            })
        });
        gone.collect()
    }

    fn advance(&mut self, at: Revision, changed: bool) -> bool {
        self.as_of = Some(at);
        if changed {
            self.changed_at = at;
        }
        changed
    }

    fn put(&mut self, now: Timestamp, record: InstanceRecord) -> bool {
        let cold = Duration::from_millis(u64::from(record.cold_remaining_milliseconds));
        let first_seen = match self.known.get(&record.id) {
            Some(known) if known.gone_at.is_none() && known.record.revision >= record.revision => {
                return false;
            }
            Some(known) => known.first_seen,
            None => now,
        };
        let instance = KnownInstance {
            first_seen,
            warm_at: now.after(cold),
            gone_at: None,
            record,
        };
        self.known.insert(instance.record.id, instance);
        true
    }

    fn remove(&mut self, now: Timestamp, id: InstanceId) -> bool {
        match self.known.get_mut(&id) {
            Some(known) if known.gone_at.is_none() => {
                known.gone_at = Some(now);
                true
            }
            _ => false,
        }
    }

    fn drop_excess_tombstones(&mut self) {
        let mut gone: Vec<(Timestamp, InstanceId)> = self
            .known
            .values()
            .filter_map(|known| Some((known.gone_at?, known.record.id)))
            .collect();
        let excess = gone.len().saturating_sub(MAXIMUM_TOMBSTONES);
        gone.sort_unstable();
        for (_, id) in gone.into_iter().take(excess) {
            self.known.remove(&id);
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

/// The last event of each instance. The earlier ones may be older than what is known: an
/// instance that went and came back before then must not go again.
fn last_events(events: Vec<InstanceEvent>) -> Vec<InstanceEvent> {
    let mut seen = BTreeSet::new();
    let mut last: Vec<InstanceEvent> = events
        .into_iter()
        .rev()
        .filter(|event| seen.insert(event.id()))
        .collect();
    last.reverse();
    last
}

fn saturating_milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
