//! The task of a node that reads the store: follows services, backends and the generation,
//! and publishes the next generation when one is due.

use super::publisher::{Publisher, PublisherError, PublisherInput};
use bellyoke_api::event_code::EventCode;
use bellyoke_core::generation::{DesiredState, Generation, UnreadableObjects};
use bellyoke_core::identity::{GenerationNumber, NodeId};
use bellyoke_core::node::Proposal;
use bellyoke_kube::store::{
    DesiredState as StoredObjects, OperationId, PublishOutcome, Store, StoreError, StoredGeneration,
};
use bellyoke_process::log::log_event;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};

/// How much later each next node in rank publishes, so that one is usually first.
const RANK_DELAY: Duration = Duration::from_millis(150);

/// Ranks beyond this one publish no later than it.
const LAST_RANK: u32 = 4;

/// Longest random delay, milliseconds.
const JITTER_MILLISECONDS: u64 = 100;

/// Shortest wait after the store could not be used; doubled each time.
const FIRST_RETRY: Duration = Duration::from_millis(200);

/// Longest wait after the store could not be used.
const LAST_RETRY: Duration = Duration::from_secs(10);

/// What the control loop asks of the store.
#[derive(Clone, Debug)]
pub enum StoreCommand {
    /// The state machine wants a new generation.
    Propose {
        /// The change.
        proposal: Proposal,
        /// The newest generation that the node knew.
        known: GenerationNumber,
    },
}

/// What the store tells the control loop.
#[derive(Clone, Debug)]
pub enum StoreEvent {
    /// The store holds this generation.
    Generation(Arc<Generation>),
}

/// What the task needs to know of its node.
#[derive(Clone, Debug)]
pub struct ReaderSettings {
    /// The process.
    pub node: NodeId,
    /// Seed of the flow hash, if this node founds the cluster.
    pub flow_hash_seed: u64,
}

/// Follows the store until the control loop is gone.
pub async fn run_reader(
    store: Arc<dyn Store>,
    settings: ReaderSettings,
    commands: mpsc::Receiver<StoreCommand>,
    events: mpsc::Sender<StoreEvent>,
) {
    let reader = Reader {
        publisher: Publisher::new(settings.flow_hash_seed),
        store,
        settings,
        events,
        publish_at: None,
        retry: FIRST_RETRY,
        unreachable: false,
        told: Vec::new(),
    };
    reader.run(commands).await;
}

struct Reader {
    store: Arc<dyn Store>,
    settings: ReaderSettings,
    publisher: Publisher,
    events: mpsc::Sender<StoreEvent>,
    publish_at: Option<Instant>,
    retry: Duration,
    unreachable: bool,
    /// Problems of objects that were logged.
    told: Vec<String>,
}

