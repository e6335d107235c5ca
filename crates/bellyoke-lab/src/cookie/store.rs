//! Model of the store: revisioned objects, lists, watches, a history that can be compacted, and
//! fault modes.

use bellyoke_core::cookie::follower::{Answer, Freshness, Read};
use bellyoke_core::cookie::freshness::ObjectKind;
use bellyoke_core::cookie::instance::{InstanceEvent, InstanceId, InstanceRecord};
use bellyoke_core::cookie::revision::{Revision, StoreEra};
use bellyoke_core::cookie::route::Configuration;
use bellyoke_core::cookie::zones::{DrainedZone, ZoneEvent};
use bellyoke_core::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Fault mode of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    /// The store works normally.
    Up,
    /// The store doesn't answer.
    Silent,
    /// The store answers with an error and changes nothing.
    Busy,
    /// The store rejects reads of the newest state as too many calls. Reads that may be stale are
    /// answered.
    Throttled,
}

/// Answer to a read.
#[derive(Clone, Debug)]
pub enum StoreAnswer {
    /// Answer to a read of instances.
    Instances(Answer<InstanceRecord, InstanceEvent>),
    /// Answer to a read of the configuration.
    Configurations(Answer<Configuration, Configuration>),
    /// Answer to a read of the drained zones.
    Zones(Answer<DrainedZone, ZoneEvent>),
}

impl StoreAnswer {
    /// Returns the kind of the objects.
    #[must_use]
    pub const fn kind(&self) -> ObjectKind {
        match self {
            Self::Instances(_) => ObjectKind::Instances,
            Self::Configurations(_) => ObjectKind::Configuration,
            Self::Zones(_) => ObjectKind::Zones,
        }
    }

    /// Returns the answer with all revisions placed in `era`, as interpreted by a node to which
    /// the store doesn't report its era.
    #[must_use]
    pub fn in_era(self, era: StoreEra) -> Self {
        let set_era = |revision: &mut Revision| *revision = in_era(era, *revision);
        let set_record_era = |record: &mut InstanceRecord| {
            set_era(&mut record.revision);
            record.created.as_mut().map(set_era);
        };
        match self {
            Self::Instances(answer) => {
                Self::Instances(with_revisions(answer, set_era, set_record_era, |event| {
                    if let InstanceEvent::Put(record) = event {
                        set_record_era(record);
                    }
                }))
            }
            Self::Configurations(answer) => {
                let set_configuration_era =
                    |configuration: &mut Configuration| set_era(&mut configuration.revision);
                Self::Configurations(with_revisions(
                    answer,
                    set_era,
                    set_configuration_era,
                    set_configuration_era,
                ))
            }
            Self::Zones(answer) => {
                let set_zone_era = |zone: &mut DrainedZone| set_era(&mut zone.revision);
                Self::Zones(with_revisions(answer, set_era, set_zone_era, |event| {
                    if let ZoneEvent::Drained(zone) = event {
                        set_zone_era(zone);
                    }
                }))
            }
        }
    }

    /// Returns the answer that stands for a failed call.
    #[must_use]
    pub const fn failed(kind: ObjectKind) -> Self {
        match kind {
            ObjectKind::Instances => Self::Instances(Answer::Failed),
            ObjectKind::Configuration => Self::Configurations(Answer::Failed),
            ObjectKind::Zones => Self::Zones(Answer::Failed),
        }
    }
}

#[derive(Clone, Debug)]
enum Change {
    Instance(InstanceEvent),
    Configuration(Configuration),
    Zone(ZoneEvent),
}

/// The store's objects as of a revision.
#[derive(Clone, Debug)]
struct Objects {
    revision: Revision,
    instances: BTreeMap<InstanceId, InstanceRecord>,
    configuration: Option<Configuration>,
    drained_zones: BTreeMap<String, Revision>,
}

