//! The reachability state that one node keeps per instance.

use super::finding::{Finding, LifeSign, Origin, PeerFindings, is_fresh};
use super::{
    AVOIDANCE_DURATION, CONFIRMATION_TIMEOUT, MAXIMUM_CONFIRMATION_REQUESTS,
    MAXIMUM_INCONCLUSIVE_PROBES, MAXIMUM_SUSPECTS_PER_PROBE, PROBE_DURATION, ProbeOutcome,
    RECHECK_INTERVAL, REFUTATION_PERIOD, SUSPICION_DELAY, SUSPICION_INTERVAL,
};
use crate::cookie::instance::Cookie;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time after which an idle flow counts as closed unless the configuration states another one.
const DEFAULT_FLOW_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// A refutation is forwarded again if its evidence is newer by at least this much.
const REFUTATION_RENEWAL_INTERVAL: Duration = Duration::from_millis(150);

/// The state of a suspected instance's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// The record exists.
    Present,
    /// The record was deleted.
    Deleted,
    /// An instance created later uses the same address; connections there say nothing about this
    /// one.
    AddressReused,
}

/// Why an instance is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspicionSource {
    /// An opening that this node sent has failed.
    OwnOpening,
    /// A peer whose probe failed asks this node to probe the instance.
    PeerRequest,
}

/// A change in the reachability of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachabilityChange {
    /// The instance.
    pub cookie: Cookie,
    /// Whether it is now considered unreachable.
    pub unreachable: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct InstanceState {
    /// Whether it waits for a probe, or one is running.
    suspected: bool,
    /// Whether a peer asked for the probe.
    requested_by_peer: bool,
    probe_running: bool,
    /// Whether the running probe started during an earlier run of the instance.
    probe_is_stale: bool,
    probed_at: Option<Timestamp>,
    unreachable_at: Option<Timestamp>,
    /// When the time for peers to refute the suspicion began.
    refutations_requested_at: Option<Timestamp>,
    /// Whether its record was deleted. It may serve on.
    record_deleted: bool,
    /// Whether another instance uses its address, which makes probes meaningless.
    address_reused: bool,
    /// Whether it was unreachable when another instance began to use its address. Probes cannot
    /// renew this verdict, so it lasts until its flows show that it is alive, or its record or the
    /// other one changes.
    superseded: bool,
    /// Until when openings avoid it although it accepts connections again.
    avoided_until: Timestamp,
    /// When this node rechecks whether it is still unreachable; `None` unless an own probe found
    /// that.
    recheck_at: Option<Timestamp>,
    inconclusive_probes: u32,
    /// When its flows last showed that it is alive.
    alive_at: Option<Timestamp>,
    /// When it was last seen alive, by this node or a peer. Findings of earlier probes are ignored.
    refuted_at: Option<Timestamp>,
    /// Since when the current suspicion or verdict would explain what was observed.
    doubted_since: Option<Timestamp>,
    /// The first doubt since the last evidence that it is alive. Unlike `doubted_since`, it does not
    /// start again with each suspicion.
    unseen_since: Option<Timestamp>,
    /// When a probe of this node last reached it. Earlier findings of peers are ignored.
    reached_at: Option<Timestamp>,
    peers: PeerFindings,
    /// Number of peers asked to confirm the verdict, and the time before which no other one is
    /// asked.
    confirmation_requests: u32,
    next_confirmation_request_at: Timestamp,
}

/// Tracks suspected and unreachable instances by the findings of this node and its peers.
#[derive(Debug)]
pub struct ReachabilityMonitor {
    own: Origin,
    /// Whether all nodes known to this one are in a single zone.
    single_zone: bool,
    flow_idle_timeout: Duration,
    states: BTreeMap<Cookie, InstanceState>,
}

impl ReachabilityMonitor {
    /// Creates a monitor without any suspects.
    #[must_use]
    pub const fn new(own: Origin) -> Self {
        Self {
            own,
            single_zone: true,
            flow_idle_timeout: DEFAULT_FLOW_IDLE_TIMEOUT,
            states: BTreeMap::new(),
        }
    }

    /// Sets whether all known nodes are in a single zone.
    pub const fn set_single_zone(&mut self, single_zone: bool) {
        self.single_zone = single_zone;
    }

    /// Sets after which time an idle flow counts as closed.
    pub const fn set_flow_idle_timeout(&mut self, timeout: Duration) {
        self.flow_idle_timeout = timeout;
    }

    /// Returns the finding of a probe of this node that ended at `now`.
    #[must_use]
    pub const fn own_finding(&self, now: Timestamp, cookie: Cookie, reached: bool) -> Finding {
        Finding {
            cookie,
            origin: self.own,
            found_at: now,
            reached,
        }
    }

