//! Logging and metrics of the control thread.

use super::super::metrics::{AnswerLabels, PeerBytesLabels, ProbeLabels};
use super::Control;
use bellyoke_api::event_code::EventCode;
use bellyoke_core::cookie::capacity::ZoneKey;
use bellyoke_core::cookie::era::CallContext;
use bellyoke_core::cookie::exchange::StoreDuty;
use bellyoke_core::cookie::freshness::ObjectKind;
use bellyoke_core::cookie::instance::Cookie;
use bellyoke_core::cookie::outliers::{InstanceTally, OutlierChange};
use bellyoke_core::cookie::reachability::{ProbeOutcome, ReachabilityChange};
use bellyoke_core::cookie::replica::Source;
use bellyoke_core::cookie::revision::{Revision, StoreEra};
use bellyoke_core::cookie::route::Configuration;
use bellyoke_core::time::Timestamp;
use bellyoke_process::log::log_event;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::sync::atomic::Ordering;

/// Value of the confirmation age gauge if the state was never confirmed.
const NEVER_CONFIRMED: i64 = -1;

impl Control {
    pub(super) fn log_readiness_change(&mut self) {
        let readiness = self.readiness();
        if readiness.is_ok() != self.was_ready {
            self.was_ready = readiness.is_ok();
            log_event(
                EventCode::ReadinessChanged,
                format_args!("ready={} reason={:?}", self.was_ready, readiness.err()),
            );
        }
    }

    /// Logs that a peer joined or was lost. These lines are rate-limited because a node of a large
    /// cluster receives many such changes.
    pub fn log_peer(&mut self, event: EventCode, peer: SocketAddrV4) {
        let now = self.clock.now();
        self.limiter.log(event, now, format_args!("peer={peer}"));
    }

    pub(super) fn log_duty_change(&mut self, now: Timestamp) {
        let duty = self.coordinator.duty(now);
        if duty != self.last_duty {
            let before = std::mem::replace(&mut self.last_duty, duty);
            log_event(
                EventCode::RoleChanged,
                format_args!("duty={duty:?} before={before:?}"),
            );
            self.log_duty_reason(duty);
        }
        self.log_busy_change();
    }

    /// Logs the capacity class, zone and claim rank by which the node took or left a duty.
    fn log_duty_reason(&self, duty: StoreDuty) {
        let event = if duty == StoreDuty::Listener {
            EventCode::DutyLeft
        } else {
            EventCode::DutyTaken
        };
        let exchange = self.coordinator.exchange();
        let (place, rank) = (exchange.place(), exchange.claim_rank());
        let rank = rank.map_or_else(|| "none".to_owned(), |rank| rank.to_string());
        let (class, zone) = (place.class.number(), place.zone.0);
        log_event(event, format_args!("class={class} zone={zone} rank={rank}"));
    }

    /// Logs that the node has become too busy for duties that other nodes can take, or no longer is.
    fn log_busy_change(&mut self) {
        let exchange = self.coordinator.exchange();
        let (busy, class) = (exchange.is_busy(), exchange.place().class.number());
        if busy == std::mem::replace(&mut self.was_busy, busy) {
            return;
        }
        let event = if busy {
            EventCode::ClaimLowered
        } else {
            EventCode::ClaimRestored
        };
        let paced = self.shared.link_paced.load(Ordering::Relaxed);
        log_event(event, format_args!("class={class} link_paced={paced}"));
    }

    /// Counts bytes sent to a peer.
    pub fn count_sent(&self, kind: &'static str, to: SocketAddrV4, length: usize) {
        let zone = self.coordinator.exchange().zone_of(to);
        self.count_sent_to(kind, zone, length);
    }

    /// Counts bytes sent to a zone; `None` if the zone is unknown.
    pub fn count_sent_to(&self, kind: &'static str, zone: Option<ZoneKey>, length: usize) {
        let own = self.coordinator.exchange().place().zone;
        let to = match zone {
            None => "unknown",
            Some(zone) if zone == own => "own_zone",
            Some(_) => "other_zone",
        };
        let labels = PeerBytesLabels { kind, to };
        self.metrics
            .peer_bytes_sent
            .get_or_create(&labels)
            .inc_by(length as u64);
    }

    pub(super) fn log_configuration(&self, source: Source) {
        let Some(configuration) = self.coordinator.replica().configuration() else {
            return;
        };
        log_event(
            EventCode::ConfigurationAdopted,
            format_args!(
                "version={} revision={} routes={} cold_flows_per_minute=[{}] source={}",
                configuration.version,
                configuration.revision,
                configuration.routes.len(),
                cold_limits(configuration),
                source.name()
            ),
        );
    }

