//! How a node becomes the owner of a group, and how it steps down.

use super::Ownership;
use super::ballot::{Ballot, Configuration, LogPosition};
use super::claim::{BestCopy, Claim};
use super::effect::OwnershipEffect;
use super::group::{GroupState, Role};
use super::leader::Leader;
use super::message::{
    FetchRequest, FetchedPins, Installation, OwnerHint, OwnershipMessage, PrepareRequest,
    ReplicaPromise,
};
use super::pending::PendingItem;
use super::pin::PinTable;
use crate::identity::{GenerationNumber, GroupIndex, NodeId};
use crate::node::NodeEvent;
use crate::time::Timestamp;

/// There are no pins from before this generation: its replicas start with complete, empty copies.
const FIRST_GENERATION: GenerationNumber = GenerationNumber(1);
/// Maximum number of concurrent claims to groups without contested buckets.
const MAX_UNUSED_CLAIMS: usize = 16;

impl Ownership {
    /// Applies the replica set of `group` in a newer generation.
    pub(super) fn apply_generation_to_group(&mut self, now: Timestamp, group: GroupIndex) {
        let Some(cluster) = &self.cluster else {
            return;
        };
        let Some(configuration) = cluster.configuration(group) else {
            return;
        };
        let previous = cluster.previous_assignment.as_ref();
        let previous = previous.and_then(|assignment| assignment.configuration(group));
        let unchanged =
            previous.is_some_and(|previous| previous.replicas == configuration.replicas);
        if !unchanged {
            self.set_replicas(group, configuration.clone());
        }
        self.claim_if_needed(now, group);
    }

    fn set_replicas(&mut self, group: GroupIndex, configuration: Configuration) {
        let state = self.groups.entry(group).or_default();
        state.announcement_backoff.restart();
        state.replica_generation = configuration.generation;
        state.highest_ballot = state
            .highest_ballot
            .filter(|hint| hint.generation >= configuration.generation);
        if configuration.generation == FIRST_GENERATION {
            let installation = Installation {
                configuration,
                pins_lost_before: GenerationNumber(0),
            };
            state.acceptor.bootstrap(self.node, installation);
        }
        if let Role::Claiming(_) = state.role {
            state.role = Role::Follower;
        }
    }

    /// Claims `group` if it has contested buckets and this node should own it but doesn't.
    pub(super) fn claim_if_needed(&mut self, now: Timestamp, group: GroupIndex) {
        let is_contested = self
            .cluster
            .as_ref()
            .is_some_and(|cluster| cluster.has_contested_bucket(group));
        if is_contested && self.should_claim(group) {
            self.start_claim(now, group);
        }
    }

    /// Returns whether this node should own `group` and has not claimed it.
    fn should_claim(&self, group: GroupIndex) -> bool {
        if self.presumed_owner(group) != Some(self.node) {
            return false;
        }
        let Some(configuration) = self.current_configuration(group) else {
            return false;
        };
        let Some(state) = self.groups.get(&group) else {
            return false;
        };
        let replicas = &configuration.replicas;
        let has_claimed = state.own_configuration().map(|own| &own.replicas) == Some(replicas);
        !has_claimed && replicas.contains(&self.node)
    }

    fn current_configuration(&self, group: GroupIndex) -> Option<&Configuration> {
        self.cluster.as_ref()?.configuration(group)
    }

