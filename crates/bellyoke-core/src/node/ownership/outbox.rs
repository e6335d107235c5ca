//! Batches the entries for each peer into few messages.

use super::ballot::Configuration;
use super::effect::OwnershipEffect;
use super::message::{
    HandoverBatch, HandoverReceipt, LearnedFlow, OwnerHint, OwnershipMessage, PinBatch,
    PrepareRequest, ReplicaAnnouncement, ReplicaPosition, ReplicaPromise,
};
use crate::flow::FlowPlace;
use crate::identity::{GroupIndex, NodeId};
use std::collections::BTreeMap;

/// Most bytes of entries in one message, so that it fits into a control datagram
/// ([`crate::node::message::MAXIMUM_CONTROL_MESSAGE_BYTES`]) with its headers.
const MAX_ENTRY_BYTES: usize = 1040;

/// The approximate encoded size of an entry in bytes.
trait EncodedSize {
    fn encoded_size(&self) -> usize;
}

/// Returns the approximate bytes of a replica set.
fn configuration_size(configuration: &Configuration) -> usize {
    16 + 8 * configuration.replicas.len()
}

impl EncodedSize for PinBatch {
    fn encoded_size(&self) -> usize {
        let runs = self.runs.iter().map(|run| 16 + 16 * run.pins.len());
        let installation = self.installation.iter();
        let installation =
            installation.map(|installed| 8 + configuration_size(&installed.configuration));
        64 + 32 * self.marks.len() + runs.sum::<usize>() + installation.sum::<usize>()
    }
}

impl EncodedSize for HandoverBatch {
    fn encoded_size(&self) -> usize {
        let runs = self.runs.iter().map(|run| 16 + 16 * run.pins.len());
        32 + runs.sum::<usize>()
    }
}

impl EncodedSize for HandoverReceipt {
    fn encoded_size(&self) -> usize {
        16
    }
}

impl EncodedSize for ReplicaPosition {
    fn encoded_size(&self) -> usize {
        40
    }
}

impl EncodedSize for OwnerHint {
    fn encoded_size(&self) -> usize {
        32
    }
}

impl EncodedSize for PrepareRequest {
    fn encoded_size(&self) -> usize {
        32 + configuration_size(&self.configuration)
    }
}

impl EncodedSize for ReplicaPromise {
    fn encoded_size(&self) -> usize {
        let installed = self.installed.iter().map(|copy| &copy.configuration);
        let configurations = installed.chain(&self.successors).map(configuration_size);
        96 + configurations.sum::<usize>()
    }
}

impl EncodedSize for ReplicaAnnouncement {
    fn encoded_size(&self) -> usize {
        8 + configuration_size(&self.configuration)
    }
}

impl EncodedSize for LearnedFlow {
    fn encoded_size(&self) -> usize {
        48
    }
}

impl EncodedSize for FlowPlace {
    fn encoded_size(&self) -> usize {
        32
    }
}

/// Entries to be sent to one peer.
#[derive(Debug, Default)]
struct PeerOutbox {
    batches: Vec<PinBatch>,
    positions: BTreeMap<GroupIndex, ReplicaPosition>,
    superseded: BTreeMap<GroupIndex, OwnerHint>,
    owners: BTreeMap<GroupIndex, OwnerHint>,
    prepare: BTreeMap<GroupIndex, PrepareRequest>,
    promises: BTreeMap<GroupIndex, ReplicaPromise>,
    announcements: BTreeMap<GroupIndex, ReplicaAnnouncement>,
    installed: BTreeMap<GroupIndex, ReplicaAnnouncement>,
    learned: Vec<LearnedFlow>,
    ended: Vec<FlowPlace>,
    handovers: Vec<HandoverBatch>,
    confirmed: Vec<HandoverReceipt>,
}

/// Entries to be sent, by peer.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    peers: BTreeMap<NodeId, PeerOutbox>,
}

impl Outbox {
    pub(super) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    fn peer(&mut self, to: NodeId) -> &mut PeerOutbox {
        self.peers.entry(to).or_default()
    }

