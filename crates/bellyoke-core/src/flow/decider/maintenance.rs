//! What is done between packets: the sweep, handover lists and settled buckets.

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
    /// Looks at up to `max_slots` slots of the table and forgets flows that have timed out. Its cost
    /// doesn't depend on how many flows are held.
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

    /// Flows to hand over when the node goes from `previous` to `next`: in buckets that
    /// become contested, TCP flows opened here within the delay horizon or still half open,
    /// and all UDP flows. Looks at the whole table; call it between two packets, and see
    /// [`Self::handover_ready_at`].
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

    /// The time before which a generation's adoption must not be reported, if any: flows
    /// were opened that the full table could not record, and copies of their opening packets
    /// may be under way until then.
    #[must_use]
    pub fn handover_ready_at(&self, now: Timestamp) -> Option<Timestamp> {
        let opening = self.last_unrecorded_opening?;
        let ready = opening.saturating_add(self.timeouts.delay_horizon).end();
        (ready > now).then_some(ready)
    }

    /// Contested buckets of hashed services in which, for the idle timeout of the service,
    /// this table saw no flow off target. The list is whole each time: a bucket that is missing
    /// from it has had such a flow since.
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
