//! Kinds of messages between balancers, as costs are split by.

use bellyoke_core::node::ownership::OwnershipMessage;
use bellyoke_core::node::{
    BarrierMessage, DisseminationMessage, LeaseMessage, MembershipMessage, Message, MessageBody,
};
use std::fmt;

/// What a message is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MessageKind {
    /// Probes, their answers and what rides on them.
    Probe,
    /// Joining, and full member states.
    MemberState,
    /// Renewals and grants of leases.
    Lease,
    /// News of a generation, and requests for its content.
    GenerationNews,
    /// Content of generations.
    GenerationContent,
    /// Acknowledgements of a generation.
    Acknowledgement,
    /// News that a barrier has passed.
    BarrierPassed,
    /// Who owns a group: claims, promises and hints.
    Claim,
    /// Pins between replicas.
    Replication,
    /// Lists of flows that were opened before a switch.
    Handover,
    /// Ended flows and settled buckets.
    Settlement,
    /// Packets on their way to an owner. They are traffic: no part of the control budget.
    Relay,
    /// Where relayed flows are.
    Learned,
}

impl MessageKind {
    /// The kind of `message`.
    #[must_use]
    pub fn of(message: &Message) -> Self {
        match &message.body {
            MessageBody::Membership(body) => match body {
                MembershipMessage::Join { .. } | MembershipMessage::State { .. } => {
                    Self::MemberState
                }
                _ => Self::Probe,
            },
            MessageBody::Lease(LeaseMessage::Renewal { .. } | LeaseMessage::Grant { .. }) => {
                Self::Lease
            }
            MessageBody::Dissemination(DisseminationMessage::Chunk(_)) => Self::GenerationContent,
            MessageBody::Dissemination(_) => Self::GenerationNews,
            MessageBody::Barrier(BarrierMessage::Passed) => Self::BarrierPassed,
            MessageBody::Barrier(_) => Self::Acknowledgement,
            MessageBody::Ownership(body) => Self::of_ownership(body),
        }
    }

    fn of_ownership(message: &OwnershipMessage) -> Self {
        match message {
            OwnershipMessage::Relay(_) => Self::Relay,
            OwnershipMessage::Learned(_) => Self::Learned,
            OwnershipMessage::Replicate(_) | OwnershipMessage::Replicated(_) => Self::Replication,
            OwnershipMessage::Handover(_) | OwnershipMessage::HandoverConfirmed(_) => {
                Self::Handover
            }
            OwnershipMessage::EndedFlows(_)
            | OwnershipMessage::Settled(_)
            | OwnershipMessage::SettledRound(_) => Self::Settlement,
            _ => Self::Claim,
        }
    }

    /// Whether it counts against the control budget.
    #[must_use]
    pub fn is_control(self) -> bool {
        self != Self::Relay
    }
}

impl fmt::Display for MessageKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Probe => "probe",
            Self::MemberState => "member-state",
            Self::Lease => "lease",
            Self::GenerationNews => "generation-news",
            Self::GenerationContent => "generation-content",
            Self::Acknowledgement => "acknowledgement",
            Self::BarrierPassed => "barrier-passed",
            Self::Claim => "claim",
            Self::Replication => "replication",
            Self::Handover => "handover",
            Self::Settlement => "settlement",
            Self::Relay => "relay",
            Self::Learned => "learned",
        })
    }
}
