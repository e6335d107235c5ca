//! The kinds of the `bellyoke.dev/v1` API group, as the store holds them.
//!
//! Their fields are as wide as JSON lets an operator write them, so that one wrong object is
//! reported by [`crate::convert`] with its field and doesn't hide all others.

mod backend;
mod balancer;
mod generation;
mod service;

pub use backend::{Backend, BackendSpec};
pub use balancer::{Balancer, BalancerSpec};
pub use generation::{GENERATION_NAME, Generation, GenerationSpec};
pub use service::{MatchExpression, SelectorSpec, Service, ServiceSpec};

/// API group of all kinds.
pub const GROUP: &str = "bellyoke.dev";
/// Version of the API group.
pub const VERSION: &str = "v1";
