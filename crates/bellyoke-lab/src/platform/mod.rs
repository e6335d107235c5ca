//! Stand-in for the platform: an object store in memory with the Kubernetes API conventions.
//!
//! It serves any group, version, namespace and plural without schemas: enough for a client to
//! list, read, write on conditions and watch. Faults are on switches (`/faults`), and `/audit`
//! tells who read and wrote what. Everything is lost when the process ends.

mod audit;
mod faults;
mod http;
mod object;
mod options;
mod query;
mod refusal;
mod response;
mod selector;
mod server;
mod state;
mod store;
mod stream;

pub use audit::{Audit, ClientCounts, Verb, WriteRecord};
pub use faults::{FaultChange, Faults, LostAnswer};
pub use options::Options;
pub use refusal::Refusal;
pub use selector::LabelSelector;
pub use server::{Server, run};
pub use state::{Platform, Progress, WriteAction, WriteReply, WriteRequest};
pub use store::{
    Change, Collection, ObjectKey, ObjectList, ObjectStore, Preconditions, Scope, StoreLimits,
};
