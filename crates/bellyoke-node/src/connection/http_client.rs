//! A persistent HTTP/1.1 connection that detects an unresponsive peer.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Idle time before the first keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// Maximum time that sent data may remain unacknowledged.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Delay before a call may be hedged. Exceeds the response time of a slow store.
const HEDGE_DELAY: Duration = Duration::from_millis(500);

/// Interval between further hedges.
const HEDGE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time without progress while a body is received. The whole body may take longer over a
/// low-bandwidth link.
const BODY_STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum length of a response body.
const MAXIMUM_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Error of a call. The server may nevertheless have executed the call.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No response was received in time.
    #[error("no answer in time")]
    TimedOut,
    /// The connection could not be opened.
    #[error("connect: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection was closed, or the server violated the HTTP protocol.
    #[error("http: {0}")]
    Http(#[from] hyper::Error),
    /// The body is incomplete.
    #[error("body: {0}")]
    Body(String),
    /// The body exceeds the maximum length.
    #[error("the body is longer than {MAXIMUM_BODY_BYTES} bytes")]
    BodyTooLong {
        /// Headers of the response.
        headers: Box<HeaderMap>,
    },
    /// The path is invalid.
    #[error("request: {0}")]
    Request(#[from] http::Error),
}

/// A completely received response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A connection to an address that is opened on demand.
#[derive(Debug)]
pub struct HttpConnection {
    address: SocketAddrV4,
    sender: Option<SendRequest<Empty<Bytes>>>,
}

impl HttpConnection {
    /// Creates a connection to `address` without opening it.
    #[must_use]
    pub const fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            sender: None,
        }
    }

    /// Sends a GET request for `path`. The connection is closed after any error, because a
    /// connection that has lost a response may never deliver another one.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if no response starts within `response_timeout` or it is incomplete.
    pub async fn get(
        &mut self,
        path: &str,
        response_timeout: Duration,
    ) -> Result<HttpResponse, CallError> {
        let sender = self.sender.take();
        let exchange = exchange(self.address, sender, path.to_owned(), response_timeout);
        let (sender, response) = exchange.await?;
        self.sender = Some(sender);
        Ok(response)
    }

    /// Sends a GET request for `path` and hedges it. While there is no response, `hedge` is polled to
    /// decide whether to repeat the call over another connection. The first response is returned.
    /// The call must not have side effects.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if no response starts within `response_timeout` of the last call, or
    /// all calls fail.
    pub async fn get_hedged(
        &mut self,
        path: &str,
        response_timeout: Duration,
        hedge: impl FnMut() -> bool,
    ) -> Result<HttpResponse, CallError> {
        let sender = self.sender.take();
        let exchanged = first_response(self.address, sender, path, response_timeout, hedge);
        let (sender, response) = exchanged.await?;
        self.sender = Some(sender);
        Ok(response)
    }
}

/// Starts an exchange, and another one over a new connection whenever `hedge` returns true, until
/// one receives a response or all have failed. No exchange is started later than `response_timeout`
/// after the first.
async fn first_response(
    address: SocketAddrV4,
    sender: Option<SendRequest<Empty<Bytes>>>,
    path: &str,
    response_timeout: Duration,
    mut hedge: impl FnMut() -> bool,
) -> Result<Exchanged, CallError> {
    let mut exchanges = JoinSet::new();
    let start = |sender| exchange(address, sender, path.to_owned(), response_timeout);
    exchanges.spawn_local(start(sender));
    let hedge_until = Instant::now() + response_timeout;
    let mut hedge_at = Instant::now() + HEDGE_DELAY;
    loop {
        tokio::select! {
            finished = exchanges.join_next() => match finished {
                Some(Ok(Err(_))) if !exchanges.is_empty() => {}
                Some(Ok(finished)) => return finished,
                // An exchange panicked, or none is left.
                Some(Err(_)) | None => return Err(CallError::TimedOut),
            },
            () = sleep_until(hedge_at), if hedge_at < hedge_until => {
                if hedge() {
                    exchanges.spawn_local(start(None));
                }
                hedge_at += HEDGE_INTERVAL;
            }
        }
    }
}

/// The connection, for the next call, and the response.
type Exchanged = (SendRequest<Empty<Bytes>>, HttpResponse);

async fn exchange(
    address: SocketAddrV4,
    sender: Option<SendRequest<Empty<Bytes>>>,
    path: String,
    response_timeout: Duration,
) -> Result<Exchanged, CallError> {
    let started = timeout(response_timeout, send(address, sender, path)).await;
    let (sender, response) = started.map_err(|_| CallError::TimedOut)??;
    let (parts, body) = response.into_parts();
    let Some(body) = read_body(body).await? else {
        let headers = Box::new(parts.headers);
        return Err(CallError::BodyTooLong { headers });
    };
    let response = HttpResponse {
        status: parts.status,
        headers: parts.headers,
        body,
    };
    Ok((sender, response))
}

/// Sends a request and returns the response once its head is received.
async fn send(
    address: SocketAddrV4,
    sender: Option<SendRequest<Empty<Bytes>>>,
    path: String,
) -> Result<(SendRequest<Empty<Bytes>>, Response<Incoming>), CallError> {
    let mut sender = reuse_or_connect(address, sender).await?;
    let request = Request::get(path)
        .header(header::HOST, address.to_string())
        .body(Empty::new())?;
    let response = sender.send_request(request).await?;
    Ok((sender, response))
}

/// Reads a body. Returns `None` if it exceeds the maximum length.
async fn read_body(body: Incoming) -> Result<Option<Bytes>, CallError> {
    let mut body = Limited::new(body, MAXIMUM_BODY_BYTES);
    let mut bytes = BytesMut::new();
    loop {
        let next = timeout(BODY_STALL_TIMEOUT, body.frame()).await;
        let Some(frame) = next.map_err(|_| CallError::TimedOut)? else {
            return Ok(Some(bytes.freeze()));
        };
        let frame = match frame {
            Err(error) if error.is::<LengthLimitError>() => return Ok(None),
            frame => frame.map_err(|error| CallError::Body(error.to_string()))?,
        };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
}

async fn reuse_or_connect(
    address: SocketAddrV4,
    sender: Option<SendRequest<Empty<Bytes>>>,
) -> Result<SendRequest<Empty<Bytes>>, CallError> {
    if let Some(mut sender) = sender
        && sender.ready().await.is_ok()
    {
        return Ok(sender);
    }
    connect(address).await
}

async fn connect(address: SocketAddrV4) -> Result<SendRequest<Empty<Bytes>>, CallError> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| CallError::TimedOut)?;
    let stream = stream.map_err(CallError::Connect)?;
    enable_dead_peer_detection(&stream).map_err(CallError::Connect)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(connection);
    Ok(sender)
}

/// Makes the operating system detect an unresponsive peer: by keepalive probes while the connection
/// is idle, and by missing acknowledgements (RFC 5482) otherwise.
fn enable_dead_peer_detection(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
