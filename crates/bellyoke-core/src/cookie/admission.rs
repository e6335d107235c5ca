//! Admission of new flows while a service's instances are overloaded.
//!
//! An overloaded instance queues what it can and turns away the rest, whoever that is. A node that refuses the
//! right openings instead leaves the instances what matters: the lowest priority is refused first, and within a
//! priority what may be repeated before what may not. A refusal is an answer to an opening of which nothing was
//! sent on, so that nothing of it has run.
//!
//! No rate is set by hand. [`service`] learns from the answers to requests that most instances queue and some
//! turn requests away, and then gives out openings at the rate that is served, as Breakwater (Cho et al., OSDI
//! 2020) does with credits: a little more while little is lost, less in the measure of what is lost. The classes
//! take from it in their order, as in DAGOR (Zhou et al., `SoCC` 2018).
//!
//! Each node decides for its own openings, from what it sees itself. Without answers there is no overload, and
//! nothing is refused.

pub mod budget;
pub mod service;
pub mod signs;

use crate::cookie::answers::{AnswerOutcome, AnswerSample};
use crate::cookie::instance::Cookie;
use crate::cookie::last_seen::LastSeenTable;
use crate::cookie::packet::FlowPacket;
use crate::cookie::route::RequestPolicy;
use crate::cookie::table::{ForwardingTable, ServiceNumber};
use crate::time::Timestamp;
use service::ServiceGate;
use signs::QueueCount;
use std::time::Duration;

/// Flows whose verdict is remembered, 16 bytes each: more than a node opens while a client sends copies.
const VERDICT_PLACES: usize = 1_024;

/// How long the copies of an opening share its verdict: clients give up after 1.4 s.
const VERDICT_LIFETIME: Duration = Duration::from_millis(1_500);

/// How admission decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Whether anything is refused for overload.
    pub enabled: bool,
    /// Share of the requests that instances may turn away before less is admitted. With none, instances would
    /// idle between two requests; of what is turned away with such odds three times, one in 250 is lost.
    pub lost_share: f32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            enabled: true,
            lost_share: 0.16,
        }
    }
}

/// Which requests are refused before which. The order is that of admission: the least goes first.
///
/// ```
/// use bellyoke_core::cookie::admission::RequestClass;
/// use bellyoke_core::cookie::route::{RequestKind, RequestPolicy};
///
/// let class = |priority, kind| RequestClass::of(&RequestPolicy { priority, kind, ..RequestPolicy::default() });
/// let order = class(1, RequestKind::NonIdempotent);
/// let lookup = class(1, RequestKind::Idempotent);
/// assert!(order < lookup, "what can't be repeated is admitted first");
/// assert!(lookup < class(2, RequestKind::NonIdempotent), "0 is the highest priority");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestClass {
    /// Rank of the requests; 0 goes first.
    pub priority: u8,
    /// Whether they may be sent again once they may have run.
    pub may_retry: bool,
}

impl RequestClass {
    /// The class of a route's requests.
    #[must_use]
    pub const fn of(request_policy: &RequestPolicy) -> Self {
        Self {
            priority: request_policy.priority,
            may_retry: request_policy.kind.may_retry(),
        }
    }
}

/// What is believed of a service's load.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionChange {
    /// Name of the service.
    pub service: String,
    /// Whether its instances are overloaded from now on, or no longer.
    pub overloaded: bool,
    /// Openings a second that came to this node of late.
    pub offered: f32,
    /// Requests a second that were answered of late.
    pub served: f32,
    /// Openings a second that this node admits while overload lasts.
    pub budget: f32,
    /// Share of the requests that was lost of late.
    pub lost_share: f32,
    /// The instances that were sampled of late.
    pub queues: QueueCount,
}

/// Decides which openings a traffic thread admits.
///
/// ```
/// use bellyoke_core::cookie::admission::{AdmissionGate, AdmissionSettings};
///
/// let gate = AdmissionGate::new(AdmissionSettings::default());
/// assert_eq!(gate.admitted_shares().count(), 0, "nothing is known of any service");
/// ```
#[derive(Debug)]
pub struct AdmissionGate {
    settings: AdmissionSettings,
    /// By service number, with the name that the number had.
    services: Vec<(String, ServiceGate)>,
    configuration_version: u64,
    refused: LastSeenTable,
    admitted: LastSeenTable,
}

