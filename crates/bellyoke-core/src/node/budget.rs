//! Limits the control traffic of a node to a number of bytes per second.
//!
//! The limit is a token bucket with priorities. Leases and probes have a constant cost and are
//! sent first. Among the remaining priorities, bulk messages get a fixed share, which prevents
//! their starvation. Messages that exceed the budget are queued. When a queue is full, its oldest
//! message is dropped and counted; its sender will send it again.

use crate::identity::NodeId;
use crate::node::message::{MessageBody, datagram_overhead};
use crate::time::Timestamp;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of queued messages of each priority.
const MAXIMUM_QUEUED_MESSAGES: usize = 256;

/// Messages of the priorities from [`Priority::Agreement`] on that are sent for each bulk message
/// while bulk messages are queued.
const AGREEMENT_MESSAGES_PER_BULK: u32 = 3;

const MICROSECONDS_PER_SECOND: u64 = 1_000_000;

/// Priority of a message, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Lease renewals and grants.
    Lease,
    /// Probes of members and their answers.
    Probe,
    /// Acknowledgements, barriers and transfers of generations.
    Agreement,
    /// Claims, pins and handover lists.
    Ownership,
    /// Full member states.
    Bulk,
}

const PRIORITY_COUNT: usize = 5;

/// A message to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Transmission {
    /// The receiver, if its node ID is known.
    pub to: Option<NodeId>,
    /// Address of its peer socket.
    pub address: SocketAddr,
    /// Priority of the message.
    pub priority: Priority,
    /// Content of the message.
    pub body: MessageBody,
}

/// Counters of a budget since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetCounters {
    /// Bytes sent, headers included.
    pub sent_bytes: u64,
    /// Messages sent.
    pub sent_messages: u64,
    /// Messages that were queued because of the budget.
    pub deferred: u64,
    /// Messages dropped because a queue was full.
    pub overflowed: u64,
}

#[derive(Debug)]
struct Queued {
    transmission: Transmission,
    cost: u64,
    deferred: bool,
}

/// Token bucket and queues of messages.
///
/// Tokens are counted in millionths of a byte, which makes refilling exact in microseconds.
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
    /// Returns a budget of `rate` bytes per second. Unused budget is saved for up to `burst`,
    /// since configuration changes are rare but need many messages at once.
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

    /// Returns the counters since the process started.
    #[must_use]
    pub fn counters(&self) -> BudgetCounters {
        self.counters
    }

    /// Queues `transmission`, whose encoded message has `length` bytes, unless an equal one is
    /// queued already.
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

    /// Removes and returns the messages that may be sent now.
    pub fn drain(&mut self, now: Timestamp) -> Vec<Transmission> {
        self.refill(now);
        let mut ready = Vec::new();
        while let Some(queued) = self.pop_affordable() {
            ready.push(queued.transmission);
        }
        self.mark_deferred();
        ready
    }

    /// Returns the time at which the next queued message can be sent.
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

    /// Returns the index of the queue to send from next.
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
