//! Decisions about packets.

use crate::flow::decider::Decider;
use crate::flow::decider::backend_usability::{BackendUsability, backend_usability};
use crate::flow::record::{FlowRecord, FlowState, NewFlow};
use crate::flow::tick::{Tick, TickSpan};
use crate::flow::{Decision, DropReason, Escalation, EscalationKind, FlowPlace, LeaseState};
use crate::generation::{BucketRoute, Forwarding, ServiceEndpoint, ServiceForwarding};
use crate::identity::BackendId;
use crate::packet::{FlowHash, PacketKind, PacketSummary};
use crate::time::Timestamp;

/// Maximum number of packets whose cache misses overlap: somewhat more than the number of line
/// fill buffers of current processors.
const MAXIMUM_BATCH_PACKETS: usize = 32;

/// A packet with the hash of its flow.
pub(super) struct PacketContext<'a> {
    pub(super) now: Tick,
    pub(super) hash: FlowHash,
    pub(super) packet: &'a PacketSummary,
}

impl Decider {
    /// Decides how to handle a packet and updates the record of its flow.
    pub fn decide(
        &mut self,
        now: Timestamp,
        forwarding: &Forwarding,
        lease: LeaseState,
        packet: &PacketSummary,
    ) -> Decision {
        self.apply_generation(now, forwarding);
        let context = PacketContext {
            now: Tick::at(now),
            hash: forwarding.hasher.hash(&packet.key),
            packet,
        };
        self.decide_packet(forwarding, lease, &context)
    }

    /// Decides how to handle several packets, with the same result as calling [`Self::decide`]
    /// for each in order, but with overlapping cache misses. Appends a decision for each packet
    /// to `decisions`.
    pub fn decide_batch(
        &mut self,
        now: Timestamp,
        forwarding: &Forwarding,
        lease: LeaseState,
        packets: &[PacketSummary],
        decisions: &mut Vec<Decision>,
    ) {
        self.apply_generation(now, forwarding);
        let now = Tick::at(now);
        for batch in packets.chunks(MAXIMUM_BATCH_PACKETS) {
            let mut hashes = [FlowHash(0); MAXIMUM_BATCH_PACKETS];
            for (hash, packet) in hashes.iter_mut().zip(batch) {
                *hash = forwarding.hasher.hash(&packet.key);
            }
            self.table.prefetch(&hashes[..batch.len()]);
            for (hash, packet) in hashes.into_iter().zip(batch) {
                let context = PacketContext { now, hash, packet };
                decisions.push(self.decide_packet(forwarding, lease, &context));
            }
        }
    }

    fn decide_packet(
        &mut self,
        forwarding: &Forwarding,
        lease: LeaseState,
        context: &PacketContext<'_>,
    ) -> Decision {
        let decision = match self.decide_known(forwarding, context) {
            Some(decision) => decision,
            None => self.decide_unknown(forwarding, lease, context),
        };
        self.counters.count(decision);
        decision
    }

    /// Decides about a packet of a known flow. Returns `None` if the flow is unknown or expired,
    /// or if it has ended and the packet opens another flow with the same ports.
    fn decide_known(
        &mut self,
        forwarding: &Forwarding,
        context: &PacketContext<'_>,
    ) -> Option<Decision> {
        let record = self.table.get_mut(context.hash)?;
        if self.timeouts.has_expired(record, context.now) {
            return None;
        }
        if self.timeouts.reopens(record, context) {
            // Further packets of the new flow may arrive before the answer of the owner and must
            // not be sent to the backend of the old flow.
            self.table.remove(context.hash);
            return None;
        }
        if record.state == FlowState::Reset {
            return Some(Decision::Reset);
        }
        match backend_usability(forwarding, record.backend, record.service) {
            BackendUsability::Usable => {
                update_record(record, context);
                Some(Decision::Forward(record.backend))
            }
            usability => {
                // `last_seen` is not updated: a UDP caller that continues to send must not keep
                // an unusable flow alive.
                record.state = FlowState::Reset;
                Some(self.reset_flow(usability))
            }
        }
    }

