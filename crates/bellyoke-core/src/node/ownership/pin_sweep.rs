//! Removal of pins that are no longer needed.

use super::Ownership;
use super::cluster::{Cluster, is_contested};
use super::pin::{Pin, PinChange, PinDestination, PinKey, SettledMark};
use super::settings::OwnershipSettings;
use crate::flow::FlowPlace;
use crate::identity::GroupIndex;
use crate::time::Timestamp;
use std::time::Duration;

/// Maximum number of pins that one sweep removes from a group.
const MAX_PINS_PER_SWEEP: usize = 1024;

impl Ownership {
    /// Removes pins that are no longer needed from the groups that this node owns.
    ///
    /// While a bucket is contested, the pin of a flow to a backend is kept until the end of the
    /// flow is reported or the bucket is settled. Other nodes forward the flow from their own
    /// tables: the owner can't distinguish an idle flow from an active one, and without its pin
    /// the flow would go to the base. `max_pins` bounds the number of pins; at the limit, new
    /// flows are dropped and existing pins are kept. All packets of a refused flow pass through
    /// the owner, which can therefore remove its pin after the idle timeout.
    pub(super) fn sweep(&mut self, now: Timestamp) {
        let groups: Vec<GroupIndex> = self.groups.keys().copied().collect();
        for group in groups {
            let is_serving = self
                .groups
                .get_mut(&group)
                .is_some_and(|state| state.serving().is_some());
            if is_serving {
                self.sweep_group(now, group);
            }
        }
        self.load_reports.remove_expired(now);
        self.update_owned_pins();
    }

    fn sweep_group(&mut self, now: Timestamp, group: GroupIndex) {
        let Some(cluster) = &self.cluster else {
            return;
        };
        let Some(state) = self.groups.get(&group) else {
            return;
        };
        let settings = &self.settings;
        let barrier_passed = self.membership.barrier >= cluster.number();
        let pins = state.acceptor.pins().iter();
        let removable = pins
            .filter(|(key, pin)| is_removable(now, cluster, settings, barrier_passed, key, pin));
        let keys: Vec<PinKey> = removable
            .map(|(key, _)| *key)
            .take(MAX_PINS_PER_SWEEP)
            .collect();
        if !keys.is_empty() {
            self.remove_pins(now, group, &keys);
        }
        self.sweep_marks(group);
    }

    /// Removes the marks of buckets that are clean or have become contested again, once all
    /// members have acknowledged the current generation.
    fn sweep_marks(&mut self, group: GroupIndex) {
        let Some(cluster) = &self.cluster else {
            return;
        };
        let Some(state) = self.groups.get_mut(&group) else {
            return;
        };
        if self.membership.barrier < cluster.number() {
            return;
        }
        for mark in state.acceptor.pins().marks() {
            if cluster.is_contested_since(mark.settled, mark.contested_since) {
                continue;
            }
            let dropped = SettledMark {
                target: None,
                ..mark
            };
            if let Some(leader) = state.leader() {
                leader.append_mark(dropped);
            }
            state.acceptor.pins_mut().apply_mark(dropped);
            self.active_groups.insert(group);
        }
    }

    /// Removes pins on this node and on the replicas.
    pub(super) fn remove_pins(&mut self, now: Timestamp, group: GroupIndex, keys: &[PinKey]) {
        let limits = self.log_limits();
        let Some(state) = self.groups.get_mut(&group) else {
            return;
        };
        self.active_groups.insert(group);
        for key in keys {
            let pin = state.acceptor.pins().get(key).copied();
            let Some(leader) = state.leader().filter(|leader| leader.has_capacity(limits)) else {
                return;
            };
            if leader.uncommitted_batch(key).is_some() {
                continue;
            }
            leader.append(*key, PinChange::removed(), limits);
            if let Some(pin) = pin.filter(|pin| !pin.ended) {
                leader.count_ended(pin.destination);
            }
            state
                .acceptor
                .pins_mut()
                .apply_change(now, *key, PinChange::removed());
            self.counters.unpinned += 1;
        }
    }

    /// Handles reports of ended flows as the owner.
    pub(super) fn handle_ended_flows(&mut self, now: Timestamp, places: Vec<FlowPlace>) {
        for place in places {
            self.mark_flow_ended(now, place);
        }
    }

    fn mark_flow_ended(&mut self, now: Timestamp, place: FlowPlace) {
        let Some(cluster) = &self.cluster else {
            return;
        };
        let group = cluster.group(place);
        let Some(state) = self.groups.get_mut(&group) else {
            return;
        };
        let Some(pin) = state.acceptor.pins_mut().get_mut(&PinKey::from(place)) else {
            return;
        };
        let first_report = !pin.ended;
        pin.ended = true;
        pin.last_used = now;
        let destination = pin.destination;
        if let Some(leader) = state.leader().filter(|_| first_report) {
            leader.count_ended(destination);
        }
    }

    /// Reports the end of a flow to the owner.
    pub(super) fn report_flow_end(&mut self, now: Timestamp, place: FlowPlace) {
        let Some(cluster) = &self.cluster else {
            return;
        };
        let contested = cluster
            .bucket(place)
            .is_some_and(|(service, bucket)| is_contested(service, bucket));
        if !contested {
            return;
        }
        let group = cluster.group(place);
        match self.presumed_owner(group) {
            Some(owner) if owner != self.node => self.outbox.ended(owner, place),
            _ => self.mark_flow_ended(now, place),
        }
    }
}

fn is_removable(
    now: Timestamp,
    cluster: &Cluster,
    settings: &OwnershipSettings,
    barrier_passed: bool,
    key: &PinKey,
    pin: &Pin,
) -> bool {
    let idle_time = now.since(pin.last_used);
    let Some(service) = cluster.service(key.service) else {
        return idle_time >= settings.delay_horizon;
    };
    let bucket = service.bucket(key.hash.bucket(service.buckets.len()));
    let contested = bucket.is_some_and(|bucket| is_contested(service, bucket));
    let idle_timeout = Duration::from_secs(u64::from(service.idle_timeout_seconds));
    match pin.destination {
        _ if !contested => barrier_passed && idle_time >= settings.delay_horizon,
        _ if pin.ended => idle_time >= settings.ended_pin_retention,
        PinDestination::Refused => idle_time >= idle_timeout,
        PinDestination::Backend(_) => false,
    }
}
