//! Decisions of an owner about packets of flows without a pin.

use super::cluster::{Cluster, is_contested};
use super::pending::PacketAction;
use crate::flow::{Escalation, EscalationKind};
use crate::generation::{Bucket, Service};
use crate::identity::{BackendId, GenerationNumber};

/// What an owner does with a packet of a flow without a pin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnpinnedDecision {
    /// Pins the flow to the base: until the barrier, other nodes may open flows there.
    PinToBase(BackendId),
    /// Selects a backend and pins the flow to it.
    Place,
    /// Performs the action after confirming that this node is still the owner.
    Confirm(PacketAction),
    /// Drops the packet. The caller retransmits it.
    Drop(DropCause),
    /// Queues the packet until this node has a newer generation.
    AwaitGeneration,
}

/// Why an owner drops a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DropCause {
    BaseDead,
    GenerationSkew,
}

/// An owner's view of a bucket.
#[derive(Clone, Copy, Debug)]
pub(super) struct BucketState {
    /// Whether all members have acknowledged the generation that made the bucket contested.
    pub(super) barrier_passed: bool,
    /// Whether pins of the bucket may have been lost.
    pub(super) pins_lost: bool,
    /// Whether no unpinned flow remains on the base.
    pub(super) is_settled: bool,
    /// The generation of the relaying node.
    pub(super) relay_generation: GenerationNumber,
}

/// Decides a packet of a flow without a pin.
pub(super) fn decide_unpinned(
    cluster: &Cluster,
    service: &Service,
    bucket: &Bucket,
    escalation: Escalation,
    state: BucketState,
) -> UnpinnedDecision {
    if !is_contested(service, bucket) {
        return decide_clean(cluster, bucket, escalation.kind, state);
    }
    match escalation.kind {
        EscalationKind::Opening => decide_opening(cluster, service, bucket, state),
        EscalationKind::Other => {
            let backend = match state.is_settled {
                true => bucket.target,
                false => bucket.base.filter(|_| !state.pins_lost),
            };
            UnpinnedDecision::Confirm(forward_or_reset(cluster, service, backend))
        }
    }
}

fn decide_opening(
    cluster: &Cluster,
    service: &Service,
    bucket: &Bucket,
    state: BucketState,
) -> UnpinnedDecision {
    let Some(base) = bucket.base.filter(|_| !state.barrier_passed) else {
        return UnpinnedDecision::Place;
    };
    if cluster.accepts_packets(base, service.id) {
        return UnpinnedDecision::PinToBase(base);
    }
    UnpinnedDecision::Drop(DropCause::BaseDead)
}

/// Decides a packet of a bucket that is clean here but contested on the relaying node: one of the
/// two nodes has an older generation.
fn decide_clean(
    cluster: &Cluster,
    bucket: &Bucket,
    kind: EscalationKind,
    state: BucketState,
) -> UnpinnedDecision {
    if kind == EscalationKind::Opening {
        return UnpinnedDecision::Drop(DropCause::GenerationSkew);
    }
    if state.relay_generation > cluster.number() {
        return UnpinnedDecision::AwaitGeneration;
    }
    match bucket.target {
        Some(target) => UnpinnedDecision::Confirm(PacketAction::Forward(target)),
        None => UnpinnedDecision::Confirm(PacketAction::Reset),
    }
}

fn forward_or_reset(
    cluster: &Cluster,
    service: &Service,
    backend: Option<BackendId>,
) -> PacketAction {
    match backend {
        Some(backend) if cluster.accepts_packets(backend, service.id) => {
            PacketAction::Forward(backend)
        }
        _ => PacketAction::Reset,
    }
}
