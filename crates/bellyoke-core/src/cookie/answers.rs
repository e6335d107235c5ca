//! What became of requests, as far as their clients' packets tell.
//!
//! Backends answer their clients directly, so a node sees no answer. It sees when a client sends a
//! request, and when and how far the client acknowledges what has come back. Whoever watches that
//! hands on a sample a request; placement, admission and the choice of zones use them.
//!
//! [`RequestProgress`] follows the requests of one flow, [`AnswerBaseline`] knows what a route's answers
//! are usually like, and [`AnswerMonitor`] makes samples of both. Feedback of this kind, taken in band from
//! traffic that passes anyhow, is what Lim et al. argue for ("Load Balancers Need In-Band Feedback
//! Control", `HotNets` 2022).

mod baseline;
mod monitor;
mod progress;

pub use baseline::AnswerBaseline;
pub use monitor::{AnswerMonitor, AnswerQuality, ClassifiedSample};
pub use progress::{RequestProgress, RequestStatus};

use crate::cookie::instance::Cookie;
use crate::cookie::table::ServiceNumber;
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
    pub outcome: AnswerOutcome,
}

/// How a request ended, as far as its client's packets tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerOutcome {
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