    /// Returns whether a probe of this node that ended at `now` could not reach the instance.
    #[must_use]
    pub fn found_unreachable(&self, now: Timestamp, cookie: Cookie) -> bool {
        let state = self.states.get(&cookie);
        state.is_some_and(|state| state.unreachable_at == Some(now))
    }

    /// Records a peer's finding about a known instance. Returns whether it is new and is to be
    /// forwarded.
    pub fn record_finding(&mut self, now: Timestamp, finding: &Finding) -> bool {
        let state = self.states.entry(finding.cookie).or_default();
        let alive_at = state.alive_at;
        let is_alive = alive_at.is_some_and(|at| now.since(at) < SUSPICION_INTERVAL);
        let reached = state.reached_at.is_some_and(|at| finding.found_at <= at);
        let probe_started_at = finding.found_at.before(PROBE_DURATION);
        let is_refuted = state.refuted_at.is_some_and(|at| probe_started_at <= at);
        let is_outdated = reached || (is_refuted && !finding.reached);
        if state.address_reused || is_alive || is_outdated {
            return false;
        }
        if !finding.reached {
            let was_under_verification = state.is_under_verification(now);
            let is_new = state.peers.record(now, finding, self.single_zone);
            if is_new && !was_under_verification {
                state.refutations_requested_at = Some(now);
                state.doubt(probe_started_at);
            }
            return is_new;
        }
        let withdrawn = state.peers.withdraw(finding, self.single_zone);
        if withdrawn {
            state.unseen_since = None;
        }
        if withdrawn && !state.is_under_verification(now) {
            state.refutations_requested_at = None;
            state.avoided_until = finding
                .found_at
                .after(AVOIDANCE_DURATION)
                .max(state.avoided_until);
        }
        withdrawn
    }

    /// Returns the instances that this node could not reach and that nobody has confirmed yet. A
    /// peer is to be asked about each of them now; the requests are counted.
    pub fn take_unconfirmed(&mut self, now: Timestamp) -> Vec<Cookie> {
        let (own, single_zone) = (self.own, self.single_zone);
        let states = self.states.iter_mut();
        let unconfirmed = states.filter(|(_, state)| {
            let found = state.unreachable_at;
            let is_open = found.is_some_and(|at| is_fresh(now, at)) && !state.address_reused;
            is_open
                && !state.requested_by_peer
                && state.confirmation_requests < MAXIMUM_CONFIRMATION_REQUESTS
                && now >= state.next_confirmation_request_at
                && !state.peers.confirms(now, own, single_zone)
        });
        let requested = unconfirmed.map(|(cookie, state)| {
            state.confirmation_requests += 1;
            state.next_confirmation_request_at = now.after(CONFIRMATION_TIMEOUT);
            *cookie
        });
        requested.collect()
    }

    /// Marks an instance as suspected. Returns `false` if it already is, was probed recently, or
    /// has a verdict that a probe would not change.
    pub fn suspect(&mut self, now: Timestamp, cookie: Cookie, source: SuspicionSource) -> bool {
        let state = self.states.entry(cookie).or_default();
        let probed_at = state.probed_at;
        let recently_probed = probed_at.is_some_and(|at| now.since(at) < SUSPICION_INTERVAL);
        let is_answered = source == SuspicionSource::OwnOpening && state.peers.has_agreement(now);
        let is_decided = state.address_reused || is_answered;
        if state.suspected || state.probe_running || recently_probed || is_decided {
            return false;
        }
        if !state.is_under_verification(now) {
            state.doubt(now.before(SUSPICION_DELAY));
        }
        state.suspected = true;
        state.requested_by_peer = source == SuspicionSource::PeerRequest;
        let is_reported = state.found_unreachable(now) || state.peers.has_any(now);
        if state.requested_by_peer || !is_reported {
            state.refutations_requested_at = state.requested_by_peer.then_some(now);
        }
        state.inconclusive_probes = 0;
        true
    }

    /// Returns the suspected instances to probe now, and marks their probes as running.
    pub fn take_suspects(&mut self, source: SuspicionSource) -> Vec<Cookie> {
        let requested_by_peer = source == SuspicionSource::PeerRequest;
        self.start_probes(|state| state.suspected && state.requested_by_peer == requested_by_peer)
    }

    /// Returns the unreachable instances to probe again, unless two independent peers have done so
    /// since, and marks their probes as running. Those that can have no open flows are not probed.
    pub fn take_rechecks(&mut self, now: Timestamp) -> Vec<Cookie> {
        let flow_idle_timeout = self.flow_idle_timeout;
        self.start_probes(|state| {
            let found_at = state.unreachable_at.filter(|at| is_fresh(now, *at));
            let is_due = state.recheck_at.is_some_and(|at| now >= at);
            let is_open = !state.address_reused && state.may_have_flows(now, flow_idle_timeout);
            let is_renewed = |found_at| state.peers.has_agreement_since(found_at);
            is_due && is_open && found_at.is_some_and(|found_at| !is_renewed(found_at))
        })
    }

