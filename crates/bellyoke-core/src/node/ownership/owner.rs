//! Decisions of the owner about packets and handed-over flows.

use super::Ownership;
use super::cluster::Cluster;
use super::decision::{BucketState, DropCause, UnpinnedDecision, decide_unpinned};
use super::effect::OwnershipEffect;
use super::leader::Leader;
use super::message::{HandoverBatch, LearnedFlow, OwnershipMessage, RelayedPacket};
use super::pending::{PacketAction, PendingItem, PendingPacket, PendingReceipt};
use super::pin::{Pin, PinChange, PinDestination, PinKey, SettledMark, decode_runs};
use super::placement::{BackendSelection, Candidate, Hashed, LeastLoaded};
use super::settings::Ablation;
use crate::flow::{EscalationKind, FlowPlace, SettledBucket};
use crate::generation::Placement;
use crate::identity::{BackendId, GroupIndex, NodeId};
use crate::node::RefusalReason;
use crate::time::Timestamp;

/// The next step for a packet at its owner.
enum Step {
    Execute(PacketAction),
    AwaitCommit(u64, PacketAction),
    Drop(DropCause),
    PinsFull,
    LogFull,
    UnknownPlace,
    AwaitGeneration,
}

impl Ownership {
    /// Decides a packet as the serving owner of `group`.
    pub(super) fn decide(&mut self, now: Timestamp, group: GroupIndex, relayed: RelayedPacket) {
        self.counters.decided += 1;
        self.active_groups.insert(group);
        match self.next_step(now, group, &relayed) {
            Step::Execute(action) => {
                let place = relayed.escalation.place;
                self.execute(relayed.origin, place, action, relayed.packet);
            }
            Step::AwaitCommit(sequence, action) => {
                self.hold_until_commit(now, group, sequence, action, relayed)
            }
            Step::Drop(DropCause::BaseDead) => self.counters.dropped.base_dead += 1,
            Step::Drop(DropCause::GenerationSkew) => self.counters.dropped.generation_skew += 1,
            Step::PinsFull => self.counters.dropped.pins_full += 1,
            Step::LogFull => self.counters.dropped.queue_full += 1,
            Step::UnknownPlace => self.counters.dropped.unknown_place += 1,
            Step::AwaitGeneration => self.queue_packet(now, relayed),
        }
    }

    fn next_step(&mut self, now: Timestamp, group: GroupIndex, relayed: &RelayedPacket) -> Step {
        let key = PinKey::from(relayed.escalation.place);
        if let Some(pin) = self.touch_pin(now, group, &key) {
            return self.step_for_pinned(group, &key, relayed.escalation.place, pin);
        }
        let Some(decision) = self.decide_unpinned_packet(group, relayed) else {
            return Step::UnknownPlace;
        };
        match decision {
            UnpinnedDecision::PinToBase(base) => self.pin_flow(
                now,
                group,
                key,
                PinDestination::Backend(base),
                PacketAction::Forward(base),
            ),
            UnpinnedDecision::Place => self.place_flow(now, group, relayed.escalation.place),
            UnpinnedDecision::Confirm(action) => self.confirm_ownership(group, action),
            UnpinnedDecision::Drop(cause) => Step::Drop(cause),
            UnpinnedDecision::AwaitGeneration => Step::AwaitGeneration,
        }
    }

    fn touch_pin(&mut self, now: Timestamp, group: GroupIndex, key: &PinKey) -> Option<Pin> {
        let pins = self.groups.get_mut(&group)?.acceptor.pins_mut();
        let pin = pins.get_mut(key)?;
        pin.last_used = now;
        Some(*pin)
    }

    fn step_for_pinned(
        &mut self,
        group: GroupIndex,
        key: &PinKey,
        place: FlowPlace,
        pin: Pin,
    ) -> Step {
        let action = match pin.destination {
            PinDestination::Refused => PacketAction::Refuse(RefusalReason::NoBackend),
            PinDestination::Backend(backend) if self.backend_accepts_packets(backend, place) => {
                PacketAction::Forward(backend)
            }
            PinDestination::Backend(backend) if self.has_allocated(backend) => PacketAction::Reset,
            PinDestination::Backend(_) => return Step::AwaitGeneration,
        };
        let leader = self.groups.get_mut(&group).and_then(|group| group.leader());
        match leader.and_then(|leader| leader.uncommitted_batch(key)) {
            Some(sequence) if self.requires_replication() => Step::AwaitCommit(sequence, action),
            _ => Step::Execute(action),
        }
    }

    fn backend_accepts_packets(&self, backend: BackendId, place: FlowPlace) -> bool {
        let cluster = self.cluster.as_ref();
        cluster.is_some_and(|cluster| cluster.accepts_packets(backend, place.service))
    }

    fn has_allocated(&self, backend: BackendId) -> bool {
        let cluster = self.cluster.as_ref();
        cluster.is_some_and(|cluster| cluster.has_allocated(backend))
    }

