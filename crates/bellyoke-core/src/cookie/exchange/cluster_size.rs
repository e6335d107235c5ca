//! Upper bound of the number of nodes, for limits that apply to the sum over all nodes.

use crate::time::Timestamp;
use std::time::Duration;

/// Minimum time for which the largest estimate counts. It is longer than most network partitions.
const ESTIMATE_LIFETIME: Duration = Duration::from_secs(60);

/// Time after the start in which a node has too few peers for an estimate.
const WARM_UP_PERIOD: Duration = Duration::from_secs(5);

/// Number of nodes assumed until then: the largest cluster that the project is designed for.
const LARGEST_CLUSTER_NODES: f64 = 620.0;

/// The largest recent estimates. They prevent a node that loses its peers from assuming that it is
/// the only one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClusterSize {
    first_recorded_at: Option<Timestamp>,
    /// The largest estimates of the current period and of the previous one.
    largest: [f64; 2],
    period_began: Timestamp,
}

impl ClusterSize {
    /// Records an estimate.
    pub(super) fn record(&mut self, now: Timestamp, nodes: f64) {
        self.first_recorded_at.get_or_insert(now);
        if now.since(self.period_began) >= ESTIMATE_LIFETIME {
            self.largest = [0.0, self.largest[0]];
            self.period_began = now;
        }
        self.largest[0] = self.largest[0].max(nodes);
    }

    /// Returns the largest recent estimate.
    pub(super) fn upper_bound(&self, now: Timestamp) -> f64 {
        let largest = self.largest[0].max(self.largest[1]);
        let warmed_up = self
            .first_recorded_at
            .is_some_and(|first| now.since(first) >= WARM_UP_PERIOD);
        if warmed_up {
            largest
        } else {
            largest.max(LARGEST_CLUSTER_NODES)
        }
    }
}
