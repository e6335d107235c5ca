//! Rules that every run must keep, checked against the observations of clients, targets and the
//! operator.

use super::client::ClientEvent;
use super::scenario::PROBE_ADDRESS;
use super::target::TargetEvent;
use bellyoke_core::cookie::instance::InstanceId;
use bellyoke_core::cookie::packet::FlowTuple;
use bellyoke_core::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Maximum time from the write of a configuration until all undisturbed nodes use it.
pub const CONFIGURATION_BOUND: Duration = Duration::from_secs(3);

/// Maximum time after which a draining target, or one without a record, receives no new flow.
pub const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// A node counts as undisturbed if neither it nor the store had a fault for this long.
pub const UNDISTURBED_PERIOD: Duration = Duration::from_secs(4);

/// Time after a kill of all nodes from which they must serve again.
pub const RECOVERY_BOUND: Duration = Duration::from_secs(12);

/// Period for which misrouted packets of a flow are counted. Reordered packets arrive within it.
const REORDERING_WINDOW: Duration = Duration::from_secs(2);

/// Number of misrouted packets, with no correctly routed one among them, at which a flow counts as
/// broken.
const MISROUTED_PACKETS_THRESHOLD: usize = 3;

/// A rule that every run must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A client receives the complete answer to its own request.
    OwnAnswer,
    /// Only requests that clients sent are executed.
    OnlyAsked,
    /// A request is executed at most once.
    Once,
    /// A request is executed only at a service that its address was routed to at some time.
    Route,
    /// A target that is draining or has no record receives no new flow.
    Drain,
    /// Targets in a drained zone receive no new flow.
    ZoneDrain,
    /// A configuration takes effect within [`CONFIGURATION_BOUND`].
    Configuration,
    /// An open flow is neither reset nor misrouted.
    Flow,
    /// After a kill of all nodes, they serve again within [`RECOVERY_BOUND`].
    Recovery,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Time of the violation.
    pub at: Timestamp,
    /// Description of the violation.
    pub details: String,
}

/// Sender of a packet to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A node.
    Node {
        /// Whether the node was undisturbed.
        undisturbed: bool,
    },
    /// A target.
    Target {
        /// Identity of the target.
        id: InstanceId,
        /// Whether the node that forwarded the client's packet was undisturbed.
        undisturbed: bool,
    },
}

/// Arrival of an opening at a target.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Identity of the target.
    pub target: InstanceId,
    /// Index of the target's service.
    pub service: usize,
    /// Index of the target's zone.
    pub zone: usize,
    /// Whether the node that forwarded the opening was undisturbed.
    pub undisturbed: bool,
}

#[derive(Debug)]
struct OpenFlow {
    target: InstanceId,
    /// Recent arrivals, each with its time and whether it reached the flow's own target.
    arrivals: VecDeque<(Timestamp, bool)>,
}

#[derive(Clone, Copy, Debug)]
struct Version {
    accepted_at: Timestamp,
    probe: Option<usize>,
}

/// Checks the rules during a run.
#[derive(Debug, Default)]
pub struct RuleChecker {
    violations: Vec<Violation>,
    sent_requests: BTreeSet<u64>,
    executed_requests: BTreeSet<u64>,
    routed_services: BTreeSet<(SocketAddrV4, usize)>,
    versions: Vec<Version>,
    leaving: BTreeMap<InstanceId, Timestamp>,
    drained_zones: BTreeMap<usize, Timestamp>,
    /// Targets whose links had a fault, and its end.
    disturbed_targets: BTreeMap<InstanceId, Timestamp>,
    open: BTreeMap<(SocketAddrV4, SocketAddrV4), OpenFlow>,
    openings_sent_at: BTreeMap<(SocketAddrV4, SocketAddrV4), Timestamp>,
    all_killed_at: Option<Timestamp>,
    recovery_openings: u64,
    recovery_served: u64,
    /// Requests that failed, including those whose flow never opened.
    pub failed: u64,
    /// Requests that were executed and answered.
    pub served: u64,
    /// Resets of open flows that nodes sent.
    pub resets_by_nodes: u64,
    /// Latency of each executed request.
    pub latencies: Vec<Duration>,
}

const fn key(flow: FlowTuple) -> (SocketAddrV4, SocketAddrV4) {
    (flow.client, flow.service)
}

impl RuleChecker {
    /// Returns the violations found so far.
    #[must_use]
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Records a violation that only the host can detect.
    pub fn record_violation(&mut self, violation: Violation) {
        self.violations.push(violation);
    }

    /// Records that the operator's configuration was accepted by the store.
    pub fn record_configuration(&mut self, now: Timestamp, routes: &[(SocketAddrV4, usize)]) {
        self.routed_services.extend(routes);
        let probe = routes.iter().find(|(address, _)| *address == PROBE_ADDRESS);
        self.versions.push(Version {
            accepted_at: now,
            probe: probe.map(|(_, service)| *service),
        });
    }

    /// Records that the drain of a target, or the deletion of its record, was accepted by the
    /// store.
    pub fn record_leaving(&mut self, now: Timestamp, id: InstanceId) {
        self.leaving.entry(id).or_insert(now);
    }

    /// Records that the links of a target have a fault until a time.
    pub fn record_target_disturbance(&mut self, id: InstanceId, until: Timestamp) {
        self.disturbed_targets.insert(id, until);
    }

