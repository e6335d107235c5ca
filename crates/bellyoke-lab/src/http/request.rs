//! Requests as the backend reads them.

use smoltcp::time::Duration;

use super::{
    DEADLINE_HEADER, HEAD_SIZE_LIMIT, HEADER_LIMIT, HttpError, header_number, header_text,
};

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The method, such as `POST`.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The service that is asked for: the `Host` header without a port.
    pub host: String,
    /// The request's identifier: the query parameter `id`.
    pub id: String,
    /// Time between two lines of a feed: the query parameter `interval_ms`.
    pub interval: Duration,
    /// Lines of a feed: the query parameter `count`.
    pub count: u64,
    /// Bytes of the body.
    pub content_length: u64,
    /// Time after which the work must not start.
    pub deadline: Option<Duration>,
    /// Bytes of the head itself.
    pub size: usize,
}

const DEFAULT_INTERVAL_MS: u64 = 200;
const DEFAULT_COUNT: u64 = 10;

/// Reads the head at the start of `bytes`; returns nothing while it is incomplete.
///
/// # Errors
///
/// Fails when the bytes aren't a request that the backend understands.
pub fn parse_request(bytes: &[u8]) -> Result<Option<RequestHead>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADER_LIMIT];
    let mut request = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(size) = request.parse(bytes)? else {
        return incomplete(bytes);
    };
    let target = request.path.unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let host = header_text(request.headers, "host").ok_or(HttpError::Header("host"))?;
    let host = host.split_once(':').map_or(host, |(name, _port)| name);
    let deadline = header_number(request.headers, DEADLINE_HEADER)?;
    Ok(Some(RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        path: path.to_owned(),
        host: host.to_owned(),
        id: parameter(query, "id").unwrap_or_default(),
        interval: Duration::from_millis(number_parameter(
            query,
            "interval_ms",
            DEFAULT_INTERVAL_MS,
        )),
        count: number_parameter(query, "count", DEFAULT_COUNT),
        content_length: header_number(request.headers, "content-length")?.unwrap_or(0),
        deadline: deadline.map(Duration::from_millis),
        size,
    }))
}

fn incomplete(bytes: &[u8]) -> Result<Option<RequestHead>, HttpError> {
    if bytes.len() > HEAD_SIZE_LIMIT {
        return Err(HttpError::HeadTooLong);
    }
    Ok(None)
}

fn parameter(query: &str, name: &str) -> Option<String> {
    form_urlencoded::parse(query.as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

fn number_parameter(query: &str, name: &str, default: u64) -> u64 {
    parameter(query, name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}
