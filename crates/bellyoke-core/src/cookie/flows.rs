//! The flows that a node has seen of late.
//!
//! Forwarding needs none of this: the cookie names the instance. A record only says that a flow was there, so
//! that it can be ended once its instance is known to be dead, and what its client has asked and got. It is
//! soft state: it goes with the process, and a flow that another node saw isn't in it.
//!
//! Records stand in two generations. A record that is used moves to the young one; when that is full, or old,
//! the old one is dropped and the young one takes its place. So memory is bounded, what was not used for longest
//! goes first, and nothing is ever searched for expired records.

use crate::cookie::answers::RequestProgress;
use crate::cookie::instance::Cookie;
use crate::cookie::packet::{FlowPacket, FlowTuple};
use crate::time::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// What a node remembers of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowRecord {
    /// The flow.
    pub flow: FlowTuple,
    /// The instance that it is open at.
    pub cookie: Cookie,
    /// What its client acknowledged last.
    pub acknowledged: u32,
    /// When its last packet came.
    pub seen_at: Timestamp,
    /// The request under way, as far as the client's packets tell.
    pub request: RequestProgress,
}

/// Records of flows, by their hashes.
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
    /// Most records of one generation.
    capacity: usize,
    /// How long a generation lasts: a flow that rests no longer is remembered.
    idle_timeout: Duration,
    young: HashMap<u64, FlowRecord>,
    old: HashMap<u64, FlowRecord>,
    generation_started_at: Timestamp,
}

impl FlowTable {
    /// An empty table of at most `capacity` flows, which remembers each for at least `rest` after its last
    /// packet as long as there is room.
    #[must_use]
    pub fn new(capacity: usize, idle_timeout: Duration) -> Self {
        Self {
            capacity: (capacity / 2).max(1),
            idle_timeout: idle_timeout,
            young: HashMap::new(),
            old: HashMap::new(),
            generation_started_at: Timestamp::ZERO,
        }
    }

    /// Notes a packet of a flow that goes to an instance, and returns its record.
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

    /// The record of a flow; none if it isn't remembered.
    #[must_use]
    pub fn get(&self, flow_hash: u64) -> Option<&FlowRecord> {
        let young = self.young.get(&flow_hash);
        young.or_else(|| self.old.get(&flow_hash))
    }

    /// The same, to be changed.
    pub fn get_mut(&mut self, flow_hash: u64) -> Option<&mut FlowRecord> {
        let young = self.young.get_mut(&flow_hash);
        young.or_else(|| self.old.get_mut(&flow_hash))
    }

    /// Forgets a flow that has ended, and returns what was remembered of it.
    pub fn remove(&mut self, flow_hash: u64) -> Option<FlowRecord> {
        let young = self.young.remove(&flow_hash);
        let old = self.old.remove(&flow_hash);
        young.or(old)
    }

    /// The flows that are open at an instance.
    pub fn of_instance(&self, cookie: Cookie) -> impl Iterator<Item = &FlowRecord> {
        let all = self.young.values().chain(self.old.values());
        all.filter(move |record| record.cookie == cookie)
    }

    /// All flows remembered, with their hashes.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &FlowRecord)> {
        let all = self.young.iter().chain(self.old.iter());
        all.map(|(hash, record)| (*hash, record))
    }

    /// Flows remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether no flow is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.young.clear();
        self.old.clear();
    }

    fn rotate_generations(&mut self, now: Timestamp) {
        let is_over = now.since(self.generation_started_at) >= self.idle_timeout;
        if is_over || self.young.len() >= self.capacity {
            std::mem::swap(&mut self.old, &mut self.young);
            self.young.clear();
            self.generation_started_at = now;
        }
    }
}
