//! The verdicts received from collectors.

use crate::cookie::instance::Cookie;
use crate::cookie::table::{ForwardingTable, RouteService};
use crate::time::Timestamp;
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

/// How long verdicts are valid unless they are announced again. Longer than two announcement
/// intervals, so a lost datagram has no effect; short enough that instances are soon reinstated
/// after their collector has failed.
const VERDICT_LIFETIME: Duration = Duration::from_millis(2_500);

/// Maximum number of collectors whose verdicts are stored.
const MAXIMUM_COLLECTORS: usize = 8;

/// The outliers according to one collector.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Verdicts {
    /// The collector's peer address.
    pub collector: SocketAddrV4,
    /// Increases with each announcement.
    pub sequence: u64,
    /// Cookies of the outliers, the worst first.
    pub cookies: Vec<u32>,
}

/// The latest verdicts of a few collectors.
#[derive(Debug, Default)]
pub struct VerdictCache {
    by_collector: BTreeMap<SocketAddrV4, (Timestamp, Verdicts)>,
}

impl VerdictCache {
    /// Stores the verdicts of a collector. Returns whether they are new and are to be forwarded.
    pub fn record(&mut self, now: Timestamp, verdicts: &Verdicts) -> bool {
        self.expire(now);
        let known = self.by_collector.get(&verdicts.collector);
        let is_new = known.is_none_or(|(_, known)| known.sequence < verdicts.sequence);
        let has_room = known.is_some() || self.by_collector.len() < MAXIMUM_COLLECTORS;
        if !is_new || !has_room {
            return false;
        }
        self.by_collector
            .insert(verdicts.collector, (now, verdicts.clone()));
        true
    }

    /// Removes verdicts that were not announced again in time.
    pub fn expire(&mut self, now: Timestamp) {
        self.by_collector
            .retain(|_, (received_at, _)| now.since(*received_at) < VERDICT_LIFETIME);
    }

    /// Returns the outliers, at most a share of each service's instances. Those that collectors
    /// rank worst come first.
    #[must_use]
    pub fn outliers(&self, table: &ForwardingTable, largest_share: f64) -> BTreeSet<Cookie> {
        let mut outliers = BTreeSet::new();
        if self.by_collector.is_empty() {
            return outliers;
        }
        let ranks = self.ranks();
        for number in 0..table.services().len() {
            let Ok(number) = u32::try_from(number) else {
                break;
            };
            let service = crate::cookie::table::ServiceNumber(number);
            let part = RouteService { weight: 1, service };
            let candidates = table.candidates(&part);
            let maximum = (candidates.len() as f64 * largest_share) as usize;
            let ranked = candidates.iter();
            let ranked = ranked.filter_map(|candidate| {
                let rank = ranks.get(&candidate.cookie)?;
                Some((*rank, candidate.cookie))
            });
            let mut ranked: Vec<_> = ranked.collect();
            ranked.sort_unstable();
            outliers.extend(ranked.into_iter().take(maximum).map(|(_, cookie)| cookie));
        }
        outliers
    }

    /// Returns the best rank of each instance among all collectors.
    fn ranks(&self) -> BTreeMap<Cookie, usize> {
        let mut ranks: BTreeMap<Cookie, usize> = BTreeMap::new();
        for (_, verdicts) in self.by_collector.values() {
            let cookies = verdicts.cookies.iter();
            let cookies = cookies.filter_map(|bits| Cookie::from_bits(*bits));
            for (position, cookie) in cookies.enumerate() {
                let rank = ranks.entry(cookie).or_insert(position);
                *rank = (*rank).min(position);
            }
        }
        ranks
    }
}
