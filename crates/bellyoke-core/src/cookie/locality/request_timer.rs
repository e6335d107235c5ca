//! The time from a request to the first acknowledgement of its answer.

use crate::cookie::answers::{AnswerFate, AnswerSample};
use crate::cookie::packet::FlowPacket;
use crate::cookie::seen::SeenTable;
use crate::cookie::table::ForwardingTable;
use crate::time::Timestamp;

/// Flows whose request is under way, 16 bytes each.
const FLOW_PLACES: usize = 1_024;

/// Times requests of flows by their clients' packets.
#[derive(Debug)]
pub struct RequestTimer {
    asked: SeenTable,
}

impl Default for RequestTimer {
    fn default() -> Self {
        Self {
            asked: SeenTable::new(FLOW_PLACES),
        }
    }
}

impl RequestTimer {
    /// Notes a packet of a flow; `advances` tells that it acknowledges more than the one before. Returns a sample
    /// if this packet is the first that acknowledges some of an answer. One that brings the next request too
    /// tells nothing: its client may have rested in between.
    pub fn sample(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        packet: &FlowPacket,
        advances: bool,
    ) -> Option<AnswerSample> {
        let key = packet.flow.hash() | 1;
        if packet.data_length > 0 {
            self.asked.note(now, key);
            return None;
        }
        if !advances {
            return None;
        }
        let asked_at = self.asked.seen_at(key)?;
        self.asked.note(Timestamp::ZERO, key);
        if asked_at == Timestamp::ZERO {
            return None;
        }
        let cookie = packet.cookie?;
        Some(AnswerSample {
            cookie,
            service: table.service_of(cookie)?,
            priority: 0,
            fate: AnswerFate::Answered {
                after: now.since(asked_at),
                bytes: 0,
            },
        })
    }
}
