//! In which zones openings come to nothing.

use crate::cookie::table::ZoneNumber;
use crate::time::Timestamp;
use std::time::Duration;

/// Time after which what was seen weighs half as much.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Fewer failures (decayed) say nothing of a zone: two or three instances that just died bring as many
/// about before they are suspected.
const LEAST_FAILURES: f32 = 3.0;

/// The share of openings that fails in a zone that loses. Single dead instances stay below: they are
/// suspected after two openings.
const LOSING_SHARE: f32 = 0.3;

#[derive(Clone, Copy, Debug, Default)]
struct ZoneOutcomes {
    succeeded: f32,
    failed: f32,
    counted_at: Timestamp,
    is_losing: bool,
}

impl ZoneOutcomes {
    fn decay(&mut self, now: Timestamp) {
        let half_lives = now.since(self.counted_at).as_secs_f32() / HALF_LIFE.as_secs_f32();
        let kept = (-half_lives).exp2();
        self.succeeded *= kept;
        self.failed *= kept;
        self.counted_at = now;
    }
}

/// What came of openings, by zone.
#[derive(Clone, Debug, Default)]
pub(super) struct OpeningOutcomes {
    zones: Vec<ZoneOutcomes>,
}

impl OpeningOutcomes {
    pub(super) fn of(zones: usize) -> Self {
        Self {
            zones: vec![ZoneOutcomes::default(); zones],
        }
    }

    pub(super) fn succeeded(&mut self, now: Timestamp, zone: ZoneNumber) {
        if let Some(outcomes) = self.zones.get_mut(usize::from(zone.0)) {
            outcomes.decay(now);
            outcomes.succeeded += 1.0;
        }
    }

    pub(super) fn failed(&mut self, now: Timestamp, zone: ZoneNumber) {
        if let Some(outcomes) = self.zones.get_mut(usize::from(zone.0)) {
            outcomes.decay(now);
            outcomes.failed += 1.0;
        }
    }

    pub(super) fn is_losing(&self, zone: ZoneNumber) -> bool {
        let outcomes = self.zones.get(usize::from(zone.0));
        outcomes.is_some_and(|outcomes| outcomes.is_losing)
    }

    /// Judges all zones. One that got nothing for a while is tried again.
    pub(super) fn review(&mut self, now: Timestamp) {
        for outcomes in &mut self.zones {
            outcomes.decay(now);
            let all = outcomes.succeeded + outcomes.failed;
            outcomes.is_losing =
                outcomes.failed >= LEAST_FAILURES && outcomes.failed > LOSING_SHARE * all;
        }
    }
}
