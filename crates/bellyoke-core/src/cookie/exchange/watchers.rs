//! Which node watches the store, and how long the other nodes stay idle.

use super::watcher_claims::{CLAIM_LIFETIME, StoreDuty, WatcherClaim};
use super::{Exchange, ExchangeEffect, Heartbeat};
use crate::cookie::follower::{Freshness, WatchPlan};
use crate::cookie::freshness::ObjectKind;
use crate::cookie::replica::Versions;
use crate::time::Timestamp;
use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A confirmation is pushed to peers only if it is newer than the last pushed one by this time.
const MINIMUM_CONFIRMATION_ADVANCE: Duration = Duration::from_millis(500);

/// How long a claim must have been among the best before it takes effect.
const CLAIM_SETTLING_PERIOD: Duration = Duration::from_secs(2);

/// How long confirmations of peers are ignored after a stall of this process, since they may have
/// waited in its socket buffer.
const POST_STALL_IGNORE_PERIOD: Duration = Duration::from_millis(300);

/// Who confirmed a node's state last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmationSource {
    /// The store, by an answer to this node.
    Store,
    /// A peer.
    Peer(SocketAddrV4),
}

impl fmt::Display for ConfirmationSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => formatter.write_str("store"),
            Self::Peer(address) => write!(formatter, "{address}"),
        }
    }
}

impl Exchange {
    /// Sets whether the store answered this node's last call, if there was one.
    pub fn set_store_usable(&mut self, store_usable: bool) {
        self.store_usable = store_usable;
        if !store_usable {
            self.withdraw_claim();
        }
    }

    /// Records that the store has answered this node's last call for objects of a kind and the
    /// answer is merged. A list shows the state from the start of its first page, since the later
    /// pages may take seconds. A read that may be stale confirms the state only until some node has read
    /// the newest state, as right after a start of all nodes, since it may lag by seconds.
    pub fn store_confirmed(
        &mut self,
        now: Timestamp,
        kind: ObjectKind,
        was_list: bool,
        own: Versions,
    ) -> Vec<ExchangeEffect> {
        let mut effects = Vec::new();
        let list_began_at = self.pacer.reading_since(kind).filter(|_| was_list);
        let shown_at = list_began_at.unwrap_or(now);
        let read = self.pacer.requested_freshness(kind);
        let counts = read == Freshness::Newest || !self.clock.newest_was_read(kind);
        if now >= self.ignore_confirmations_until && counts {
            self.clock.confirm(kind, shown_at, read);
            self.confirmation_source = Some(ConfirmationSource::Store);
            self.push_confirmation(now, own, &mut effects);
        }
        effects
    }

    /// Handles a stall of the process: discards confirmations, which may be old.
    pub fn reset_after_stall(&mut self, now: Timestamp) {
        self.clock.clear();
        self.pacer.forget_peer_confirmations();
        self.ignore_confirmations_until = now.after(POST_STALL_IGNORE_PERIOD);
    }

    /// Returns the time since this node's state was last confirmed to be the newest, or `None` if
    /// it never was.
    #[must_use]
    pub fn confirmation_age(&self, now: Timestamp) -> Option<Duration> {
        self.clock.age(now)
    }

    /// Returns who gave the last confirmation, or `None` if there was none.
    #[must_use]
    pub const fn confirmation_source(&self) -> Option<ConfirmationSource> {
        self.confirmation_source
    }

    /// Returns whether the confirmations rest on a read of the newest state, by any node, and not
    /// on reads that may be stale.
    #[must_use]
    pub fn rests_on_newest_read(&self) -> bool {
        self.clock.read() == Freshness::Newest
    }

    /// Returns the time since a kind of object was last confirmed, if that makes it stale.
    #[must_use]
    pub fn stale_age(&self, now: Timestamp, kind: ObjectKind) -> Option<Duration> {
        let age = now.since(self.clock.confirmed_at(kind)?);
        (age >= self.settings.freshness_bound).then_some(age)
    }

