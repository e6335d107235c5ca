//! Zones drained by operators. Their instances get no new flows.
//!
//! There are few zones, so nodes store the full set as of one revision and exchange the full set;
//! the newer one wins. An undrained zone is recorded for a while, since its instances may have
//! become cold meanwhile and their records may not show that yet.

use crate::cookie::revision::Revision;
use crate::time::Timestamp;
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long an undrained zone stays recorded. It is many times the slow start of an instance and
/// the interval of its heartbeats, both of which take seconds.
pub const UNDRAIN_RETENTION: Duration = Duration::from_secs(60);

/// How long a zone stays drained after a restoration of the store that lost its drain. It gives
/// operators time to write the drain again.
pub const DRAIN_REWRITE_GRACE: Duration = Duration::from_secs(5);

/// Maximum number of undrained zones in a snapshot. It leaves ample space in the one datagram that
/// a snapshot must fit.
pub const MAXIMUM_UNDRAINED_ZONES: usize = 32;

/// A zone whose instances get no new flows.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct DrainedZone {
    /// Name of the zone.
    pub zone: String,
    /// Revision at which it was drained.
    pub revision: Revision,
}

/// A zone that gets new flows again.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct UndrainedZone {
    /// Name of the zone.
    pub zone: String,
    /// Revision at which the zone was known to be undrained.
    pub revision: Revision,
    /// Time since a node learned of it, in milliseconds.
    pub age_milliseconds: u32,
}

/// One change of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneEvent {
    /// The zone is drained.
    Drained(DrainedZone),
    /// The zone of this name gets new flows again.
    Undrained(String),
}

/// The full set of drained zones in messages between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ZoneSnapshot {
    /// Revision of the last change.
    pub changed_at: Revision,
    /// Revision up to which the set is up to date.
    pub as_of: Revision,
    /// The drained zones.
    pub drained: Vec<DrainedZone>,
    /// Recently undrained zones.
    pub undrained: Vec<UndrainedZone>,
}

/// When a zone was undrained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Undrain {
    /// Revision at which the zone was known to be undrained.
    pub revision: Revision,
    /// When this node, or the peer that it learned this from, learned of the change.
    pub at: Timestamp,
}

/// The drained zones known to a node.
///
/// ```
/// use bellyoke_core::cookie::revision::Revision;
/// use bellyoke_core::cookie::zones::{DrainedZone, ZoneDrains, ZoneEvent};
/// use bellyoke_core::time::Timestamp;
///
/// let now = Timestamp::from_micros(1_000_000);
/// let drained = DrainedZone { zone: "cork".to_owned(), revision: Revision::new(5) };
/// let mut zones = ZoneDrains::unknown();
/// zones.replace(now, Revision::new(7), vec![drained]);
/// assert!(zones.is_drained("cork"));
/// zones.apply(now, Revision::new(9), vec![ZoneEvent::Undrained("cork".to_owned())]);
/// assert!(!zones.is_drained("cork"));
/// assert_eq!(zones.last_undrain("cork").unwrap().revision, Revision::new(9));
/// ```
#[derive(Debug)]
pub struct ZoneDrains {
    as_of: Option<Revision>,
    changed_at: Revision,
    drained: BTreeMap<String, Revision>,
    undrained: BTreeMap<String, Undrain>,
    /// When drains from before a restoration of the store end unless they are written again.
    retained_until: BTreeMap<String, Timestamp>,
}

impl ZoneDrains {
    /// Creates a set that doesn't know yet which zones are drained.
    #[must_use]
    pub const fn unknown() -> Self {
        Self {
            as_of: None,
            changed_at: Revision::new(0),
            drained: BTreeMap::new(),
            undrained: BTreeMap::new(),
            retained_until: BTreeMap::new(),
        }
    }

    /// Creates a set without drained zones, as in a cluster whose operators never drain a zone.
    /// Newer sets of peers are still accepted.
    #[must_use]
    pub const fn none() -> Self {
        Self {
            as_of: Some(Revision::new(1)),
            changed_at: Revision::new(1),
            drained: BTreeMap::new(),
            undrained: BTreeMap::new(),
            retained_until: BTreeMap::new(),
        }
    }

