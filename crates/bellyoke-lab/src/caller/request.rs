//! The HTTP request of a caller, and the answer that it expects.

use super::answer::Expectation;
use super::options::{CallerSettings, Kind, Target};
use crate::http::RequestText;

/// A request as it is sent, and what its answer is compared with.
#[derive(Debug)]
pub struct HttpRequest {
    /// The bytes to send.
    pub bytes: Vec<u8>,
    /// What the answer is compared with.
    pub expected: Expectation,
}

impl HttpRequest {
    /// Builds the request `id` to `target`.
    pub fn new(settings: &CallerSettings, target: &Target, id: &str) -> Self {
        let body = match target.kind {
            Kind::Upload => id.bytes().cycle().take(settings.upload_bytes).collect(),
            _ => Vec::new(),
        };
        let request = RequestText {
            method: method(target.kind),
            target: &path(settings, target.kind, id),
            host: &target.service,
            deadline_ms: settings.deadline_ms,
            body: &body,
        };
        Self {
            bytes: request.to_bytes(),
            expected: Expectation::new(
                target.kind,
                id,
                &target.service,
                settings.feed_count,
                &body,
            ),
        }
    }
}

fn method(kind: Kind) -> &'static str {
    match kind {
        Kind::Feed => "GET",
        _ => "POST",
    }
}

fn path(settings: &CallerSettings, kind: Kind, id: &str) -> String {
    let CallerSettings {
        feed_count,
        feed_interval_ms,
        ..
    } = settings;
    match kind {
        Kind::Feed => format!("/feed?id={id}&interval_ms={feed_interval_ms}&count={feed_count}"),
        Kind::Check => format!("/check?id={id}"),
        Kind::Upload => format!("/upload?id={id}"),
        Kind::Payment | Kind::Datagram => format!("/payment?id={id}"),
    }
}
