//! A kept-alive HTTP/1.1 connection that notices when the other side is gone.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Time without traffic after which the other side is probed, and between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which the connection is given up.
const KEEPALIVE_RETRIES: u32 = 2;

/// Longest time that sent bytes may stay unacknowledged.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a call waits for its answer before it may be made again: longer than a slow store takes.
const HEDGE_DELAY: Duration = Duration::from_millis(500);

/// Time between two further ones.
const HEDGE_INTERVAL: Duration = Duration::from_millis(100);

/// Longest pause within an answer. A long one may take longer over a thin link.
const BODY_STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest answer that is read, bytes.
const MAXIMUM_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Why a call came to nothing. It may have been done all the same.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No answer in time.
    #[error("no answer in time")]
    TimedOut,
    /// The connection could not be opened.
    #[error("connect: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection broke, or the other side speaks no HTTP.
    #[error("http: {0}")]
    Http(#[from] hyper::Error),
    /// The answer is longer than is read, or broke off.
    #[error("body: {0}")]
    Body(String),
    /// The path is no path.
    #[error("request: {0}")]
    Request(#[from] http::Error),
}

/// An answer that has come whole.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// A connection to one address, opened when it is needed.
#[derive(Debug)]
pub struct HttpConnection {
    address: SocketAddrV4,
    sender: Option<SendRequest<Empty<Bytes>>>,
}

impl HttpConnection {
    /// A connection to `address` that is not open yet.
    #[must_use]
    pub const fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            sender: None,
        }
    }

    /// Gets `path`. After any error the connection is closed: one that has lost an answer may
    /// never say anything again.
    ///
    /// # Errors
    ///
    /// [`CallError`] if no answer begins within `patience`, or it breaks off.
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

    /// The same, but asks `hedge` now and then, while there is no answer, whether to make the call again
    /// over another connection; the first answer counts. Only for calls that change nothing.
    ///
    /// # Errors
    ///
    /// [`CallError`] if no answer begins within `patience` of the last call made, or all have failed.
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

/// Starts an exchange, and another one over a new connection whenever `hedge` says so, until one has
/// an answer or all have failed. None is started later than `patience` after the first.
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
                // An exchange that panicked, or none.
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

/// The connection, for the next call, and what was answered.
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
    let response = HttpResponse {
        status: parts.status,
        headers: parts.headers,
        body: read_body(body).await?,
    };
    Ok((sender, response))
}

/// Sends a request, and returns its answer once that begins.
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

async fn read_body(body: Incoming) -> Result<Bytes, CallError> {
    let mut body = Limited::new(body, MAXIMUM_BODY_BYTES);
    let mut bytes = BytesMut::new();
    loop {
        let next = timeout(BODY_STALL_TIMEOUT, body.frame()).await;
        let Some(frame) = next.map_err(|_| CallError::TimedOut)? else {
            return Ok(bytes.freeze());
        };
        let frame = frame.map_err(|error| CallError::Body(error.to_string()))?;
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

/// Lets the system notice a silent other side: by probes while nothing is sent, and by missing
/// acknowledgements (RFC 5482) otherwise.
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
