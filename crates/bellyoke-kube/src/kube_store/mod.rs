//! The store over the `kube` client: any server of the Kubernetes API conventions.

mod balancers;
mod client;
mod follow;
mod generations;
mod objects;
mod write;

pub use client::{KubeStore, KubeStoreOptions};
pub use write::{DeleteOutcome, StoredKind, WriteOutcome};
