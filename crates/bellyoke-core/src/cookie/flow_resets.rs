//! Queues and paces the resets of flows whose instance has ended.
//!
//! Once an instance is known to have ended, the flows that a node has seen there are reset, idle
//! ones included: otherwise a client that sends its next request there would lose it if the request
//! must not be retried. All flows of an instance end at once, so their resets are paced.

use crate::cookie::flows::FlowTable;
use crate::cookie::forwarder::ResetReason;
use crate::cookie::instance::Cookie;
use crate::cookie::packet::FlowTuple;
use crate::time::Timestamp;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Maximum number of resets in one interval, some 60 bytes each: 1 Mbit/s, a tenth of the slowest
/// link.
pub const RESETS_PER_INTERVAL: usize = 32;

/// Time between two groups of resets.
pub const RESET_INTERVAL: Duration = Duration::from_millis(20);

/// A flow that is to be reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowReset {
    /// The flow.
    pub flow: FlowTuple,
    /// Instance that the flow was open at.
    pub cookie: Cookie,
    /// Last acknowledgement number of its client.
    pub acknowledged: u32,
    /// Reason of the reset.
    pub reason: ResetReason,
}

/// Condition that a reset depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResetCause {
    /// The flow's instance has ended. The reset doesn't depend on the flow's activity.
    Ended,
    /// The flow's client retransmits data, and its instance is unreachable.
    Unanswered,
}

/// Queue of flows to reset.
///
/// ```
/// use bellyoke_core::cookie::flow_resets::FlowResetQueue;
/// use bellyoke_core::cookie::flows::FlowTable;
/// use bellyoke_core::cookie::instance::{Cookie, InstanceId};
/// use bellyoke_core::time::Timestamp;
/// use std::time::Duration;
///
/// let flows = FlowTable::new(1_000, Duration::from_secs(15));
/// let mut resets = FlowResetQueue::default();
/// let ended = std::iter::empty();
/// resets.review(Timestamp::ZERO, ended, &flows);
/// assert_eq!(resets.next(Timestamp::ZERO, &flows, |_, _| None), None);
/// assert_eq!(resets.next_at(), None);
/// ```
#[derive(Debug, Default)]
pub struct FlowResetQueue {
    /// Instances whose flows were already queued.
    already_queued: BTreeSet<Cookie>,
    queue: VecDeque<QueuedReset>,
    interval_started_at: Timestamp,
    sent_in_interval: usize,
}

/// A queued reset.
#[derive(Clone, Copy, Debug)]
struct QueuedReset {
    /// The flow's hash.
    hash: u64,
    /// Acknowledgement number of its client when it was queued.
    acknowledged: u32,
    cause: ResetCause,
}

impl FlowResetQueue {
    /// Queues the flows of instances that have ended since the last call.
    pub fn review(
        &mut self,
        now: Timestamp,
        ended: impl Iterator<Item = Cookie>,
        flows: &FlowTable,
    ) {
        let ended: BTreeSet<Cookie> = ended.collect();
        let is_new =
            |cookie: &Cookie| ended.contains(cookie) && !self.already_queued.contains(cookie);
        if ended.iter().any(is_new) {
            let new_flows = flows.iter().filter(|(_, record)| is_new(&record.cookie));
            let resets = new_flows.map(|(hash, record)| QueuedReset {
                hash,
                acknowledged: record.acknowledged,
                cause: ResetCause::Ended,
            });
            self.queue.extend(resets);
            self.interval_started_at = self.interval_started_at.max(now);
        }
        self.already_queued = ended;
    }

    /// Queues a flow whose client waits for an answer. It goes first, since each moment counts
    /// against the client's timeout.
    pub fn queue_unanswered(&mut self, hash: u64, acknowledged: u32) {
        self.queue.push_front(QueuedReset {
            hash,
            acknowledged,
            cause: ResetCause::Unanswered,
        });
    }

    /// Returns the next flow to reset now. A queued flow is skipped, and stays open, if its client
    /// has acknowledged data since it was queued or `reason` returns `None`.
    pub fn next(
        &mut self,
        now: Timestamp,
        flows: &FlowTable,
        reason: impl Fn(Cookie, ResetCause) -> Option<ResetReason>,
    ) -> Option<FlowReset> {
        if now.since(self.interval_started_at) >= RESET_INTERVAL {
            self.interval_started_at = now;
            self.sent_in_interval = 0;
        }
        while self.sent_in_interval < RESETS_PER_INTERVAL {
            let QueuedReset {
                hash,
                acknowledged,
                cause,
            } = self.queue.pop_front()?;
            let Some(record) = flows.get(hash).copied() else {
                continue;
            };
            let reason = reason(record.cookie, cause);
            let reason = reason.filter(|_| record.acknowledged == acknowledged);
            let Some(reason) = reason else {
                continue;
            };
            self.sent_in_interval += 1;
            return Some(FlowReset {
                flow: record.flow,
                cookie: record.cookie,
                acknowledged,
                reason,
            });
        }
        None
    }

    /// Returns when [`Self::next`] has a flow to reset; `None` if the queue is empty.
    #[must_use]
    pub fn next_at(&self) -> Option<Timestamp> {
        let is_paced = self.sent_in_interval >= RESETS_PER_INTERVAL;
        let pause = if is_paced {
            RESET_INTERVAL
        } else {
            Duration::ZERO
        };
        (!self.queue.is_empty()).then(|| self.interval_started_at.after(pause))
    }
}
