//! The sorry server's thread.

use crate::connection::sorry_server::SorryServer;
use anyhow::Context;
use bellyoke_process::clock::MonotonicClock;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::Builder;
use std::time::Duration;

/// Longest wait for a packet.
const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// What the thread has done.
#[derive(Debug, Default)]
pub struct SorryCounters {
    /// Connections that were told that nothing was run.
    pub answered: AtomicU64,
    /// Packets dropped for want of room.
    pub dropped: AtomicU64,
    /// Connections that are held.
    pub connections: AtomicU64,
}

/// The sending end of the thread's queue.
#[derive(Clone, Debug)]
pub struct SorryPort {
    packets: Sender<Vec<u8>>,
    counters: Arc<SorryCounters>,
}

impl SorryPort {
    /// Hands over a packet of a refused flow; it is dropped, and counted, if the queue is full.
    pub fn refuse(&self, packet: Vec<u8>) {
        if self.packets.try_send(packet).is_err() {
            self.counters.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// What the thread has done.
    #[must_use]
    pub fn counters(&self) -> &SorryCounters {
        &self.counters
    }
}

/// Where the thread sends its answers, and how much it takes on.
#[derive(Clone, Copy, Debug)]
pub struct SorrySettings {
    /// UDP address that encapsulated answers are sent to.
    pub fabric: SocketAddr,
    /// Most connections at once.
    pub connections: usize,
    /// Most packets that wait for it.
    pub queue_packets: usize,
}

/// Starts the thread; it ends when all its ports are gone.
///
/// # Errors
///
/// If the thread cannot be started.
pub fn start_sorry_server(
    settings: SorrySettings,
    clock: MonotonicClock,
    socket: UdpSocket,
) -> anyhow::Result<SorryPort> {
    let (sender, packets) = bounded(settings.queue_packets);
    let counters = Arc::new(SorryCounters::default());
    let port = SorryPort {
        packets: sender,
        counters: Arc::clone(&counters),
    };
    let server = SorryServer::new(settings.connections, rand::random());
    let worker = SorryThread {
        server,
        clock,
        socket,
        fabric: settings.fabric,
        packets,
        counters,
    };
    Builder::new()
        .name("sorry-server".to_owned())
        .spawn(move || worker.run())
        .context("start the sorry server's thread")?;
    Ok(port)
}

struct SorryThread {
    server: SorryServer,
    clock: MonotonicClock,
    socket: UdpSocket,
    fabric: SocketAddr,
    packets: Receiver<Vec<u8>>,
    counters: Arc<SorryCounters>,
}

impl SorryThread {
    fn run(mut self) {
        loop {
            let wait = self.wait();
            let answers = match self.packets.recv_timeout(wait) {
                Ok(packet) => self.server.receive(self.clock.now(), packet),
                Err(RecvTimeoutError::Timeout) => self.server.poll(self.clock.now()),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            for answer in answers {
                // A lost answer is sent again by TCP.
                let _ = self.socket.send_to(&answer, self.fabric);
            }
            self.publish();
        }
    }

    fn wait(&mut self) -> Duration {
        let now = self.clock.now();
        let due = self.server.poll_at(now);
        due.map_or(LONGEST_WAIT, |due| due.since(now))
            .min(LONGEST_WAIT)
    }

    fn publish(&self) {
        let counters = &self.counters;
        counters
            .answered
            .store(self.server.answered(), Ordering::Relaxed);
        counters
            .connections
            .store(self.server.connections() as u64, Ordering::Relaxed);
    }
}
