//! The tunnel between a packet host and the fabric: one whole IP packet in each UDP datagram.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Context;
use smoltcp::time::Instant;
use tokio::net::UdpSocket;
use tracing::debug;

use super::socket::bind_udp;

/// Largest datagram read from the tunnel, in bytes.
const DATAGRAM_LIMIT: usize = 2048;

/// Datagrams read before the host may send again: many, since the host goes through all of its sockets then.
const RECEIVE_BATCH: usize = 1024;

/// Longest sleep, so that switches set by an operator take effect soon.
const LONGEST_SLEEP: Duration = Duration::from_millis(20);

/// A host on the network, without sockets or clocks: packets and time are arguments.
pub trait PacketHost {
    /// Handles one IP packet from the network.
    fn receive(&mut self, now: Instant, packet: &[u8]);

    /// Does what is due at `now`.
    fn poll(&mut self, now: Instant);

    /// Takes the next IP packet for the network.
    fn next_packet(&mut self) -> Option<Vec<u8>>;

    /// Returns the time until [`Self::poll`] has something to do, if that is known.
    fn poll_delay(&mut self, now: Instant) -> Option<smoltcp::time::Duration>;

    /// Whether the host has nothing more to do, ever.
    fn is_finished(&self) -> bool {
        false
    }
}

/// Runs `host` on the datagrams of `listen` until it is finished; its packets go to `fabric`.
///
/// # Errors
///
/// Fails when the socket can't be bound or read.
pub async fn run_tunnel<H: PacketHost>(
    host: Arc<Mutex<H>>,
    listen: SocketAddr,
    fabric: SocketAddr,
) -> anyhow::Result<()> {
    let socket = bind_udp(listen).with_context(|| format!("bind the tunnel to {listen}"))?;
    let started = tokio::time::Instant::now();
    let mut delay = Duration::ZERO;
    loop {
        tokio::select! {
            readable = socket.readable() => readable?,
            () = tokio::time::sleep(delay) => {}
        }
        let now = Instant::from_micros(i64::try_from(started.elapsed().as_micros())?);
        let outgoing = {
            let mut host = lock(&host);
            receive_batch(&mut *host, &socket, now)?;
            host.poll(now);
            delay = next_delay(&mut *host, now);
            drain_packets(&mut *host)
        };
        send_all(&socket, fabric, outgoing).await;
        if lock(&host).is_finished() {
            return Ok(());
        }
    }
}

fn lock<H>(host: &Mutex<H>) -> MutexGuard<'_, H> {
    host.lock().unwrap_or_else(PoisonError::into_inner)
}

fn next_delay<H: PacketHost>(host: &mut H, now: Instant) -> Duration {
    host.poll_delay(now)
        .map_or(LONGEST_SLEEP, Duration::from)
        .min(LONGEST_SLEEP)
}

fn drain_packets<H: PacketHost>(host: &mut H) -> Vec<Vec<u8>> {
    std::iter::from_fn(|| host.next_packet()).collect()
}

fn receive_batch<H: PacketHost>(
    host: &mut H,
    socket: &UdpSocket,
    now: Instant,
) -> anyhow::Result<()> {
    let mut datagram = [0; DATAGRAM_LIMIT];
    for _ in 0..RECEIVE_BATCH {
        match socket.try_recv(&mut datagram) {
            Ok(length) => host.receive(now, &datagram[..length]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
            // Loopback reports that an earlier datagram found no listener; that's a lost packet.
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {}
            Err(error) => return Err(error).context("read the tunnel"),
        }
    }
    Ok(())
}

async fn send_all(socket: &UdpSocket, fabric: SocketAddr, packets: Vec<Vec<u8>>) {
    for packet in packets {
        if let Err(error) = socket.send_to(&packet, fabric).await {
            debug!(%error, "packet lost on its way to the fabric");
        }
    }
}
