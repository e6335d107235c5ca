//! What one node holds of the instances in question.

use super::finding::{Finding, Origin, PeerFindings, is_fresh};
use super::{
    AVOIDANCE_DURATION, CONFIRMATION_TIMEOUT, MAXIMUM_CONFIRMATION_REQUESTS,
    MAXIMUM_INCONCLUSIVE_PROBES, MAXIMUM_SUSPECTS_PER_PROBE, ProbeOutcome, RECHECK_INTERVAL,
    REFUTATION_PERIOD, SUSPICION_INTERVAL,
};
use crate::cookie::instance::Cookie;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// What the records tell of an instance in question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// Its record is there.
    Present,
    /// Its record has gone.
    Deleted,
    /// One that was created later is at its address: connections there tell nothing of it.
    AddressReused,
}

/// Who can't reach an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspicionSource {
    /// This node: an opening came to nothing.
    OwnOpening,
    /// A peer: its probe came to nothing.
    PeerRequest,
}

/// A change of what is held of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachabilityChange {
    /// The instance.
    pub cookie: Cookie,
    /// Whether it is held to be unreachable now.
    pub unreachable: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct InstanceState {
    /// Whether it waits for a probe, or one is under way.
    suspected: bool,
    /// Whether a peer has asked.
    requested_by_peer: bool,
    probe_running: bool,
    /// The probe under way began at an earlier run of the instance.
    probe_is_stale: bool,
    probed_at: Option<Timestamp>,
    unreachable_at: Option<Timestamp>,
    /// When peers were asked about it, or asked.
    refutations_requested_at: Option<Timestamp>,
    /// Its record went, or its address passed on, while it was unreachable: it has ended, unless the
    /// record comes back.
    ended: bool,
    /// Another instance holds its address, so that probes tell nothing of it.
    address_reused: bool,
    /// Until when openings avoid it though it takes connections again.
    avoided_until: Timestamp,
    /// When this node is to find out whether it is still unreachable; none if it isn't, by its own probe.
    recheck_at: Option<Timestamp>,
    inconclusive_probes: u32,
    /// When its flows last showed that it lives.
    alive_at: Option<Timestamp>,
    /// When a probe of this node last reached it: what peers found before counts no longer.
    reached_at: Option<Timestamp>,
    peers: PeerFindings,
    /// Peers that were asked to confirm the verdict, and when the next one may be.
    confirmation_requests: u32,
    next_confirmation_request_at: Timestamp,
}

/// What a node has established of the instances that were in question, and heard of them.
#[derive(Debug)]
pub struct ReachabilityMonitor {
    own: Origin,
    /// Whether all nodes stand in one zone, as far as this one knows.
    single_zone: bool,
    states: BTreeMap<Cookie, InstanceState>,
}

impl ReachabilityMonitor {
    /// A node that has heard nothing.
    #[must_use]
    pub const fn new(own: Origin) -> Self {
        Self {
            own,
            single_zone: true,
            states: BTreeMap::new(),
        }
    }

    /// Whether all nodes stand in one zone.
    pub const fn set_single_zone(&mut self, single_zone: bool) {
        self.single_zone = single_zone;
    }

    /// The finding of this node's own probe.
    #[must_use]
    pub const fn own_finding(&self, now: Timestamp, cookie: Cookie, reached: bool) -> Finding {
        Finding {
            cookie,
            origin: self.own,
            found_at: now,
            reached,
        }
    }

    /// Whether a probe of this node that ended at `now` couldn't reach an instance.
    #[must_use]
    pub fn found_unreachable(&self, now: Timestamp, cookie: Cookie) -> bool {
        let state = self.states.get(&cookie);
        state.is_some_and(|state| state.unreachable_at == Some(now))
    }

