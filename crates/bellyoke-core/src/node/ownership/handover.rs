//! Lists of recently opened flows on their way to the owners of their buckets.

use super::Ownership;
use super::backoff::Backoff;
use super::effect::OwnershipEffect;
use super::message::{HandoverBatch, HandoverReceipt, OwnershipMessage};
use super::pin::{EncodedPin, PinChange, PinDestination, PinKey, PinRun, ShortHash};
use super::settings::Ablation;
use crate::flow::OpenedFlow;
use crate::identity::{GenerationNumber, GroupIndex, NodeId, ServiceId};
use crate::node::AdoptionReport;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// Most parts that are sent at a time.
const MAX_PARTS_IN_FLIGHT: usize = 32;

/// A part of a handover list that was not confirmed.
#[derive(Debug)]
struct Part {
    batch: HandoverBatch,
    /// Whether it has been sent.
    is_sent: bool,
    retry: Backoff,
}

/// Parts of handover lists that were not confirmed, and what waits for them.
#[derive(Debug, Default)]
pub(super) struct Handovers {
    parts: BTreeMap<HandoverReceipt, Part>,
    next_part: u64,
    unacknowledged: Option<GenerationNumber>,
    /// Whether a generation has listed this node as a member.
    was_member: bool,
    /// After this time no copy of a packet is under way that opened a flow here, if this node
    /// is no member any more.
    quiet_at: Option<Timestamp>,
}

impl Handovers {
    /// Whether all that this node opened is in other hands, and acknowledged.
    pub(super) fn is_done(&self) -> bool {
        self.parts.is_empty() && self.unacknowledged.is_none()
    }

    fn add(&mut self, generation: GenerationNumber, group: GroupIndex, runs: Vec<PinRun>) {
        let receipt = HandoverReceipt {
            generation,
            part: self.next_part,
        };
        self.next_part += 1;
        let batch = HandoverBatch {
            receipt,
            group,
            runs,
        };
        let part = Part {
            batch,
            is_sent: false,
            retry: Backoff::default(),
        };
        self.parts.insert(receipt, part);
    }

    fn take_acknowledgement(&mut self, now: Timestamp) -> Option<GenerationNumber> {
        let is_quiet = self.quiet_at.is_none_or(|quiet| quiet <= now);
        if self.parts.is_empty() && is_quiet {
            return self.unacknowledged.take();
        }
        None
    }
}

impl Ownership {
    /// Starts to hand over the flows in `report`.
    pub(super) fn start_handover(&mut self, now: Timestamp, report: AdoptionReport) {
        let generation = report.generation;
        self.handovers.unacknowledged = self.handovers.unacknowledged.max(Some(generation));
        self.record_departure(now);
        if self.settings.ablation != Ablation::NoHandoverList {
            self.add_parts(generation, &report.opened);
        }
        self.send_handovers(now);
        self.acknowledge_when_done(now);
    }

    /// The generation that removes a member is the last whose barrier waits for it. A bucket
    /// that becomes contested right after would not wait for the list of the flows that it
    /// opened last; late copies of their opening packets would be placed again. So it
    /// acknowledges its removal when there can be no such copy any more.
    fn record_departure(&mut self, now: Timestamp) {
        let Some(cluster) = &self.cluster else {
            return;
        };
        let handovers = &mut self.handovers;
        if cluster.members().contains(&self.node) {
            handovers.was_member = true;
            handovers.quiet_at = None;
        } else if handovers.was_member && handovers.quiet_at.is_none() {
            handovers.quiet_at = Some(now.after(self.settings.delay_horizon));
        }
    }

    fn add_parts(&mut self, generation: GenerationNumber, opened: &[OpenedFlow]) {
        let Some(cluster) = &self.cluster else {
            return;
        };
        let mut lists: BTreeMap<(GroupIndex, ServiceId), Vec<EncodedPin>> = BTreeMap::new();
        for flow in opened {
            let group = cluster.group(flow.place);
            let list = lists.entry((group, flow.place.service)).or_default();
            list.push(EncodedPin {
                hash: ShortHash::from(flow.place.hash),
                change: PinChange::set(PinDestination::Backend(flow.backend)),
            });
        }
        for ((group, service), list) in lists {
            for part in list.chunks(self.settings.max_batch_pins.max(1)) {
                let pins = part.to_vec();
                self.handovers
                    .add(generation, group, vec![PinRun { service, pins }]);
            }
        }
    }

    /// Sends those of the oldest parts that are new or overdue to whom this node takes for
    /// their owners.
    pub(super) fn send_handovers(&mut self, now: Timestamp) {
        let interval = self.settings.retry_interval;
        let mut due = Vec::new();
        for part in self.handovers.parts.values_mut().take(MAX_PARTS_IN_FLIGHT) {
            let is_overdue = part.retry.is_due(now, interval, &mut self.random);
            if !part.is_sent || is_overdue {
                part.is_sent = true;
                due.push(part.batch.clone());
            }
        }
        for mut part in due {
            if let Some(group) = self.current_group(&part) {
                part.group = group;
            }
            if let Some(owner) = self.presumed_owner(part.group) {
                self.send_handover(owner, part);
            }
        }
    }

    fn send_handover(&mut self, owner: NodeId, part: HandoverBatch) {
        if owner == self.node {
            self.send(owner, OwnershipMessage::Handover(vec![part]));
        } else {
            self.outbox.handover(owner, part);
        }
    }

    fn current_group(&self, part: &HandoverBatch) -> Option<GroupIndex> {
        let cluster = self.cluster.as_ref()?;
        let run = part.runs.first()?;
        let service = cluster.service(run.service)?;
        let key = PinKey {
            service: run.service,
            hash: run.pins.first()?.hash,
        };
        let bucket = key.hash.bucket(service.buckets.len());
        Some(cluster.assignment.group(run.service, bucket))
    }

    /// The owner of a part's flows holds them.
    pub(super) fn handle_handover_confirmation(
        &mut self,
        now: Timestamp,
        receipt: HandoverReceipt,
    ) {
        if self.handovers.parts.remove(&receipt).is_some() {
            self.send_handovers(now);
            self.acknowledge_when_done(now);
        }
    }

    /// Acknowledges the newest generation, once all parts are confirmed.
    pub(super) fn acknowledge_when_done(&mut self, now: Timestamp) {
        if let Some(generation) = self.handovers.take_acknowledgement(now) {
            let effect = OwnershipEffect::Acknowledge(generation);
            self.effects.push(effect);
        }
    }
}
