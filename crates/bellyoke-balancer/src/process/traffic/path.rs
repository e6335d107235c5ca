//! The packet path: what a traffic thread does with each packet of a batch.

use super::counters::{TrafficCounter, WorkerCounters};
use super::port::WorkerCommand;
use super::shared::{QueuedEscalation, TrafficShared, WorkerSettings};
use crate::packet::{SendBatch, SendOutcome, storage};
use bellyoke_core::flow::{Decider, Decision, DropReason, Escalation, LeaseState};
use bellyoke_core::generation::Forwarding;
use bellyoke_core::identity::BackendId;
use bellyoke_core::node::EscalatedPacket;
use bellyoke_core::packet::{FlowHash, PacketError, PacketSummary, parse, reset_for, too_big_for};
use bellyoke_core::time::Timestamp;
use nix::sys::socket::SockaddrStorage;
use std::io::IoSlice;
use std::net::UdpSocket;
use std::sync::Arc;

/// What deciding a packet needs.
pub struct PacketPath {
    /// The flow table.
    pub decider: Decider,
    /// What the thread forwards by.
    pub forwarding: Arc<Forwarding>,
    /// Threads that were handed a packet in this batch.
    pub touched: Vec<bool>,
}

/// Packets to send at the end of a batch.
pub struct Outgoing<'a> {
    packets: Vec<[IoSlice<'a>; 1]>,
    addresses: Vec<Option<SockaddrStorage>>,
    /// Answers to callers, which go to the fabric.
    replies: Vec<Vec<u8>>,
}

impl<'a> Outgoing<'a> {
    /// Room for `capacity` packets.
    pub fn with_capacity(capacity: usize) -> Self {
        Self {
            packets: Vec::with_capacity(capacity),
            addresses: Vec::with_capacity(capacity),
            replies: Vec::new(),
        }
    }

    fn push(&mut self, packet: &'a [u8], address: SockaddrStorage) {
        self.packets.push([IoSlice::new(packet)]);
        self.addresses.push(Some(address));
    }
}

/// What holds for all packets of a batch.
pub struct BatchContext<'a> {
    index: usize,
    /// When the batch was received.
    pub now: Timestamp,
    lease: LeaseState,
    settings: &'a WorkerSettings,
    shared: &'a TrafficShared,
    /// Counters of the thread.
    pub counters: &'a WorkerCounters,
}

/// What holds for a batch that was received now.
pub fn context<'a>(
    index: usize,
    settings: &'a WorkerSettings,
    shared: &'a TrafficShared,
) -> BatchContext<'a> {
    let now = shared.clock.now();
    BatchContext {
        index,
        now,
        lease: shared.lease(now),
        settings,
        shared,
        counters: &shared.counters[index],
    }
}

/// Sends the packets of a batch, unless the thread was held up since it decided them: then
/// what it knew, its lease above all, may no longer hold.
pub fn flush(
    context: &BatchContext<'_>,
    send: &mut SendBatch,
    socket: &UdpSocket,
    outgoing: &Outgoing<'_>,
) {
    let count = outgoing.packets.len();
    if count == 0 && outgoing.replies.is_empty() {
        return;
    }
    let held = context.shared.clock.now().since(context.now);
    if held > context.settings.longest_hold {
        context.counters.add(TrafficCounter::Late, count as u64);
        return;
    }
    let outcome = send.send(socket, &outgoing.packets, &outgoing.addresses);
    count_sent(context, outcome);
    let replies: Vec<_> = outgoing
        .replies
        .iter()
        .map(|reply| [IoSlice::new(reply)])
        .collect();
    if !replies.is_empty() {
        let fabric = vec![Some(storage(context.settings.fabric)); replies.len()];
        count_sent(context, send.send(socket, &replies, &fabric));
    }
}

fn count_sent(context: &BatchContext<'_>, outcome: SendOutcome) {
    let counters = context.counters;
    counters.add(TrafficCounter::Sent, outcome.sent as u64);
    counters.add(TrafficCounter::SendFailed, outcome.failed as u64);
}

