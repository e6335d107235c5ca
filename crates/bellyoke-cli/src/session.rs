//! The platform as commands use it: whole reads, conditional writes.

use crate::arguments::Options;
use crate::failure::Failure;
use crate::objects::{Change, ObjectSet};
use bellyoke_api::result_code::ResultCode;
use bellyoke_core::generation::Generation;
use bellyoke_kube::kinds::{Backend, Balancer, Service};
use bellyoke_kube::kube_store::{
    DeleteOutcome, KubeStore, KubeStoreOptions, StoredKind, WriteOutcome,
};
use bellyoke_kube::store::{
    GenerationStore, OPERATION_ANNOTATION, OperationId, StoreError, StoredGeneration,
};
use kube::ResourceExt;

const USER_AGENT: &str = concat!("bellyoke/", env!("CARGO_PKG_VERSION"));

/// A connection to the platform.
pub struct Session {
    store: KubeStore,
}

/// The newest published generation.
pub struct Published {
    /// As the store holds it.
    pub stored: StoredGeneration,
    /// Its content.
    pub generation: Generation,
}

impl Session {
    /// Connects to the platform that the flags name.
    ///
    /// # Errors
    /// When they name none, or not by a URL.
    pub fn connect(options: &Options) -> Result<Self, Failure> {
        let Some(url) = &options.platform else {
            let message = "the command needs --platform URL";
            return Err(Failure::new(ResultCode::MissingArgument, message));
        };
        let options = KubeStoreOptions::new(url, &options.namespace, USER_AGENT);
        let store = KubeStore::connect(&options).map_err(|error| store_failure(&error))?;
        Ok(Self { store })
    }

    /// Reads all services and backends.
    ///
    /// # Errors
    /// When the platform can't be asked.
    pub async fn objects(&self) -> Result<ObjectSet, Failure> {
        Ok(ObjectSet {
            services: self.list::<Service>().await?,
            backends: self.list::<Backend>().await?,
        })
    }

    /// Reads the platform's machine list.
    ///
    /// # Errors
    /// When the platform can't be asked.
    pub async fn balancers(&self) -> Result<Vec<Balancer>, Failure> {
        self.list::<Balancer>().await
    }

    /// Reads the newest published generation, if there is any.
    ///
    /// # Errors
    /// When the platform can't be asked or holds something else.
    pub async fn published(&self) -> Result<Option<Published>, Failure> {
        let stored = self.store.current_generation().await;
        let Some(stored) = stored.map_err(|error| store_failure(&error))? else {
            return Ok(None);
        };
        let generation = Generation::decode(&stored.content).map_err(|error| {
            let message = format!("generation {}: {error}", stored.number);
            Failure::new(ResultCode::PlatformRefused, message)
        })?;
        Ok(Some(Published { stored, generation }))
    }

    /// Writes a change on the condition that its object is still as it was read. Returns the
    /// object's new version, none after a deletion.
    ///
    /// # Errors
    /// When another operator was faster, or the platform can't be asked or refuses.
    pub async fn write(&self, change: &Change) -> Result<Option<String>, Failure> {
        match change {
            Change::PutService(service) => self.put(change, service.as_ref()).await.map(Some),
            Change::PutBackend(backend) => self.put(change, backend.as_ref()).await.map(Some),
            Change::DeleteService(service) => self.delete(change, service.as_ref()).await,
            Change::DeleteBackend(backend) => self.delete(change, backend.as_ref()).await,
        }
    }

    async fn list<K: StoredKind>(&self) -> Result<Vec<K>, Failure> {
        let list = self.store.list::<K>().await;
        let mut objects = list.map_err(|error| store_failure(&error))?;
        objects.sort_by_key(ResourceExt::name_any);
        Ok(objects)
    }

    async fn put<K: StoredKind>(&self, change: &Change, object: &K) -> Result<String, Failure> {
        let operation = OperationId::random(&mut rand::rng());
        let outcome = self.store.write(object, &operation).await;
        match outcome.map_err(|error| store_failure(&error))? {
            WriteOutcome::Accepted(stored) => Ok(stored.resource_version().unwrap_or_default()),
            WriteOutcome::Conflict {
                newer,
                overtaken: false,
            } => Err(conflict(change, object, &newer)),
            WriteOutcome::Conflict { newer, .. } => Err(overtaken(change, &newer)),
            WriteOutcome::Deleted => Err(deleted(change)),
            WriteOutcome::Unknown => Err(unknown(change, &operation)),
        }
    }

    async fn delete<K: StoredKind>(
        &self,
        change: &Change,
        object: &K,
    ) -> Result<Option<String>, Failure> {
        let outcome = self.store.delete(object).await;
        match outcome.map_err(|error| store_failure(&error))? {
            DeleteOutcome::Accepted => Ok(None),
            DeleteOutcome::Conflict(newer) => Err(conflict(change, object, &newer)),
            DeleteOutcome::Unknown => Err(Failure::new(
                ResultCode::OutcomeUnknown,
                format!("{} may be deleted or not", change.object()),
            )),
        }
    }
}

/// The failure that stands for an error of the store.
#[must_use]
pub fn store_failure(error: &StoreError) -> Failure {
    let code = match error {
        StoreError::Unavailable { .. } => ResultCode::PlatformUnreachable,
        StoreError::Refused { .. } | StoreError::Invalid(_) => ResultCode::PlatformRefused,
        _ => ResultCode::BadArgument,
    };
    Failure::new(code, error.to_string())
}

/// The failure of a write that another operator's came before.
#[must_use]
pub fn conflict<K: ResourceExt>(change: &Change, read: &K, newer: &K) -> Failure {
    let object = change.object();
    let version = |object: &K| object.resource_version();
    let newer_version = version(newer).unwrap_or_default();
    let author = match newer.annotations().get(OPERATION_ANNOTATION) {
        Some(operation) => format!(" by operation {operation}"),
        None => String::new(),
    };
    let message = match version(read) {
        Some(read) => {
            format!("{object} was read at version {read} and is now at {newer_version}{author}")
        }
        None => format!("{object} was created meanwhile, at version {newer_version}{author}"),
    };
    Failure::new(ResultCode::Conflict, message)
}

/// The failure of a write whose answer was lost and whose object another operator has
/// changed since: it may have been in force for a while, so it is not a mere conflict.
#[must_use]
pub fn overtaken<K: ResourceExt>(change: &Change, newer: &K) -> Failure {
    let message = format!(
        "{} may have been written, and was changed by another operator since; it is at version {}",
        change.object(),
        newer.resource_version().unwrap_or_default()
    );
    Failure::new(ResultCode::OutcomeUnknown, message)
}

fn deleted(change: &Change) -> Failure {
    let message = format!("{} was deleted meanwhile", change.object());
    Failure::new(ResultCode::Conflict, message)
}

fn unknown(change: &Change, operation: &OperationId) -> Failure {
    let object = change.object();
    let message = format!(
        "{object}: the write is in force if the object's annotation \
         {OPERATION_ANNOTATION} is {operation}"
    );
    Failure::new(ResultCode::OutcomeUnknown, message)
}
