//! How much of what instances can take stands in the own zone.

use crate::cookie::placement::Suitability;
use crate::cookie::table::{Candidate, ZoneNumber};

/// Requests that the most suitable instances of a service work on at once.
///
/// ```
/// use bellyoke_core::cookie::locality::ZoneCapacity;
///
/// let even = ZoneCapacity::new(80.0, 240.0);
/// assert_eq!(even.spill_share(3), 0.0, "a third of the instances for a third of the traffic");
/// let few = ZoneCapacity::new(4.0, 164.0);
/// assert!(few.spill_share(3) > 0.85, "a fortieth of them");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneCapacity {
    own: f32,
    all: f32,
    /// Of the instances counted.
    suitability: Option<Suitability>,
}

/// How much more than its part in the traffic a zone keeps, for each unit of its part in what instances can
/// take. Below this the difference is left alone: an even cluster whose instances are being replaced, a sixth
/// at a time, stays as it is. Envoy's overprovisioning factor has the same value.
const OVERPROVISIONING: f32 = 1.4;

impl ZoneCapacity {
    /// So many requests in the own zone, and in all.
    #[must_use]
    pub const fn new(own: f32, all: f32) -> Self {
        Self {
            own,
            all,
            suitability: None,
        }
    }

    /// What the own zone's instances work on at once.
    pub(super) const fn own_slots(&self) -> f32 {
        self.own
    }

    /// Counts a candidate. Only the most suitable count.
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

    /// The share of openings that has to go elsewhere, so that the own zone's instances get no more than
    /// [`OVERPROVISIONING`] times what others get, if the traffic of all `zones` is alike.
    #[must_use]
    pub fn spill_share(&self, zones: usize) -> f32 {
        if self.all <= 0.0 {
            return 0.0;
        }
        let part = self.own / self.all;
        let kept = OVERPROVISIONING * part * zones as f32;
        (1.0 - kept).max(0.0)
    }
}
