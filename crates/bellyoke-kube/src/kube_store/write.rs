//! Conditional writes of any kind, settled when answers are lost.

use super::client::KubeStore;
use crate::settle::{ReadAnswer, ReadBack, RetryContext, Settled, Settlement, Step, WriteAnswer};
use crate::store::{OPERATION_ANNOTATION, OperationId, ResourceVersion, StoreError};
use kube::api::{DeleteParams, ListParams, PostParams, Preconditions, Resource, ResourceExt};
use kube::core::NamespaceResourceScope;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

const HTTP_NOT_FOUND: u16 = 404;
const HTTP_CONFLICT: u16 = 409;

/// A kind of the store: what [`KubeStore`] can read and write.
pub trait StoredKind:
    Resource<Scope = NamespaceResourceScope, DynamicType = ()>
    + Clone
    + Debug
    + Serialize
    + DeserializeOwned
    + Send
    + Sync
{
}

impl<K> StoredKind for K where
    K: Resource<Scope = NamespaceResourceScope, DynamicType = ()>
        + Clone
        + Debug
        + Serialize
        + DeserializeOwned
        + Send
        + Sync
{
}

/// What came of a conditional write of an object.
#[derive(Clone, Debug)]
pub enum WriteOutcome<K> {
    /// It is in the store.
    Accepted(K),
    /// The store holds an object that somebody else wrote.
    Conflict {
        /// That object.
        newer: K,
        /// True if an answer was lost: the own write may have been in force before.
        overtaken: bool,
    },
    /// The object to be replaced isn't there any more.
    Deleted,
    /// The store can't be asked. The write may have taken effect or may yet: compare the
    /// operation id of the object.
    Unknown,
}

/// What came of a conditional deletion.
#[derive(Clone, Debug)]
pub enum DeleteOutcome<K> {
    /// The object isn't in the store.
    Accepted,
    /// The store holds a newer version of the object.
    Conflict(K),
    /// The store can't be asked. The deletion may have taken effect or may yet.
    Unknown,
}

