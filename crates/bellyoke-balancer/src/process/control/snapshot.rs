//! What the operator API answers, made from the state of the control thread.

use super::outputs::OutputSinks;
use crate::packet::RejectReason;
use crate::process::traffic::{TrafficCounter, TrafficShared};
use crate::request::{ApiSnapshot, MetricKind, MetricSample};
use bellyoke_api::status::{
    BackendStatus, MemberState as ApiMemberState, MemberStatus, NodeStatus as ApiStatus,
    ServiceStatus,
};
use bellyoke_core::generation::{Backend, BackendState, Generation, Service};
use bellyoke_core::identity::BackendId;
use bellyoke_core::node::{MemberRecord, MemberState, NodeStatus};
use bellyoke_core::time::Timestamp;
use std::collections::HashMap;
use std::sync::atomic::Ordering;

/// What a snapshot is made from besides the output sinks.
pub struct SnapshotInput<'a> {
    /// The time.
    pub now: Timestamp,
    /// The zone of the node.
    pub zone: &'a str,
    /// The state machine.
    pub status: &'a NodeStatus,
    /// The newest generation that was seen.
    pub generation: Option<&'a Generation>,
    /// Flows by backend, over all traffic threads.
    pub flows: &'a HashMap<BackendId, u64>,
    /// Control bytes sent in the last second.
    pub control_rate: u64,
    /// The control budget.
    pub control_budget: u64,
}

/// The node as it is now.
#[must_use]
pub fn snapshot(input: &SnapshotInput<'_>, sinks: &OutputSinks) -> ApiSnapshot {
    let metrics = metrics(input, sinks);
    let reason = not_ready(input);
    ApiSnapshot {
        ready: reason.is_none(),
        reason: reason.unwrap_or_default().to_owned(),
        status: api_status(input, &metrics),
        metrics,
    }
}