    /// Claims unused groups, which have no contested buckets, if their complete copies are still
    /// on replicas of an earlier generation. Does so for a few groups at a time, once all members
    /// have acknowledged the current generation.
    ///
    /// An unused group needs no owner because none of its flows is pinned. While its replicas stay
    /// the same, no message is sent for it. When a bucket becomes contested, the claimant finds
    /// the complete, empty copies of these replicas, as in the first generation.
    ///
    /// A claim has promises from majorities of two replica sets and so links the new set to the
    /// previous one. If the replica set of an unused group started empty without a claim, two
    /// nodes, one of which has skipped generations, could start two independent chains. Therefore
    /// every change of replicas is followed by a claim. It is not urgent and waits for the
    /// barrier. If a bucket becomes contested earlier, [`Self::claim_if_needed`] makes the claim,
    /// with promises of the same sets.
    ///
    /// If buckets of a group become clean and later contested again, the group keeps its owner and
    /// log, or is claimed in the same chain: a group is never assumed to be empty unless a
    /// majority was read.
    pub(super) fn claim_unused(&mut self, now: Timestamp, groups: &[GroupIndex]) {
        let Some(cluster) = &self.cluster else {
            return;
        };
        if self.membership.barrier < cluster.number() {
            return;
        }
        let mut remaining = self.remaining_claims();
        for group in groups {
            if remaining == 0 {
                return;
            }
            if self.lacks_current_copy(*group) && self.should_claim(*group) {
                self.start_claim(now, *group);
                remaining -= 1;
            }
        }
    }

    /// Claims a group for which a replica of an earlier generation has announced its copy.
    pub(super) fn claim_announced_group(&mut self, now: Timestamp, group: GroupIndex) {
        if self.should_claim(group) && self.remaining_claims() > 0 {
            self.start_claim(now, group);
        }
    }

    fn remaining_claims(&mut self) -> usize {
        let claiming = self.groups.values_mut().filter_map(GroupState::claim);
        MAX_UNUSED_CLAIMS.saturating_sub(claiming.count())
    }

    /// Returns whether the complete copies of `group` are on other replicas than the current ones.
    fn lacks_current_copy(&self, group: GroupIndex) -> bool {
        let installed = self
            .groups
            .get(&group)
            .and_then(|state| state.acceptor.installed());
        let present = self.current_configuration(group);
        installed.map(|copy| &copy.configuration.replicas)
            != present.map(|present| &present.replicas)
    }

    /// Requests promises under a ballot above all known ones.
    pub(super) fn start_claim(&mut self, now: Timestamp, group: GroupIndex) {
        let Some(cluster) = &self.cluster else {
            return;
        };
        let Some(configuration) = cluster.configuration(group).cloned() else {
            return;
        };
        let previous = cluster.previous_assignment.as_ref();
        let previous = previous
            .and_then(|assignment| assignment.configuration(group))
            .cloned();
        let state = self.groups.entry(group).or_default();
        let highest = state
            .acceptor
            .promised()
            .max(state.highest_ballot.unwrap_or_default());
        let Some(ballot) = next_ballot(highest, configuration.generation, self.node) else {
            return;
        };
        let installed = state
            .acceptor
            .installed()
            .map(|copy| copy.configuration.clone());
        let successors = state.acceptor.successors().iter().cloned();
        let earlier: Vec<Configuration> = successors.chain(installed).chain(previous).collect();
        let claim = Claim::new(now, group, ballot, configuration, earlier);
        self.step_down(group);
        if let Some(state) = self.groups.get_mut(&group) {
            state.role = Role::Claiming(Box::new(claim));
            state.retry_backoff.restart();
            state.record_ballot(ballot);
        }
        self.send_claim_requests(group);
    }

    /// Sends requests to all replicas that have not promised, or requests the next pins.
    pub(super) fn send_claim_requests(&mut self, group: GroupIndex) {
        let Some(claim) = self.groups.get_mut(&group).and_then(GroupState::claim) else {
            return;
        };
        if let Some((source, request)) = claim.fetch_request() {
            self.send(source, OwnershipMessage::Fetch(Box::new(request)));
            return;
        }
        let request = claim.prepare_request();
        for replica in claim.missing_promises() {
            if replica == self.node {
                self.send(replica, OwnershipMessage::Prepare(vec![request.clone()]));
            } else {
                self.outbox.prepare(replica, request.clone());
            }
        }
    }

