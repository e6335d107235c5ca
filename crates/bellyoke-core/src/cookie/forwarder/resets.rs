//! Tracks which instances are alive, and resets the flows of those that aren't.

use super::{Forwarder, ResetReason};
use crate::cookie::flow_resets::{FlowReset, ResetCause};
use crate::cookie::instance::Cookie;
use crate::cookie::placement::mix;
use crate::cookie::reachability::LifeSign;
use crate::cookie::table::ForwardingTable;
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

/// A suspected instance that was active this recently is reported alive. Suspicion arises 150 ms
/// after a death at the earliest, and reaches peers 200 ms later.
const ALIVE_REPORT_WINDOW: Duration = Duration::from_millis(300);

/// An instance that was active this recently isn't treated as dead, whatever probes show. This is
/// longer than the silence of a flow whose data was lost twice (200 and 400 ms), and about as long
/// as it takes to detect a death.
const ALIVE_WINDOW: Duration = Duration::from_millis(1_000);

/// Time within which a client that has retransmitted data retransmits it again, if it still waits.
const RETRANSMISSION_WINDOW: Duration = Duration::from_millis(500);

/// Maximum number of flows whose retransmissions are tracked. Further flows are detected by their
/// next retransmission.
const MAXIMUM_RETRANSMITTING_FLOWS: usize = 256;

impl Forwarder {
    /// Sets the instances that are known to have ended, without a refutation by a peer: their flows
    /// are reset.
    pub fn set_ended(&mut self, ended: &BTreeSet<Cookie>) {
        if self.ended != *ended {
            self.ended.clone_from(ended);
        }
    }

    /// Returns the suspected instances that were active recently, and when.
    #[must_use]
    pub fn alive_instances(&self, now: Timestamp, suspected: &BTreeSet<Cookie>) -> Vec<LifeSign> {
        let signs = suspected.iter().filter_map(|cookie| {
            Some(LifeSign {
                cookie: *cookie,
                seen_at: self.alive_at.seen_at(instance_key(*cookie))?,
            })
        });
        signs
            .filter(|sign| now.since(sign.seen_at) < ALIVE_REPORT_WINDOW)
            .collect()
    }

    /// Returns the next flow to reset now; `None` if none is due.
    pub fn next_flow_reset(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
    ) -> Option<FlowReset> {
        self.resets.next_at()?;
        let mut resets = std::mem::take(&mut self.resets);
        let reset = resets.next(now, &self.flows, |cookie, cause| {
            self.reset_reason(now, table, cookie, cause)
        });
        self.resets = resets;
        if let Some(reset) = &reset {
            self.flows.remove(reset.flow.hash());
        }
        reset
    }

    /// Returns when [`Self::next_flow_reset`] has a flow to reset; `None` if no reset is queued.
    #[must_use]
    pub fn next_flow_reset_at(&self) -> Option<Timestamp> {
        self.resets.next_at()
    }

    /// Returns the number of tracked flows.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Queues resets of the flows of instances that are now known to have ended.
    pub fn review_flow_resets(&mut self, now: Timestamp, table: &ForwardingTable) {
        self.queue_unanswered_flows(now, table);
        if self.resets_idle_flows {
            let superseded = table.superseded().iter().map(|(cookie, _)| *cookie);
            let taken_over: Vec<Cookie> = superseded
                .filter(|cookie| self.was_taken_over(table, *cookie))
                .collect();
            let ended = self.ended.iter().copied().chain(taken_over);
            self.resets.review(now, ended, &self.flows);
        }
    }