    /// A peer has told what its probe of a known instance found. Returns whether that is news, to be told on.
    pub fn record_finding(&mut self, now: Timestamp, finding: &Finding) -> bool {
        let state = self.states.entry(finding.cookie).or_default();
        let alive_at = state.alive_at;
        let is_alive = alive_at.is_some_and(|at| now.since(at) < SUSPICION_INTERVAL);
        let reached = state.reached_at.is_some_and(|at| finding.found_at <= at);
        if state.ended || state.address_reused || is_alive || reached {
            return false;
        }
        if !finding.reached {
            let was_under_verification = state.is_under_verification(now);
            let is_news = state.peers.record(now, finding, self.single_zone);
            if is_news && !was_under_verification {
                state.refutations_requested_at = Some(now);
            }
            return is_news;
        }
        let withdrawn = state.peers.withdraw(finding, self.single_zone);
        if withdrawn && !state.is_under_verification(now) {
            state.refutations_requested_at = None;
            state.avoided_until = finding
                .found_at
                .after(AVOIDANCE_DURATION)
                .max(state.avoided_until);
        }
        withdrawn
    }

    /// Instances that this node couldn't reach and that a peer is to be asked about now, since nobody has confirmed
    /// it.
    pub fn take_unconfirmed(&mut self, now: Timestamp) -> Vec<Cookie> {
        let (own, single_zone) = (self.own, self.single_zone);
        let states = self.states.iter_mut();
        let unconfirmed = states.filter(|(_, state)| {
            let found = state.unreachable_at;
            let is_open = found.is_some_and(|at| is_fresh(now, at)) && !state.ended;
            is_open
                && !state.requested_by_peer
                && state.confirmation_requests < MAXIMUM_CONFIRMATION_REQUESTS
                && now >= state.next_confirmation_request_at
                && !state.peers.confirms(now, own, single_zone)
        });
        let asked = unconfirmed.map(|(cookie, state)| {
            state.confirmation_requests += 1;
            state.next_confirmation_request_at = now.after(CONFIRMATION_TIMEOUT);
            *cookie
        });
        asked.collect()
    }

    /// Something speaks against an instance. Returns whether that is news, for peers.
    pub fn suspect(&mut self, now: Timestamp, cookie: Cookie, source: SuspicionSource) -> bool {
        let state = self.states.entry(cookie).or_default();
        let probed_at = state.probed_at;
        let recently_probed = probed_at.is_some_and(|at| now.since(at) < SUSPICION_INTERVAL);
        let is_answered = source == SuspicionSource::OwnOpening && state.peers.has_agreement(now);
        let is_over = state.ended || state.address_reused || is_answered;
        if state.suspected || state.probe_running || recently_probed || is_over {
            return false;
        }
        state.suspected = true;
        state.requested_by_peer = source == SuspicionSource::PeerRequest;
        if state.requested_by_peer || !state.peers.has_any(now) {
            state.refutations_requested_at = state.requested_by_peer.then_some(now);
        }
        state.inconclusive_probes = 0;
        true
    }

    /// The instances in question that are to be probed now.
    pub fn take_suspects(&mut self, source: SuspicionSource) -> Vec<Cookie> {
        let requested_by_peer = source == SuspicionSource::PeerRequest;
        self.start_probes(|state| state.suspected && state.requested_by_peer == requested_by_peer)
    }

