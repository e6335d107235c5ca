//! What lives for a connection or an association: the receive window of a peer, the
//! connections of the sorry server.

mod device;
pub mod replay;
pub mod sorry_server;