    /// Queues resets of flows whose clients have retransmitted data to an instance that turns out
    /// to be unreachable. They would retransmit again only 400 ms after the first time, and
    /// detection takes 250 to 350 ms. With the reset, a request that may be retried is answered
    /// elsewhere 500 to 600 ms after it was sent, instead of 620 to 650 ms.
    fn queue_unanswered_flows(&mut self, now: Timestamp, table: &ForwardingTable) {
        let retransmitting_flows = std::mem::take(&mut self.retransmitting_flows);
        for (hash, retransmitted_at) in retransmitting_flows {
            let Some(record) = self.flows.get(hash) else {
                continue;
            };
            let (cookie, acknowledged) = (record.cookie, record.acknowledged);
            if self.is_lost(now, table, cookie) {
                self.resets.queue_unanswered(hash, acknowledged);
            } else if now.since(retransmitted_at) < RETRANSMISSION_WINDOW {
                self.retransmitting_flows.push((hash, retransmitted_at));
            }
        }
    }

    /// Records that the client of a flow has retransmitted data and has no answer yet.
    pub(super) fn record_retransmission(&mut self, now: Timestamp, flow_hash: u64) {
        self.retransmitting_flows
            .retain(|(hash, _)| *hash != flow_hash);
        if self.retransmitting_flows.len() < MAXIMUM_RETRANSMITTING_FLOWS {
            self.retransmitting_flows.push((flow_hash, now));
        }
    }

    /// Returns why a flow of an instance is reset; `None` if it must not be.
    fn reset_reason(
        &self,
        now: Timestamp,
        table: &ForwardingTable,
        cookie: Cookie,
        cause: ResetCause,
    ) -> Option<ResetReason> {
        if self.was_taken_over(table, cookie) {
            return Some(ResetReason::Superseded);
        }
        let resets = match cause {
            ResetCause::Ended => self.has_ended(now, cookie),
            ResetCause::Unanswered => self.is_lost(now, table, cookie),
        };
        resets.then(|| ResetReason::of_lost_instance(table, cookie))
    }

    /// Returns whether the successor at an instance's address was seen alive, and later than the
    /// instance itself. Their records alone don't show it: one may name an address by mistake.
    pub(super) fn was_taken_over(&self, table: &ForwardingTable, cookie: Cookie) -> bool {
        let seen_at = |cookie| self.alive_at.seen_at(instance_key(cookie));
        let successor = table.successor_of(cookie);
        let successor_seen_at = successor.and_then(seen_at);
        successor_seen_at.is_some_and(|at| seen_at(cookie).is_none_or(|own_at| own_at < at))
    }

    /// Returns whether an instance that leaves data unanswered is lost: it is unreachable, or its
    /// record was deleted and it has a successor at its address, and it shows no activity.
    pub(super) fn is_lost(&self, now: Timestamp, table: &ForwardingTable, cookie: Cookie) -> bool {
        let is_doubted = self.is_unreachable(cookie) || table.successor_of(cookie).is_some();
        is_doubted && !self.is_alive(now, cookie)
    }

    pub(super) fn has_ended(&self, now: Timestamp, cookie: Cookie) -> bool {
        self.ended.contains(&cookie) && self.is_unreachable(cookie) && !self.is_alive(now, cookie)
    }

    pub(super) fn is_unreachable(&self, cookie: Cookie) -> bool {
        self.unreachable.contains(&cookie) && !self.proven_alive.contains(&cookie)
    }

    /// Records that an instance was alive at `since` or later.
    pub(super) fn record_alive(&mut self, since: Timestamp, cookie: Cookie) {
        let key = instance_key(cookie);
        let known = self.alive_at.seen_at(key);
        self.alive_at
            .record(known.map_or(since, |known| known.max(since)), key);
        let avoided = self.avoided.get(&cookie);
        if avoided.is_some_and(|avoided_at| since > *avoided_at) {
            self.proven_alive.insert(cookie);
        }
    }

    pub(super) fn is_alive(&self, now: Timestamp, cookie: Cookie) -> bool {
        self.alive_within(now, cookie, ALIVE_WINDOW)
    }

    pub(super) fn alive_within(&self, now: Timestamp, cookie: Cookie, time: Duration) -> bool {
        let alive_at = self.alive_at.seen_at(instance_key(cookie));
        alive_at.is_some_and(|at| now.since(at) < time)
    }
}

fn instance_key(cookie: Cookie) -> u64 {
    mix(u64::from(cookie.bits())) | 1
}
