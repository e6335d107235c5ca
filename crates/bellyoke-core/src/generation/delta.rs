//! Deltas from one generation to a later one.
//!
//! The receiver computes the tables of changed services like the publisher. The delta contains
//! only the buckets whose computed content differs from the later generation, such as settled
//! buckets. The digest verifies the result.

use crate::generation::codec::{DecodeError, compress_archive, decode_archive, to_archive};
use crate::generation::compile::{TableChange, next_buckets};
use crate::generation::encoding::{BucketRun, GenerationDigest, without_table};
use crate::generation::objects::StoreRevision;
use crate::generation::types::{Backend, Bucket, ClusterParameters, Generation, Member, Service};
use crate::identity::{BackendId, GenerationNumber, ServiceId};
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// An error in applying a delta.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DeltaError {
    /// The delta is based on another generation.
    #[error("the delta is based on generation {expected}, not {actual}")]
    Base {
        /// The base generation of the delta.
        expected: GenerationNumber,
        /// The generation that it was applied to.
        actual: GenerationNumber,
    },
    /// The delta is inconsistent.
    #[error(transparent)]
    Damaged(#[from] DecodeError),
    /// The result differs from the published generation.
    #[error("the result has digest {found}, expected {expected}")]
    Digest {
        /// Digest of the published generation.
        expected: GenerationDigest,
        /// Digest of the result.
        found: GenerationDigest,
    },
}

/// The difference between a generation and a later one.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct GenerationDelta {
    from: GenerationNumber,
    number: GenerationNumber,
    digest: GenerationDigest,
    revision: StoreRevision,
    parameters: ClusterParameters,
    next_service: ServiceId,
    next_backend: BackendId,
    members: Option<Vec<Member>>,
    removed_backends: Vec<BackendId>,
    backends: Vec<Backend>,
    removed_services: Vec<ServiceId>,
    services: Vec<ServiceDelta>,
}

/// A changed service.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
struct ServiceDelta {
    /// The service with an empty table.
    metadata: Service,
    /// Number of buckets in the table.
    table_size: u32,
    /// Buckets whose content differs from the computed one.
    corrections: Vec<Correction>,
}

/// Buckets with the same content.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
struct Correction {
    content: Bucket,
    runs: Vec<BucketRun>,
}

impl GenerationDelta {
    /// Computes the delta from `old` to `new`.
    #[must_use]
    pub fn between(old: &Generation, new: &Generation) -> Self {
        let old_services = services_by_id(old);
        let changed = |service: &&Service| old_services.get(&service.id) != Some(service);
        let services = new.services.iter().filter(changed).map(|service| {
            let previous = old_services.get(&service.id).copied();
            ServiceDelta::between(previous, service, new.number)
        });
        let new_services = services_by_id(new);
        let old_backends = backends_by_id(old);
        let new_backends = backends_by_id(new);
        let is_changed = |backend: &&Backend| old_backends.get(&backend.id) != Some(backend);
        Self {
            from: old.number,
            number: new.number,
            digest: new.digest(),
            revision: new.revision,
            parameters: new.parameters,
            next_service: new.next_service,
            next_backend: new.next_backend,
            members: (old.members != new.members).then(|| new.members.clone()),
            removed_backends: missing_keys(&old_backends, &new_backends),
            backends: new.backends.iter().filter(is_changed).cloned().collect(),
            removed_services: missing_keys(&old_services, &new_services),
            services: services.collect(),
        }
    }

    /// Returns the number of the base generation.
    #[must_use]
    pub fn from(&self) -> GenerationNumber {
        self.from
    }

    /// Returns the number of the resulting generation.
    #[must_use]
    pub fn number(&self) -> GenerationNumber {
        self.number
    }

    /// Returns the digest of the resulting generation.
    #[must_use]
    pub fn digest(&self) -> GenerationDigest {
        self.digest
    }

    /// Applies the delta to `old` and returns the later generation.
    ///
    /// # Errors
    /// Returns an error if `old` is not the base of the delta or the result differs from the
    /// published generation. The full generation must be fetched in that case.
    pub fn apply(&self, old: &Generation) -> Result<Generation, DeltaError> {
        if old.number != self.from {
            return Err(DeltaError::Base {
                expected: self.from,
                actual: old.number,
            });
        }
        let generation = Generation {
            number: self.number,
            revision: self.revision,
            parameters: self.parameters,
            services: self.apply_services(old)?,
            backends: self.apply_backends(old),
            members: self.members.clone().unwrap_or_else(|| old.members.clone()),
            next_service: self.next_service,
            next_backend: self.next_backend,
        };
        let found = generation.digest();
        if found != self.digest {
            return Err(DeltaError::Digest {
                expected: self.digest,
                found,
            });
        }
        Ok(generation)
    }

