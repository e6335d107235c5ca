//! Maintenance between packets: the sweep, handover lists and settled buckets.

use crate::flow::decider::Decider;
use crate::flow::record::{FlowRecord, FlowState};
use crate::flow::service_index::ServiceIndex;
use crate::flow::sweep::SweepReport;
use crate::flow::tick::Tick;
use crate::flow::{FlowPlace, OpenedFlow, SettledBucket};
use crate::generation::{BucketRoute, Forwarding};
use crate::packet::Transport;
use crate::time::Timestamp;

impl Decider {
    /// Visits up to `max_slots` slots of the table and removes expired flows. The cost does not
    /// depend on the number of flows.
    pub fn sweep(
        &mut self,
        now: Timestamp,
        forwarding: &Forwarding,
        max_slots: u32,
    ) -> SweepReport {
        self.apply_generation(now, forwarding);
        let now = Tick::at(now);
        let mut report = SweepReport::default();
        while report.visited < max_slots {
            let Some(slot) = self.table.next_sweep_slot(now) else {
                report.pass_complete = true;
                break;
            };
            report.visited += 1;
            let Some(record) = self.table.record_at(slot) else {
                continue;
            };
            self.settlement
                .record_swept(record, &self.services, forwarding);
            if self.timeouts.has_expired(record, now) {
                self.table.remove_at_sweep(slot);
                report.expired += 1;
            }
        }
        self.counters.expired += u64::from(report.expired);
        report
    }

    /// Returns the flows to hand over when the node changes from `previous` to `next`: in
    /// buckets that become contested, TCP flows that this node opened within the delay horizon
    /// or that are still half open, and all UDP flows. Scans the whole table, so it must be
    /// called between packets. See [`Self::handover_ready_at`].
    #[must_use]
    pub fn opened_for_handover(
        &self,
        now: Timestamp,
        previous: &Forwarding,
        next: &Forwarding,
    ) -> Vec<OpenedFlow> {
        let now = Tick::at(now);
        let before = ServiceIndex::new(previous);
        let after = ServiceIndex::new(next);
        let records = self.table.iter();
        let recent = records.filter(|record| self.is_recently_opened(record, now));
        recent
            .filter_map(|record| {
                let hash = record.hash();
                let old = before.route(previous, record.service, hash)?;
                let service = after.service(next, record.service)?;
                let bucket = service.bucket(hash);
                let contested = matches!(service.route(bucket), BucketRoute::Contested { .. });
                let becomes_contested = contested && matches!(old, BucketRoute::Clean(_));
                becomes_contested.then_some(OpenedFlow {
                    place: FlowPlace {
                        service: record.service,
                        bucket,
                        hash,
                    },
                    backend: record.backend,
                })
            })
            .collect()
    }

    /// Returns the time before which the adoption of a generation must not be reported, if
    /// any. Until then, copies of opening packets whose flows the full table could not record
    /// may still be in transit.
    #[must_use]
    pub fn handover_ready_at(&self, now: Timestamp) -> Option<Timestamp> {
        let opening = self.last_unrecorded_opening?;
        let ready = opening.saturating_add(self.timeouts.delay_horizon).end();
        (ready > now).then_some(ready)
    }

    /// Returns the contested buckets of hashed services in which this table had no active
    /// off-target flow for the idle timeout of the service. The list is complete each time: a
    /// bucket that is missing from a later list has had such a flow since.
    pub fn settled_buckets(
        &mut self,
        now: Timestamp,
        forwarding: &Forwarding,
    ) -> Vec<SettledBucket> {
        self.apply_generation(now, forwarding);
        match self.table.last_complete_pass_start() {
            Some(pass_start) => self.settlement.settled(pass_start),
            None => Vec::new(),
        }
    }

    fn is_recently_opened(&self, record: &FlowRecord, now: Tick) -> bool {
        if self.timeouts.has_expired(record, now) {
            return false;
        }
        let horizon = self.timeouts.delay_horizon;
        let recent = !now.is_later_than(record.opened_at, horizon);
        match record.transport {
            Transport::Udp => true,
            Transport::Tcp => {
                record.opened_locally && (recent || record.state == FlowState::HalfOpen)
            }
        }
    }
}
