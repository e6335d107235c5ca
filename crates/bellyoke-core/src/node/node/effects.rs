//! Converts the effects of a node's protocols into outputs, messages and inputs of other
//! protocols.

use super::Node;
use crate::identity::GenerationNumber;
use crate::node::barrier::BarrierEffect;
use crate::node::budget::Priority;
use crate::node::dissemination::DisseminationEffect;
use crate::node::interface::{NodeEvent, Output, Proposal};
use crate::node::lease::LeaseChange;
use crate::node::membership::{MemberChange, MembershipEffect};
use crate::node::message::MessageBody;
use crate::node::ownership::OwnershipEffect;
use crate::node::status::RejectedTransfer;
use crate::time::Timestamp;

impl Node {
    pub(super) fn apply_membership(&mut self, now: Timestamp, effects: Vec<MembershipEffect>) {
        for effect in effects {
            match effect {
                MembershipEffect::Send(transmission) => self.push(transmission),
                MembershipEffect::Change(change) => self.apply_change(now, change),
            }
        }
    }

    fn apply_change(&mut self, now: Timestamp, change: MemberChange) {
        if let Some(event) = member_event(change) {
            self.outputs.push(Output::Event(event));
        }
        let effects = match change {
            MemberChange::Joined(node) | MemberChange::Recovered(node) => {
                self.ownership.member_alive(now, node)
            }
            MemberChange::Suspected(node)
            | MemberChange::Failed(node)
            | MemberChange::Left(node) => self.ownership.member_failed(now, node),
            MemberChange::Leaving(_) => Vec::new(),
        };
        self.apply_ownership(now, effects);
    }

    pub(super) fn apply_lease(&mut self, changes: Vec<LeaseChange>) {
        for change in changes {
            self.outputs.push(match change {
                LeaseChange::ValidUntil(until) => Output::Lease(until),
                LeaseChange::Expired => Output::Event(NodeEvent::Fenced),
                LeaseChange::Renewed => Output::Event(NodeEvent::Unfenced),
            });
        }
    }

    pub(super) fn apply_dissemination(
        &mut self,
        now: Timestamp,
        effects: Vec<DisseminationEffect>,
    ) {
        for effect in effects {
            match effect {
                DisseminationEffect::Send { to, message } => {
                    let body = MessageBody::Dissemination(message);
                    self.send(to, Priority::Agreement, body);
                }
                DisseminationEffect::Received(generation, sets) => {
                    self.apply_generation(now, &generation, &sets);
                }
                DisseminationEffect::ReceivedMemberSets(sets) => {
                    self.barrier.merge_member_sets(now, &sets);
                }
                DisseminationEffect::Rejected(from, error) => {
                    self.rejected_transfer = Some(RejectedTransfer { from, error });
                }
            }
        }
    }

    pub(super) fn apply_barrier(&mut self, now: Timestamp, effects: Vec<BarrierEffect>) {
        for effect in effects {
            match effect {
                BarrierEffect::Send { to, message } => {
                    self.send(to, Priority::Agreement, MessageBody::Barrier(message));
                }
                BarrierEffect::SendToRandomPeers(message) => {
                    self.send_to_random_peers(MessageBody::Barrier(message));
                }
                BarrierEffect::FetchMemberSets { from } => {
                    let effects = self.dissemination.fetch_member_sets(now, from);
                    self.apply_dissemination(now, effects);
                }
                BarrierEffect::Passed(_) => self.report_barrier(now),
            }
        }
    }

    pub(super) fn apply_ownership(&mut self, now: Timestamp, effects: Vec<OwnershipEffect>) {
        for effect in effects {
            match effect {
                OwnershipEffect::Send { to, message } => self.send_ownership(to, message),
                OwnershipEffect::Forward { backend, packet } => {
                    self.outputs.push(Output::Forward { backend, packet });
                }
                OwnershipEffect::Learn { place, backend } => {
                    self.outputs.push(Output::Learn { place, backend });
                }
                OwnershipEffect::Refuse {
                    service,
                    reason,
                    packet,
                } => self.outputs.push(Output::Refuse {
                    service,
                    reason,
                    packet,
                }),
                OwnershipEffect::Reset { packet } => self.outputs.push(Output::Reset { packet }),
                OwnershipEffect::Acknowledge(generation) => self.acknowledge(now, generation),
                OwnershipEffect::MarkClean(buckets) => {
                    let generation = self.known_number();
                    let proposal = Proposal::MarkClean {
                        generation,
                        buckets,
                    };
                    self.outputs.push(Output::Propose(proposal));
                }
                OwnershipEffect::Event(event) => self.outputs.push(Output::Event(event)),
            }
        }
    }

    fn acknowledge(&mut self, now: Timestamp, generation: GenerationNumber) {
        self.membership
            .record_acknowledgement(self.identity.node, generation);
        self.barrier.acknowledge(now, generation);
    }
}

fn member_event(change: MemberChange) -> Option<NodeEvent> {
    match change {
        MemberChange::Joined(node) => Some(NodeEvent::MemberJoined(node)),
        MemberChange::Suspected(node) => Some(NodeEvent::MemberSuspected(node)),
        MemberChange::Failed(node) => Some(NodeEvent::MemberFailed(node)),
        MemberChange::Left(node) => Some(NodeEvent::MemberLeft(node)),
        MemberChange::Recovered(_) | MemberChange::Leaving(_) => None,
    }
}
