//! Forwarding decisions of a traffic thread.

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

/// Flow table of a traffic thread and its forwarding rules.
#[derive(Debug)]
pub struct Decider {
    timeouts: Timeouts,
    table: FlowTable,
    services: ServiceIndex,
    settlement: Settlement,
    /// Slot where the next search for a flow to evict starts.
    next_eviction_slot: usize,
    generation: Option<GenerationNumber>,
    /// Lowest number above those of all backends in the generations applied so far.
    known_backends_end: BackendId,
    last_unrecorded_opening: Option<Tick>,
    counters: FlowCounters,
}

impl Decider {
    /// Creates a decider with an empty flow table.
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

    /// Applies a generation. Every call with a [`Forwarding`] of another generation does so
    /// implicitly; calling this method first avoids a delay for the next packet.
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

    /// Records the backend of a flow as reported by the owner of its bucket.
    ///
    /// The owner may have a newer generation than this thread. Backends are numbered in order,
    /// so a number above all known ones belongs to a later generation. Such a flow is not
    /// recorded, and its packets are escalated until that generation is applied. With a record
    /// they would be reset like those of an unavailable backend.
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

    /// Removes a flow.
    pub fn remove_flow(&mut self, place: &FlowPlace) {
        self.table.remove(place.hash);
    }

    /// Returns the flow table.
    #[must_use]
    pub const fn table(&self) -> &FlowTable {
        &self.table
    }

    /// Returns the number of flows of each backend that has any.
    #[must_use]
    pub const fn flows_by_backend(&self) -> &HashMap<BackendId, u32> {
        self.table.flows_by_backend()
    }

    /// Returns the counters since the start of the process.
    #[must_use]
    pub const fn counters(&self) -> &FlowCounters {
        &self.counters
    }
}