    fn requires_replication(&self) -> bool {
        self.settings.ablation != Ablation::NoPinReplication
    }

    fn decide_unpinned_packet(
        &self,
        group: GroupIndex,
        relayed: &RelayedPacket,
    ) -> Option<UnpinnedDecision> {
        let cluster = self.cluster.as_ref()?;
        let (service, bucket) = cluster.bucket(relayed.escalation.place)?;
        let installed = self.groups.get(&group)?.acceptor.installed();
        let pins_lost_before = installed.map_or(cluster.number(), |copy| copy.pins_lost_before);
        let settled = SettledBucket {
            service: service.id,
            bucket: relayed.escalation.place.bucket,
        };
        let mark = self.groups.get(&group)?.acceptor.pins().mark(settled);
        let is_current = |mark: &SettledMark| {
            mark.contested_since == bucket.contested_since && mark.target == bucket.target
        };
        let skips_barrier = self.settings.ablation == Ablation::NoBarrierWait;
        let state = BucketState {
            barrier_passed: skips_barrier || bucket.contested_since <= self.membership.barrier,
            pins_lost: bucket.contested_since < pins_lost_before,
            is_settled: mark.as_ref().is_some_and(is_current),
            relay_generation: relayed.generation,
        };
        Some(decide_unpinned(
            cluster,
            service,
            bucket,
            relayed.escalation,
            state,
        ))
    }

    fn confirm_ownership(&mut self, group: GroupIndex, action: PacketAction) -> Step {
        if self.settings.ablation == Ablation::NoReadConfirmation {
            return Step::Execute(action);
        }
        match self.groups.get_mut(&group).and_then(|group| group.leader()) {
            Some(leader) => Step::AwaitCommit(leader.request_confirmation(), action),
            None => Step::LogFull,
        }
    }

    fn place_flow(&mut self, now: Timestamp, group: GroupIndex, place: FlowPlace) -> Step {
        let key = PinKey::from(place);
        match self.select(now, group, place) {
            Some(backend) => {
                let destination = PinDestination::Backend(backend);
                self.pin_flow(now, group, key, destination, PacketAction::Forward(backend))
            }
            None => {
                let action = PacketAction::Refuse(RefusalReason::NoBackend);
                self.pin_flow(now, group, key, PinDestination::Refused, action)
            }
        }
    }

    fn select(&mut self, now: Timestamp, group: GroupIndex, place: FlowPlace) -> Option<BackendId> {
        let cluster = self.cluster.as_ref()?;
        let (service, bucket) = cluster.bucket(place)?;
        let leader = self.groups.get_mut(&group)?.leader()?;
        let candidate = |backend: BackendId, weight: u32| Candidate {
            backend,
            weight,
            open_flows: leader.open_flows(backend),
            load: self.load_reports.recent(now, backend),
        };
        if service.placement == Placement::Hashed {
            let target = bucket
                .target
                .filter(|target| cluster.accepts_flows(*target, service.id));
            let candidates: Vec<Candidate> =
                target.iter().map(|target| candidate(*target, 1)).collect();
            return Hashed { target }.select(&candidates);
        }
        let accepts_flows = |share: &&crate::generation::ServiceBackend| {
            share.weight > 0 && cluster.accepts_flows(share.backend, service.id)
        };
        let shares = service.backends.iter().filter(accepts_flows);
        let candidates: Vec<Candidate> = shares
            .map(|share| candidate(share.backend, share.weight))
            .collect();
        let random = &mut self.random;
        LeastLoaded { random }.select(&candidates)
    }

    /// Pins a flow. Its packet waits for a majority of the replicas.
    fn pin_flow(
        &mut self,
        now: Timestamp,
        group: GroupIndex,
        key: PinKey,
        destination: PinDestination,
        action: PacketAction,
    ) -> Step {
        if self.owned_pins >= self.settings.max_pins {
            return Step::PinsFull;
        }
        let limits = self.log_limits();
        let Some(state) = self.groups.get_mut(&group) else {
            return Step::LogFull;
        };
        let Some(leader) = state.leader().filter(|leader| leader.has_capacity(limits)) else {
            return Step::LogFull;
        };
        let change = PinChange::set(destination);
        let sequence = leader.append(key, change, limits);
        leader.count_opened(destination);
        state.acceptor.pins_mut().apply_change(now, key, change);
        self.owned_pins += 1;
        match destination {
            PinDestination::Backend(_) => self.counters.pinned += 1,
            PinDestination::Refused => self.counters.refused += 1,
        }
        if self.requires_replication() {
            return Step::AwaitCommit(sequence, action);
        }
        Step::Execute(action)
    }

