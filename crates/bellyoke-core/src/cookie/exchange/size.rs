//! How many nodes there are at most, for what must hold over the sum of all.

use crate::time::Timestamp;
use std::time::Duration;

/// How long the largest estimate counts at least: longer than a node is cut off from its peers mostly.
const ESTIMATE_LIFETIME: Duration = Duration::from_secs(60);

/// How long a node that has just started has heard too few peers to tell.
const WARM_UP: Duration = Duration::from_secs(5);

/// What it assumes until then: the largest cluster that the project is built towards.
const LARGEST_CLUSTER_NODES: f64 = 620.0;

/// The largest estimates of late. A node that loses its peers doesn't take itself for the only one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClusterSize {
    first_recorded_at: Option<Timestamp>,
    /// The largest of the period under way, and of the one before.
    largest: [f64; 2],
    period_began: Timestamp,
}

impl ClusterSize {
    /// Notes an estimate.
    pub(super) fn record(&mut self, now: Timestamp, nodes: f64) {
        self.first_recorded_at.get_or_insert(now);
        if now.since(self.period_began) >= ESTIMATE_LIFETIME {
            self.largest = [0.0, self.largest[0]];
            self.period_began = now;
        }
        self.largest[0] = self.largest[0].max(nodes);
    }

    /// The largest estimate of late.
    pub(super) fn upper_bound(&self, now: Timestamp) -> f64 {
        let largest = self.largest[0].max(self.largest[1]);
        let warmed_up = self
            .first_recorded_at
            .is_some_and(|first| now.since(first) >= WARM_UP);
        if warmed_up {
            largest
        } else {
            largest.max(LARGEST_CLUSTER_NODES)
        }
    }
}
