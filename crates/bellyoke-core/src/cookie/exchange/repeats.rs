//! Repetition of messages that must reach all nodes over lossy links.
//!
//! A message to a few random peers, which forward it once, misses some nodes: with a fan-out of `f`
//! and a fraction `p` of datagrams lost, a node gets no copy with a probability of about
//! `exp(-f * (1 - p))`, 6% for 3 and 0.08. Each node therefore sends it in `r` rounds, to other peers
//! each time, which lowers the probability to `exp(-r * f * (1 - p))`.

use crate::time::Timestamp;
use std::time::Duration;

/// Time between two rounds. All rounds end within the time that peers have to refute a suspicion.
const ROUND_INTERVAL: Duration = Duration::from_millis(80);

/// Repetitions of a finding. A node that sees the instance alive is not told of it in 2 of 100,000
/// cases with 8% loss.
pub(super) const FINDING_REPETITIONS: u8 = 3;

/// Repetitions of a refutation.
pub(super) const REFUTATION_REPETITIONS: u8 = 2;

/// Maximum number of messages that are repeated at a time. More are sent once: with that many
/// findings at once, links are busy.
const MAXIMUM_REPEATED: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Repeated<Message> {
    message: Message,
    due_at: Timestamp,
    rounds_left: u8,
}

/// Messages to send again.
#[derive(Debug)]
pub(super) struct RepeatQueue<Message> {
    repetitions: u8,
    repeated: Vec<Repeated<Message>>,
}

impl<Message: Copy> RepeatQueue<Message> {
    /// Creates an empty queue, whose messages are sent `repetitions` times after the first time.
    pub(super) const fn new(repetitions: u8) -> Self {
        Self {
            repetitions,
            repeated: Vec::new(),
        }
    }

    /// Queues the repetitions of a message that is sent now.
    pub(super) fn push(&mut self, now: Timestamp, message: Message) {
        if self.repeated.len() < MAXIMUM_REPEATED {
            self.repeated.push(Repeated {
                message,
                due_at: now.after(ROUND_INTERVAL),
                rounds_left: self.repetitions,
            });
        }
    }

    /// Drops the messages that no longer apply.
    pub(super) fn retain(&mut self, mut applies: impl FnMut(&Message) -> bool) {
        self.repeated.retain(|repeated| applies(&repeated.message));
    }

    /// Returns the messages to send now.
    pub(super) fn take_due(&mut self, now: Timestamp) -> Vec<Message> {
        let due = self
            .repeated
            .iter_mut()
            .filter(|repeated| now >= repeated.due_at);
        let due = due.map(|repeated| {
            repeated.due_at = now.after(ROUND_INTERVAL);
            repeated.rounds_left -= 1;
            repeated.message
        });
        let due = due.collect();
        self.repeated.retain(|repeated| repeated.rounds_left > 0);
        due
    }
}
