//! What operators, chance and faults do while an experiment runs.

use super::World;
use super::event::Event;
use super::network::NodeIndex;
use crate::experiment::settings::Action;
use crate::experiment::strategy::{BackendIndex, ServiceIndex};
use bellyoke_core::time::Timestamp;
use rand::RngExt;
use std::time::Duration;

/// Time between the start of a balancer and the planned stop of the one it replaces.
const REPLACEMENT_OVERLAP: Duration = Duration::from_secs(5);

impl World<'_> {
    pub(super) fn schedule_timeline(&mut self) {
        for (index, event) in self.timeline.events.iter().enumerate() {
            for repetition in 0..event.times {
                let seconds = event.at_seconds + f64::from(repetition) * event.every_seconds;
                let at = Timestamp::from_micros((seconds * 1_000_000.0) as u64);
                self.queue.schedule(at, Event::Timeline { index });
            }
        }
    }

    pub(super) fn timeline_event(&mut self, index: usize) {
        if self.waits_for_store(index) {
            let up = self.store.down_until;
            self.queue.schedule(up, Event::Timeline { index });
            return;
        }
        match self.timeline.events[index].action.clone() {
            Action::DrainBackend { service } => self.drain_backend(&service),
            Action::AddBackend { service } => {
                let service = self.service_named(&service);
                self.add_backend(service);
                self.publish_objects();
            }
            Action::KillBackend { service } => {
                if let Some(backend) = self.choose_backend(&service) {
                    self.kill_backend(backend);
                    self.publish_objects();
                }
            }
            Action::MoveBackend { from, to } => self.move_backend(&from, &to),
            Action::ReplaceBalancer => self.replace_balancer(),
            Action::AddBalancer => {
                self.start_node();
            }
            Action::KillBalancers { count } => self.kill_balancers(count),
            Action::PauseBalancer { seconds } => self.pause_balancer(seconds),
            Action::CutBalancer { seconds } => {
                if let Some(node) = self.choose_node() {
                    let until = self.now.after(Duration::from_secs_f64(seconds));
                    self.nodes[node.0 as usize].cut_until = until;
                }
            }
            Action::StoreDown { seconds } => {
                self.store.down_until = self.now.after(Duration::from_secs_f64(seconds));
            }
            Action::StoreSlow {
                seconds,
                delay_milliseconds,
            } => {
                self.store.slow_until = self.now.after(Duration::from_secs_f64(seconds));
                self.store.slow_delay = Duration::from_millis(delay_milliseconds.into());
            }
            Action::LoseStoreAnswer => self.store.lose_answer = true,
        }
    }

    /// An operator's write isn't accepted while the store is down: the operator tries
    /// again when it is up.
    fn waits_for_store(&self, index: usize) -> bool {
        let is_write = matches!(
            self.timeline.events[index].action,
            Action::DrainBackend { .. } | Action::AddBackend { .. } | Action::MoveBackend { .. }
        );
        is_write && self.store.down_until > self.now
    }

    fn service_named(&self, name: &str) -> usize {
        let services = &self.experiment.services;
        services
            .iter()
            .position(|service| service.name == name)
            .unwrap_or_default()
    }

    fn choose_backend(&mut self, service: &str) -> Option<BackendIndex> {
        let service = ServiceIndex(self.service_named(service) as u32);
        let active: Vec<u32> = (0..self.backends.len() as u32)
            .filter(|index| {
                let backend = &self.backends[*index as usize];
                backend.alive && !backend.draining && backend.service == service
            })
            .collect();
        if active.len() < 2 {
            return None;
        }
        let choice = self.timeline_random.random_range(0..active.len());
        Some(BackendIndex(active[choice]))
    }

    fn drain_backend(&mut self, service: &str) {
        if let Some(index) = self.choose_backend(service) {
            self.backend(index).draining = true;
            self.measurements.drain_accepted(self.now, index);
            self.publish_objects();
        }
    }

    fn move_backend(&mut self, from: &str, to: &str) {
        let to = ServiceIndex(self.service_named(to) as u32);
        if let Some(index) = self.choose_backend(from) {
            let backend = self.backend(index);
            backend.service = to;
            backend.labelled.push(to);
            self.publish_objects();
        }
    }

    fn choose_node(&mut self) -> Option<NodeIndex> {
        let alive: Vec<u32> = (0..self.nodes.len() as u32)
            .filter(|index| self.node(NodeIndex(*index)).alive)
            .collect();
        if alive.len() < 2 {
            return None;
        }
        let choice = self.timeline_random.random_range(0..alive.len());
        Some(NodeIndex(alive[choice]))
    }

    fn replace_balancer(&mut self) {
        self.start_node();
        self.queue
            .schedule(self.now.after(REPLACEMENT_OVERLAP), Event::PlannedLeave);
    }

    pub(super) fn planned_leave(&mut self) {
        let Some(node) = self.choose_node() else {
            return;
        };
        let lag = self.fabric_lag();
        self.queue.schedule(
            self.now.after(lag),
            Event::FabricList {
                node,
                listed: false,
            },
        );
        self.strategy
            .node_leaving(self.now, node, &mut self.effects);
    }

    fn kill_balancers(&mut self, count: u32) {
        for _ in 0..count {
            let Some(node) = self.choose_node() else {
                return;
            };
            self.nodes[node.0 as usize].alive = false;
            self.strategy.node_failed(node);
            let lag = self.fabric_lag();
            self.queue.schedule(
                self.now.after(lag),
                Event::FabricList {
                    node,
                    listed: false,
                },
            );
        }
    }

    fn pause_balancer(&mut self, seconds: f64) {
        let Some(node) = self.choose_node() else {
            return;
        };
        let thaw = self.now.after(Duration::from_secs_f64(seconds));
        self.nodes[node.0 as usize].paused_until = thaw;
        let lag = self.fabric_lag();
        for (at, listed) in [(self.now, false), (thaw, true)] {
            self.queue
                .schedule(at.after(lag), Event::FabricList { node, listed });
        }
    }
}
