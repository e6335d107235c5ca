//! Estimation of the utilization of the own zone if it handled all of its traffic.
//!
//! By Little's law the number of requests in service is the arrival rate times the service time.
//! A node sees only its own part of the zone's requests and doesn't know how many nodes share them.
//! It assumes that all zones have equally many nodes and corrects the estimate by observation.

use std::time::Duration;

/// Utilization up to which the own zone is filled before openings spill to other zones. At 0.7,
/// with two slots per instance, requests queue for as long as they take to be processed.
const MINIMUM_TARGET_UTILIZATION: f32 = 0.7;

/// Target utilization if other zones are very far.
const MAXIMUM_TARGET_UTILIZATION: f32 = 0.95;

/// Changes of the correction per window: a factor if openings spilled although requests didn't
/// queue, a factor if requests queued although nothing spilled, and the relative step of its return
/// to 1, which takes half a minute.
const CORRECTION_FALL: f32 = 0.975;
const CORRECTION_RISE: f32 = 1.05;
const CORRECTION_RETURN: f32 = 0.01;

/// Bounds of the correction, for zones with correspondingly fewer or more nodes than the mean.
const CORRECTION_BOUNDS: (f32, f32) = (0.05, 4.0);

/// Demand for a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    /// Requests per second that this node sees, to all zones.
    pub(super) rate: f32,
    /// Processing time of a request without a queue.
    pub(super) work: Duration,
    /// Number of requests that the own zone's instances process in parallel.
    pub(super) slots: f32,
}

/// Estimate of the total traffic of the own zone from that of this node.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrafficEstimate {
    /// Number of nodes per zone if all zones have equally many; `None` if unknown.
    nodes_per_zone: Option<f32>,
    correction: f32,
}

impl Default for TrafficEstimate {
    fn default() -> Self {
        Self {
            nodes_per_zone: None,
            correction: 1.0,
        }
    }
}

impl TrafficEstimate {
    /// Sets the number of nodes and of zones.
    pub(super) fn set_counts(&mut self, nodes: f32, zones: usize) {
        let is_known = nodes > 1.0 && zones > 0;
        self.nodes_per_zone = is_known.then(|| nodes / zones as f32);
    }

    /// Returns the share of openings that must spill so that requests in the own zone don't queue
    /// for longer than the crossing delay.
    pub(super) fn spill_share(&self, demand: &Demand, crossing_delay: Option<Duration>) -> f32 {
        let Some(nodes_per_zone) = self.nodes_per_zone else {
            return 0.0;
        };
        if demand.slots <= 0.0 {
            return 0.0;
        }
        let busy_slots = demand.rate * demand.work.as_secs_f32() * nodes_per_zone * self.correction;
        let utilization = busy_slots / demand.slots;
        let target = target_utilization(demand.work, crossing_delay.unwrap_or_default());
        (1.0 - target / utilization.max(target)).max(0.0)
    }

    /// Updates the correction after a window of one service: whether openings spilled because of
    /// load, and whether requests queued.
    pub(super) fn learn(&mut self, spilled: bool, queued: bool) {
        let (minimum, maximum) = CORRECTION_BOUNDS;
        let factor = match (spilled, queued) {
            (true, false) => CORRECTION_FALL,
            (false, true) => CORRECTION_RISE,
            _ => 1.0,
        };
        self.correction = (self.correction * factor).clamp(minimum, maximum);
    }

    /// Moves the correction slowly back to 1.
    pub(super) fn decay_correction(&mut self) {
        self.correction += (1.0 - self.correction) * CORRECTION_RETURN;
    }
}

/// Returns the utilization at which the queueing time equals the crossing delay. With two slots,
/// requests that take `work` queue for `work` times u² / (1 - u²).
fn target_utilization(work: Duration, crossing_delay: Duration) -> f32 {
    let (work, crossing_delay) = (work.as_secs_f32(), crossing_delay.as_secs_f32());
    let total = (work + crossing_delay).max(f32::MIN_POSITIVE);
    (crossing_delay / total)
        .sqrt()
        .clamp(MINIMUM_TARGET_UTILIZATION, MAXIMUM_TARGET_UTILIZATION)
}
