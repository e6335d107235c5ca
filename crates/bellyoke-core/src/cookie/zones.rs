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
pub const RESTORATION_LIFETIME: Duration = Duration::from_secs(60);

/// How long a zone stays drained after a restoration of the store that has lost the drain: time for the operators to write
/// it again.
pub const REWRITE_TIME: Duration = Duration::from_secs(5);

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
pub struct RestoredZone {
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
    Restored(String),
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
    pub restored: Vec<RestoredZone>,
}

/// When a zone was restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restoration {
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
/// zones.apply(now, Revision::new(9), vec![ZoneEvent::Restored("cork".to_owned())]);
/// assert!(!zones.is_drained("cork"));
/// assert_eq!(zones.restoration("cork").unwrap().revision, Revision::new(9));
/// ```
#[derive(Debug)]
pub struct ZoneDrains {
    as_of: Option<Revision>,
    changed_at: Revision,
    drained: BTreeMap<String, Revision>,
    restored: BTreeMap<String, Restoration>,
    /// Until when zones stay drained whose drain is known from before a restoration of the store.
    kept_until: BTreeMap<String, Timestamp>,
}

impl ZoneDrains {
    /// Nothing is known yet.
    #[must_use]
    pub const fn unknown() -> Self {
        Self {
            as_of: None,
            changed_at: Revision::new(0),
            drained: BTreeMap::new(),
            restored: BTreeMap::new(),
            kept_until: BTreeMap::new(),
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
            restored: BTreeMap::new(),
            kept_until: BTreeMap::new(),
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
    pub fn restoration(&self, zone: &str) -> Option<Restoration> {
        self.restored.get(zone).copied()
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
            if drained_at.era() < at.era() && self.is_kept(now, &zone) {
                listed.insert(zone, drained_at);
            } else if !self.was_restored_after(&zone, drained_at) {
                self.restore(now, at, zone);
            }
        }
        self.drained = listed;
        self.keep_earlier(now, at);
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
                ZoneEvent::Restored(zone) => {
                    if self.drained.remove(&zone).is_some() {
                        self.restore(now, at, zone);
                    }
                }
            }
        }
        self.advance(at, changed);
        changed
    }

    /// Takes over a peer's set if it is newer. Returns whether it was.
    pub fn adopt(&mut self, now: Timestamp, snapshot: ZoneSnapshot) -> bool {
        for restored in snapshot.restored {
            self.learn_restoration(now, restored);
        }
        let newer = self.as_of.is_none_or(|known| snapshot.changed_at > known);
        if newer {
            self.replace(now, snapshot.as_of, snapshot.drained);
            self.changed_at = snapshot.changed_at;
        } else {
            self.confirm(snapshot.changed_at, snapshot.as_of);
        }
        newer
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
        let recent = |restoration: &Restoration| now.since(restoration.at) < RESTORATION_LIFETIME;
        self.restored.retain(|_, restoration| recent(restoration));
        let Some(as_of) = self.as_of.filter(|_| !self.kept_until.is_empty()) else {
            return false;
        };
        let over = self.kept_until.extract_if(.., |_, until| now >= *until);
        let over: Vec<String> = over.map(|(zone, _)| zone).collect();
        let mut changed = false;
        for zone in over {
            let drained_at = self.drained.get(&zone);
            if drained_at.is_some_and(|drained_at| drained_at.era() < as_of.era()) {
                self.drained.remove(&zone);
                self.restore(now, as_of, zone);
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
        let restored = self.restored.iter();
        let restored = restored.map(|(zone, restoration)| RestoredZone {
            zone: zone.clone(),
            revision: restoration.revision,
            age_milliseconds: u32::try_from(now.since(restoration.at).as_millis())
                .unwrap_or(u32::MAX),
        });
        Some(ZoneSnapshot {
            as_of: self.as_of?,
            changed_at: self.changed_at,
            drained: drained.collect(),
            restored: restored.take(MAXIMUM_ZONES).collect(),
        })
    }

    /// Whether a zone that a restored store tells nothing of still counts as drained.
    fn is_kept(&self, now: Timestamp, zone: &str) -> bool {
        self.kept_until.get(zone).is_none_or(|until| now < *until)
    }

    /// Notes until when drains from before the era of a revision count.
    fn keep_earlier(&mut self, now: Timestamp, at: Revision) {
        let earlier = self.drained.iter();
        let earlier = earlier.filter(|(_, drained_at)| drained_at.era() < at.era());
        for (zone, _) in earlier {
            let until = now.after(REWRITE_TIME);
            self.kept_until.entry(zone.clone()).or_insert(until);
        }
    }

    fn was_restored_after(&self, zone: &str, drained_at: Revision) -> bool {
        let restoration = self.restored.get(zone);
        restoration.is_some_and(|restoration| restoration.revision > drained_at)
    }

    fn restore(&mut self, now: Timestamp, at: Revision, zone: String) {
        let restoration = Restoration {
            revision: at,
            at: now,
        };
        self.restored.insert(zone, restoration);
    }

    fn learn_restoration(&mut self, now: Timestamp, told: RestoredZone) {
        let age = Duration::from_millis(u64::from(told.age_milliseconds));
        let known = self.restored.get(&told.zone);
        let newer = known.is_none_or(|known| known.revision < told.revision);
        if newer && age < RESTORATION_LIFETIME {
            let restoration = Restoration {
                revision: told.revision,
                at: now.before(age),
            };
            self.restored.insert(told.zone, restoration);
        }
    }

    fn advance(&mut self, at: Revision, changed: bool) {
        self.as_of = Some(at);
        if changed {
            self.changed_at = at;
        }
    }
}
