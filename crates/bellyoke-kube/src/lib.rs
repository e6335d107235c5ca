//! Object kinds of the `bellyoke.dev/v1` API group, and the client that reads and writes them.
//!
//! The platform's store follows the Kubernetes API conventions. The traits in [`store`] are
//! the edge to it; [`kube_store::KubeStore`] is the implementation over the `kube` client.
//! Another store is another module that implements the same traits.
//!
//! ```no_run
//! use bellyoke_kube::kube_store::{KubeStore, KubeStoreOptions};
//! use bellyoke_kube::store::{
//!     GenerationDigest, GenerationStore, ObjectReader, OperationId, PublishOutcome, PublishRequest,
//! };
//! use bellyoke_core::identity::GenerationNumber;
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let options = KubeStoreOptions::new("http://127.0.0.1:8001", "default", "bellyoke-balancer/17");
//! let store = KubeStore::connect(&options)?;
//!
//! // Services and backends: the whole state, each time that it changes.
//! let mut objects = store.watch_objects();
//! while let Some(state) = objects.next().await {
//!     println!("{} services at {:?}", state.services.len(), state.revision);
//!     break;
//! }
//!
//! // Agree on a generation.
//! let current = store.current_generation().await?;
//! let outcome = store
//!     .publish(PublishRequest {
//!         previous: current.map(|generation| generation.resource_version),
//!         number: GenerationNumber(1),
//!         digest: GenerationDigest([0; 32]),
//!         content: vec![],
//!         operation: OperationId::random(&mut rand::rng()),
//!     })
//!     .await?;
//! match outcome {
//!     PublishOutcome::Accepted(stored) => println!("generation {} is in force", stored.number),
//!     PublishOutcome::Conflict(newer) => println!("start again from {}", newer.number),
//!     PublishOutcome::Unknown => println!("read the generation again before the next attempt"),
//! }
//! # Ok(())
//! # }
//! ```
//!
//! Subscriptions keep the last state when the store is down and go on when it is back; what
//! they yield never goes back.

pub mod backoff;
pub mod convert;
pub mod kinds;
pub mod kube_store;
pub mod list_watch;
pub mod settle;
pub mod store;
