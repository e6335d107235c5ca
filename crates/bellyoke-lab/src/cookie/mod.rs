//! A model of a network in which packets carry the identity of their backend.
//!
//! The parts are state machines without sockets: [`packet`], [`target`] (a backend), [`client`],
//! [`store`] (lists, watches, faults) and [`router`]. [`simulation`] runs them with many nodes in
//! virtual time, and [`rules`] judges what clients, targets and operators have seen. A run with
//! the same seed is the same run.

pub mod client;
pub mod link;
pub mod node;
pub mod packet;
pub mod router;
pub mod rules;
pub mod scenario;
pub mod simulation;
pub mod store;
pub mod target;
