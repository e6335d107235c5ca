//! Admission control for new flows while the instances of a service are overloaded.
//!
//! An overloaded instance fills its queue and rejects everything beyond it, regardless of
//! priority. Refusing openings at the node preserves the more important requests: lower priorities
//! are refused first, and within a priority requests that may be retried are refused before those
//! that may not. Nothing of a refused opening was forwarded, so no part of its request has run.
//!
//! The admitted rate isn't configured. [`service`] detects overload from the outcomes of requests
//! (most instances queue, and some reject requests) and then admits openings at the rate at which
//! requests are served, similar to the credits of Breakwater (Cho et al., OSDI 2020): the rate
//! grows slightly while few requests are lost and shrinks in proportion to the excess loss. Classes
//! draw on it in order of priority, as in DAGOR (Zhou et al., `SoCC` 2018).
//!
//! Each node decides about its own openings from its own observations. As long as no answers are
//! observed, no overload is detected and nothing is refused.

pub mod budget;
pub mod queueing;
pub mod service;

use crate::cookie::answers::{AnswerOutcome, AnswerSample};
use crate::cookie::instance::Cookie;
use crate::cookie::last_seen::LastSeenTable;
use crate::cookie::packet::FlowPacket;
use crate::cookie::route::RequestPolicy;
use crate::cookie::table::{ForwardingTable, ServiceNumber};
use crate::time::Timestamp;
use queueing::QueueingCount;
use service::ServiceAdmission;
use std::time::Duration;

/// Number of flows whose admission decision is cached, 16 bytes each. Exceeds the number of flows
/// that a node opens while a client sends copies of one opening.
const DECISION_CACHE_SIZE: usize = 1_024;

/// How long copies of an opening share its decision. Clients give up after 1.4 s.
const DECISION_LIFETIME: Duration = Duration::from_millis(1_500);

/// Settings of admission control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Whether openings are refused because of overload.
    pub enabled: bool,
    /// Share of requests that may be lost before the admitted rate shrinks. At zero, instances
    /// would be idle between requests. If each of three tries is rejected with a probability of
    /// 0.16, one request in 250 fails.
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

/// Class of requests that are admitted or refused together. Classes order by admission: the
/// smallest is admitted first.
///
/// ```
/// use bellyoke_core::cookie::admission::RequestClass;
/// use bellyoke_core::cookie::route::{RequestKind, RequestPolicy};
///
/// let class = |priority, kind| RequestClass::of(&RequestPolicy { priority, kind, ..RequestPolicy::default() });
/// let order = class(1, RequestKind::NonIdempotent);
/// let lookup = class(1, RequestKind::Idempotent);
/// assert!(order < lookup, "requests that can't be retried are admitted first");
/// assert!(lookup < class(2, RequestKind::NonIdempotent), "0 is the highest priority");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestClass {
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Whether a request that may have run may be retried.
    pub may_retry: bool,
}

impl RequestClass {
    /// Returns the class of a route's requests.
    #[must_use]
    pub const fn of(request_policy: &RequestPolicy) -> Self {
        Self {
            priority: request_policy.priority,
            may_retry: request_policy.kind.may_retry(),
        }
    }
}

/// Start or end of overload of a service, with the figures behind it.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionChange {
    /// Name of the service.
    pub service: String,
    /// Whether the service is now considered overloaded.
    pub overloaded: bool,
    /// Openings per second that recently arrived at this node.
    pub offered: f32,
    /// Requests per second that were recently answered.
    pub served: f32,
    /// Openings per second that this node admits during overload.
    pub budget: f32,
    /// Share of requests that was recently lost.
    pub lost_share: f32,
    /// Recently sampled instances and how many of them queue.
    pub queues: QueueingCount,
}

