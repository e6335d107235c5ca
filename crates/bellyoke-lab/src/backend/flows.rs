//! Which flows have been opened on this backend, and which of them are open.

use std::collections::{HashMap, HashSet, VecDeque};

use super::work::ConnectionId;
use crate::network::{FlowKey, PacketSummary, Role};

/// Flows that are remembered.
const REMEMBERED_FLOWS: usize = 200_000;

/// What a packet is to the backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// A packet for the stack.
    Expected,
    /// A packet that continues a flow which wasn't opened here.
    Stray,
    /// The opening packet of a flow that is open already.
    Repeated,
}

/// The open flows, and those opened last.
#[derive(Debug, Default)]
pub struct Flows {
    open: HashMap<FlowKey, ConnectionId>,
    opened: HashSet<FlowKey>,
    order: VecDeque<FlowKey>,
}

impl Flows {
    /// Notes a packet.
    pub fn note(&mut self, packet: &PacketSummary) -> Arrival {
        match packet.role {
            Role::Opening if self.open.contains_key(&packet.flow) => Arrival::Repeated,
            Role::Opening => {
                self.remember(packet.flow);
                Arrival::Expected
            }
            Role::Continuing if !self.opened.contains(&packet.flow) => Arrival::Stray,
            Role::Continuing | Role::Reset | Role::Other => Arrival::Expected,
        }
    }

    /// Notes that a flow has a connection.
    pub fn open(&mut self, flow: FlowKey, connection: ConnectionId) {
        self.open.insert(flow, connection);
    }

    /// Notes that a flow's connection has ended.
    pub fn close(&mut self, flow: &FlowKey) {
        self.open.remove(flow);
    }

    /// The connection of an open flow.
    pub fn connection(&self, flow: &FlowKey) -> Option<ConnectionId> {
        self.open.get(flow).copied()
    }

    fn remember(&mut self, flow: FlowKey) {
        if !self.opened.insert(flow) {
            return;
        }
        self.order.push_back(flow);
        if self.order.len() > REMEMBERED_FLOWS
            && let Some(oldest) = self.order.pop_front()
        {
            self.opened.remove(&oldest);
        }
    }
}
