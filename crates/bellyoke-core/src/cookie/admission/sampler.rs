//! Samples of answers from the packets of clients, as far as admission needs them.
//!
//! A stand-in for the samples of flow records, behind the same [`AnswerSample`]. [`AnswerSampler::observe`] and
//! [`AnswerSampler::expire`] are all that [`AdmissionGate`](super::AdmissionGate) calls.

use crate::cookie::answers::{AnswerFate, AnswerSample};
use crate::cookie::instance::Cookie;
use crate::cookie::packet::{FlowPacket, PacketRole};
use crate::cookie::table::{ForwardingTable, ServiceNumber};
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Requests watched at once; further ones give no sample.
const MAXIMUM_REQUESTS: usize = 4_096;

/// Routes whose usual length of answers is known.
const MAXIMUM_ROUTES: usize = 1_024;

/// A quarter of the usual length is short: answers scatter by half, and what tells only that a request wasn't
/// run has a hundred bytes or two.
const SHORT_PART: f32 = 0.25;

/// Weight of an answer in the usual length.
const LENGTH_WEIGHT: f32 = 0.05;

/// When an answer is overdue, where the configuration tells no aim.
const OVERDUE: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Request {
    cookie: Cookie,
    service: ServiceNumber,
    priority: u8,
    route: SocketAddrV4,
    overdue_at: Timestamp,
    asked_at: Timestamp,
    sequence: u32,
    acknowledged_before: u32,
    acknowledged: u32,
    answered_after: Option<Duration>,
}

/// Watches the requests of one traffic thread.
#[derive(Debug, Default)]
pub struct AnswerSampler {
    requests: HashMap<u64, Request>,
    /// Flow hashes by the time when their requests are overdue.
    overdue: BTreeSet<(Timestamp, u64)>,
    usual_lengths: BTreeMap<SocketAddrV4, f32>,
}

impl AnswerSampler {
    /// Takes a packet of an open flow. Returns a sample if it shows that a request has ended.
    pub fn observe(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        packet: &FlowPacket,
        cookie: Cookie,
    ) -> Option<AnswerSample> {
        let flow_hash = packet.flow.hash();
        if let Some(request) = self.requests.get_mut(&flow_hash) {
            note_answer(now, request, packet.acknowledged);
            let asks_next = packet.data_length > 0 && request.answered_after.is_some();
            let is_over = packet.closes || packet.role == PacketRole::Abort;
            if !asks_next && !is_over {
                note_data(now, request, packet);
                return None;
            }
        }
        let ended = self.remove(flow_hash);
        if packet.data_length > 0 && !packet.closes {
            self.begin(now, table, packet, cookie, flow_hash);
        }
        let ended = ended?;
        match ended.answered_after {
            Some(after) => Some(self.answered(&ended, after)),
            None if packet.role == PacketRole::Abort => Some(unanswered(now, &ended)),
            None => None,
        }
    }

    /// Samples of the requests that are overdue by now.
    pub fn expire(&mut self, now: Timestamp) -> Vec<AnswerSample> {
        let mut samples = Vec::new();
        while let Some(&(overdue_at, flow_hash)) = self.overdue.first() {
            if now < overdue_at {
                break;
            }
            let Some(request) = self.remove(flow_hash) else {
                self.overdue.pop_first();
                continue;
            };
            samples.push(match request.answered_after {
                Some(after) => self.answered(&request, after),
                None => unanswered(now, &request),
            });
        }
        samples
    }

    fn remove(&mut self, flow_hash: u64) -> Option<Request> {
        let request = self.requests.remove(&flow_hash)?;
        self.overdue.remove(&(request.overdue_at, flow_hash));
        Some(request)
    }

    fn begin(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        packet: &FlowPacket,
        cookie: Cookie,
        flow_hash: u64,
    ) {
        let Some((route, service)) = table
            .route(packet.flow.service)
            .zip(table.service_of(cookie))
        else {
            return;
        };
        if self.requests.len() >= MAXIMUM_REQUESTS {
            return;
        }
        let aim = Duration::from_millis(u64::from(route.terms.aim_milliseconds));
        let overdue_at = now.after(if aim.is_zero() { OVERDUE } else { aim });
        let request = Request {
            cookie,
            service,
            priority: route.terms.priority,
            route: packet.flow.service,
            overdue_at,
            asked_at: now,
            sequence: packet.data_sequence.unwrap_or_default(),
            acknowledged_before: packet.acknowledged,
            acknowledged: packet.acknowledged,
            answered_after: None,
        };
        self.requests.insert(flow_hash, request);
        self.overdue.insert((overdue_at, flow_hash));
    }

    fn answered(&mut self, request: &Request, after: Duration) -> AnswerSample {
        let bytes = request
            .acknowledged
            .wrapping_sub(request.acknowledged_before);
        let is_short = self.is_short(request.route, bytes as f32);
        let fate = if is_short {
            AnswerFate::Short { after }
        } else {
            AnswerFate::Answered { after, bytes }
        };
        sample(request, fate)
    }

    fn is_short(&mut self, route: SocketAddrV4, bytes: f32) -> bool {
        let Some(usual) = self.usual_lengths.get_mut(&route) else {
            if self.usual_lengths.len() < MAXIMUM_ROUTES {
                self.usual_lengths.insert(route, bytes);
            }
            return false;
        };
        let is_short = bytes < *usual * SHORT_PART;
        if !is_short {
            *usual += (bytes - *usual) * LENGTH_WEIGHT;
        }
        is_short
    }
}

fn note_answer(now: Timestamp, request: &mut Request, acknowledged: u32) {
    let advance = acknowledged.wrapping_sub(request.acknowledged);
    let is_new = advance != 0 && advance <= u32::MAX / 2;
    if is_new {
        request.acknowledged = acknowledged;
        let after = now.since(request.asked_at);
        request.answered_after.get_or_insert(after);
    }
}

/// A request of several packets is asked with its last one; repeats of them ask nothing new.
fn note_data(now: Timestamp, request: &mut Request, packet: &FlowPacket) {
    let Some(sequence) = packet.data_sequence else {
        return;
    };
    let advance = sequence.wrapping_sub(request.sequence);
    if advance != 0 && advance <= u32::MAX / 2 {
        request.sequence = sequence;
        request.asked_at = now;
    }
}

fn unanswered(now: Timestamp, request: &Request) -> AnswerSample {
    let waited = now.since(request.asked_at);
    sample(request, AnswerFate::Unanswered { waited })
}

const fn sample(request: &Request, fate: AnswerFate) -> AnswerSample {
    AnswerSample {
        cookie: request.cookie,
        service: request.service,
        priority: request.priority,
        fate,
    }
}
