//! The load balancer daemon that forwards packets by connection cookie.
//!
//! This is a library: an adapter supplies the packet format ([`PacketCodec`]) and the protocol of
//! the store ([`connection::store::Store`]) and calls [`process::run`]. The forwarding logic is in
//! [`bellyoke_core::cookie`]; this crate connects it to sockets, the clock and the log.
//!
//! A single control thread (a single-threaded tokio runtime) owns the state. Traffic threads read
//! an immutable table that the control thread publishes. Modules are grouped by the lifetime of
//! their state: a packet, a connection or the process.
//!
//! [`PacketCodec`]: bellyoke_core::cookie::packet::PacketCodec

pub mod connection;
pub mod packet;
pub mod process;