impl KubeStore {
    /// Reads one object.
    ///
    /// # Errors
    /// The store can't be asked or refuses.
    pub async fn read<K: StoredKind>(&self, name: &str) -> Result<Option<K>, StoreError> {
        let api = self.api::<K>();
        match self.request(api.get(name)).await {
            Ok(object) => Ok(Some(object)),
            Err(StoreError::Refused {
                code: HTTP_NOT_FOUND,
                ..
            }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads all objects of a kind.
    ///
    /// # Errors
    /// The store can't be asked or refuses.
    pub async fn list<K: StoredKind>(&self) -> Result<Vec<K>, StoreError> {
        let api = self.api::<K>();
        let list = self.request(api.list(&ListParams::default())).await?;
        Ok(list.items)
    }

    /// Creates an object (no `resourceVersion`) or replaces the version it names, and tells
    /// what came of it also when answers are lost. `object` is annotated with `operation`.
    ///
    /// # Errors
    /// The store refuses the write for another reason than a conflict: it had no effect.
    pub async fn write<K: StoredKind>(
        &self,
        object: &K,
        operation: &OperationId,
    ) -> Result<WriteOutcome<K>, StoreError> {
        let ours = |found: &K| found.annotations().get(OPERATION_ANNOTATION) == Some(&operation.0);
        self.write_recognized(object, operation, ours).await
    }

    /// As [`Self::write`], with a rule by which the own write is recognized in the store.
    pub(super) async fn write_recognized<K: StoredKind>(
        &self,
        object: &K,
        operation: &OperationId,
        ours: impl Fn(&K) -> bool,
    ) -> Result<WriteOutcome<K>, StoreError> {
        let mut object = object.clone();
        let annotations = object.annotations_mut();
        annotations.insert(OPERATION_ANNOTATION.to_owned(), operation.0.clone());
        let previous = object.resource_version().map(ResourceVersion);
        let mut settlement = Settlement::new(previous, self.options().write_retries);
        let mut refusal = None;
        let mut step = Step::Write {
            delay: std::time::Duration::ZERO,
        };
        loop {
            step = match step {
                Step::Write { delay } => {
                    tokio::time::sleep(delay).await;
                    let answer = self.send_write(&object, &mut refusal).await;
                    self.with_retries(|context| settlement.on_write(answer, context))
                }
                Step::Read { delay } => {
                    tokio::time::sleep(delay).await;
                    let answer = self.read_back(&object.name_any(), &ours).await;
                    self.with_retries(|context| settlement.on_read(answer, context))
                }
                Step::Done(settled) => return outcome(settled, refusal),
            };
        }
    }

    /// Deletes the version that `object` names; one that is missing is fine.
    ///
    /// # Errors
    /// The store refuses for another reason than a conflict, or its first answer was lost and
    /// nothing could be read back.
    pub async fn delete<K: StoredKind>(&self, object: &K) -> Result<DeleteOutcome<K>, StoreError> {
        let api = self.api::<K>();
        let name = object.name_any();
        let parameters = DeleteParams {
            preconditions: Some(Preconditions {
                uid: object.uid(),
                resource_version: object.resource_version(),
            }),
            ..DeleteParams::default()
        };
        match self.request(api.delete(&name, &parameters)).await {
            Ok(_) => return Ok(DeleteOutcome::Accepted),
            Err(StoreError::Refused { code, .. })
                if code == HTTP_NOT_FOUND || code == HTTP_CONFLICT => {}
            Err(StoreError::Unavailable { .. }) => {}
            Err(error) => return Err(error),
        }
        let Ok(found) = self.read::<K>(&name).await else {
            return Ok(DeleteOutcome::Unknown);
        };
        Ok(match found {
            None => DeleteOutcome::Accepted,
            Some(other) if other.uid() != object.uid() => DeleteOutcome::Accepted,
            Some(same) if same.resource_version() == object.resource_version() => {
                DeleteOutcome::Unknown
            }
            Some(newer) => DeleteOutcome::Conflict(newer),
        })
    }

    async fn send_write<K: StoredKind>(
        &self,
        object: &K,
        refusal: &mut Option<StoreError>,
    ) -> WriteAnswer<K> {
        let api = self.api::<K>();
        let name = object.name_any();
        let parameters = PostParams::default();
        let answer = match object.resource_version() {
            Some(_) => self.request(api.replace(&name, &parameters, object)).await,
            None => self.request(api.create(&parameters, object)).await,
        };
        match answer {
            Ok(stored) => WriteAnswer::Stored(stored),
            Err(StoreError::Refused { code, .. })
                if code == HTTP_CONFLICT || code == HTTP_NOT_FOUND =>
            {
                WriteAnswer::Conflict
            }
            Err(error @ StoreError::Refused { .. }) => {
                *refusal = Some(error);
                WriteAnswer::Refused
            }
            Err(error) => {
                tracing::warn!(%error, name, "answer to a write was lost: reading back");
                WriteAnswer::Lost
            }
        }
    }

    async fn read_back<K: StoredKind>(
        &self,
        name: &str,
        ours: impl Fn(&K) -> bool,
    ) -> ReadAnswer<K> {
        match self.read::<K>(name).await {
            Ok(Some(object)) => ReadAnswer::Found(ReadBack {
                version: ResourceVersion(object.resource_version().unwrap_or_default()),
                ours: ours(&object),
                object,
            }),
            Ok(None) => ReadAnswer::Missing,
            Err(_) => ReadAnswer::Lost,
        }
    }

    fn with_retries<T>(
        &self,
        decide: impl FnOnce(&mut RetryContext<'_, rand::rngs::ThreadRng>) -> T,
    ) -> T {
        let now = self.now();
        let mut budget = self.budget();
        let mut context = RetryContext {
            budget: &mut budget,
            now,
            random: &mut rand::rng(),
        };
        decide(&mut context)
    }
}

fn outcome<K>(
    settled: Settled<K>,
    refusal: Option<StoreError>,
) -> Result<WriteOutcome<K>, StoreError> {
    match settled {
        Settled::Accepted(object) => Ok(WriteOutcome::Accepted(object)),
        Settled::Conflict { newer, overtaken } => Ok(WriteOutcome::Conflict { newer, overtaken }),
        Settled::Deleted => Ok(WriteOutcome::Deleted),
        Settled::Unknown => Ok(WriteOutcome::Unknown),
        Settled::Refused => Err(refusal.unwrap_or_else(|| StoreError::Unavailable {
            reason: "the store refused the write without a reason".to_owned(),
        })),
    }
}
