//! A replica's copy of one group.

use super::ballot::{Ballot, Configuration, LogPosition};
use super::message::{Installation, PinBatch, PrepareRequest, ReplicaPromise};
use super::pin::PinTable;
use crate::identity::NodeId;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// Maximum number of batches that wait for an earlier one.
const MAX_EARLY_BATCHES: usize = 64;
/// Maximum number of replica sets recorded since the last complete copy.
const MAX_SUCCESSOR_CONFIGURATIONS: usize = 16;

/// The error for a ballot below the promised one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BallotRejected {
    /// The promised ballot.
    pub(super) promised: Ballot,
}

/// A replica's copy of one group: a prefix of one owner's batches.
#[derive(Clone, Debug, Default)]
pub(super) struct Acceptor {
    promised: Ballot,
    /// The position of the complete copy.
    accepted: LogPosition,
    /// What the complete copy is valid for.
    installed: Option<Installation>,
    /// Replica sets that have claimed or installed the group since the complete copy.
    successors: Vec<Configuration>,
    pins: PinTable,
    incoming: IncomingCopy,
}

/// An incomplete copy, and batches that arrived out of order.
#[derive(Clone, Debug, Default)]
struct IncomingCopy {
    ballot: Ballot,
    sequence: u64,
    pins: PinTable,
    early_batches: BTreeMap<u64, PinBatch>,
}

impl Acceptor {
    pub(super) fn promised(&self) -> Ballot {
        self.promised
    }

    pub(super) fn installed(&self) -> Option<&Installation> {
        self.installed.as_ref()
    }

    pub(super) fn successors(&self) -> &[Configuration] {
        &self.successors
    }

    pub(super) fn pins(&self) -> &PinTable {
        &self.pins
    }

    pub(super) fn pins_mut(&mut self) -> &mut PinTable {
        &mut self.pins
    }

    /// Starts with the first generation. There are no earlier pins: its replicas have complete,
    /// empty copies, and other nodes only record which nodes are replicas.
    pub(super) fn bootstrap(&mut self, node: NodeId, installation: Installation) {
        if installation.configuration.replicas.contains(&node) {
            self.installed = Some(installation);
        } else {
            self.add_successor(&installation.configuration);
        }
    }

    /// Promises to reject ballots below that of the request.
    pub(super) fn prepare(
        &mut self,
        request: &PrepareRequest,
    ) -> Result<ReplicaPromise, BallotRejected> {
        if request.ballot < self.promised {
            return Err(self.rejection());
        }
        self.promised = request.ballot;
        let promise = ReplicaPromise {
            group: request.group,
            ballot: request.ballot,
            accepted: self.accepted,
            installed: self.installed.clone(),
            successors: self.successors.clone(),
        };
        self.add_successor(&request.configuration);
        Ok(promise)
    }

    /// Applies a batch, or stores it until the earlier ones have arrived. Returns the position
    /// reached in the log of the batch's ballot.
    pub(super) fn accept(
        &mut self,
        now: Timestamp,
        batch: PinBatch,
        check_ballot: bool,
    ) -> Result<LogPosition, BallotRejected> {
        if batch.ballot < self.promised {
            return match check_ballot {
                true => Err(self.rejection()),
                false => Ok(batch.position()),
            };
        }
        self.promised = self.promised.max(batch.ballot);
        let ballot = batch.ballot;
        self.reset_for_ballot(ballot);
        if batch.sequence > self.incoming.sequence
            && self.incoming.early_batches.len() < MAX_EARLY_BATCHES
        {
            self.incoming.early_batches.insert(batch.sequence, batch);
        }
        while let Some(batch) = self
            .incoming
            .early_batches
            .remove(&(self.incoming.sequence + 1))
        {
            self.apply(now, batch);
        }
        let sequence = self.incoming.sequence;
        Ok(LogPosition { ballot, sequence })
    }

    /// Installs `pins` as this node's own complete copy at `position`.
    pub(super) fn install_own_copy(
        &mut self,
        position: LogPosition,
        installation: Installation,
        pins: PinTable,
    ) {
        self.pins = pins;
        self.accepted = position;
        self.set_installed(installation);
    }

    /// Records that the owner's own copy has applied batch `sequence`.
    pub(super) fn advance(&mut self, sequence: u64) {
        self.accepted.sequence = sequence;
    }

    /// Removes the copy after newer replicas have stored it.
    pub(super) fn retire(&mut self, newer: &Configuration) {
        self.pins = PinTable::default();
        self.incoming = IncomingCopy::default();
        self.installed = None;
        self.add_successor(newer);
    }

    fn rejection(&self) -> BallotRejected {
        BallotRejected {
            promised: self.promised,
        }
    }

    fn reset_for_ballot(&mut self, ballot: Ballot) {
        if self.incoming.ballot == ballot {
            return;
        }
        self.incoming = IncomingCopy {
            ballot,
            ..IncomingCopy::default()
        };
    }

    fn apply(&mut self, now: Timestamp, batch: PinBatch) {
        let position = batch.position();
        self.incoming.sequence = batch.sequence;
        if self.accepted.ballot == batch.ballot {
            self.pins.apply(now, &batch.runs, &batch.marks);
            self.accepted.sequence = batch.sequence;
            return;
        }
        self.incoming.pins.apply(now, &batch.runs, &batch.marks);
        let Some(installation) = batch.installation else {
            return;
        };
        self.pins = std::mem::take(&mut self.incoming.pins);
        self.accepted = position;
        self.set_installed(*installation);
    }

    fn set_installed(&mut self, installation: Installation) {
        let generation = installation.configuration.generation;
        self.successors
            .retain(|successor| successor.generation > generation);
        self.installed = Some(installation);
    }

    fn add_successor(&mut self, configuration: &Configuration) {
        let installed = self.installed.as_ref().map(|copy| &copy.configuration);
        if installed == Some(configuration) || self.successors.contains(configuration) {
            return;
        }
        if self.successors.len() == MAX_SUCCESSOR_CONFIGURATIONS {
            self.successors.remove(0);
        }
        self.successors.push(configuration.clone());
    }
}