    fn decide_unknown(
        &mut self,
        forwarding: &Forwarding,
        lease: LeaseState,
        context: &PacketContext<'_>,
    ) -> Decision {
        let endpoint = ServiceEndpoint {
            transport: context.packet.key.transport,
            address: context.packet.key.destination,
            port: context.packet.key.destination_port,
        };
        let Some(service) = forwarding.services.get(&endpoint) else {
            return Decision::Drop(DropReason::UnknownService);
        };
        // Applies to all packets, not only opening ones: with an outdated lookup table, a flow
        // that was opened on the new backend would be sent to the old one.
        if lease == LeaseState::Fenced {
            return Decision::Drop(DropReason::Fenced);
        }
        let bucket = service.bucket(context.hash);
        match service.route(bucket) {
            BucketRoute::Clean(backend) => {
                self.forward_clean(forwarding, service, backend, context)
            }
            BucketRoute::Contested { .. } => Decision::Escalate(Escalation {
                place: FlowPlace {
                    service: service.id,
                    bucket,
                    hash: context.hash,
                },
                kind: escalation_kind(context.packet),
            }),
        }
    }

    fn forward_clean(
        &mut self,
        forwarding: &Forwarding,
        service: &ServiceForwarding,
        backend: BackendId,
        context: &PacketContext<'_>,
    ) -> Decision {
        match backend_usability(forwarding, backend, service.id) {
            BackendUsability::Usable => {}
            usability => return self.reset_flow(usability),
        }
        // ICMP errors can be spoofed by any host, so they create no record.
        if context.packet.kind == PacketKind::IcmpError {
            return Decision::Forward(backend);
        }
        let record = FlowRecord::new(context.now, new_flow(service, backend, context));
        if self.insert_record(forwarding, context.now, record) {
            return Decision::Forward(backend);
        }
        self.forward_without_record(backend, context)
    }

    fn reset_flow(&mut self, usability: BackendUsability) -> Decision {
        if usability == BackendUsability::OtherService {
            self.counters.service_mismatch += 1;
        }
        Decision::Reset
    }
}

fn escalation_kind(packet: &PacketSummary) -> EscalationKind {
    if packet.may_open() {
        EscalationKind::Opening
    } else {
        EscalationKind::Other
    }
}

fn new_flow(
    service: &ServiceForwarding,
    backend: BackendId,
    context: &PacketContext<'_>,
) -> NewFlow {
    let packet = context.packet;
    NewFlow {
        hash: context.hash,
        service: service.id,
        backend,
        transport: packet.key.transport,
        idle_timeout: TickSpan::from_duration(service.idle_timeout),
        state: initial_state(packet),
        opened_locally: packet.may_open(),
    }
}

fn initial_state(packet: &PacketSummary) -> FlowState {
    match packet.kind {
        PacketKind::Tcp(flags) if flags.rst || (flags.fin && !packet.may_open()) => {
            FlowState::Closing
        }
        PacketKind::Tcp(_) if packet.may_open() => FlowState::HalfOpen,
        _ => FlowState::Established,
    }
}

/// Updates the record of a known flow from a packet.
fn update_record(record: &mut FlowRecord, context: &PacketContext<'_>) {
    match context.packet.kind {
        // ICMP errors can be spoofed by any host, so they keep no flow alive.
        PacketKind::IcmpError => return,
        PacketKind::Udp => {}
        PacketKind::Tcp(flags) if flags.fin || flags.rst => record.state = FlowState::Closing,
        PacketKind::Tcp(flags) if record.state == FlowState::HalfOpen && !flags.syn => {
            record.state = FlowState::Established;
        }
        PacketKind::Tcp(_) => {}
    }
    record.last_seen = context.now;
}
