//! Metrics of the traffic threads.

use super::sender::SendOutcome;
use bellyoke_core::cookie::admission::RequestClass;
use bellyoke_core::cookie::forwarder::{Decision, DropReason, RefusalReason, ResetReason};
use bellyoke_core::cookie::locality::ZonePlacements;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

/// How a packet was handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketOutcome {
    /// The packet opened a flow and was sent to an instance.
    Placed,
    /// Forwarded by its cookie.
    Followed,
    /// Forwarded by its cookie, but queued until the link has capacity.
    Queued,
    /// Answered with a reset: there is no route.
    RefusedNoRoute,
    /// Answered with a reset: there is no instance.
    RefusedNoInstance,
    /// Answered with a reset: the service is overloaded.
    RefusedOverloaded,
    /// The open flow was reset: the address of its instance is now used by another instance.
    ResetSuperseded,
    /// The open flow was reset: its instance is unreachable.
    ResetUnreachable,
    /// An idle flow was reset: its instance has ended.
    ResetIdle,
    /// Dropped: the packet waited in the socket while the process was stalled.
    DroppedBacklog,
    /// Dropped: the cookie is unknown.
    DroppedUnknownCookie,
    /// Dropped: the same data is already queued for the link.
    DroppedDuplicate,
    /// Dropped: the queue for the link is full.
    DroppedQueueFull,
    /// Dropped: the packet has no cookie.
    DroppedNoCookie,
    /// Dropped: this node has no configuration yet.
    DroppedNotReady,
    /// Dropped: not a valid client packet.
    Malformed,
    /// The operating system failed to send the packet.
    SendFailed,
}

impl PacketOutcome {
    const ALL: [Self; 17] = [
        Self::Placed,
        Self::Followed,
        Self::Queued,
        Self::RefusedNoRoute,
        Self::RefusedNoInstance,
        Self::RefusedOverloaded,
        Self::ResetSuperseded,
        Self::ResetUnreachable,
        Self::ResetIdle,
        Self::DroppedBacklog,
        Self::DroppedUnknownCookie,
        Self::DroppedDuplicate,
        Self::DroppedQueueFull,
        Self::DroppedNoCookie,
        Self::DroppedNotReady,
        Self::Malformed,
        Self::SendFailed,
    ];

    /// Returns the name used in metrics and logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Placed => "placed",
            Self::Followed => "followed",
            Self::Queued => "held",
            Self::RefusedNoRoute => "refused_no_route",
            Self::RefusedNoInstance => "refused_no_instance",
            Self::RefusedOverloaded => "refused_overloaded",
            Self::ResetSuperseded => "reset_superseded",
            Self::ResetUnreachable => "reset_unreachable",
            Self::ResetIdle => "reset_resting",
            Self::DroppedBacklog => "dropped_backlog",
            Self::DroppedUnknownCookie => "dropped_unknown_cookie",
            Self::DroppedDuplicate => "dropped_duplicate",
            Self::DroppedQueueFull => "dropped_queue_full",
            Self::DroppedNoCookie => "dropped_no_cookie",
            Self::DroppedNotReady => "dropped_not_ready",
            Self::Malformed => "malformed",
            Self::SendFailed => "send_failed",
        }
    }
}

impl From<&Decision> for PacketOutcome {
    fn from(decision: &Decision) -> Self {
        match decision {
            Decision::Place { .. } => Self::Placed,
            Decision::Follow { .. } => Self::Followed,
            Decision::Refuse(RefusalReason::NoRoute) => Self::RefusedNoRoute,
            Decision::Refuse(RefusalReason::NoInstance) => Self::RefusedNoInstance,
            Decision::Refuse(RefusalReason::Overloaded) => Self::RefusedOverloaded,
            Decision::Reset(ResetReason::Superseded) => Self::ResetSuperseded,
            Decision::Reset(ResetReason::Unreachable) => Self::ResetUnreachable,
            Decision::Drop(DropReason::Backlog) => Self::DroppedBacklog,
            Decision::Drop(DropReason::UnknownCookie) => Self::DroppedUnknownCookie,
            Decision::Drop(DropReason::NoCookie) => Self::DroppedNoCookie,
            Decision::Drop(DropReason::NotReady) => Self::DroppedNotReady,
        }
    }
}

