//! The state machine of the control thread, composed of its protocols.

mod effects;
mod outgoing;

use crate::generation::{Forwarding, Generation, Member, Zone};
use crate::identity::{GenerationNumber, NodeId};
use crate::node::barrier::{Barrier, BarrierMessage};
use crate::node::budget::{Budget, Priority};
use crate::node::dissemination::{Dissemination, DisseminationMessage};
use crate::node::interface::{AdoptionReport, Input, NodeEvent, Output, Proposal};
use crate::node::lease::{Lease, LeaseMessage};
use crate::node::member_history::MemberSet;
use crate::node::membership::{Membership, MembershipEffect};
use crate::node::message::{Message, MessageBody};
use crate::node::ownership::{Ownership, OwnershipSettings};
use crate::node::proposer::{MembershipProposer, ProposerStatus};
use crate::node::settings::NodeSettings;
use crate::node::status::{NodeStatus, RejectedTransfer};
use crate::time::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;

/// Identity of a node. A restarted process draws a new [`NodeId`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeIdentity {
    /// Identifies the process.
    pub node: NodeId,
    /// Zone in which the node is located.
    pub zone: Zone,
    /// UDP address at which peers reach its peer socket.
    pub peer_address: SocketAddr,
}

/// State machine of one balancer's control thread.
#[derive(Debug)]
pub struct Node {
    identity: NodeIdentity,
    settings: NodeSettings,
    membership: Membership,
    lease: Lease,
    dissemination: Dissemination,
    barrier: Barrier,
    ownership: Ownership,
    proposer: MembershipProposer,
    budget: Budget,
    known: Option<Arc<Generation>>,
    adopted: GenerationNumber,
    reported_barrier: GenerationNumber,
    was_member: bool,
    left: bool,
    exhaustion_reported_at: Option<Timestamp>,
    rejected_transfer: Option<RejectedTransfer>,
    rejected_messages: u64,
    outputs: Vec<Output<Message>>,
}

impl Node {
    /// Returns a newly started node. All its randomness derives from `seed`.
    #[must_use]
    pub fn new(identity: NodeIdentity, settings: NodeSettings, seed: u64) -> Self {
        let node = identity.node;
        let member = Member {
            node,
            zone: identity.zone.clone(),
            peer_address: identity.peer_address,
        };
        Self {
            membership: Membership::new(member, settings.clone(), seed),
            lease: Lease::new(node, settings.clone()),
            dissemination: Dissemination::new(settings.clone()),
            barrier: Barrier::new(node, settings.clone()),
            ownership: Ownership::new(node, ownership_settings(&settings, seed)),
            proposer: MembershipProposer::new(settings.clone()),
            budget: Budget::new(settings.control_budget, settings.control_burst),
            identity,
            settings,
            known: None,
            adopted: GenerationNumber(0),
            reported_barrier: GenerationNumber(0),
            was_member: false,
            left: false,
            exhaustion_reported_at: None,
            rejected_transfer: None,
            rejected_messages: 0,
            outputs: Vec::new(),
        }
    }

    /// Processes `input` at `now` and returns the actions for the caller.
    pub fn handle(&mut self, now: Timestamp, input: Input<Message>) -> Vec<Output<Message>> {
        match input {
            Input::Message { from, message } => self.receive(now, from, message),
            Input::Timeout => {}
            Input::Published(generation) => self.apply_generation(now, &generation, &[]),
            Input::Adopted(report) => self.handle_adoption(now, report),
            Input::Escalated(packet) => {
                let effects = self.ownership.handle_escalation(now, packet);
                self.apply_ownership(now, effects);
            }
            Input::Settled(buckets) => {
                let effects = self.ownership.update_settled_buckets(now, buckets);
                self.apply_ownership(now, effects);
            }
            Input::FlowEnded(place) => {
                let effects = self.ownership.flow_ended(now, place);
                self.apply_ownership(now, effects);
            }
            Input::BackendLoad { backend, load } => {
                self.ownership.record_load(now, backend, load);
            }
            Input::Seeds(seeds) => self.membership.add_seeds(now, seeds),
            Input::Leave => self.membership.leave(),
        }
        self.run_timers(now);
        self.flush(now);
        std::mem::take(&mut self.outputs)
    }

    /// Returns the time at which [`Input::Timeout`] is due.
    #[must_use]
    pub fn next_timeout(&self) -> Timestamp {
        let optional = [
            self.lease.next_timeout(),
            self.dissemination.next_timeout(),
            self.barrier.next_timeout(),
            self.ownership.next_timeout(),
            self.proposer.next_timeout(),
            self.budget.next_timeout(),
        ];
        let first = match self.left {
            true => Timestamp::from_micros(u64::MAX),
            false => self.membership.next_timeout(),
        };
        optional.into_iter().flatten().fold(first, Timestamp::min)
    }

