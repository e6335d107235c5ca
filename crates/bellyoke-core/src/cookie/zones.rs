//! Zones that operators have drained, so that their instances take no new flows.
//!
//! There are few zones, so nodes hold the whole set at one revision and tell each other the whole
//! set: the newer one wins. A zone that has been restored stays noted for a while, since its
//! instances may have grown cold meanwhile and their records may not tell that yet.

use crate::cookie::revision::Revision;
use crate::time::Timestamp;
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a restored zone stays noted: many times the seconds that an instance stays cold and
/// that its next heartbeat takes.
pub const UNDRAIN_RETENTION: Duration = Duration::from_secs(60);

/// How long a zone stays drained after a restoration of the store that has lost the drain: time for the operators to write
/// it again.
pub const DRAIN_REWRITE_GRACE: Duration = Duration::from_secs(5);

/// Most zones that are told to a peer; a set fits one datagram with room to spare.
pub const MAXIMUM_ZONES: usize = 32;

/// A zone whose instances take no new flows.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct DrainedZone {
    /// Name of the zone.
    pub zone: String,
    /// When it was drained.
    pub revision: Revision,
}

/// A zone that takes new flows again.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct UndrainedZone {
    /// Name of the zone.
    pub zone: String,
    /// The revision by which it had been restored.
    pub revision: Revision,
    /// How long ago that was heard, milliseconds.
    pub age_milliseconds: u32,
}

/// One change of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneEvent {
    /// It is drained.
    Drained(DrainedZone),
    /// The zone of this name takes new flows again.
    Undrained(String),
}

/// All drained zones as a peer tells them.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ZoneSnapshot {
    /// The revision of the last change.
    pub changed_at: Revision,
    /// The revision up to which the set is true.
    pub as_of: Revision,
    /// The drained zones.
    pub drained: Vec<DrainedZone>,
    /// Zones that were restored of late.
    pub undrained: Vec<UndrainedZone>,
}

/// When a zone was restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Undrain {
    /// The revision by which it had been.
    pub revision: Revision,
    /// When this node, or the peer that told it, heard of that.
    pub at: Timestamp,
}

/// The drained zones that a node knows.
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
    /// Until when zones stay drained whose drain is known from before a restoration of the store.
    retained_until: BTreeMap<String, Timestamp>,
}

impl ZoneDrains {
    /// Nothing is known yet.
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

    /// None is drained, as in a cluster whose operators never drain a zone. A peer that knows
    /// better is still believed.
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

    /// The revision up to which all changes are known; none before the first whole list.
    #[must_use]
    pub const fn as_of(&self) -> Option<Revision> {
        self.as_of
    }

    /// The revision of the last change; zero if nothing is known.
    #[must_use]
    pub const fn changed_at(&self) -> Revision {
        self.changed_at
    }

    /// The drained zones and when they were drained, by name.
    pub fn drained(&self) -> impl Iterator<Item = (&str, Revision)> {
        let drained = self.drained.iter();
        drained.map(|(zone, revision)| (&zone[..], *revision))
    }

    /// Whether the instances of a zone take no new flows.
    #[must_use]
    pub fn is_drained(&self, zone: &str) -> bool {
        self.drained.contains_key(zone)
    }

    /// When a zone was restored, if that was of late.
    #[must_use]
    pub fn last_undrain(&self, zone: &str) -> Option<Undrain> {
        self.undrained.get(zone).copied()
    }

    /// Takes over a whole list that was true at revision `at`. Returns whether it tells anything
    /// new; an older list than what is known changes nothing.
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
        // What came and went before is in no list, so that a peer that knows a revision in
        // between may hold another set.
        self.advance(at, true);
        true
    }

    /// Takes over the changes up to revision `at`. Returns whether there were any.
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

    /// Takes over a peer's set if it is newer. Returns whether it was.
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

    /// A peer's word that nothing has changed after `changed_at` up to `as_of`.
    pub fn confirm(&mut self, changed_at: Revision, as_of: Revision) {
        if let Some(known) = &mut self.as_of
            && changed_at <= *known
        {
            *known = as_of.max(*known);
        }
    }

    /// Forgets zones that were restored long ago, and takes zones for restored whose drains a restored store has lost and
    /// nobody has written again. Returns whether there was such a zone.
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

    /// The set for a peer; none if nothing is known.
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
            undrained: undrained.take(MAXIMUM_ZONES).collect(),
        })
    }

    /// Whether a zone that a restored store tells nothing of still counts as drained.
    fn is_retained(&self, now: Timestamp, zone: &str) -> bool {
        self.retained_until
            .get(zone)
            .is_none_or(|until| now < *until)
    }

    /// Notes until when drains from before the era of a revision count.
    fn retain_earlier_drains(&mut self, now: Timestamp, at: Revision) {
        let earlier = self.drained.iter();
        let earlier = earlier.filter(|(_, drained_at)| drained_at.era() < at.era());
        for (zone, _) in earlier {
            let until = now.after(DRAIN_REWRITE_GRACE);
            self.retained_until.entry(zone.clone()).or_insert(until);
        }
    }

    fn was_undrained_after(&self, zone: &str, drained_at: Revision) -> bool {
        let undrain = self.undrained.get(zone);
        undrain.is_some_and(|undrain| undrain.revision > drained_at)
    }

    fn undrain(&mut self, now: Timestamp, at: Revision, zone: String) {
        let undrain = Undrain {
            revision: at,
            at: now,
        };
        self.undrained.insert(zone, undrain);
    }

    fn merge_undrain(&mut self, now: Timestamp, told: UndrainedZone) {
        let age = Duration::from_millis(u64::from(told.age_milliseconds));
        let known = self.undrained.get(&told.zone);
        let is_newer = known.is_none_or(|known| known.revision < told.revision);
        if is_newer && age < UNDRAIN_RETENTION {
            let undrain = Undrain {
                revision: told.revision,
                at: now.before(age),
            };
            self.undrained.insert(told.zone, undrain);
        }
    }

    fn advance(&mut self, at: Revision, changed: bool) {
        self.as_of = Some(at);
        if changed {
            self.changed_at = at;
        }
    }
}
