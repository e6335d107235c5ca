//! A request in progress, over TCP or UDP.

use smoltcp::iface::SocketHandle;
use smoltcp::time::{Duration, Instant};

use super::datagram::DatagramExchange;
use super::exchange::{Exchange, Step};
use crate::network::{FlowKey, NetworkStack};

/// A request in progress.
#[derive(Debug)]
pub enum Conversation {
    /// One HTTP request on a TCP connection.
    Stream(Box<Exchange>),
    /// Datagrams of a UDP flow.
    Datagrams(Box<DatagramExchange>),
}

impl Conversation {
    /// Does what is due.
    pub fn advance(&mut self, stack: &mut NetworkStack, now: Instant, patience: Duration) -> Step {
        match self {
            Self::Stream(exchange) => exchange.advance(stack.tcp(exchange.handle), now, patience),
            Self::Datagrams(exchange) => {
                exchange.advance(stack.udp(exchange.handle), now, patience)
            }
        }
    }

    /// When [`Self::advance`] has something to do even if no packet comes.
    pub fn deadline(&self, patience: Duration) -> Instant {
        match self {
            Self::Stream(exchange) => exchange.deadline(patience),
            Self::Datagrams(exchange) => exchange.deadline(patience),
        }
    }

    /// Notes an ICMP error about `flow`.
    pub fn note_unreachable(&mut self, flow: &FlowKey) {
        if let Self::Datagrams(exchange) = self {
            exchange.note_unreachable(flow);
        }
    }

    /// The socket.
    pub fn handle(&self) -> SocketHandle {
        match self {
            Self::Stream(exchange) => exchange.handle,
            Self::Datagrams(exchange) => exchange.handle,
        }
    }

    /// Number of the caller that made it.
    pub fn lane(&self) -> usize {
        match self {
            Self::Stream(exchange) => exchange.lane,
            Self::Datagrams(exchange) => exchange.lane,
        }
    }

    /// The request's identifier.
    pub fn id(&self) -> &str {
        match self {
            Self::Stream(exchange) => &exchange.expected.id,
            Self::Datagrams(exchange) => &exchange.plan().id,
        }
    }

    /// The caller's address and port.
    pub fn source(&self) -> String {
        match self {
            Self::Stream(exchange) => exchange.source.to_string(),
            Self::Datagrams(exchange) => exchange.plan().source.to_string(),
        }
    }
}