    /// Records that the operator's drain of a zone was accepted by the store.
    pub fn record_zone_drain(&mut self, now: Timestamp, zone: usize) {
        self.drained_zones.entry(zone).or_insert(now);
    }

    /// Records that a zone was undrained.
    pub fn record_zone_undrain(&mut self, zone: usize) {
        self.drained_zones.remove(&zone);
    }

    /// Records that all nodes were killed.
    pub const fn record_kill_of_all(&mut self, now: Timestamp) {
        self.all_killed_at = Some(now);
    }

    /// Records that a target stopped. Its flows are no longer checked.
    pub fn record_target_end(&mut self, id: InstanceId) {
        self.open.retain(|_, open| open.target != id);
    }

    /// Checks an opening that a target accepted.
    pub fn check_opening(&mut self, now: Timestamp, flow: FlowTuple, arrival: Arrival) {
        let Arrival {
            target,
            service,
            zone,
            undisturbed,
        } = arrival;
        if !self.routed_services.contains(&(flow.service, service)) {
            let details = format!("an opening to {} reached service {service}", flow.service);
            self.add_violation(Rule::Route, now, details);
        }
        let leaving_since = self.leaving.get(&target);
        if undisturbed
            && leaving_since.is_some_and(|leaving_since| now.since(*leaving_since) > DRAIN_BOUND)
        {
            let details =
                format!("an opening reached target {target}, which was draining or had no record");
            self.add_violation(Rule::Drain, now, details);
        }
        let drained_since = self.drained_zones.get(&zone);
        if undisturbed
            && drained_since.is_some_and(|drained_since| now.since(*drained_since) > DRAIN_BOUND)
        {
            let details = format!("an opening reached target {target} in drained zone {zone}");
            self.add_violation(Rule::ZoneDrain, now, details);
        }
        if flow.service == PROBE_ADDRESS && undisturbed {
            self.check_probe(now, flow, Some(service));
        }
    }

    /// Handles an event at a target.
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
            TargetEvent::KnownFlow(flow) => self.record_arrival(now, *flow, true),
            TargetEvent::UnknownFlow(flow) if undisturbed => self.record_arrival(now, *flow, false),
            TargetEvent::UnknownFlow(_) => {}
            TargetEvent::RequestStarted { request, .. } => {
                if !self.sent_requests.contains(request) {
                    let details = format!("request {request} was never sent");
                    self.add_violation(Rule::OnlyAsked, now, details);
                }
                if !self.executed_requests.insert(*request) {
                    let details = format!("request {request} was executed twice");
                    self.add_violation(Rule::Once, now, details);
                }
            }
        }
    }

    /// Handles an event at a client. `origin` is the sender of the packet that caused it, or `None`
    /// if no packet did.
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
                    let details = format!(
                        "request {request} got the answer to another request or from another target"
                    );
                    self.add_violation(Rule::OwnAnswer, now, details);
                }
                if answer.executed {
                    self.served += 1;
                    self.latencies.push(*latency);
                    self.count_after_recovery(now, true);
                }
            }
            ClientEvent::MalformedAnswer(flow) => {
                let details = format!("{} received data that is not an answer", flow.client);
                self.add_violation(Rule::OwnAnswer, now, details);
            }
            ClientEvent::TimedOut { flow, .. } => {
                self.failed += 1;
                self.open.remove(&key(*flow));
            }
        }
    }

    /// Ends the run and checks [`Rule::Recovery`].
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
        let is_recovered = |killed: Timestamp| now.since(killed) > RECOVERY_BOUND;
        if !self.all_killed_at.is_some_and(is_recovered) {
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
            let details = format!("packets of {} are misrouted", flow.client);
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
        let disturbed_until = flow_state
            .as_ref()
            .and_then(|flow_state| self.disturbed_targets.get(&flow_state.target));
        let is_excused =
            disturbed_until.is_some_and(|until| now.since(*until) < UNDISTURBED_PERIOD);
        if open && flow_state.is_some() && is_violation && !is_excused {
            let details = format!("{} was reset by {origin:?}", flow.client);
            self.add_violation(Rule::Flow, now, details);
        }
        let refused_by_node = matches!(origin, Some(Origin::Node { undisturbed: true }));
        if !open && refused_by_node && flow.service == PROBE_ADDRESS {
            self.check_probe(now, flow, None);
        }
    }

    /// Checks that a probe was not handled in a way that only a superseded configuration allows. A
    /// configuration is superseded if a newer one had to be in effect when the opening was sent.
    fn check_probe(&mut self, now: Timestamp, flow: FlowTuple, handled_by: Option<usize>) {
        let Some(sent) = self.openings_sent_at.get(&key(flow)) else {
            return;
        };
        let sent = *sent;
        let in_effect = |version: &Version| sent.since(version.accepted_at) > CONFIGURATION_BOUND;
        let oldest = self.versions.iter().rposition(in_effect).unwrap_or(0);
        let allowed = self.versions[oldest..]
            .iter()
            .any(|version| version.probe == handled_by);
        if !allowed {
            let details = format!(
                "a probe was routed to {handled_by:?}, which only a superseded configuration allows"
            );
            self.add_violation(Rule::Configuration, now, details);
        }
    }

    fn add_violation(&mut self, rule: Rule, at: Timestamp, details: String) {
        self.violations.push(Violation { rule, at, details });
    }
}
