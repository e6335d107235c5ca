//! Relaying of packets to the owner of their bucket.

use super::Ownership;
use super::group::{GroupState, Role};
use super::message::{OwnerHint, OwnershipMessage, RelayedPacket};
use crate::identity::{GroupIndex, NodeId};
use crate::time::Timestamp;
use std::collections::VecDeque;

/// Maximum number of times that a packet is relayed.
const MAX_RELAY_HOPS: u8 = 2;

/// A packet that waits for an owner or a generation.
#[derive(Debug)]
pub(super) struct QueuedPacket {
    relayed: RelayedPacket,
    deadline: Timestamp,
}

/// Packets that wait for an owner or a generation, oldest first.
pub(super) type PacketQueue = VecDeque<QueuedPacket>;

impl Ownership {
    /// Returns the presumed owner of `group`: the node with the highest known ballot unless it is
    /// suspected, or else the first replica that is not suspected.
    pub(super) fn presumed_owner(&self, group: GroupIndex) -> Option<NodeId> {
        let cluster = self.cluster.as_ref()?;
        let highest = self
            .groups
            .get(&group)
            .and_then(|state| state.highest_ballot);
        let highest = highest.filter(|highest| !self.membership.suspected.contains(&highest.node));
        match highest {
            Some(ballot) => Some(ballot.node),
            None => cluster.first_alive(group, &self.membership.suspected),
        }
    }

    /// Decides a packet, or relays it to the owner.
    pub(super) fn route(&mut self, now: Timestamp, relayed: RelayedPacket) {
        let Some(cluster) = &self.cluster else {
            self.counters.dropped.unknown_place += 1;
            return;
        };
        let group = cluster.group(relayed.escalation.place);
        if self.pause_detector.may_be_stale(now) {
            self.counters.dropped.stale += 1;
            return;
        }
        if self
            .groups
            .get_mut(&group)
            .and_then(GroupState::serving)
            .is_some()
        {
            self.decide(now, group, relayed);
            return;
        }
        let owner = self.presumed_owner(group);
        let is_claiming = self
            .groups
            .get(&group)
            .is_some_and(|state| !matches!(state.role, Role::Follower));
        match owner.filter(|owner| *owner != self.node && !is_claiming) {
            Some(owner) if relayed.hops < MAX_RELAY_HOPS => self.relay(owner, group, relayed),
            _ => self.queue_packet(now, relayed),
        }
    }

    fn relay(&mut self, owner: NodeId, group: GroupIndex, mut relayed: RelayedPacket) {
        let highest = self
            .groups
            .get(&group)
            .and_then(|state| state.highest_ballot);
        if let Some(ballot) = highest.filter(|_| relayed.origin != self.node) {
            self.outbox
                .owner(relayed.origin, OwnerHint { group, ballot });
        }
        relayed.hops += 1;
        self.counters.relayed += 1;
        self.send(owner, OwnershipMessage::Relay(Box::new(relayed)));
    }

    /// Handles a packet that another node has relayed.
    pub(super) fn handle_relay(&mut self, now: Timestamp, from: NodeId, relayed: RelayedPacket) {
        let Some(cluster) = &self.cluster else {
            return;
        };
        if !cluster.is_known_member(from) || !cluster.is_known_member(relayed.origin) {
            self.counters.dropped.not_a_member += 1;
            return;
        }
        self.route(now, relayed);
    }

    /// Queues a packet that opens no flow until its owner or generation is known.
    pub(super) fn queue_packet(&mut self, now: Timestamp, relayed: RelayedPacket) {
        if !Self::is_queueable(&relayed) {
            self.counters.dropped.opening_without_owner += 1;
            return;
        }
        if !self.packet_budget.take(&relayed.packet) {
            self.counters.dropped.queue_full += 1;
            return;
        }
        let deadline = now.after(self.settings.packet_timeout);
        self.queue.push_back(QueuedPacket { relayed, deadline });
    }

    /// Retries all queued packets. Those that are queued again keep their deadline.
    pub(super) fn retry_queued_packets(&mut self, now: Timestamp) {
        for queued in std::mem::take(&mut self.queue) {
            self.packet_budget.give_back(&queued.relayed.packet);
            if queued.deadline <= now {
                self.counters.dropped.expired += 1;
                continue;
            }
            let next_index = self.queue.len();
            self.route(now, queued.relayed);
            if let Some(requeued) = self.queue.get_mut(next_index) {
                requeued.deadline = queued.deadline;
            }
        }
    }
}
