//! Delays between machines, and which balancers the fabric knows.

use crate::experiment::settings::Cluster;
use bellyoke_core::time::Timestamp;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A balancer by its place in the world. A replaced one has another place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeIndex(pub u32);

/// Largest addition to a delay by chance, as a share of it.
const JITTER_DIVISOR: u64 = 4;

/// One-way delays.
#[derive(Clone, Debug)]
pub struct Delays {
    in_zone: u64,
    between_zones: u64,
    between_regions: u64,
    /// The region of each zone.
    regions: Vec<usize>,
    to_callers: u64,
}

impl Delays {
    /// The delays of the experiment.
    #[must_use]
    pub fn new(cluster: &Cluster) -> Self {
        Self {
            in_zone: u64::from(cluster.delay_in_zone_microseconds),
            between_zones: u64::from(cluster.delay_between_zones_microseconds),
            between_regions: u64::from(cluster.delay_between_regions_microseconds),
            regions: regions_of_zones(&cluster.regions),
            to_callers: u64::from(cluster.delay_to_callers_microseconds),
        }
    }

    /// Delay of one datagram between two machines.
    pub fn between(&self, from_zone: usize, to_zone: usize, random: &mut ChaCha8Rng) -> Duration {
        let base = if from_zone == to_zone {
            self.in_zone
        } else if self.regions.get(from_zone) == self.regions.get(to_zone) {
            self.between_zones
        } else {
            self.between_regions
        };
        jittered(base, random)
    }

    /// Delay of one packet between a caller and a machine.
    pub fn to_caller(&self, random: &mut ChaCha8Rng) -> Duration {
        jittered(self.to_callers, random)
    }
}

fn regions_of_zones(zones_by_region: &[u32]) -> Vec<usize> {
    let regions = zones_by_region.iter().enumerate();
    regions
        .flat_map(|(region, zones)| std::iter::repeat_n(region, *zones as usize))
        .collect()
}

fn jittered(base: u64, random: &mut ChaCha8Rng) -> Duration {
    let extra = random.random_range(0..=base / JITTER_DIVISOR);
    Duration::from_micros(base + extra)
}

/// State of a balancer as the world sees it.
#[derive(Clone, Debug)]
pub struct NodeState {
    /// Its zone.
    pub zone: usize,
    /// Whether the process runs.
    pub alive: bool,
    /// Until when it is frozen.
    pub paused_until: Timestamp,
    /// Until when its control messages are lost.
    pub cut_until: Timestamp,
    /// Packets that wait in its socket while it is frozen.
    pub buffered: u32,
    /// Control bytes it has sent since measuring began.
    pub control_bytes: u64,
    /// When it started.
    pub started_at: Timestamp,
}
