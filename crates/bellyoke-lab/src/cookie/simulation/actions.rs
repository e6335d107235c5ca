//! The actions of a scenario.

use super::machines::RunningTarget;
use super::{Event, Simulation};
use crate::cookie::scenario::{
    Action, TARGET_ZONES, configuration, service_address, service_name, zone_name,
};
use crate::cookie::store::StoreMode;
use crate::cookie::target::TargetSettings;
use bellyoke_core::cookie::instance::{InstanceId, InstanceState};
use std::collections::BTreeSet;
use std::time::Duration;

/// Time without heartbeats after which the store deletes a target's record.
const RECORD_EXPIRY: Duration = Duration::from_millis(3_600);

/// Time after which the operator rewrites the objects that a restored store has lost.
const REWRITE_DELAY: Duration = Duration::from_millis(1_500);

/// Interval at which a target rewrites its record.
const RECORD_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

impl Simulation {
    pub(super) fn perform(&mut self, action: Action) {
        match action {
            Action::Configure { probe } => self.configure(probe),
            Action::Drain { target, serves_for } => self.drain_target(target, serves_for),
            Action::Unregister { target, serves_for } => self.unregister(target, serves_for),
            Action::Crash { target } => self.crash_target(target),
            Action::WriteStaleRecord { target } => self.write_stale_record(target),
            Action::RefuseConnections { target } => self.targets[target].refuses_connections = true,
            Action::CutTarget { target, duration } => self.cut_target(target, duration),
            Action::Start {
                service,
                address_of,
            } => {
                let address = address_of.map(|target| self.targets[target].address);
                self.start_target(service, address);
            }
            Action::DrainZone(zone) => {
                self.drained_zones.insert(zone_name(zone));
                self.store.drain_zone(self.now, &zone_name(zone));
                self.rules.record_zone_drain(self.now, zone);
            }
            Action::UndrainZone(zone) => {
                self.drained_zones.remove(&zone_name(zone));
                self.store.undrain_zone(self.now, &zone_name(zone));
                self.rules.record_zone_undrain(zone);
            }
            Action::ExpireRecords => self.expire_records(),
            Action::SetStoreMode(mode) => self.set_store_mode(mode),
            Action::Compact => {
                self.store_disturbed_at = self.now;
                self.store.compact();
            }
            Action::BackUpStore => self.store.back_up(),
            Action::RestoreStore => self.restore_store(),
            Action::SetStaleness(staleness) => {
                self.store_disturbed_at = self.now;
                self.store.staleness = staleness;
            }
            Action::CutFromStore { node, cut } => {
                self.machines[node].cut_from_store = cut;
                self.machines[node].disturbed_at = self.now;
            }
            Action::Freeze { node, duration } => self.freeze(node, duration),
            Action::Kill { node, down } => self.kill(node, down),
            Action::KillWatchers { down } => {
                for node in self.watchers() {
                    self.kill(node, down);
                }
            }
            Action::KillWatchersAndRestartInTurn { first_down, gap } => {
                for (position, node) in (0_u32..).zip(self.watchers()) {
                    self.kill(node, first_down + gap * position);
                }
            }
            Action::KillMost { survivors } => self.kill_most(survivors),
            Action::CutWatchers => {
                for node in self.watchers() {
                    self.machines[node].cut_from_store = true;
                    self.machines[node].disturbed_at = self.now;
                }
            }
            Action::Terminate { node } => self.terminate(node),
            Action::KillAll { down } => self.kill_all(down),
        }
    }

    /// Returns the nodes that watch the store on behalf of others.
    fn watchers(&self) -> Vec<usize> {
        let nodes = 0..self.machines.len();
        let watches = |node: &usize| {
            let process = self.machines[*node].running();
            process.is_some_and(|process| process.watches(self.now))
        };
        nodes.filter(watches).collect()
    }

    pub(super) fn configure(&mut self, probe: Option<usize>) {
        self.version += 1;
        let services = self.scenario.targets.len();
        let written = configuration(self.version, services, probe);
        let routes: Vec<_> = written
            .routes
            .iter()
            .map(|route| {
                let own = (0..services).find(|index| service_address(*index) == route.address);
                (route.address, own.or(probe).unwrap_or_default())
            })
            .collect();
        self.newest_configuration = Some(written.clone());
        self.store.put_configuration(self.now, written);
        self.rules.record_configuration(self.now, &routes);
    }

    fn set_store_mode(&mut self, mode: StoreMode) {
        self.store.mode = mode;
        if mode == StoreMode::Silent {
            // Connections whose answers were lost stay silent, even once the store is up again.
            self.pending_watches.clear();
        }
        self.store_disturbed_at = match mode {
            // The store counts as disturbed until its mode changes again.
            StoreMode::Silent | StoreMode::Busy => self.now.after(Duration::from_secs(3_600)),
            StoreMode::Up | StoreMode::Throttled => self.now,
        };
    }

