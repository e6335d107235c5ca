//! The state machine of the control thread.
//!
//! It performs no I/O: the caller passes [`Input`]s, carries out the returned [`Output`]s, and
//! owns the sockets, the clock, the store client and the traffic threads.

mod barrier;
mod budget;
mod dissemination;
mod interface;
mod lease;
mod member_history;
mod membership;
mod message;
#[allow(clippy::module_inception)]
mod node;
pub mod ownership;
mod proposer;
mod publisher;
mod rendezvous;
mod settings;
mod status;

pub use barrier::{BarrierMessage, BarrierWait};
pub use budget::BudgetCounters;
pub use dissemination::{Chunk, DisseminationMessage, MAXIMUM_CHUNK_BYTES, TransferError};
pub use interface::{
    AdoptionReport, EscalatedPacket, Input, NodeEvent, Output, Proposal, RefusalReason,
};
pub use lease::LeaseMessage;
pub use member_history::{MemberSet, ZoneMembers};
pub use membership::{MemberRecord, MemberState, MemberUpdate, MembershipMessage};
pub use message::{
    DecodeError, EncodeError, MAXIMUM_CONTROL_MESSAGE_BYTES, MAXIMUM_MESSAGE_BYTES, Message,
    MessageBody, PROTOCOL_VERSION, datagram_overhead,
};
pub use node::{Node, NodeIdentity};
pub use publisher::{Publisher, PublisherInput, PublisherOutput, PublisherSettings, WriteOutcome};
pub use rendezvous::{LEASE_QUORUM_SIZE, lease_quorum, majority};
pub use settings::{NodeSettings, NodeSettingsBuilder, SettingsError};
pub use status::{NodeStatus, RejectedTransfer};
