//! Records of the flow table.

use crate::flow::tick::{Tick, TickSpan};
use crate::identity::{BackendId, ServiceId};
use crate::packet::{FlowHash, Transport};

/// State of a flow, derived from the packets of the caller only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowState {
    /// Only the opening packet was received.
    HalfOpen,
    /// Later packets were received, or the owner of the bucket reported the flow.
    Established,
    /// A FIN or RST was received. The record is kept for retransmitted packets.
    Closing,
    /// The backend is unavailable and the caller was sent a reset.
    Reset,
}

/// A known flow.
///
/// The bucket is not stored, as it follows from the hash and the size of the service's table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowRecord {
    /// [`FlowHash`] as two words, since its alignment would add eight bytes to each record.
    hash: [u64; 2],
    /// The service.
    pub service: ServiceId,
    /// Backend that receives all its packets.
    pub backend: BackendId,
    pub(super) opened_at: Tick,
    pub(super) last_seen: Tick,
    pub(super) idle_timeout: TickSpan,
    /// State of the flow.
    pub state: FlowState,
    /// Transport protocol.
    pub transport: Transport,
    /// Whether this node opened the flow, by lookup table or through the owner of the bucket.
    /// False if the node took the flow over on a later packet.
    pub opened_locally: bool,
}

/// Arguments of [`FlowRecord::new`].
#[derive(Clone, Copy, Debug)]
pub(super) struct NewFlow {
    pub(super) hash: FlowHash,
    pub(super) service: ServiceId,
    pub(super) backend: BackendId,
    pub(super) transport: Transport,
    pub(super) idle_timeout: TickSpan,
    pub(super) state: FlowState,
    pub(super) opened_locally: bool,
}

impl FlowRecord {
    pub(super) fn new(now: Tick, flow: NewFlow) -> Self {
        Self {
            hash: [(flow.hash.0 >> 64) as u64, flow.hash.0 as u64],
            service: flow.service,
            backend: flow.backend,
            opened_at: now,
            last_seen: now,
            idle_timeout: flow.idle_timeout,
            state: flow.state,
            transport: flow.transport,
            opened_locally: flow.opened_locally,
        }
    }

    /// Returns the hash of the flow.
    #[must_use]
    pub fn hash(&self) -> FlowHash {
        FlowHash((u128::from(self.hash[0]) << 64) | u128::from(self.hash[1]))
    }
}
