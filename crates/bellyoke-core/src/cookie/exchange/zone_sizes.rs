//! Number of nodes in each zone, as counted by the nodes of that zone.
//!
//! Nodes know few peers of other zones and cannot count their nodes. Each node counts its own zone
//! and advertises the count with its age; the most recent count of each zone is used.

use super::message::{Heartbeat, ZoneSize};
use crate::cookie::capacity::ZoneKey;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// A count that is not renewed for this time is dropped. It is longer than most partitions of a
/// zone.
const COUNT_LIFETIME: Duration = Duration::from_secs(30);

/// Maximum number of zones in the table.
const MAXIMUM_ZONES: usize = 64;

/// The number of nodes in each zone.
#[derive(Debug, Default)]
pub(super) struct ZoneSizes {
    /// Number of nodes, and when they were counted.
    counts: BTreeMap<ZoneKey, (u16, Timestamp)>,
}

impl ZoneSizes {
    /// Records the number of nodes that a zone had at `counted_at`.
    pub(super) fn record(&mut self, zone: ZoneKey, nodes: u16, counted_at: Timestamp) {
        let current = self.counts.entry(zone).or_insert((nodes, counted_at));
        if counted_at >= current.1 {
            *current = (nodes, counted_at);
        }
        if self.counts.len() > MAXIMUM_ZONES {
            let oldest = self.counts.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(zone) = oldest.map(|(zone, _)| *zone) {
                self.counts.remove(&zone);
            }
        }
    }

    /// Removes counts that are too old.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.counts
            .retain(|_, (_, at)| now.since(*at) < COUNT_LIFETIME);
    }

    /// Returns the number of nodes in all zones but `own`.
    pub(super) fn nodes_outside(&self, own: ZoneKey) -> f64 {
        let others = self.counts.iter().filter(|(zone, _)| **zone != own);
        others.map(|(_, (nodes, _))| f64::from(*nodes)).sum()
    }

    /// Returns the most recent counts, for heartbeats.
    pub(super) fn recent_counts(&self, now: Timestamp) -> Vec<ZoneSize> {
        let sizes = self.counts.iter();
        let sizes = sizes.map(|(zone, (nodes, counted_at))| ZoneSize {
            zone: *zone,
            nodes: *nodes,
            age_milliseconds: super::milliseconds_since(now, *counted_at),
        });
        let mut sizes: Vec<ZoneSize> = sizes.collect();
        sizes.sort_by_key(|size| size.age_milliseconds);
        sizes.truncate(Heartbeat::MAXIMUM_ZONES);
        sizes
    }
}