    /// Handles a claimant's request for a promise.
    pub(super) fn handle_prepare(&mut self, from: NodeId, request: PrepareRequest) {
        if request.ballot.node != from {
            return;
        }
        let group = request.group;
        let state = self.groups.entry(group).or_default();
        match state.acceptor.prepare(&request) {
            Ok(promise) => {
                state.record_ballot(request.ballot);
                self.yield_to_ballot(group, request.ballot);
                if from == self.node {
                    self.send(from, OwnershipMessage::Promise(vec![promise]));
                } else {
                    self.outbox.promise(from, promise);
                }
            }
            Err(rejected) => {
                let ballot = rejected.promised;
                self.outbox.superseded(from, OwnerHint { group, ballot });
            }
        }
    }

    /// Handles a replica's promise.
    pub(super) fn handle_promise(&mut self, now: Timestamp, from: NodeId, promise: ReplicaPromise) {
        let group = promise.group;
        let Some(claim) = self.groups.get_mut(&group).and_then(GroupState::claim) else {
            return;
        };
        if claim.ballot() != promise.ballot || claim.is_fetching() {
            return;
        }
        let found_configuration = claim.record_promise(from, promise);
        match claim.agreed_copy() {
            Some(best) => self.copy_from(now, group, best),
            None if found_configuration => self.send_claim_requests(group),
            None => {}
        }
    }

    fn copy_from(&mut self, now: Timestamp, group: GroupIndex, best: BestCopy) {
        if best.node == self.node {
            let pins = self
                .groups
                .get(&group)
                .map(|state| state.acceptor.pins().clone());
            self.install_copy(now, group, pins.unwrap_or_default(), best.pins_lost_before);
            return;
        }
        if let Some(claim) = self.groups.get_mut(&group).and_then(GroupState::claim) {
            claim.start_fetch(best);
        }
        self.send_claim_requests(group);
    }

    /// Handles a claimant's request for pins.
    pub(super) fn handle_fetch(&mut self, from: NodeId, request: FetchRequest) {
        let Some(state) = self.groups.get(&request.group) else {
            return;
        };
        let promised = state.acceptor.promised();
        if promised != request.ballot {
            let group = request.group;
            let ballot = promised;
            self.outbox.superseded(from, OwnerHint { group, ballot });
            return;
        }
        let (runs, has_more) = state
            .acceptor
            .pins()
            .page(request.cursor, self.settings.max_batch_pins);
        let page = FetchedPins {
            request,
            runs,
            marks: state.acceptor.pins().marks(),
            has_more,
        };
        self.send(from, OwnershipMessage::Fetched(Box::new(page)));
    }

    /// Handles a page of pins.
    pub(super) fn handle_fetched_pins(&mut self, now: Timestamp, page: &FetchedPins) {
        let group = page.request.group;
        let Some(claim) = self.groups.get_mut(&group).and_then(GroupState::claim) else {
            return;
        };
        let before = claim.fetch_request();
        if !claim.apply_page(now, page) {
            if before != claim.fetch_request() {
                self.send_claim_requests(group);
            }
            return;
        }
        if let Some((pins, source)) = claim.take_fetched() {
            self.install_copy(now, group, pins, source.pins_lost_before);
        }
    }

    /// Considers the earlier pins lost if a majority of their replicas has not answered within the
    /// timeout.
    pub(super) fn abandon_overdue_claim(&mut self, now: Timestamp, group: GroupIndex) {
        let started_at = self
            .groups
            .get_mut(&group)
            .and_then(|state| Some(state.claim()?.started_at()));
        let waited = started_at.map(|started_at| now.since(started_at));
        if waited.is_none_or(|waited| waited < self.settings.abandon_empty_timeout) {
            return;
        }
        let limit = if self.had_contested_buckets(group) {
            self.settings.abandon_timeout
        } else {
            self.settings.abandon_empty_timeout
        };
        let number = self
            .cluster
            .as_ref()
            .map_or(GenerationNumber(0), |cluster| cluster.number());
        let Some(claim) = self.groups.get_mut(&group).and_then(GroupState::claim) else {
            return;
        };
        let is_overdue = now.since(claim.started_at()) >= limit;
        if !is_overdue || claim.is_fetching() || !claim.has_own_majority() {
            return;
        }
        let pins_lost_before = number;
        let best = claim.best_copy().map(|best| BestCopy {
            pins_lost_before,
            ..best
        });
        self.counters.abandoned += 1;
        match best {
            Some(best) => self.copy_from(now, group, best),
            None => self.install_copy(now, group, PinTable::default(), pins_lost_before),
        }
    }