    /// Returns the revision up to which all changes are known, or `None` before the first full
    /// list.
    #[must_use]
    pub const fn as_of(&self) -> Option<Revision> {
        self.as_of
    }

    /// Returns the revision of the last change, or zero if nothing is known.
    #[must_use]
    pub const fn changed_at(&self) -> Revision {
        self.changed_at
    }

    /// Iterates over the drained zones and the revisions at which they were drained, by name.
    pub fn drained(&self) -> impl Iterator<Item = (&str, Revision)> {
        let drained = self.drained.iter();
        drained.map(|(zone, revision)| (&zone[..], *revision))
    }

    /// Returns whether a zone is drained.
    #[must_use]
    pub fn is_drained(&self, zone: &str) -> bool {
        self.drained.contains_key(zone)
    }

    /// Returns when a zone was undrained, if that was recently.
    #[must_use]
    pub fn last_undrain(&self, zone: &str) -> Option<Undrain> {
        self.undrained.get(zone).copied()
    }

    /// Returns whether a zone of a list of the newest state as of `at` can't be part of the history
    /// that is known up to [`Self::as_of`].
    pub(crate) fn contradicts(&self, listed: &DrainedZone, at: Revision) -> bool {
        let Some(as_of) = self.as_of.filter(|as_of| as_of.era() == at.era()) else {
            return false;
        };
        let is_covered = listed.revision <= as_of;
        match self.drained.get(&listed.zone) {
            Some(known) if known.era() < at.era() => false,
            Some(known) if *known == listed.revision => false,
            Some(known) => *known <= at && (is_covered || *known > listed.revision),
            None => {
                let undrain = self.undrained.get(&listed.zone);
                is_covered && undrain.is_none_or(|undrain| undrain.revision <= at)
            }
        }
    }

    /// Replaces the set with a full list as of revision `at`. Returns whether the list is newer
    /// than the known state; an older one changes nothing.
    pub fn replace(&mut self, now: Timestamp, at: Revision, listed: Vec<DrainedZone>) -> bool {
        if self.as_of.is_some_and(|known| at <= known) {
            return false;
        }
        let listed = listed.into_iter();
        let mut listed: BTreeMap<_, _> = listed.map(|drain| (drain.zone, drain.revision)).collect();
        let before = std::mem::take(&mut self.drained);
        for (zone, drained_at) in before {
            if listed.contains_key(&zone) {
                continue;
            }
            if drained_at.era() < at.era() && self.is_retained(now, &zone) {
                listed.insert(zone, drained_at);
            } else if !self.was_undrained_after(&zone, drained_at) {
                self.undrain(now, at, zone);
            }
        }
        self.drained = listed;
        self.retain_earlier_drains(now, at);
        // Zones that were drained and undrained between two lists are in neither, so a peer at a
        // revision in between may have another set.
        self.advance(at, true);
        true
    }

    /// Applies the changes up to revision `at`. Returns whether there were any.
    pub fn apply(&mut self, now: Timestamp, at: Revision, events: Vec<ZoneEvent>) -> bool {
        if self.as_of.is_none_or(|known| at <= known) {
            return false;
        }
        let changed = !events.is_empty();
        for event in events {
            match event {
                ZoneEvent::Drained(drain) => {
                    self.drained.insert(drain.zone, drain.revision);
                }
                ZoneEvent::Undrained(zone) => {
                    if self.drained.remove(&zone).is_some() {
                        self.undrain(now, at, zone);
                    }
                }
            }
        }
        self.advance(at, changed);
        changed
    }