    fn drain_target(&mut self, target: usize, serves_for: Duration) {
        let running = &mut self.targets[target];
        let Some(record) = &mut running.record else {
            return;
        };
        record.state = InstanceState::Draining;
        let (id, record) = (running.id, record.clone());
        if let Some(target) = &mut running.target {
            target.draining = true;
        }
        self.store.put_instance(self.now, record);
        self.rules.record_leaving(self.now, id);
        self.schedule(serves_for, Event::RemoveRecord(id));
        self.schedule(serves_for, Event::EndTarget(id));
    }

    fn unregister(&mut self, target: usize, serves_for: Duration) {
        let id = self.targets[target].id;
        self.targets[target].record = None;
        self.store.remove_instance(self.now, id);
        self.rules.record_leaving(self.now, id);
        self.schedule(serves_for, Event::EndTarget(id));
    }

    fn crash_target(&mut self, target: usize) {
        let id = self.targets[target].id;
        self.targets[target].record = None;
        self.end_target(id);
        self.schedule(RECORD_EXPIRY, Event::RemoveRecord(id));
    }

    fn cut_target(&mut self, target: usize, duration: Duration) {
        let cut_until = self.now.after(duration);
        let running = &mut self.targets[target];
        running.cut_until = cut_until;
        self.rules.record_target_disturbance(running.id, cut_until);
    }

    fn write_stale_record(&mut self, target: usize) {
        let running = &self.targets[target];
        let settings = TargetSettings::with_defaults(running.id, service_name(running.service));
        let record = settings.record(running.address, zone_name(target % TARGET_ZONES));
        self.store.put_instance(self.now, record);
        self.schedule(RECORD_EXPIRY, Event::RemoveRecord(settings.id));
    }

    /// Deletes all records, as if they had expired in an outage of the store. The targets rewrite
    /// them one after another.
    fn expire_records(&mut self) {
        let ids: Vec<_> = self.targets.iter().map(|target| target.id).collect();
        let interval =
            RECORD_HEARTBEAT_INTERVAL / u32::try_from(ids.len().max(1)).unwrap_or(u32::MAX);
        self.store_disturbed_at = self.now;
        for (index, id) in ids.into_iter().enumerate() {
            self.store.remove_instance(self.now, id);
            let position = u32::try_from(index).unwrap_or_default();
            self.schedule(interval * position, Event::RewriteRecord(id));
        }
    }

    /// Restores the store. The operator and the targets then rewrite the objects that it has lost.
    fn restore_store(&mut self) {
        self.store.restore();
        self.set_store_mode(StoreMode::Up);
        self.schedule(REWRITE_DELAY, Event::RewriteOperatorObjects);
        let interval = RECORD_HEARTBEAT_INTERVAL
            / u32::try_from(self.targets.len().max(1)).unwrap_or(u32::MAX);
        let ids: Vec<_> = self.targets.iter().map(|target| target.id).collect();
        for (index, id) in ids.into_iter().enumerate() {
            let position = u32::try_from(index).unwrap_or_default();
            self.schedule(interval * position, Event::RewriteRecord(id));
        }
        let listed = self.store.instances();
        let expiring: Vec<_> = listed.filter(|id| !self.is_running(*id)).collect();
        for id in expiring {
            self.schedule(RECORD_EXPIRY, Event::RemoveRecord(id));
        }
    }

    /// Returns whether `id` belongs to a running target that still writes its record.
    fn is_running(&self, id: InstanceId) -> bool {
        let running = |target: &RunningTarget| target.target.is_some() && target.record.is_some();
        self.targets
            .iter()
            .any(|target| target.id == id && running(target))
    }

    /// Rewrites the newest configuration and the drained zones where the store has lost them.
    pub(super) fn rewrite_operator_objects(&mut self) {
        let newest = self.newest_configuration.clone();
        let stored = self.store.configuration().map(|stored| stored.version);
        if let Some(newest) = newest.filter(|newest| stored != Some(newest.version)) {
            self.store.put_configuration(self.now, newest);
        }
        let stored: BTreeSet<String> = self.store.drained_zones().map(str::to_owned).collect();
        for zone in self.drained_zones.difference(&stored) {
            self.store.drain_zone(self.now, zone);
        }
        for zone in stored.difference(&self.drained_zones) {
            self.store.undrain_zone(self.now, zone);
        }
    }

    fn terminate(&mut self, node: usize) {
        let now = self.now;
        let machine = &mut self.machines[node];
        if let super::machines::MachineState::Running(process) = &mut machine.state {
            process.terminate(now);
        }
    }

    fn kill(&mut self, node: usize, down: Duration) {
        self.machines[node].disturbed_at = self.now.after(down);
        self.stop_node(node, down);
    }

    fn kill_most(&mut self, survivors: usize) {
        let watchers = self.watchers();
        let mut left: Vec<usize> = (0..self.machines.len())
            .filter(|node| !watchers.contains(node))
            .collect();
        left.sort_by_key(|node| self.scenario.zone_of(*node));
        left.truncate(survivors);
        for node in 0..self.machines.len() {
            if !left.contains(&node) {
                self.kill(node, self.scenario.duration);
            }
        }
    }

    fn kill_all(&mut self, down: Duration) {
        self.rules.record_kill_of_all(self.now);
        for node in 0..self.machines.len() {
            self.kill(node, down);
        }
    }
}
