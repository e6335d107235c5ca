//! What nodes tell each other that their probes found, and how much of it speaks for itself.

use super::VERDICT_LIFETIME;
use crate::cookie::capacity::ZoneKey;
use crate::cookie::instance::Cookie;
use crate::time::Timestamp;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A finding of the same origin is news again once it is newer by so much: less than the time between two
/// probes of one node, so that each of them is told on, and copies on other ways are not.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Who has found something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The node's peer address.
    pub node: SocketAddrV4,
    /// The zone that it stands in.
    pub zone: ZoneKey,
}

impl Origin {
    /// Whether what speaks against an instance here is not likely to be the fault that another origin saw: paths
    /// differ between zones. Where all nodes stand in one zone, two of them must do.
    #[must_use]
    pub fn is_independent_of(self, other: Self, single_zone: bool) -> bool {
        if single_zone {
            self.node != other.node
        } else {
            self.zone != other.zone
        }
    }
}

/// What a node's probe of an instance found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The instance.
    pub cookie: Cookie,
    /// Who probed it.
    pub origin: Origin,
    /// When.
    pub found_at: Timestamp,
    /// Whether it took a connection, after it had taken none.
    pub reached: bool,
}

/// Findings of peers that speak against one instance: the newest of two independent origins.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerFindings {
    entries: [Option<(Origin, Timestamp)>; 2],
    /// When a finding was last withdrawn: copies of those before it count no longer, or all nodes would tell each other of
    /// the finding and of its withdrawal in turn.
    withdrawn_at: Option<Timestamp>,
}

impl PeerFindings {
    /// Notes that a peer couldn't reach the instance. Returns whether that is news, to be told on: a third origin
    /// is none.
    pub(super) fn record(&mut self, now: Timestamp, finding: &Finding, single_zone: bool) -> bool {
        let (origin, found_at) = (finding.origin, finding.found_at);
        let is_withdrawn = self.withdrawn_at.is_some_and(|at| found_at <= at);
        if !is_fresh(now, found_at) || is_withdrawn {
            return false;
        }
        let same_fault = self.entries.iter_mut().flatten();
        let mut same_fault =
            same_fault.filter(|(entry, _)| !entry.is_independent_of(origin, single_zone));
        if let Some((entry_origin, entry_found_at)) = same_fault.next() {
            let is_renewed = found_at >= entry_found_at.after(RENEWAL_INTERVAL);
            if is_renewed {
                (*entry_origin, *entry_found_at) = (origin, found_at);
            }
            return is_renewed;
        }
        let mut slots = self.entries.iter_mut();
        let free = slots
            .find(|entry| entry.is_none_or(|(_, entry_found_at)| !is_fresh(now, entry_found_at)));
        let Some(free) = free else {
            return false;
        };
        *free = Some((origin, found_at));
        true
    }

    /// Notes that a peer reaches the instance again: what it, or those beside it, found before counts no longer.
    /// Returns whether anything did.
    pub(super) fn withdraw(&mut self, finding: &Finding, single_zone: bool) -> bool {
        let mut withdrawn = false;
        for entry in &mut self.entries {
            let is_withdrawn = entry.is_some_and(|(origin, entry_found_at)| {
                entry_found_at < finding.found_at
                    && !origin.is_independent_of(finding.origin, single_zone)
            });
            if is_withdrawn {
                *entry = None;
                withdrawn = true;
            }
        }
        if withdrawn {
            let at = self
                .withdrawn_at
                .map_or(finding.found_at, |at| at.max(finding.found_at));
            self.withdrawn_at = Some(at);
        }
        withdrawn
    }

    /// Whether a finding that is independent of an origin holds.
    pub(super) fn confirms(&self, now: Timestamp, origin: Origin, single_zone: bool) -> bool {
        let mut fresh = self.fresh(now);
        fresh.any(|entry| entry.is_independent_of(origin, single_zone))
    }

    /// Whether two independent findings hold.
    pub(super) fn has_agreement(&self, now: Timestamp) -> bool {
        self.fresh(now).count() == self.entries.len()
    }

    /// Whether two independent findings were both made since a time.
    pub(super) fn has_agreement_since(&self, since: Timestamp) -> bool {
        let mut entries = self.entries.iter();
        entries.all(|entry| entry.is_some_and(|(_, found_at)| found_at > since))
    }

    /// Whether a finding of a zone holds.
    pub(super) fn has_finding_from_zone(&self, now: Timestamp, zone: ZoneKey) -> bool {
        self.fresh(now).any(|entry| entry.zone == zone)
    }

    /// Whether any finding holds.
    pub(super) fn has_any(&self, now: Timestamp) -> bool {
        self.fresh(now).next().is_some()
    }

    fn fresh(&self, now: Timestamp) -> impl Iterator<Item = Origin> {
        let entries = self.entries.iter().flatten();
        let fresh = entries.filter(move |(_, found_at)| is_fresh(now, *found_at));
        fresh.map(|(origin, _)| *origin)
    }
}

pub(super) fn is_fresh(now: Timestamp, found_at: Timestamp) -> bool {
    now.since(found_at) < VERDICT_LIFETIME
}