    /// Records the current era of the store and logs it if the store was restored.
    pub(super) fn record_era(&mut self, source: Source) {
        let era = self.coordinator.era();
        if era == self.logged_era {
            return;
        }
        let before = std::mem::replace(&mut self.logged_era, era);
        self.metrics.store_era.set(i64::from(era.0));
        if !self.coordinator.store_was_restored() {
            return;
        }
        let known = self.coordinator.replica().versions();
        log_event(
            EventCode::StoreRestored,
            format_args!(
                "era={era} before={before} instances_known={} configuration_known={} zones_known={} source={}",
                known.directory_as_of,
                known.configuration_as_of,
                known.zones_as_of,
                source.name()
            ),
        );
    }

    /// Logs that a reply of the store was ignored because it has an earlier era, or none.
    pub(super) fn log_outdated_reply(
        &mut self,
        kind: ObjectKind,
        context: CallContext,
        received: Option<StoreEra>,
    ) {
        let received = received.map_or_else(|| "none".to_owned(), |era| era.to_string());
        let line = format!(
            "kind={} told_era={received} asked_in={} era={}",
            kind.name(),
            context.era,
            self.coordinator.era()
        );
        self.metrics.stale_states.inc();
        self.limiter
            .log(EventCode::OldStateIgnored, self.clock.now(), line);
    }

    /// Logs that an answer of the store was ignored because this node has newer state.
    pub(super) fn log_stale_state(
        &mut self,
        kind: ObjectKind,
        received: Revision,
        known: Revision,
    ) {
        self.metrics.stale_states.inc();
        self.limiter.log(
            EventCode::OldStateIgnored,
            self.clock.now(),
            format_args!("kind={} told={received} known={known}", kind.name()),
        );
    }

    /// Logs that a configuration from the store was ignored as older, which is the case if it is not
    /// the current one.
    pub(super) fn log_ignored_configuration(&mut self, version: u64, revision: Revision) {
        let Some(current) = self.coordinator.replica().configuration() else {
            return;
        };
        if current.version == version {
            return;
        }
        let line = format!(
            "kind=configuration version={version} told={revision} held_version={} held={}",
            current.version, current.revision
        );
        self.metrics.stale_states.inc();
        self.limiter
            .log(EventCode::OldStateIgnored, self.clock.now(), line);
    }

    pub(super) fn log_instances(&mut self, source: Source) {
        let directory = self.coordinator.replica().directory();
        let known = directory.len();
        let gone = directory
            .instances()
            .filter(|known| known.removed_at.is_some())
            .count();
        let unnamed = directory
            .instances()
            .filter(|known| !directory.names_service_of(&known.record))
            .count();
        let superseded = directory.superseded().len();
        let revision = directory.changed_at();
        self.limiter.log(
            EventCode::InstancesChanged,
            self.clock.now(),
            format_args!(
                "present={} gone={gone} superseded={superseded} unnamed_service={unnamed} \
                 revision={revision} source={}",
                known - gone,
                source.name()
            ),
        );
    }

    /// Logs that this node calls the store because its state is stale.
    pub(super) fn log_stale_read(&mut self, now: Timestamp, kind: ObjectKind) {
        let exchange = self.coordinator.exchange();
        let Some(age) = exchange.stale_age(now, kind) else {
            return;
        };
        let nodes = exchange.estimated_nodes();
        let live = exchange.live_nodes();
        let source = exchange
            .confirmation_source()
            .map_or_else(|| "none".to_owned(), |source| source.to_string());
        let (kind, age) = (kind.name(), age.as_millis());
        self.limiter.log(
            EventCode::StaleStateRead,
            now,
            format_args!(
                "kind={kind} confirmed_milliseconds_ago={age} by={source} nodes={nodes:.1} \
                 live={live:.1}"
            ),
        );
    }

    /// Logs a change between confirmations by reads that may be stale and by reads of the newest
    /// state.
    pub(super) fn log_confirmation_change(&mut self, now: Timestamp) {
        let exchange = self.coordinator.exchange();
        let rests_on_newest_read = exchange.rests_on_newest_read();
        if rests_on_newest_read == self.rested_on_newest_read {
            return;
        }
        let Some((source, age)) = exchange
            .confirmation_source()
            .zip(exchange.confirmation_age(now))
        else {
            return;
        };
        self.rested_on_newest_read = rests_on_newest_read;
        let age = age.as_millis();
        log_event(
            EventCode::StateConfirmed,
            format_args!(
                "newest_read={rests_on_newest_read} confirmed_milliseconds_ago={age} by={source}"
            ),
        );
    }

    /// Counts and logs the outcomes of a probe.
    pub(super) fn report_probes(&mut self, now: Timestamp, outcomes: &[(Cookie, ProbeOutcome)]) {
        for (cookie, outcome) in outcomes {
            let outcome = match outcome {
                ProbeOutcome::Reached => "reached",
                ProbeOutcome::Unreachable => "unreachable",
                ProbeOutcome::Inconclusive => "inconclusive",
            };
            self.metrics
                .probes
                .get_or_create(&ProbeLabels { outcome })
                .inc();
            let known = self.coordinator.replica().directory().find(*cookie);
            let deleted_at = known.and_then(|known| known.removed_at);
            let record = match (known, deleted_at) {
                (None, _) => "unknown",
                (Some(_), None) => "present",
                (Some(_), Some(_)) => "deleted",
            };
            let deleted_for = deleted_at.map_or(0, |at| now.since(at).as_millis());
            self.limiter.log(
                EventCode::InstanceProbed,
                now,
                format_args!(
                    "cookie={:08x} outcome={outcome} record={record} deleted_milliseconds={deleted_for}",
                    cookie.bits()
                ),
            );
        }
    }

