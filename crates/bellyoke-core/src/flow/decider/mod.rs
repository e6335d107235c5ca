//! What a traffic thread does with a packet.

mod backend_usability;
mod eviction;
mod maintenance;
mod packets;
mod timeouts;

use crate::flow::counters::FlowCounters;
use crate::flow::decider::timeouts::Timeouts;
use crate::flow::record::{FlowRecord, FlowState, NewFlow};
use crate::flow::service_index::ServiceIndex;
use crate::flow::settlement::Settlement;
use crate::flow::table::FlowTable;
use crate::flow::tick::{Tick, TickSpan};
use crate::flow::{FlowPlace, FlowSettings};
use crate::generation::Forwarding;
use crate::identity::{BackendId, GenerationNumber};
use crate::time::Timestamp;
use std::collections::HashMap;

/// The flow table of a traffic thread and the rules it forwards by.
#[derive(Debug)]
pub struct Decider {
    timeouts: Timeouts,
    table: FlowTable,
    services: ServiceIndex,
    settlement: Settlement,
    /// The slot at which the next search for a flow to forget begins.
    next_eviction_slot: usize,
    generation: Option<GenerationNumber>,
    /// Above the number of every backend that a generation has named so far.
    known_backends_end: BackendId,
    last_unrecorded_opening: Option<Tick>,
    counters: FlowCounters,
}

impl Decider {
    /// A decider with an empty flow table.
    #[must_use]
    pub fn new(settings: &FlowSettings) -> Self {
        Self {
            timeouts: Timeouts {
                half_open: TickSpan::from_duration(settings.half_open_timeout),
                closing: TickSpan::from_duration(settings.closing_timeout),
                delay_horizon: TickSpan::from_duration(settings.delay_horizon),
            },
            table: FlowTable::new(settings.capacity),
            services: ServiceIndex::default(),
            settlement: Settlement::default(),
            next_eviction_slot: 0,
            generation: None,
            known_backends_end: BackendId(0),
            last_unrecorded_opening: None,
            counters: FlowCounters::default(),
        }
    }

    /// Prepares for a generation. Every call with a [`Forwarding`] does so when it names a
    /// generation other than the last; a thread that switches calls this first, so that no
    /// packet waits for it.
    pub fn apply_generation(&mut self, now: Timestamp, forwarding: &Forwarding) {
        if self.generation == Some(forwarding.generation) {
            return;
        }
        self.generation = Some(forwarding.generation);
        self.services = ServiceIndex::new(forwarding);
        let newest = forwarding.backends.keys().max();
        let above = newest.map_or(BackendId(0), |newest| BackendId(newest.0.saturating_add(1)));
        self.known_backends_end = self.known_backends_end.max(above);
        self.settlement.apply_generation(Tick::at(now), forwarding);
    }

    /// Takes note of what a bucket's owner said of a flow.
    ///
    /// The owner may know a newer generation than this thread. Backends are numbered in order,
    /// so a number above all that were seen names one that is to come. Its flow isn't recorded:
    /// its packets are escalated until the generation is here. A record would have them reset,
    /// as of a backend that is gone.
    pub fn learn(&mut self, now: Timestamp, place: &FlowPlace, backend: BackendId) {
        let now = Tick::at(now);
        self.settlement.record_packet(now, place, backend);
        if backend >= self.known_backends_end {
            self.counters.learned_early += 1;
            return;
        }
        let Some(service) = self.services.entry(place.service) else {
            return;
        };
        let flow = NewFlow {
            hash: place.hash,
            service: place.service,
            backend,
            transport: service.transport(),
            idle_timeout: service.idle_timeout,
            state: FlowState::Established,
            opened_locally: true,
        };
        match self.table.insert(FlowRecord::new(now, flow)) {
            Ok(()) => self.counters.learned += 1,
            Err(_) => self.counters.table_full += 1,
        }
    }

    /// Forgets a flow.
    pub fn remove_flow(&mut self, place: &FlowPlace) {
        self.table.remove(place.hash);
    }

    /// The flow table.
    #[must_use]
    pub const fn table(&self) -> &FlowTable {
        &self.table
    }

    /// Number of flows held on each backend that has any.
    #[must_use]
    pub const fn flows_by_backend(&self) -> &HashMap<BackendId, u32> {
        self.table.flows_by_backend()
    }

    /// What was done so far.
    #[must_use]
    pub const fn counters(&self) -> &FlowCounters {
        &self.counters
    }
}