    /// The unreachable instances that are to be probed again, since nobody else has done so.
    pub fn take_rechecks(&mut self, now: Timestamp) -> Vec<Cookie> {
        self.start_probes(|state| {
            let found_at = state.unreachable_at.filter(|at| is_fresh(now, *at));
            let is_due = state.recheck_at.is_some_and(|at| now >= at);
            let is_open = !state.ended && !state.address_reused;
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

    /// What the records tell of instances. One that was unreachable when its record went, or another
    /// one came to its address, has ended; if the record comes back, it lives.
    pub fn update_records(
        &mut self,
        now: Timestamp,
        record_of: impl Fn(Cookie) -> Option<RecordState>,
    ) {
        self.states.retain(|cookie, state| {
            let Some(record) = record_of(*cookie) else {
                return false;
            };
            state.ended = record != RecordState::Present && state.is_unreachable(now);
            state.address_reused = record == RecordState::AddressReused;
            state.suspected &= !state.address_reused;
            true
        });
    }

    /// A probe of an instance is over. Returns what changed.
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
            state.reached_at = Some(now);
            state.peers = PeerFindings::default();
            state.ended = false;
            state.recheck_at = None;
        } else {
            state.unreachable_at = Some(now);
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

    /// Instances whose flows may be ended, resting ones too: they are held to be unreachable, and peers have
    /// had time to object.
    #[must_use]
    pub fn ended(&self, now: Timestamp) -> BTreeSet<Cookie> {
        let had_time = |state: &InstanceState| {
            let refutations_requested_at = state.refutations_requested_at;
            state.ended
                || refutations_requested_at.is_some_and(|at| now.since(at) >= REFUTATION_PERIOD)
        };
        let states = self.states.iter();
        let ended = states.filter(|(_, state)| state.is_unreachable(now) && had_time(state));
        ended.map(|(cookie, _)| *cookie).collect()
    }

    /// Instances of which a sign of life would change something: they are in question, or held to be
    /// unreachable and not ended.
    #[must_use]
    pub fn under_verification(&self, now: Timestamp) -> BTreeSet<Cookie> {
        let states = self.states.iter();
        let suspected = states.filter(|(_, state)| state.is_under_verification(now));
        suspected.map(|(cookie, _)| *cookie).collect()
    }

    /// An instance in question lives, as its flows show: drops question and verdict. Returns whether
    /// there was any.
    pub fn record_alive(&mut self, now: Timestamp, cookie: Cookie) -> bool {
        let Some(state) = self.states.get_mut(&cookie) else {
            return false;
        };
        if !state.is_under_verification(now) {
            return false;
        }
        *state = InstanceState {
            probe_running: state.probe_running,
            alive_at: Some(now),
            probed_at: Some(now),
            ..InstanceState::default()
        };
        true
    }

    /// Forgets what is held of an instance. A probe of it that is under way tells nothing.
    pub fn forget(&mut self, cookie: Cookie) {
        if let Some(state) = self.states.get_mut(&cookie) {
            *state = InstanceState {
                probe_running: state.probe_running,
                probe_is_stale: state.probe_running,
                ..InstanceState::default()
            };
        }
    }

    /// Whether an instance was ever in question.
    #[must_use]
    pub fn contains(&self, cookie: Cookie) -> bool {
        self.states.contains_key(&cookie)
    }

    /// Whether no instance was ever in question, of those still known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Instances that are held to be unreachable.
    #[must_use]
    pub fn unreachable(&self, now: Timestamp) -> BTreeSet<Cookie> {
        let states = self.states.iter();
        let unreachable = states.filter(|(_, state)| state.is_unreachable(now));
        unreachable.map(|(cookie, _)| *cookie).collect()
    }

    /// Instances that openings avoid: the unreachable ones, those that were a while ago, and those that another node
    /// of this zone can't reach.
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

    /// Whether an instance is in question, or held to be unreachable.
    #[must_use]
    pub fn is_suspected(&self, now: Timestamp, cookie: Cookie) -> bool {
        let state = self.states.get(&cookie);
        state.is_some_and(|state| {
            state.suspected || state.is_unreachable(now) || state.peers.has_any(now)
        })
    }

    /// Forgets what this node holds, since it stood still: nothing of it is fresh any more.
    pub fn reset_after_stall(&mut self) {
        for state in self.states.values_mut() {
            state.unreachable_at = None;
            state.peers = PeerFindings::default();
            state.avoided_until = Timestamp::ZERO;
            state.ended = false;
        }
    }
}

impl InstanceState {
    fn is_under_verification(&self, now: Timestamp) -> bool {
        let is_open = self.suspected || self.is_unreachable(now) || self.peers.has_any(now);
        is_open && !self.ended && !self.address_reused
    }

    fn is_unreachable(&self, now: Timestamp) -> bool {
        let verdict = self.unreachable_at;
        let found = verdict.is_some_and(|at| is_fresh(now, at));
        self.ended || found || self.peers.has_agreement(now)
    }
}