    pub(super) fn log_reachability(&mut self, now: Timestamp, change: ReachabilityChange) {
        let event = if change.unreachable {
            EventCode::InstanceUnreachable
        } else {
            EventCode::InstanceReached
        };
        let cookie = change.cookie.bits();
        self.limiter
            .log(event, now, format_args!("cookie={cookie:08x}"));
    }

    pub(super) fn log_refutation(&mut self, now: Timestamp, cookie: Cookie) {
        self.limiter.log(
            EventCode::InstanceLives,
            now,
            format_args!("cookie={:08x} because=flows_go_on", cookie.bits()),
        );
    }

    pub(super) fn count_answers(&self, tallies: &[InstanceTally]) {
        for tally in tallies {
            let normal = tally.requests.saturating_sub(tally.bad());
            for (quality, count) in [
                ("usual", normal),
                ("slow", tally.slow),
                ("failed", tally.failed),
            ] {
                let labels = AnswerLabels { quality };
                let counter = self.metrics.answers.get_or_create(&labels);
                counter.inc_by(u64::from(count));
            }
        }
    }

    pub(super) fn log_outliers(&mut self, now: Timestamp, outliers: &BTreeSet<Cookie>) {
        let count = outliers.len();
        let before = self.shared.outliers.load().len();
        self.metrics
            .outliers
            .set(i64::try_from(count).unwrap_or(i64::MAX));
        self.limiter.log(
            EventCode::OutliersChanged,
            now,
            format_args!("outliers={count} before={before}"),
        );
    }

    pub(super) fn log_outlier(&mut self, now: Timestamp, change: &OutlierChange) {
        let event = if change.is_outlier {
            EventCode::OutlierSetAside
        } else {
            EventCode::OutlierLetBack
        };
        self.limiter.log(
            event,
            now,
            format_args!(
                "cookie={:08x} bad={:.1} asked={:.1} usual_part={:.2} held_milliseconds={}",
                change.cookie.bits(),
                change.bad,
                change.requests,
                change.median_bad_fraction,
                change.ejected_for.as_millis()
            ),
        );
    }

    pub(super) fn log_zones(&mut self, source: Source) {
        let now = self.clock.now();
        let zones = self.coordinator.replica().zones();
        let drained = zones.drained();
        let drained: Vec<String> = drained
            .map(|(zone, revision)| format!("{zone}@{revision}"))
            .collect();
        let age = self.coordinator.exchange().confirmation_age(now);
        let line = format!(
            "drained=[{}] revision={} as_of={} confirmed_milliseconds_ago={} source={}",
            drained.join(","),
            zones.changed_at(),
            zones.as_of().unwrap_or_default(),
            age.map_or_else(|| "never".to_owned(), |age| age.as_millis().to_string()),
            source.name()
        );
        self.limiter
            .log(EventCode::ZonesChanged, now, format_args!("{line}"));
    }

    pub(super) fn update_gauges(&self, now: Timestamp) {
        let set = |gauge: &prometheus_client::metrics::gauge::Gauge, value: u128| {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        };
        let metrics = &self.metrics;
        let connected_peers = self
            .coordinator
            .exchange()
            .peers()
            .filter(|(_, peer)| peer.received_heartbeat);
        set(&metrics.peers, connected_peers.count() as u128);
        let nodes = self.coordinator.exchange().estimated_nodes();
        let nodes = nodes.round() as u64;
        self.shared
            .estimated_node_count
            .store(nodes, Ordering::Relaxed);
        let instances = self.coordinator.replica().directory().len();
        set(&metrics.instances, instances as u128);
        let unreachable = self.shared.unreachable.load().len();
        set(&metrics.unreachable, unreachable as u128);
        let drained = self.coordinator.replica().zones().drained();
        set(&metrics.drained_zones, drained.count() as u128);
        let configuration = self.coordinator.replica().configuration();
        let version = configuration.map_or(0, |current| current.version);
        set(&metrics.configuration_version, u128::from(version));
        let age = self.coordinator.exchange().confirmation_age(now);
        let age = age.map_or(NEVER_CONFIRMED, |age| {
            i64::try_from(age.as_millis()).unwrap_or(i64::MAX)
        });
        metrics.confirmation_age_milliseconds.set(age);
    }
}

/// Formats the configured limit of flows to cold instances of each service.
fn cold_limits(configuration: &Configuration) -> String {
    let limits = configuration.limits.iter();
    let limits =
        limits.map(|limits| format!("{}:{}", limits.service, limits.cold_flows_per_minute));
    limits.collect::<Vec<_>>().join(",")
}
