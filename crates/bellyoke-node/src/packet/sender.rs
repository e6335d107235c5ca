//! Sends packets to instances, at once or when the node's link has room.

use bellyoke_core::cookie::link::{LinkPacer, OutgoingPacket, SendDecision};
use bellyoke_core::cookie::packet::{Destination, FlowPacket};
use bellyoke_core::time::Timestamp;
use std::io;
use std::net::{SocketAddrV4, UdpSocket};
use std::os::fd::{AsFd, BorrowedFd};

/// A datagram that waits for room on the link.
#[derive(Debug)]
struct QueuedDatagram {
    bytes: Box<[u8]>,
    address: SocketAddrV4,
}

/// What became of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// It was sent.
    Sent,
    /// It waits.
    Queued,
    /// The same data waits already.
    Duplicate,
    /// Too much waits.
    QueueFull,
}

/// One thread's way out.
#[derive(Debug)]
pub struct LinkSender {
    socket: UdpSocket,
    pacer: LinkPacer<QueuedDatagram>,
}

impl LinkSender {
    /// Sends by `socket`.
    #[must_use]
    pub fn new(socket: UdpSocket) -> Self {
        Self {
            socket,
            pacer: LinkPacer::default(),
        }
    }

    /// The socket, to receive by.
    #[must_use]
    pub fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }

    /// Sends a datagram to an instance, or holds it back.
    ///
    /// # Errors
    ///
    /// If the system can't send it.
    pub fn forward(
        &mut self,
        now: Timestamp,
        packet: &FlowPacket,
        datagram: &[u8],
        destination: &Destination,
    ) -> io::Result<SendOutcome> {
        let outgoing = OutgoingPacket {
            flow_hash: packet.flow.hash(),
            data_sequence: packet.data_sequence,
            length: datagram.len(),
        };
        match self.pacer.offer(now, &outgoing) {
            SendDecision::Now => {
                self.send(datagram, destination.address)?;
                return Ok(SendOutcome::Sent);
            }
            SendDecision::Duplicate => return Ok(SendOutcome::Duplicate),
            SendDecision::QueueFull => return Ok(SendOutcome::QueueFull),
            SendDecision::Enqueue => {}
        }
        let queued = QueuedDatagram {
            bytes: datagram.into(),
            address: destination.address,
        };
        self.pacer.enqueue(outgoing, queued);
        Ok(SendOutcome::Queued)
    }

    /// Sends a datagram at once.
    ///
    /// # Errors
    ///
    /// If the system can't send it.
    pub fn send(&self, datagram: &[u8], to: SocketAddrV4) -> io::Result<()> {
        self.socket.send_to(datagram, to)?;
        Ok(())
    }

    /// Sends what was held back and may go by now.
    ///
    /// # Errors
    ///
    /// If the system can't send one; further ones go with the next call.
    pub fn send_due(&mut self, now: Timestamp) -> io::Result<()> {
        while let Some(queued) = self.pacer.next_due(now) {
            self.send(&queued.bytes, queued.address)?;
        }
        Ok(())
    }

    /// When the next datagram that was held back may go; none if none was.
    #[must_use]
    pub fn next_due_at(&self) -> Option<Timestamp> {
        self.pacer.next_due_at()
    }

    /// Datagrams that wait.
    #[must_use]
    pub fn queued_packets(&self) -> usize {
        self.pacer.queued_packets()
    }

    /// The learned rate of the link, bytes a second; none while nothing is paced.
    #[must_use]
    pub fn bytes_per_second(&self) -> Option<f32> {
        self.pacer.bytes_per_second()
    }
}
