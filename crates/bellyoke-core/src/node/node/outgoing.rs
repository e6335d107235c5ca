//! Sending of messages, by priority and within the control budget.

use super::Node;
use crate::identity::NodeId;
use crate::node::budget::{Priority, Transmission};
use crate::node::interface::{NodeEvent, Output};
use crate::node::message::{Message, MessageBody, PROTOCOL_VERSION};
use crate::node::ownership::OwnershipMessage;
use crate::time::Timestamp;

impl Node {
    /// Sends a message of the ownership protocol. Relayed packets are traffic and don't count
    /// against the control budget.
    pub(super) fn send_ownership(&mut self, to: NodeId, message: OwnershipMessage) {
        let is_traffic = matches!(message, OwnershipMessage::Relay(_));
        let body = MessageBody::Ownership(Box::new(message));
        if !is_traffic {
            self.send(to, Priority::Ownership, body);
            return;
        }
        if let Some(address) = self.membership.address(to) {
            let message = self.message(body);
            self.outputs.push(Output::Send {
                to: Some(to),
                address,
                message,
            });
        }
    }

    pub(super) fn send_to_random_peers(&mut self, body: MessageBody) {
        for peer in self.membership.random_peers(self.settings.fan_out) {
            self.send(peer, Priority::Agreement, body.clone());
        }
    }

    pub(super) fn send(&mut self, to: NodeId, priority: Priority, body: MessageBody) {
        let Some(address) = self.membership.address(to) else {
            return;
        };
        self.push(Transmission {
            to: Some(to),
            address,
            priority,
            body,
        });
    }

    pub(super) fn push(&mut self, transmission: Transmission) {
        let message = self.message(transmission.body.clone());
        match message.encode() {
            Ok(bytes) => self.budget.push(transmission, bytes.len()),
            Err(_) => self.rejected_messages += 1,
        }
    }

    fn message(&self, body: MessageBody) -> Message {
        Message {
            version: PROTOCOL_VERSION,
            sender: self.identity.node,
            generation: self.known_number(),
            acknowledged: self.barrier.acknowledged(),
            barrier: self.barrier.passed(),
            body,
        }
    }

    pub(super) fn flush(&mut self, now: Timestamp) {
        for transmission in self.budget.drain(now) {
            let message = self.message(transmission.body);
            self.outputs.push(Output::Send {
                to: transmission.to,
                address: transmission.address,
                message,
            });
        }
        self.report_exhaustion(now);
    }

    /// Reports queued messages, at most once per probe period.
    fn report_exhaustion(&mut self, now: Timestamp) {
        let has_queued_messages = self.budget.next_timeout().is_some();
        let suppressed_until = self
            .exhaustion_reported_at
            .map(|reported_at| reported_at.after(self.settings.probe_period));
        if !has_queued_messages || suppressed_until.is_some_and(|until| now < until) {
            return;
        }
        self.exhaustion_reported_at = Some(now);
        self.outputs.push(Output::Event(NodeEvent::BudgetExhausted));
    }
}