    /// Encodes the delta.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        compress_archive(&to_archive(self))
    }

    /// Decodes a delta.
    ///
    /// # Errors
    /// Returns an error if `bytes` is not a delta in the supported format.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        decode_archive(bytes)
    }

    fn apply_services(&self, old: &Generation) -> Result<Vec<Service>, DecodeError> {
        let old_services = services_by_id(old);
        let mut services: BTreeMap<ServiceId, Service> = old
            .services
            .iter()
            .map(|service| (service.id, service.clone()))
            .collect();
        for id in &self.removed_services {
            services.remove(id);
        }
        for delta in &self.services {
            let previous = old_services.get(&delta.metadata.id).copied();
            let service = delta.apply(previous, self.number)?;
            services.insert(service.id, service);
        }
        Ok(services.into_values().collect())
    }

    fn apply_backends(&self, old: &Generation) -> Vec<Backend> {
        let mut backends = backends_by_id(old);
        for id in &self.removed_backends {
            backends.remove(id);
        }
        backends.extend(self.backends.iter().map(|backend| (backend.id, backend)));
        backends.into_values().cloned().collect()
    }
}

impl ServiceDelta {
    fn between(previous: Option<&Service>, service: &Service, number: GenerationNumber) -> Self {
        let metadata = without_table(service);
        let computed = computed_buckets(previous, &metadata, service.buckets.len(), number);
        let mut corrections = Vec::<Correction>::new();
        for (index, bucket) in service.buckets.iter().enumerate() {
            if computed.get(index) == Some(bucket) {
                continue;
            }
            let known = corrections
                .iter_mut()
                .find(|correction| correction.content == *bucket);
            match known {
                Some(correction) => BucketRun::append(&mut correction.runs, index),
                None => corrections.push(Correction::new(*bucket, index)),
            }
        }
        Self {
            metadata,
            table_size: u32::try_from(service.buckets.len()).unwrap_or(u32::MAX),
            corrections,
        }
    }

    fn apply(
        &self,
        previous: Option<&Service>,
        number: GenerationNumber,
    ) -> Result<Service, DecodeError> {
        if self.table_size > *crate::generation::TABLE_SIZES.end() {
            return Err(DecodeError::Table);
        }
        let size = self.table_size as usize;
        let mut buckets = computed_buckets(previous, &self.metadata, size, number);
        for correction in &self.corrections {
            for run in &correction.runs {
                run.entries(&mut buckets)?.fill(correction.content);
            }
        }
        Ok(Service {
            buckets,
            ..self.metadata.clone()
        })
    }
}

impl Correction {
    fn new(content: Bucket, index: usize) -> Self {
        let mut runs = Vec::new();
        BucketRun::append(&mut runs, index);
        Self { content, runs }
    }
}

/// Computes the table of a service if no bucket is settled.
fn computed_buckets(
    previous: Option<&Service>,
    metadata: &Service,
    size: usize,
    number: GenerationNumber,
) -> Vec<Bucket> {
    let change = TableChange {
        previous,
        placement: metadata.placement,
        backends: &metadata.backends,
        size,
        number,
    };
    let mut buckets = next_buckets(&change, |_| false);
    buckets.resize(size, Bucket::default());
    buckets
}

fn services_by_id(generation: &Generation) -> BTreeMap<ServiceId, &Service> {
    let services = generation.services.iter();
    services.map(|service| (service.id, service)).collect()
}

fn backends_by_id(generation: &Generation) -> BTreeMap<BackendId, &Backend> {
    let backends = generation.backends.iter();
    backends.map(|backend| (backend.id, backend)).collect()
}

fn missing_keys<K: Ord + Copy, V>(old: &BTreeMap<K, V>, new: &BTreeMap<K, V>) -> Vec<K> {
    let missing = old.keys().filter(|key| !new.contains_key(key));
    missing.copied().collect()
}
