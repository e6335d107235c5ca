//! Which instances live, and the flows that end since theirs doesn't.

use super::{Forwarder, ResetReason};
use crate::cookie::flow_resets::{FlowReset, ResetCause};
use crate::cookie::instance::Cookie;
use crate::cookie::placement::mix;
use crate::cookie::table::ForwardingTable;
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

/// An instance in question that showed life so lately lives: a question is raised 150 ms after a death at
/// the soonest, and takes 200 ms more to become one of peers.
const OBJECTION_WINDOW: Duration = Duration::from_millis(300);

/// An instance that showed life so lately isn't dead, whatever probes say. Longer than a flow is silent
/// whose data was lost twice (200 and 400 ms); a verdict takes about as long after a death.
const LIFE_LIFETIME: Duration = Duration::from_millis(1_000);

/// A client that has repeated something repeats it again within so long, if it still waits.
const REPEATING_LIFETIME: Duration = Duration::from_millis(500);

/// Flows that are remembered for it; of further ones the next repetition tells.
const MAXIMUM_REPEATING: usize = 256;

impl Forwarder {
    /// Instances whose death is established, and to which no peer has objected: their flows end.
    pub fn set_ended(&mut self, ended: &BTreeSet<Cookie>) {
        if self.ended != *ended {
            self.ended.clone_from(ended);
        }
    }

    /// The instances among those in question that showed life a moment ago.
    #[must_use]
    pub fn alive_instances(&self, now: Timestamp, questioned: &BTreeSet<Cookie>) -> Vec<Cookie> {
        let living = questioned.iter().copied();
        living
            .filter(|cookie| self.alive_within(now, *cookie, OBJECTION_WINDOW))
            .collect()
    }

    /// The next resting flow to reset now; none if none is due.
    pub fn next_flow_reset(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
    ) -> Option<FlowReset> {
        self.resets.next_at()?;
        let mut ends = std::mem::take(&mut self.resets);
        let end = ends.next(now, &self.flows, |cookie, cause| {
            self.end_of(now, table, cookie, cause)
        });
        self.resets = ends;
        if let Some(end) = &end {
            self.flows.remove(end.flow.hash());
        }
        end
    }

    /// When [`Self::next_flow_reset`] has something to do; none if no flow waits to be reset.
    #[must_use]
    pub fn next_flow_reset_at(&self) -> Option<Timestamp> {
        self.resets.next_at()
    }

    /// Flows remembered.
    #[must_use]
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Queues the flows that end by what is held of instances now.
    pub fn review_flow_resets(&mut self, now: Timestamp, table: &ForwardingTable) {
        self.end_unanswered(now);
        if self.resets_idle_flows {
            let ended = self.ended.iter().chain(table.superseded()).copied();
            self.resets.review(now, ended, &self.flows);
        }
    }

    /// Queues the flows whose clients have repeated something to an instance that turns out to be unreachable. They
    /// would repeat it again only 400 ms after the first time, and a verdict takes 250 to 350 ms: a request that may be
    /// sent again is answered elsewhere 500 to 600 ms after it was asked, instead of 620 to 650 ms.
    fn end_unanswered(&mut self, now: Timestamp) {
        let repeating = std::mem::take(&mut self.repeating);
        for (hash, repeated_at) in repeating {
            let Some(record) = self.flows.get(hash) else {
                continue;
            };
            let (cookie, acknowledged) = (record.cookie, record.acknowledged);
            if self.is_unreachable(cookie) && !self.is_alive(now, cookie) {
                self.resets.queue_unanswered(hash, acknowledged);
            } else if now.since(repeated_at) < REPEATING_LIFETIME {
                self.repeating.push((hash, repeated_at));
            }
        }
    }

    /// Notes that the client of a flow waits for an answer in vain, so far.
    pub(super) fn note_repeating(&mut self, now: Timestamp, flow_hash: u64) {
        self.repeating.retain(|(hash, _)| *hash != flow_hash);
        if self.repeating.len() < MAXIMUM_REPEATING {
            self.repeating.push((flow_hash, now));
        }
    }

    /// Why a flow of an instance ends; none if it doesn't.
    fn end_of(
        &self,
        now: Timestamp,
        table: &ForwardingTable,
        cookie: Cookie,
        cause: ResetCause,
    ) -> Option<ResetReason> {
        if table.is_superseded(cookie) {
            return Some(ResetReason::Superseded);
        }
        let ends = match cause {
            ResetCause::Ended => self.has_ended(now, cookie),
            ResetCause::Unanswered => self.is_unreachable(cookie) && !self.is_alive(now, cookie),
        };
        ends.then_some(ResetReason::Unreachable)
    }

    pub(super) fn has_ended(&self, now: Timestamp, cookie: Cookie) -> bool {
        self.ended.contains(&cookie) && self.is_unreachable(cookie) && !self.is_alive(now, cookie)
    }

    pub(super) fn is_unreachable(&self, cookie: Cookie) -> bool {
        self.unreachable.contains(&cookie) && !self.proven.contains(&cookie)
    }

    /// An instance has lived at `since` or later.
    pub(super) fn lives(&mut self, since: Timestamp, cookie: Cookie) {
        let key = life_key(cookie);
        let known = self.alive_at.seen_at(key);
        self.alive_at
            .record(known.map_or(since, |known| known.max(since)), key);
        let avoided = self.avoided.get(&cookie);
        if avoided.is_some_and(|avoided_at| since > *avoided_at) {
            self.proven.insert(cookie);
        }
    }

    pub(super) fn is_alive(&self, now: Timestamp, cookie: Cookie) -> bool {
        self.alive_within(now, cookie, LIFE_LIFETIME)
    }

    pub(super) fn alive_within(&self, now: Timestamp, cookie: Cookie, time: Duration) -> bool {
        let alive_at = self.alive_at.seen_at(life_key(cookie));
        alive_at.is_some_and(|at| now.since(at) < time)
    }
}

fn life_key(cookie: Cookie) -> u64 {
    mix(u64::from(cookie.bits())) | 1
}
