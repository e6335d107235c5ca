//! Passive health checks: detects instances that do not complete the openings sent to them.
//!
//! A backend answers its clients directly, so all that a node sees of an opening is whether the
//! client continues with the cookie of the instance. Packets of open flows prove nothing, because a
//! client also retransmits its data to a dead instance. An instance is *suspected* after several
//! openings in a row failed. Suspicion never rejects an instance, it only gives others preference.
//! When the suspicion ends, one opening at a time tries the instance again.

use crate::cookie::instance::Cookie;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// When openings count as failed, and how long the instance is then suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthSettings {
    /// An opening that no later packet follows within this time has failed. Shorter than the time
    /// after which clients send a copy.
    pub opening_timeout: Duration,
    /// Consecutive failures after which an instance is no longer preferred for being idle, because
    /// a dead instance looks idle too. With zero, no instance is preferred for being idle, and
    /// flows are placed by hash alone.
    pub idle_preference_threshold: u32,
    /// Consecutive failures after which an instance is suspected.
    pub failure_threshold: u32,
    /// How long other instances are preferred before the suspected one is tried again; doubles with
    /// each failed trial.
    pub suspicion_duration: Duration,
    /// Maximum time between two trials.
    pub maximum_suspicion_duration: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            opening_timeout: Duration::from_millis(150),
            idle_preference_threshold: 1,
            failure_threshold: 2,
            suspicion_duration: Duration::from_secs(2),
            maximum_suspicion_duration: Duration::from_secs(16),
        }
    }
}

/// Maximum number of openings monitored at once; further ones are placed without monitoring.
pub const MAXIMUM_PENDING_OPENINGS: usize = 4_096;

/// A change in the health of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// Openings sent to the instance fail.
    Suspected {
        /// The instance.
        cookie: Cookie,
        /// Number of consecutive failures.
        failures: u32,
    },
    /// A flow was opened at the instance.
    Recovered {
        /// The instance.
        cookie: Cookie,
    },
}

#[derive(Clone, Copy, Debug)]
struct PendingOpening {
    cookie: Cookie,
    sent_at: Timestamp,
}

#[derive(Clone, Copy, Debug, Default)]
struct InstanceHealth {
    failures: u32,
    failed_trials: u32,
    trial_running: bool,
    suspected_until: Timestamp,
}

/// Monitors the openings that one traffic thread has placed.
#[derive(Debug)]
pub struct OpeningMonitor {
    settings: HealthSettings,
    pending: BTreeMap<u64, PendingOpening>,
    /// Flow hashes by the time of their opening, the oldest first.
    opening_order: VecDeque<(Timestamp, u64)>,
    /// Instances that peers suspect.
    peer_suspicions: BTreeSet<Cookie>,
    /// When an opening last succeeded, by instance.
    succeeded_at: BTreeMap<Cookie, Timestamp>,
    /// Instances whose last opening failed.
    failing: BTreeMap<Cookie, InstanceHealth>,
    changes: Vec<HealthChange>,
    /// Instances at which openings failed since the last call of [`Self::take_failed`].
    failed: BTreeSet<Cookie>,
}

