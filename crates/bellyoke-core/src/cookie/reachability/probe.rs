//! Probes: connections to suspected instances, and to others as controls.

use super::PROBE_ATTEMPTS;
use crate::cookie::instance::Cookie;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// The outcome of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// A connection opened.
    Reached,
    /// No connection opened, while those to all controls did.
    Unreachable,
    /// No connection opened, and neither did those to all controls: the fault may be this node's.
    Inconclusive,
}

/// A running probe.
///
/// ```
/// use bellyoke_core::cookie::instance::{Cookie, InstanceId};
/// use bellyoke_core::cookie::reachability::{PROBE_ATTEMPTS, ProbeBatch, ProbeOutcome};
/// use std::collections::BTreeSet;
///
/// let suspect = (Cookie::of(InstanceId(7)), "10.0.0.7:80".parse().unwrap());
/// let control = "10.0.0.8:80".parse().unwrap();
/// let mut batch = ProbeBatch::new(vec![suspect], vec![control]);
/// for _ in 0..PROBE_ATTEMPTS {
///     assert_eq!(batch.next_addresses(), [suspect.1, control]);
///     batch.record_attempt(&BTreeSet::from([control]));
/// }
/// assert!(batch.is_complete());
/// assert_eq!(batch.outcomes(), [(suspect.0, ProbeOutcome::Unreachable)]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeBatch {
    suspects: Vec<(Cookie, SocketAddrV4)>,
    controls: Vec<SocketAddrV4>,
    reached: BTreeSet<SocketAddrV4>,
    controls_failed: bool,
    attempts_left: usize,
}

impl ProbeBatch {
    /// Creates a probe of `suspects`, with `controls` for comparison.
    #[must_use]
    pub const fn new(suspects: Vec<(Cookie, SocketAddrV4)>, controls: Vec<SocketAddrV4>) -> Self {
        Self {
            controls_failed: controls.is_empty(),
            suspects,
            controls,
            reached: BTreeSet::new(),
            attempts_left: PROBE_ATTEMPTS,
        }
    }

    /// Sets the number of connection attempts.
    #[must_use]
    pub fn with_attempts(self, attempts: usize) -> Self {
        Self {
            attempts_left: attempts,
            ..self
        }
    }

    /// Returns the addresses to connect to in the next attempt.
    #[must_use]
    pub fn next_addresses(&self) -> Vec<SocketAddrV4> {
        let suspects = self.suspects.iter().map(|(_, address)| *address);
        let unreached = suspects.filter(|address| !self.reached.contains(address));
        unreached.chain(self.controls.iter().copied()).collect()
    }

    /// Records a finished attempt, in which the connections to `opened` succeeded.
    pub fn record_attempt(&mut self, opened: &BTreeSet<SocketAddrV4>) {
        self.attempts_left = self.attempts_left.saturating_sub(1);
        self.controls_failed |= !self.controls.iter().all(|control| opened.contains(control));
        self.reached.extend(opened);
    }

    /// Returns the number of attempts left.
    #[must_use]
    pub const fn attempts_left(&self) -> usize {
        self.attempts_left
    }

    /// Returns whether further attempts cannot change the outcome, or none are left.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let mut suspects = self.suspects.iter();
        let all_reached = suspects.all(|(_, address)| self.reached.contains(address));
        all_reached || self.controls_failed || self.attempts_left == 0
    }

    /// Returns the outcome for each suspect.
    #[must_use]
    pub fn outcomes(&self) -> Vec<(Cookie, ProbeOutcome)> {
        let suspects = self.suspects.iter();
        let outcomes = suspects.map(|(cookie, address)| {
            let outcome = if self.reached.contains(address) {
                ProbeOutcome::Reached
            } else if self.controls_failed {
                ProbeOutcome::Inconclusive
            } else {
                ProbeOutcome::Unreachable
            };
            (*cookie, outcome)
        });
        outcomes.collect()
    }
}
