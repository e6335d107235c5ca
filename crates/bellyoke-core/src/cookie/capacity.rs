//! What a node's machine can bear, in few levels, and in which zone it stands.
//!
//! Duties for the whole cluster go to the largest machines first. Nodes tell each other a class
//! instead of figures, so that machines that are about alike share duties by chance.

use crate::cookie::stall::STALL_THRESHOLD;
use crate::time::Timestamp;
use rkyv::{Archive, Deserialize, Serialize};
use std::time::Duration;
use twox_hash::XxHash3_64;

/// Cores of a machine of the first class above the least.
const UNIT_CORES: f64 = 0.125;

/// Memory of such a machine, MB. A node takes a few.
const UNIT_MEMORY_MB: f64 = 64.0;

/// What the link of such a machine carries, Mbit/s. A snapshot of 100 kB takes 64 ms on it.
const UNIT_LINK_MBPS: f64 = 12.5;

/// So often a unit is doubled: all that has sixteen cores or more is alike.
const HIGHEST_LEVEL: u8 = 7;

/// Keeps the numbers of zones apart from other hashes of names.
const ZONE_SEED: u64 = 0x7a6f_6e65_0000_0001;

/// How late a tick of the control thread may be: ticks come every 100 ms, and one that is later than
/// that again shows a thread that waits for its processor.
const LATE_TICK: Duration = Duration::from_millis(200);

/// So many late ticks without [`CALM`] between them make a node busy. One alone is nothing.
const LATE_TICKS: u32 = 3;

/// A node that was on time for so long isn't busy any more. As long as a claim counts, so that a
/// duty doesn't go to and fro.
const CALM: Duration = Duration::from_secs(5);

/// What a machine has, as far as that is told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MachineCapacity {
    /// Processor time, cores.
    pub cores: Option<f64>,
    /// Memory, MB.
    pub memory_mb: Option<f64>,
    /// What its link carries, Mbit/s.
    pub link_mbps: Option<f64>,
}

impl MachineCapacity {
    /// The class, by the scarcest of what the machine has. What isn't told counts as little.
    ///
    /// ```
    /// use bellyoke_core::cookie::capacity::{CapacityClass, MachineCapacity};
    ///
    /// let large = MachineCapacity {
    ///     cores: Some(0.5),
    ///     memory_mb: Some(512.0),
    ///     link_mbps: Some(200.0),
    /// };
    /// let thin = MachineCapacity { link_mbps: Some(10.0), ..large };
    /// assert!(large.class() > thin.class());
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

/// How often a unit must be doubled to be more than an amount; none of what is less than a unit.
fn level(amount: Option<f64>, unit: f64) -> u8 {
    let mut level = 0;
    let mut reached = unit;
    while level < HIGHEST_LEVEL && amount.is_some_and(|amount| amount >= reached) {
        level += 1;
        reached *= 2.0;
    }
    level
}

/// How much a machine can bear: each class twice as much as the one below.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub struct CapacityClass(u8);

impl Default for CapacityClass {
    fn default() -> Self {
        Self::SMALLEST
    }
}

impl CapacityClass {
    /// How many times as much as the least of machines.
    #[must_use]
    pub fn relative_weight(self) -> f64 {
        f64::from(self.weight()) / f64::from(Self::SMALLEST.weight())
    }

    /// Too busy for more at the moment, whatever the machine has.
    pub const BUSY: Self = Self(0);

    /// Less than a unit of something, or not told.
    pub const SMALLEST: Self = Self(1);

    /// The largest.
    pub const LARGEST: Self = Self(Self::SMALLEST.0 + HIGHEST_LEVEL);

    /// The class of a number; larger ones are the largest.
    #[must_use]
    pub const fn new(number: u8) -> Self {
        if number > Self::LARGEST.0 {
            Self::LARGEST
        } else {
            Self(number)
        }
    }

    /// Its number.
    #[must_use]
    pub const fn number(self) -> u8 {
        self.0
    }

    /// Its share of what is spread over machines by what they can bear.
    #[must_use]
    pub const fn weight(self) -> u32 {
        1 << Self::new(self.0).0
    }
}

/// Key of a zone, from its name, as nodes tell it each other. Two zones with one key count as one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize,
)]
pub struct ZoneKey(pub u16);

impl ZoneKey {
    /// The key of a zone; zero where none is told.
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
        let hash = XxHash3_64::oneshot_with_seed(ZONE_SEED, name.as_bytes());
        let [low, high, ..] = hash.to_le_bytes();
        Self(u16::from_le_bytes([low, high]))
    }
}

/// Where a node stands, and how much its machine can bear.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct NodePlace {
    /// Its zone.
    pub zone: ZoneKey,
    /// Its class.
    pub class: CapacityClass,
}

/// Whether a node is too busy for duties that others can take: its own ticks tell.
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
    /// A tick. One so late that the process stood still counts as many.
    pub fn tick(&mut self, now: Timestamp) {
        let gap = self.last_tick_at.replace(now).map(|last| now.since(last));
        let Some(gap) = gap.filter(|gap| *gap > LATE_TICK) else {
            return;
        };
        if !self.was_late_recently(now) {
            self.late_ticks = 0;
        }
        self.last_late_at = Some(now);
        let count = if gap > STALL_THRESHOLD { LATE_TICKS } else { 1 };
        self.late_ticks = self.late_ticks.saturating_add(count);
    }

    /// Whether several ticks of late were late.
    #[must_use]
    pub fn is_busy(&self, now: Timestamp) -> bool {
        self.late_ticks >= LATE_TICKS && self.was_late_recently(now)
    }

    fn was_late_recently(&self, now: Timestamp) -> bool {
        self.last_late_at.is_some_and(|late| now.since(late) < CALM)
    }
}
