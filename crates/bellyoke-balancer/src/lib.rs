//! The balancer daemon of bellyoke, as a library that its tests use.
//!
//! One control thread holds the state machine of `bellyoke_core::node`, the peer socket, the
//! platform's client and the operator API; traffic threads forward packets. Modules are laid
//! out by the life span of what they hold.

pub mod connection;
pub mod generation;
pub mod packet;
pub mod process;
pub mod request;
