//! Keeps what a node sends for control within a number of bytes a second.
//!
//! A token bucket with priorities. Leases and probes, whose cost is constant, go first; of the
//! rest, the less urgent gets a fixed share, so that it is never starved. What doesn't fit waits; only when a queue is full
//! is its oldest message given up, and counted: every sender of such messages sends again.

use crate::identity::NodeId;
use crate::node::message::{MessageBody, datagram_overhead};
use crate::time::Timestamp;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Messages that may wait in each priority.
const MAXIMUM_QUEUED_MESSAGES: usize = 256;

/// After this many messages of agreement, one of bulk may go.
const AGREEMENT_MESSAGES_PER_BULK: u32 = 3;

const MICROSECONDS_PER_SECOND: u64 = 1_000_000;

/// What is sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Renewals of leases and their answers.
    Lease,
    /// Probes of members.
    Probe,
    /// Acknowledgements, barriers and contents of generations.
    Agreement,
    /// Claims, pins and handover lists.
    Ownership,
    /// Full member states.
    Bulk,
}

const PRIORITY_COUNT: usize = 5;

/// A message that is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Transmission {
    /// The receiver, if its identity is known.
    pub to: Option<NodeId>,
    /// Its peer socket.
    pub address: SocketAddr,
    /// How urgent it is.
    pub priority: Priority,
    /// What to say.
    pub body: MessageBody,
}

/// What a budget has counted since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetCounters {
    /// Bytes sent, headers included.
    pub sent_bytes: u64,
    /// Messages sent.
    pub sent_messages: u64,
    /// Messages that had to wait.
    pub deferred: u64,
    /// Messages given up because too many waited.
    pub overflowed: u64,
}

#[derive(Debug)]
struct Queued {
    transmission: Transmission,
    cost: u64,
    deferred: bool,
}

/// The token bucket and the messages that wait for it.
#[derive(Debug)]
pub struct Budget {
    rate: u64,
    capacity: u64,
    tokens: u64,
    refilled_at: Timestamp,
    queues: [VecDeque<Queued>; PRIORITY_COUNT],
    messages_since_bulk: u32,
    counters: BudgetCounters,
}

impl Budget {
    /// A budget of `rate` bytes a second. What isn't used is saved for up to `burst`, so
    /// that a change of the configuration, which costs much at once and comes seldom, need
    /// not wait.
    #[must_use]
    pub fn new(rate: u32, burst: Duration) -> Self {
        let rate = u64::from(rate);
        let burst = u64::try_from(burst.as_micros()).unwrap_or(u64::MAX);
        let capacity = rate.saturating_mul(burst);
        Self {
            rate,
            capacity,
            tokens: capacity,
            refilled_at: Timestamp::ZERO,
            queues: Default::default(),
            messages_since_bulk: 0,
            counters: BudgetCounters::default(),
        }
    }

    /// Counters since the start.
    #[must_use]
    pub fn counters(&self) -> BudgetCounters {
        self.counters
    }

    /// Lets `transmission`, whose message has `length` bytes, wait for its turn. An equal
    /// one that waits already is enough.
    pub fn push(&mut self, transmission: Transmission, length: usize) {
        let queue = &mut self.queues[transmission.priority as usize];
        if queue
            .iter()
            .any(|queued| queued.transmission == transmission)
        {
            return;
        }
        if queue.len() >= MAXIMUM_QUEUED_MESSAGES {
            queue.pop_front();
            self.counters.overflowed += 1;
        }
        let overhead = datagram_overhead(transmission.address);
        queue.push_back(Queued {
            transmission,
            cost: (length + overhead) as u64,
            deferred: false,
        });
    }

    /// Takes what may be sent now.
    pub fn drain(&mut self, now: Timestamp) -> Vec<Transmission> {
        self.refill(now);
        let mut ready = Vec::new();
        while let Some(queued) = self.pop_affordable() {
            ready.push(queued.transmission);
        }
        self.mark_deferred();
        ready
    }

    /// When the next waiting message can be sent.
    #[must_use]
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let head = self.queues[self.next_queue()?].front()?;
        let missing = (head.cost * MICROSECONDS_PER_SECOND).saturating_sub(self.tokens);
        let wait = missing.div_ceil(self.rate);
        Some(self.refilled_at.after(Duration::from_micros(wait)))
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.refilled_at).as_micros();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        let earned = elapsed.saturating_mul(self.rate);
        self.tokens = self.tokens.saturating_add(earned).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// The queue whose head is to be sent next.
    fn next_queue(&self) -> Option<usize> {
        let (agreement, bulk) = (Priority::Agreement as usize, Priority::Bulk as usize);
        let first = self.queues.iter().position(|queue| !queue.is_empty())?;
        let bulk_is_due = self.messages_since_bulk >= AGREEMENT_MESSAGES_PER_BULK
            && !self.queues[bulk].is_empty();
        Some(if first >= agreement && bulk_is_due {
            bulk
        } else {
            first
        })
    }

    fn pop_affordable(&mut self) -> Option<Queued> {
        let index = self.next_queue()?;
        let cost = self.queues[index].front()?.cost;
        self.tokens = self.tokens.checked_sub(cost * MICROSECONDS_PER_SECOND)?;
        self.counters.sent_bytes += cost;
        self.counters.sent_messages += 1;
        if index == Priority::Bulk as usize {
            self.messages_since_bulk = 0;
        } else if index >= Priority::Agreement as usize {
            self.messages_since_bulk += 1;
        }
        self.queues[index].pop_front()
    }

    fn mark_deferred(&mut self) {
        for queued in self.queues.iter_mut().flatten() {
            if !queued.deferred {
                queued.deferred = true;
                self.counters.deferred += 1;
            }
        }
    }
}
