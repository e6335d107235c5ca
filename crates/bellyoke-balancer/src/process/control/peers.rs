//! The peer socket: sealed messages in and out.

use crate::packet::{LONGEST_DATAGRAM, PeerCodec, RejectReason};
use bellyoke_core::identity::NodeId;
use bellyoke_core::node::Message;
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Most datagrams that are taken in before other work gets its turn.
const MOST_AT_ONCE: usize = 64;

/// What the peer socket has done.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerCounters {
    /// Messages that were taken in.
    pub received: u64,
    /// Messages that the kernel took.
    pub sent: u64,
    /// Bytes of these, without headers of UDP and IP.
    pub sent_bytes: u64,
    /// Messages that could not be sealed or sent. Senders send again.
    pub send_failed: u64,
    /// Datagrams that were dropped.
    pub rejected: HashMap<RejectReason, u64>,
}

/// A message that a peer has sealed.
#[derive(Clone, Debug)]
pub struct PeerMessage {
    /// The sender.
    pub from: NodeId,
    /// What it says.
    pub message: Message,
}

/// The peer socket and its codec.
pub struct PeerPort {
    socket: UdpSocket,
    codec: PeerCodec,
    buffer: Vec<u8>,
    counters: PeerCounters,
}

impl PeerPort {
    /// A port on a bound socket.
    #[must_use]
    pub fn new(socket: UdpSocket, codec: PeerCodec) -> Self {
        Self {
            socket,
            codec,
            buffer: vec![0; LONGEST_DATAGRAM + 1],
            counters: PeerCounters::default(),
        }
    }

    /// Waits for a datagram.
    ///
    /// # Errors
    ///
    /// Those of the socket.
    pub async fn readable(&self) -> std::io::Result<()> {
        self.socket.readable().await
    }

    /// Messages that have arrived, at most a few.
    pub fn receive(&mut self) -> Vec<PeerMessage> {
        let mut messages = Vec::new();
        for _ in 0..MOST_AT_ONCE {
            // An error is that there is nothing, or an ICMP answer to something sent.
            let Ok((length, _)) = self.socket.try_recv_from(&mut self.buffer) else {
                break;
            };
            match open(&mut self.codec, &self.buffer[..length]) {
                Ok(message) => {
                    self.counters.received += 1;
                    messages.push(message);
                }
                Err(reason) => *self.counters.rejected.entry(reason).or_default() += 1,
            }
        }
        messages
    }

    /// Sends a message without waiting.
    pub fn send(&mut self, to: Option<NodeId>, address: SocketAddr, message: &Message) {
        match self.try_send(to, address, message) {
            Some(length) => {
                self.counters.sent += 1;
                self.counters.sent_bytes += length as u64;
            }
            None => self.counters.send_failed += 1,
        }
    }

    /// What was done so far.
    #[must_use]
    pub const fn counters(&self) -> &PeerCounters {
        &self.counters
    }

    fn try_send(
        &mut self,
        to: Option<NodeId>,
        address: SocketAddr,
        message: &Message,
    ) -> Option<usize> {
        let encoded = message.encode().ok()?;
        let datagram = self.codec.seal(to, address, &encoded).ok()?;
        self.socket.try_send_to(&datagram, address).ok()
    }
}

fn open(codec: &mut PeerCodec, datagram: &[u8]) -> Result<PeerMessage, RejectReason> {
    let opened = codec.open(datagram)?;
    let message = Message::decode(&opened.message).map_err(|_| RejectReason::Malformed)?;
    if message.sender != opened.sender {
        return Err(RejectReason::Malformed);
    }
    Ok(PeerMessage {
        from: opened.sender,
        message,
    })
}