/// Model of the store.
#[derive(Debug)]
pub struct Store {
    /// Fault mode.
    pub mode: StoreMode,
    /// Maximum number of instances per page of a list.
    pub page_size: usize,
    /// Lag of stale reads behind the newest state, at most [`MAXIMUM_STALENESS`].
    pub staleness: Duration,
    /// Whether answers carry the era.
    pub reports_era: bool,
    era: StoreEra,
    revision: Revision,
    instances: BTreeMap<InstanceId, InstanceRecord>,
    configuration: Option<Configuration>,
    drained_zones: BTreeMap<String, Revision>,
    history: VecDeque<(Timestamp, Revision, Change)>,
    compacted_revision: Revision,
    backup: Option<Objects>,
    /// The objects before each write of the last [`MAXIMUM_STALENESS`], the oldest first.
    earlier_objects: VecDeque<(Timestamp, Objects)>,
}

/// Time for which stale lists can be answered.
pub const MAXIMUM_STALENESS: Duration = Duration::from_secs(10);

impl Default for Store {
    fn default() -> Self {
        Self {
            mode: StoreMode::Up,
            page_size: 50,
            staleness: Duration::ZERO,
            reports_era: true,
            era: StoreEra(0),
            revision: Revision::new(1),
            instances: BTreeMap::new(),
            configuration: None,
            drained_zones: BTreeMap::new(),
            history: VecDeque::new(),
            compacted_revision: Revision::new(0),
            backup: None,
            earlier_objects: VecDeque::new(),
        }
    }
}

impl Store {
    /// Writes the record of an instance. A record that doesn't exist, or was deleted, is created.
    pub fn put_instance(&mut self, now: Timestamp, mut record: InstanceRecord) {
        let revision = self.start_write(now);
        record.revision = revision;
        let existing = self.instances.get(&record.id);
        record.created = existing.map_or(Some(revision), |existing| existing.created);
        self.instances.insert(record.id, record.clone());
        let change = Change::Instance(InstanceEvent::Put(record));
        self.history.push_back((now, revision, change));
    }

    /// Deletes the record of an instance.
    pub fn remove_instance(&mut self, now: Timestamp, id: InstanceId) {
        if self.instances.contains_key(&id) {
            let revision = self.start_write(now);
            self.instances.remove(&id);
            let change = Change::Instance(InstanceEvent::Gone(id));
            self.history.push_back((now, revision, change));
        }
    }

    /// Returns the record of an instance.
    #[must_use]
    pub fn instance(&self, id: InstanceId) -> Option<&InstanceRecord> {
        self.instances.get(&id)
    }

    /// Writes the configuration.
    pub fn put_configuration(&mut self, now: Timestamp, mut configuration: Configuration) {
        let revision = self.start_write(now);
        configuration.revision = revision;
        self.configuration = Some(configuration.clone());
        let change = Change::Configuration(configuration);
        self.history.push_back((now, revision, change));
    }

    /// Drains a zone.
    pub fn drain_zone(&mut self, now: Timestamp, zone: &str) {
        let revision = self.start_write(now);
        self.drained_zones.insert(zone.to_owned(), revision);
        let drained = DrainedZone {
            zone: zone.to_owned(),
            revision,
        };
        let change = Change::Zone(ZoneEvent::Drained(drained));
        self.history.push_back((now, revision, change));
    }

    /// Undrains a zone.
    pub fn undrain_zone(&mut self, now: Timestamp, zone: &str) {
        if self.drained_zones.contains_key(zone) {
            let revision = self.start_write(now);
            self.drained_zones.remove(zone);
            let change = Change::Zone(ZoneEvent::Undrained(zone.to_owned()));
            self.history.push_back((now, revision, change));
        }
    }

    /// Backs up all objects for [`Self::restore`].
    pub fn back_up(&mut self) {
        self.backup = Some(self.objects());
    }

    /// Restores the last backup, if there is one, in a new era. Later writes are lost, and their
    /// revision numbers are assigned again.
    pub fn restore(&mut self) {
        let Some(backup) = self.backup.clone() else {
            return;
        };
        self.earlier_objects.clear();
        let era = self.era.next();
        let in_new_era = |revision: Revision| in_era(era, revision);
        self.era = era;
        self.revision = in_new_era(backup.revision);
        self.instances = backup.instances;
        for record in self.instances.values_mut() {
            record.revision = in_new_era(record.revision);
            record.created = record.created.map(in_new_era);
        }
        self.configuration = backup.configuration;
        if let Some(configuration) = &mut self.configuration {
            configuration.revision = in_new_era(configuration.revision);
        }
        self.drained_zones = backup.drained_zones;
        for revision in self.drained_zones.values_mut() {
            *revision = in_new_era(*revision);
        }
        self.compact();
    }

