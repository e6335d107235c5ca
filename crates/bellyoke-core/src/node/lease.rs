//! The lease by which a node may open flows (section 5 of the protocol).

use crate::generation::Generation;
use crate::identity::{GenerationNumber, NodeId};
use crate::node::rendezvous::{lease_quorum, majority};
use crate::node::settings::NodeSettings;
use crate::time::Timestamp;
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::BTreeMap;

/// Messages about leases. Times are microseconds of the holder's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// Asks for a renewal.
    Renewal {
        /// When the holder sent it.
        sent: u64,
    },
    /// Grants it. The generation that the message carries is the granter's.
    Grant {
        /// When the holder had sent the renewal.
        sent: u64,
    },
}

/// The lease that this node holds.
#[derive(Debug)]
pub struct Lease {
    node: NodeId,
    settings: NodeSettings,
    generation: GenerationNumber,
    quorum: Vec<NodeId>,
    grants: BTreeMap<NodeId, Timestamp>,
    valid_until: Timestamp,
    was_valid: bool,
    next_renewal_at: Timestamp,
}

/// What became of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// It runs until another time now.
    ValidUntil(Timestamp),
    /// It has run out.
    Expired,
    /// It holds again after it had run out.
    Renewed,
}

impl Lease {
    /// A node without a lease.
    #[must_use]
    pub fn new(node: NodeId, settings: NodeSettings) -> Self {
        Self {
            node,
            settings,
            generation: GenerationNumber(0),
            quorum: Vec::new(),
            grants: BTreeMap::new(),
            valid_until: Timestamp::ZERO,
            was_valid: false,
            next_renewal_at: Timestamp::ZERO,
        }
    }

    /// Whether the lease holds at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Timestamp) -> bool {
        now < self.valid_until
    }

    /// When the lease ends, if nothing renews it.
    #[must_use]
    pub fn valid_until(&self) -> Timestamp {
        self.valid_until
    }

    /// The traffic threads forward by `generation`: its members grant from now on. A node
    /// that is no member loses the lease at once.
    pub fn set_generation(&mut self, now: Timestamp, generation: &Generation) -> Vec<LeaseChange> {
        self.generation = generation.number;
        self.grants.clear();
        self.next_renewal_at = now;
        let members = &generation.members;
        if members.iter().any(|member| member.node == self.node) {
            let members_by_zone = members.iter().map(|member| (&member.zone, member.node));
            self.quorum = lease_quorum(members_by_zone, self.node);
            return Vec::new();
        }
        self.quorum.clear();
        self.valid_until = self.valid_until.min(now);
        let mut changes = vec![LeaseChange::ValidUntil(self.valid_until)];
        changes.extend(self.expire(now));
        changes
    }

    /// Members to send a renewal to, if one is due.
    pub fn due_renewals(&mut self, now: Timestamp) -> Vec<NodeId> {
        if self.quorum.is_empty() || now < self.next_renewal_at {
            return Vec::new();
        }
        self.next_renewal_at = now.after(self.settings.lease_renewal);
        let others = self.quorum.iter().filter(|node| **node != self.node);
        others.copied().collect()
    }

    /// A member that holds `generation` has granted the renewal that was sent at `sent`.
    ///
    /// A grant that names a newer generation than the traffic threads forward by does not
    /// count: the granter may have acknowledged the removal of this node.
    pub fn record_grant(
        &mut self,
        now: Timestamp,
        granter: NodeId,
        generation: GenerationNumber,
        sent: Timestamp,
    ) -> Vec<LeaseChange> {
        let is_in_future = sent > now;
        if generation > self.generation || is_in_future || !self.quorum.contains(&granter) {
            return Vec::new();
        }
        let newest = self.grants.entry(granter).or_insert(sent);
        *newest = sent.max(*newest);
        self.extend(now)
    }

    /// Lets time pass.
    pub fn timeout(&mut self, now: Timestamp) -> Vec<LeaseChange> {
        let mut changes = self.extend(now);
        changes.extend(self.expire(now));
        changes
    }

    /// When [`Self::timeout`] or [`Self::due_renewals`] has something to do.
    #[must_use]
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let renewal = (!self.quorum.is_empty()).then_some(self.next_renewal_at);
        let expiry = self.was_valid.then_some(self.valid_until);
        renewal.into_iter().chain(expiry).min()
    }

    fn extend(&mut self, now: Timestamp) -> Vec<LeaseChange> {
        let Some(sent) = self.majority_renewal_time(now) else {
            return Vec::new();
        };
        let span = self.settings.lease_time - self.settings.lease_margin;
        let until = sent.after(span);
        if until <= self.valid_until || until <= now {
            return Vec::new();
        }
        self.valid_until = until;
        let mut changes = vec![LeaseChange::ValidUntil(until)];
        if !self.was_valid {
            self.was_valid = true;
            changes.push(LeaseChange::Renewed);
        }
        changes
    }

    /// Send time of the newest renewal that a majority has granted. The node grants its own
    /// at any time.
    fn majority_renewal_time(&self, now: Timestamp) -> Option<Timestamp> {
        let mut times: Vec<Timestamp> = self.grants.values().copied().collect();
        if self.quorum.contains(&self.node) {
            times.push(now);
        }
        times.sort_unstable_by(|left, right| right.cmp(left));
        let needed = majority(self.quorum.len());
        if self.quorum.is_empty() {
            return None;
        }
        times.get(needed - 1).copied()
    }

    fn expire(&mut self, now: Timestamp) -> Option<LeaseChange> {
        if !self.was_valid || self.is_valid(now) {
            return None;
        }
        self.was_valid = false;
        Some(LeaseChange::Expired)
    }
}