impl PacketPath {
    /// Decides a packet from the fabric, or hands it to the thread that holds its flow.
    pub fn route<'a>(
        &mut self,
        context: &BatchContext<'_>,
        packet: &'a [u8],
        outgoing: &mut Outgoing<'a>,
    ) {
        let Some(summary) = read(context, packet, outgoing) else {
            return;
        };
        let threads = context.shared.ports.len();
        if threads > 1 {
            let hash = self.forwarding.hasher.hash(&summary.key);
            let owner = thread_of(hash, threads);
            if owner != context.index {
                self.hand_over(context, owner, packet);
                return;
            }
        }
        self.decide(context, &summary, packet, outgoing);
    }

    /// Decides a packet that another thread handed over.
    pub fn decide_handed<'a>(
        &mut self,
        context: &BatchContext<'_>,
        packet: &'a [u8],
        outgoing: &mut Outgoing<'a>,
    ) {
        if let Some(summary) = read(context, packet, outgoing) {
            self.decide(context, &summary, packet, outgoing);
        }
    }

    fn hand_over(&mut self, context: &BatchContext<'_>, owner: usize, packet: &[u8]) {
        let command = WorkerCommand::Packet(packet.to_vec());
        let counter = match context.shared.ports[owner].queue(command) {
            Ok(()) => TrafficCounter::HandedOver,
            Err(_) => TrafficCounter::HandoversDropped,
        };
        context.counters.add(counter, 1);
        self.touched[owner] = true;
    }

    fn decide<'a>(
        &mut self,
        context: &BatchContext<'_>,
        summary: &PacketSummary,
        packet: &'a [u8],
        outgoing: &mut Outgoing<'a>,
    ) {
        let decision = self
            .decider
            .decide(context.now, &self.forwarding, context.lease, summary);
        match decision {
            Decision::Forward(backend) => self.forward(context, backend, packet, outgoing),
            Decision::Escalate(escalation) => escalate(context, escalation, packet),
            Decision::Reset => {
                context.counters.add(TrafficCounter::Reset, 1);
                outgoing.replies.extend(reset_for(packet));
            }
            Decision::Drop(reason) => count_drop(context, reason),
        }
    }

    fn forward<'a>(
        &self,
        context: &BatchContext<'_>,
        backend: BackendId,
        packet: &'a [u8],
        outgoing: &mut Outgoing<'a>,
    ) {
        if let Some(backend) = self.forwarding.backends.get(&backend) {
            context.counters.add(TrafficCounter::Forwarded, 1);
            outgoing.push(packet, storage(backend.tunnel));
        }
    }
}

/// The traffic thread, of `threads`, that holds the flow with `hash`. The low half of the
/// hash, since the high half chooses the bucket.
#[must_use]
pub fn thread_of(hash: FlowHash, threads: usize) -> usize {
    let low = hash.0 as u64;
    ((u128::from(low) * threads as u128) >> 64) as usize
}

fn read(
    context: &BatchContext<'_>,
    packet: &[u8],
    outgoing: &mut Outgoing<'_>,
) -> Option<PacketSummary> {
    let error = match parse(packet, &context.settings.parse) {
        Ok(summary) => return Some(summary),
        Err(error) => error,
    };
    if let PacketError::Oversized { limit, .. } = error {
        let mtu = u16::try_from(limit).unwrap_or(u16::MAX);
        outgoing.replies.extend(too_big_for(packet, mtu));
    }
    count_drop(context, DropReason::from(error));
    None
}

fn count_drop(context: &BatchContext<'_>, reason: DropReason) {
    context.counters.add(TrafficCounter::of_drop(reason), 1);
}

fn escalate(context: &BatchContext<'_>, escalation: Escalation, packet: &[u8]) {
    let packet = QueuedEscalation {
        received_at: context.now,
        packet: EscalatedPacket {
            escalation,
            packet: packet.to_vec(),
        },
    };
    let counter = match context.shared.escalations.try_send(packet) {
        Ok(()) => TrafficCounter::Escalated,
        Err(_) => TrafficCounter::EscalationsDropped,
    };
    context.counters.add(counter, 1);
}
