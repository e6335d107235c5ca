//! Order of instances that use the same address.
//!
//! The order follows the revisions at which the store created the records, which are the same for
//! all nodes. A record that expires is created again, and a restored store assigns revisions again,
//! so the earliest known creation of an instance determines its position.

use super::Directory;
use crate::cookie::instance::{InstanceId, InstanceRecord};
use crate::cookie::revision::Revision;
use hashbrown::HashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// First creation of an instance's record, for peers that may know only a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct FirstCreation {
    /// The instance.
    pub id: InstanceId,
    /// Start of the instance's run, as in the record.
    pub started: Option<u64>,
    /// The earliest known creation.
    pub created: Revision,
}

impl Directory {
    /// Returns the instances whose address a later present instance uses. The later one answers at
    /// the address, so the earlier ones must get no new flows. The order is that of the creations
    /// in the store; instances whose creation is unknown are ignored, and so are later ones of a
    /// service that the configuration doesn't name: their records may be another writer's.
    #[must_use]
    pub fn with_reused_address(&self) -> &BTreeSet<InstanceId> {
        self.with_reused_address
            .get_or_init(|| self.find_reused_addresses())
    }

    /// Computes the result of [`Self::with_reused_address`].
    fn find_reused_addresses(&self) -> BTreeSet<InstanceId> {
        let latest = self.latest_at_addresses();
        let records = self.known.values().map(|known| &known.record);
        let reused = records.filter(|record| later_instance(&latest, record).is_some());
        reused.map(|record| record.id).collect()
    }

    /// Returns the latest present instance at each address, with its creation.
    fn latest_at_addresses(&self) -> HashMap<SocketAddrV4, (Revision, InstanceId)> {
        let mut latest = HashMap::with_capacity(self.known.len());
        let present = self
            .known
            .values()
            .filter(|known| known.removed_at.is_none());
        let records = present.map(|known| &known.record);
        for record in records.filter(|record| self.names_service_of(record)) {
            let Some(created) = record.created else {
                continue;
            };
            let this = (created, record.id);
            let newest = latest.entry(record.address).or_insert(this);
            *newest = this.max(*newest);
        }
        latest
    }

    /// Returns the instances that have probably ended, each with its successor: their records were
    /// deleted, and the successor is present at their address. Two running instances never share an
    /// address, but a record may name the address of a running one by mistake.
    #[must_use]
    pub fn superseded(&self) -> BTreeMap<InstanceId, InstanceId> {
        let reused = self.with_reused_address();
        if reused.is_empty() {
            return BTreeMap::new();
        }
        let latest = self.latest_at_addresses();
        let known = reused.iter().filter_map(|id| self.known.get(id));
        let removed = known.filter(|known| known.removed_at.is_some());
        let pairs = removed.filter_map(|known| {
            let successor = later_instance(&latest, &known.record)?;
            Some((known.record.id, successor))
        });
        pairs.collect()
    }

    /// Returns the first creations of present instances that share their address with another one.
    /// A peer that learned of them only after their records were created again would otherwise
    /// order them as the later ones.
    #[must_use]
    pub fn first_creations(&self) -> Vec<FirstCreation> {
        let mut instance_counts: HashMap<SocketAddrV4, usize> =
            HashMap::with_capacity(self.known.len());
        for known in self.known.values() {
            *instance_counts.entry(known.record.address).or_default() += 1;
        }
        let present = self
            .known
            .values()
            .filter(|known| known.removed_at.is_none());
        let shared = present.filter(|known| instance_counts[&known.record.address] > 1);
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

    /// Merges creations and keeps the earliest one of each run of an instance. Returns whether
    /// anything changed.
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
            let earliest = &mut known.record.created;
            if earliest.is_none_or(|earliest| created < earliest) {
                *earliest = Some(created);
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
    /// Returns the creation in a record, if it has one.
    pub(super) fn of(record: &InstanceRecord) -> Option<Self> {
        let (id, started) = (record.id, record.started);
        record.created.map(|created| Self {
            id,
            started,
            created,
        })
    }
}

/// Returns the instance at the address of a record that was created later.
fn later_instance(
    latest: &HashMap<SocketAddrV4, (Revision, InstanceId)>,
    record: &InstanceRecord,
) -> Option<InstanceId> {
    let (created, id) = latest.get(&record.address)?;
    record
        .created
        .is_some_and(|own| *created > own)
        .then_some(*id)
}

/// Returns the earlier of two creations, or the known one if only one is known.
pub(super) fn earlier(one: Option<Revision>, other: Option<Revision>) -> Option<Revision> {
    match (one, other) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    }
}
