//! Which resting flows are ended, and when.
//!
//! Once an instance is known to have ended, the flows that a node has seen there are reset, resting ones
//! too: a client that sends next what may not be sent twice would lose it. All flows of an instance end at
//! once, so their resets are paced.

use crate::cookie::flows::FlowTable;
use crate::cookie::forwarder::ResetReason;
use crate::cookie::instance::Cookie;
use crate::cookie::packet::FlowTuple;
use crate::time::Timestamp;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Resets of resting flows in one interval, each of some 60 bytes: 1 Mbit/s, a tenth of the thinnest link.
pub const RESETS_PER_INTERVAL: usize = 32;

/// Time between two groups of resets.
pub const RESET_INTERVAL: Duration = Duration::from_millis(20);

/// A resting flow that is to be reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowReset {
    /// The flow.
    pub flow: FlowTuple,
    /// The instance that it was open at.
    pub cookie: Cookie,
    /// What its client acknowledged last.
    pub acknowledged: u32,
    /// Why it is ended.
    pub reason: ResetReason,
}

/// What speaks for the end of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResetCause {
    /// Its instance has ended, whatever the flow does.
    Ended,
    /// Its client repeats what it sent, and its instance can't be reached.
    Unanswered,
}

/// The flows that wait for their resets.
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
    /// Instances whose flows were queued already.
    already_queued: BTreeSet<Cookie>,
    queue: VecDeque<QueuedReset>,
    interval_started_at: Timestamp,
    sent_in_interval: usize,
}

/// A flow that waits for its reset.
#[derive(Clone, Copy, Debug)]
struct QueuedReset {
    /// The flow's hash.
    hash: u64,
    /// What its client had acknowledged when it was queued.
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
            let queue = new_flows.map(|(hash, record)| QueuedReset {
                hash,
                acknowledged: record.acknowledged,
                cause: ResetCause::Ended,
            });
            self.queue.extend(queue);
            self.interval_started_at = self.interval_started_at.max(now);
        }
        self.already_queued = ended;
    }

    /// Queues a flow whose client waits for an answer. It goes first: each moment counts against what its client
    /// allows for an answer.
    pub fn queue_unanswered(&mut self, hash: u64, acknowledged: u32) {
        self.queue.push_front(QueuedReset {
            hash,
            acknowledged,
            cause: ResetCause::Unanswered,
        });
    }

    /// The next flow to reset now. It is left alone, and kept, if its client has acknowledged something
    /// since it was queued or `reason` tells no reason any more.
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

    /// When [`Self::next`] has something to do; none if nothing waits.
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
