//! Model of a network in which packets carry the identity of their backend.
//!
//! The components are state machines without sockets: [`packet`], [`target`] (a backend),
//! [`client`], [`store`] (lists, watches, faults) and [`router`]. [`simulation`] runs them together
//! with many nodes in virtual time, and [`rules`] checks the observations of clients, targets and
//! operators. Runs with the same seed are identical.

pub mod client;
pub mod link;
pub mod node;
pub mod packet;
pub mod router;
pub mod rules;
pub mod scenario;
pub mod seeds;
pub mod simulation;
pub mod store;
pub mod target;
