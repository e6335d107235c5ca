//! One TCP connection of the backend: what was read, what is to be written, and how far the exchange is.

use std::collections::VecDeque;

use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp::{Socket, State};
use smoltcp::time::Instant;

use crate::http::RequestHead;
use crate::network::FlowKey;

/// How far the exchange on a connection is.
#[derive(Debug)]
pub enum Stage {
    /// The head of the request hasn't arrived whole.
    Head,
    /// The body of an upload is arriving.
    Body {
        /// The request.
        head: RequestHead,
        /// Bytes that have arrived.
        received: u64,
        /// Digest of those bytes.
        hasher: Box<blake3::Hasher>,
    },
    /// The request waits for a slot or is in one.
    Working {
        /// The request.
        head: RequestHead,
    },
    /// A feed is being sent.
    Feed {
        /// The request.
        head: RequestHead,
        /// Number of the next line.
        sequence: u64,
        /// When the next line is due.
        due: Instant,
    },
    /// The answer is written; what is left is to send it.
    Answered,
}

/// One TCP connection.
#[derive(Debug)]
pub struct Connection {
    /// Its socket.
    pub handle: SocketHandle,
    /// Its flow.
    pub flow: FlowKey,
    /// What was read and not yet understood.
    pub input: Vec<u8>,
    /// How far the exchange is.
    pub stage: Stage,
    output: VecDeque<u8>,
}

/// Whether a connection goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// The caller is there.
    Open,
    /// The caller went away before it had its answer.
    Abandoned,
    /// All is sent and both sides have closed, or the caller went away after the answer was written.
    Ended,
}

impl Connection {
    /// Takes over a socket that has accepted a connection.
    pub fn new(handle: SocketHandle, flow: FlowKey) -> Self {
        Self {
            handle,
            flow,
            input: Vec::new(),
            stage: Stage::Head,
            output: VecDeque::new(),
        }
    }

    /// Reads what the socket holds, as far as `input` has room for it.
    pub fn read(&mut self, socket: &mut Socket<'_>, limit: usize) {
        while socket.can_recv() && self.input.len() < limit {
            let read = socket.recv(|bytes| {
                self.input.extend_from_slice(bytes);
                (bytes.len(), bytes.len())
            });
            if read.is_err() {
                return;
            }
        }
    }

    /// Queues bytes for the caller.
    pub fn write(&mut self, bytes: &[u8]) {
        self.output.extend(bytes);
    }

    /// Queues the whole answer for the caller.
    pub fn answer(&mut self, bytes: &[u8]) {
        self.write(bytes);
        self.stage = Stage::Answered;
    }

    /// Bytes that wait for room in the socket.
    pub fn backlog(&self) -> usize {
        self.output.len()
    }

    /// Moves queued bytes to the socket; closes it behind a whole answer.
    pub fn flush(&mut self, socket: &mut Socket<'_>) {
        while !self.output.is_empty() && socket.can_send() {
            let (front, _) = self.output.as_slices();
            let Ok(sent) = socket.send_slice(front) else {
                return;
            };
            if sent == 0 {
                return;
            }
            self.output.drain(..sent);
        }
        if self.output.is_empty() && matches!(self.stage, Stage::Answered) {
            socket.close();
        }
    }

    /// Tells whether the connection goes on.
    pub fn liveness(&self, socket: &Socket<'_>) -> Liveness {
        let is_answered = matches!(self.stage, Stage::Answered);
        match socket.state() {
            State::Closed | State::TimeWait if is_answered => Liveness::Ended,
            // A connection that was reset before it was established listens again.
            State::Listen => Liveness::Abandoned,
            // Callers close after their answer only.
            State::Closed | State::TimeWait | State::CloseWait if !is_answered => {
                Liveness::Abandoned
            }
            _ => Liveness::Open,
        }
    }
}
