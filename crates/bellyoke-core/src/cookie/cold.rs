//! Limits the flows that this node opens at a cold instance (slow start).
//!
//! A cold instance can take few new flows a second, counted over all nodes, and no node sees the
//! sum: nodes have different state, some are partitioned, and their clocks are not synchronized. So
//! each node keeps to a share of its own, and the sum of the shares stays below the limit
//! ([`ColdShare`]):
//!
//! * In a cluster of at most as many nodes as the limit allows flows, each node gets the same whole
//!   number of flows a second.
//! * In a larger one, a node participates for an instance with a probability, drawn once for the
//!   pair, and opens one flow a second at most. The number of nodes that participate is a Poisson
//!   variate, and the probability is chosen such that it exceeds the limit once in a million cases.
//!
//! An equal share for each node would be less than one flow in a large cluster: rounded up it would
//! exceed the limit, and rounded down no flow could be opened at all.

use crate::cookie::instance::{Cookie, InstanceId};
use crate::cookie::placement::mix;
use crate::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Probability with which more nodes may participate for an instance than its limit allows flows.
const EXCESS_PROBABILITY: f64 = 1e-6;

/// Time for which an opened flow counts against the limit: one second, and 100 ms for which a
/// packet may wait for the processor, as two flows may arrive closer together than they were sent.
const COUNTING_WINDOW: Duration = Duration::from_millis(1_100);

/// Tolerance of operators beyond the configured limit of cold instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdAllowance {
    /// Factor applied to the flows that an instance can take.
    pub overshoot: f64,
    /// Flows a second beyond that.
    pub slack: u32,
}

impl ColdAllowance {
    /// Returns the maximum number of flows that all nodes together may open in any second at a cold
    /// instance that can take `flows_per_minute`.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn limit(&self, flows_per_minute: u32) -> u32 {
        let flows_per_second = f64::from(flows_per_minute) / 60.0 * self.overshoot;
        // The cast saturates.
        (flows_per_second as u32).saturating_add(self.slack)
    }
}

/// One node's share of a limit.
///
/// ```
/// use bellyoke_core::cookie::cold::ColdShare;
///
/// let few = ColdShare::of(50, 7.0);
/// assert_eq!((few.flows, few.probability), (7, 1.0));
/// let many = ColdShare::of(50, 300.0);
/// assert_eq!(many.flows, 1);
/// assert!((0.07..0.09).contains(&many.probability), "22 to 26 of 300 nodes");
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdShare {
    /// Probability that a node participates for an instance.
    pub probability: f64,
    /// Flows that a participating node may open in any second.
    pub flows: u32,
}

impl ColdShare {
    /// Returns a node's share of `limit` flows a second, in a cluster of so many nodes.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn of(limit: u32, nodes: f64) -> Self {
        let nodes = nodes.max(1.0).ceil();
        if nodes <= f64::from(limit) {
            return Self {
                probability: 1.0,
                flows: (f64::from(limit) / nodes) as u32,
            };
        }
        Self {
            probability: safe_mean(limit) / nodes,
            flows: 1,
        }
    }
}

/// Returns the largest mean of a Poisson variate that exceeds `limit` with a probability of at most
/// [`EXCESS_PROBABILITY`].
fn safe_mean(limit: u32) -> f64 {
    const BISECTION_STEPS: u32 = 40;
    let (mut safe, mut unsafe_mean) = (0.0, f64::from(limit) + 1.0);
    for _ in 0..BISECTION_STEPS {
        let mean = (safe + unsafe_mean) / 2.0;
        if probability_above(limit, mean) <= EXCESS_PROBABILITY {
            safe = mean;
        } else {
            unsafe_mean = mean;
        }
    }
    safe
}

/// Returns the probability that a Poisson variate of this mean exceeds `limit`. The terms above the
/// limit are summed up, since subtracting the sum of the others from one would lose the precision
/// of a result this small.
fn probability_above(limit: u32, mean: f64) -> f64 {
    let mut logarithm = -mean;
    for count in 1..=limit + 1 {
        logarithm += (mean / f64::from(count)).ln();
    }
    let mut term = logarithm.exp();
    let mut sum = 0.0;
    let mut count = f64::from(limit) + 1.0;
    while term > sum * 1e-12 && term > 0.0 {
        sum += term;
        count += 1.0;
        term *= mean / count;
    }
    sum
}

/// Enforces a node's share in one traffic thread.
#[derive(Debug)]
pub struct ColdLimiter {
    /// `None` if cold instances are not limited.
    allowance: Option<ColdAllowance>,
    nodes: f64,
    /// Seed of this node's draws, which makes them independent of other nodes.
    salt: u64,
    shares: BTreeMap<u32, ColdShare>,
    /// When flows were opened at cold instances within the counting window, the oldest first.
    opened: BTreeMap<Cookie, VecDeque<Timestamp>>,
}

impl ColdLimiter {
    /// Creates a limiter that draws by `salt`, which should be unique to the node. It assumes a
    /// single node until [`Self::set_minimum_node_count`] is called.
    #[must_use]
    pub const fn new(allowance: Option<ColdAllowance>, salt: u64) -> Self {
        Self {
            allowance,
            nodes: 1.0,
            salt,
            shares: BTreeMap::new(),
            opened: BTreeMap::new(),
        }
    }

    /// Sets a lower bound of the number of nodes.
    #[allow(clippy::float_cmp)]
    pub fn set_minimum_node_count(&mut self, nodes: f64) {
        if self.nodes != nodes {
            self.nodes = nodes;
            self.shares.clear();
        }
    }

    /// Returns this node's share of the flows to cold instances that can take `flows_per_minute`;
    /// `None` if they are not limited, or if that number is unknown (zero).
    pub fn share(&mut self, flows_per_minute: u32) -> Option<ColdShare> {
        if flows_per_minute == 0 {
            return None;
        }
        let limit = self.allowance?.limit(flows_per_minute);
        let nodes = self.nodes;
        let share = self.shares.entry(limit);
        Some(*share.or_insert_with(|| ColdShare::of(limit, nodes)))
    }

    /// Returns whether this node's share admits another flow to a cold instance now.
    #[must_use]
    pub fn admits(&self, now: Timestamp, id: InstanceId, share: Option<ColdShare>) -> bool {
        let Some(share) = share else {
            return true;
        };
        if !self.participates(id, share) {
            return false;
        }
        let opened = self.opened.get(&Cookie::of(id));
        let recent = opened.map_or(0, |opened| {
            opened
                .iter()
                .filter(|at| now.since(**at) < COUNTING_WINDOW)
                .count()
        });
        u32::try_from(recent).is_ok_and(|recent| recent < share.flows)
    }

    /// Records that a flow was opened at a cold instance.
    pub fn record_opening(&mut self, now: Timestamp, id: InstanceId) {
        if self.allowance.is_some() {
            let opened = self.opened.entry(Cookie::of(id)).or_default();
            opened.push_back(now);
        }
    }

    /// Removes openings outside the counting window.
    pub fn expire(&mut self, now: Timestamp) {
        self.opened.retain(|_, opened| {
            opened.retain(|at| now.since(*at) < COUNTING_WINDOW);
            !opened.is_empty()
        });
    }

    #[allow(clippy::cast_precision_loss)]
    fn participates(&self, id: InstanceId, share: ColdShare) -> bool {
        let draw = mix(self.salt ^ mix(id.0)) as f64 / u64::MAX as f64;
        draw < share.probability
    }
}
