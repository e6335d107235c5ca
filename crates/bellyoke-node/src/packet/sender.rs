//! Sends packets to instances, paced by the capacity of the node's link.

use bellyoke_core::cookie::link::{LinkPacer, OutgoingPacket, SendDecision};
use bellyoke_core::cookie::packet::{Destination, FlowPacket};
use bellyoke_core::time::Timestamp;
use std::io;
use std::net::{SocketAddrV4, UdpSocket};
use std::os::fd::{AsFd, BorrowedFd};

/// A datagram queued until the link has capacity.
#[derive(Debug)]
struct QueuedDatagram {
    bytes: Box<[u8]>,
    address: SocketAddrV4,
}

/// Result of sending a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The packet was sent.
    Sent,
    /// The packet was queued.
    Queued,
    /// The same data is already queued; the packet was dropped.
    Duplicate,
    /// The queue is full; the packet was dropped.
    QueueFull,
}

/// Sends the packets of a traffic thread over the node's link.
#[derive(Debug)]
pub struct LinkSender {
    socket: UdpSocket,
    pacer: LinkPacer<QueuedDatagram>,
}

impl LinkSender {
    /// Creates a sender that uses `socket`.
    #[must_use]
    pub fn new(socket: UdpSocket) -> Self {
        Self {
            socket,
            pacer: LinkPacer::default(),
        }
    }

    /// Returns the file descriptor of the socket, for receiving.
    #[must_use]
    pub fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }

    /// Sends a datagram to an instance, or queues it until the link has capacity.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system fails to send the datagram.
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

    /// Sends a datagram immediately.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system fails to send the datagram.
    pub fn send(&self, datagram: &[u8], to: SocketAddrV4) -> io::Result<()> {
        self.socket.send_to(datagram, to)?;
        Ok(())
    }

    /// Sends the queued datagrams that are due.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system fails to send a datagram. The remaining datagrams
    /// are sent by the next call.
    pub fn send_due(&mut self, now: Timestamp) -> io::Result<()> {
        while let Some(queued) = self.pacer.next_due(now) {
            self.send(&queued.bytes, queued.address)?;
        }
        Ok(())
    }

    /// Returns when the next queued datagram is due, or `None` if the queue is empty.
    #[must_use]
    pub fn next_due_at(&self) -> Option<Timestamp> {
        self.pacer.next_due_at()
    }

    /// Returns the number of queued datagrams.
    #[must_use]
    pub fn queued_packets(&self) -> usize {
        self.pacer.queued_packets()
    }

    /// Returns the estimated rate of the link in bytes per second, or `None` while it is not paced.
    #[must_use]
    pub fn bytes_per_second(&self) -> Option<f32> {
        self.pacer.bytes_per_second()
    }
}