impl Reader {
    async fn run(mut self, mut commands: mpsc::Receiver<StoreCommand>) {
        let mut objects = self.store.watch_objects();
        let mut generations = self.store.watch_generation();
        self.read_current().await;
        loop {
            let due = self.publish_at;
            tokio::select! {
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    self.publish().await;
                }
                command = commands.recv() => match command {
                    Some(StoreCommand::Propose { proposal, known }) => {
                        self.publisher.input(PublisherInput::Proposal { proposal, known });
                        self.schedule();
                    }
                    None => return,
                },
                state = objects.next() => match state {
                    Some(state) => self.take_objects(&state),
                    None => return,
                },
                stored = generations.next() => match stored {
                    Some(stored) => self.take_stored(&stored).await,
                    None => return,
                },
            }
        }
    }

    /// Reads the store's generation, however long that takes: without it, nothing is published.
    async fn read_current(&mut self) {
        loop {
            match self.store.current_generation().await {
                Ok(Some(stored)) => {
                    self.reached();
                    self.take_stored(&stored).await;
                    return;
                }
                Ok(None) => return self.reached(),
                Err(error) => self.wait_out(&error).await,
            }
        }
    }

    fn take_objects(&mut self, state: &StoredObjects) {
        let invalid = state.invalid.iter().map(ToString::to_string);
        self.tell_problems(invalid.collect());
        self.publisher
            .input(PublisherInput::Objects(desired_state(state)));
        self.schedule();
    }

    async fn take_stored(&mut self, stored: &StoredGeneration) {
        match self.publisher.stored(stored) {
            Ok(None) => {}
            Ok(Some(generation)) => {
                // The receiver only goes away when the process ends.
                let _ = self.events.send(StoreEvent::Generation(generation)).await;
                self.schedule();
            }
            Err(error) => log_event(EventCode::ObjectRejected, error),
        }
    }

    /// Plans to publish, if nothing is planned yet.
    fn schedule(&mut self) {
        if self.publish_at.is_none() {
            let jitter = rand::random::<u64>() % JITTER_MILLISECONDS;
            let delay = RANK_DELAY * self.rank() + Duration::from_millis(jitter);
            self.publish_at = Some(Instant::now() + delay);
        }
    }

    /// How many members come before this node. One that is no member yet lets all others go
    /// first.
    fn rank(&self) -> u32 {
        let Some(generation) = self.publisher.current() else {
            return 0;
        };
        let members = &generation.members;
        let position = members
            .iter()
            .position(|member| member.node == self.settings.node);
        let rank = position.unwrap_or(members.len());
        u32::try_from(rank).unwrap_or(LAST_RANK).min(LAST_RANK)
    }

    async fn publish(&mut self) {
        self.publish_at = None;
        let operation = OperationId::random(&mut rand::rng());
        let request = match self.publisher.next(operation) {
            Ok(Some(request)) => request,
            Ok(None) => return self.tell_compile_problems(),
            Err(PublisherError::Compile(error)) => return log_event(EventCode::StaleRead, error),
            Err(error) => return log_event(EventCode::ObjectRejected, error),
        };
        self.tell_compile_problems();
        match self.store.publish(request).await {
            Ok(PublishOutcome::Accepted(stored)) => {
                self.reached();
                log_event(EventCode::GenerationPublished, stored.number);
                self.take_stored(&stored).await;
            }
            Ok(PublishOutcome::Conflict(stored)) => {
                self.reached();
                log_event(EventCode::PublishConflict, stored.number);
                self.take_stored(&stored).await;
                self.schedule();
            }
            Ok(PublishOutcome::Unknown) => {
                self.read_current().await;
                self.schedule();
            }
            Err(error) => {
                self.wait_out(&error).await;
                self.schedule();
            }
        }
    }

    fn reached(&mut self) {
        self.retry = FIRST_RETRY;
        if std::mem::take(&mut self.unreachable) {
            log_event(EventCode::StoreReachable, "the store");
        }
    }

    async fn wait_out(&mut self, error: &StoreError) {
        if !std::mem::replace(&mut self.unreachable, true) {
            log_event(EventCode::StoreUnreachable, error);
        }
        let jitter = Duration::from_millis(rand::random::<u64>() % JITTER_MILLISECONDS);
        sleep(self.retry + jitter).await;
        self.retry = (self.retry * 2).min(LAST_RETRY);
    }

    fn tell_compile_problems(&mut self) {
        let problems = self.publisher.problems().iter().map(ToString::to_string);
        self.tell_problems(problems.collect());
    }

    /// Logs each problem once, as long as it lasts.
    fn tell_problems(&mut self, problems: Vec<String>) {
        for problem in &problems {
            if !self.told.contains(problem) {
                log_event(EventCode::ObjectRejected, problem);
                self.told.push(problem.clone());
            }
        }
    }
}

/// The objects as the core takes them: those that are invalid stay in force as they were.
fn desired_state(state: &StoredObjects) -> DesiredState {
    let names = |kind: &str| {
        let invalid = state.invalid.iter().filter(|object| object.kind == kind);
        invalid.map(|object| object.name.clone()).collect()
    };
    DesiredState {
        services: state.services.clone(),
        backends: state.backends.clone(),
        revision: state.revision,
        unreadable: UnreadableObjects {
            services: names("Service"),
            backends: names("Backend"),
        },
    }
}
