//! What is done when the flow table is full.

use crate::flow::decider::Decider;
use crate::flow::decider::packets::PacketContext;
use crate::flow::record::{FlowRecord, FlowState};
use crate::flow::tick::Tick;
use crate::flow::{Decision, DropReason};
use crate::generation::{BucketRoute, Forwarding};
use crate::identity::BackendId;
use crate::packet::{PacketKind, Transport};

/// Slots that are looked at to make room for one flow.
const MAXIMUM_EVICTION_SLOTS: u32 = 16;

impl Decider {
    /// Without a record, the lookup table still knows an established TCP flow of a clean
    /// bucket. An opening would be missing in a later handover: so the handover waits until
    /// no copy of it can be under way. A UDP flow would be missing for all its life.
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

    /// Forgets a flow that has timed out, or that the lookup table knows as well, among the
    /// next few.
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

    /// Whether a flow would be forwarded just so without its record, now and after any
    /// change: a TCP flow on its clean bucket's backend of which no SYN is under way.
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
