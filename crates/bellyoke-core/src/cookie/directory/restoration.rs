//! What a directory takes over from a store that was restored from an older copy.
//!
//! The copy may tell of states that instances have left since. Their runs (id and start) tell which: a run that drains or has
//! gone doesn't take new flows on the word of a copy, nor does it start anew.

use super::address_reuse::earlier;
use super::{Directory, KnownInstance};
use crate::cookie::instance::{InstanceRecord, InstanceState};
use crate::cookie::revision::Revision;
use crate::time::Timestamp;
use std::time::Duration;

/// How long an instance takes no new flows that was known to have gone, and of which a restored store tells: that may be
/// older, and then the store drops the record again once the instance has missed some heartbeats.
const REAPPEARANCE_EXCLUSION: Duration = Duration::from_secs(5);

impl Directory {
    /// Ends doubts whose time is over. Returns whether there was any.
    pub(super) fn end_exclusions(&mut self, now: Timestamp) -> bool {
        if self.first_exclusion_ends_at.is_none_or(|ends| now < ends) {
            return false;
        }
        for known in self.known.values_mut() {
            known.excluded_until = known.excluded_until.filter(|until| now < *until);
        }
        let doubts = self.known.values().filter_map(|known| known.excluded_until);
        self.first_exclusion_ends_at = doubts.min();
        true
    }

    /// Takes over a record of a run that is known from another era of the store. A copy may tell of a state that the instance
    /// has left since: it doesn't take new flows again, nor does it start anew.
    pub(super) fn put_across_eras(&mut self, now: Timestamp, record: InstanceRecord) -> bool {
        let Some(known) = self.known.get_mut(&record.id) else {
            return false;
        };
        let drains = [record.state, known.record.state].contains(&InstanceState::Draining);
        let state = if drains {
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
        let told = InstanceRecord {
            state,
            created,
            ..record
        };
        let returns = known.removed_at.is_some();
        if !returns && has_same_content(&told, &known.record) {
            known.record.created = created;
            return false;
        }
        if returns && known.removed_revision.era() < told.revision.era() {
            let until = now.after(REAPPEARANCE_EXCLUSION);
            known.excluded_until = Some(until);
            let first = self
                .first_exclusion_ends_at
                .map_or(until, |first| first.min(until));
            self.first_exclusion_ends_at = Some(first);
        }
        known.removed_at = None;
        known.removed_revision = Revision::new(0);
        known.record = told;
        true
    }
}

/// Whether a record is of the run that is known, as told in another era of the store.
pub(super) fn is_of_another_era(record: &InstanceRecord, known: &KnownInstance) -> bool {
    let same_run = record.started == known.record.started;
    same_run && record.revision.era() != known.record.revision.era()
}

/// Whether two records of one run tell the same, but for their revisions.
fn has_same_content(one: &InstanceRecord, other: &InstanceRecord) -> bool {
    one.service == other.service
        && one.address == other.address
        && one.zone == other.zone
        && one.state == other.state
        && one.slots == other.slots
}