    fn had_contested_buckets(&self, group: GroupIndex) -> bool {
        let Some(cluster) = &self.cluster else {
            return false;
        };
        cluster.has_bucket_contested_before(group, cluster.number())
    }

    fn install_copy(
        &mut self,
        now: Timestamp,
        group: GroupIndex,
        pins: PinTable,
        pins_lost_before: GenerationNumber,
    ) {
        let limits = self.log_limits();
        let Some(state) = self.groups.get_mut(&group) else {
            return;
        };
        let Some(claim) = state.claim() else {
            return;
        };
        let ballot = claim.ballot();
        let installation = Installation {
            configuration: claim.configuration().clone(),
            pins_lost_before,
        };
        let leader = Leader::new(now, group, ballot, &installation, &pins, limits);
        let sequence = leader.last_sealed();
        let position = LogPosition { ballot, sequence };
        state
            .acceptor
            .install_own_copy(position, installation, pins);
        state.role = Role::Leading(Box::new(leader));
        state.retry_backoff.restart();
        self.counters.installed += 1;
        self.update_owned_pins();
        self.send_unsent(group);
        self.handle_commit(now, group);
    }

    /// Steps down if this node's ballot is below `ballot`.
    pub(super) fn yield_to_ballot(&mut self, group: GroupIndex, ballot: Ballot) {
        let own = self.groups.get(&group).and_then(GroupState::own_ballot);
        if own.is_some_and(|own| own < ballot) {
            self.counters.superseded += 1;
            self.step_down(group);
        }
    }

    /// Handles the report that a replica has promised a higher ballot.
    pub(super) fn handle_superseded(&mut self, now: Timestamp, hint: OwnerHint) {
        self.handle_owner_hint(hint);
        self.yield_to_ballot(hint.group, hint.ballot);
        self.claim_if_needed(now, hint.group);
    }

    /// Records the ballot that another node reports for a group.
    pub(super) fn handle_owner_hint(&mut self, hint: OwnerHint) {
        let Some(cluster) = &self.cluster else {
            return;
        };
        if cluster.configuration(hint.group).is_none() {
            return;
        }
        let state = self.groups.entry(hint.group).or_default();
        state.record_ballot(hint.ballot);
    }

    /// Becomes a follower and drops all pending items.
    pub(super) fn step_down(&mut self, group: GroupIndex) {
        let Some(state) = self.groups.get_mut(&group) else {
            return;
        };
        let role = std::mem::take(&mut state.role);
        let Role::Leading(mut leader) = role else {
            return;
        };
        for item in leader.take_pending() {
            if let PendingItem::Packet(packet) = item {
                self.packet_budget.give_back(&packet.packet);
                self.counters.dropped.stepped_down += 1;
            }
        }
        self.update_owned_pins();
    }

    /// Reports an event if this node owns the group by a later ballot and not by its rank.
    pub(super) fn report_takeover(&mut self, group: GroupIndex, ballot: Ballot) {
        if ballot.attempt > 0 {
            let event = NodeEvent::OwnershipTaken(group);
            self.effects.push(OwnershipEffect::Event(event));
        }
    }
}

/// Returns the lowest ballot of `node` above `highest`, or `None` if a newer generation has
/// ballots.
fn next_ballot(highest: Ballot, generation: GenerationNumber, node: NodeId) -> Option<Ballot> {
    if highest.generation > generation {
        return None;
    }
    let attempt = match highest.generation == generation {
        true => highest.attempt + 1,
        false => 0,
    };
    Some(Ballot {
        generation,
        attempt,
        node,
    })
}
