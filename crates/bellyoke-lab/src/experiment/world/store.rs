//! The platform's store: operators' objects by version, and the one generation object.

use super::World;
use super::event::Event;
use super::network::NodeIndex;
use crate::experiment::strategy::{BackendEntry, BackendIndex, PublishOutcome, StoreContent};
use bellyoke_core::generation::Generation;
use bellyoke_core::time::Timestamp;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;

/// Port of all services in the world.
pub const SERVICE_PORT: u16 = 80;
/// How long the store takes for a read or a write.
const STORE_DELAY: Duration = Duration::from_millis(5);
/// How long a writer waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The platform's store.
#[derive(Debug, Default)]
pub struct Store {
    content: Option<Arc<StoreContent>>,
    accepted: Vec<Timestamp>,
    generation: Option<Arc<Generation>>,
    /// Until when it answers nobody.
    pub down_until: Timestamp,
    /// Until when it answers late.
    pub slow_until: Timestamp,
    /// How late.
    pub slow_delay: Duration,
    /// Whether the next write's answer is lost.
    pub lose_answer: bool,
}

impl Store {
    /// When the content of version `revision` was accepted.
    #[must_use]
    pub fn accepted_at(&self, revision: u64) -> Option<Timestamp> {
        let index = usize::try_from(revision).ok()?.checked_sub(1)?;
        self.accepted.get(index).copied()
    }

    fn delay(&self, now: Timestamp) -> Duration {
        if self.slow_until > now {
            self.slow_delay
        } else {
            STORE_DELAY
        }
    }
}

impl World<'_> {
    /// Accepts the operators' objects as they stand and shows them to readers.
    pub(super) fn publish_objects(&mut self) {
        let revision = self.store.accepted.len() as u64 + 1;
        let backends = self
            .backends
            .iter()
            .enumerate()
            .filter(|(_, backend)| backend.alive)
            .map(|(index, backend)| BackendEntry {
                index: BackendIndex(index as u32),
                uid: backend.uid.clone(),
                service: backend.service,
                drain: backend.draining,
                zone: backend.zone_name.clone(),
            })
            .collect();
        self.store.content = Some(Arc::new(StoreContent { revision, backends }));
        self.store.accepted.push(self.now);
        for node in self.strategy.readers() {
            self.show_store_to(node);
        }
    }

    /// Shows a reader the store's content, later to some than to others.
    pub(super) fn show_store_to(&mut self, node: NodeIndex) {
        if !self.strategy.readers().contains(&node) {
            return;
        }
        let Some(content) = self.store.content.clone() else {
            return;
        };
        let spread = self.experiment.cluster.update_spread_milliseconds;
        let late = if self.now == Timestamp::ZERO {
            0
        } else {
            self.random.random_range(0..=spread)
        };
        let available = self.now.max(self.store.down_until);
        let at = available.after(self.store.delay(self.now) + Duration::from_millis(late.into()));
        self.queue.schedule(at, Event::StoreRead { node, content });
        if let Some(generation) = self.store.generation.clone() {
            let outcome = PublishOutcome::Conflict(Arc::clone(&generation));
            let event = Event::StoreAnswer {
                node,
                generation,
                outcome,
            };
            self.queue.schedule(at, event);
        }
    }

    pub(super) fn store_read(&mut self, node: NodeIndex, content: Arc<StoreContent>) {
        if !self.node(node).alive {
            return;
        }
        if self.node(node).paused_until > self.now {
            let thaw = self.node(node).paused_until;
            self.queue
                .schedule(thaw, Event::StoreRead { node, content });
            return;
        }
        self.strategy
            .store_read(self.now, node, &content, &mut self.effects);
    }

    pub(super) fn write_to_store(&mut self, node: NodeIndex, generation: Arc<Generation>) {
        if self.store.down_until > self.now {
            let event = Event::StoreAnswer {
                node,
                generation,
                outcome: PublishOutcome::Unknown,
            };
            self.queue.schedule(self.now.after(ANSWER_TIMEOUT), event);
            return;
        }
        let delay = self.store.delay(self.now);
        self.queue.schedule(
            self.now.after(delay),
            Event::StoreWrite { node, generation },
        );
    }

    /// Shows a writer the newest generation, if the store answers.
    pub(super) fn read_back(&mut self, node: NodeIndex) {
        if self.store.down_until > self.now {
            return;
        }
        let Some(generation) = self.store.generation.clone() else {
            return;
        };
        let delay = self.store.delay(self.now);
        let event = Event::StoreAnswer {
            node,
            outcome: PublishOutcome::Conflict(Arc::clone(&generation)),
            generation,
        };
        self.queue.schedule(self.now.after(delay), event);
    }

    pub(super) fn store_write(&mut self, node: NodeIndex, generation: Arc<Generation>) {
        let expected = self
            .store
            .generation
            .as_ref()
            .map_or(1, |current| current.number.0 + 1);
        let accepted = generation.number.0 == expected;
        let mut outcome = PublishOutcome::Accepted;
        if accepted {
            self.store.generation = Some(Arc::clone(&generation));
            self.show_generation_to_others(node, &generation);
        } else if let Some(current) = self.store.generation.clone() {
            outcome = PublishOutcome::Conflict(current);
        }
        let mut wait = self.store.delay(self.now);
        if accepted && std::mem::take(&mut self.store.lose_answer) {
            outcome = PublishOutcome::Unknown;
            wait = ANSWER_TIMEOUT;
        }
        self.queue.schedule(
            self.now.after(wait),
            Event::StoreAnswer {
                node,
                generation,
                outcome,
            },
        );
    }

    fn show_generation_to_others(&mut self, writer: NodeIndex, generation: &Arc<Generation>) {
        for reader in self.strategy.readers() {
            if reader == writer {
                continue;
            }
            let event = Event::StoreAnswer {
                node: reader,
                generation: Arc::clone(generation),
                outcome: PublishOutcome::Conflict(Arc::clone(generation)),
            };
            let delay = self.store.delay(self.now);
            self.queue.schedule(self.now.after(delay), event);
        }
    }

    pub(super) fn store_answer(
        &mut self,
        node: NodeIndex,
        generation: &Arc<Generation>,
        outcome: PublishOutcome,
    ) {
        if !self.node(node).alive {
            return;
        }
        self.strategy
            .publish_answered(self.now, node, generation, outcome, &mut self.effects);
    }
}
