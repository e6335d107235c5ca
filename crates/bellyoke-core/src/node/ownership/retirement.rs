//! Retirement of the copies of earlier replica sets, once newer replicas store the pins.

use super::Ownership;
use super::group::Role;
use super::message::ReplicaAnnouncement;
use crate::identity::{GroupIndex, NodeId};
use crate::time::Timestamp;

impl Ownership {
    /// Repeats the announcement of an earlier copy. A group without contested buckets needs none
    /// until all members have acknowledged the current generation.
    pub(super) fn retry_announcement(&mut self, now: Timestamp, group: GroupIndex) {
        let Some(cluster) = &self.cluster else {
            return;
        };
        let is_needed =
            cluster.has_contested_bucket(group) || self.membership.barrier >= cluster.number();
        let interval = self.settings.retry_interval;
        let Some(state) = self.groups.get_mut(&group).filter(|_| is_needed) else {
            return;
        };
        if state
            .announcement_backoff
            .is_due(now, interval, &mut self.random)
        {
            self.send_announcement(group);
        }
    }

    /// Announces to the current replicas that this node stores pins of an earlier replica set.
    pub(super) fn send_announcement(&mut self, group: GroupIndex) {
        let Some(cluster) = &self.cluster else {
            return;
        };
        let Some(current) = cluster.configuration(group) else {
            return;
        };
        let Some(state) = self.groups.get(&group) else {
            return;
        };
        let Some(installed) = state.acceptor.installed() else {
            return;
        };
        let configuration = installed.configuration.clone();
        if configuration.replicas == current.replicas {
            return;
        }
        let others = current.replicas.iter().filter(|node| **node != self.node);
        for replica in others {
            let configuration = configuration.clone();
            let announcement = ReplicaAnnouncement {
                group,
                configuration,
            };
            self.outbox.announce(*replica, announcement);
        }
    }

    /// Handles the announcement of a replica of an earlier generation.
    pub(super) fn handle_announcement(
        &mut self,
        now: Timestamp,
        from: NodeId,
        announcement: ReplicaAnnouncement,
    ) {
        let group = announcement.group;
        self.claim_announced_group(now, group);
        let Some(state) = self.groups.get_mut(&group) else {
            return;
        };
        let announced_generation = announcement.configuration.generation;
        if let Some(claim) = state.claim() {
            claim.add_configuration(announcement.configuration);
            return;
        }
        let Some(leader) = state.serving() else {
            return;
        };
        let configuration = leader.configuration().clone();
        if configuration.generation > announced_generation {
            let answer = ReplicaAnnouncement {
                group,
                configuration,
            };
            self.outbox.installed(from, answer);
        }
    }

    /// Removes this node's copy after a newer replica set has stored the pins.
    pub(super) fn handle_installed(&mut self, announcement: &ReplicaAnnouncement) {
        let newer = &announcement.configuration;
        let group = announcement.group;
        let Some(state) = self.groups.get(&group) else {
            return;
        };
        let installed = state.acceptor.installed();
        let is_older =
            installed.is_some_and(|copy| copy.configuration.generation < newer.generation);
        if !is_older || newer.replicas.contains(&self.node) {
            return;
        }
        self.step_down(group);
        if let Some(state) = self.groups.get_mut(&group) {
            state.role = Role::Follower;
            state.acceptor.retire(newer);
        }
    }
}