/// Decides which openings a traffic thread admits.
///
/// ```
/// use bellyoke_core::cookie::admission::{AdmissionController, AdmissionSettings};
///
/// let controller = AdmissionController::new(AdmissionSettings::default());
/// assert_eq!(controller.admitted_shares().count(), 0, "no service has been seen");
/// ```
#[derive(Debug)]
pub struct AdmissionController {
    settings: AdmissionSettings,
    /// Indexed by service number, with the name of the service.
    services: Vec<(String, ServiceAdmission)>,
    configuration_version: u64,
    refused: LastSeenTable,
    admitted: LastSeenTable,
}

impl AdmissionController {
    /// Creates a controller without load statistics.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            services: Vec::new(),
            configuration_version: 0,
            refused: LastSeenTable::new(DECISION_CACHE_SIZE),
            admitted: LastSeenTable::new(DECISION_CACHE_SIZE),
        }
    }

    /// Returns whether to admit an opening of a flow of `service`. `attempt` is the number of
    /// copies that the client sent before this one.
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
        if let Some(decision) = self.earlier_decision(now, key, attempt) {
            return decision;
        }
        let settings = self.settings;
        let Some(service) = self.service_mut(table, service) else {
            return true;
        };
        let class = RequestClass::of(request_policy);
        let admitted = service.admit(now, &settings, packet.flow.service, class);
        let decisions = if admitted {
            &mut self.admitted
        } else {
            &mut self.refused
        };
        decisions.record(now, key);
        admitted
    }

    /// Records the outcome of a request.
    pub fn record_answer(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        sample: &AnswerSample,
    ) {
        let settings = self.settings;
        if let Some(service) = self.service_mut(table, sample.service) {
            service.record_answer(now, &settings, sample);
        }
    }

    /// Records that openings sent to the instances in `failed` were still incomplete after
    /// `waited`.
    pub fn record_failed_openings(
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
            self.record_answer(now, table, &sample);
        }
    }

    /// Ends windows that are due and returns the changes since the last call.
    pub fn review(&mut self, now: Timestamp) -> Vec<AdmissionChange> {
        let mut changes = Vec::new();
        for (name, service) in &mut self.services {
            service.roll_window(now, &self.settings);
            changes.extend(service.take_change(name));
        }
        changes
    }

    /// Returns the share of recent openings that is admitted, by service and class.
    pub fn admitted_shares(&self) -> impl Iterator<Item = (&str, RequestClass, f32)> {
        let services = self.services.iter();
        services.flat_map(|(name, service)| {
            let shares = service.admitted_shares();
            shares.map(|(class, share)| (&name[..], class, share))
        })
    }

    /// Returns the decision on an earlier copy of the same opening. Later copies whose first one
    /// this node didn't see are admitted: another node may have forwarded it.
    fn earlier_decision(&self, now: Timestamp, key: u64, attempt: u32) -> Option<bool> {
        let is_recent =
            |at: Option<Timestamp>| at.is_some_and(|at| now.since(at) < DECISION_LIFETIME);
        if is_recent(self.admitted.seen_at(key)) {
            return Some(true);
        }
        if is_recent(self.refused.seen_at(key)) {
            return Some(false);
        }
        (attempt > 0).then_some(true)
    }

    fn service_mut(
        &mut self,
        table: &ForwardingTable,
        service: ServiceNumber,
    ) -> Option<&mut ServiceAdmission> {
        self.adopt(table);
        let index = usize::try_from(service.0).ok()?;
        self.services.get_mut(index).map(|(_, service)| service)
    }

    /// Renumbers the services as in `table`. Load statistics are carried over by service name.
    fn adopt(&mut self, table: &ForwardingTable) {
        if self.configuration_version == table.configuration_version() {
            return;
        }
        self.configuration_version = table.configuration_version();
        let mut former = std::mem::take(&mut self.services);
        let renumbered = table.services().iter().map(|name| {
            let index = former.iter().position(|(known, _)| known == name);
            index.map_or_else(
                || (name.clone(), ServiceAdmission::default()),
                |index| former.swap_remove(index),
            )
        });
        self.services = renumbered.collect();
    }
}
