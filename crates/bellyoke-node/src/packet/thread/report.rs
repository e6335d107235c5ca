//! Logging and metrics of the traffic thread.

use super::{PacketOutcome, TrafficThread};
use bellyoke_api::event_code::EventCode;
use bellyoke_core::cookie::admission::RequestClass;
use bellyoke_core::cookie::flow_resets::FlowReset;
use bellyoke_core::cookie::health::HealthChange;
use bellyoke_core::cookie::packet::{Destination, FlowPacket, PacketCodec};
use bellyoke_core::cookie::placement::Suitability;
use bellyoke_core::cookie::table::ForwardingTable;
use bellyoke_core::time::Timestamp;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Interval between updates of the load imbalance and the admitted shares. Computing the imbalance
/// reads the load of every instance.
const GAUGE_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

impl<Codec: PacketCodec> TrafficThread<Codec> {
    pub(super) fn update_link_state(&mut self, now: Timestamp) {
        let (rate, queued) = (self.sender.bytes_per_second(), self.sender.queued_packets());
        self.shared.packets.set_link(rate, queued);
        if rate.is_some() == self.was_paced {
            return;
        }
        self.was_paced = rate.is_some();
        self.shared
            .link_paced
            .store(rate.is_some(), Ordering::Relaxed);
        match rate {
            Some(rate) => self.limiter.log(
                EventCode::LinkPaced,
                now,
                format_args!("bytes_per_second={rate:.0} held={queued}"),
            ),
            None => self.limiter.log(EventCode::LinkFree, now, ""),
        }
    }

    /// Adapts the spill shares of services, logs their changes and updates the gauges of zones.
    pub(super) fn review_zones(&mut self, now: Timestamp, table: &ForwardingTable) {
        for change in self.forwarder.review_zones(now) {
            let service = table.services().get(change.service.0 as usize);
            let milliseconds =
                |delay: Option<Duration>| delay.map_or(-1, |delay| delay.as_millis() as i64);
            self.limiter.log(
                EventCode::ZoneShareChanged,
                now,
                format_args!(
                    "service={} share={:.2} for_capacity={:.2} for_load={:.2} for_queue={:.2} own_ms={} other_ms={} crossing_ms={}",
                    service.map_or("", String::as_str),
                    change.shares.largest(),
                    change.shares.for_capacity,
                    change.shares.for_load,
                    change.shares.for_queue,
                    milliseconds(change.own_delay),
                    milliseconds(change.other_delay),
                    milliseconds(change.crossing_delay),
                ),
            );
        }
        let placements = self.forwarder.zone_placements();
        self.shared.packets.set_zone_placements(placements);
        if now >= self.next_gauge_update {
            self.next_gauge_update = now.after(GAUGE_UPDATE_INTERVAL);
            let imbalance = self.forwarder.imbalance(now, table);
            self.shared.packets.set_imbalance(imbalance);
            for (service, class, share) in self.forwarder.admission().admitted_shares() {
                self.shared
                    .packets
                    .set_admitted_share(service, class, share);
            }
        }
    }

    /// Counts an opening that was refused because its service is overloaded.
    pub(super) fn count_refused(&self, table: &ForwardingTable, packet: &FlowPacket) {
        let Some(route) = table.route(packet.flow.service) else {
            return;
        };
        let service = route.services.first().map(|part| part.service.0 as usize);
        let service = service.and_then(|number| table.services().get(number));
        let class = RequestClass::of(&route.request_policy);
        let service = service.map_or("", String::as_str);
        self.shared.packets.count_refused(service, class);
    }

    pub(super) fn log_health_changes(&mut self, now: Timestamp, table: &ForwardingTable) {
        self.log_admission_changes(now);
        for change in self.forwarder.review(now, table) {
            match change {
                HealthChange::Suspected { cookie, failures } => self.limiter.log(
                    EventCode::InstanceSuspected,
                    now,
                    format_args!("cookie={:08x} failures={failures}", cookie.bits()),
                ),
                HealthChange::Recovered { cookie } => self.limiter.log(
                    EventCode::InstanceRecovered,
                    now,
                    format_args!("cookie={:08x}", cookie.bits()),
                ),
            }
        }
    }

    pub(super) fn log_admission_changes(&mut self, now: Timestamp) {
        for change in self.forwarder.review_admission(now) {
            self.limiter.log(
                EventCode::AdmissionChanged,
                now,
                format_args!(
                    "service={} overloaded={} offered={:.1} served={:.1} admitted={:.1} lost_share={:.3} sampled={} queueing={}",
                    change.service,
                    change.overloaded,
                    change.offered,
                    change.served,
                    change.budget,
                    change.lost_share,
                    change.queues.sampled,
                    change.queues.queueing,
                ),
            );
        }
    }

    pub(super) fn log_placed(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        packet: &FlowPacket,
        destination: &Destination,
        suitability: Suitability,
    ) {
        self.limiter.log(
            EventCode::FlowPlaced,
            now,
            format_args!(
                "client={} service={} role={:?} instance={} at={} because={suitability:?} version={} instances_revision={}",
                packet.flow.client,
                packet.flow.service,
                packet.role,
                destination.instance,
                destination.address,
                table.configuration_version(),
                table.directory_revision(),
            ),
        );
    }

    pub(super) fn log_idle_flow_reset(&mut self, now: Timestamp, reset: &FlowReset) {
        self.limiter.log(
            EventCode::RestingFlowEnded,
            now,
            format_args!(
                "client={} service={} cookie={:08x} because={:?}",
                reset.flow.client,
                reset.flow.service,
                reset.cookie.bits(),
                reset.reason,
            ),
        );
    }

    pub(super) fn log_flow(
        &mut self,
        event: EventCode,
        now: Timestamp,
        table: &ForwardingTable,
        packet: &FlowPacket,
        outcome: PacketOutcome,
    ) {
        let cookie = packet.cookie.map_or(0, |cookie| cookie.bits());
        self.limiter.log(
            event,
            now,
            format_args!(
                "client={} service={} role={:?} cookie={cookie:08x} outcome={} version={} instances_revision={}",
                packet.flow.client,
                packet.flow.service,
                packet.role,
                outcome.name(),
                table.configuration_version(),
                table.directory_revision(),
            ),
        );
    }
}
