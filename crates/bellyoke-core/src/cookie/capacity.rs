//! Capacity of a node's machine, as one of a few classes, and the zone of a node.
//!
//! Duties for the whole cluster are assigned to the largest machines first. Nodes announce a class
//! rather than exact figures; duties are then distributed at random among machines of similar size.

use crate::cookie::stall::STALL_THRESHOLD;
use crate::time::Timestamp;
use rkyv::{Archive, Deserialize, Serialize};
use std::time::Duration;
use twox_hash::XxHash3_64;

/// Processor cores of a machine of the first class above the smallest.
const UNIT_CORES: f64 = 0.125;

/// Memory of such a machine, MB. A node process uses a few MB.
const UNIT_MEMORY_MB: f64 = 64.0;

/// Link rate of such a machine, Mbit/s. A snapshot of 100 kB takes 64 ms on it.
const UNIT_LINK_MBPS: f64 = 12.5;

/// Maximum number of doublings of a unit. Machines with sixteen cores or more are in one class.
const HIGHEST_LEVEL: u8 = 7;

/// Seed of zone keys; keeps them independent of other hashes of names.
const ZONE_KEY_SEED: u64 = 0x7a6f_6e65_0000_0001;

/// Interval between two ticks of the control thread above which the second one is late. Ticks are
/// due every 100 ms; a delay by another 100 ms means that the thread waited for its processor.
const LATE_TICK_THRESHOLD: Duration = Duration::from_millis(200);

/// Number of late ticks, with less than [`BUSY_PERIOD`] between them, that make a node busy. A
/// single late tick is insignificant.
const BUSY_LATE_TICKS: u32 = 3;

/// Time without late ticks after which a node isn't busy any more. It equals the lifetime of a
/// claim; otherwise a duty would alternate between nodes.
const BUSY_PERIOD: Duration = Duration::from_secs(5);

/// Resources of a machine, as far as known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MachineCapacity {
    /// Processor cores; may be fractional.
    pub cores: Option<f64>,
    /// Memory, MB.
    pub memory_mb: Option<f64>,
    /// Rate of its link, Mbit/s.
    pub link_mbps: Option<f64>,
}

impl MachineCapacity {
    /// Returns the class of the scarcest resource. Unknown resources count as smallest.
    ///
    /// ```
    /// use bellyoke_core::cookie::capacity::{CapacityClass, MachineCapacity};
    ///
    /// let large = MachineCapacity {
    ///     cores: Some(0.5),
    ///     memory_mb: Some(512.0),
    ///     link_mbps: Some(200.0),
    /// };
    /// let slow_link = MachineCapacity { link_mbps: Some(10.0), ..large };
    /// assert!(large.class() > slow_link.class());
    /// assert_eq!(MachineCapacity::default().class(), CapacityClass::SMALLEST);
    /// ```
    #[must_use]
    pub fn class(self) -> CapacityClass {
        let levels = [
            level(self.cores, UNIT_CORES),
            level(self.memory_mb, UNIT_MEMORY_MB),
            level(self.link_mbps, UNIT_LINK_MBPS),
        ];
        let scarcest = levels.into_iter().min().unwrap_or_default();
        CapacityClass::new(CapacityClass::SMALLEST.0 + scarcest)
    }
}

/// Returns the level of an amount: zero below `unit`, one from `unit` on, and one more per
/// doubling.
fn level(amount: Option<f64>, unit: f64) -> u8 {
    let mut level = 0;
    let mut threshold = unit;
    while level < HIGHEST_LEVEL && amount.is_some_and(|amount| amount >= threshold) {
        level += 1;
        threshold *= 2.0;
    }
    level
}

/// Capacity class of a machine. Each class has twice the capacity of the one below.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub struct CapacityClass(u8);

impl Default for CapacityClass {
    fn default() -> Self {
        Self::SMALLEST
    }
}

