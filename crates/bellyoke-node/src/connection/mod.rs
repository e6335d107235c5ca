//! What lives for a connection: to the store, to peers, and from those who ask for the state.

pub mod follow;
pub mod http_client;
pub mod http_server;
pub mod peers;
pub mod probes;
pub mod stall_timeout;
pub mod store;
