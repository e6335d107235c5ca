//! The lease that permits a node to open flows (section 5 of the protocol).

use crate::generation::Generation;
use crate::identity::{GenerationNumber, NodeId};
use crate::node::rendezvous::{lease_quorum, majority};
use crate::node::settings::NodeSettings;
use crate::time::Timestamp;
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::BTreeMap;

/// Messages of the lease protocol. Times are microseconds on the holder's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// Requests a renewal.
    Renewal {
        /// Time at which the holder sent the request.
        sent: u64,
    },
    /// Grants a renewal. The generation in the message header is the granter's.
    Grant {
        /// Time at which the holder sent the request.
        sent: u64,
    },
}

/// The lease of this node.
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

/// A change of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// The time until which the lease is valid has changed.
    ValidUntil(Timestamp),
    /// The lease has expired.
    Expired,
    /// The lease is valid again after it had expired.
    Renewed,
}

impl Lease {
    /// Returns the state of a node without a lease.
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

    /// Returns whether the lease is valid at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Timestamp) -> bool {
        now < self.valid_until
    }

    /// Returns the time at which the lease expires unless it is renewed.
    #[must_use]
    pub fn valid_until(&self) -> Timestamp {
        self.valid_until
    }

    /// Records that the traffic threads use `generation`, whose members grant the lease from now
    /// on. A node that is not a member loses its lease immediately.
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

    /// Returns the members to send a renewal request to, if one is due.
    pub fn due_renewals(&mut self, now: Timestamp) -> Vec<NodeId> {
        if self.quorum.is_empty() || now < self.next_renewal_at {
            return Vec::new();
        }
        self.next_renewal_at = now.after(self.settings.lease_renewal);
        let others = self.quorum.iter().filter(|node| **node != self.node);
        others.copied().collect()
    }

    /// Records that a member at `generation` has granted the renewal sent at `sent`.
    ///
    /// A grant with a newer generation than the one used by the traffic threads is ignored, as
    /// the granter may have acknowledged the removal of this node.
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

    /// Extends or expires the lease, depending on `now`.
    pub fn timeout(&mut self, now: Timestamp) -> Vec<LeaseChange> {
        let mut changes = self.extend(now);
        changes.extend(self.expire(now));
        changes
    }

    /// Returns the time at which [`Self::timeout`] or [`Self::due_renewals`] is due.
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

    /// Returns the send time of the newest renewal granted by a majority. The node itself always
    /// counts as granting.
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