    pub(super) fn batch(&mut self, to: NodeId, batch: PinBatch) {
        self.peer(to).batches.push(batch);
    }

    pub(super) fn position(&mut self, to: NodeId, position: ReplicaPosition) {
        self.peer(to).positions.insert(position.group, position);
    }

    pub(super) fn superseded(&mut self, to: NodeId, hint: OwnerHint) {
        self.peer(to).superseded.insert(hint.group, hint);
    }

    pub(super) fn owner(&mut self, to: NodeId, hint: OwnerHint) {
        self.peer(to).owners.insert(hint.group, hint);
    }

    pub(super) fn prepare(&mut self, to: NodeId, request: PrepareRequest) {
        self.peer(to).prepare.insert(request.group, request);
    }

    pub(super) fn promise(&mut self, to: NodeId, promise: ReplicaPromise) {
        self.peer(to).promises.insert(promise.group, promise);
    }

    pub(super) fn announce(&mut self, to: NodeId, announcement: ReplicaAnnouncement) {
        let peer = self.peer(to);
        peer.announcements.insert(announcement.group, announcement);
    }

    pub(super) fn installed(&mut self, to: NodeId, announcement: ReplicaAnnouncement) {
        let peer = self.peer(to);
        peer.installed.insert(announcement.group, announcement);
    }

    pub(super) fn learned(&mut self, to: NodeId, learned: LearnedFlow) {
        self.peer(to).learned.push(learned);
    }

    pub(super) fn ended(&mut self, to: NodeId, place: FlowPlace) {
        self.peer(to).ended.push(place);
    }

    pub(super) fn handover(&mut self, to: NodeId, part: HandoverBatch) {
        self.peer(to).handovers.push(part);
    }

    pub(super) fn confirmed(&mut self, to: NodeId, receipt: HandoverReceipt) {
        self.peer(to).confirmed.push(receipt);
    }

    /// Takes all entries as messages.
    pub(super) fn flush(&mut self) -> Vec<OwnershipEffect> {
        let mut effects = Vec::new();
        for (to, peer) in std::mem::take(&mut self.peers) {
            let messages = peer.into_messages();
            effects.extend(
                messages
                    .into_iter()
                    .map(|message| OwnershipEffect::Send { to, message }),
            );
        }
        effects
    }
}

impl PeerOutbox {
    fn into_messages(self) -> Vec<OwnershipMessage> {
        use OwnershipMessage as Message;
        let mut messages = Vec::new();
        pack(&mut messages, self.batches, Message::Replicate);
        let positions = self.positions.into_values();
        pack(&mut messages, positions, Message::Replicated);
        let superseded = self.superseded.into_values();
        pack(&mut messages, superseded, Message::Superseded);
        pack(
            &mut messages,
            self.owners.into_values(),
            Message::OwnerHints,
        );
        pack(&mut messages, self.prepare.into_values(), Message::Prepare);
        pack(&mut messages, self.promises.into_values(), Message::Promise);
        let announcements = self.announcements.into_values();
        pack(&mut messages, announcements, Message::Announce);
        let installed = self.installed.into_values();
        pack(&mut messages, installed, Message::Installed);
        pack(&mut messages, self.learned, Message::Learned);
        pack(&mut messages, self.ended, Message::EndedFlows);
        pack(&mut messages, self.handovers, Message::Handover);
        pack(&mut messages, self.confirmed, Message::HandoverConfirmed);
        messages
    }
}

/// Packs `entries` into as few messages as possible. An entry that exceeds the limit is sent in a
/// message of its own.
fn pack<T: EncodedSize>(
    messages: &mut Vec<OwnershipMessage>,
    entries: impl IntoIterator<Item = T>,
    message: impl Fn(Vec<T>) -> OwnershipMessage,
) {
    let mut part = Vec::new();
    let mut size = 0;
    for entry in entries {
        let entry_size = entry.encoded_size();
        if size + entry_size > MAX_ENTRY_BYTES && !part.is_empty() {
            messages.push(message(std::mem::take(&mut part)));
            size = 0;
        }
        size += entry_size;
        part.push(entry);
    }
    if !part.is_empty() {
        messages.push(message(part));
    }
}
