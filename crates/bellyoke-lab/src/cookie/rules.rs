//! What must hold, judged by details clients, targets and the operator have seen.

use super::client::ClientEvent;
use super::scenario::PROBE_ADDRESS;
use super::target::TargetEvent;
use bellyoke_core::cookie::instance::InstanceId;
use bellyoke_core::cookie::packet::FlowTuple;
use bellyoke_core::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

/// A configuration is in force so long after it was accepted.
pub const CONFIGURATION_BOUND: Duration = Duration::from_secs(3);

/// A leaving target gets no new flow so long after its leaving was accepted.
pub const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// An undisturbed machine is one that was so for this long.
pub const UNDISTURBED_PERIOD: Duration = Duration::from_secs(4);

/// Nodes serve again so long after all were killed.
pub const RECOVERY_BOUND: Duration = Duration::from_secs(12);

/// Packets of a flow that go astray for so long break it.
const REORDERING: Duration = Duration::from_secs(2);

/// Packets astray that break a flow.
const ASTRAY: usize = 3;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A client gets its own whole answer.
    OwnAnswer,
    /// Only requests that were sent run.
    OnlyAsked,
    /// A request runs once.
    Once,
    /// A request runs only at a service that its address was ever routed to.
    Route,
    /// A leaving target gets no new flow.
    Drain,
    /// The targets of a drained zone get no new flow.
    ZoneDrain,
    /// A configuration is in force within its bound.
    Configuration,
    /// An open flow stays whole.
    Flow,
    /// After a kill of all nodes they serve again.
    Recovery,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When.
    pub at: Timestamp,
    /// How.
    pub details: String,
}

/// Who sent a packet to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A node; whether it was undisturbed.
    Node {
        /// Whether it was.
        undisturbed: bool,
    },
    /// A target, and whether the node that passed on details it answers was undisturbed.
    Target {
        /// The target.
        id: InstanceId,
        /// Whether the node was.
        undisturbed: bool,
    },
}

/// Where an opening arrived, and by whom.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The target.
    pub target: InstanceId,
    /// Index of its service.
    pub service: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Whether the node that passed it on was undisturbed.
    pub undisturbed: bool,
}

#[derive(Debug)]
struct OpenFlow {
    target: InstanceId,
    /// Arrivals of late: when, and whether at its own target.
    arrivals: VecDeque<(Timestamp, bool)>,
}

#[derive(Clone, Copy, Debug)]
struct Version {
    accepted_at: Timestamp,
    probe: Option<usize>,
}

/// Watches a run.
#[derive(Debug, Default)]
pub struct RuleChecker {
    violations: Vec<Violation>,
    sent: BTreeSet<u64>,
    ran: BTreeSet<u64>,
    routed: BTreeSet<(SocketAddrV4, usize)>,
    versions: Vec<Version>,
    leaving: BTreeMap<InstanceId, Timestamp>,
    drained_zones: BTreeMap<usize, Timestamp>,
    open: BTreeMap<(SocketAddrV4, SocketAddrV4), OpenFlow>,
    opening_sent: BTreeMap<(SocketAddrV4, SocketAddrV4), Timestamp>,
    killed_all_at: Option<Timestamp>,
    late_asked: u64,
    late_served: u64,
    /// Requests that came to nothing, those included whose flow never opened.
    pub failed: u64,
    /// Requests answered with success.
    pub served: u64,
    /// Resets that nodes sent for open flows.
    pub resets_by_nodes: u64,
    /// Time to each answer.
    pub latencies: Vec<Duration>,
}

const fn key(flow: FlowTuple) -> (SocketAddrV4, SocketAddrV4) {
    (flow.client, flow.service)
}

impl RuleChecker {
    /// What was broken.
    #[must_use]
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Something was broken that only the host sees.
    pub fn record_violation(&mut self, violation: Violation) {
        self.violations.push(violation);
    }

