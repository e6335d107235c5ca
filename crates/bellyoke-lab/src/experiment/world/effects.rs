//! What balancers do reaches the world here, and what reaches balancers.

use super::World;
use super::event::Event;
use super::flow::Ending;
use super::network::{NodeIndex, NodeState};
use super::packet::FlowPacket;
use crate::experiment::strategy::{BackendIndex, ControlPayload, Effect};
use bellyoke_core::generation::Zone;
use bellyoke_core::time::Timestamp;
use rand::RngExt;
use std::time::Duration;

/// Packets that a frozen balancer's socket holds.
const SOCKET_BUFFER_PACKETS: u32 = 512;

impl World<'_> {
    pub(super) fn start_node(&mut self) -> NodeIndex {
        let index = NodeIndex(self.nodes.len() as u32);
        let zones = &self.experiment.cluster.zones;
        let zone = self.nodes.len() % zones.len();
        self.nodes.push(NodeState {
            zone,
            alive: true,
            paused_until: Timestamp::ZERO,
            cut_until: Timestamp::ZERO,
            buffered: 0,
            control_bytes: 0,
            started_at: self.now,
        });
        let zone = Zone(zones[zone].clone());
        self.strategy
            .node_started(self.now, index, &zone, &mut self.effects);
        self.show_store_to(index);
        let lag = self.fabric_lag();
        self.queue.schedule(
            self.now.after(lag),
            Event::FabricList {
                node: index,
                listed: true,
            },
        );
        index
    }

    pub(super) fn fabric_lag(&self) -> Duration {
        if self.now == Timestamp::ZERO {
            return Duration::ZERO;
        }
        Duration::from_millis(self.experiment.cluster.fabric_lag_milliseconds.into())
    }

    pub(super) fn set_listed(&mut self, node: NodeIndex, listed: bool) {
        self.listed.retain(|known| *known != node);
        if listed && self.node(node).alive {
            self.listed.push(node);
        }
    }

    /// The balancer that the next packet is sprayed on.
    pub(super) fn spray(&mut self) -> Option<NodeIndex> {
        if self.listed.is_empty() {
            return None;
        }
        let choice = self.random.random_range(0..self.listed.len());
        Some(self.listed[choice])
    }

    pub(super) fn send_closing(&mut self, packet: FlowPacket) {
        let Some(node) = self.spray() else {
            return;
        };
        let delay = self.delays.to_caller(&mut self.random) * 2;
        self.queue.schedule(
            self.now.after(delay),
            Event::AtNode {
                node,
                packet,
                relayed: false,
            },
        );
    }

    pub(super) fn packet_at_node(&mut self, node: NodeIndex, packet: FlowPacket, relayed: bool) {
        if !self.node(node).alive {
            return;
        }
        if let Some(thaw) = self.frozen_until(node) {
            let state = &mut self.nodes[node.0 as usize];
            if state.buffered < SOCKET_BUFFER_PACKETS {
                state.buffered += 1;
                let event = Event::AtNode {
                    node,
                    packet,
                    relayed,
                };
                self.queue.schedule(thaw, event);
            }
            return;
        }
        self.nodes[node.0 as usize].buffered = 0;
        self.measurements.packet_at_node(relayed);
        self.strategy
            .packet(self.now, node, &packet, relayed, &mut self.effects);
    }

    fn frozen_until(&self, node: NodeIndex) -> Option<Timestamp> {
        let until = self.node(node).paused_until;
        (until > self.now).then_some(until)
    }

    pub(super) fn control_at_node(
        &mut self,
        node: NodeIndex,
        from: NodeIndex,
        payload: ControlPayload,
    ) {
        if !self.node(node).alive || self.node(node).cut_until > self.now {
            return;
        }
        if let Some(thaw) = self.frozen_until(node) {
            let event = Event::Control {
                node,
                from,
                payload,
            };
            self.queue.schedule(thaw, event);
            return;
        }
        self.strategy
            .control(self.now, node, from, &payload, &mut self.effects);
    }

    pub(super) fn node_timer(&mut self, node: NodeIndex) {
        if !self.node(node).alive {
            return;
        }
        if let Some(thaw) = self.frozen_until(node) {
            self.queue.schedule(thaw, Event::NodeTimer { node });
            return;
        }
        self.strategy.timeout(self.now, node, &mut self.effects);
    }

    pub(super) fn apply_effects(&mut self) {
        while !self.effects.is_empty() {
            let effects = std::mem::take(&mut self.effects);
            for effect in effects {
                self.apply(effect);
            }
        }
    }

    fn apply(&mut self, effect: Effect) {
        match effect {
            Effect::Forward {
                node,
                backend,
                packet,
            } => self.forward(node, backend, packet),
            Effect::Relay { from, to, packet } => {
                let delay = self.delay_between_nodes(from, to);
                self.queue.schedule(
                    self.now.after(delay),
                    Event::AtNode {
                        node: to,
                        packet,
                        relayed: true,
                    },
                );
            }
            Effect::Control {
                from,
                to,
                payload,
                bytes,
                is_data,
            } => self.send_control(from, to, payload, bytes, is_data),
            Effect::Timer { node, at } => {
                let at = at.max(self.now);
                self.queue.schedule(at, Event::NodeTimer { node });
            }
            Effect::Publish { node, generation } => self.write_to_store(node, generation),
            Effect::ReadBack { node } => self.read_back(node),
            Effect::Refuse { packet } => self.end_flow(packet.flow, Ending::Refused),
            Effect::Reset { packet } => self.end_flow(packet.flow, Ending::Broken),
            Effect::InForce { node, revision } => {
                if let Some(accepted_at) = self.store.accepted_at(revision) {
                    let since = accepted_at.max(self.node(node).started_at);
                    self.measurements.in_force(self.now, self.now.since(since));
                }
            }
            Effect::Left { node } => self.nodes[node.0 as usize].alive = false,
        }
    }

    fn forward(&mut self, node: NodeIndex, backend: BackendIndex, packet: FlowPacket) {
        let from = self.node(node).zone;
        let to = self.backends[backend.0 as usize].zone;
        let delay = self.delays.between(from, to, &mut self.random);
        self.queue
            .schedule(self.now.after(delay), Event::AtBackend { backend, packet });
    }

    fn delay_between_nodes(&mut self, from: NodeIndex, to: NodeIndex) -> Duration {
        let from = self.node(from).zone;
        let to = self.node(to).zone;
        self.delays.between(from, to, &mut self.random)
    }

    fn send_control(
        &mut self,
        from: NodeIndex,
        to: NodeIndex,
        payload: ControlPayload,
        bytes: u32,
        is_data: bool,
    ) {
        let sender = &mut self.nodes[from.0 as usize];
        if is_data {
            self.measurements.relayed();
        } else {
            sender.control_bytes += u64::from(bytes);
        }
        if sender.cut_until > self.now {
            return;
        }
        let delay = self.delay_between_nodes(from, to);
        let event = Event::Control {
            node: to,
            from,
            payload,
        };
        self.queue.schedule(self.now.after(delay), event);
    }
}
