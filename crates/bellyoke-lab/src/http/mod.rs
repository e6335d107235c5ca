//! HTTP/1.1 as the backend and the callers speak it: heads by `httparse`, one exchange on each connection.

mod request;
mod response;
mod text;

pub use request::{RequestHead, parse_request};
pub use response::{Response, ResponseReader};
pub use text::{
    NOT_RUN, RequestText, ResponseHead, chunk, digest_of, feed_line, hash_line, last_chunk,
    payment_line,
};

/// Response header that names the service as the backend understood it.
pub const SERVICE_HEADER: &str = "x-service";

/// Response header that names the backend; absent on answers that no backend gave.
pub const BACKEND_HEADER: &str = "x-backend";

/// Request header with the time, in milliseconds, after which the work must not start.
pub const DEADLINE_HEADER: &str = "deadline-ms";

/// Most headers in a message.
const HEADER_LIMIT: usize = 32;

/// Largest head of a message, in bytes.
pub const HEAD_SIZE_LIMIT: usize = 8 * 1024;

/// A message that isn't the HTTP we speak.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The head isn't HTTP/1.1.
    #[error("malformed head: {0}")]
    Head(#[from] httparse::Error),
    /// The head is longer than [`HEAD_SIZE_LIMIT`].
    #[error("head longer than {HEAD_SIZE_LIMIT} bytes")]
    HeadTooLong,
    /// The body is longer than its reader allows.
    #[error("body longer than {limit} bytes")]
    BodyTooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// A header that we need is missing or isn't what it must be.
    #[error("missing or malformed header {0}")]
    Header(&'static str),
    /// The chunked encoding is broken.
    #[error("malformed chunk")]
    Chunk,
}

fn header_text<'a>(headers: &'a [httparse::Header<'_>], name: &str) -> Option<&'a str> {
    let header = headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok().map(str::trim)
}

fn header_number(
    headers: &[httparse::Header<'_>],
    name: &'static str,
) -> Result<Option<u64>, HttpError> {
    header_text(headers, name)
        .map(|text| text.parse().map_err(|_| HttpError::Header(name)))
        .transpose()
}
