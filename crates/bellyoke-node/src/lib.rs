//! The daemon that forwards by connection cookie.
//!
//! A library first: an adapter brings the packet format ([`PacketCodec`]) and the store's
//! protocol ([`connection::store::Store`]), and [`process::run`] does the rest. The decisions
//! are those of [`bellyoke_core::cookie`]; this crate connects them with sockets, the clock and
//! the log.
//!
//! One control thread (single-threaded tokio) holds the state; traffic threads read an immutable
//! table that it publishes. Modules are laid out by the life span of what they hold: a packet, a
//! connection, the process.
//!
//! [`PacketCodec`]: bellyoke_core::cookie::packet::PacketCodec

pub mod connection;
pub mod packet;
pub mod process;
