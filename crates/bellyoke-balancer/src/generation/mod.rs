//! What lives for one version of the configuration: how a node that reads the store makes
//! and publishes the next one.

mod publisher;
mod reader;

pub use publisher::{Publisher, PublisherError, PublisherInput};
pub use reader::{ReaderSettings, StoreCommand, StoreEvent, run_reader};
