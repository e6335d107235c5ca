//! Canonical encoding and digest of a generation.

use crate::generation::codec::{DecodeError, compress_archive, decode_archive, to_archive};
use crate::generation::types::{Bucket, Generation, Service};
use crate::identity::{BackendId, GenerationNumber};
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// BLAKE3 hash of a generation's canonical encoding.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize,
)]
#[rkyv(derive(Debug, PartialEq, Eq))]
pub struct GenerationDigest(pub [u8; 32]);

impl fmt::Display for GenerationDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl Generation {
    /// Encodes the generation.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        compress_archive(&to_archive(&EncodedGeneration::new(self)))
    }

    /// Decodes a generation.
    ///
    /// # Errors
    /// Returns an error if `bytes` is not a generation in the supported format.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        decode_archive::<EncodedGeneration>(bytes)?.into_generation()
    }

    /// Returns the hash of the content. Generations with equal digests are equal.
    #[must_use]
    pub fn digest(&self) -> GenerationDigest {
        let archive = to_archive(&EncodedGeneration::new(self));
        GenerationDigest(*blake3::hash(&archive).as_bytes())
    }
}

/// Consecutive buckets from `first` to `last`, inclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(super) struct BucketRun {
    /// The first bucket.
    pub first: u16,
    /// The last bucket.
    pub last: u16,
}

impl BucketRun {
    /// Adds bucket `index`, which must be higher than all buckets in `runs`.
    pub fn append(runs: &mut Vec<Self>, index: usize) {
        let index = u16::try_from(index).unwrap_or(u16::MAX);
        match runs.last_mut() {
            Some(run) if run.last.checked_add(1) == Some(index) => run.last = index,
            _ => runs.push(Self {
                first: index,
                last: index,
            }),
        }
    }

    /// Returns the entries of `buckets` in the run.
    pub fn entries<'a>(&self, buckets: &'a mut [Bucket]) -> Result<&'a mut [Bucket], DecodeError> {
        let range = usize::from(self.first)..=usize::from(self.last);
        if range.is_empty() {
            return Err(DecodeError::Table);
        }
        buckets.get_mut(range).ok_or(DecodeError::Table)
    }
}

/// A generation with separately encoded tables.
#[derive(Archive, Serialize, Deserialize)]
struct EncodedGeneration {
    /// The generation with empty tables.
    metadata: Generation,
    /// The table of each service, in the order of the services.
    tables: Vec<EncodedTable>,
}

impl EncodedGeneration {
    fn new(generation: &Generation) -> Self {
        let services = generation.services.iter();
        let metadata = Generation {
            services: services.map(without_table).collect(),
            backends: generation.backends.clone(),
            members: generation.members.clone(),
            ..*generation
        };
        let services = generation.services.iter();
        Self {
            metadata,
            tables: services
                .map(|service| EncodedTable::new(&service.buckets))
                .collect(),
        }
    }

    fn into_generation(self) -> Result<Generation, DecodeError> {
        if self.tables.len() != self.metadata.services.len() {
            return Err(DecodeError::Table);
        }
        let mut generation = self.metadata;
        for (service, table) in generation.services.iter_mut().zip(&self.tables) {
            service.buckets = table.buckets()?;
        }
        Ok(generation)
    }
}

/// Returns a copy of the service with an empty table.
pub(super) fn without_table(service: &Service) -> Service {
    Service {
        uid: service.uid.clone(),
        name: service.name.clone(),
        backends: service.backends.clone(),
        buckets: Vec::new(),
        ..*service
    }
}

/// A lookup table: targets as positions in the list of its backends, and runs of contested
/// buckets.
#[derive(Archive, Serialize, Deserialize)]
struct EncodedTable {
    backends: Vec<BackendId>,
    targets: Targets,
    contested: Vec<ContestedRuns>,
}

/// Position of the target of each bucket, starting at 1; 0 if there is no target.
#[derive(Archive, Serialize, Deserialize)]
enum Targets {
    Narrow(Vec<u8>),
    Wide(Vec<u32>),
}

/// Buckets that became contested together and have the same base.
#[derive(Archive, Serialize, Deserialize)]
struct ContestedRuns {
    base: Option<BackendId>,
    since: GenerationNumber,
    runs: Vec<BucketRun>,
}

impl EncodedTable {
    fn new(buckets: &[Bucket]) -> Self {
        let targets = buckets.iter().filter_map(|bucket| bucket.target);
        let backends: BTreeSet<BackendId> = targets.collect();
        let positions: BTreeMap<BackendId, usize> = backends
            .iter()
            .enumerate()
            .map(|(index, backend)| (*backend, index + 1))
            .collect();
        let position = |bucket: &Bucket| bucket.target.map_or(0, |target| positions[&target]);
        let entries = buckets.iter().map(position);
        let targets = if u8::try_from(backends.len()).is_ok() {
            Targets::Narrow(entries.map(|entry| entry as u8).collect())
        } else {
            Targets::Wide(entries.map(|entry| entry as u32).collect())
        };
        Self {
            backends: backends.into_iter().collect(),
            targets,
            contested: contested(buckets),
        }
    }

    fn buckets(&self) -> Result<Vec<Bucket>, DecodeError> {
        let clean = |position: usize| self.clean_bucket(position);
        let mut buckets = match &self.targets {
            Targets::Narrow(entries) => entries
                .iter()
                .map(|entry| clean(usize::from(*entry)))
                .collect::<Result<Vec<_>, _>>(),
            Targets::Wide(entries) => entries
                .iter()
                .map(|entry| clean(*entry as usize))
                .collect::<Result<Vec<_>, _>>(),
        }?;
        for entry in &self.contested {
            for run in &entry.runs {
                for bucket in run.entries(&mut buckets)? {
                    bucket.base = entry.base;
                    bucket.contested_since = entry.since;
                }
            }
        }
        Ok(buckets)
    }

    fn clean_bucket(&self, position: usize) -> Result<Bucket, DecodeError> {
        let target = match position.checked_sub(1) {
            Some(index) => Some(*self.backends.get(index).ok_or(DecodeError::Table)?),
            None => None,
        };
        Ok(Bucket {
            target,
            ..Bucket::default()
        })
    }
}

fn contested(buckets: &[Bucket]) -> Vec<ContestedRuns> {
    let mut runs = BTreeMap::<(GenerationNumber, Option<BackendId>), Vec<BucketRun>>::new();
    for (index, bucket) in buckets.iter().enumerate() {
        if bucket.is_contested() {
            let entry = (bucket.contested_since, bucket.base);
            BucketRun::append(runs.entry(entry).or_default(), index);
        }
    }
    runs.into_iter()
        .map(|((since, base), runs)| ContestedRuns { base, since, runs })
        .collect()
}
