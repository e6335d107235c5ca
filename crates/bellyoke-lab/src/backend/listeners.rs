//! The sockets of the backend that wait for a connection.

use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp::State;
use smoltcp::time::Duration;

use crate::network::NetworkStack;

/// Sockets that wait at one time: each takes one connection.
const LISTENER_RESERVE: usize = 16;

/// Bytes that a socket buffers each way.
const SOCKET_BUFFER_SIZE: usize = 8 * 1024;

/// How long a connection may stay silent before the backend resets it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Sockets that listen on one port at every address.
#[derive(Debug)]
pub struct Listeners {
    port: u16,
    waiting: Vec<SocketHandle>,
}

impl Listeners {
    /// Creates an empty set; [`Self::fill`] makes it listen.
    pub fn new(port: u16) -> Self {
        Self {
            port,
            waiting: Vec::new(),
        }
    }

    /// Lets as many sockets listen as there is room for connections.
    pub fn fill(&mut self, stack: &mut NetworkStack, room: usize) {
        while self.waiting.len() < LISTENER_RESERVE.min(room) {
            let handle = stack.add_tcp(SOCKET_BUFFER_SIZE);
            let socket = stack.tcp(handle);
            socket.set_timeout(Some(IDLE_TIMEOUT));
            if socket.listen(self.port).is_err() {
                stack.remove(handle);
                return;
            }
            self.waiting.push(handle);
        }
    }

    /// Takes the sockets to which a connection has come.
    pub fn take_accepted(&mut self, stack: &mut NetworkStack) -> Vec<SocketHandle> {
        let accepted = self
            .waiting
            .extract_if(.., |handle| stack.tcp(*handle).state() != State::Listen);
        accepted.collect()
    }
}