    fn hold_until_commit(
        &mut self,
        now: Timestamp,
        group: GroupIndex,
        sequence: u64,
        action: PacketAction,
        relayed: RelayedPacket,
    ) {
        if !self.packet_budget.take(&relayed.packet) {
            self.counters.dropped.queue_full += 1;
            return;
        }
        let pending = PendingPacket {
            origin: relayed.origin,
            escalation: relayed.escalation,
            action,
            packet: relayed.packet,
            deadline: now.after(self.settings.packet_timeout),
        };
        if let Some(leader) = self.groups.get_mut(&group).and_then(|group| group.leader()) {
            leader.add_pending(sequence, PendingItem::Packet(pending));
        }
    }

    /// Completes the items whose batches are committed.
    pub(super) fn complete_committed(&mut self, group: GroupIndex) {
        let number = self.cluster.as_ref().map(Cluster::number);
        let Some(leader) = self.groups.get_mut(&group).and_then(|group| group.leader()) else {
            return;
        };
        let mut clean = Vec::new();
        for item in leader.take_committed() {
            match item {
                PendingItem::Packet(pending) => {
                    self.packet_budget.give_back(&pending.packet);
                    let place = pending.escalation.place;
                    self.execute(pending.origin, place, pending.action, pending.packet);
                }
                PendingItem::Receipt(pending) => {
                    self.confirm_handover(pending);
                }
                PendingItem::Clean(pending) if Some(pending.decided_under) == number => {
                    clean.push(pending.settled);
                }
                PendingItem::Clean(_) => {}
            }
        }
        if !clean.is_empty() {
            self.effects.push(OwnershipEffect::MarkClean(clean));
        }
    }

    fn confirm_handover(&mut self, pending: PendingReceipt) {
        if pending.to == self.node {
            let message = OwnershipMessage::HandoverConfirmed(vec![pending.receipt]);
            self.send(pending.to, message);
        } else {
            self.outbox.confirmed(pending.to, pending.receipt);
        }
    }

    fn execute(&mut self, origin: NodeId, place: FlowPlace, action: PacketAction, packet: Vec<u8>) {
        match action {
            PacketAction::Forward(backend) => {
                self.report_learned_flow(origin, LearnedFlow { place, backend });
                self.effects
                    .push(OwnershipEffect::Forward { backend, packet });
            }
            PacketAction::Refuse(reason) => self.effects.push(OwnershipEffect::Refuse {
                service: place.service,
                reason,
                packet,
            }),
            PacketAction::Reset => self.effects.push(OwnershipEffect::Reset { packet }),
        }
    }

    fn report_learned_flow(&mut self, origin: NodeId, learned: LearnedFlow) {
        if origin != self.node {
            self.outbox.learned(origin, learned);
            return;
        }
        let LearnedFlow { place, backend } = learned;
        self.effects.push(OwnershipEffect::Learn { place, backend });
    }

    /// Stores a part of a handover list and confirms it once a majority stores it. A repeated part
    /// whose confirmation is pending is ignored.
    pub(super) fn handle_handover(&mut self, now: Timestamp, from: NodeId, batch: HandoverBatch) {
        let known = self.cluster.as_ref().map(Cluster::number);
        if known.is_none_or(|number| number < batch.receipt.generation) {
            self.early_handovers.insert(from, batch);
            return;
        }
        let limits = self.log_limits();
        let receipt = PendingReceipt {
            to: from,
            receipt: batch.receipt,
            deadline: now.after(self.settings.abandon_timeout),
        };
        let Some(state) = self.groups.get_mut(&batch.group) else {
            return;
        };
        if state.claim().is_some() || state.leader().is_some_and(|leader| !leader.serves()) {
            self.early_handovers.insert(from, batch);
            return;
        }
        if state
            .serving()
            .is_none_or(|leader| !leader.has_capacity(limits))
        {
            return;
        }
        let is_pending = |leader: &mut Leader| leader.has_pending_receipt(&receipt);
        if state.serving().is_some_and(is_pending) {
            return;
        }
        self.active_groups.insert(batch.group);
        let mut new_pins = Vec::new();
        for (key, change) in decode_runs(&batch.runs) {
            if state.acceptor.pins().get(&key).is_none() {
                new_pins.push((key, change));
            }
        }
        let Some(leader) = state.leader() else {
            return;
        };
        for (key, change) in &new_pins {
            leader.append(*key, *change, limits);
            if let Some(destination) = change.decode() {
                leader.count_opened(destination);
            }
        }
        let sequence = leader.request_confirmation();
        leader.add_pending(sequence, PendingItem::Receipt(receipt));
        for (key, change) in new_pins {
            state.acceptor.pins_mut().apply_change(now, key, change);
        }
    }

    /// Returns whether a packet may wait for an owner. The caller retransmits opening packets in
    /// any case.
    pub(super) fn is_queueable(relayed: &RelayedPacket) -> bool {
        relayed.escalation.kind == EscalationKind::Other
    }
}