impl CapacityClass {
    /// Returns the weight as a multiple of that of the smallest class.
    #[must_use]
    pub fn relative_weight(self) -> f64 {
        f64::from(self.weight()) / f64::from(Self::SMALLEST.weight())
    }

    /// Temporarily too busy for further duties, whatever the capacity of the machine.
    pub const BUSY: Self = Self(0);

    /// Some resource is below its unit, or is unknown.
    pub const SMALLEST: Self = Self(1);

    /// The largest class.
    pub const LARGEST: Self = Self(Self::SMALLEST.0 + HIGHEST_LEVEL);

    /// Returns the class with this number; numbers above the largest class are clamped to it.
    #[must_use]
    pub const fn new(number: u8) -> Self {
        if number > Self::LARGEST.0 {
            Self::LARGEST
        } else {
            Self(number)
        }
    }

    /// Returns the number of the class.
    #[must_use]
    pub const fn number(self) -> u8 {
        self.0
    }

    /// Returns the relative share of work that is distributed by capacity.
    #[must_use]
    pub const fn weight(self) -> u32 {
        1 << Self::new(self.0).0
    }
}

/// Key of a zone in messages between nodes, derived from its name. Zones whose keys collide are
/// treated as one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize,
)]
pub struct ZoneKey(pub u16);

impl ZoneKey {
    /// Returns the key of a zone; zero for an empty name.
    ///
    /// ```
    /// use bellyoke_core::cookie::capacity::ZoneKey;
    ///
    /// assert_ne!(ZoneKey::of("cork"), ZoneKey::of("galway"));
    /// assert_eq!(ZoneKey::of(""), ZoneKey::default());
    /// ```
    #[must_use]
    pub fn of(name: &str) -> Self {
        if name.is_empty() {
            return Self::default();
        }
        let hash = XxHash3_64::oneshot_with_seed(ZONE_KEY_SEED, name.as_bytes());
        let [low, high, ..] = hash.to_le_bytes();
        Self(u16::from_le_bytes([low, high]))
    }
}

/// Zone of a node and capacity class of its machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct NodePlace {
    /// Key of the zone.
    pub zone: ZoneKey,
    /// Capacity class of the machine.
    pub class: CapacityClass,
}

/// Detects from the delays of a node's own ticks that it is too busy for duties that other nodes
/// can take.
///
/// ```
/// use bellyoke_core::cookie::capacity::BusyDetector;
/// use bellyoke_core::time::Timestamp;
///
/// let mut detector = BusyDetector::default();
/// for milliseconds in [1_000, 1_250, 1_500, 1_750] {
///     detector.tick(Timestamp::from_micros(milliseconds * 1_000));
/// }
/// assert!(detector.is_busy(Timestamp::from_micros(1_750_000)));
/// assert!(!detector.is_busy(Timestamp::from_micros(7_000_000)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct BusyDetector {
    last_tick_at: Option<Timestamp>,
    last_late_at: Option<Timestamp>,
    late_ticks: u32,
}

impl BusyDetector {
    /// Records a tick. A delay so long that the process was stalled counts as several late ticks.
    pub fn tick(&mut self, now: Timestamp) {
        let gap = self.last_tick_at.replace(now).map(|last| now.since(last));
        let Some(gap) = gap.filter(|gap| *gap > LATE_TICK_THRESHOLD) else {
            return;
        };
        if !self.was_late_recently(now) {
            self.late_ticks = 0;
        }
        self.last_late_at = Some(now);
        let count = if gap > STALL_THRESHOLD {
            BUSY_LATE_TICKS
        } else {
            1
        };
        self.late_ticks = self.late_ticks.saturating_add(count);
    }

    /// Returns whether several recent ticks were late.
    #[must_use]
    pub fn is_busy(&self, now: Timestamp) -> bool {
        self.late_ticks >= BUSY_LATE_TICKS && self.was_late_recently(now)
    }

    fn was_late_recently(&self, now: Timestamp) -> bool {
        self.last_late_at
            .is_some_and(|late| now.since(late) < BUSY_PERIOD)
    }
}
