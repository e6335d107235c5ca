//! A claim to a group: promises from majorities of all replica sets that may hold pins.

use super::ballot::{Ballot, Configuration, LogPosition};
use super::message::{FetchRequest, Installation, PrepareRequest, ReplicaPromise};
use super::pin::{PinKey, PinTable};
use crate::identity::{GenerationNumber, GroupIndex, NodeId};
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// A claim to a group.
///
/// Replica sets change with generations, and a node may have missed some. A replica tells
/// with its promise which sets claimed the group after its own was complete; those are asked
/// too (Lamport, Malkhi, Zhou, "Vertical Paxos", 2009).
#[derive(Debug)]
pub(super) struct Claim {
    group: GroupIndex,
    ballot: Ballot,
    configuration: Configuration,
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

/// The copy that the claim goes on with.
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

    /// Another replica set may hold pins.
    pub(super) fn add_configuration(&mut self, configuration: Configuration) {
        self.configurations
            .entry(configuration.generation)
            .or_insert(configuration);
    }

    /// A replica promised; true if it named a replica set that was not known.
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

    /// Replicas that have not promised yet.
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

    /// The copy to go on with, once majorities of all replica sets since the newest complete
    /// one have promised.
    pub(super) fn agreed_copy(&self) -> Option<BestCopy> {
        let complete = self.promises.values().filter_map(|copy| {
            let installed = copy.installed.as_ref()?;
            Some(installed.configuration.generation)
        });
        let newest = complete.max()?;
        let promised = |node| self.promises.contains_key(&node);
        let agreed = self
            .configurations
            .range(newest..)
            .all(|(_, configuration)| configuration.has_majority(promised));
        if agreed { self.best_copy() } else { None }
    }

    /// The most complete copy among those promised so far. Copies at one position are equal:
    /// the claimant's own needs no fetching.
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

    /// Whether a majority of the claim's own replicas has promised.
    pub(super) fn has_own_majority(&self) -> bool {
        let promised = |node| self.promises.contains_key(&node);
        self.configuration.has_majority(promised)
    }

    /// Starts to copy the pins of `source`.
    pub(super) fn start_fetch(&mut self, source: BestCopy) {
        self.fetch = Some(Fetch {
            source,
            cursor: None,
            pins: PinTable::default(),
        });
    }

    /// The next question to the replica whose pins are copied.
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

    /// Takes a page of pins, if it is the one asked for.
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

    /// The copied pins and where they came from.
    pub(super) fn take_fetched(&mut self) -> Option<(PinTable, BestCopy)> {
        let fetch = self.fetch.take()?;
        Some((fetch.pins, fetch.source))
    }

    /// A replica died: its promise may not be relied on to copy from.
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
