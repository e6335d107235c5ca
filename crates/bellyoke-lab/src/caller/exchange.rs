//! One request of a caller, from the connection's opening to its end.

use std::net::SocketAddr;

use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp::{Socket, State};
use smoltcp::time::{Duration, Instant};

use super::answer::{Expectation, Outcome, check_answer};
use super::request::HttpRequest;
use crate::http::ResponseReader;

/// How long a caller waits for the end of a connection after it has its answer.
const LINGER: Duration = Duration::from_secs(2);

/// One request on a connection of its own.
#[derive(Debug)]
pub struct Exchange {
    /// Its socket.
    pub handle: SocketHandle,
    /// Number of the caller that made it.
    pub lane: usize,
    /// The caller's address and port.
    pub source: SocketAddr,
    /// What the answer is compared with.
    pub expected: Expectation,
    request: Vec<u8>,
    sent: usize,
    reader: ResponseReader,
    last_progress: Instant,
    lingers_until: Option<Instant>,
}

/// What a step of an exchange led to.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    /// The exchange goes on.
    Waiting,
    /// The request's outcome is known; the connection may still be closing.
    Decided(Outcome),
    /// The connection has ended after the outcome.
    Closed,
}

impl Exchange {
    /// Starts an exchange on a socket that is connecting.
    pub fn new(
        handle: SocketHandle,
        lane: usize,
        source: SocketAddr,
        request: HttpRequest,
        now: Instant,
    ) -> Self {
        Self {
            handle,
            lane,
            source,
            expected: request.expected,
            request: request.bytes,
            sent: 0,
            reader: ResponseReader::default(),
            last_progress: now,
            lingers_until: None,
        }
    }

    /// Does what is due.
    pub fn advance(&mut self, socket: &mut Socket<'_>, now: Instant, patience: Duration) -> Step {
        if let Some(until) = self.lingers_until {
            return linger(socket, now >= until);
        }
        self.send(socket, now);
        if let Some(outcome) = self.receive(socket, now) {
            return self.decide(socket, outcome, now);
        }
        if now >= self.last_progress + patience {
            let outcome = Outcome::Broken(format!(
                "nothing moved for {patience} in state {}",
                socket.state()
            ));
            return self.decide(socket, outcome, now);
        }
        Step::Waiting
    }

    /// When [`Self::advance`] has something to do even if no packet comes.
    pub fn deadline(&self, patience: Duration) -> Instant {
        self.lingers_until.unwrap_or(self.last_progress + patience)
    }

    fn decide(&mut self, socket: &mut Socket<'_>, outcome: Outcome, now: Instant) -> Step {
        if matches!(outcome, Outcome::Broken(_)) {
            socket.abort();
        } else {
            socket.close();
        }
        self.lingers_until = Some(now + LINGER);
        Step::Decided(outcome)
    }

    fn send(&mut self, socket: &mut Socket<'_>, now: Instant) {
        if self.sent == self.request.len() || !socket.can_send() {
            return;
        }
        let Ok(count) = socket.send_slice(&self.request[self.sent..]) else {
            return;
        };
        if count > 0 {
            self.sent += count;
            self.last_progress = now;
        }
    }

    fn receive(&mut self, socket: &mut Socket<'_>, now: Instant) -> Option<Outcome> {
        while socket.can_recv() {
            let reader = &mut self.reader;
            let pushed = socket
                .recv(|bytes| (bytes.len(), reader.push(bytes)))
                .ok()?;
            self.last_progress = now;
            match pushed {
                Ok(None) => {}
                Ok(Some(response)) => return Some(check_answer(&self.expected, &response)),
                Err(error) => {
                    return Some(Outcome::Broken(format!("answer not understood: {error}")));
                }
            }
        }
        self.check_ended(socket)
    }

    fn check_ended(&self, socket: &Socket<'_>) -> Option<Outcome> {
        let received = self.reader.partial().body.len();
        match socket.state() {
            State::Closed => Some(Outcome::Broken(format!(
                "connection reset after {received} bytes of the body"
            ))),
            State::CloseWait => Some(Outcome::Broken(format!(
                "connection closed after {received} bytes of the body"
            ))),
            _ => None,
        }
    }
}

fn linger(socket: &mut Socket<'_>, is_overdue: bool) -> Step {
    // An aborted socket keeps its endpoints until the reset is sent.
    let is_reset_due = socket.state() == State::Closed && socket.remote_endpoint().is_some();
    match socket.state() {
        State::Closed | State::TimeWait if !is_reset_due => return Step::Closed,
        _ if is_overdue => socket.abort(),
        _ => {}
    }
    Step::Waiting
}