    /// The operator's configuration was accepted.
    pub fn record_configuration(&mut self, now: Timestamp, routes: &[(SocketAddrV4, usize)]) {
        self.routed.extend(routes);
        let probe = routes.iter().find(|(address, _)| *address == PROBE_ADDRESS);
        self.versions.push(Version {
            accepted_at: now,
            probe: probe.map(|(_, service)| *service),
        });
    }

    /// A target's leaving was accepted.
    pub fn record_leaving(&mut self, now: Timestamp, id: InstanceId) {
        self.leaving.entry(id).or_insert(now);
    }

    /// The operator's drain of a zone was accepted.
    pub fn record_zone_drain(&mut self, now: Timestamp, zone: usize) {
        self.drained_zones.entry(zone).or_insert(now);
    }

    /// A drained zone was taken back.
    pub fn record_zone_undrain(&mut self, zone: usize) {
        self.drained_zones.remove(&zone);
    }

    /// All nodes were killed.
    pub const fn record_kill_of_all(&mut self, now: Timestamp) {
        self.killed_all_at = Some(now);
    }

    /// A target ended: details happens to its flows from here on is nobody's fault.
    pub fn record_target_end(&mut self, id: InstanceId) {
        self.open.retain(|_, open| open.target != id);
    }

    /// An opening reaches a target that takes it.
    pub fn check_opening(&mut self, now: Timestamp, flow: FlowTuple, arrival: Arrival) {
        let Arrival {
            target,
            service,
            zone,
            undisturbed,
        } = arrival;
        if !self.routed.contains(&(flow.service, service)) {
            let details = format!("an opening to {} ran at service {service}", flow.service);
            self.violate(Rule::Route, now, details);
        }
        let left = self.leaving.get(&target);
        if undisturbed && left.is_some_and(|left| now.since(*left) > DRAIN_BOUND) {
            let details = format!("an opening reached target {target}, which had left");
            self.violate(Rule::Drain, now, details);
        }
        let drained = self.drained_zones.get(&zone);
        if undisturbed && drained.is_some_and(|drained| now.since(*drained) > DRAIN_BOUND) {
            let details = format!("an opening reached target {target} in drained zone {zone}");
            self.violate(Rule::ZoneDrain, now, details);
        }
        if flow.service == PROBE_ADDRESS && undisturbed {
            self.judge_probe(now, flow, Some(service));
        }
    }

    /// Something happened at a target.
    pub fn handle_target_event(
        &mut self,
        now: Timestamp,
        id: InstanceId,
        event: &TargetEvent,
        undisturbed: bool,
    ) {
        match event {
            TargetEvent::Opened(flow) => {
                let open = OpenFlow {
                    target: id,
                    arrivals: VecDeque::new(),
                };
                self.open.insert(key(*flow), open);
            }
            TargetEvent::Own(flow) => self.arrival(now, *flow, true),
            TargetEvent::Foreign(flow) if undisturbed => self.arrival(now, *flow, false),
            TargetEvent::Foreign(_) => {}
            TargetEvent::Ran { request, .. } => {
                if !self.sent.contains(request) {
                    let details = format!("request {request} was never sent");
                    self.violate(Rule::OnlyAsked, now, details);
                }
                if !self.ran.insert(*request) {
                    let details = format!("request {request} ran again");
                    self.violate(Rule::Once, now, details);
                }
            }
        }
    }

    /// Something happened to a client, caused by a packet from `origin` if by one at all.
    pub fn handle_client_event(
        &mut self,
        now: Timestamp,
        event: &ClientEvent,
        origin: Option<Origin>,
    ) {
        match event {
            ClientEvent::OpeningSent(flow) => {
                self.opening_sent.insert(key(*flow), now);
                self.count_late(now, false);
            }
            ClientEvent::RequestSent { request, .. } => {
                self.sent.insert(*request);
            }
            ClientEvent::Reset {
                flow,
                open,
                retried,
            } => {
                let probed_without_route = flow.service == PROBE_ADDRESS && !open;
                self.failed += u64::from(!probed_without_route && !retried);
                self.reset(now, *flow, *open, origin);
            }
            ClientEvent::Answered {
                flow,
                request,
                answer,
                after,
            } => {
                if answer.request != *request || self.answered_by_another(*flow, answer.target) {
                    let details = format!("request {request} got another answer");
                    self.violate(Rule::OwnAnswer, now, details);
                }
                if answer.ran {
                    self.served += 1;
                    self.latencies.push(*after);
                    self.count_late(now, true);
                }
            }
            ClientEvent::Garbled(flow) => {
                let details = format!("{} got no answer but bytes", flow.client);
                self.violate(Rule::OwnAnswer, now, details);
            }
            ClientEvent::GivenUp { flow, .. } => {
                self.failed += 1;
                self.open.remove(&key(*flow));
            }
        }
    }

