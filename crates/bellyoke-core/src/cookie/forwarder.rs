//! The decision for each packet.

use crate::cookie::health::{HealthChange, HealthSettings, OpeningMonitor};
use crate::cookie::instance::Cookie;
use crate::cookie::load::{LoadMeter, OPENING_WEIGHT, PACKET_WEIGHT};
use crate::cookie::packet::{Destination, FlowPacket, PacketRole};
use crate::cookie::placement::{Suitability, choose_instance, choose_part};
use crate::cookie::table::{Candidate, ForwardingTable};
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

/// How long after its record went an instance is still better than no instance. Shorter than
/// the time within which a leaving instance must get no new flow.
pub const RECENTLY_GONE: Duration = Duration::from_millis(1_500);

/// What to do with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Open the flow at this instance.
    Place {
        /// Where the packet goes.
        destination: Destination,
        /// What spoke for the instance.
        suitability: Suitability,
    },
    /// Pass the packet on to the instance that it names.
    Follow {
        /// Where the packet goes.
        destination: Destination,
        /// How long the flow took to open, if this is its first packet after the opening.
        opened_after: Option<Duration>,
    },
    /// Answer with a reset.
    Refuse(RefusalReason),
    /// End an open flow, whose instance has ended, with a reset. What was sent on it may have run.
    Reset(ResetReason),
    /// Do nothing.
    Drop(DropReason),
}

/// Why a flow is refused at once. Nothing of it has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// No route has this address and port.
    NoRoute,
    /// The route's services have no instance that takes new flows.
    NoInstance,
}

/// Why an open flow is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResetReason {
    /// Another instance has taken over the address of the flow's.
    Superseded,
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// An opening that waited while this process stood still.
    Backlog,
    /// It names an instance that is not remembered. No reset: the instance may be alive and
    /// known to others.
    UnknownCookie,
    /// It opens nothing and names nobody.
    NoCookie,
    /// This node doesn't know both routes and instances yet.
    NotReady,
}

/// Decides for the packets of one traffic thread.
#[derive(Debug)]
pub struct Forwarder {
    monitor: OpeningMonitor,
    loads: LoadMeter,
}

impl Forwarder {
    /// A forwarder that has seen no packet.
    #[must_use]
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            monitor: OpeningMonitor::new(settings),
            loads: LoadMeter::default(),
        }
    }

    /// What to do with a packet that was read at `now`; `backlog` tells whether it may have
    /// waited while the process stood still.
    pub fn decide(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        packet: &FlowPacket,
        backlog: bool,
    ) -> Decision {
        match packet.role {
            PacketRole::Opening { .. } if backlog => Decision::Drop(DropReason::Backlog),
            PacketRole::Opening { attempt } => self.open(now, table, packet, attempt),
            PacketRole::Later | PacketRole::Abort => self.follow(now, table, packet),
        }
    }

    /// Looks at what has come of earlier openings, and returns what changed in the belief about
    /// instances.
    pub fn review(&mut self, now: Timestamp, table: &ForwardingTable) -> Vec<HealthChange> {
        self.monitor.expire(now);
        self.monitor
            .retain(|cookie| table.destination(cookie).is_some());
        self.monitor.take_changes()
    }

    /// Instances that fail the openings of this thread.
    pub fn failing_instances(&self) -> impl Iterator<Item = Cookie> {
        self.monitor.failing_instances()
    }

    /// Instances that peers suspect.
    pub fn set_peer_suspicions(&mut self, suspected: &BTreeSet<Cookie>) {
        self.monitor.set_peer_suspicions(suspected);
    }

    /// The process stood still: openings under way prove nothing.
    pub fn stalled(&mut self) {
        self.monitor.forget_pending();
    }

    fn open(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        packet: &FlowPacket,
        attempt: u32,
    ) -> Decision {
        if !table.is_informed() {
            return Decision::Drop(DropReason::NotReady);
        }
        let flow_hash = packet.flow.hash();
        let Some(parts) = table.route(packet.flow.service) else {
            return Decision::Refuse(RefusalReason::NoRoute);
        };
        let Some(part) = choose_part(parts, flow_hash) else {
            return Decision::Refuse(RefusalReason::NoInstance);
        };
        let monitor = &self.monitor;
        let loads = &self.loads;
        let chosen = choose_instance(
            table.candidates(part),
            flow_hash,
            attempt,
            |candidate| suitability(now, monitor, candidate),
            |candidate| {
                // A dead instance is idle too, but not therefore to be preferred.
                if monitor.is_doubted(candidate.cookie) {
                    f32::INFINITY
                } else {
                    loads.load(now, candidate.cookie)
                }
            },
        );
        let Some(chosen) = chosen else {
            return Decision::Refuse(RefusalReason::NoInstance);
        };
        let suitability = suitability(now, monitor, chosen).unwrap_or(Suitability::RecentlyGone);
        let destination = chosen.destination();
        self.monitor.opening(now, flow_hash, destination.cookie);
        self.loads.count(now, destination.cookie, OPENING_WEIGHT);
        Decision::Place {
            destination,
            suitability,
        }
    }

    fn follow(&mut self, now: Timestamp, table: &ForwardingTable, packet: &FlowPacket) -> Decision {
        let Some(cookie) = packet.cookie else {
            return Decision::Drop(DropReason::NoCookie);
        };
        let Some(destination) = table.destination(cookie) else {
            return Decision::Drop(DropReason::UnknownCookie);
        };
        let destination = *destination;
        if packet.role == PacketRole::Later && table.is_superseded(cookie) {
            return Decision::Reset(ResetReason::Superseded);
        }
        self.loads.count(now, cookie, PACKET_WEIGHT);
        let opened_after = self.monitor.progress(now, packet.flow.hash(), cookie);
        Decision::Follow {
            destination,
            opened_after,
        }
    }
}

/// How willing a candidate is to take a flow at `now`; none if it must not get one.
fn suitability(
    now: Timestamp,
    monitor: &OpeningMonitor,
    candidate: &Candidate,
) -> Option<Suitability> {
    if let Some(gone_at) = candidate.gone_at {
        return (now.since(gone_at) < RECENTLY_GONE).then_some(Suitability::RecentlyGone);
    }
    if monitor.is_suspected(now, candidate.cookie) {
        return Some(Suitability::Suspected);
    }
    if now < candidate.warm_at {
        return Some(Suitability::Cold);
    }
    Some(Suitability::Full)
}