impl PacketOutcome {
    /// Returns the outcome of sending a packet of an open flow, which may be queued for the link.
    #[must_use]
    pub const fn from_send(sent: SendOutcome) -> Self {
        match sent {
            SendOutcome::Sent => Self::Followed,
            SendOutcome::Queued => Self::Queued,
            SendOutcome::Duplicate => Self::DroppedDuplicate,
            SendOutcome::QueueFull => Self::DroppedQueueFull,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

/// Upper bounds of the histogram buckets for the time that flows take to open, in seconds. Clients
/// retransmit an opening after 0.2 and 0.6 s.
const OPENING_SECONDS_BUCKETS: [f64; 9] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.6, 1.4];

/// Metrics of packets, shared by the traffic threads.
#[derive(Clone, Debug)]
pub struct PacketCounters {
    counters: [Counter; PacketOutcome::ALL.len()],
    opening_seconds: Histogram,
    link: LinkGauges,
    zones: ZoneGauges,
    admission: AdmissionMetrics,
}

/// Openings by zone and the load imbalance of instances.
#[derive(Clone, Debug, Default)]
struct ZoneGauges {
    own: Gauge,
    other: Gauge,
    imbalance: Gauge<f64, AtomicU64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ZoneLabel {
    zone: &'static str,
}

/// Labels of the admission metrics of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AdmissionLabels {
    service: String,
    priority: u32,
    may_repeat: u32,
}

impl AdmissionLabels {
    fn of(service: &str, class: RequestClass) -> Self {
        Self {
            service: service.to_owned(),
            priority: u32::from(class.priority),
            may_repeat: u32::from(class.may_retry),
        }
    }
}

/// Admitted share and refused openings of each service, by request class.
#[derive(Clone, Debug, Default)]
struct AdmissionMetrics {
    shares: Family<AdmissionLabels, Gauge<f64, AtomicU64>>,
    refused: Family<AdmissionLabels, Counter>,
}

impl AdmissionMetrics {
    fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register(
            "admitted_share",
            "Share of openings that are admitted, by service, priority (0 is the highest) and whether requests may be retried",
            metrics.shares.clone(),
        );
        registry.register(
            "openings_refused_overloaded",
            "Openings refused because most instances of their service queue, by service, priority and whether requests may be retried",
            metrics.refused.clone(),
        );
        metrics
    }
}

/// State of the node's own link as estimated by the sender.
#[derive(Clone, Debug, Default)]
struct LinkGauges {
    bytes_per_second: Gauge,
    queued_packets: Gauge,
}

impl ZoneGauges {
    fn register(registry: &mut Registry) -> Self {
        let family = Family::<ZoneLabel, Gauge>::default();
        registry.register(
            "openings_by_zone",
            "Openings sent to the node's own zone and to other zones since its start",
            family.clone(),
        );
        let imbalance = Gauge::<f64, AtomicU64>::default();
        registry.register(
            "instance_imbalance",
            "Load of the busiest instance relative to the mean, by this node's own packets",
            imbalance.clone(),
        );
        let of = |zone| family.get_or_create(&ZoneLabel { zone }).clone();
        Self {
            own: of("own"),
            other: of("other"),
            imbalance,
        }
    }
}

impl PacketCounters {
    /// Creates the metrics and registers them with `registry`.
    #[must_use]
    pub fn new(registry: &mut Registry) -> Self {
        let family = Family::<OutcomeLabel, Counter>::default();
        registry.register("packets", "Packets by outcome", family.clone());
        let counters = PacketOutcome::ALL.map(|outcome| {
            let label = OutcomeLabel {
                outcome: outcome.name(),
            };
            family.get_or_create(&label).clone()
        });
        let opening_seconds = Histogram::new(OPENING_SECONDS_BUCKETS);
        registry.register(
            "opening_seconds",
            "Time from an opening to the next packet of its flow",
            opening_seconds.clone(),
        );
        let link = LinkGauges::default();
        registry.register(
            "link_bytes_per_second",
            "Rate at which bulk data is paced, 0 while it is not paced",
            link.bytes_per_second.clone(),
        );
        registry.register(
            "link_held_packets",
            "Packets queued until the link has capacity",
            link.queued_packets.clone(),
        );
        Self {
            counters,
            opening_seconds,
            link,
            zones: ZoneGauges::register(registry),
            admission: AdmissionMetrics::register(registry),
        }
    }

    /// Sets the share of a service's openings of a class that are admitted.
    pub fn set_admitted_share(&self, service: &str, class: RequestClass, share: f32) {
        let labels = AdmissionLabels::of(service, class);
        let gauge = self.admission.shares.get_or_create(&labels);
        gauge.set(f64::from(share));
    }

    /// Counts an opening of a class that was refused because its service is overloaded.
    pub fn count_refused(&self, service: &str, class: RequestClass) {
        let labels = AdmissionLabels::of(service, class);
        self.admission.refused.get_or_create(&labels).inc();
    }

    /// Sets the number of openings by zone.
    pub fn set_zone_placements(&self, placements: ZonePlacements) {
        let gauge = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        self.zones.own.set(gauge(placements.own));
        self.zones.other.set(gauge(placements.other));
    }

    /// Sets the load of the busiest instance of a service relative to the mean, for the service with
    /// the greatest imbalance.
    pub fn set_imbalance(&self, imbalance: f32) {
        self.zones.imbalance.set(f64::from(imbalance));
    }

    /// Sets the estimated rate of the link, `None` while it is not paced, and the queue length.
    pub fn set_link(&self, bytes_per_second: Option<f32>, queued_packets: usize) {
        let rate = bytes_per_second.unwrap_or_default();
        self.link.bytes_per_second.set(rate as i64);
        self.link
            .queued_packets
            .set(i64::try_from(queued_packets).unwrap_or(i64::MAX));
    }

    /// Records how long a flow took to open.
    pub fn record_opening_time(&self, duration: Duration) {
        self.opening_seconds.observe(duration.as_secs_f64());
    }

    /// Counts a packet.
    pub fn count(&self, outcome: PacketOutcome) {
        self.counters[outcome as usize].inc();
    }
}
