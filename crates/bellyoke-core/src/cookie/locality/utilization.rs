//! How busy the own zone would be with all of its traffic.
//!
//! By Little's law a zone works on as many requests at once as come in a second, times the seconds that
//! each takes. A node sees its own part of them, and doesn't know how many nodes share the zone's
//! traffic: it takes the zones for alike, and corrects that by what happens.

use std::time::Duration;

/// The part of its slots up to which a zone is filled before openings go elsewhere. With two slots an
/// instance, requests wait as long as they take at 0.7.
const LEAST_TARGET: f32 = 0.7;

/// The same where other zones are very far.
const LARGEST_TARGET: f32 = 0.95;

/// Factors to the correction in a window: if openings went elsewhere and requests didn't wait, if they
/// waited though none went, and else, back to 1 in half a minute.
const CORRECTION_FALL: f32 = 0.975;
const CORRECTION_RISE: f32 = 1.05;
const CORRECTION_RETURN: f32 = 0.01;

/// Bounds of the correction: zones with so many times fewer or more nodes than the mean.
const CORRECTION_BOUNDS: (f32, f32) = (0.05, 4.0);

/// What requests to a service need.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    /// Requests a second that this node sees, wherever they go.
    pub(super) rate: f32,
    /// What one takes without a queue.
    pub(super) work: Duration,
    /// What the own zone's instances work on at once.
    pub(super) slots: f32,
}

/// This node's part in its zone's traffic.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrafficEstimate {
    /// Nodes that the zone would have if all zones had as many; none if that isn't known.
    nodes: Option<f32>,
    correction: f32,
}

impl Default for TrafficEstimate {
    fn default() -> Self {
        Self {
            nodes: None,
            correction: 1.0,
        }
    }
}

impl TrafficEstimate {
    /// How many nodes and zones there are.
    pub(super) fn set_counts(&mut self, nodes: f32, zones: usize) {
        let is_known = nodes > 1.0 && zones > 0;
        self.nodes = is_known.then(|| nodes / zones as f32);
    }

    /// The share of openings that has to go elsewhere so that requests in the own zone don't wait for
    /// longer than it takes to cross.
    pub(super) fn spill_share(&self, demand: &Demand, crossing: Option<Duration>) -> f32 {
        let Some(nodes) = self.nodes else {
            return 0.0;
        };
        if demand.slots <= 0.0 {
            return 0.0;
        }
        let busy = demand.rate * demand.work.as_secs_f32() * nodes * self.correction;
        let utilization = busy / demand.slots;
        let target = target_utilization(demand.work, crossing.unwrap_or_default());
        (1.0 - target / utilization.max(target)).max(0.0)
    }

    /// Learns from a window of one service: whether openings went elsewhere, and whether requests waited.
    pub(super) fn learn(&mut self, spilled: bool, queued: bool) {
        let (least, largest) = CORRECTION_BOUNDS;
        let factor = match (spilled, queued) {
            (true, false) => CORRECTION_FALL,
            (false, true) => CORRECTION_RISE,
            _ => 1.0,
        };
        self.correction = (self.correction * factor).clamp(least, largest);
    }

    /// What was learned is forgotten slowly.
    pub(super) fn decay_correction(&mut self) {
        self.correction += (1.0 - self.correction) * CORRECTION_RETURN;
    }
}

/// The utilization at which requests wait as long as it takes to cross. With two slots, requests that take
/// `work` wait for `work` times u² / (1 - u²).
fn target_utilization(work: Duration, crossing: Duration) -> f32 {
    let (work, crossing) = (work.as_secs_f32(), crossing.as_secs_f32());
    let both = (work + crossing).max(f32::MIN_POSITIVE);
    (crossing / both).sqrt().clamp(LEAST_TARGET, LARGEST_TARGET)
}
