//! One flow in the flow table.

use crate::flow::tick::{Tick, TickSpan};
use crate::identity::{BackendId, ServiceId};
use crate::packet::{FlowHash, Transport};

/// How far a flow has come, as seen from the caller's packets alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowState {
    /// Only its opening packet was seen.
    HalfOpen,
    /// More than its opening packet was seen, or it was learned.
    Established,
    /// A FIN or RST was seen. It lingers so that retransmitted packets follow it.
    Closing,
    /// Its backend is gone and its caller was told.
    Reset,
}

/// A flow that the node knows.
///
/// Its bucket isn't held: it follows from the hash and the size of the service's table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowRecord {
    /// Two words in place of [`FlowHash`], whose alignment would cost eight bytes a record.
    hash: [u64; 2],
    /// The service.
    pub service: ServiceId,
    /// The backend that all its packets go to.
    pub backend: BackendId,
    pub(super) opened_at: Tick,
    pub(super) last_seen: Tick,
    pub(super) idle_timeout: TickSpan,
    /// How far it has come.
    pub state: FlowState,
    /// Transport protocol.
    pub transport: Transport,
    /// Whether this node opened it, by table or through the bucket's owner; not if the
    /// node took it over by a later packet.
    pub opened_locally: bool,
}

/// What a new [`FlowRecord`] is made from.
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

    /// The flow.
    #[must_use]
    pub fn hash(&self) -> FlowHash {
        FlowHash((u128::from(self.hash[0]) << 64) | u128::from(self.hash[1]))
    }
}
