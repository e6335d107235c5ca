//! Whether an answer is whole, and the one to the caller's own request.

use super::options::Kind;
use crate::http::{self, NOT_RUN, Response};

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The caller has the whole answer to its own request.
    Answered,
    /// The load balancer says that the request was not run.
    Refused,
    /// A backend says that the request was not run.
    Shed,
    /// The caller has no answer, or not a whole one.
    Broken(String),
    /// The answer is another request's, or another service's.
    Crossed(String),
}

/// What an answer is compared with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expectation {
    /// The request's identifier.
    pub id: String,
    /// The service that was asked.
    pub service: String,
    /// The whole body of the right answer.
    pub body: String,
}

impl Expectation {
    /// Works out the right answer to a request.
    pub fn new(kind: Kind, id: &str, service: &str, feed_count: u64, upload: &[u8]) -> Self {
        let body = match kind {
            Kind::Feed => (0..feed_count)
                .map(|sequence| http::feed_line(id, sequence))
                .collect(),
            Kind::Payment | Kind::Check | Kind::Datagram => http::payment_line(id),
            Kind::Upload => http::hash_line(id, upload.len() as u64, &http::digest_of(upload)),
        };
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            body,
        }
    }
}

/// Judges a whole response.
#[must_use]
pub fn check_answer(expected: &Expectation, response: &Response) -> Outcome {
    let body = String::from_utf8_lossy(&response.body);
    match response.status {
        200 => check_body(expected, response, &body),
        503 | 504 if body.contains(NOT_RUN) => refusal(response),
        421 => Outcome::Crossed(format!("misdirected: {}", body.trim_end())),
        status => Outcome::Broken(format!("status {status}: {}", body.trim_end())),
    }
}

fn refusal(response: &Response) -> Outcome {
    if response.backend.is_some() {
        Outcome::Shed
    } else {
        Outcome::Refused
    }
}

fn check_body(expected: &Expectation, response: &Response, body: &str) -> Outcome {
    if response.service.as_deref() != Some(&expected.service) {
        return Outcome::Crossed(format!("answer of service {:?}", response.service));
    }
    if body == expected.body {
        return Outcome::Answered;
    }
    match body.lines().find(|line| !names_request(line, &expected.id)) {
        Some(line) => Outcome::Crossed(format!("answer to another request: {line:?}")),
        None => Outcome::Broken("answer differs from the expected one".to_owned()),
    }
}

fn names_request(line: &str, id: &str) -> bool {
    line.split(' ').nth(1) == Some(id)
}
