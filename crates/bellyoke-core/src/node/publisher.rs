//! Publication of the next generation in the store.
//!
//! Every reader of the store may publish. All readers observe a change at about the same time, so
//! each waits for a short random delay. The first one writes, and the others then find nothing
//! left to change. The store resolves concurrent writes, since it accepts a generation only if it
//! follows the current one. If an answer is lost, the newest generation is read back; a generation
//! with the same number but another digest means that this write was not accepted.

use crate::flow::SettledBucket;
use crate::generation::{
    ClusterParameters, CompileError, DesiredState, Generation, MemberObject, Problem, compile,
};
use crate::identity::GenerationNumber;
use crate::node::Proposal;
use crate::time::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Settings of a publisher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublisherSettings {
    /// Fixed parameters of the cluster.
    pub parameters: ClusterParameters,
    /// Maximum random delay before a write.
    pub maximum_write_delay: Duration,
    /// Delay after a write with an unknown outcome. It doubles each time.
    pub initial_backoff: Duration,
    /// Maximum delay after a write with an unknown outcome.
    pub maximum_backoff: Duration,
}

impl PublisherSettings {
    /// Returns settings for a store that answers within milliseconds.
    #[must_use]
    pub const fn new(parameters: ClusterParameters) -> Self {
        Self {
            parameters,
            maximum_write_delay: Duration::from_millis(100),
            initial_backoff: Duration::from_millis(200),
            maximum_backoff: Duration::from_secs(10),
        }
    }
}

/// Input of a publisher.
#[derive(Clone, Debug)]
pub enum PublisherInput {
    /// The operators' objects currently in the store.
    Objects(DesiredState),
    /// A generation in the store. It is ignored unless it is newer than the newest known one.
    Stored(Arc<Generation>),
    /// The node proposes a change.
    Proposed(Proposal),
    /// The outcome of the write in flight.
    Answered(WriteOutcome),
    /// The time returned by [`Publisher::next_timeout`] has been reached.
    Timeout,
}

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The store contains the generation.
    Accepted,
    /// The store contains this generation instead.
    Conflict(Arc<Generation>),
    /// There is no answer, or the answer doesn't show whether the write took effect.
    Unknown,
}

/// Output of a publisher.
#[derive(Clone, Debug)]
pub enum PublisherOutput {
    /// Writes this generation on condition that the store contains the preceding one. The caller
    /// answers with [`PublisherInput::Answered`].
    Write(Arc<Generation>),
    /// Reads the newest generation in the store. The caller answers with
    /// [`PublisherInput::Stored`].
    ReadBack,
    /// The store contains this generation, to be passed to the node.
    Published(Arc<Generation>),
    /// Objects that cannot be served as written.
    Problems(Vec<Problem>),
    /// The current objects and members cannot be compiled into a generation.
    Failed(CompileError),
}

/// Publishes generations for one reader of the store.
#[derive(Debug)]
pub struct Publisher {
    settings: PublisherSettings,
    random: ChaCha8Rng,
    desired: Option<DesiredState>,
    members: Option<Vec<MemberObject>>,
    settled: BTreeSet<SettledBucket>,
    newest: Option<Arc<Generation>>,
    in_flight: Option<Arc<Generation>>,
    next_action_at: Option<Timestamp>,
    backoff: Duration,
    reading_back: bool,
    outputs: Vec<PublisherOutput>,
}