impl AdmissionGate {
    /// A gate that knows of no load.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            services: Vec::new(),
            configuration_version: 0,
            refused: LastSeenTable::new(VERDICT_PLACES),
            admitted: LastSeenTable::new(VERDICT_PLACES),
        }
    }

    /// Whether the opening of a flow of `service` is admitted. `attempt` counts the copies sent before it.
    pub fn admits(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        packet: &FlowPacket,
        attempt: u32,
        service: ServiceNumber,
        request_policy: &RequestPolicy,
    ) -> bool {
        if !self.settings.enabled {
            return true;
        }
        let key = packet.flow.hash() | 1;
        if let Some(verdict) = self.earlier_verdict(now, key, attempt) {
            return verdict;
        }
        let settings = self.settings;
        let Some(gate) = self.gate(table, service) else {
            return true;
        };
        let class = RequestClass::of(request_policy);
        let admitted = gate.offer(now, &settings, packet.flow.service, class);
        let verdicts = if admitted {
            &mut self.admitted
        } else {
            &mut self.refused
        };
        verdicts.record(now, key);
        admitted
    }

    /// Takes what became of a request.
    pub fn answered(&mut self, now: Timestamp, table: &ForwardingTable, sample: &AnswerSample) {
        let settings = self.settings;
        if let Some(gate) = self.gate(table, sample.service) {
            gate.answered(now, &settings, sample);
        }
    }

    /// Takes the instances at which openings came to nothing for `waited`.
    pub fn openings_failed(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        failed: impl Iterator<Item = Cookie>,
        waited: Duration,
    ) {
        if !self.settings.enabled {
            return;
        }
        for cookie in failed {
            let Some(service) = table.service_of(cookie) else {
                continue;
            };
            let sample = AnswerSample {
                cookie,
                service,
                priority: 0,
                outcome: AnswerOutcome::Unanswered { waited },
            };
            self.answered(now, table, &sample);
        }
    }

    /// What changed in the belief about services since the last call.
    pub fn review(&mut self, now: Timestamp) -> Vec<AdmissionChange> {
        let mut changes = Vec::new();
        for (name, gate) in &mut self.services {
            gate.turn(now, &self.settings);
            changes.extend(gate.take_change(name));
        }
        changes
    }

    /// The share of the openings that is admitted, by service and class, for those that came of late.
    pub fn admitted_shares(&self) -> impl Iterator<Item = (&str, RequestClass, f32)> {
        let services = self.services.iter();
        services.flat_map(|(name, gate)| {
            let shares = gate.admitted_shares();
            shares.map(|(class, share)| (&name[..], class, share))
        })
    }

    /// What was decided on an earlier copy of the same opening. A copy whose predecessors this node didn't
    /// see is admitted: another node may have sent one on.
    fn earlier_verdict(&self, now: Timestamp, key: u64, attempt: u32) -> Option<bool> {
        let is_recent =
            |at: Option<Timestamp>| at.is_some_and(|at| now.since(at) < VERDICT_LIFETIME);
        if is_recent(self.admitted.seen_at(key)) {
            return Some(true);
        }
        if is_recent(self.refused.seen_at(key)) {
            return Some(false);
        }
        (attempt > 0).then_some(true)
    }

    fn gate(
        &mut self,
        table: &ForwardingTable,
        service: ServiceNumber,
    ) -> Option<&mut ServiceGate> {
        self.adopt(table);
        let index = usize::try_from(service.0).ok()?;
        self.services.get_mut(index).map(|(_, gate)| gate)
    }

    /// Numbers the services as `table` does; what is known of them goes by their names.
    fn adopt(&mut self, table: &ForwardingTable) {
        if self.configuration_version == table.configuration_version() {
            return;
        }
        self.configuration_version = table.configuration_version();
        let mut held = std::mem::take(&mut self.services);
        let renumbered = table.services().iter().map(|name| {
            let index = held.iter().position(|(known, _)| known == name);
            index.map_or_else(
                || (name.clone(), ServiceGate::default()),
                |index| held.swap_remove(index),
            )
        });
        self.services = renumbered.collect();
    }
}
