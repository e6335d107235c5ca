//! The texts that backends and callers exchange.

use super::{BACKEND_HEADER, DEADLINE_HEADER, SERVICE_HEADER};

/// What the body of a refusal contains: the request has had no effect.
pub const NOT_RUN: &str = "not run";

/// Seconds that a refused caller is asked to wait.
const RETRY_AFTER_SECONDS: u64 = 1;

/// The head of a backend's response.
#[derive(Debug, Clone, Copy)]
pub struct ResponseHead<'a> {
    /// The status code.
    pub status: u16,
    /// The service that was asked for.
    pub service: &'a str,
    /// The backend's name.
    pub backend: &'a str,
}

impl ResponseHead<'_> {
    /// Writes a response with a body of known length.
    #[must_use]
    pub fn with_body(&self, body: &str) -> Vec<u8> {
        let length = body.len();
        let mut text = self.common();
        text.push_str(&format!("content-length: {length}\r\n\r\n{body}"));
        text.into_bytes()
    }

    /// Writes the head of a chunked response.
    #[must_use]
    pub fn chunked(&self) -> Vec<u8> {
        let mut text = self.common();
        text.push_str("transfer-encoding: chunked\r\n\r\n");
        text.into_bytes()
    }

    fn common(&self) -> String {
        let Self {
            status,
            service,
            backend,
        } = self;
        let reason = reason(*status);
        let mut text = format!(
            "HTTP/1.1 {status} {reason}\r\n{SERVICE_HEADER}: {service}\r\n{BACKEND_HEADER}: {backend}\r\nconnection: close\r\n"
        );
        if *status == 503 {
            text.push_str(&format!("retry-after: {RETRY_AFTER_SECONDS}\r\n"));
        }
        text
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Unknown",
    }
}

/// One chunk of a chunked body.
#[must_use]
pub fn chunk(text: &str) -> Vec<u8> {
    let size = text.len();
    format!("{size:x}\r\n{text}\r\n").into_bytes()
}

/// The end of a chunked body.
#[must_use]
pub fn last_chunk() -> &'static [u8] {
    b"0\r\n\r\n"
}

/// One line of a feed.
#[must_use]
pub fn feed_line(id: &str, sequence: u64) -> String {
    format!("feed {id} {sequence}\n")
}

/// The answer to a payment or an answer check.
#[must_use]
pub fn payment_line(id: &str) -> String {
    let digest = digest_of(id.as_bytes());
    format!("id {id} digest {digest}\n")
}

/// The answer to an upload.
#[must_use]
pub fn hash_line(id: &str, bytes: u64, hash: &str) -> String {
    format!("id {id} bytes {bytes} hash {hash}\n")
}

/// The BLAKE3 digest of `bytes` in hexadecimal digits.
#[must_use]
pub fn digest_of(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex().to_string()
}

/// A request of a caller.
#[derive(Debug, Clone, Copy)]
pub struct RequestText<'a> {
    /// The method.
    pub method: &'a str,
    /// The path with its query.
    pub target: &'a str,
    /// The service.
    pub host: &'a str,
    /// Time after which the work must not start, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The body.
    pub body: &'a [u8],
}

impl RequestText<'_> {
    /// Writes the request.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        let Self {
            method,
            target,
            host,
            deadline_ms,
            body,
        } = self;
        let length = body.len();
        let mut head = format!(
            "{method} {target} HTTP/1.1\r\nhost: {host}\r\nconnection: close\r\ncontent-length: {length}\r\n"
        );
        if let Some(deadline) = deadline_ms {
            head.push_str(&format!("{DEADLINE_HEADER}: {deadline}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }
}
