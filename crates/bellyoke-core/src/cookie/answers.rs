//! What became of requests, as far as their clients' packets tell.
//!
//! Backends answer their clients directly, so a node sees no answer. It sees when a client sends a
//! request, and when and how far the client acknowledges what has come back. Whoever watches that
//! hands on a sample a request; placement, admission and the choice of zones use them.

use crate::cookie::instance::Cookie;
use crate::cookie::table::ServiceNumber;
use crate::time::Timestamp;
use std::time::Duration;

/// What became of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerSample {
    /// The instance that had it.
    pub cookie: Cookie,
    /// The service that the instance belongs to.
    pub service: ServiceNumber,
    /// Rank of the request's route; 0 goes first.
    pub priority: u8,
    /// What became of it.
    pub fate: AnswerFate,
}

/// How a request ended, as far as its client's packets tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFate {
    /// An answer of a usual length came.
    Answered {
        /// From the request to the first acknowledgement of the answer: work and queue.
        after: Duration,
        /// Bytes of it.
        bytes: u32,
    },
    /// An answer much shorter than the route's usual ones came: as a rule an error, or that the instance
    /// turned the request away.
    Short {
        /// From the request to the first acknowledgement of the answer.
        after: Duration,
    },
    /// None came before the client gave up, or before it was long overdue.
    Unanswered {
        /// How long the client had waited.
        waited: Duration,
    },
}

/// The request under way on one flow, as far as its client's packets tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestProgress {
    /// When the request was sent, its last byte if it has several packets; none while the flow rests.
    pub asked_at: Option<Timestamp>,
    /// What the client had acknowledged then.
    pub acknowledged_before: u32,
}