impl Publisher {
    /// Returns a publisher without any data. Its random delays derive from `seed`.
    #[must_use]
    pub fn new(settings: PublisherSettings, seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            desired: None,
            members: None,
            settled: BTreeSet::new(),
            newest: None,
            in_flight: None,
            next_action_at: None,
            backoff: settings.initial_backoff,
            reading_back: false,
            settings,
            outputs: Vec::new(),
        }
    }

    /// Processes `input` at `now` and returns the actions for the caller.
    pub fn handle(&mut self, now: Timestamp, input: PublisherInput) -> Vec<PublisherOutput> {
        match input {
            PublisherInput::Objects(desired) => self.handle_objects(now, desired),
            PublisherInput::Stored(generation) => self.handle_stored(now, generation),
            PublisherInput::Proposed(proposal) => self.handle_proposal(now, proposal),
            PublisherInput::Answered(outcome) => self.handle_outcome(now, outcome),
            PublisherInput::Timeout => self.handle_timeout(now),
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns the time at which [`PublisherInput::Timeout`] is due.
    #[must_use]
    pub const fn next_timeout(&self) -> Option<Timestamp> {
        self.next_action_at
    }

    /// Returns the newest generation known to be in the store.
    #[must_use]
    pub const fn newest(&self) -> Option<&Arc<Generation>> {
        self.newest.as_ref()
    }

    fn handle_objects(&mut self, now: Timestamp, desired: DesiredState) {
        let is_older = self.desired.as_ref().is_some_and(|known| {
            desired.revision.services < known.revision.services
                || desired.revision.backends < known.revision.backends
        });
        if is_older {
            return;
        }
        self.desired = Some(desired);
        self.schedule_write(now);
    }

    fn handle_stored(&mut self, now: Timestamp, generation: Arc<Generation>) {
        let answers_read_back = std::mem::take(&mut self.reading_back);
        if answers_read_back {
            self.in_flight = None;
        }
        self.record_newest(&generation);
        if answers_read_back || self.in_flight.is_none() {
            self.schedule_write(now);
        }
    }

    fn handle_proposal(&mut self, now: Timestamp, proposal: Proposal) {
        match proposal {
            Proposal::Members(members) => self.members = Some(members),
            Proposal::MarkClean {
                generation,
                buckets,
            } => {
                if self.newest_number() != Some(generation) {
                    return;
                }
                self.settled.extend(buckets);
            }
        }
        self.schedule_write(now);
    }

    fn handle_outcome(&mut self, now: Timestamp, outcome: WriteOutcome) {
        let Some(written) = self.in_flight.take() else {
            return;
        };
        match outcome {
            WriteOutcome::Accepted => {
                self.backoff = self.settings.initial_backoff;
                self.record_newest(&written);
                self.schedule_write(now);
            }
            WriteOutcome::Conflict(newest) => {
                self.record_newest(&newest);
                self.schedule_write(now);
            }
            WriteOutcome::Unknown => {
                self.in_flight = Some(written);
                self.reading_back = true;
                self.next_action_at = Some(now.after(self.backoff));
                self.backoff = (self.backoff * 2).min(self.settings.maximum_backoff);
            }
        }
    }

    fn handle_timeout(&mut self, now: Timestamp) {
        if self.next_action_at.is_none_or(|at| at > now) {
            return;
        }
        self.next_action_at = None;
        if self.reading_back {
            self.outputs.push(PublisherOutput::ReadBack);
            self.next_action_at = Some(now.after(self.backoff));
            return;
        }
        self.write_if_changed();
    }

    fn write_if_changed(&mut self) {
        if self.in_flight.is_some() {
            return;
        }
        let Some(desired) = &self.desired else {
            return;
        };
        let Some(members) = self.members_to_publish() else {
            return;
        };
        let settled: Vec<SettledBucket> = self.settled.iter().copied().collect();
        let compiled = compile(
            self.newest.as_deref(),
            desired,
            &members,
            &settled,
            self.settings.parameters,
        );
        let compilation = match compiled {
            Ok(compilation) => compilation,
            Err(error) => {
                self.outputs.push(PublisherOutput::Failed(error));
                return;
            }
        };
        if !compilation.problems.is_empty() {
            self.outputs
                .push(PublisherOutput::Problems(compilation.problems));
        }
        if !compilation.changed {
            return;
        }
        let generation = Arc::new(compilation.generation);
        self.in_flight = Some(Arc::clone(&generation));
        self.outputs.push(PublisherOutput::Write(generation));
    }

    /// Returns the members last proposed, or else those of the newest generation. Without either,
    /// the cluster is not created.
    fn members_to_publish(&self) -> Option<Vec<MemberObject>> {
        let from_newest = || {
            let newest = self.newest.as_ref()?;
            let members = newest.members.iter().map(|member| MemberObject {
                node: member.node,
                zone: member.zone.clone(),
                peer_address: member.peer_address,
            });
            Some(members.collect())
        };
        self.members.clone().or_else(from_newest)
    }

    /// Records a generation in the store. Proposals made under an older one are discarded, as the
    /// node repeats those that still apply.
    fn record_newest(&mut self, generation: &Arc<Generation>) {
        if self.newest_number() >= Some(generation.number) {
            return;
        }
        self.newest = Some(Arc::clone(generation));
        self.settled.clear();
        self.members = None;
        self.outputs
            .push(PublisherOutput::Published(Arc::clone(generation)));
    }

    fn newest_number(&self) -> Option<GenerationNumber> {
        self.newest.as_ref().map(|newest| newest.number)
    }

    fn schedule_write(&mut self, now: Timestamp) {
        if self.reading_back || self.next_action_at.is_some() {
            return;
        }
        let maximum =
            u64::try_from(self.settings.maximum_write_delay.as_micros()).unwrap_or(u64::MAX);
        let wait = self.random.random_range(0..=maximum);
        self.next_action_at = Some(now.after(Duration::from_micros(wait)));
    }
}