    /// Returns the newest generation known to this node.
    #[must_use]
    pub const fn generation(&self) -> Option<&Arc<Generation>> {
        self.known.as_ref()
    }

    /// Returns the state of this node.
    #[must_use]
    pub fn status(&self) -> NodeStatus {
        NodeStatus {
            node: self.identity.node,
            known: self.known_number(),
            adopted: self.adopted,
            acknowledged: self.barrier.acknowledged(),
            barrier: self.barrier.passed(),
            barrier_waits_for: self.barrier.waits_for(),
            lease_until: self.lease.valid_until(),
            leaving: self.membership.own().leaving,
            members: self.membership.records().cloned().collect(),
            budget: self.budget.counters(),
            rejected_transfer: self.rejected_transfer.clone(),
            rejected_messages: self.rejected_messages,
        }
    }

    fn known_number(&self) -> GenerationNumber {
        let known = self.known.as_ref();
        known.map_or(GenerationNumber(0), |known| known.number)
    }

    fn receive(&mut self, now: Timestamp, from: NodeId, message: Message) {
        if message.sender != from || from == self.identity.node {
            self.rejected_messages += 1;
            return;
        }
        self.membership
            .record_acknowledgement(from, message.acknowledged);
        let effects = self.barrier.record_passed(message.barrier);
        self.apply_barrier(now, effects);
        match message.body {
            MessageBody::Membership(body) => {
                let effects = self.membership.handle(now, from, body);
                self.apply_membership(now, effects);
            }
            MessageBody::Lease(body) => self.receive_lease(now, from, message.generation, body),
            MessageBody::Dissemination(body) => {
                let barrier = &self.barrier;
                let sets = || barrier.older_sets();
                let effects = self.dissemination.handle(now, from, body, sets);
                self.apply_dissemination(now, effects);
            }
            MessageBody::Barrier(body) => self.receive_barrier(now, from, body),
            MessageBody::Ownership(body) => {
                let effects = self.ownership.handle(now, from, *body);
                self.apply_ownership(now, effects);
            }
        }
        let effects = self
            .dissemination
            .record_peer_generation(now, from, message.generation);
        self.apply_dissemination(now, effects);
    }

    fn receive_lease(
        &mut self,
        now: Timestamp,
        from: NodeId,
        generation: GenerationNumber,
        message: LeaseMessage,
    ) {
        match message {
            LeaseMessage::Renewal { sent } => {
                let grant = LeaseMessage::Grant { sent };
                self.send(from, Priority::Lease, MessageBody::Lease(grant));
            }
            LeaseMessage::Grant { sent } => {
                let sent = Timestamp::from_micros(sent);
                let changes = self.lease.record_grant(now, from, generation, sent);
                self.apply_lease(changes);
            }
        }
    }

    fn receive_barrier(&mut self, now: Timestamp, from: NodeId, message: BarrierMessage) {
        match message {
            BarrierMessage::Acknowledged {
                generation,
                member_sets,
            } => self
                .barrier
                .record_report(now, from, generation, member_sets),
            BarrierMessage::Passed => {}
        }
    }

    /// Applies a generation received from the store or a peer, unless it is known.
    fn apply_generation(
        &mut self,
        now: Timestamp,
        generation: &Arc<Generation>,
        sets: &[MemberSet],
    ) {
        if generation.number <= self.known_number() {
            return;
        }
        let previous = self.known.replace(Arc::clone(generation));
        let former = former_members(previous.as_deref(), generation);
        self.was_member |= self.is_member();
        self.dissemination.set_newest(generation);
        self.barrier.set_generation(now, generation, sets);
        let effects = self.membership.fail_former_members(now, &former);
        self.apply_membership(now, effects);
        let effects = self.membership.add_members(&generation.members);
        self.apply_membership(now, effects);
        let effects = self.ownership.apply_generation(now, generation);
        self.apply_ownership(now, effects);
        let forwarding = Forwarding::from_generation(generation);
        self.outputs.push(Output::Adopt(Arc::new(forwarding)));
        self.announce();
    }

    fn announce(&mut self) {
        let announce = DisseminationMessage::Announce;
        self.send_to_random_peers(MessageBody::Dissemination(announce));
    }

