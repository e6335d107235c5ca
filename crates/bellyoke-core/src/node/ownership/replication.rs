//! Replication of pins from the owner to the replicas.

use super::Ownership;
use super::group::{GroupState, Role};
use super::leader::LogLimits;
use super::message::{OwnerHint, PinBatch, ReplicaPosition};
use super::pending::PendingItem;
use super::settings::Ablation;
use crate::identity::{GroupIndex, NodeId};
use crate::time::Timestamp;
use std::time::Duration;

/// Minimum interval between new copies for a replica that is too far behind.
const MIN_COPY_INTERVAL: Duration = Duration::from_secs(10);

impl Ownership {
    pub(super) fn log_limits(&self) -> LogLimits {
        LogLimits {
            batch_pins: self.settings.max_batch_pins,
            unacknowledged_batches: self.settings.max_unacknowledged_batches,
        }
    }

    /// Seals and sends the batches of all active groups.
    pub(super) fn flush_batches(&mut self, now: Timestamp) {
        let groups: Vec<GroupIndex> = self.active_groups.iter().copied().collect();
        for group in groups {
            let Some(leader) = self.groups.get_mut(&group).and_then(GroupState::leader) else {
                continue;
            };
            leader.seal_if_ready();
            self.send_unsent(group);
            self.handle_commit(now, group);
        }
        self.active_groups.clear();
    }

    /// Sends the sealed batches of `group`.
    pub(super) fn send_unsent(&mut self, group: GroupIndex) {
        let Some(state) = self.groups.get_mut(&group) else {
            return;
        };
        let Some(leader) = state.leader() else {
            return;
        };
        let batches = leader.take_unsent(&self.membership.suspected);
        let last_sealed = leader.last_sealed();
        state.acceptor.advance(last_sealed);
        for (replica, batch) in batches {
            self.outbox.batch(replica, batch);
        }
    }

    /// Completes the items that waited for committed batches.
    pub(super) fn handle_commit(&mut self, now: Timestamp, group: GroupIndex) {
        let limits = self.log_limits();
        let Some(leader) = self.groups.get_mut(&group).and_then(GroupState::leader) else {
            return;
        };
        leader.trim(limits);
        let ballot = leader.ballot();
        if leader.has_open_batch() {
            self.active_groups.insert(group);
        }
        let starts_service = leader.serves() && leader.start_service();
        self.complete_committed(group);
        if starts_service {
            self.report_takeover(group, ballot);
            self.retry_queued_packets(now);
            self.apply_early_handovers(now);
        }
    }

    /// Handles a batch of pins from the owner of a group.
    pub(super) fn handle_pin_batch(&mut self, now: Timestamp, from: NodeId, batch: PinBatch) {
        if batch.ballot.node != from || from == self.node {
            return;
        }
        let group = batch.group;
        let ballot = batch.ballot;
        let check_ballot = self.settings.ablation != Ablation::NoBallotCheck;
        let state = self.groups.entry(group).or_default();
        match state.acceptor.accept(now, batch, check_ballot) {
            Ok(position) => {
                state.record_ballot(ballot);
                if check_ballot {
                    self.yield_to_ballot(group, ballot);
                }
                self.outbox
                    .position(from, ReplicaPosition { group, position });
            }
            Err(rejected) => {
                let ballot = rejected.promised;
                self.outbox.superseded(from, OwnerHint { group, ballot });
            }
        }
    }

    /// Handles a replica's acknowledgement.
    pub(super) fn handle_replica_position(
        &mut self,
        now: Timestamp,
        from: NodeId,
        replica: ReplicaPosition,
    ) {
        let group = replica.group;
        let Some(leader) = self.groups.get_mut(&group).and_then(GroupState::leader) else {
            return;
        };
        if leader.ballot() != replica.position.ballot {
            return;
        }
        leader.acknowledge(from, replica.position.sequence);
        self.handle_commit(now, group);
    }

    /// Drops the items whose deadline has passed.
    pub(super) fn drop_expired_items(&mut self, now: Timestamp, group: GroupIndex) {
        let Some(leader) = self.groups.get_mut(&group).and_then(GroupState::leader) else {
            return;
        };
        for item in leader.take_expired(now) {
            if let PendingItem::Packet(pending) = item {
                self.packet_budget.give_back(&pending.packet);
                self.counters.dropped.expired += 1;
            }
        }
    }

    /// Sends unacknowledged batches again.
    pub(super) fn resend_batches(&mut self, now: Timestamp, group: GroupIndex) {
        let Some(state) = self.groups.get_mut(&group) else {
            return;
        };
        let Some(leader) = state.leader() else {
            return;
        };
        let stalled = leader.take_stalled_batches(&self.membership.suspected);
        if stalled.is_empty() {
            state.retry_backoff.restart();
        }
        for (replica, batch) in stalled {
            self.outbox.batch(replica, batch);
        }
        let Some(leader) = self.groups.get_mut(&group).and_then(GroupState::leader) else {
            return;
        };
        let overdue = now.since(leader.started_at()) >= MIN_COPY_INTERVAL;
        let suspected = &self.membership.suspected;
        let is_responsive = |node: &NodeId| !suspected.contains(node);
        if overdue && leader.lagging().iter().any(is_responsive) {
            self.start_claim(now, group);
        }
    }

    /// Updates the number of pins in the groups that this node owns.
    pub(super) fn update_owned_pins(&mut self) {
        let is_owned = |group: &&GroupState| matches!(group.role, Role::Leading(_));
        let owned = self.groups.values().filter(is_owned);
        self.owned_pins = owned.map(|group| group.acceptor.pins().len()).sum();
    }
}
