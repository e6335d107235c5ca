//! A cluster of the built binaries on the loopback interface: platform, fabric, balancers, backends and callers.

mod child;
mod cluster;
mod http;
mod ports;

pub use cluster::Cluster;
