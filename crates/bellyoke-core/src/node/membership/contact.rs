//! Joining and recovery from partitions, by exchanging full member states.

use super::message::MembershipMessage;
use super::record::{MemberRecord, MemberState};
use super::{Membership, MembershipEffect, RECORDS_PER_STATE_MESSAGE, SEEDS_PER_CONTACT};
use crate::identity::NodeId;
use crate::node::budget::{Priority, Transmission};
use crate::node::message::MessageBody;
use crate::time::Timestamp;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;

impl Membership {
    /// Contacts seeds and failed members. The two sides of a partition stop probing each other, so
    /// this is how they find each other after it heals.
    pub(super) fn contact_members(&mut self, now: Timestamp) -> Vec<MembershipEffect> {
        let has_no_peers = self.table.live_members().is_empty();
        let interval = if has_no_peers {
            self.settings.probe_period
        } else {
            self.settings.contact_interval
        };
        let interval = interval / 2 + self.random_share_of(interval);
        self.next_contact_at = now.after(interval);
        let not_live = self.table.records().filter(|record| !record.is_live());
        let mut contacts: Vec<(Option<NodeId>, SocketAddr)> = not_live
            .filter(|record| record.state == MemberState::Failed)
            .map(|record| (Some(record.member.node), record.member.peer_address))
            .collect();
        contacts.extend(self.seeds.iter().map(|seed| (None, *seed)));
        let count = if has_no_peers { SEEDS_PER_CONTACT } else { 1 };
        let chosen = contacts.sample(&mut self.random, count);
        chosen
            .map(|(node, address)| self.join_message(*node, *address, true))
            .collect()
    }

    pub(super) fn join_message(
        &self,
        to: Option<NodeId>,
        address: SocketAddr,
        reply_requested: bool,
    ) -> MembershipEffect {
        let known = to.and_then(|node| self.table.get(node));
        let not_alive = known.filter(|record| record.state != MemberState::Alive);
        let message = MembershipMessage::Join {
            updates: not_alive.map(MemberRecord::update).into_iter().collect(),
            record: Box::new(self.own.clone()),
            digest: self.table.digest(&self.own),
            reply_requested,
        };
        MembershipEffect::Send(Transmission {
            to,
            address,
            priority: Priority::Probe,
            body: MessageBody::Membership(message),
        })
    }

    pub(super) fn handle_join(
        &mut self,
        now: Timestamp,
        record: &MemberRecord,
        digest: u64,
        reply_requested: bool,
    ) -> Vec<MembershipEffect> {
        let mut effects = self.apply_update(now, &record.update());
        let node = record.member.node;
        let digests_match = digest == self.table.digest(&self.own);
        if digests_match || node == self.own.member.node || self.get(node).is_none() {
            return effects;
        }
        if reply_requested {
            effects.push(self.join_message(Some(node), record.member.peer_address, false));
        }
        if now >= self.next_state_at {
            self.next_state_at = now.after(self.settings.probe_period);
            effects.extend(self.send_state(node));
        }
        effects
    }

    pub(super) fn send_state(&self, to: NodeId) -> Vec<MembershipEffect> {
        let live: Vec<MemberRecord> = self
            .records()
            .filter(|record| record.is_live())
            .cloned()
            .collect();
        let parts =
            live.chunks(RECORDS_PER_STATE_MESSAGE)
                .map(|records| MembershipMessage::State {
                    records: records.to_vec(),
                });
        parts
            .filter_map(|part| self.send(to, Priority::Bulk, part))
            .collect()
    }
}
