//! Probe results that nodes report to each other, and how they are weighed.

use super::VERDICT_LIFETIME;
use crate::cookie::capacity::ZoneKey;
use crate::cookie::instance::Cookie;
use crate::time::Timestamp;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A finding of the same origin is forwarded again if it is newer by at least this much. Less than
/// the time between two probes of one node, so each of its findings is forwarded, and copies of one
/// that arrive on several paths are not.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);

/// The node that made a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The node's peer address.
    pub node: SocketAddrV4,
    /// The zone that the node is located in.
    pub zone: ZoneKey,
}

impl Origin {
    /// Returns whether a finding of this origin is unlikely to have the same cause as one of
    /// another origin. Network paths differ between zones, so the zones must differ. In a cluster
    /// of a single zone, two different nodes are enough.
    #[must_use]
    pub fn is_independent_of(self, other: Self, single_zone: bool) -> bool {
        if single_zone {
            self.node != other.node
        } else {
            self.zone != other.zone
        }
    }
}

/// A time at which an instance was alive, as its flows showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LifeSign {
    /// The instance.
    pub cookie: Cookie,
    /// When it was seen alive.
    pub seen_at: Timestamp,
}

/// The result of a node's probe of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The instance.
    pub cookie: Cookie,
    /// The node that probed it.
    pub origin: Origin,
    /// When the probe ended.
    pub found_at: Timestamp,
    /// Whether the instance accepted a connection, after it had accepted none.
    pub reached: bool,
}

/// Findings of peers that could not reach one instance: the latest ones of two independent origins.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerFindings {
    entries: [Option<(Origin, Timestamp)>; 2],
    /// When a finding was last withdrawn. Copies of earlier findings are ignored; otherwise nodes
    /// would keep forwarding the finding and its withdrawal to each other in turn.
    withdrawn_at: Option<Timestamp>,
}

impl PeerFindings {
    /// Records that a peer could not reach the instance. Returns whether the finding is new and is
    /// to be forwarded; one of a third origin is not.
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

    /// Records that a peer reaches the instance again, and removes the earlier findings of the same
    /// or a dependent origin. Returns whether it removed any.
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

    /// Returns whether there is a valid finding that is independent of `origin`.
    pub(super) fn confirms(&self, now: Timestamp, origin: Origin, single_zone: bool) -> bool {
        let mut fresh = self.fresh(now);
        fresh.any(|entry| entry.is_independent_of(origin, single_zone))
    }

    /// Returns whether there are two valid independent findings.
    pub(super) fn has_agreement(&self, now: Timestamp) -> bool {
        self.fresh(now).count() == self.entries.len()
    }

    /// Returns whether two independent findings were both made after `since`.
    pub(super) fn has_agreement_since(&self, since: Timestamp) -> bool {
        let mut entries = self.entries.iter();
        entries.all(|entry| entry.is_some_and(|(_, found_at)| found_at > since))
    }

    /// Returns whether there is a valid finding of a node in `zone`.
    pub(super) fn has_finding_from_zone(&self, now: Timestamp, zone: ZoneKey) -> bool {
        self.fresh(now).any(|entry| entry.zone == zone)
    }

    /// Returns whether there is any valid finding.
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
