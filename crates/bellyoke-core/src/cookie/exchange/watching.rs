//! Who watches the store, and how long the others may rest.

use super::candidates::{CLAIM_LIFETIME, StoreDuty, WatcherClaim};
use super::{Exchange, ExchangeEffect, Heartbeat};
use crate::cookie::follower::{Freshness, WatchPlan};
use crate::cookie::freshness::ObjectKind;
use crate::cookie::replica::Versions;
use crate::time::Timestamp;
use std::time::Duration;

/// A confirmation is pushed on if it is newer by so much than the last one that was.
const CONFIRMATION_STEP: Duration = Duration::from_millis(500);

/// How long a claim must have been among the best before it counts.
const CLAIM_PROBATION: Duration = Duration::from_secs(2);

/// How long confirmations of peers count for nothing after this process stood still, since they
/// may have waited in its socket.
const DISTRUST: Duration = Duration::from_millis(300);
impl Exchange {
    /// Whether the store answered this node's last call, if it made one.
    pub fn set_store_usable(&mut self, store_usable: bool) {
        self.store_usable = store_usable;
        if !store_usable {
            self.withdraw_claim();
        }
    }

    /// The store has answered this node's last call for objects of a kind, and what it told is taken over. A read that may
    /// be stale shows that nothing is newer only as long as nobody has read the newest state, as right after a start of
    /// all: it may lag by seconds.
    pub fn store_confirmed(
        &mut self,
        now: Timestamp,
        kind: ObjectKind,
        own: Versions,
    ) -> Vec<ExchangeEffect> {
        let mut effects = Vec::new();
        let tells_newest = self.pacer.asked(kind) == Freshness::Newest;
        self.newest_was_read |= tells_newest;
        if now >= self.distrust_until && (tells_newest || !self.newest_was_read) {
            self.clock.confirm(kind, now);
            self.push_confirmation(now, own, &mut effects);
        }
        effects
    }

    /// The process stood still: what peers said meanwhile may be old.
    pub fn stalled(&mut self, now: Timestamp) {
        self.clock.clear();
        self.pacer.stalled();
        self.distrust_until = now.after(DISTRUST);
    }

    /// How long ago this node's state was known to be the newest; none if it never was.
    #[must_use]
    pub fn confirmation_age(&self, now: Timestamp) -> Option<Duration> {
        self.clock.age(now)
    }

    /// What this node reads of the store. A claim counts once it has stood for a while, so that
    /// nodes that start or lose their watchers together don't all watch at once.
    #[must_use]
    pub fn duty(&self, now: Timestamp) -> StoreDuty {
        let stood = self.claimed_since.map(|since| now.since(since));
        if stood.is_some_and(|stood| stood >= CLAIM_PROBATION) {
            self.claims.duty(self.own_address)
        } else {
            StoreDuty::Listener
        }
    }

    /// How this node goes on reading objects of a kind.
    #[must_use]
    pub fn watch_plan(&self, now: Timestamp, kind: ObjectKind, own: Versions) -> WatchPlan {
        let confirmed_at = self.clock.confirmed_at(kind);
        let stale_at = confirmed_at.map(|at| at.after(self.settings.freshness_bound));
        let is_fresh = stale_at.is_some_and(|stale_at| now < stale_at);
        match (self.duty(now), stale_at) {
            (StoreDuty::Reader, _) => WatchPlan::Watch(Freshness::Newest),
            _ if !is_fresh && self.newest_was_read => WatchPlan::Confirm,
            (StoreDuty::Listener, Some(stale_at)) if !own.is_empty() => {
                WatchPlan::IdleUntil(stale_at)
            }
            (StoreDuty::Backup | StoreDuty::Listener, _) => WatchPlan::Watch(Freshness::MayBeStale),
        }
    }

    pub(super) fn renew_claim(&mut self, now: Timestamp) {
        if self.store_usable && !self.leaving {
            self.claims.note(self.own_address, self.own_place(), now);
        }
        self.trim_claims(now);
    }

    pub(super) fn note_claims(&mut self, now: Timestamp, claims: &[WatcherClaim]) {
        for claim in claims {
            let age = Duration::from_millis(u64::from(claim.age_milliseconds));
            if claim.address != self.own_address && age < CLAIM_LIFETIME {
                self.claims
                    .note(claim.address, claim.place, now.before(age));
            }
        }
        self.trim_claims(now);
    }

    fn trim_claims(&mut self, now: Timestamp) {
        self.claims.trim(now);
        if self.claims.place_of(self.own_address).is_none() {
            self.claimed_since = None;
        } else {
            self.claimed_since.get_or_insert(now);
        }
    }

    pub(super) fn withdraw_claim(&mut self) {
        self.claims.withdraw(self.own_address);
        self.claimed_since = None;
    }

    /// When the sender of a heartbeat was last confirmed, if that can be trusted.
    pub(super) fn confirmation(&self, now: Timestamp, heartbeat: &Heartbeat) -> Option<Timestamp> {
        if now < self.distrust_until {
            return None;
        }
        let age = heartbeat.confirmed_age_milliseconds?;
        Some(now.before(Duration::from_millis(u64::from(age))))
    }

    /// A peer that this node isn't behind was confirmed at a time: so is this node. Word that rests on stale reads counts for
    /// nothing once the newest state was read.
    pub(super) fn hear_confirmation(
        &mut self,
        now: Timestamp,
        confirmed_at: Timestamp,
        by_newest: bool,
        own: Versions,
        effects: &mut Vec<ExchangeEffect>,
    ) {
        if self.newest_was_read && !by_newest {
            return;
        }
        self.newest_was_read |= by_newest;
        self.clock.confirm_all(confirmed_at);
        self.push_confirmation(now, own, effects);
    }

    /// Pushes the newest confirmation on, unless one about as new was pushed before.
    fn push_confirmation(
        &mut self,
        now: Timestamp,
        own: Versions,
        effects: &mut Vec<ExchangeEffect>,
    ) {
        let Some(age) = self.clock.age(now) else {
            return;
        };
        let confirmed_at = now.before(age);
        if confirmed_at < self.told_confirmation.after(CONFIRMATION_STEP) {
            return;
        }
        self.told_confirmation = confirmed_at;
        effects.extend(self.announce(now, own));
    }
}
