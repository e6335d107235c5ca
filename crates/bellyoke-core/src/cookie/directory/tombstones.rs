//! Tombstones: instances whose records were deleted, and how long they are kept.

use super::{
    Directory, FirstCreation, KnownInstance, MAXIMUM_TOMBSTONES, Tombstone, saturating_milliseconds,
};
use crate::cookie::instance::InstanceId;
use crate::cookie::revision::Revision;
use crate::time::Timestamp;
use std::time::Duration;

impl Directory {
    /// Adds tombstones of instances unknown to this node, which keeps their flows working here too,
    /// and earlier creations of known instances. Returns whether anything was new.
    pub fn merge_tombstones(&mut self, now: Timestamp, tombstones: Vec<Tombstone>) -> bool {
        let records = tombstones.iter().map(|tombstone| &tombstone.record);
        let mut changed = self.merge_creations(records.filter_map(FirstCreation::of));
        for tombstone in tombstones {
            let age = Duration::from_millis(u64::from(tombstone.age_milliseconds));
            let removed_at = now.before(age);
            if let Some(known) = self.known.get_mut(&tombstone.record.id) {
                known.present_until = known.present_until.min(removed_at);
                continue;
            }
            if age >= self.tombstone_lifetime {
                continue;
            }
            let id = tombstone.record.id;
            let instance = KnownInstance {
                record: tombstone.record,
                warm_at: removed_at,
                removed_at: Some(removed_at),
                present_until: removed_at,
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

    /// Drops tombstones that are too old or too many. Returns whether there were any.
    pub(super) fn expire_tombstones(&mut self, now: Timestamp) -> bool {
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

    /// Returns the tombstones of instances removed after a revision.
    #[must_use]
    pub fn tombstones_since(&self, now: Timestamp, since: Revision) -> Vec<Tombstone> {
        self.tombstones_where(now, |known| known.removed_revision > since)
    }

    pub(super) fn tombstones_where(
        &self,
        now: Timestamp,
        wanted: impl Fn(&KnownInstance) -> bool,
    ) -> Vec<Tombstone> {
        let matching = self.known.values().filter(|known| wanted(known));
        let tombstones = matching.filter_map(|known| {
            known.removed_at?;
            let age = now.since(known.present_until);
            Some(Tombstone {
                record: known.record.clone(),
                age_milliseconds: saturating_milliseconds(age),
                revision: known.removed_revision,
            })
        });
        tombstones.collect()
    }

    /// Updates the oldest removal time and drops cached results after an instance was removed.
    pub(super) fn record_removal(&mut self, removed_at: Timestamp) {
        let oldest = self
            .oldest_removed_at
            .map_or(removed_at, |oldest| oldest.min(removed_at));
        self.oldest_removed_at = Some(oldest);
        self.with_reused_address.take();
    }

    /// Drops the oldest tombstones beyond [`MAXIMUM_TOMBSTONES`].
    fn drop_excess_tombstones(&mut self) {
        if self.known.len() <= MAXIMUM_TOMBSTONES {
            return;
        }
        let mut tombstones: Vec<(Timestamp, InstanceId)> = self
            .known
            .values()
            .filter_map(|known| Some((known.removed_at?, known.record.id)))
            .collect();
        let excess = tombstones.len().saturating_sub(MAXIMUM_TOMBSTONES);
        tombstones.sort_unstable();
        for (_, id) in tombstones.into_iter().take(excess) {
            if let Some(known) = self.known.remove(&id) {
                self.complete_since = known.removed_revision.max(self.complete_since);
            }
        }
    }
}
