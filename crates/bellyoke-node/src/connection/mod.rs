//! State with the lifetime of a connection: connections to the store and to peers, and from clients
//! of the HTTP endpoints.

pub mod follow;
pub mod http_client;
pub mod http_server;
pub mod peers;
pub mod probes;
pub mod rejections;
pub mod stall_timeout;
pub mod store;
