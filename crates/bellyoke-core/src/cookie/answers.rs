//! Infers the outcomes of requests from their clients' packets.
//!
//! Backends answer their clients directly (direct server return), so a node sees no answers. It
//! sees when a client sends a request, and when and how much answer data the client acknowledges.
//! From that it derives a sample for each request, which placement, admission and the choice of
//! zones use.
//!
//! [`RequestProgress`] tracks the requests of one flow, [`AnswerBaseline`] learns the normal
//! answers of a route, and [`AnswerMonitor`] combines both into samples. Such in-band feedback from
//! forwarded traffic is what Lim et al. argue for ("Load Balancers Need In-Band Feedback Control",
//! `HotNets` 2022).

mod baseline;
mod monitor;
mod progress;

pub use baseline::AnswerBaseline;
pub use monitor::{AnswerMonitor, AnswerQuality, ClassifiedSample};
pub use progress::{RequestProgress, RequestStatus};

use crate::cookie::instance::Cookie;
use crate::cookie::table::ServiceNumber;
use std::time::Duration;

/// Outcome of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerSample {
    /// Instance that the request was sent to.
    pub cookie: Cookie,
    /// Service that the instance belongs to.
    pub service: ServiceNumber,
    /// Priority of the request's route; 0 is the highest.
    pub priority: u8,
    /// Outcome of the request.
    pub outcome: AnswerOutcome,
}

/// How a request ended, as far as its client's packets show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// An answer of normal length was received.
    Answered {
        /// Time from the request to the first acknowledgement of the answer: processing and
        /// queueing.
        after: Duration,
        /// Length of the answer, bytes.
        bytes: u32,
    },
    /// An answer much shorter than the route's normal ones was received: usually an error, or the
    /// instance rejected the request.
    Short {
        /// Time from the request to the first acknowledgement of the answer.
        after: Duration,
    },
    /// No answer was received before the client gave up, or before it was long overdue.
    Unanswered {
        /// Time that the client had waited.
        waited: Duration,
    },
}