    fn start_probes(&mut self, is_due: impl Fn(&InstanceState) -> bool) -> Vec<Cookie> {
        let states = self.states.iter_mut();
        let due = states.filter(|(_, state)| !state.probe_running && is_due(state));
        let started = due.take(MAXIMUM_SUSPECTS_PER_PROBE).map(|(cookie, state)| {
            state.probe_running = true;
            *cookie
        });
        started.collect()
    }

    /// Updates the record states. An instance without a record may serve on, so its verdict needs
    /// the same evidence as that of one with a record. An instance whose address is reused while
    /// it is unreachable stays so.
    pub fn update_records(
        &mut self,
        now: Timestamp,
        record_of: impl Fn(Cookie) -> Option<RecordState>,
    ) {
        self.states.retain(|cookie, state| {
            let Some(record) = record_of(*cookie) else {
                return false;
            };
            state.record_deleted = record == RecordState::Deleted;
            state.address_reused = record == RecordState::AddressReused;
            state.superseded = state.address_reused && state.is_unreachable(now);
            state.suspected &= !state.address_reused;
            true
        });
    }

    /// Records the outcome of a probe. Returns the change in reachability, if any.
    pub fn record_probe(
        &mut self,
        now: Timestamp,
        cookie: Cookie,
        outcome: ProbeOutcome,
    ) -> Option<ReachabilityChange> {
        let state = self.states.entry(cookie).or_default();
        let was_unreachable = state.is_unreachable(now);
        state.probe_running = false;
        if std::mem::take(&mut state.probe_is_stale) {
            return None;
        }
        state.probed_at = Some(now);
        let alive_at = state.alive_at;
        let is_alive = alive_at.is_some_and(|at| now.since(at) < SUSPICION_INTERVAL);
        if state.address_reused || (is_alive && outcome == ProbeOutcome::Unreachable) {
            return None;
        }
        if outcome == ProbeOutcome::Inconclusive {
            state.inconclusive_probes += 1;
            if state.inconclusive_probes >= MAXIMUM_INCONCLUSIVE_PROBES {
                state.suspected = false;
                state.recheck_at = None;
            }
            return None;
        }
        state.suspected = false;
        state.inconclusive_probes = 0;
        if outcome == ProbeOutcome::Reached {
            if was_unreachable {
                state.avoided_until = now.after(AVOIDANCE_DURATION);
            }
            state.unreachable_at = None;
            state.unseen_since = None;
            state.reached_at = Some(now);
            state.peers = PeerFindings::default();
            state.recheck_at = None;
        } else {
            state.unreachable_at = Some(now);
            if state.doubted_since.is_none() {
                state.doubt(now.before(PROBE_DURATION));
            }
            state.confirmation_requests = 0;
            state.refutations_requested_at.get_or_insert(now);
            state.recheck_at = Some(now.after(RECHECK_INTERVAL));
        }
        let unreachable = state.is_unreachable(now);
        (unreachable != was_unreachable).then_some(ReachabilityChange {
            cookie,
            unreachable,
        })
    }

    /// Returns the instances whose flows may be ended, including idle ones: those that are
    /// considered unreachable and whose time for refutations has passed.
    #[must_use]
    pub fn ended(&self, now: Timestamp) -> BTreeSet<Cookie> {
        let had_time = |state: &InstanceState| {
            let refutations_requested_at = state.refutations_requested_at;
            state.superseded
                || refutations_requested_at.is_some_and(|at| now.since(at) >= REFUTATION_PERIOD)
        };
        let states = self.states.iter();
        let ended = states.filter(|(_, state)| state.is_unreachable(now) && had_time(state));
        ended.map(|(cookie, _)| *cookie).collect()
    }

    /// Returns the instances under verification: those that are suspected or considered
    /// unreachable. Activity of their flows clears the suspicion.
    #[must_use]
    pub fn under_verification(&self, now: Timestamp) -> BTreeSet<Cookie> {
        let states = self.states.iter();
        let suspected = states.filter(|(_, state)| state.is_under_verification(now));
        suspected.map(|(cookie, _)| *cookie).collect()
    }

    /// Records that the flows of an instance under verification show it to be alive, which clears
    /// the suspicion and the verdict. Returns whether there was any.
    pub fn record_alive(&mut self, now: Timestamp, cookie: Cookie) -> bool {
        let seen_at = now;
        self.record_life_sign(now, LifeSign { cookie, seen_at })
    }

