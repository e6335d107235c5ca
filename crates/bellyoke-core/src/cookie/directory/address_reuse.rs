//! Which of several instances at one address is the later one.
//!
//! The store counts creations, and all nodes read the same count. A record that lapses is created again, and a restored store counts
//! anew, so that the earliest creation known of an instance counts.

use super::Directory;
use crate::cookie::instance::{InstanceId, InstanceRecord};
use crate::cookie::revision::Revision;
use hashbrown::HashMap;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// When the record of an instance was first created, for peers that may know only a later creation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct FirstCreation {
    /// The instance.
    pub id: InstanceId,
    /// The run of it that the record told of.
    pub started: Option<u64>,
    /// The smallest creation known.
    pub created: Revision,
}

impl Directory {
    /// Instances at whose address another one is present that was created later. What answers there is
    /// the later one, so that they take no new flow. The store counts creations, and all nodes read
    /// the same count; where one isn't known, nothing is told of either instance.
    #[must_use]
    pub fn with_reused_address(&self) -> &BTreeSet<InstanceId> {
        self.with_reused_address
            .get_or_init(|| self.find_reused_addresses())
    }

    fn find_reused_addresses(&self) -> BTreeSet<InstanceId> {
        let mut latest: HashMap<SocketAddrV4, Revision> = HashMap::with_capacity(self.known.len());
        let present = self
            .known
            .values()
            .filter(|known| known.removed_at.is_none());
        for record in present.map(|known| &known.record) {
            let Some(created) = record.created else {
                continue;
            };
            let held = latest.entry(record.address).or_insert(created);
            *held = created.max(*held);
        }
        let records = self.known.values().map(|known| &known.record);
        let with_reused_address = records.filter(|record| {
            let later = latest.get(&record.address).zip(record.created);
            later.is_some_and(|(latest, created)| *latest > created)
        });
        with_reused_address.map(|record| record.id).collect()
    }

    /// Instances that have ended for certain: their records have gone, and another one that was
    /// created later is present at their address. Two that run never share one.
    #[must_use]
    pub fn superseded(&self) -> BTreeSet<InstanceId> {
        let mut ended = self.with_reused_address().clone();
        let is_gone = |id: &InstanceId| {
            self.known
                .get(id)
                .is_some_and(|known| known.removed_at.is_some())
        };
        ended.retain(is_gone);
        ended
    }

    /// The first creations of present instances that share their address with another one: a peer that
    /// has heard of them only since may take them for the later ones.
    #[must_use]
    pub fn first_creations(&self) -> Vec<FirstCreation> {
        let mut holders: HashMap<SocketAddrV4, usize> = HashMap::with_capacity(self.known.len());
        for known in self.known.values() {
            *holders.entry(known.record.address).or_default() += 1;
        }
        let present = self
            .known
            .values()
            .filter(|known| known.removed_at.is_none());
        let shared = present.filter(|known| holders[&known.record.address] > 1);
        let creations = shared.filter_map(|known| {
            let created = known.record.created?;
            (created < known.record.revision).then_some(FirstCreation {
                id: known.record.id,
                started: known.record.started,
                created,
            })
        });
        creations.collect()
    }

    /// Hears of creations, of which the smallest of an instance counts. Returns whether any was new.
    pub fn merge_creations(&mut self, creations: impl IntoIterator<Item = FirstCreation>) -> bool {
        let mut changed = false;
        for FirstCreation {
            id,
            started,
            created,
        } in creations
        {
            let known = self.known.get_mut(&id);
            let Some(known) = known.filter(|known| known.record.started == started) else {
                continue;
            };
            let held = &mut known.record.created;
            if held.is_none_or(|held| created < held) {
                *held = Some(created);
                changed = true;
            }
        }
        if changed {
            self.with_reused_address.take();
        }
        changed
    }
}

impl FirstCreation {
    pub(super) fn of(record: &InstanceRecord) -> Option<Self> {
        let (id, started) = (record.id, record.started);
        record.created.map(|created| Self {
            id,
            started,
            created,
        })
    }
}

/// The earlier of two creations, as far as they are known.
pub(super) fn earlier(one: Option<Revision>, other: Option<Revision>) -> Option<Revision> {
    match (one, other) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    }
}
