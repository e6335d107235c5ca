//! Pins: the owner's records of the backend of a flow, or of its refusal.

use crate::flow::{FlowPlace, SettledBucket};
use crate::identity::{BackendId, BucketIndex, GenerationNumber, ServiceId};
use crate::packet::FlowHash;
use crate::time::Timestamp;
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::BTreeMap;

/// The first 96 bits of a flow hash.
///
/// They determine the bucket as the full hash does, and need a quarter less control traffic. With
/// 13 million flows of a service, the probability that any two collide is below 2^-49.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize,
)]
pub struct ShortHash(pub [u8; 12]);

impl From<FlowHash> for ShortHash {
    fn from(hash: FlowHash) -> Self {
        let mut short = [0; 12];
        short.copy_from_slice(&hash.0.to_be_bytes()[..12]);
        Self(short)
    }
}

impl ShortHash {
    /// Returns the bucket of the flow among `buckets`.
    pub(super) fn bucket(self, buckets: usize) -> BucketIndex {
        let mut padded = [0; 16];
        padded[..12].copy_from_slice(&self.0);
        BucketIndex(FlowHash(u128::from_be_bytes(padded)).bucket(buckets) as u32)
    }
}

/// The key of a pin.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize,
)]
pub struct PinKey {
    /// The service.
    pub service: ServiceId,
    /// The flow.
    pub hash: ShortHash,
}

impl From<FlowPlace> for PinKey {
    fn from(place: FlowPlace) -> Self {
        Self {
            service: place.service,
            hash: place.hash.into(),
        }
    }
}

/// Where a pinned flow goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PinDestination {
    /// To this backend.
    Backend(BackendId),
    /// To the owner's sorry server.
    Refused,
}

/// A change of one pin, encoded in four bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PinChange(u32);

impl PinChange {
    const REFUSED: u32 = u32::MAX;
    const REMOVED: u32 = u32::MAX - 1;

    /// Sets the pin.
    pub(super) const fn set(destination: PinDestination) -> Self {
        match destination {
            PinDestination::Backend(backend) => Self(backend.0),
            PinDestination::Refused => Self(Self::REFUSED),
        }
    }

    /// Removes the pin.
    pub(super) const fn removed() -> Self {
        Self(Self::REMOVED)
    }

    /// Returns the new destination; `None` for a removal.
    pub(super) const fn decode(self) -> Option<PinDestination> {
        match self.0 {
            Self::REFUSED => Some(PinDestination::Refused),
            Self::REMOVED => None,
            backend => Some(PinDestination::Backend(BackendId(backend))),
        }
    }
}

/// An encoded pin of 16 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EncodedPin {
    /// The flow.
    pub hash: ShortHash,
    /// The change of its pin.
    pub change: PinChange,
}

/// Pins of one service.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PinRun {
    /// The service.
    pub service: ServiceId,
    /// The pins.
    pub pins: Vec<EncodedPin>,
}

/// Marks a bucket in which no unpinned flow remains on the base. Such a flow is sent to the target
/// from now on, as on nodes for which the bucket is already clean.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SettledMark {
    /// The bucket.
    pub settled: SettledBucket,
    /// The generation in which it became contested.
    pub contested_since: GenerationNumber,
    /// Its target; `None` removes the mark.
    pub target: Option<BackendId>,
}

/// Groups `changes` by service.
pub(super) fn encode_runs(changes: impl IntoIterator<Item = (PinKey, PinChange)>) -> Vec<PinRun> {
    let mut runs: BTreeMap<ServiceId, Vec<EncodedPin>> = BTreeMap::new();
    for (key, change) in changes {
        let hash = key.hash;
        let run = runs.entry(key.service).or_default();
        run.push(EncodedPin { hash, change });
    }
    let run = |(service, pins)| PinRun { service, pins };
    runs.into_iter().map(run).collect()
}

/// Returns all changes in `runs`.
pub(super) fn decode_runs(runs: &[PinRun]) -> impl Iterator<Item = (PinKey, PinChange)> {
    runs.iter().flat_map(|run| {
        run.pins.iter().map(|pin| {
            let key = PinKey {
                service: run.service,
                hash: pin.hash,
            };
            (key, pin.change)
        })
    })
}

/// A pin as a replica stores it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Pin {
    /// Where the flow goes.
    pub(super) destination: PinDestination,
    /// When the owner last received a packet of the flow.
    pub(super) last_used: Timestamp,
    /// Whether the end of the flow was reported.
    pub(super) ended: bool,
}

/// The pins of one group, in the order in which they are copied.
#[derive(Clone, Debug, Default)]
pub(super) struct PinTable {
    pins: BTreeMap<PinKey, Pin>,
    marks: BTreeMap<SettledBucket, SettledMark>,
}

impl PinTable {
    pub(super) fn len(&self) -> usize {
        self.pins.len()
    }

    pub(super) fn get(&self, key: &PinKey) -> Option<&Pin> {
        self.pins.get(key)
    }

    pub(super) fn get_mut(&mut self, key: &PinKey) -> Option<&mut Pin> {
        self.pins.get_mut(key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&PinKey, &Pin)> {
        self.pins.iter()
    }

    /// Applies `runs` and `marks`. New pins count as used at `now`.
    pub(super) fn apply(&mut self, now: Timestamp, runs: &[PinRun], marks: &[SettledMark]) {
        for mark in marks {
            self.apply_mark(*mark);
        }
        for (key, change) in decode_runs(runs) {
            self.apply_change(now, key, change);
        }
    }

    /// Sets or removes one mark.
    pub(super) fn apply_mark(&mut self, mark: SettledMark) {
        match mark.target {
            Some(_) => self.marks.insert(mark.settled, mark),
            None => self.marks.remove(&mark.settled),
        };
    }

    /// Returns the mark of a bucket.
    pub(super) fn mark(&self, settled: SettledBucket) -> Option<SettledMark> {
        self.marks.get(&settled).copied()
    }

    /// Returns all marks.
    pub(super) fn marks(&self) -> Vec<SettledMark> {
        self.marks.values().copied().collect()
    }

    /// Applies one change.
    pub(super) fn apply_change(&mut self, now: Timestamp, key: PinKey, change: PinChange) {
        let Some(destination) = change.decode() else {
            self.pins.remove(&key);
            return;
        };
        let pin = Pin {
            destination,
            last_used: now,
            ended: false,
        };
        self.pins.insert(key, pin);
    }

    /// Returns at most `limit` pins after `cursor`, and whether more follow.
    pub(super) fn page(&self, cursor: Option<PinKey>, limit: usize) -> (Vec<PinRun>, bool) {
        let lower = cursor.map_or(std::ops::Bound::Unbounded, std::ops::Bound::Excluded);
        let mut following = self.pins.range((lower, std::ops::Bound::Unbounded));
        let page = following.by_ref().take(limit);
        let runs = encode_runs(page.map(|(key, pin)| (*key, PinChange::set(pin.destination))));
        (runs, following.next().is_some())
    }

    /// Returns the last key in the order of pages.
    pub(super) fn last_key(&self) -> Option<PinKey> {
        self.pins.last_key_value().map(|(key, _)| *key)
    }
}
