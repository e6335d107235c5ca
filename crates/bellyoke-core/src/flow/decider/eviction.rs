//! Inserting records and handling a full flow table.

use crate::flow::decider::Decider;
use crate::flow::decider::packets::PacketContext;
use crate::flow::record::{FlowRecord, FlowState};
use crate::flow::tick::Tick;
use crate::flow::{Decision, DropReason};
use crate::generation::{BucketRoute, Forwarding};
use crate::identity::BackendId;
use crate::packet::{PacketKind, Transport};

/// Maximum number of slots examined to evict one flow.
const MAXIMUM_EVICTION_SLOTS: u32 = 16;

impl Decider {
    /// Handles a packet of a clean bucket whose flow cannot be recorded.
    ///
    /// The lookup table still gives the backend of an established TCP flow of a clean bucket.
    /// An opening would be missing from a later handover, so the handover is delayed until no
    /// copy of the opening packet can be in transit. A UDP flow would be missing from every
    /// handover, so its packet is dropped.
    pub(super) fn forward_without_record(
        &mut self,
        backend: BackendId,
        context: &PacketContext<'_>,
    ) -> Decision {
        self.counters.table_full += 1;
        if context.packet.kind == PacketKind::Udp {
            return Decision::Drop(DropReason::TableFull);
        }
        if context.packet.may_open() {
            self.last_unrecorded_opening = Some(context.now);
        }
        Decision::Forward(backend)
    }

    /// Inserts a record, evicting another flow if the table is full. Returns whether it was
    /// inserted.
    pub(super) fn insert_record(
        &mut self,
        forwarding: &Forwarding,
        now: Tick,
        record: FlowRecord,
    ) -> bool {
        let opened_locally = record.opened_locally;
        if self.table.insert(record.clone()).is_err() {
            self.evict_one(forwarding, now);
            if self.table.insert(record).is_err() {
                return false;
            }
        }
        match opened_locally {
            true => self.counters.opened += 1,
            false => self.counters.taken_over += 1,
        }
        true
    }

    /// Removes the first expired or evictable flow among the next slots, if there is one.
    fn evict_one(&mut self, forwarding: &Forwarding, now: Tick) {
        for _ in 0..MAXIMUM_EVICTION_SLOTS {
            let slot = self.next_eviction_slot % self.table.slot_count();
            self.next_eviction_slot = slot + 1;
            let Some(record) = self.table.record_at(slot) else {
                continue;
            };
            if self.timeouts.has_expired(record, now) {
                self.settlement
                    .record_swept(record, &self.services, forwarding);
                self.table.remove_at(slot);
                self.counters.expired += 1;
                return;
            }
            if self.is_evictable(record, forwarding, now) {
                self.table.remove_at(slot);
                self.counters.evicted += 1;
                return;
            }
        }
    }

    /// Returns whether the packets of a flow are sent to the same backend without its record,
    /// also after a later generation. This is so for a TCP flow on the backend of its clean
    /// bucket if no copy of its SYN can be in transit.
    fn is_evictable(&self, record: &FlowRecord, forwarding: &Forwarding, now: Tick) -> bool {
        let horizon = self.timeouts.delay_horizon;
        let route = self
            .services
            .route(forwarding, record.service, record.hash());
        record.transport == Transport::Tcp
            && record.state != FlowState::Reset
            && now.is_later_than(record.opened_at, horizon)
            && route == Some(BucketRoute::Clean(record.backend))
    }
}
