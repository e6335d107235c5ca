//! How many flows this node may open at an instance that is cold.
//!
//! A cold instance bears few new flows a second, counted over all nodes, and no node sees the sum: nodes
//! differ in what they know, some are cut off, and their clocks are not in step. So each holds to a
//! share of its own that keeps the sum below the limit if all nodes use theirs ([`ColdShare`]):
//!
//! * A cluster of fewer nodes than the limit allows flows: each node the same whole number a second.
//! * A larger one: a node takes part for an instance with a probability, drawn once for the pair, and
//!   opens one flow a second at most. The number of nodes that take part is a Poisson variate, and
//!   the probability is such that it exceeds the limit once in a million.
//!
//! An equal part for each would be less than one flow in a large cluster, and rounded up it breaks the
//! limit; rounded down nothing could be opened at all.

use crate::cookie::instance::{Cookie, InstanceId};
use crate::cookie::placement::mix;
use crate::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How likely it may be that more nodes take part for an instance than its limit allows flows.
const EXCESS_PROBABILITY: f64 = 1e-6;

/// The time in which flows are counted, and what two flows that this node sends further apart may
/// have come closer on their way, as a packet waits up to 100 ms for the processor.
const COUNTING_WINDOW: Duration = Duration::from_millis(1_100);

/// What operators allow beyond what cold instances are said to bear.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdAllowance {
    /// Factor to the flows that an instance bears.
    pub overshoot: f64,
    /// Flows a second beyond that.
    pub slack: u32,
}

impl ColdAllowance {
    /// Most flows that all nodes together may open in any second at a cold instance that bears so
    /// many in a minute.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn limit(&self, flows_per_minute: u32) -> u32 {
        let flows_per_second = f64::from(flows_per_minute) / 60.0 * self.overshoot;
        // The cast saturates.
        (flows_per_second as u32).saturating_add(self.slack)
    }
}

/// One node's part in a limit.
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
    /// How likely it is that a node takes part for an instance.
    pub probability: f64,
    /// Flows that it may open then in any second.
    pub flows: u32,
}

impl ColdShare {
    /// A node's part in `limit` flows a second, in a cluster of so many nodes.
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

/// The largest mean of a Poisson variate that exceeds `limit` with no more than [`EXCESS_PROBABILITY`].
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

/// How likely a Poisson variate of this mean exceeds `limit`. The terms above it are summed up, since
/// one less those below would lose what is as small.
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

/// Holds one traffic thread to its node's part.
#[derive(Debug)]
pub struct ColdLimiter {
    /// None if cold instances have no limit.
    allowance: Option<ColdAllowance>,
    nodes: f64,
    /// Makes this node's draws its own.
    salt: u64,
    shares: BTreeMap<u32, ColdShare>,
    /// When flows were opened at cold instances within the time counted, the oldest first.
    opened: BTreeMap<Cookie, VecDeque<Timestamp>>,
}

impl ColdLimiter {
    /// A limiter that draws by `salt`, which no other node should have. It takes the cluster for a
    /// single node until it is told better.
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

    /// How many nodes there are, at least.
    #[allow(clippy::float_cmp)]
    pub fn set_minimum_node_count(&mut self, nodes: f64) {
        if self.nodes != nodes {
            self.nodes = nodes;
            self.shares.clear();
        }
    }

    /// This node's part in what cold instances get that bear so many flows in a minute; none if they
    /// have no limit, or if what they bear isn't told (zero).
    pub fn share(&mut self, flows_per_minute: u32) -> Option<ColdShare> {
        if flows_per_minute == 0 {
            return None;
        }
        let limit = self.allowance?.limit(flows_per_minute);
        let nodes = self.nodes;
        let share = self.shares.entry(limit);
        Some(*share.or_insert_with(|| ColdShare::of(limit, nodes)))
    }

    /// Whether a flow may be opened now at a cold instance, by this node's part in its limit.
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

    /// A flow was opened at a cold instance.
    pub fn record_opening(&mut self, now: Timestamp, id: InstanceId) {
        if self.allowance.is_some() {
            let opened = self.opened.entry(Cookie::of(id)).or_default();
            opened.push_back(now);
        }
    }

    /// Forgets what doesn't count any more.
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
