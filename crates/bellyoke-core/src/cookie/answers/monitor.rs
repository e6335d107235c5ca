//! Derives samples of request outcomes from the packets of all flows of one traffic thread.

use super::baseline::AnswerBaseline;
use super::progress::RequestStatus;
use super::{AnswerOutcome, AnswerSample};
use crate::cookie::flows::{FlowRecord, FlowTable};
use crate::cookie::packet::{FlowPacket, FlowTuple};
use crate::cookie::table::{ForwardingTable, ServiceNumber};
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Maximum number of stored baselines, about 700 bytes each. Requests on further routes yield no
/// samples.
const MAXIMUM_ROUTES: usize = 256;

/// Maximum number of flows that are monitored for overdue requests at the same time. For others,
/// only a packet that ends the request yields a sample.
const MAXIMUM_WATCHED_FLOWS: usize = 1_024;

/// Time without further packets after which an answer is complete. Packets of one answer follow
/// each other within milliseconds; lost ones arrive 200 ms later, so an incomplete answer rarely
/// counts as short.
const ANSWER_IDLE_TIMEOUT: Duration = Duration::from_millis(100);

/// Number of flows that move here from other nodes within [`REDISTRIBUTION_WINDOW`] that shows that
/// routers have redistributed flows. This node's own flows, and the answers to them, are then seen
/// by other nodes.
const REDISTRIBUTED_FLOWS_THRESHOLD: usize = 3;

/// Window of [`REDISTRIBUTED_FLOWS_THRESHOLD`]. Idle flows whose records were dropped appear one at
/// a time.
const REDISTRIBUTION_WINDOW: Duration = Duration::from_secs(1);

/// How an answer compares with the normal ones of its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerQuality {
    /// Within the normal range.
    Normal,
    /// Much slower than normal.
    Slow,
    /// An error, or no answer at all.
    Failed,
}

/// A sample and its quality.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassifiedSample {
    /// Outcome of the request.
    pub sample: AnswerSample,
    /// Quality compared with the route's baseline.
    pub quality: AnswerQuality,
}

/// Tracks the requests on the flows of one traffic thread.
#[derive(Debug, Default)]
pub struct AnswerMonitor {
    /// Baselines by the address of the route and the instance's service: processing times and
    /// lengths differ by both.
    baselines: BTreeMap<(SocketAddrV4, ServiceNumber), AnswerBaseline>,
    /// Hashes of flows with requests under way.
    watched: Vec<u64>,
    /// When flows last moved here from other nodes, in ascending order.
    moved_at: [Timestamp; REDISTRIBUTED_FLOWS_THRESHOLD],
    /// When routers last redistributed flows.
    redistributed_at: Timestamp,
}

impl AnswerMonitor {
    /// Processes a packet after its flow's record was updated. Returns a sample if the packet shows
    /// that a request is finished.
    pub fn observe(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        flow_hash: u64,
        packet: &FlowPacket,
        record: &mut FlowRecord,
    ) -> Option<ClassifiedSample> {
        let was_pending = record.request.sent_at.is_some();
        let status = record.request.observe(now, packet);
        let is_pending = record.request.sent_at.is_some();
        let is_new = is_pending && (!was_pending || status.is_some());
        if is_new
            && self.watched.len() < MAXIMUM_WATCHED_FLOWS
            && !self.watched.contains(&flow_hash)
        {
            self.watched.push(flow_hash);
        }
        self.classify(table, record, &status?)
    }

    /// Records that a flow has moved here that was opened through another node.
    pub fn record_moved_flow(&mut self, now: Timestamp) {
        self.moved_at.rotate_left(1);
        self.moved_at[REDISTRIBUTED_FLOWS_THRESHOLD - 1] = now;
        let is_redistribution = now.since(self.moved_at[0]) < REDISTRIBUTION_WINDOW;
        // Flows that were idle arrive over some seconds; requests sent in the meantime count.
        if is_redistribution && now.since(self.redistributed_at) >= REDISTRIBUTION_WINDOW {
            self.redistributed_at = now;
        }
    }

    /// Checks the requests under way. Returns samples of those that are overdue, and of answers
    /// that are complete.
    pub fn review(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        flows: &mut FlowTable,
    ) -> Vec<ClassifiedSample> {
        let mut classified = Vec::new();
        let watched = std::mem::take(&mut self.watched);
        for flow_hash in watched {
            let Some(record) = flows.get_mut(flow_hash) else {
                continue;
            };
            let Some(status) = record.request.status(now) else {
                continue;
            };
            if self.is_over(now, table, record, &status) {
                let sent_at = record.request.sent_at;
                record.request.finish(now);
                let has_moved = sent_at.is_some_and(|sent_at| sent_at <= self.redistributed_at);
                if status.after.is_none() && has_moved {
                    continue;
                }
                classified.extend(self.classify(table, record, &status));
            } else {
                self.watched.push(flow_hash);
            }
        }
        classified
    }

    /// Discards the requests under way after the process was stalled: answers that it missed would
    /// count as missing.
    pub fn forget_requests(&mut self, flows: &mut FlowTable) {
        for flow_hash in std::mem::take(&mut self.watched) {
            if let Some(record) = flows.get_mut(flow_hash) {
                record.request.sent_at = None;
            }
        }
    }

    fn is_over(
        &self,
        now: Timestamp,
        table: &ForwardingTable,
        record: &FlowRecord,
        status: &RequestStatus,
    ) -> bool {
        if status.after.is_some() {
            return now.since(record.seen_at) >= ANSWER_IDLE_TIMEOUT;
        }
        let baseline = baseline_key(table, record).and_then(|key| self.baselines.get(&key));
        baseline.is_some_and(|baseline| status.waited >= baseline.overdue())
    }

    fn classify(
        &mut self,
        table: &ForwardingTable,
        record: &FlowRecord,
        status: &RequestStatus,
    ) -> Option<ClassifiedSample> {
        let (address, service) = baseline_key(table, record)?;
        let priority = table.route(address)?.request_policy.priority;
        let is_known = self.baselines.contains_key(&(address, service));
        if !is_known && self.baselines.len() >= MAXIMUM_ROUTES {
            return None;
        }
        let baseline = self.baselines.entry((address, service)).or_default();
        let (outcome, quality) = compare(baseline, status);
        if let Some(after) = status.after {
            baseline.learn(after, status.bytes);
        }
        let sample = AnswerSample {
            cookie: record.cookie,
            service,
            priority,
            outcome,
        };
        Some(ClassifiedSample { sample, quality })
    }
}

fn compare(baseline: &AnswerBaseline, status: &RequestStatus) -> (AnswerOutcome, AnswerQuality) {
    let bytes = status.bytes;
    let Some(after) = status.after else {
        let waited = status.waited;
        return (AnswerOutcome::Unanswered { waited }, AnswerQuality::Failed);
    };
    if baseline.is_short(bytes) {
        return (AnswerOutcome::Short { after }, AnswerQuality::Failed);
    }
    let quality = if baseline.is_slow(after) {
        AnswerQuality::Slow
    } else {
        AnswerQuality::Normal
    };
    (AnswerOutcome::Answered { after, bytes }, quality)
}

fn baseline_key(
    table: &ForwardingTable,
    record: &FlowRecord,
) -> Option<(SocketAddrV4, ServiceNumber)> {
    let FlowTuple { service, .. } = record.flow;
    Some((service, table.service_of(record.cookie)?))
}
