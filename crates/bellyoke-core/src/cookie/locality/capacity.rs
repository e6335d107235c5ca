//! Part of a service's capacity that is located in the own zone.

use crate::cookie::placement::Suitability;
use crate::cookie::table::{Candidate, ZoneNumber};

/// Number of requests that the most suitable instances of a service process in parallel.
///
/// ```
/// use bellyoke_core::cookie::locality::ZoneCapacity;
///
/// let even = ZoneCapacity::new(80.0, 240.0);
/// assert_eq!(even.spill_share(3), 0.0, "a third of the capacity for a third of the traffic");
/// let few = ZoneCapacity::new(4.0, 164.0);
/// assert!(few.spill_share(3) > 0.85, "a fortieth of the capacity");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneCapacity {
    own: f32,
    all: f32,
    /// Suitability of the counted instances.
    suitability: Option<Suitability>,
}

/// Traffic that a zone keeps, as a multiple of its part of the capacity. Smaller differences are
/// ignored: an even cluster that replaces a sixth of its instances at a time doesn't spill. Envoy's
/// overprovisioning factor has the same value.
const OVERPROVISIONING_FACTOR: f32 = 1.4;

impl ZoneCapacity {
    /// Creates a capacity of `own` parallel requests in the own zone and `all` in all zones.
    #[must_use]
    pub const fn new(own: f32, all: f32) -> Self {
        Self {
            own,
            all,
            suitability: None,
        }
    }

    /// Returns the number of requests that the own zone's instances process in parallel.
    pub(super) const fn own_slots(&self) -> f32 {
        self.own
    }

    /// Counts a candidate. Instances less suitable than the best ones so far are ignored.
    pub fn add(
        &mut self,
        candidate: &Candidate,
        suitability: Suitability,
        own: Option<ZoneNumber>,
    ) {
        let suitability = Some(suitability);
        if suitability < self.suitability {
            return;
        }
        if suitability > self.suitability {
            *self = Self {
                suitability,
                ..Self::default()
            };
        }
        let slots = candidate.slots.max(1) as f32;
        self.all += slots;
        if own == Some(candidate.zone) {
            self.own += slots;
        }
    }

    /// Returns the share of openings that must spill so that the own zone's instances get at most
    /// `OVERPROVISIONING_FACTOR` times the traffic of others, if all `zones` have equal traffic.
    #[must_use]
    pub fn spill_share(&self, zones: usize) -> f32 {
        if self.all <= 0.0 {
            return 0.0;
        }
        let part = self.own / self.all;
        let kept = OVERPROVISIONING_FACTOR * part * zones as f32;
        (1.0 - kept).max(0.0)
    }
}