    /// Adopts a peer's set if it is newer, and merges its undrained zones. Returns whether the set
    /// was newer.
    pub fn adopt(&mut self, now: Timestamp, snapshot: ZoneSnapshot) -> bool {
        for undrained in snapshot.undrained {
            self.merge_undrain(now, undrained);
        }
        let is_newer = self.as_of.is_none_or(|known| snapshot.changed_at > known);
        if is_newer {
            self.replace(now, snapshot.as_of, snapshot.drained);
            self.changed_at = snapshot.changed_at;
        } else {
            self.confirm(snapshot.changed_at, snapshot.as_of);
        }
        is_newer
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

    /// Drops records of zones that were undrained long ago. Undrains zones whose drains were lost
    /// in a restoration of the store and not written again in time, and returns whether there were
    /// any.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let recent = |undrain: &Undrain| now.since(undrain.at) < UNDRAIN_RETENTION;
        self.undrained.retain(|_, undrain| recent(undrain));
        let Some(as_of) = self.as_of.filter(|_| !self.retained_until.is_empty()) else {
            return false;
        };
        let expired = self.retained_until.extract_if(.., |_, until| now >= *until);
        let expired: Vec<String> = expired.map(|(zone, _)| zone).collect();
        let mut changed = false;
        for zone in expired {
            let drained_at = self.drained.get(&zone);
            if drained_at.is_some_and(|drained_at| drained_at.era() < as_of.era()) {
                self.drained.remove(&zone);
                self.undrain(now, as_of, zone);
                changed = true;
            }
        }
        changed
    }

    /// Returns the set for a peer, or `None` if nothing is known.
    #[must_use]
    pub fn snapshot(&self, now: Timestamp) -> Option<ZoneSnapshot> {
        let drained = self.drained.iter();
        let drained = drained.map(|(zone, revision)| DrainedZone {
            zone: zone.clone(),
            revision: *revision,
        });
        let undrained = self.undrained.iter();
        let undrained = undrained.map(|(zone, undrain)| UndrainedZone {
            zone: zone.clone(),
            revision: undrain.revision,
            age_milliseconds: u32::try_from(now.since(undrain.at).as_millis()).unwrap_or(u32::MAX),
        });
        Some(ZoneSnapshot {
            as_of: self.as_of?,
            changed_at: self.changed_at,
            drained: drained.collect(),
            undrained: undrained.take(MAXIMUM_UNDRAINED_ZONES).collect(),
        })
    }

    /// Returns whether a drain that is missing in a restored store still applies.
    fn is_retained(&self, now: Timestamp, zone: &str) -> bool {
        self.retained_until
            .get(zone)
            .is_none_or(|until| now < *until)
    }

    /// Records when drains from an era before that of `at` end.
    fn retain_earlier_drains(&mut self, now: Timestamp, at: Revision) {
        let earlier = self.drained.iter();
        let earlier = earlier.filter(|(_, drained_at)| drained_at.era() < at.era());
        for (zone, _) in earlier {
            let until = now.after(DRAIN_REWRITE_GRACE);
            self.retained_until.entry(zone.clone()).or_insert(until);
        }
    }

    /// Returns whether a zone was undrained after the given drain.
    fn was_undrained_after(&self, zone: &str, drained_at: Revision) -> bool {
        let undrain = self.undrained.get(zone);
        undrain.is_some_and(|undrain| undrain.revision > drained_at)
    }

    /// Records that a zone was undrained.
    fn undrain(&mut self, now: Timestamp, at: Revision, zone: String) {
        let undrain = Undrain {
            revision: at,
            at: now,
        };
        self.undrained.insert(zone, undrain);
    }

    /// Merges an undrained zone of a peer.
    fn merge_undrain(&mut self, now: Timestamp, zone: UndrainedZone) {
        let age = Duration::from_millis(u64::from(zone.age_milliseconds));
        let known = self.undrained.get(&zone.zone);
        let is_newer = known.is_none_or(|known| known.revision < zone.revision);
        if is_newer && age < UNDRAIN_RETENTION {
            let undrain = Undrain {
                revision: zone.revision,
                at: now.before(age),
            };
            self.undrained.insert(zone.zone, undrain);
        }
    }

    /// Sets the known revision.
    fn advance(&mut self, at: Revision, changed: bool) {
        self.as_of = Some(at);
        if changed {
            self.changed_at = at;
        }
    }
}
