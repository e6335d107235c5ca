//! The verdicts that a node has heard.

use crate::cookie::instance::Cookie;
use crate::cookie::table::{ForwardingTable, RouteService};
use crate::time::Timestamp;
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

/// How long verdicts hold that aren't told again. Longer than two rounds of telling, so that a lost
/// datagram changes nothing; short, so that nobody stays out for a collector that died.
const VERDICT_LIFETIME: Duration = Duration::from_millis(2_500);

/// Collectors whose verdicts are held.
const MAXIMUM_COLLECTORS: usize = 8;

/// Which instances a collector holds for outliers.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Verdicts {
    /// The collector's peer address.
    pub collector: SocketAddrV4,
    /// Rises with each telling.
    pub sequence: u64,
    /// Cookies of the instances, the worst first.
    pub cookies: Vec<u32>,
}

/// The verdicts of a few collectors.
#[derive(Debug, Default)]
pub struct OutlierBoard {
    held: BTreeMap<SocketAddrV4, (Timestamp, Verdicts)>,
}

impl OutlierBoard {
    /// Notes what a collector told. Returns whether that is news, to be passed on.
    pub fn note(&mut self, now: Timestamp, verdicts: &Verdicts) -> bool {
        self.expire(now);
        let held = self.held.get(&verdicts.collector);
        let is_news = held.is_none_or(|(_, held)| held.sequence < verdicts.sequence);
        let has_room = held.is_some() || self.held.len() < MAXIMUM_COLLECTORS;
        if !is_news || !has_room {
            return false;
        }
        self.held
            .insert(verdicts.collector, (now, verdicts.clone()));
        true
    }

    /// Forgets verdicts that weren't told again.
    pub fn expire(&mut self, now: Timestamp) {
        self.held
            .retain(|_, (heard_at, _)| now.since(*heard_at) < VERDICT_LIFETIME);
    }

    /// The outliers, at most a share of each service's instances: those first that collectors put first.
    #[must_use]
    pub fn outliers(&self, table: &ForwardingTable, largest_share: f64) -> BTreeSet<Cookie> {
        let mut outliers = BTreeSet::new();
        if self.held.is_empty() {
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
            let most = (candidates.len() as f64 * largest_share) as usize;
            let named = candidates.iter();
            let named = named.filter_map(|candidate| {
                let rank = ranks.get(&candidate.cookie)?;
                Some((*rank, candidate.cookie))
            });
            let mut named: Vec<_> = named.collect();
            named.sort_unstable();
            outliers.extend(named.into_iter().take(most).map(|(_, cookie)| cookie));
        }
        outliers
    }

    /// The best place of each instance in a collector's list.
    fn ranks(&self) -> BTreeMap<Cookie, usize> {
        let mut ranks: BTreeMap<Cookie, usize> = BTreeMap::new();
        for (_, verdicts) in self.held.values() {
            let cookies = verdicts.cookies.iter();
            let cookies = cookies.filter_map(|bits| Cookie::from_bits(*bits));
            for (place, cookie) in cookies.enumerate() {
                let rank = ranks.entry(cookie).or_insert(place);
                *rank = (*rank).min(place);
            }
        }
        ranks
    }
}
