//! Decides what the next generation is. No store and no clock: the reader's task asks.

use bellyoke_core::flow::SettledBucket;
use bellyoke_core::generation::{
    ClusterParameters, CompileError, DecodeError, DesiredState, Generation, GenerationDigest,
    MemberObject, Problem, compile,
};
use bellyoke_core::identity::GenerationNumber;
use bellyoke_core::node::Proposal;
use bellyoke_kube::store::{
    GenerationDigest as StoredDigest, OperationId, PublishRequest, ResourceVersion,
    StoredGeneration,
};
use std::sync::Arc;
use thiserror::Error;

/// Ownership groups of a cluster that this node founds.
const GROUPS: u16 = 16;

/// Why the store's generation or the next one cannot be used.
#[derive(Debug, Error)]
pub enum PublisherError {
    /// The stored content is no generation.
    #[error("the stored generation {number} cannot be decoded: {source}")]
    Undecodable {
        /// Its number.
        number: GenerationNumber,
        /// What is wrong.
        source: DecodeError,
    },
    /// The stored content isn't what its digest or number says.
    #[error("the stored generation {number} does not agree with its digest or number")]
    Damaged {
        /// Its number.
        number: GenerationNumber,
    },
    /// No generation can follow.
    #[error(transparent)]
    Compile(#[from] CompileError),
}

/// What the next generation is made of.
#[derive(Clone, Debug)]
pub enum PublisherInput {
    /// Services and backends, read as one state.
    Objects(DesiredState),
    /// What the state machine wants, and the generation that it knew then.
    Proposal {
        /// The change.
        proposal: Proposal,
        /// The newest generation that the node knew.
        known: GenerationNumber,
    },
}

/// The generation in the store and what should follow it.
#[derive(Debug)]
pub struct Publisher {
    founding: ClusterParameters,
    current: Option<Current>,
    objects: Option<DesiredState>,
    members: Option<Wanted<MemberObject>>,
    clean: Option<Wanted<SettledBucket>>,
    problems: Vec<Problem>,
}

#[derive(Debug)]
struct Current {
    generation: Arc<Generation>,
    version: ResourceVersion,
}

/// A proposal, which only holds against the generation that it was made under.
#[derive(Debug)]
struct Wanted<T> {
    known: GenerationNumber,
    items: Vec<T>,
}

impl<T: Clone> Wanted<T> {
    fn under(wanted: Option<&Self>, number: GenerationNumber) -> Option<Vec<T>> {
        let wanted = wanted.filter(|wanted| wanted.known == number)?;
        Some(wanted.items.clone())
    }
}

impl Publisher {
    /// A publisher that knows nothing yet; `flow_hash_seed` is used if it founds the cluster.
    #[must_use]
    pub const fn new(flow_hash_seed: u64) -> Self {
        Self {
            founding: ClusterParameters {
                flow_hash_seed,
                groups: GROUPS,
            },
            current: None,
            objects: None,
            members: None,
            clean: None,
            problems: Vec::new(),
        }
    }

    /// Takes in what the store holds. Returns the generation if it is newer than the last.
    ///
    /// # Errors
    ///
    /// [`PublisherError`] if the content is damaged; it is ignored then.
    pub fn stored(
        &mut self,
        stored: &StoredGeneration,
    ) -> Result<Option<Arc<Generation>>, PublisherError> {
        let number = stored.number;
        let newest = self.number();
        if self.current.is_some() && number <= newest {
            return Ok(None);
        }
        let generation = Generation::decode(&stored.content)
            .map_err(|source| PublisherError::Undecodable { number, source })?;
        let digest = GenerationDigest(stored.digest.0);
        if generation.number != number || generation.digest() != digest {
            return Err(PublisherError::Damaged { number });
        }
        let generation = Arc::new(generation);
        self.current = Some(Current {
            generation: Arc::clone(&generation),
            version: stored.resource_version.clone(),
        });
        Ok(Some(generation))
    }

    /// Takes in what the next generation is made of.
    pub fn input(&mut self, input: PublisherInput) {
        match input {
            PublisherInput::Objects(objects) => self.objects = Some(objects),
            PublisherInput::Proposal { proposal, known } => match proposal {
                Proposal::Members(items) => self.members = Some(Wanted { known, items }),
                Proposal::MarkClean {
                    generation,
                    buckets,
                } => {
                    self.clean = Some(Wanted {
                        known: generation,
                        items: buckets,
                    });
                }
            },
        }
    }

    /// The write that the store should be asked for, if the next generation differs.
    ///
    /// # Errors
    ///
    /// [`PublisherError::Compile`] if the objects are older than the generation.
    pub fn next(
        &mut self,
        operation: OperationId,
    ) -> Result<Option<PublishRequest>, PublisherError> {
        let Some(objects) = &self.objects else {
            return Ok(None);
        };
        let previous = self.current.as_ref().map(|current| &*current.generation);
        let Some(members) = self.next_members() else {
            return Ok(None);
        };
        let clean = Wanted::under(self.clean.as_ref(), self.number()).unwrap_or_default();
        let parameters = previous.map_or(self.founding, |generation| generation.parameters);
        let compilation = compile(previous, objects, &members, &clean, parameters)?;
        self.problems = compilation.problems;
        if !compilation.changed {
            return Ok(None);
        }
        let generation = compilation.generation;
        Ok(Some(PublishRequest {
            previous: self.current.as_ref().map(|current| current.version.clone()),
            number: generation.number,
            digest: StoredDigest(generation.digest().0),
            content: generation.encode(),
            operation,
        }))
    }

    /// What of the objects isn't in force, as of the last [`Self::next`].
    #[must_use]
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }

    /// Number of the newest generation of the store; zero if there is none.
    #[must_use]
    pub fn number(&self) -> GenerationNumber {
        let current = self.current.as_ref();
        current.map_or(GenerationNumber(0), |current| current.generation.number)
    }

    /// Members of the newest generation of the store.
    #[must_use]
    pub fn current(&self) -> Option<&Generation> {
        self.current.as_ref().map(|current| &*current.generation)
    }

    /// The proposed members, or else those there are. No cluster is founded without any.
    fn next_members(&self) -> Option<Vec<MemberObject>> {
        let proposed = Wanted::under(self.members.as_ref(), self.number());
        let present = || {
            let members = &self.current()?.members;
            let members = members.iter().map(|member| MemberObject {
                node: member.node,
                zone: member.zone.clone(),
                peer_address: member.peer_address,
            });
            Some(members.collect::<Vec<_>>())
        };
        proposed
            .or_else(present)
            .filter(|members| !members.is_empty())
    }
}