    /// Returns the era that answers carry, or `None` if they don't carry one.
    #[must_use]
    pub fn reported_era(&self) -> Option<StoreEra> {
        self.reports_era.then_some(self.era)
    }

    /// Returns the configuration.
    #[must_use]
    pub const fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Returns the names of the drained zones.
    pub fn drained_zones(&self) -> impl Iterator<Item = &str> {
        self.drained_zones.keys().map(String::as_str)
    }

    /// Returns the instances that have records.
    pub fn instances(&self) -> impl Iterator<Item = InstanceId> {
        self.instances.keys().copied()
    }

    /// Discards the history.
    pub fn compact(&mut self) {
        self.compacted_revision = self.revision;
        self.history.clear();
    }

    /// Returns the answer to a read, or `None` while a watch has no changes and is not `expired`.
    #[must_use]
    pub fn answer(
        &self,
        now: Timestamp,
        kind: ObjectKind,
        read: &Read,
        expired: bool,
    ) -> Option<StoreAnswer> {
        match (self.mode, freshness(read)) {
            (StoreMode::Silent, _) => return None,
            (StoreMode::Busy, _) => return Some(StoreAnswer::failed(kind)),
            (StoreMode::Throttled, Freshness::Newest) => return Some(throttled(kind)),
            (StoreMode::Throttled, Freshness::MayBeStale) | (StoreMode::Up, _) => {}
        }
        match read {
            Read::List { after, freshness } => {
                let objects = match freshness {
                    Freshness::Newest => self.objects(),
                    Freshness::MayBeStale => self.objects_at(now.before(self.staleness)),
                };
                Some(objects.list(kind, after.as_deref(), self.page_size))
            }
            Read::Watch { from, .. }
                if from.number() < self.compacted_revision.number()
                    || from.number() > self.revision.number() =>
            {
                Some(history_gone(kind))
            }
            Read::Watch {
                from, freshness, ..
            } => {
                let staleness = match freshness {
                    Freshness::Newest => Duration::ZERO,
                    Freshness::MayBeStale => self.staleness,
                };
                // A call contains only the number of a revision, not its era.
                let from = in_era(self.era, *from);
                self.changes(now, kind, from, staleness, expired)
            }
        }
    }

    /// Returns the objects of the newest state.
    fn objects(&self) -> Objects {
        Objects {
            revision: self.revision,
            instances: self.instances.clone(),
            configuration: self.configuration.clone(),
            drained_zones: self.drained_zones.clone(),
        }
    }

    /// Returns the objects as of a time.
    fn objects_at(&self, time: Timestamp) -> Objects {
        let mut earlier = self.earlier_objects.iter();
        let before_next_write = earlier.find(|(written_at, _)| *written_at > time);
        before_next_write.map_or_else(|| self.objects(), |(_, objects)| objects.clone())
    }

    /// Keeps the objects before a write for stale lists. Returns the revision of the write.
    fn start_write(&mut self, now: Timestamp) -> Revision {
        let is_outdated = |written_at: &Timestamp| now.since(*written_at) > MAXIMUM_STALENESS;
        while let Some((written_at, _)) = self.earlier_objects.front()
            && is_outdated(written_at)
        {
            self.earlier_objects.pop_front();
        }
        let objects = self.objects();
        self.earlier_objects.push_back((now, objects));
        self.advance_revision()
    }

    fn advance_revision(&mut self) -> Revision {
        let next = Revision::in_era(self.era, self.revision.number() + 1);
        self.revision = next.unwrap_or(self.revision);
        self.revision
    }