    /// The run is over.
    pub fn finish(&mut self, now: Timestamp) {
        let recovered = self.late_served * 4 >= self.late_asked;
        if self.killed_all_at.is_some() && !recovered {
            let details = format!("{} of {} served", self.late_served, self.late_asked);
            self.violate(Rule::Recovery, now, details);
        }
    }

    fn answered_by_another(&self, flow: FlowTuple, target: u64) -> bool {
        let open = self.open.get(&key(flow));
        target != 0 && open.is_some_and(|open| open.target.0 != target)
    }

    fn count_late(&mut self, now: Timestamp, served: bool) {
        let late = |killed: Timestamp| now.since(killed) > RECOVERY_BOUND;
        if !self.killed_all_at.is_some_and(late) {
            return;
        }
        if served {
            self.late_served += 1;
        } else {
            self.late_asked += 1;
        }
    }

    fn arrival(&mut self, now: Timestamp, flow: FlowTuple, own: bool) {
        let Some(open) = self.open.get_mut(&key(flow)) else {
            return;
        };
        open.arrivals.push_back((now, own));
        while let Some((at, _)) = open.arrivals.front()
            && now.since(*at) > REORDERING
        {
            open.arrivals.pop_front();
        }
        let astray = open.arrivals.iter().filter(|(_, own)| !own).count();
        if astray >= ASTRAY && astray == open.arrivals.len() {
            let details = format!("packets of {} go astray", flow.client);
            self.open.remove(&key(flow));
            self.violate(Rule::Flow, now, details);
        }
    }

    fn reset(&mut self, now: Timestamp, flow: FlowTuple, open: bool, origin: Option<Origin>) {
        let held = self.open.remove(&key(flow));
        if open && matches!(origin, Some(Origin::Node { .. })) {
            self.resets_by_nodes += 1;
        }
        let blamed = match (origin, &held) {
            (Some(Origin::Node { undisturbed }), _) => undisturbed,
            (Some(Origin::Target { id, undisturbed }), Some(held)) => {
                id != held.target && undisturbed
            }
            _ => false,
        };
        if open && held.is_some() && blamed {
            let details = format!("{} was reset by {origin:?}", flow.client);
            self.violate(Rule::Flow, now, details);
        }
        let refused_by_node = matches!(origin, Some(Origin::Node { undisturbed: true }));
        if !open && refused_by_node && flow.service == PROBE_ADDRESS {
            self.judge_probe(now, flow, None);
        }
    }

    /// An opening must not be handled as only a version allows that was overtaken when it was
    /// sent.
    fn judge_probe(&mut self, now: Timestamp, flow: FlowTuple, handled: Option<usize>) {
        let Some(sent) = self.opening_sent.get(&key(flow)) else {
            return;
        };
        let sent = *sent;
        let in_force = |version: &Version| sent.since(version.accepted_at) > CONFIGURATION_BOUND;
        let oldest = self.versions.iter().rposition(in_force).unwrap_or(0);
        let allowed = self.versions[oldest..]
            .iter()
            .any(|version| version.probe == handled);
        if !allowed {
            let details =
                format!("a probe was handled as {handled:?}, as only an older version allows");
            self.violate(Rule::Configuration, now, details);
        }
    }

    fn violate(&mut self, rule: Rule, at: Timestamp, details: String) {
        self.violations.push(Violation { rule, at, details });
    }
}
