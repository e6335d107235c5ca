//! A simulated node: the ownership state machine and a model of its traffic threads.

use super::generations::IDLE_TIMEOUT_SECONDS;
use bellyoke_core::flow::{EscalationKind, FlowPlace, OpenedFlow, SettledBucket};
use bellyoke_core::generation::{BackendState, Bucket, Generation, Placement, Service};
use bellyoke_core::identity::{BackendId, BucketIndex, GenerationNumber, NodeId, ServiceId};
use bellyoke_core::node::ownership::{Ownership, OwnershipSettings};
use bellyoke_core::packet::FlowHash;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub const LEASE_DURATION: Duration = Duration::from_millis(600);
pub const DELAY_HORIZON: Duration = Duration::from_millis(3000);

/// A flow in the table of a traffic thread.
#[derive(Clone, Copy, Debug)]
pub struct TableEntry {
    pub place: FlowPlace,
    pub backend: BackendId,
    pub opened_at: Option<u64>,
    pub seen_at: u64,
}

/// What a traffic thread does with a packet.
#[derive(Clone, Copy, Debug)]
pub enum TrafficDecision {
    Forward(BackendId),
    Escalate(FlowPlace),
    Reset,
    Drop,
}

pub struct SimNode {
    pub id: NodeId,
    pub ownership: Ownership,
    pub forwarding: Option<Arc<Generation>>,
    pub flows: BTreeMap<u32, TableEntry>,
    pub crashed: bool,
    pub paused_until: Option<u64>,
    pub partitioned_until: Option<u64>,
    pub contact_lost_at: Option<u64>,
    pub must_catch_up: bool,
    pub learned: GenerationNumber,
    pub timer_at: Option<u64>,
}

pub fn is_contested(service: &Service, bucket: &Bucket) -> bool {
    let by_load = service.placement == Placement::LeastLoaded;
    by_load || bucket.is_contested() || bucket.target.is_none()
}

pub fn place(generation: &Generation, service: ServiceId, hash: FlowHash) -> FlowPlace {
    let buckets = generation.services[service.0 as usize].buckets.len();
    FlowPlace {
        service,
        bucket: BucketIndex(hash.bucket(buckets) as u32),
        hash,
    }
}

impl SimNode {
    pub fn new(id: NodeId, settings: OwnershipSettings) -> Self {
        Self {
            id,
            ownership: Ownership::new(id, settings),
            forwarding: None,
            flows: BTreeMap::new(),
            crashed: false,
            paused_until: None,
            partitioned_until: None,
            contact_lost_at: None,
            must_catch_up: false,
            learned: GenerationNumber(0),
            timer_at: None,
        }
    }

    /// Returns whether the node must not decide new flows: it was without contact for the lease
    /// time, has not caught up since then, or is not a member.
    pub fn is_fenced(&self, now: u64) -> bool {
        let lease = LEASE_DURATION.as_micros() as u64;
        let expired = self.contact_lost_at.is_some_and(|lost| now - lost > lease);
        let is_member = |generation: &Arc<Generation>| {
            generation
                .members
                .iter()
                .any(|member| member.node == self.id)
        };
        expired || self.must_catch_up || !self.forwarding.as_ref().is_some_and(is_member)
    }

    /// Decides a packet. A fenced node opens no flow and forwards only known flows, because it may
    /// have missed that a bucket has become contested.
    pub fn traffic(
        &mut self,
        now: u64,
        flow: u32,
        service: ServiceId,
        hash: FlowHash,
        kind: EscalationKind,
    ) -> TrafficDecision {
        let Some(generation) = self.forwarding.clone() else {
            return TrafficDecision::Drop;
        };
        let idle = u64::from(IDLE_TIMEOUT_SECONDS) * 1_000_000;
        self.flows.retain(|_, entry| now - entry.seen_at < idle);
        if let Some(entry) = self.flows.get_mut(&flow) {
            entry.seen_at = now;
            let state = generation.backends[entry.backend.0 as usize].state;
            return match state {
                BackendState::Dead => TrafficDecision::Reset,
                _ => TrafficDecision::Forward(entry.backend),
            };
        }
        if self.is_fenced(now) {
            return TrafficDecision::Drop;
        }
        let place = place(&generation, service, hash);
        let service = &generation.services[service.0 as usize];
        let bucket = &service.buckets[place.bucket.0 as usize];
        let Some(target) = bucket.target.filter(|_| !is_contested(service, bucket)) else {
            return TrafficDecision::Escalate(place);
        };
        if generation.backends[target.0 as usize].state == BackendState::Dead {
            return TrafficDecision::Reset;
        }
        let entry = TableEntry {
            place,
            backend: target,
            opened_at: (kind == EscalationKind::Opening).then_some(now),
            seen_at: now,
        };
        self.flows.insert(flow, entry);
        TrafficDecision::Forward(target)
    }

    /// Switches to `generation` and returns the flows to hand over.
    pub fn switch(&mut self, now: u64, generation: &Arc<Generation>) -> Vec<OpenedFlow> {
        let before = self.forwarding.replace(Arc::clone(generation));
        let before = before.map_or(GenerationNumber(0), |known| known.number);
        let horizon = DELAY_HORIZON.as_micros() as u64;
        let is_new = |entry: &&TableEntry| {
            let service = &generation.services[entry.place.service.0 as usize];
            let bucket = &service.buckets[entry.place.bucket.0 as usize];
            is_contested(service, bucket) && bucket.contested_since > before
        };
        let is_recent = |entry: &&TableEntry| {
            entry
                .opened_at
                .is_some_and(|opened| now - opened <= horizon)
        };
        let entries = self.flows.values().filter(is_new).filter(is_recent);
        let opened = |entry: &TableEntry| OpenedFlow {
            place: entry.place,
            backend: entry.backend,
        };
        entries.map(opened).collect()
    }

    /// Returns the contested buckets without an active off-target flow.
    pub fn settled(&self, now: u64) -> Vec<SettledBucket> {
        let Some(generation) = &self.forwarding else {
            return Vec::new();
        };
        let idle = u64::from(IDLE_TIMEOUT_SECONDS) * 1_000_000;
        let mut settled = Vec::new();
        for service in &generation.services {
            for (index, bucket) in (0..).map(BucketIndex).zip(&service.buckets) {
                let by_load = service.placement == Placement::LeastLoaded;
                let target = bucket.target.filter(|_| !by_load);
                let off_target = self.flows.values().any(|entry| {
                    entry.place.service == service.id
                        && entry.place.bucket == index
                        && now - entry.seen_at < idle
                        && Some(entry.backend) != target
                });
                if is_contested(service, bucket) && !off_target {
                    settled.push(SettledBucket {
                        service: service.id,
                        bucket: index,
                    });
                }
            }
        }
        settled
    }
}
