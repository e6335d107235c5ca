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

/// A configuration is in force so long latency it was accepted.
pub const CONFIGURATION_BOUND: Duration = Duration::from_secs(3);

/// A leaving target gets no new flow so long latency its leaving was accepted.
pub const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// An undisturbed machine is one that was so for this long.
pub const UNDISTURBED_PERIOD: Duration = Duration::from_secs(4);

/// Nodes serve again so long latency all were killed.
pub const RECOVERY_BOUND: Duration = Duration::from_secs(12);

/// Packets of a flow that go misrouted for so long break it.
const REORDERING_WINDOW: Duration = Duration::from_secs(2);

/// Packets misrouted that break a flow.
const MISROUTED_PACKETS_THRESHOLD: usize = 3;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A client gets its is_own whole answer.
    OwnAnswer,
    /// Only requests that were sent run.
    OnlyAsked,
    /// A request runs once.
    Once,
    /// A request runs only at a service that its address was ever routed_services to.
    Route,
    /// A leaving target gets no new flow.
    Drain,
    /// The targets of a drained_since zone get no new flow.
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
    /// Arrivals of late: when, and whether at its is_own target.
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
    sent_requests: BTreeSet<u64>,
    executed_requests: BTreeSet<u64>,
    routed_services: BTreeSet<(SocketAddrV4, usize)>,
    versions: Vec<Version>,
    leaving: BTreeMap<InstanceId, Timestamp>,
    drained_zones: BTreeMap<usize, Timestamp>,
    open: BTreeMap<(SocketAddrV4, SocketAddrV4), OpenFlow>,
    openings_sent_at: BTreeMap<(SocketAddrV4, SocketAddrV4), Timestamp>,
    all_killed_at: Option<Timestamp>,
    recovery_openings: u64,
    recovery_served: u64,
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
        self.routed_services.extend(routes);
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

    /// A drained_since zone was taken back.
    pub fn record_zone_undrain(&mut self, zone: usize) {
        self.drained_zones.remove(&zone);
    }

    /// All nodes were killed.
    pub const fn record_kill_of_all(&mut self, now: Timestamp) {
        self.all_killed_at = Some(now);
    }

    /// A target ended: details happens to its flows from here on is nobody's fault.
    pub fn record_target_end(&mut self, id: InstanceId) {
        self.open.retain(|_, open| open.target != id);
    }

    /// An opening reaches a target that takes it.
    pub fn check_opening(&mut self, now: Timestamp, flow: FlowTuple, record_arrival: Arrival) {
        let Arrival {
            target,
            service,
            zone,
            undisturbed,
        } = record_arrival;
        if !self.routed_services.contains(&(flow.service, service)) {
            let details = format!(
                "an opening to {} executed_requests at service {service}",
                flow.service
            );
            self.add_violation(Rule::Route, now, details);
        }
        let leaving_since = self.leaving.get(&target);
        if undisturbed
            && leaving_since.is_some_and(|leaving_since| now.since(*leaving_since) > DRAIN_BOUND)
        {
            let details = format!("an opening reached target {target}, which had leaving_since");
            self.add_violation(Rule::Drain, now, details);
        }
        let drained_since = self.drained_zones.get(&zone);
        if undisturbed
            && drained_since.is_some_and(|drained_since| now.since(*drained_since) > DRAIN_BOUND)
        {
            let details =
                format!("an opening reached target {target} in drained_since zone {zone}");
            self.add_violation(Rule::ZoneDrain, now, details);
        }
        if flow.service == PROBE_ADDRESS && undisturbed {
            self.check_probe(now, flow, Some(service));
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
            TargetEvent::FlowOpened(flow) => {
                let open = OpenFlow {
                    target: id,
                    arrivals: VecDeque::new(),
                };
                self.open.insert(key(*flow), open);
            }
            TargetEvent::KnownFlowPacket(flow) => self.record_arrival(now, *flow, true),
            TargetEvent::UnknownFlowPacket(flow) if undisturbed => {
                self.record_arrival(now, *flow, false)
            }
            TargetEvent::UnknownFlowPacket(_) => {}
            TargetEvent::RequestStarted { request, .. } => {
                if !self.sent_requests.contains(request) {
                    let details = format!("request {request} was never sent");
                    self.add_violation(Rule::OnlyAsked, now, details);
                }
                if !self.executed_requests.insert(*request) {
                    let details = format!("request {request} executed_requests again");
                    self.add_violation(Rule::Once, now, details);
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
                self.openings_sent_at.insert(key(*flow), now);
                self.count_after_recovery(now, false);
            }
            ClientEvent::RequestSent { request, .. } => {
                self.sent_requests.insert(*request);
            }
            ClientEvent::Reset {
                flow,
                open,
                without_loss,
            } => {
                let probed_without_route = flow.service == PROBE_ADDRESS && !open;
                self.failed += u64::from(!probed_without_route && !without_loss);
                self.handle_reset(now, *flow, *open, origin);
            }
            ClientEvent::Answered {
                flow,
                request,
                answer,
                latency,
            } => {
                if answer.request != *request || self.answered_by_other_target(*flow, answer.target)
                {
                    let details = format!("request {request} got another answer");
                    self.add_violation(Rule::OwnAnswer, now, details);
                }
                if answer.executed {
                    self.served += 1;
                    self.latencies.push(*latency);
                    self.count_after_recovery(now, true);
                }
            }
            ClientEvent::MalformedAnswer(flow) => {
                let details = format!("{} got no answer but bytes", flow.client);
                self.add_violation(Rule::OwnAnswer, now, details);
            }
            ClientEvent::TimedOut { flow, .. } => {
                self.failed += 1;
                self.open.remove(&key(*flow));
            }
        }
    }

    /// The run is over.
    pub fn finish(&mut self, now: Timestamp) {
        let recovered = self.recovery_served * 4 >= self.recovery_openings;
        if self.all_killed_at.is_some() && !recovered {
            let details = format!(
                "{} of {} served",
                self.recovery_served, self.recovery_openings
            );
            self.add_violation(Rule::Recovery, now, details);
        }
    }

    fn answered_by_other_target(&self, flow: FlowTuple, target: u64) -> bool {
        let open = self.open.get(&key(flow));
        target != 0 && open.is_some_and(|open| open.target.0 != target)
    }

    fn count_after_recovery(&mut self, now: Timestamp, served: bool) {
        let late = |killed: Timestamp| now.since(killed) > RECOVERY_BOUND;
        if !self.all_killed_at.is_some_and(late) {
            return;
        }
        if served {
            self.recovery_served += 1;
        } else {
            self.recovery_openings += 1;
        }
    }

    fn record_arrival(&mut self, now: Timestamp, flow: FlowTuple, is_own: bool) {
        let Some(open) = self.open.get_mut(&key(flow)) else {
            return;
        };
        open.arrivals.push_back((now, is_own));
        while let Some((at, _)) = open.arrivals.front()
            && now.since(*at) > REORDERING_WINDOW
        {
            open.arrivals.pop_front();
        }
        let misrouted = open.arrivals.iter().filter(|(_, is_own)| !is_own).count();
        if misrouted >= MISROUTED_PACKETS_THRESHOLD && misrouted == open.arrivals.len() {
            let details = format!("packets of {} go misrouted", flow.client);
            self.open.remove(&key(flow));
            self.add_violation(Rule::Flow, now, details);
        }
    }

    fn handle_reset(
        &mut self,
        now: Timestamp,
        flow: FlowTuple,
        open: bool,
        origin: Option<Origin>,
    ) {
        let flow_state = self.open.remove(&key(flow));
        if open && matches!(origin, Some(Origin::Node { .. })) {
            self.resets_by_nodes += 1;
        }
        let is_violation = match (origin, &flow_state) {
            (Some(Origin::Node { undisturbed }), _) => undisturbed,
            (Some(Origin::Target { id, undisturbed }), Some(flow_state)) => {
                id != flow_state.target && undisturbed
            }
            _ => false,
        };
        if open && flow_state.is_some() && is_violation {
            let details = format!("{} was handle_reset by {origin:?}", flow.client);
            self.add_violation(Rule::Flow, now, details);
        }
        let refused_by_node = matches!(origin, Some(Origin::Node { undisturbed: true }));
        if !open && refused_by_node && flow.service == PROBE_ADDRESS {
            self.check_probe(now, flow, None);
        }
    }

    /// An opening must not be handled_by as only a version allows that was overtaken when it was
    /// sent.
    fn check_probe(&mut self, now: Timestamp, flow: FlowTuple, handled_by: Option<usize>) {
        let Some(sent) = self.openings_sent_at.get(&key(flow)) else {
            return;
        };
        let sent = *sent;
        let in_force = |version: &Version| sent.since(version.accepted_at) > CONFIGURATION_BOUND;
        let oldest = self.versions.iter().rposition(in_force).unwrap_or(0);
        let allowed = self.versions[oldest..]
            .iter()
            .any(|version| version.probe == handled_by);
        if !allowed {
            let details = format!(
                "a probe was handled_by as {handled_by:?}, as only an older version allows"
            );
            self.add_violation(Rule::Configuration, now, details);
        }
    }

    fn add_violation(&mut self, rule: Rule, at: Timestamp, details: String) {
        self.violations.push(Violation { rule, at, details });
    }
}