    /// Records that an instance was alive at a time. Clears its suspicion and verdict, and returns
    /// `true`, if it was alive after they arose. A sign from before proves nothing, since the
    /// instance may have died in between.
    pub fn record_life_sign(&mut self, now: Timestamp, sign: LifeSign) -> bool {
        let Some(state) = self.states.get_mut(&sign.cookie) else {
            return false;
        };
        state.refuted_at = state.refuted_at.max(Some(sign.seen_at));
        let is_after = state
            .doubted_since
            .is_none_or(|since| sign.seen_at >= since);
        if !state.is_under_verification(now) || !is_after {
            return false;
        }
        *state = InstanceState {
            record_deleted: state.record_deleted,
            address_reused: state.address_reused,
            probe_running: state.probe_running,
            alive_at: Some(sign.seen_at),
            refuted_at: state.refuted_at,
            probed_at: Some(now),
            ..InstanceState::default()
        };
        true
    }

    /// Records that a peer has seen an instance alive. Returns whether this is new and is to be
    /// forwarded. A refutation may arrive before the finding that it refutes; it counts against that
    /// one, too.
    pub fn record_refutation(&mut self, now: Timestamp, sign: LifeSign) -> bool {
        let refuted_at = self.states.entry(sign.cookie).or_default().refuted_at;
        let is_new =
            refuted_at.is_none_or(|at| sign.seen_at >= at.after(REFUTATION_RENEWAL_INTERVAL));
        self.record_life_sign(now, sign) || is_new
    }

    /// Removes the state of an instance. The outcome of a running probe of it is ignored.
    pub fn forget(&mut self, cookie: Cookie) {
        if let Some(state) = self.states.get_mut(&cookie) {
            *state = InstanceState {
                probe_running: state.probe_running,
                probe_is_stale: state.probe_running,
                ..InstanceState::default()
            };
        }
    }

    /// Returns whether there is any state for the instance.
    #[must_use]
    pub fn contains(&self, cookie: Cookie) -> bool {
        self.states.contains_key(&cookie)
    }

    /// Returns whether there is no state for any instance.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Returns the instances that are considered unreachable.
    #[must_use]
    pub fn unreachable(&self, now: Timestamp) -> BTreeSet<Cookie> {
        let states = self.states.iter();
        let unreachable = states.filter(|(_, state)| state.is_unreachable(now));
        unreachable.map(|(cookie, _)| *cookie).collect()
    }

    /// Returns the instances that openings avoid: the unreachable ones, those that were unreachable
    /// recently, and those that another node of this zone cannot reach.
    #[must_use]
    pub fn avoided(&self, now: Timestamp) -> BTreeSet<Cookie> {
        let zone = self.own.zone;
        let states = self.states.iter();
        let avoided = states.filter(|(_, state)| {
            let is_open = !state.address_reused && state.peers.has_finding_from_zone(now, zone);
            is_open || state.is_unreachable(now) || now < state.avoided_until
        });
        avoided.map(|(cookie, _)| *cookie).collect()
    }

    /// Returns whether an instance is suspected or considered unreachable.
    #[must_use]
    pub fn is_suspected(&self, now: Timestamp, cookie: Cookie) -> bool {
        let state = self.states.get(&cookie);
        state.is_some_and(|state| {
            state.suspected || state.is_unreachable(now) || state.peers.has_any(now)
        })
    }

    /// Clears all verdicts after a stall of this process, because none of them is up to date.
    pub fn reset_after_stall(&mut self) {
        for state in self.states.values_mut() {
            state.unreachable_at = None;
            state.peers = PeerFindings::default();
            state.avoided_until = Timestamp::ZERO;
            state.superseded = false;
        }
    }
}

impl InstanceState {
    fn is_under_verification(&self, now: Timestamp) -> bool {
        self.suspected || self.is_unreachable(now) || self.peers.has_any(now)
    }

    fn is_unreachable(&self, now: Timestamp) -> bool {
        self.superseded || self.found_unreachable(now) || self.peers.has_agreement(now)
    }

    /// Returns whether a probe of this node failed recently.
    fn found_unreachable(&self, now: Timestamp) -> bool {
        self.unreachable_at.is_some_and(|at| is_fresh(now, at))
    }

    /// Records that a suspicion or verdict arises, and since when it explains what was observed.
    fn doubt(&mut self, since: Timestamp) {
        self.doubted_since = Some(since);
        self.unseen_since.get_or_insert(since);
    }

    /// Returns whether flows may be open at the instance if it is dead. Without a record it gets no
    /// new flows, and the others have been idle since it was last seen alive.
    fn may_have_flows(&self, now: Timestamp, idle_timeout: Duration) -> bool {
        let unseen_since = self.unseen_since;
        let is_unseen = unseen_since.is_some_and(|since| now.since(since) >= idle_timeout);
        !(self.record_deleted && is_unseen)
    }
}
