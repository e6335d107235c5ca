//! A backend: slots, connections, and the one service it may serve at a time.

use super::packet::FlowIndex;
use crate::experiment::strategy::ServiceIndex;
use bellyoke_core::generation::{ObjectUid, Zone};
use std::collections::{HashSet, VecDeque};

/// Requests that wait at a backend at most; more are shed.
const QUEUE_LIMIT: usize = 200;

/// What a backend makes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A slot is free: work starts now.
    Started,
    /// It waits for a slot.
    Queued,
    /// It is shed.
    Shed,
}

/// A backend of the world.
#[derive(Clone, Debug)]
pub struct Backend {
    /// UID of its object.
    pub uid: ObjectUid,
    /// The zone it stands in.
    pub zone: usize,
    /// Name of the zone.
    pub zone_name: Zone,
    /// The service its label selects it for.
    pub service: ServiceIndex,
    /// Services that its label selected it for at any time.
    pub labelled: Vec<ServiceIndex>,
    /// Whether it runs.
    pub alive: bool,
    /// Whether it is to get no new flow.
    pub draining: bool,
    /// Its open flows.
    pub open: HashSet<FlowIndex>,
    /// The service of its open flows.
    pub serving: Option<ServiceIndex>,
    /// Connections it holds at most.
    pub connections: usize,
    slots: usize,
    busy: usize,
    queue: VecDeque<FlowIndex>,
}

impl Backend {
    /// A backend without flows.
    #[must_use]
    pub fn new(
        name: &str,
        zone: (usize, Zone),
        service: ServiceIndex,
        slots: u32,
        connections: u32,
    ) -> Self {
        let uid = ObjectUid(format!("uid-{name}"));
        Self {
            uid,
            zone: zone.0,
            zone_name: zone.1,
            service,
            labelled: vec![service],
            alive: true,
            draining: false,
            open: HashSet::new(),
            serving: None,
            connections: connections as usize,
            slots: slots as usize,
            busy: 0,
            queue: VecDeque::new(),
        }
    }

    /// Whether a packet of `service` is meant for this backend.
    #[must_use]
    pub fn may_serve(&self, service: ServiceIndex) -> bool {
        let labelled = self.labelled.contains(&service);
        let serves_other = self
            .serving
            .is_some_and(|serving| serving != service && !self.open.is_empty());
        labelled && !serves_other
    }

    /// Takes a new flow.
    pub fn accept(&mut self, flow: FlowIndex, service: ServiceIndex) {
        self.open.insert(flow);
        self.serving = Some(service);
    }

    /// Ends a flow.
    pub fn close(&mut self, flow: FlowIndex) {
        self.open.remove(&flow);
    }

    /// Takes a request.
    pub fn admit(&mut self, flow: FlowIndex) -> Admission {
        if self.busy < self.slots {
            self.busy += 1;
            return Admission::Started;
        }
        if self.queue.len() >= QUEUE_LIMIT {
            return Admission::Shed;
        }
        self.queue.push_back(flow);
        Admission::Queued
    }

    /// A slot became free: the request that starts next.
    pub fn finish(&mut self) -> Option<FlowIndex> {
        if let Some(next) = self.queue.pop_front() {
            return Some(next);
        }
        self.busy -= 1;
        None
    }

    /// Requests in slots and in the queue.
    #[must_use]
    pub fn backlog(&self) -> usize {
        self.busy + self.queue.len()
    }
}