    fn changes(
        &self,
        now: Timestamp,
        kind: ObjectKind,
        from: Revision,
        staleness: Duration,
        expired: bool,
    ) -> Option<StoreAnswer> {
        let new_changes = || {
            self.history
                .iter()
                .filter(move |(at, revision, _)| *revision > from && now.since(*at) >= staleness)
        };
        let at = new_changes().map(|(_, revision, _)| *revision).max();
        let at = at.unwrap_or(from);
        match kind {
            ObjectKind::Instances => {
                let events: Vec<InstanceEvent> = new_changes()
                    .filter_map(|(_, _, change)| match change {
                        Change::Instance(event) => Some(event.clone()),
                        Change::Configuration(_) | Change::Zone(_) => None,
                    })
                    .collect();
                let due = expired || !events.is_empty();
                due.then_some(StoreAnswer::Instances(Answer::Changes { events, at }))
            }
            ObjectKind::Configuration => {
                let events: Vec<Configuration> = new_changes()
                    .filter_map(|(_, _, change)| match change {
                        Change::Configuration(configuration) => Some(configuration.clone()),
                        Change::Instance(_) | Change::Zone(_) => None,
                    })
                    .collect();
                let due = expired || !events.is_empty();
                due.then_some(StoreAnswer::Configurations(Answer::Changes { events, at }))
            }
            ObjectKind::Zones => {
                let events: Vec<ZoneEvent> = new_changes()
                    .filter_map(|(_, _, change)| match change {
                        Change::Zone(event) => Some(event.clone()),
                        Change::Configuration(_) | Change::Instance(_) => None,
                    })
                    .collect();
                let due = expired || !events.is_empty();
                due.then_some(StoreAnswer::Zones(Answer::Changes { events, at }))
            }
        }
    }
}

impl Objects {
    /// Returns a page of the list of a kind.
    fn list(&self, kind: ObjectKind, after: Option<&str>, page_size: usize) -> StoreAnswer {
        let at = self.revision;
        match kind {
            ObjectKind::Configuration => StoreAnswer::Configurations(Answer::Page {
                items: self.configuration.clone().into_iter().collect(),
                next_after: None,
                at,
            }),
            ObjectKind::Zones => {
                let drained = self.drained_zones.iter();
                let drained = drained.map(|(zone, revision)| DrainedZone {
                    zone: zone.clone(),
                    revision: *revision,
                });
                StoreAnswer::Zones(Answer::Page {
                    items: drained.collect(),
                    next_after: None,
                    at,
                })
            }
            ObjectKind::Instances => {
                let after = after.and_then(|name| u64::from_str_radix(name, 16).ok());
                let remaining = self
                    .instances
                    .values()
                    .filter(|record| after.is_none_or(|after| record.id.0 > after));
                let mut items: Vec<InstanceRecord> =
                    remaining.take(page_size + 1).cloned().collect();
                let more = items.len() > page_size;
                items.truncate(page_size);
                let last = items.last().map(|record| record.id.to_string());
                StoreAnswer::Instances(Answer::Page {
                    items,
                    next_after: last.filter(|_| more),
                    at,
                })
            }
        }
    }
}

/// Returns the revision with the same number in `era`.
fn in_era(era: StoreEra, revision: Revision) -> Revision {
    Revision::in_era(era, revision.number()).unwrap_or(revision)
}

const fn freshness(read: &Read) -> Freshness {
    match read {
        Read::List { freshness, .. } | Read::Watch { freshness, .. } => *freshness,
    }
}

/// Applies a change to each revision of an answer.
fn with_revisions<Item, Event>(
    mut answer: Answer<Item, Event>,
    change: impl Fn(&mut Revision),
    change_item: impl Fn(&mut Item),
    change_event: impl Fn(&mut Event),
) -> Answer<Item, Event> {
    match &mut answer {
        Answer::Page { items, at, .. } => {
            change(at);
            items.iter_mut().for_each(change_item);
        }
        Answer::Changes { events, at } => {
            change(at);
            events.iter_mut().for_each(change_event);
        }
        Answer::HistoryGone | Answer::Unverified | Answer::Throttled | Answer::Failed => {}
    }
    answer
}

const fn throttled(kind: ObjectKind) -> StoreAnswer {
    match kind {
        ObjectKind::Instances => StoreAnswer::Instances(Answer::Throttled),
        ObjectKind::Configuration => StoreAnswer::Configurations(Answer::Throttled),
        ObjectKind::Zones => StoreAnswer::Zones(Answer::Throttled),
    }
}

const fn history_gone(kind: ObjectKind) -> StoreAnswer {
    match kind {
        ObjectKind::Instances => StoreAnswer::Instances(Answer::HistoryGone),
        ObjectKind::Configuration => StoreAnswer::Configurations(Answer::HistoryGone),
        ObjectKind::Zones => StoreAnswer::Zones(Answer::HistoryGone),
    }
}
