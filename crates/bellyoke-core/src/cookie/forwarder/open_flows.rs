//! Packets of open flows: where they are forwarded, and what they show about requests.

use super::{Decision, DropReason, Forwarder, ResetReason};
use crate::cookie::answers::{AnswerOutcome, AnswerSample, ClassifiedSample};
use crate::cookie::instance::Cookie;
use crate::cookie::last_seen::data_key;
use crate::cookie::load::PACKET_WEIGHT;
use crate::cookie::packet::{FlowPacket, PacketRole};
use crate::cookie::table::ForwardingTable;
use crate::time::Timestamp;
use std::time::Duration;

/// Data that is seen again sooner is a duplicate made by the network: clients wait 200 ms for an
/// acknowledgement before they retransmit.
pub(super) const MINIMUM_RETRANSMISSION_INTERVAL: Duration = Duration::from_millis(150);

/// Load that a failed request counts for, in packets. An instance that fails requests at once looks
/// idle and must not be preferred for it. Requests without an answer count nothing, as a packet may
/// have been lost.
const FAILED_REQUEST_WEIGHT: f32 = 16.0;

impl Forwarder {
    pub(super) fn follow(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        packet: &FlowPacket,
    ) -> Decision {
        let Some(cookie) = packet.cookie else {
            return Decision::Drop(DropReason::NoCookie);
        };
        let Some(destination) = table.destination(cookie) else {
            return Decision::Drop(DropReason::UnknownCookie);
        };
        let destination = *destination;
        if packet.role == PacketRole::Later && self.was_taken_over(table, cookie) {
            self.flows.remove(packet.flow.hash());
            return Decision::Reset(ResetReason::Superseded);
        }
        self.record_flow_progress(packet, cookie);
        let opened_after = self
            .monitor
            .record_progress(now, packet.flow.hash(), cookie);
        if let Some(after) = opened_after {
            self.record_alive(now.before(after), cookie);
            self.record_opened(now, table, packet.flow.hash(), cookie, after);
        }
        if packet.role == PacketRole::Later
            && let Some(reason) = self.reset_of_lost_request(now, table, packet, cookie)
        {
            self.flows.remove(packet.flow.hash());
            return Decision::Reset(reason);
        }
        self.record_flow(now, table, packet, cookie, opened_after.is_some());
        self.loads.count(now, cookie, PACKET_WEIGHT);
        Decision::Follow {
            destination,
            opened_after,
        }
    }

    /// Records that an instance is alive if this packet acknowledges new data of its flow. The
    /// instance has sent that data since the flow's last packet. The exact time is unknown: an idle
    /// client acknowledges the last data only with its next request.
    fn record_flow_progress(&mut self, packet: &FlowPacket, cookie: Cookie) {
        let flow_hash = packet.flow.hash();
        let known = self.flows.get(flow_hash);
        let known = known.filter(|known| known.flow == packet.flow && known.cookie == cookie);
        let advanced = known.filter(|known| known.acknowledged != packet.acknowledged);
        if let Some(seen_at) = advanced.map(|known| known.seen_at) {
            self.record_alive(seen_at, cookie);
        }
    }

    /// Records how long a flow took to open.
    fn record_opened(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        flow_hash: u64,
        cookie: Cookie,
        after: Duration,
    ) {
        if let Some((_, zone)) = table.location_of(cookie) {
            self.zones.adopt(table);
            self.zones.record_opened(now, flow_hash, zone, after);
        }
    }

    /// Records the flow, unless this packet ends it, and updates the state of its requests.
    /// `is_opened` is true for the first packet after the opening. A request on any other flow
    /// without a record shows that the flow has moved here from another node.
    fn record_flow(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        packet: &FlowPacket,
        cookie: Cookie,
        is_opened: bool,
    ) {
        let flow_hash = packet.flow.hash();
        let has_data = packet.data_sequence.is_some();
        if has_data && !is_opened && self.flows.get(flow_hash).is_none() {
            self.answers.record_moved_flow(now);
        }
        let record = self.flows.record_packet(now, flow_hash, packet, cookie);
        let classified = self.answers.observe(now, table, flow_hash, packet, record);
        if let Some(classified) = classified {
            self.record_answer(now, table, &classified);
        }
        if packet.closes || packet.role == PacketRole::Abort {
            self.flows.remove(flow_hash);
        }
    }

    /// Records the outcome of a request for the choice between zones.
    pub fn record_sample(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        sample: &AnswerSample,
    ) {
        if let Some((_, zone)) = table.location_of(sample.cookie) {
            self.zones.adopt(table);
            self.zones.record_sample(now, zone, sample);
        }
    }

    pub(super) fn record_answer(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        classified: &ClassifiedSample,
    ) {
        self.tallies.record(classified);
        self.record_sample(now, table, &classified.sample);
        self.admission.record_answer(now, table, &classified.sample);
        if matches!(classified.sample.outcome, AnswerOutcome::Short { .. }) {
            self.loads
                .count(now, classified.sample.cookie, FAILED_REQUEST_WEIGHT);
        }
    }

    /// Returns why a flow is reset whose packet carries data that its instance won't answer; `None`
    /// if it may.
    fn reset_of_lost_request(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        packet: &FlowPacket,
        cookie: Cookie,
    ) -> Option<ResetReason> {
        if self.is_unanswered_retransmission(now, table, packet, cookie) {
            Some(ResetReason::of_lost_instance(table, cookie))
        } else if self.is_request_to_ended_instance(now, packet, cookie) {
            Some(ResetReason::Unreachable)
        } else {
            None
        }
    }

    /// Returns whether a packet retransmits data to an instance that is unreachable, or has a
    /// successor at its address, and shows no activity. The retransmission shows that this very flow
    /// is stuck: an instance that only accepts no new connections still answers on its open flows.
    fn is_unanswered_retransmission(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        packet: &FlowPacket,
        cookie: Cookie,
    ) -> bool {
        let Some(sequence) = packet.data_sequence else {
            return false;
        };
        let key = data_key(packet.flow.hash(), sequence);
        let Some(first_sent) = self.first_sent.seen_at(key) else {
            self.first_sent.record(now, key);
            return false;
        };
        let is_retransmission = now.since(first_sent) >= MINIMUM_RETRANSMISSION_INTERVAL;
        if is_retransmission {
            self.retransmitted_to.insert(cookie);
            self.record_retransmission(now, packet.flow.hash());
        }
        is_retransmission && self.is_lost(now, table, cookie)
    }

    /// Returns whether a packet carries a request to an instance that has ended. Packets without
    /// data, and those that close their flows, lose nothing.
    fn is_request_to_ended_instance(
        &self,
        now: Timestamp,
        packet: &FlowPacket,
        cookie: Cookie,
    ) -> bool {
        let has_data = packet.data_sequence.is_some() && !packet.closes;
        self.resets_idle_flows && has_data && self.has_ended(now, cookie)
    }
}
