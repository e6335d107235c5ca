//! Changes of the instances after a revision, for peers and from them.

use super::{Directory, FirstCreation, MAXIMUM_GAPS};
use crate::cookie::delta::{DirectoryDelta, RevisionGap};
use crate::cookie::instance::InstanceEvent;
use crate::cookie::revision::Revision;
use crate::time::Timestamp;

impl Directory {
    /// Returns the changes after a revision, for a peer that knows everything up to it. Returns
    /// `None` if this node knows nothing newer, if required tombstones have expired, or if the
    /// revision lies within a gap.
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

    /// Applies a delta from a peer. Returns whether anything changed. A delta that starts after the
    /// known revision changes nothing, nor does one with a gap around the known revision. One that
    /// ends at or before it updates only creations and tombstones.
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
        let removed = delta.tombstones.iter();
        let removed = removed.map(|tombstone| InstanceEvent::Gone(tombstone.record.id));
        let put = delta.records.into_iter().map(InstanceEvent::Put);
        let changed = self.apply(now, delta.as_of, put.chain(removed).collect());
        self.merge_tombstones(now, delta.tombstones) || changed || learned
    }

    /// Records a revision gap. If there are too many, drops the oldest gap and treats all history
    /// before its end as unknown.
    pub(super) fn record_gap(&mut self, gap: RevisionGap) {
        if self.gaps.contains(&gap) {
            return;
        }
        self.gaps.push(gap);
        if self.gaps.len() > MAXIMUM_GAPS {
            let oldest = self.gaps.remove(0);
            self.complete_since = oldest.to.max(self.complete_since);
        }
    }

    /// Returns the gaps that end after a revision.
    fn gaps_since(&self, since: Revision) -> Vec<RevisionGap> {
        let gaps = self.gaps.iter().filter(|gap| gap.to > since);
        gaps.copied().collect()
    }
}
