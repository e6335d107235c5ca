//! Packets of flows that are open: where they go, and what they tell of requests.

use super::{Decision, DropReason, Forwarder, ResetReason};
use crate::cookie::answers::{AnswerOutcome, AnswerSample, ClassifiedSample};
use crate::cookie::instance::Cookie;
use crate::cookie::last_seen::data_key;
use crate::cookie::load::PACKET_WEIGHT;
use crate::cookie::packet::{FlowPacket, PacketRole};
use crate::cookie::table::ForwardingTable;
use crate::time::Timestamp;
use std::time::Duration;

/// Data that comes again sooner is a copy of the network's: clients wait 200 ms for an
/// acknowledgement.
pub(super) const MINIMUM_RETRANSMISSION_INTERVAL: Duration = Duration::from_millis(150);

/// What a request that got an error counts as load, in packets: an instance that fails at once looks idle,
/// and must not be preferred for it. One without an answer may have lost a packet, and counts nothing.
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
        if packet.role == PacketRole::Later && table.is_superseded(cookie) {
            self.flows.remove(packet.flow.hash());
            return Decision::Reset(ResetReason::Superseded);
        }
        self.record_flow_progress(packet, cookie);
        let opened_after = self.monitor.progress(now, packet.flow.hash(), cookie);
        if let Some(after) = opened_after {
            self.record_alive(now.before(after), cookie);
            self.record_opened(now, table, packet.flow.hash(), cookie, after);
        }
        if packet.role == PacketRole::Later
            && (self.is_unanswered_retransmission(now, packet, cookie)
                || self.is_request_to_ended_instance(now, packet, cookie))
        {
            self.flows.remove(packet.flow.hash());
            return Decision::Reset(ResetReason::Unreachable);
        }
        self.record_flow(now, table, packet, cookie, opened_after.is_some());
        self.loads.count(now, cookie, PACKET_WEIGHT);
        Decision::Follow {
            destination,
            opened_after,
        }
    }

    /// Notes that a flow goes on, if this packet shows it. The instance has sent something since the flow's
    /// last packet; when, isn't known: a client that rests tells what it got last with its next request.
    fn record_flow_progress(&mut self, packet: &FlowPacket, cookie: Cookie) {
        let flow_hash = packet.flow.hash();
        let known = self.flows.get(flow_hash);
        let known = known.filter(|known| known.flow == packet.flow && known.cookie == cookie);
        let advanced = known.filter(|known| known.acknowledged != packet.acknowledged);
        if let Some(seen_at) = advanced.map(|known| known.seen_at) {
            self.record_alive(seen_at, cookie);
        }
    }

    /// Notes how long a flow took to open.
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
            self.zones.opened(now, flow_hash, zone, after);
        }
    }

    /// Remembers the flow, unless this packet ends it, and sees what became of its requests. `is_opened` tells
    /// whether this is its first packet after the opening; of another one a request is news only if the flow
    /// has moved here from another node.
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

    /// What became of a request, for the choice between zones.
    pub fn record_sample(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        sample: &AnswerSample,
    ) {
        if let Some((_, zone)) = table.location_of(sample.cookie) {
            self.zones.adopt(table);
            self.zones.sampled(now, zone, sample);
        }
    }

    pub(super) fn record_answer(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        classified: &ClassifiedSample,
    ) {
        self.tallies.note(classified);
        self.record_sample(now, table, &classified.sample);
        self.admission.answered(now, table, &classified.sample);
        if matches!(classified.sample.outcome, AnswerOutcome::Short { .. }) {
            self.loads
                .count(now, classified.sample.cookie, FAILED_REQUEST_WEIGHT);
        }
    }

    /// Whether a packet repeats data to an instance that can't be reached and shows no life. That the
    /// client has to repeat it is the flow's own word that it doesn't go on: an instance that only
    /// takes no new connections still answers on its flows.
    fn is_unanswered_retransmission(
        &mut self,
        now: Timestamp,
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
        is_retransmission && self.is_unreachable(cookie) && !self.is_alive(now, cookie)
    }

    /// Whether a packet has_data something of an instance that has ended. Packets without data, and those
    /// that close their flows, lose nothing.
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
