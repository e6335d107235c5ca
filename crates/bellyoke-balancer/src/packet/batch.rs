//! Many datagrams with one system call: `recvmmsg(2)` and `sendmmsg(2)`.

use nix::errno::Errno;
use nix::sys::socket::{MsgFlags, MultiHeaders, SockaddrStorage, recvmmsg, sendmmsg};
use std::io::{IoSlice, IoSliceMut};
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::AsRawFd;

/// Buffers that a batch of datagrams is received into.
pub struct ReceiveBatch {
    headers: MultiHeaders<SockaddrStorage>,
    buffers: Vec<u8>,
    datagram_bytes: usize,
    lengths: Vec<usize>,
}

impl ReceiveBatch {
    /// Buffers for `capacity` datagrams of at most `longest` bytes. One byte more is kept for
    /// each, so that a longer datagram shows.
    #[must_use]
    pub fn new(capacity: usize, longest: usize) -> Self {
        let datagram_bytes = longest + 1;
        Self {
            headers: MultiHeaders::preallocate(capacity, None),
            buffers: vec![0; capacity * datagram_bytes],
            datagram_bytes,
            lengths: Vec::with_capacity(capacity),
        }
    }

    /// Receives what waits at `socket`, at most one batch, without blocking. Returns how
    /// many datagrams there are now.
    ///
    /// # Errors
    ///
    /// Those of `recvmmsg(2)`, without "would block", which is no datagram.
    pub fn receive(&mut self, socket: &UdpSocket) -> Result<usize, Errno> {
        self.lengths.clear();
        let mut slices: Vec<[IoSliceMut<'_>; 1]> = self
            .buffers
            .chunks_exact_mut(self.datagram_bytes)
            .map(|buffer| [IoSliceMut::new(buffer)])
            .collect();
        let outcome = recvmmsg(
            socket.as_raw_fd(),
            &mut self.headers,
            slices.iter_mut(),
            MsgFlags::MSG_DONTWAIT,
            None,
        );
        match outcome {
            Ok(results) => self.lengths.extend(results.map(|result| result.bytes)),
            Err(Errno::EAGAIN | Errno::EINTR) => {}
            Err(error) => return Err(error),
        }
        Ok(self.lengths.len())
    }

    /// Bytes of the datagram at `index` of the last [`Self::receive`].
    #[must_use]
    pub fn datagram(&self, index: usize) -> &[u8] {
        let start = index * self.datagram_bytes;
        &self.buffers[start..start + self.lengths[index]]
    }
}

/// What became of a batch that was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendOutcome {
    /// Datagrams that the kernel took.
    pub sent: usize,
    /// Datagrams that it did not take.
    pub failed: usize,
}

/// Sends datagrams to many addresses with few system calls.
pub struct SendBatch {
    headers: MultiHeaders<SockaddrStorage>,
    capacity: usize,
}

impl SendBatch {
    /// Sends at most `capacity` datagrams with one system call.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            headers: MultiHeaders::preallocate(capacity, None),
            capacity,
        }
    }

    /// Sends `datagrams` to `addresses`, pair by pair, without blocking.
    ///
    /// A datagram that the kernel refuses is counted and skipped, so that one unreachable
    /// address does not hold up the others.
    pub fn send(
        &mut self,
        socket: &UdpSocket,
        datagrams: &[[IoSlice<'_>; 1]],
        addresses: &[Option<SockaddrStorage>],
    ) -> SendOutcome {
        let mut outcome = SendOutcome::default();
        let count = datagrams.len().min(addresses.len());
        let mut next = 0;
        while next < count {
            let end = count.min(next + self.capacity);
            let taken = sendmmsg(
                socket.as_raw_fd(),
                &mut self.headers,
                &datagrams[next..end],
                &addresses[next..end],
                [],
                MsgFlags::MSG_DONTWAIT,
            );
            match taken {
                Ok(results) => {
                    let sent = results.count();
                    outcome.sent += sent;
                    next += sent.max(1);
                }
                Err(Errno::EINTR) => {}
                Err(_) => {
                    outcome.failed += 1;
                    next += 1;
                }
            }
        }
        outcome
    }
}

/// The form of `address` that system calls take.
#[must_use]
pub fn storage(address: SocketAddr) -> SockaddrStorage {
    SockaddrStorage::from(address)
}