    /// Handles the report that the traffic threads use a generation.
    fn handle_adoption(&mut self, now: Timestamp, report: AdoptionReport) {
        let generation = report.generation;
        if generation == self.known_number() && generation > self.adopted {
            self.adopted = generation;
            self.outputs
                .push(Output::Event(NodeEvent::GenerationAdopted(generation)));
            if let Some(known) = &self.known {
                let changes = self.lease.set_generation(now, known);
                self.apply_lease(changes);
            }
        }
        let effects = self.ownership.handle_adoption(now, report);
        self.apply_ownership(now, effects);
        self.report_barrier(now);
    }

    fn run_timers(&mut self, now: Timestamp) {
        if !self.left {
            let effects = self.membership.timeout(now);
            self.apply_membership(now, effects);
        }
        let changes = self.lease.timeout(now);
        self.apply_lease(changes);
        self.renew_lease(now);
        let effects = self.dissemination.timeout(now);
        self.apply_dissemination(now, effects);
        let effects = self.ownership.timeout(now);
        self.apply_ownership(now, effects);
        let membership = &self.membership;
        let is_live = |node| membership.get(node).is_some_and(|record| record.is_live());
        let effects = self.barrier.timeout(now, is_live);
        self.apply_barrier(now, effects);
        self.propose_members(now);
        self.finish_leaving();
    }

    fn renew_lease(&mut self, now: Timestamp) {
        let sent = now.as_micros();
        for member in self.lease.due_renewals(now) {
            let renewal = LeaseMessage::Renewal { sent };
            self.send(member, Priority::Lease, MessageBody::Lease(renewal));
        }
    }

    fn propose_members(&mut self, now: Timestamp) {
        let proposer_status = self.proposer_status(now);
        let records = self.membership.records();
        let known = self.known.as_deref();
        let members = self.proposer.propose(now, known, records, proposer_status);
        if let Some(members) = members {
            let proposal = Proposal::Members(members);
            self.outputs.push(Output::Propose(proposal));
        }
    }

    fn proposer_status(&self, now: Timestamp) -> ProposerStatus {
        let Some(known) = &self.known else {
            return ProposerStatus::Entitled;
        };
        if self.is_member() {
            let valid = self.lease.is_valid(now);
            return if valid {
                ProposerStatus::Entitled
            } else {
                ProposerStatus::Fenced
            };
        }
        let is_live_member = |member: &Member| {
            let record = self.membership.get(member.node);
            record.is_some_and(|record| record.is_live())
        };
        if self.was_member || known.members.iter().any(is_live_member) {
            return ProposerStatus::NonMember;
        }
        ProposerStatus::Orphaned
    }

    fn is_member(&self) -> bool {
        let node = self.identity.node;
        let members = self.known.iter().flat_map(|known| &known.members);
        members.into_iter().any(|member| member.node == node)
    }

    /// Completes leaving once the barrier of a generation without this node has passed.
    fn finish_leaving(&mut self) {
        let passed = self.barrier.passed() >= self.known_number();
        let released = !self.is_member() && passed;
        if !self.membership.own().leaving || self.left || !released {
            return;
        }
        self.left = true;
        for effect in self.membership.announce_left() {
            if let MembershipEffect::Send(transmission) = effect {
                self.push(transmission);
            }
        }
        self.outputs.push(Output::Event(NodeEvent::LeaveComplete));
    }

    /// Reports that a barrier has passed, once this node has adopted that generation.
    fn report_barrier(&mut self, now: Timestamp) {
        let passed = self.barrier.passed();
        if passed <= self.reported_barrier || passed > self.adopted {
            return;
        }
        self.reported_barrier = passed;
        self.outputs
            .push(Output::Event(NodeEvent::BarrierPassed(passed)));
        let effects = self.ownership.barrier_passed(now, passed);
        self.apply_ownership(now, effects);
    }
}

/// Returns the members of `previous` that are not in `generation`.
fn former_members(previous: Option<&Generation>, generation: &Generation) -> Vec<NodeId> {
    let members = previous.into_iter().flat_map(|previous| &previous.members);
    let remains = |node| generation.members.iter().any(|member| member.node == node);
    let nodes = members.map(|member| member.node);
    nodes.filter(|node| !remains(*node)).collect()
}

/// Derives the ownership timeouts from the node settings.
fn ownership_settings(settings: &NodeSettings, seed: u64) -> OwnershipSettings {
    let fenced_after = settings.lease_time + settings.delay_horizon;
    OwnershipSettings {
        packet_timeout: settings.delay_horizon * 3 / 4,
        delay_horizon: settings.delay_horizon,
        abandon_timeout: fenced_after * 3,
        // A message queued by the control budget must not be resent before it was sent.
        retry_interval: settings.resend_interval / 2,
        seed,
        ..OwnershipSettings::default()
    }
}