    /// Returns until when the known objects of a kind were the newest ones, as far as that bounds
    /// the time of changes that the store tells now. It is unknown if a call has failed since, or
    /// nobody has read the newest state for longer than changes may take: objects may have lapsed
    /// while the store was away.
    #[must_use]
    pub fn newest_until(&self, now: Timestamp, kind: ObjectKind) -> Option<Timestamp> {
        let confirmed_at = self.clock.confirmed_at(kind)?;
        let is_recent = now.since(confirmed_at) < self.settings.freshness_bound * 2;
        let has_failed = self.pacer.has_failed_since(confirmed_at);
        (is_recent && !has_failed).then_some(confirmed_at)
    }

    /// Returns this node's duty in reading the store. A claim takes effect only after
    /// `CLAIM_SETTLING_PERIOD`; otherwise nodes that start together or lose their watchers together
    /// would all watch at once.
    #[must_use]
    pub fn duty(&self, now: Timestamp) -> StoreDuty {
        let claimed_for = self.claimed_since.map(|since| now.since(since));
        if claimed_for.is_some_and(|claimed_for| claimed_for >= CLAIM_SETTLING_PERIOD) {
            self.claims.duty(self.own_address)
        } else {
            StoreDuty::Listener
        }
    }

    /// Returns how this node continues to read objects of a kind.
    #[must_use]
    pub fn watch_plan(&self, now: Timestamp, kind: ObjectKind, own: Versions) -> WatchPlan {
        let confirmed_at = self.clock.confirmed_at(kind);
        let stale_at = confirmed_at.map(|at| at.after(self.settings.freshness_bound));
        let is_fresh = stale_at.is_some_and(|stale_at| now < stale_at);
        match (self.duty(now), stale_at) {
            (StoreDuty::Reader, _) => WatchPlan::Watch(Freshness::Newest),
            _ if !is_fresh && self.clock.newest_was_read(kind) => WatchPlan::Confirm,
            (StoreDuty::Listener, Some(stale_at)) if !own.is_empty() => {
                WatchPlan::IdleUntil(stale_at)
            }
            (StoreDuty::Backup | StoreDuty::Listener, _) => WatchPlan::Watch(Freshness::MayBeStale),
        }
    }

    pub(super) fn renew_claim(&mut self, now: Timestamp) {
        if self.store_usable && !self.leaving {
            self.claims.record(self.own_address, self.own_place(), now);
        }
        self.trim_claims(now);
    }

    pub(super) fn record_claims(&mut self, now: Timestamp, claims: &[WatcherClaim]) {
        for claim in claims {
            let age = Duration::from_millis(u64::from(claim.age_milliseconds));
            if claim.address != self.own_address && age < CLAIM_LIFETIME {
                self.claims
                    .record(claim.address, claim.place, now.before(age));
            }
        }
        self.trim_claims(now);
    }

    fn trim_claims(&mut self, now: Timestamp) {
        self.claims.trim(now);
        if self.claims.rank_of(self.own_address).is_none() {
            self.claimed_since = None;
        } else {
            self.claimed_since.get_or_insert(now);
        }
    }

    pub(super) fn withdraw_claim(&mut self) {
        self.claims.withdraw(self.own_address);
        self.claimed_since = None;
    }

    /// Returns when the sender of a heartbeat was last confirmed, or `None` if confirmations are
    /// currently ignored.
    pub(super) fn confirmation(&self, now: Timestamp, heartbeat: &Heartbeat) -> Option<Timestamp> {
        if now < self.ignore_confirmations_until {
            return None;
        }
        let age = heartbeat.confirmed_age_milliseconds?;
        Some(now.before(Duration::from_millis(u64::from(age))))
    }

    /// Adopts the confirmation of a peer that this node is not behind. Confirmations that are based
    /// on stale reads are ignored once the newest state was read.
    pub(super) fn adopt_confirmation(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        confirmed_at: Timestamp,
        read: Freshness,
        own: Versions,
        effects: &mut Vec<ExchangeEffect>,
    ) {
        if read == Freshness::MayBeStale && self.rests_on_newest_read() {
            return;
        }
        self.clock.confirm_all(confirmed_at, read);
        self.confirmation_source = Some(ConfirmationSource::Peer(from));
        self.push_confirmation(now, own, effects);
    }

    /// Pushes the newest confirmation to peers, unless one that is about as new was already pushed.
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
        if confirmed_at < self.pushed_confirmation.after(MINIMUM_CONFIRMATION_ADVANCE) {
            return;
        }
        self.pushed_confirmation = confirmed_at;
        effects.extend(self.announce(now, own));
    }
}
