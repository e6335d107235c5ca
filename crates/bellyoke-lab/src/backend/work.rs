//! The slots of a backend and the bounded queue before them.

use std::collections::VecDeque;

use smoltcp::time::{Duration, Instant};

/// A connection of the backend, numbered from the process's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What became of work that asked for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It waits for a slot; a free one is taken at the next [`WorkQueue::advance`].
    Queued,
    /// The queue is full: it will not run.
    Shed,
}

/// What became of admitted work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkEvent {
    /// It took a slot: from now on it has run.
    Started(ConnectionId),
    /// It left its slot.
    Finished(ConnectionId),
    /// Its deadline passed before a slot was free: it will not run.
    Expired(ConnectionId),
}

/// What a cancellation met.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancellation {
    /// The work had not started, and never will.
    BeforeStart,
    /// The work was in a slot, which is free now.
    WhileRunning,
    /// There was no such work.
    Unknown,
}

#[derive(Debug, Clone, Copy)]
struct Running {
    connection: ConnectionId,
    ends: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    connection: ConnectionId,
    deadline: Option<Instant>,
}

/// Slots and the queue before them.
#[derive(Debug)]
pub struct WorkQueue {
    slots: usize,
    queue_limit: usize,
    running: Vec<Running>,
    waiting: VecDeque<Waiting>,
}

impl WorkQueue {
    /// Creates a queue of `queue_limit` places before `slots` slots.
    #[must_use]
    pub fn new(slots: usize, queue_limit: usize) -> Self {
        Self {
            slots,
            queue_limit,
            running: Vec::with_capacity(slots),
            waiting: VecDeque::new(),
        }
    }

    /// Asks for a slot.
    pub fn admit(&mut self, connection: ConnectionId, deadline: Option<Instant>) -> Admission {
        let free_slots = self.slots - self.running.len();
        if self.waiting.len() >= self.queue_limit + free_slots {
            return Admission::Shed;
        }
        self.waiting.push_back(Waiting {
            connection,
            deadline,
        });
        Admission::Queued
    }

    /// Ends and starts what is due; work that starts now takes `work_time`.
    pub fn advance(&mut self, now: Instant, work_time: Duration) -> Vec<WorkEvent> {
        let mut events = self.finish_due(now);
        events.extend(self.expire_due(now));
        events.extend(self.start_waiting(now, work_time));
        events
    }

    /// Withdraws the work of a connection that went away.
    pub fn cancel(&mut self, connection: ConnectionId) -> Cancellation {
        if let Some(index) = self
            .waiting
            .iter()
            .position(|work| work.connection == connection)
        {
            self.waiting.remove(index);
            return Cancellation::BeforeStart;
        }
        if let Some(index) = self
            .running
            .iter()
            .position(|work| work.connection == connection)
        {
            self.running.swap_remove(index);
            return Cancellation::WhileRunning;
        }
        Cancellation::Unknown
    }

    /// Slots that are taken.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.running.len()
    }

    /// Work that waits for a slot.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// When [`Self::advance`] next has something to do.
    #[must_use]
    pub fn next_event(&self) -> Option<Instant> {
        let ends = self.running.iter().map(|work| work.ends);
        let deadlines = self.waiting.iter().filter_map(|work| work.deadline);
        ends.chain(deadlines).min()
    }

    fn finish_due(&mut self, now: Instant) -> Vec<WorkEvent> {
        let finished = self.running.extract_if(.., |work| work.ends <= now);
        finished
            .map(|work| WorkEvent::Finished(work.connection))
            .collect()
    }

    fn expire_due(&mut self, now: Instant) -> Vec<WorkEvent> {
        let mut expired = Vec::new();
        self.waiting.retain(|work| {
            let is_late = work.deadline.is_some_and(|deadline| deadline <= now);
            if is_late {
                expired.push(WorkEvent::Expired(work.connection));
            }
            !is_late
        });
        expired
    }

    fn start_waiting(&mut self, now: Instant, work_time: Duration) -> Vec<WorkEvent> {
        let mut started = Vec::new();
        while self.running.len() < self.slots {
            let Some(work) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(Running {
                connection: work.connection,
                ends: now + work_time,
            });
            started.push(WorkEvent::Started(work.connection));
        }
        started
    }
}
