//! How many nodes each zone has, as its own nodes count it.
//!
//! Nodes hear few of other zones, so that they can't count these themselves. Each counts its own and
//! tells the others, with the age of the count; the youngest that is known of each zone counts.

use super::message::{Heartbeat, ZoneSize};
use crate::cookie::capacity::ZoneKey;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// A count that was not renewed for so long counts for nothing: longer than a zone is cut off mostly.
const COUNT_LIFETIME: Duration = Duration::from_secs(30);

/// Most zones remembered.
const MAXIMUM_ZONES: usize = 64;

/// The sizes of zones.
#[derive(Debug, Default)]
pub(super) struct ZoneSizes {
    /// Nodes, and when they were counted.
    counts: BTreeMap<ZoneKey, (u16, Timestamp)>,
}

impl ZoneSizes {
    /// Notes how many nodes a zone had at a time.
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

    /// Forgets counts that are too old.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.counts
            .retain(|_, (_, at)| now.since(*at) < COUNT_LIFETIME);
    }

    /// Nodes of all zones but one.
    pub(super) fn nodes_outside(&self, own: ZoneKey) -> f64 {
        let others = self.counts.iter().filter(|(zone, _)| **zone != own);
        others.map(|(_, (nodes, _))| f64::from(*nodes)).sum()
    }

    /// The youngest counts, for peers.
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
