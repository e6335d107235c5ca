//! What lives for one packet or datagram: batches on data sockets, sealed peer messages.

mod batch;
mod envelope;
mod key;
mod socket;

pub use batch::{ReceiveBatch, SendBatch, SendOutcome, storage};
pub use envelope::{LONGEST_DATAGRAM, Opened, PeerCodec, RejectReason, SEAL_OVERHEAD, SealError};
pub use key::{ClusterKeys, KeyError, read_secret};
pub use socket::{bind_data_socket, bind_peer_socket};
