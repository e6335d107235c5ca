//! Placement of new flows.

use super::{
    Decision, DropReason, Forwarder, OPENING_TRANSIT_TIME, RECENTLY_GONE_PERIOD, RefusalReason,
};
use crate::cookie::cold::ColdShare;
use crate::cookie::instance::Cookie;
use crate::cookie::load::OPENING_WEIGHT;
use crate::cookie::locality::ZoneCapacity;
use crate::cookie::packet::FlowPacket;
use crate::cookie::placement::{Suitability, choose_by_zone, choose_service, mix};
use crate::cookie::table::{Candidate, ForwardingTable, RouteService};
use crate::time::Timestamp;

/// One in this many flows whose requests may be retried treats outliers as healthy instances, to
/// test them. With a third of a service ejected they get an eighth of their normal load.
const OUTLIER_TRIAL_INTERVAL: u64 = 32;

/// Makes the choice of these flows independent of the choice of the instance.
const OUTLIER_TRIAL_SALT: u64 = 0x6f75_746c_6965_7201;

impl Forwarder {
    pub(super) fn open(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        packet: &FlowPacket,
        attempt: u32,
    ) -> Decision {
        if !table.is_initialized() {
            return Decision::Drop(DropReason::NotReady);
        }
        let flow_hash = packet.flow.hash();
        let Some(route) = table.route(packet.flow.service) else {
            return Decision::Refuse(RefusalReason::NoRoute);
        };
        let Some(route_service) = choose_service(&route.services, flow_hash) else {
            return Decision::Refuse(RefusalReason::NoInstance);
        };
        let request_policy = &route.request_policy;
        let admission = &mut self.admission;
        if !admission.admits(
            now,
            table,
            packet,
            attempt,
            route_service.service,
            request_policy,
        ) {
            return Decision::Refuse(RefusalReason::Overloaded);
        }
        self.zones.adopt(table);
        self.zones.review_failing_zones(now);
        let tests_outliers = route.request_policy.kind.may_retry() && tests_outliers(flow_hash);
        let chosen = self.choose(
            now,
            table,
            route_service,
            flow_hash,
            attempt,
            tests_outliers,
        );
        let Some((chosen, suitability)) = chosen else {
            return Decision::Refuse(RefusalReason::NoInstance);
        };
        let destination = chosen.destination();
        if now < chosen.warm_at {
            self.cold.record_opening(now, chosen.id);
        }
        self.monitor
            .record_opening(now, flow_hash, destination.cookie);
        self.loads.count(now, destination.cookie, OPENING_WEIGHT);
        Decision::Place {
            destination,
            suitability,
        }
    }

    /// Returns the instance for copy `attempt` of an opening, and its suitability; `None` if no
    /// candidate may get the flow.
    fn choose<'table>(
        &mut self,
        now: Timestamp,
        table: &'table ForwardingTable,
        route_service: &RouteService,
        flow_hash: u64,
        attempt: u32,
        tests_outliers: bool,
    ) -> Option<(&'table Candidate, Suitability)> {
        let candidates = table.candidates(route_service);
        // All cold instances of a service have the same limit.
        let cold_flows = candidates.first()?.cold_flows_per_minute;
        let share = self.cold.share(cold_flows);
        let mut capacity = ZoneCapacity::default();
        let suitability = |candidate: &Candidate| {
            let suitability = self.suitability(now, candidate, share)?;
            capacity.add(candidate, suitability, self.zones.own());
            let is_tested = tests_outliers && suitability == Suitability::Outlier;
            Some(if is_tested {
                Suitability::Full
            } else {
                suitability
            })
        };
        let ranks = self.zones.ranks(route_service.service, flow_hash);
        let load = |candidate: &Candidate| {
            // A dead instance has no load either, but must not be preferred for that.
            if self.monitor.loses_idle_preference(candidate.cookie) {
                f32::INFINITY
            } else {
                self.loads.load(now, candidate.cookie)
            }
        };
        let zone_rank = |candidate: &Candidate| ranks.of(candidate.zone);
        let chosen = choose_by_zone(candidates, flow_hash, attempt, suitability, zone_rank, load)?;
        let suitability = self.suitability(now, chosen, share)?;
        self.zones
            .record_placement(now, route_service.service, flow_hash, chosen.zone, capacity);
        Some((chosen, suitability))
    }

    /// Returns the suitability of a candidate at `now`; `None` if it must not get a flow. `share`
    /// is this node's share of the flows to cold instances.
    fn suitability(
        &self,
        now: Timestamp,
        candidate: &Candidate,
        share: Option<ColdShare>,
    ) -> Option<Suitability> {
        let is_cold = now < candidate.warm_at;
        if is_cold && !self.cold.admits(now, candidate.id, share) {
            return None;
        }
        let cookie = candidate.cookie;
        if let Some(removed_at) = candidate.removed_at {
            return (self.may_be_back(now, candidate, removed_at) && !self.is_unreachable(cookie))
                .then_some(Suitability::RecentlyGone);
        }
        if self.is_avoided(cookie) || self.monitor.is_suspected(now, cookie) {
            return Some(Suitability::Suspected);
        }
        if self.outliers.contains(&cookie) {
            return Some(Suitability::Outlier);
        }
        Some(if is_cold {
            Suitability::Cold
        } else {
            Suitability::Full
        })
    }

    /// Returns whether the record of a removed instance may be written again soon, and the instance
    /// may still get new flows if it isn't.
    fn may_be_back(&self, now: Timestamp, candidate: &Candidate, removed_at: Timestamp) -> bool {
        let longest = self.drained_within.saturating_sub(OPENING_TRANSIT_TIME);
        now.since(removed_at) < RECENTLY_GONE_PERIOD && now.since(candidate.present_until) < longest
    }

    fn is_avoided(&self, cookie: Cookie) -> bool {
        self.avoided.contains_key(&cookie) && !self.proven_alive.contains(&cookie)
    }
}

/// Returns whether a flow treats outliers as healthy instances.
const fn tests_outliers(flow_hash: u64) -> bool {
    mix(flow_hash ^ OUTLIER_TRIAL_SALT).is_multiple_of(OUTLIER_TRIAL_INTERVAL)
}
