//! Direct and indirect probes, and suspicion of members that don't answer.

use super::message::MembershipMessage;
use super::record::MemberState;
use super::{Membership, MembershipEffect};
use crate::identity::NodeId;
use crate::node::budget::Priority;
use crate::time::Timestamp;
use rand::seq::IndexedRandom;

impl Membership {
    pub(super) fn probe_indirectly(&mut self, now: Timestamp) -> Vec<MembershipEffect> {
        let Some(probe) = self.prober.current_mut() else {
            return Vec::new();
        };
        if probe.indirect_at.is_none_or(|at| at > now) {
            return Vec::new();
        }
        probe.indirect_at = None;
        let (target, sequence) = (probe.target, probe.sequence);
        let mut helpers = self.live_peers();
        helpers.retain(|node| *node != target);
        let count = self.settings.indirect_probes;
        let helpers: Vec<NodeId> = helpers.sample(&mut self.random, count).copied().collect();
        let mut effects = Vec::new();
        for helper in helpers {
            let message = MembershipMessage::ProbeRequest { sequence, target };
            effects.extend(self.send(helper, Priority::Probe, message));
        }
        effects
    }

    pub(super) fn start_probe_period(&mut self, now: Timestamp) -> Vec<MembershipEffect> {
        self.next_probe_at = now.after(self.settings.probe_period);
        self.prober.expire_relayed(now);
        self.table.remove_expired(now);
        let mut effects = self.suspect_unanswered(now);
        let live = self.live_peers();
        if let Some(target) = self.prober.next_target(&live, &mut self.random) {
            let indirect_at = now.after(self.settings.probe_timeout);
            let sequence = self.prober.start(target, indirect_at);
            effects.extend(self.send_probe(target, sequence));
        }
        effects
    }

    pub(super) fn suspect_unanswered(&mut self, now: Timestamp) -> Vec<MembershipEffect> {
        let Some(probe) = self.prober.finish() else {
            return Vec::new();
        };
        let Some(known) = self.table.get(probe.target) else {
            return Vec::new();
        };
        let mut update = known.update();
        update.state = MemberState::Suspected;
        self.apply_update(now, &update)
    }

    pub(super) fn send_probe(&mut self, target: NodeId, sequence: u32) -> Option<MembershipEffect> {
        let updates = self.updates_for(target);
        let message = MembershipMessage::Probe { sequence, updates };
        self.send(target, Priority::Probe, message)
    }

    pub(super) fn probe_on_behalf_of(
        &mut self,
        now: Timestamp,
        origin: NodeId,
        origin_sequence: u32,
        target: NodeId,
    ) -> Option<MembershipEffect> {
        let expires_at = now.after(self.settings.probe_period);
        let sequence = self
            .prober
            .start_relayed(origin, origin_sequence, expires_at)?;
        self.send_probe(target, sequence)
    }

    pub(super) fn send_probe_answer(
        &mut self,
        to: NodeId,
        sequence: u32,
    ) -> Option<MembershipEffect> {
        let updates = self.updates_for(to);
        let message = MembershipMessage::ProbeAnswer { sequence, updates };
        self.send(to, Priority::Probe, message)
    }

    pub(super) fn handle_probe_answer(&mut self, sequence: u32) -> Option<MembershipEffect> {
        if self
            .prober
            .current()
            .is_some_and(|probe| probe.sequence == sequence)
        {
            self.prober.finish();
            return None;
        }
        let relayed = self.prober.take_relayed(sequence)?;
        self.send_probe_answer(relayed.origin, relayed.origin_sequence)
    }
}
