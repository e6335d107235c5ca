//! What the callers count and report.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::answer::Outcome;

/// Most request identifiers that a report lists for each outcome.
const IDENTIFIER_LIMIT: usize = 1_000_000;

/// Requests by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests begun.
    pub sent: u64,
    /// Whole answers to the caller's own request.
    pub answered: u64,
    /// Refusals by the load balancer.
    pub refused: u64,
    /// Refusals by a backend.
    pub shed: u64,
    /// Requests without a whole answer.
    pub broken: u64,
    /// Answers of another request or service.
    pub crossed: u64,
    /// Requests in progress.
    pub open: u64,
}

impl fmt::Display for Counts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            sent,
            answered,
            refused,
            shed,
            broken,
            crossed,
            open,
        } = self;
        write!(
            formatter,
            "caller: sent={sent} answered={answered} refused={refused} shed={shed} broken={broken} crossed={crossed} open={open}"
        )
    }
}

/// A request that went wrong.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The request's identifier.
    pub id: String,
    /// What went wrong, and when, in milliseconds from the start.
    pub reason: String,
    /// The caller's address and port.
    pub source: String,
}

/// The report of one caller process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerReport {
    /// Requests by outcome.
    pub counts: Counts,
    /// Identifiers of answered requests.
    pub answered: Vec<String>,
    /// Identifiers of requests that the load balancer refused.
    pub refused: Vec<String>,
    /// Identifiers of requests that a backend refused.
    pub shed: Vec<String>,
    /// Requests without a whole answer.
    pub broken: Vec<Failure>,
    /// Requests with another's answer.
    pub crossed: Vec<Failure>,
}

impl CallerReport {
    /// Records a request's beginning.
    pub fn record_sent(&mut self) {
        self.counts.sent += 1;
        self.counts.open += 1;
    }

    /// Records a request's end.
    pub fn record(&mut self, id: &str, source: String, outcome: Outcome) {
        let id = id.to_owned();
        self.counts.open -= 1;
        match outcome {
            Outcome::Answered => {
                self.counts.answered += 1;
                push_bounded(&mut self.answered, id);
            }
            Outcome::Refused => {
                self.counts.refused += 1;
                push_bounded(&mut self.refused, id);
            }
            Outcome::Shed => {
                self.counts.shed += 1;
                push_bounded(&mut self.shed, id);
            }
            Outcome::Broken(reason) => {
                self.counts.broken += 1;
                push_bounded(&mut self.broken, Failure { id, reason, source });
            }
            Outcome::Crossed(reason) => {
                self.counts.crossed += 1;
                push_bounded(&mut self.crossed, Failure { id, reason, source });
            }
        }
    }
}

fn push_bounded<T>(list: &mut Vec<T>, item: T) {
    if list.len() < IDENTIFIER_LIMIT {
        list.push(item);
    }
}
