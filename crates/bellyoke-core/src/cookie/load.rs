//! Estimates the load of each instance by the flows that this node forwards.
//!
//! The node keeps no state of flows for this and counts packets instead: an exponentially decaying
//! count for each cookie, in a bounded table. New flows go to the least loaded of a few candidates
//! (the power of two choices, Mitzenmacher 2001). A node sees only its own share of the traffic; if
//! each node spreads its share evenly, the sum is even.

use crate::cookie::instance::Cookie;
use crate::time::Timestamp;

/// Number of entries of the table, 16 bytes each; further cookies share entries. A power of two.
const LOAD_TABLE_SIZE: usize = 1_024;

/// Time in which a count halves, seconds. Long flows send a few packets a second.
const HALF_LIFE_SECONDS: f32 = 2.0;

/// Load that an opening counts for, in packets: about as many as a short flow sends.
pub const OPENING_WEIGHT: f32 = 4.0;

/// Load that a later packet counts for.
pub const PACKET_WEIGHT: f32 = 1.0;

#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount {
    value: f32,
    counted_at: Timestamp,
}

impl DecayingCount {
    fn value_at(&self, now: Timestamp) -> f32 {
        let half_lives = now.since(self.counted_at).as_secs_f32() / HALF_LIFE_SECONDS;
        self.value * (-half_lives).exp2()
    }
}

/// Decaying counts of packets by cookie.
///
/// ```
/// use bellyoke_core::cookie::instance::{Cookie, InstanceId};
/// use bellyoke_core::cookie::load::{LoadMeter, PACKET_WEIGHT};
/// use bellyoke_core::time::Timestamp;
///
/// let cookie = Cookie::of(InstanceId(7));
/// let mut meter = LoadMeter::default();
/// meter.count(Timestamp::from_micros(0), cookie, PACKET_WEIGHT);
/// let later = Timestamp::from_micros(2_000_000);
/// assert_eq!(meter.load(later, cookie), 0.5, "the half-life is two seconds");
/// ```
#[derive(Debug)]
pub struct LoadMeter {
    entries: Vec<DecayingCount>,
}

impl Default for LoadMeter {
    fn default() -> Self {
        Self {
            entries: vec![DecayingCount::default(); LOAD_TABLE_SIZE],
        }
    }
}

impl LoadMeter {
    /// Adds a packet that was forwarded to an instance.
    pub fn count(&mut self, now: Timestamp, cookie: Cookie, weight: f32) {
        let entry = &mut self.entries[index_of(cookie)];
        entry.value = entry.value_at(now) + weight;
        entry.counted_at = now;
    }

    /// Resets the load of an instance that has restarted.
    pub fn forget(&mut self, cookie: Cookie) {
        self.entries[index_of(cookie)] = DecayingCount::default();
    }

    /// Returns the load of an instance: packets of the last few seconds, recent ones weighted most.
    #[must_use]
    pub fn load(&self, now: Timestamp, cookie: Cookie) -> f32 {
        self.entries[index_of(cookie)].value_at(now)
    }
}

/// Maps cookies that are consecutive numbers to different entries.
fn index_of(cookie: Cookie) -> usize {
    let bits = cookie.bits();
    let folded = bits ^ (bits >> 10) ^ (bits >> 20);
    usize::try_from(folded).unwrap_or_default() & (LOAD_TABLE_SIZE - 1)
}
