//! Merging of records from a store that was restored from an older copy.
//!
//! The copy may contain states that instances have left since. A run of an instance is identified
//! by its id and start time. A run that is draining or whose record was deleted doesn't get new
//! flows because of a record in the copy, and its slow start doesn't begin again.

use super::address_reuse::earlier;
use super::{Directory, KnownInstance, is_of_earlier_run};
use crate::cookie::instance::{InstanceRecord, InstanceState};
use crate::cookie::revision::{Revision, StoreEra};
use crate::time::Timestamp;
use std::time::Duration;

/// How long a removed instance gets no new flows after its record reappears in a restored store.
/// The record may be outdated, in which case it is deleted again after some missed heartbeats.
const REAPPEARANCE_EXCLUSION: Duration = Duration::from_secs(5);

impl Directory {
    /// Returns whether a record of a list of the newest state as of `at` can't be part of the
    /// history that is known up to [`Self::as_of`].
    pub(crate) fn contradicts(&self, listed: &InstanceRecord, at: Revision) -> bool {
        let Some(as_of) = self.as_of.filter(|as_of| as_of.era() == at.era()) else {
            return false;
        };
        let is_covered = listed.revision <= as_of;
        let Some(known) = self.known.get(&listed.id) else {
            return is_covered;
        };
        if is_of_earlier_run(listed, &known.record) || is_of_earlier_run(&known.record, listed) {
            return false;
        }
        if known.record.revision.era() < at.era() {
            return false;
        }
        if known.removed_at.is_some() {
            return is_covered && known.removed_revision <= at;
        }
        if known.record.revision == listed.revision {
            // A drain from an earlier era is kept although the copy lacks it.
            let keeps_drain =
                at.era() > StoreEra(0) && known.record.state == InstanceState::Draining;
            let state = if keeps_drain {
                known.record.state
            } else {
                listed.state
            };
            let listed = InstanceRecord {
                state,
                ..listed.clone()
            };
            return !has_same_content(&known.record, &listed);
        }
        let is_changed_later = known.record.revision > at;
        let known_is_newer = known.record.revision > listed.revision;
        !is_changed_later && (is_covered || known_is_newer)
    }

    /// Ends the exclusions whose time is over. Returns whether there were any.
    pub(super) fn end_exclusions(&mut self, now: Timestamp) -> bool {
        if self.first_exclusion_ends_at.is_none_or(|ends| now < ends) {
            return false;
        }
        for known in self.known.values_mut() {
            known.excluded_until = known.excluded_until.filter(|until| now < *until);
        }
        let exclusions = self.known.values().filter_map(|known| known.excluded_until);
        self.first_exclusion_ends_at = exclusions.min();
        true
    }

    /// Merges a record of a run that is known from another era of the store. Returns whether
    /// anything changed. The record may be outdated: a draining instance stays draining, and the
    /// slow start doesn't begin again.
    ///
    /// A record that the new era repeats unchanged keeps its revision, so that a delta carries only
    /// what differs, unless it may itself come from the restored store.
    pub(super) fn put_across_eras(&mut self, now: Timestamp, record: InstanceRecord) -> bool {
        let keeps_revision = !self.may_mix_histories;
        let Some(known) = self.known.get_mut(&record.id) else {
            return false;
        };
        let is_draining = [record.state, known.record.state].contains(&InstanceState::Draining);
        let state = if is_draining {
            InstanceState::Draining
        } else {
            InstanceState::Ready
        };
        let created = earlier(known.record.created, record.created);
        if record.revision < known.record.revision {
            let changed = known.record.state != state;
            known.record.state = state;
            known.record.created = created;
            return changed;
        }
        let merged = InstanceRecord {
            state,
            created,
            ..record
        };
        let was_removed = known.removed_at.is_some();
        if !was_removed && keeps_revision && has_same_content(&merged, &known.record) {
            known.record.created = created;
            return false;
        }
        if was_removed && known.removed_revision.era() < merged.revision.era() {
            let until = now.after(REAPPEARANCE_EXCLUSION);
            known.excluded_until = Some(until);
            let first = self
                .first_exclusion_ends_at
                .map_or(until, |first| first.min(until));
            self.first_exclusion_ends_at = Some(first);
        }
        known.removed_at = None;
        known.removed_revision = Revision::new(0);
        known.record = merged;
        true
    }
}

/// Returns whether a record belongs to the known run, but to another era of the store.
pub(super) fn is_of_another_era(record: &InstanceRecord, known: &KnownInstance) -> bool {
    let same_run = record.started == known.record.started;
    same_run && record.revision.era() != known.record.revision.era()
}

/// Returns whether two records of one run have the same content apart from their revisions.
fn has_same_content(one: &InstanceRecord, other: &InstanceRecord) -> bool {
    one.service == other.service
        && one.address == other.address
        && one.zone == other.zone
        && one.state == other.state
        && one.slots == other.slots
}
