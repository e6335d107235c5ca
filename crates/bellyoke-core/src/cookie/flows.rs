//! Table of the flows that a node has seen recently.
//!
//! Forwarding doesn't depend on this table, as the cookie names the instance. A record shows that a
//! flow exists, so that it can be reset once its instance is known to be dead, and the state of its
//! client's requests. Records are soft state: they are lost with the process, and flows that
//! another node saw aren't included.
//!
//! Records are stored in two generations. A record that is used moves to the young one. When that
//! is full or old, the old one is dropped and the young one takes its place. Memory is therefore
//! bounded, the least recently used records are dropped first, and no scan for expired records is
//! needed.

use crate::cookie::answers::RequestProgress;
use crate::cookie::instance::Cookie;
use crate::cookie::packet::{FlowPacket, FlowTuple};
use crate::time::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Record of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowRecord {
    /// The flow.
    pub flow: FlowTuple,
    /// Instance that the flow is open at.
    pub cookie: Cookie,
    /// Last acknowledgement number of its client.
    pub acknowledged: u32,
    /// Time of its last packet.
    pub seen_at: Timestamp,
    /// Request under way, as far as the client's packets show.
    pub request: RequestProgress,
}

/// Records of flows by their hashes.
///
/// ```
/// use bellyoke_core::cookie::flows::FlowTable;
/// use bellyoke_core::cookie::instance::{Cookie, InstanceId};
/// use bellyoke_core::cookie::packet::{FlowPacket, FlowTuple, PacketRole};
/// use bellyoke_core::time::Timestamp;
/// use std::time::Duration;
///
/// let flow = FlowTuple {
///     client: "203.0.113.9:40001".parse().unwrap(),
///     service: "192.0.2.1:443".parse().unwrap(),
/// };
/// let cookie = Cookie::of(InstanceId(7));
/// let packet = FlowPacket {
///     flow,
///     role: PacketRole::Later,
///     cookie: Some(cookie),
///     data_sequence: None,
///     data_length: 0,
///     closes: false,
///     acknowledged: 12,
/// };
/// let mut table = FlowTable::new(1_000, Duration::from_secs(15));
/// let record = table.record_packet(Timestamp::ZERO, flow.hash(), &packet, cookie);
/// assert_eq!(record.acknowledged, 12);
/// assert_eq!(table.of_instance(cookie).count(), 1);
/// ```
#[derive(Debug)]
pub struct FlowTable {
    /// Maximum number of records of one generation.
    capacity: usize,
    /// Maximum duration of a generation: a flow that is idle for longer may be dropped.
    generation_duration: Duration,
    young: HashMap<u64, FlowRecord>,
    old: HashMap<u64, FlowRecord>,
    generation_started_at: Timestamp,
}

impl FlowTable {
    /// Creates an empty table of at most `capacity` flows. Each is kept for at least `idle_timeout`
    /// after its last packet as long as there is room.
    #[must_use]
    pub fn new(capacity: usize, idle_timeout: Duration) -> Self {
        Self {
            capacity: (capacity / 2).max(1),
            generation_duration: idle_timeout,
            young: HashMap::new(),
            old: HashMap::new(),
            generation_started_at: Timestamp::ZERO,
        }
    }

    /// Records a packet of a flow that goes to an instance, and returns the flow's record.
    pub fn record_packet(
        &mut self,
        now: Timestamp,
        flow_hash: u64,
        packet: &FlowPacket,
        cookie: Cookie,
    ) -> &mut FlowRecord {
        self.rotate_generations(now);
        let fresh = FlowRecord {
            flow: packet.flow,
            cookie,
            acknowledged: packet.acknowledged,
            seen_at: now,
            request: RequestProgress::default(),
        };
        let known = self.old.remove(&flow_hash);
        let known = known.filter(|known| known.flow == packet.flow && known.cookie == cookie);
        let record = self
            .young
            .entry(flow_hash)
            .or_insert(known.unwrap_or(fresh));
        if record.flow != packet.flow || record.cookie != cookie {
            *record = fresh;
        }
        record.acknowledged = packet.acknowledged;
        record.seen_at = now;
        record
    }

    /// Returns the record of a flow; `None` if it is unknown.
    #[must_use]
    pub fn get(&self, flow_hash: u64) -> Option<&FlowRecord> {
        let young = self.young.get(&flow_hash);
        young.or_else(|| self.old.get(&flow_hash))
    }

    /// Returns the mutable record of a flow; `None` if it is unknown.
    pub fn get_mut(&mut self, flow_hash: u64) -> Option<&mut FlowRecord> {
        let young = self.young.get_mut(&flow_hash);
        young.or_else(|| self.old.get_mut(&flow_hash))
    }

    /// Removes a flow that has ended, and returns its record.
    pub fn remove(&mut self, flow_hash: u64) -> Option<FlowRecord> {
        let young = self.young.remove(&flow_hash);
        let old = self.old.remove(&flow_hash);
        young.or(old)
    }

    /// Returns the flows that are open at an instance.
    pub fn of_instance(&self, cookie: Cookie) -> impl Iterator<Item = &FlowRecord> {
        let all = self.young.values().chain(self.old.values());
        all.filter(move |record| record.cookie == cookie)
    }

    /// Returns all records with the hashes of their flows.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &FlowRecord)> {
        let all = self.young.iter().chain(self.old.iter());
        all.map(|(hash, record)| (*hash, record))
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes all records.
    pub fn clear(&mut self) {
        self.young.clear();
        self.old.clear();
    }

    fn rotate_generations(&mut self, now: Timestamp) {
        let is_over = now.since(self.generation_started_at) >= self.generation_duration;
        if is_over || self.young.len() >= self.capacity {
            std::mem::swap(&mut self.old, &mut self.young);
            self.young.clear();
            self.generation_started_at = now;
        }
    }
}
