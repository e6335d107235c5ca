//! A claim to a group: promises from majorities of all replica sets that may store pins.

use super::ballot::{Ballot, Configuration, LogPosition};
use super::message::{FetchRequest, Installation, PrepareRequest, ReplicaPromise};
use super::pin::{PinKey, PinTable};
use crate::identity::{GenerationNumber, GroupIndex, NodeId};
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// A claim to a group.
///
/// Replica sets change with generations, and a node may have skipped generations. With its
/// promise, a replica reports the sets that have claimed the group since its own copy was
/// complete. The claimant asks these, too (Lamport, Malkhi, Zhou, "Vertical Paxos", 2009).
#[derive(Debug)]
pub(super) struct Claim {
    group: GroupIndex,
    ballot: Ballot,
    configuration: Configuration,
    /// Replica sets that may store pins, by generation.
    configurations: BTreeMap<GenerationNumber, Configuration>,
    promises: BTreeMap<NodeId, PromisedCopy>,
    fetch: Option<Fetch>,
    started_at: Timestamp,
}

/// How complete a replica's copy is.
#[derive(Clone, Debug)]
struct PromisedCopy {
    accepted: LogPosition,
    installed: Option<Installation>,
}

/// The copy that the claimant continues with.
#[derive(Clone, Debug)]
pub(super) struct BestCopy {
    pub(super) node: NodeId,
    pub(super) pins_lost_before: GenerationNumber,
}

#[derive(Debug)]
struct Fetch {
    source: BestCopy,
    cursor: Option<PinKey>,
    pins: PinTable,
}

impl Claim {
    pub(super) fn new(
        now: Timestamp,
        group: GroupIndex,
        ballot: Ballot,
        configuration: Configuration,
        earlier: impl IntoIterator<Item = Configuration>,
    ) -> Self {
        let mut claim = Self {
            group,
            ballot,
            configuration: configuration.clone(),
            configurations: BTreeMap::new(),
            promises: BTreeMap::new(),
            fetch: None,
            started_at: now,
        };
        claim.add_configuration(configuration);
        for configuration in earlier {
            claim.add_configuration(configuration);
        }
        claim
    }

    pub(super) fn ballot(&self) -> Ballot {
        self.ballot
    }

    pub(super) fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    pub(super) fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// Adds a replica set that may store pins.
    pub(super) fn add_configuration(&mut self, configuration: Configuration) {
        self.configurations
            .entry(configuration.generation)
            .or_insert(configuration);
    }

    /// Records a replica's promise. Returns whether it named a new replica set.
    pub(super) fn record_promise(&mut self, from: NodeId, promise: ReplicaPromise) -> bool {
        let count = self.configurations.len();
        for successor in promise.successors {
            self.add_configuration(successor);
        }
        if let Some(installed) = &promise.installed {
            self.add_configuration(installed.configuration.clone());
        }
        let copy = PromisedCopy {
            accepted: promise.accepted,
            installed: promise.installed,
        };
        self.promises.entry(from).or_insert(copy);
        self.configurations.len() > count
    }

    /// Returns the replicas that have not promised yet.
    pub(super) fn missing_promises(&self) -> Vec<NodeId> {
        let replicas = self
            .configurations
            .values()
            .flat_map(|configuration| &configuration.replicas);
        let mut nodes: Vec<NodeId> = replicas
            .filter(|node| !self.promises.contains_key(node))
            .copied()
            .collect();
        nodes.sort_unstable();
        nodes.dedup();
        nodes
    }

    pub(super) fn prepare_request(&self) -> PrepareRequest {
        PrepareRequest {
            group: self.group,
            ballot: self.ballot,
            configuration: self.configuration.clone(),
        }
    }

    /// Returns the copy to continue with, once majorities of the newest complete replica set and
    /// of all later ones have promised.
    pub(super) fn agreed_copy(&self) -> Option<BestCopy> {
        let complete = self.promises.values().filter_map(|copy| {
            let installed = copy.installed.as_ref()?;
            Some(installed.configuration.generation)
        });
        let newest = complete.max()?;
        let has_promised = |node| self.promises.contains_key(&node);
        let agreed = self
            .configurations
            .range(newest..)
            .all(|(_, configuration)| configuration.has_majority(has_promised));
        if agreed { self.best_copy() } else { None }
    }

    /// Returns the most complete copy promised so far. Copies at the same position are equal; of
    /// those, the claimant's own is preferred because it needs no fetch.
    pub(super) fn best_copy(&self) -> Option<BestCopy> {
        let complete = self.promises.iter().filter_map(|(node, copy)| {
            let installed = copy.installed.as_ref()?;
            let is_own = *node == self.ballot.node;
            Some((copy.accepted, is_own, *node, installed.pins_lost_before))
        });
        let (_, _, node, pins_lost_before) = complete.max()?;
        Some(BestCopy {
            node,
            pins_lost_before,
        })
    }

    /// Returns whether a majority of the claim's own replicas has promised.
    pub(super) fn has_own_majority(&self) -> bool {
        let has_promised = |node| self.promises.contains_key(&node);
        self.configuration.has_majority(has_promised)
    }

    /// Starts to copy the pins of `source`.
    pub(super) fn start_fetch(&mut self, source: BestCopy) {
        self.fetch = Some(Fetch {
            source,
            cursor: None,
            pins: PinTable::default(),
        });
    }

    /// Returns the next request to the replica whose pins are copied.
    pub(super) fn fetch_request(&self) -> Option<(NodeId, FetchRequest)> {
        let fetch = self.fetch.as_ref()?;
        let request = FetchRequest {
            group: self.group,
            ballot: self.ballot,
            cursor: fetch.cursor,
        };
        Some((fetch.source.node, request))
    }

    pub(super) fn is_fetching(&self) -> bool {
        self.fetch.is_some()
    }

    /// Applies a page of pins if it answers the current request. Returns whether the copy is
    /// complete.
    pub(super) fn apply_page(
        &mut self,
        now: Timestamp,
        page: &super::message::FetchedPins,
    ) -> bool {
        let expected = self.fetch_request().map(|(_, request)| request);
        let Some(fetch) = self.fetch.as_mut() else {
            return false;
        };
        if expected != Some(page.request) {
            return false;
        }
        fetch.pins.apply(now, &page.runs, &page.marks);
        fetch.cursor = fetch.pins.last_key();
        !page.has_more
    }

    /// Takes the copied pins and their source.
    pub(super) fn take_fetched(&mut self) -> Option<(PinTable, BestCopy)> {
        let fetch = self.fetch.take()?;
        Some((fetch.pins, fetch.source))
    }

    /// Removes the promise of a failed replica: its pins can no longer be copied.
    pub(super) fn remove_promise(&mut self, node: NodeId) {
        self.promises.remove(&node);
        if self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.source.node == node)
        {
            self.fetch = None;
        }
    }
}