impl OpeningMonitor {
    /// Creates a monitor without any suspected instance.
    #[must_use]
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            pending: BTreeMap::new(),
            opening_order: VecDeque::new(),
            peer_suspicions: BTreeSet::new(),
            succeeded_at: BTreeMap::new(),
            failing: BTreeMap::new(),
            changes: Vec::new(),
            failed: BTreeSet::new(),
        }
    }

    /// Returns whether other instances are preferred to this one.
    #[must_use]
    pub fn is_suspected(&self, now: Timestamp, cookie: Cookie) -> bool {
        if let Some(health) = self.failing.get(&cookie)
            && health.failures >= self.settings.failure_threshold
        {
            return now < health.suspected_until;
        }
        self.peer_suspicions.contains(&cookie) && !self.recently_succeeded(now, cookie)
    }

    /// Returns whether the last openings at an instance failed, even if too few for a suspicion.
    #[must_use]
    pub fn loses_idle_preference(&self, cookie: Cookie) -> bool {
        let failures = self
            .failing
            .get(&cookie)
            .map_or(0, |health| health.failures);
        failures >= self.settings.idle_preference_threshold
    }

    /// Returns the time after which an opening has failed.
    #[must_use]
    pub const fn opening_timeout(&self) -> Duration {
        self.settings.opening_timeout
    }

    /// Returns the instances that are suspected because of failed openings of this node itself.
    pub fn failing_instances(&self) -> impl Iterator<Item = Cookie> {
        let threshold = self.settings.failure_threshold;
        let failing = self.failing.iter();
        let failing = failing.filter(move |(_, health)| health.failures >= threshold);
        failing.map(|(cookie, _)| *cookie)
    }

    /// Sets the instances that peers suspect.
    pub fn set_peer_suspicions(&mut self, suspected: &BTreeSet<Cookie>) {
        self.peer_suspicions.clone_from(suspected);
    }

    /// Records that an opening was sent to an instance.
    pub fn record_opening(&mut self, now: Timestamp, flow_hash: u64, cookie: Cookie) {
        self.expire(now);
        if let Some(earlier) = self.pending.remove(&flow_hash) {
            self.record_failure(now, earlier);
        }
        self.begin_trial(now, cookie);
        if self.pending.len() >= MAXIMUM_PENDING_OPENINGS {
            return;
        }
        let opening = PendingOpening {
            cookie,
            sent_at: now,
        };
        self.pending.insert(flow_hash, opening);
        self.opening_order.push_back((now, flow_hash));
    }

    /// Records that a later packet of a flow carries the cookie of an instance. Returns how long
    /// the opening took if this is the first packet after it.
    pub fn record_progress(
        &mut self,
        now: Timestamp,
        flow_hash: u64,
        cookie: Cookie,
    ) -> Option<Duration> {
        let opening = self.pending.remove(&flow_hash)?;
        self.succeeded_at.insert(cookie, now);
        let failed_before = self.failing.remove(&cookie);
        if failed_before.is_some_and(|health| health.failures >= self.settings.failure_threshold) {
            self.changes.push(HealthChange::Recovered { cookie });
        }
        Some(now.since(opening.sent_at))
    }

    /// Counts the openings that have timed out as failed.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some(&(sent_at, flow_hash)) = self.opening_order.front() {
            if now.since(sent_at) < self.settings.opening_timeout {
                return;
            }
            self.opening_order.pop_front();
            let Some(opening) = self.pending.get(&flow_hash).copied() else {
                continue;
            };
            if opening.sent_at == sent_at {
                self.pending.remove(&flow_hash);
                self.record_failure(now, opening);
            }
        }
    }

    /// Discards all pending openings without counting them, because this node itself stalled.
    pub fn forget_pending(&mut self) {
        self.pending.clear();
        self.opening_order.clear();
    }

    /// Removes everything recorded about an instance.
    pub fn forget(&mut self, cookie: Cookie) {
        self.failing.remove(&cookie);
        self.succeeded_at.remove(&cookie);
        self.failed.remove(&cookie);
        self.pending.retain(|_, opening| opening.cookie != cookie);
    }

    /// Removes the instances for which `is_known` returns `false`.
    pub fn retain(&mut self, is_known: impl Fn(Cookie) -> bool) {
        self.failing.retain(|cookie, _| is_known(*cookie));
        self.succeeded_at.retain(|cookie, _| is_known(*cookie));
    }

    /// Returns the instances at which an opening completed within `time` before `now`, the latest
    /// first.
    #[must_use]
    pub fn succeeded_within(&self, now: Timestamp, time: Duration) -> Vec<Cookie> {
        let succeeded = self.succeeded_at.iter();
        let recent = succeeded.filter(|(_, at)| now.since(**at) < time);
        let mut recent: Vec<(Timestamp, Cookie)> =
            recent.map(|(cookie, at)| (*at, *cookie)).collect();
        recent.sort_unstable_by(|one, other| other.cmp(one));
        recent.into_iter().map(|(_, cookie)| cookie).collect()
    }

    /// Returns the instances at which an opening failed since the last call of
    /// [`Self::take_failed`].
    pub fn recently_failed(&self) -> impl Iterator<Item = Cookie> {
        self.failed.iter().copied()
    }

    /// Returns the instances at which an opening, even a single one, failed since the last call.
    pub fn take_failed(&mut self) -> Vec<Cookie> {
        std::mem::take(&mut self.failed).into_iter().collect()
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<HealthChange> {
        std::mem::take(&mut self.changes)
    }

    fn recently_succeeded(&self, now: Timestamp, cookie: Cookie) -> bool {
        let succeeded_at = self.succeeded_at.get(&cookie);
        succeeded_at.is_some_and(|at| now.since(*at) < self.settings.suspicion_duration)
    }

    fn record_failure(&mut self, now: Timestamp, opening: PendingOpening) {
        let health = self.failing.entry(opening.cookie).or_default();
        health.failures = health.failures.saturating_add(1);
        self.failed.insert(opening.cookie);
        if health.failures < self.settings.failure_threshold {
            return;
        }
        if std::mem::take(&mut health.trial_running) {
            health.failed_trials = health.failed_trials.saturating_add(1);
        }
        let doublings = 1_u32.checked_shl(health.failed_trials).unwrap_or(u32::MAX);
        let suspicion = self.settings.suspicion_duration.saturating_mul(doublings);
        health.suspected_until = now.after(suspicion.min(self.settings.maximum_suspicion_duration));
        if health.failures == self.settings.failure_threshold {
            self.changes.push(HealthChange::Suspected {
                cookie: opening.cookie,
                failures: health.failures,
            });
        }
    }

    /// Starts a trial of a suspected instance, and keeps further openings from it until the trial
    /// ends.
    fn begin_trial(&mut self, now: Timestamp, cookie: Cookie) {
        let threshold = self.settings.failure_threshold;
        let Some(health) = self.failing.get_mut(&cookie) else {
            return;
        };
        if health.failures >= threshold && health.suspected_until <= now {
            health.trial_running = true;
            health.suspected_until = now.after(self.settings.opening_timeout);
        }
    }
}