/// Why the fabric should not send packets here, if so.
fn not_ready(input: &SnapshotInput<'_>) -> Option<&'static str> {
    let status = input.status;
    if status.leaving {
        return Some("leaving");
    }
    if status.adopted.0 == 0 {
        return Some("no generation yet");
    }
    if input.now >= status.lease_until {
        return Some("no lease");
    }
    None
}

fn api_status(input: &SnapshotInput<'_>, metrics: &[MetricSample]) -> ApiStatus {
    let status = input.status;
    let generation = input.generation;
    let services = generation.map_or(&[][..], |generation| &generation.services);
    let backends = generation.map_or(&[][..], |generation| &generation.backends);
    let counters = metrics.iter();
    ApiStatus {
        node: status.node.0,
        zone: input.zone.to_owned(),
        generation: status.adopted.0,
        acknowledged: status.acknowledged.0,
        barrier: status.barrier.0,
        services_revision: generation.map_or(0, |generation| generation.revision.services),
        backends_revision: generation.map_or(0, |generation| generation.revision.backends),
        lease_valid: input.now < status.lease_until,
        leaving: status.leaving,
        members: status.members.iter().map(member_status).collect(),
        services: services
            .iter()
            .map(|service| service_status(service, backends))
            .collect(),
        backends: backends
            .iter()
            .map(|backend| backend_status(backend, services, input.flows))
            .collect(),
        control_bytes_per_second: input.control_rate,
        control_budget_bytes_per_second: input.control_budget,
        counters: counters
            .map(|sample| (sample.name.to_owned(), sample.value))
            .collect(),
    }
}

fn member_status(record: &MemberRecord) -> MemberStatus {
    let state = match record.state {
        MemberState::Failed | MemberState::Left => ApiMemberState::Failed,
        _ if record.leaving => ApiMemberState::Leaving,
        MemberState::Alive => ApiMemberState::Alive,
        MemberState::Suspected => ApiMemberState::Suspected,
    };
    MemberStatus {
        node: record.member.node.0,
        zone: record.member.zone.0.clone(),
        peer_address: record.member.peer_address.to_string(),
        state,
        acknowledged: record.acknowledged.0,
    }
}

fn service_status(service: &Service, backends: &[Backend]) -> ServiceStatus {
    let contested = service
        .buckets
        .iter()
        .filter(|bucket| bucket.base.is_some());
    let draining = backends.iter().filter(|backend| {
        backend.service == Some(service.id) && backend.state == BackendState::Draining
    });
    ServiceStatus {
        name: service.name.clone(),
        buckets: service.buckets.len() as u64,
        contested_buckets: contested.count() as u64,
        active_backends: service.backends.len() as u64,
        draining_backends: draining.count() as u64,
    }
}

fn backend_status(
    backend: &Backend,
    services: &[Service],
    flows: &HashMap<BackendId, u64>,
) -> BackendStatus {
    let state = match backend.state {
        BackendState::Active => "active",
        BackendState::Draining => "draining",
        BackendState::Dead => "dead",
    };
    let service = services
        .iter()
        .find(|service| Some(service.id) == backend.service);
    BackendStatus {
        name: backend.name.clone(),
        service: service.map(|service| service.name.clone()),
        state: state.to_owned(),
        flows: flows.get(&backend.id).copied().unwrap_or(0),
    }
}

fn metrics(input: &SnapshotInput<'_>, sinks: &OutputSinks) -> Vec<MetricSample> {
    let mut samples = traffic_samples(&sinks.traffic);
    samples.extend(control_samples(sinks));
    samples.extend(peer_samples(sinks));
    samples.extend(node_samples(input));
    samples
}

const fn counter(name: &'static str, help: &'static str, value: u64) -> MetricSample {
    MetricSample {
        name,
        help,
        kind: MetricKind::Counter,
        value,
    }
}

const fn gauge(name: &'static str, help: &'static str, value: u64) -> MetricSample {
    MetricSample {
        name,
        help,
        kind: MetricKind::Gauge,
        value,
    }
}

fn traffic_samples(traffic: &TrafficShared) -> Vec<MetricSample> {
    let sum = |read: &dyn Fn(usize) -> u64| (0..traffic.counters.len()).map(read).sum();
    let mut samples: Vec<MetricSample> = TrafficCounter::ALL
        .iter()
        .map(|name| {
            let value = sum(&|worker| traffic.counters[worker].get(*name));
            counter(name.metric(), name.help(), value)
        })
        .collect();
    let flows = sum(&|worker| traffic.counters[worker].flows());
    samples.push(gauge("flows", "Flows that the node holds", flows));
    samples
}

fn control_samples(sinks: &OutputSinks) -> Vec<MetricSample> {
    let counters = &sinks.counters;
    let sorry = sinks.sorry.counters();
    vec![
        counter(
            "control_escalated",
            "Escalated packets taken in by the control thread",
            counters.escalated,
        ),
        counter(
            "control_escalated_late",
            "Escalated packets dropped because they waited for too long",
            counters.escalated_late,
        ),
        counter(
            "control_forwarded",
            "Packets forwarded as owner of their bucket",
            counters.forwarded,
        ),
        counter(
            "control_refused",
            "Packets of refused flows",
            counters.refused,
        ),
        counter(
            "control_reset",
            "Packets that the owner answered by a reset",
            counters.reset,
        ),
        counter(
            "control_failed",
            "Packets and learned flows that could not be passed on",
            counters.failed,
        ),
        counter(
            "sorry_answered",
            "Callers told that nothing was run",
            sorry.answered.load(Ordering::Relaxed),
        ),
        counter(
            "sorry_dropped",
            "Packets that the sorry server had no room for",
            sorry.dropped.load(Ordering::Relaxed),
        ),
        gauge(
            "sorry_connections",
            "Connections of the sorry server",
            sorry.connections.load(Ordering::Relaxed),
        ),
    ]
}

fn peer_samples(sinks: &OutputSinks) -> Vec<MetricSample> {
    let counters = sinks.peers.counters();
    let mut samples = vec![
        counter(
            "peer_received",
            "Messages taken in from peers",
            counters.received,
        ),
        counter("peer_sent", "Messages sent to peers", counters.sent),
        counter(
            "peer_sent_bytes",
            "Bytes of messages sent to peers, without headers of UDP and IP",
            counters.sent_bytes,
        ),
        counter(
            "peer_send_failed",
            "Messages that could not be sent",
            counters.send_failed,
        ),
    ];
    for reason in RejectReason::ALL {
        let count = counters.rejected.get(&reason).copied().unwrap_or(0);
        let help = "Datagrams on the peer socket that were dropped for this reason";
        samples.push(counter(reason.metric(), help, count));
    }
    samples
}

fn node_samples(input: &SnapshotInput<'_>) -> Vec<MetricSample> {
    let status = input.status;
    let valid = u64::from(input.now < status.lease_until);
    vec![
        gauge(
            "generation",
            "Generation that the node forwards by",
            status.adopted.0,
        ),
        gauge(
            "acknowledged",
            "Newest generation that the node has acknowledged",
            status.acknowledged.0,
        ),
        gauge(
            "barrier",
            "Newest generation whose barrier has passed",
            status.barrier.0,
        ),
        gauge("lease_valid", "Whether the node may open flows", valid),
        gauge(
            "members",
            "Members that the node remembers, itself included",
            status.members.len() as u64,
        ),
        counter(
            "control_sent_bytes",
            "Control bytes sent, headers included",
            status.budget.sent_bytes,
        ),
        counter(
            "control_deferred",
            "Control messages that had to wait for the budget",
            status.budget.deferred,
        ),
        counter(
            "control_overflowed",
            "Control messages given up because too many waited",
            status.budget.overflowed,
        ),
        counter(
            "peer_contradictory",
            "Messages dropped because they contradict themselves",
            status.rejected_messages,
        ),
    ]
}
