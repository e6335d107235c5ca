//! Handover lists: recently opened flows, sent to the owners of their buckets.

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

/// Maximum number of unconfirmed parts that are sent at a time.
const MAX_PARTS_IN_FLIGHT: usize = 32;

/// An unconfirmed part of a handover list.
#[derive(Debug)]
struct Part {
    batch: HandoverBatch,
    /// Whether it has been sent.
    is_sent: bool,
    retry: Backoff,
}

/// Unconfirmed parts of handover lists, and the acknowledgement that depends on them.
#[derive(Debug, Default)]
pub(super) struct Handovers {
    parts: BTreeMap<HandoverReceipt, Part>,
    next_part: u64,
    unacknowledged: Option<GenerationNumber>,
    /// Whether some generation has listed this node as a member.
    was_member: bool,
    /// Set if this node is no longer a member: from this time on, the network contains no copy of
    /// a packet that opened a flow here.
    quiet_at: Option<Timestamp>,
}

impl Handovers {
    /// Returns whether all flows opened here have been handed over and acknowledged.
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

    /// Delays a removed member's acknowledgement until no copy of its opening packets can be in
    /// the network.
    ///
    /// The generation that removes a member is the last whose barrier waits for it. A bucket that
    /// becomes contested right afterwards would not wait for the list of the flows that the member
    /// opened last, and late copies of their opening packets would be placed again.
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

    /// Sends those of the oldest parts that are new or overdue to the presumed owners.
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

    /// Removes a part that its owner has confirmed.
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

    /// Acknowledges the newest generation once all parts are confirmed.
    pub(super) fn acknowledge_when_done(&mut self, now: Timestamp) {
        if let Some(generation) = self.handovers.take_acknowledgement(now) {
            let effect = OwnershipEffect::Acknowledge(generation);
            self.effects.push(effect);
        }
    }
}
