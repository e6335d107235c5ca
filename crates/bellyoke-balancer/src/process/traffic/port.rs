//! How other threads reach a traffic thread.

use bellyoke_core::flow::FlowPlace;
use bellyoke_core::identity::BackendId;
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use mio::Waker;
use std::io;
use std::sync::Arc;

/// What a traffic thread is told.
#[derive(Clone, Debug)]
pub enum WorkerCommand {
    /// A packet of one of its flows, received by another traffic thread.
    Packet(Vec<u8>),
    /// Where a flow is.
    Learn {
        /// The flow.
        place: FlowPlace,
        /// Its backend.
        backend: BackendId,
    },
}

/// The thread's queue is full; the command was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the queue of the traffic thread is full")]
pub struct WorkerPortFull;

/// The sending end of a traffic thread's queue.
#[derive(Clone, Debug)]
pub struct WorkerPort {
    commands: Sender<WorkerCommand>,
    waker: Arc<Waker>,
}

impl WorkerPort {
    /// A queue of at most `capacity` commands.
    #[must_use]
    pub fn new(capacity: usize, waker: Waker) -> (Self, Receiver<WorkerCommand>) {
        let (commands, inbox) = bounded(capacity);
        let port = Self {
            commands,
            waker: Arc::new(waker),
        };
        (port, inbox)
    }

    /// Queues a command, without waking the thread.
    ///
    /// # Errors
    ///
    /// [`WorkerPortFull`] if the queue is full, or the thread has ended.
    pub fn queue(&self, command: WorkerCommand) -> Result<(), WorkerPortFull> {
        self.commands
            .try_send(command)
            .map_err(|error| match error {
                TrySendError::Full(_) | TrySendError::Disconnected(_) => WorkerPortFull,
            })
    }

    /// Wakes the thread, so that it looks at its queue and at what is shared.
    ///
    /// # Errors
    ///
    /// If the kernel's event counter cannot be written.
    pub fn wake(&self) -> io::Result<()> {
        self.waker.wake()
    }
}
