//! The edge to the platform's store: what is read, what is written and what came of it.

use crate::convert::InvalidObject;
use bellyoke_core::generation::{BackendObject, ServiceObject, StoreRevision, Zone};
use bellyoke_core::identity::{GenerationNumber, NodeId};
use futures::future::BoxFuture;
use rand::RngExt;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;

/// Annotation that names the operation which last wrote an object.
pub const OPERATION_ANNOTATION: &str = "bellyoke.dev/operation-id";

/// Version that the store gave an object. Opaque: compared for equality only.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ResourceVersion(pub String);

/// Names one write, so that its outcome can be found out when its answer was lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OperationId(pub String);

impl OperationId {
    /// A fresh id of 128 random bits.
    #[must_use]
    pub fn random<R: rand::Rng + ?Sized>(random: &mut R) -> Self {
        Self(format!("{:032x}", random.random::<u128>()))
    }
}

impl fmt::Display for OperationId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// BLAKE3 digest of a generation's canonical encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GenerationDigest(pub [u8; 32]);

/// The services and backends of the store, read as one state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DesiredState {
    /// Valid services, by name.
    pub services: Vec<ServiceObject>,
    /// Valid backends, by name.
    pub backends: Vec<BackendObject>,
    /// How far in the store's history both kinds were read.
    pub revision: StoreRevision,
    /// Objects left out because a field of theirs is wrong.
    pub invalid: Vec<InvalidObject>,
}

/// The generation as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredGeneration {
    /// Its number.
    pub number: GenerationNumber,
    /// Digest of its content.
    pub digest: GenerationDigest,
    /// The write that put it there.
    pub operation: OperationId,
    /// Its encoding.
    pub content: Vec<u8>,
    /// The store's version of the object, the condition of the next write.
    pub resource_version: ResourceVersion,
}

/// A generation to be written on a condition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishRequest {
    /// Version of the object that this generation follows; none if there must be no object yet.
    pub previous: Option<ResourceVersion>,
    /// Its number.
    pub number: GenerationNumber,
    /// Digest of its content.
    pub digest: GenerationDigest,
    /// Its encoding.
    pub content: Vec<u8>,
    /// Names this write.
    pub operation: OperationId,
}

/// What came of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// It is in the store.
    Accepted(StoredGeneration),
    /// The store holds another generation, to start again from. When an answer was lost the
    /// own generation may have been in force before that one.
    Conflict(StoredGeneration),
    /// The store can't be asked. The write may have taken effect or may yet: read the current
    /// generation before anything else is derived from the previous one.
    Unknown,
}

/// A balancer in the store's machine list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BalancerRecord {
    /// The process.
    pub node: NodeId,
    /// UDP address that the fabric sends packets to.
    pub data_address: SocketAddr,
    /// UDP address of its peer socket.
    pub peer_address: SocketAddr,
    /// The zone it stands in.
    pub zone: Zone,
    /// Whether it leaves.
    pub leaving: bool,
}

/// Why the store could not be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The address of the store isn't a URL.
    #[error("store address {value:?} is not a URL: expected http://IP:PORT")]
    Address {
        /// What was given.
        value: String,
    },
    /// The user agent can't be sent in a header.
    #[error("user agent {value:?} cannot be sent: expected visible ASCII characters")]
    UserAgent {
        /// What was given.
        value: String,
    },
    /// The client could not be made.
    #[error("cannot make the client of the store: {0}")]
    Client(#[source] Box<kube::Error>),
    /// No answer within the time limit, or a failure of the connection or the server.
    #[error("the store did not answer: {reason}")]
    Unavailable {
        /// What was seen.
        reason: String,
    },
    /// The store understood the request and refused it.
    #[error("the store refused the request ({code} {reason}): {message}")]
    Refused {
        /// HTTP status code.
        code: u16,
        /// Kubernetes status reason.
        reason: String,
        /// Its message.
        message: String,
    },
    /// An object in the store cannot be understood.
    #[error(transparent)]
    Invalid(#[from] InvalidObject),
}

/// Reads the operators' objects.
pub trait ObjectReader {
    /// Lists and watches services and backends from now on.
    fn watch_objects(&self) -> Subscription<DesiredState>;

    /// Has the open watches list again. For a reader that was told of a newer
    /// [`StoreRevision`] than its own: without a change the store tells its version only now
    /// and then.
    fn refresh_objects(&self);
}

/// Agrees on the sequence of generations.
pub trait GenerationStore {
    /// The generation that the store holds, if there is any.
    ///
    /// # Errors
    /// The store can't be asked or holds something else.
    fn current_generation(&self) -> BoxFuture<'_, Result<Option<StoredGeneration>, StoreError>>;

    /// Follows the generation from now on. Numbers only grow.
    fn watch_generation(&self) -> Subscription<StoredGeneration>;

    /// Writes a generation on the condition that the store still holds the previous one.
    ///
    /// # Errors
    /// The store refuses the write for another reason than a conflict: it had no effect.
    fn publish(&self, request: PublishRequest)
    -> BoxFuture<'_, Result<PublishOutcome, StoreError>>;
}

/// The machine list, which seeds membership and may lag.
pub trait BalancerDirectory {
    /// Creates or updates this balancer's own entry.
    ///
    /// # Errors
    /// The store can't be asked or refuses.
    fn register(&self, record: BalancerRecord) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Deletes the entry of a balancer; one that is missing is fine.
    ///
    /// # Errors
    /// The store can't be asked or refuses.
    fn withdraw(&self, node: NodeId) -> BoxFuture<'_, Result<(), StoreError>>;

    /// All entries that can be understood.
    ///
    /// # Errors
    /// The store can't be asked or refuses.
    fn list_balancers(&self) -> BoxFuture<'_, Result<Vec<BalancerRecord>, StoreError>>;
}

/// All that a balancer needs of a store.
pub trait Store: ObjectReader + GenerationStore + BalancerDirectory + Send + Sync {}

impl<T: ObjectReader + GenerationStore + BalancerDirectory + Send + Sync> Store for T {}

/// A state that is kept up to date by a task, which ends when this is dropped.
#[derive(Debug)]
pub struct Subscription<T> {
    receiver: watch::Receiver<Option<Arc<T>>>,
    task: tokio::task::JoinHandle<()>,
}

impl<T> Subscription<T> {
    /// Joins the receiving end of a channel and the task that feeds it.
    #[must_use]
    pub fn new(
        receiver: watch::Receiver<Option<Arc<T>>>,
        task: tokio::task::JoinHandle<()>,
    ) -> Self {
        Self { receiver, task }
    }

    /// Waits for a state that this method has not returned yet. States in between may be
    /// skipped. None when the task has ended. Safe to cancel.
    pub async fn next(&mut self) -> Option<Arc<T>> {
        loop {
            self.receiver.changed().await.ok()?;
            let state = self.receiver.borrow_and_update().clone();
            if state.is_some() {
                return state;
            }
        }
    }

    /// The newest state, if there was any yet.
    #[must_use]
    pub fn latest(&self) -> Option<Arc<T>> {
        self.receiver.borrow().clone()
    }
}

impl<T> Drop for Subscription<T> {
    fn drop(&mut self) {
        self.task.abort();
    }
}
