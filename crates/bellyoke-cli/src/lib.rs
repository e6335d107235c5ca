//! The operators' command line.
//!
//! A command reads the objects it needs from the platform, plans what its change does by the
//! same function that balancers compile generations with, and writes on the condition that
//! nobody else changed the objects meanwhile.

pub mod arguments;
pub mod balancer;
pub mod change;
pub mod command;
pub mod documents;
pub mod failure;
pub mod guard;
pub mod objects;
pub mod output;
pub mod plan;
pub mod session;
