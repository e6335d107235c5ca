//! A caller's flow and what became of it.

use super::packet::{FlowIndex, FlowPacket, PacketKind};
use crate::experiment::settings::Workload;
use crate::experiment::strategy::{BackendIndex, ServiceIndex};
use bellyoke_core::packet::{FlowHash, FlowKey};
use bellyoke_core::time::Timestamp;

/// How far a flow is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The SYN is under way.
    Opening,
    /// Established; the caller waits before it sends again.
    Idle,
    /// A packet is under way and not acknowledged.
    AwaitingAcknowledgement,
    /// A request is queued or worked on.
    AwaitingAnswer,
    /// Over.
    Ended,
}

/// How a flow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// As the caller wanted.
    Completed,
    /// Refused as "not run".
    Refused,
    /// Reset, or without an answer for too long, though its backend lived.
    Broken,
    /// Its backend died.
    LostWithBackend,
    /// It could never be opened.
    Unanswered,
    /// The backend shed it.
    Shed,
}

/// A caller's flow.
#[derive(Clone, Debug)]
pub struct Flow {
    /// The service it wants.
    pub service: ServiceIndex,
    /// What it does.
    pub workload: Workload,
    /// Time between two packets, milliseconds.
    pub interval_milliseconds: u32,
    /// Its 5-tuple.
    pub key: FlowKey,
    /// The hash of it.
    pub hash: FlowHash,
    /// The backend that accepted its SYN first.
    pub backend: Option<BackendIndex>,
    /// How far it is.
    pub stage: Stage,
    /// Timers of an earlier step are void.
    pub step: u32,
    /// How often the packet under way was sent again.
    pub retries: u8,
    /// When the caller closes it; for a request, its work in microseconds.
    pub closes_at: Timestamp,
    /// Work of a request, microseconds.
    pub work_microseconds: u64,
    /// When the packet under way was first sent.
    pub sent_at: Timestamp,
    /// Whether any of its packets reached any backend.
    pub reached_backend: bool,
    /// Whether its request was started.
    pub ran: bool,
}

impl Flow {
    /// A packet of this flow.
    #[must_use]
    pub fn packet(&self, index: FlowIndex, kind: PacketKind) -> FlowPacket {
        FlowPacket {
            flow: index,
            service: self.service,
            kind,
            key: self.key,
            hash: self.hash,
        }
    }
}
