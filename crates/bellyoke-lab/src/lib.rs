//! Stand-ins and load generators for trying bellyoke on one machine.
//!
//! Every packet stand-in exchanges whole IP packets as the payload of UDP datagrams, with no header of its own.
//! TCP runs for real inside those packets, by `smoltcp`.

pub mod admin;
pub mod backend;
pub mod caller;
pub mod cookie;
pub mod datagram;
pub mod experiment;
pub mod fabric;
pub mod http;
pub mod log;
pub mod network;
pub mod options;
pub mod platform;
pub mod verdict;
