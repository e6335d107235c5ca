//! The fabric's one UDP socket: reads a packet, chooses its way, passes it on.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Context;
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;

use super::links::Links;
use super::machines::MachineList;
use super::options::FabricOptions;
use super::spray::{Destination, Router, RouterSettings};
use crate::network::bind_udp;

/// Largest datagram, in bytes.
const DATAGRAM_LIMIT: usize = 2048;

/// Packets that may be delayed at one time.
const DELAYED_PACKETS_LIMIT: usize = 4096;

/// The fabric's packet path.
pub struct Forwarder {
    socket: Arc<UdpSocket>,
    router: Router,
    machines: Arc<Mutex<MachineList>>,
    links: Arc<Mutex<Links>>,
    delayed: Arc<Semaphore>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Forwarder {
    /// Binds the fabric's socket.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub fn bind(
        options: &FabricOptions,
        machines: Arc<Mutex<MachineList>>,
        links: Arc<Mutex<Links>>,
    ) -> anyhow::Result<Self> {
        let socket = bind_udp(options.listen)
            .with_context(|| format!("bind the fabric to {}", options.listen))?;
        let settings = RouterSettings {
            routes: options.routes.clone(),
            spray: options.spray,
            seed: options.seed,
        };
        Ok(Self {
            socket: Arc::new(socket),
            router: Router::new(settings),
            machines,
            links,
            delayed: Arc::new(Semaphore::new(DELAYED_PACKETS_LIMIT)),
        })
    }

    /// The address that the fabric's socket has.
    ///
    /// # Errors
    ///
    /// Fails when the operating system can't tell.
    pub fn local_address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Forwards packets for as long as it is polled.
    pub async fn run(mut self) -> Infallible {
        let mut datagram = [0; DATAGRAM_LIMIT];
        loop {
            // An error here says that an earlier datagram found no listener; that's a lost packet.
            if let Ok((length, _)) = self.socket.recv_from(&mut datagram).await {
                self.forward(&datagram[..length]).await;
            }
        }
    }

    async fn forward(&mut self, packet: &[u8]) {
        let destination = {
            let machines = lock(&self.machines);
            self.router.route(packet, machines.balancers())
        };
        match destination {
            Destination::Caller(tunnel) => {
                *lock(&self.links)
                    .counters
                    .to_callers
                    .entry(tunnel)
                    .or_default() += 1;
                self.send(packet, tunnel).await;
            }
            Destination::Balancer(balancer) => self.forward_to_balancer(packet, balancer).await,
            Destination::NoBalancer => lock(&self.links).counters.no_balancer += 1,
            Destination::Malformed => lock(&self.links).counters.malformed += 1,
        }
    }

    async fn forward_to_balancer(&self, packet: &[u8], balancer: SocketAddr) {
        let delay = {
            let mut links = lock(&self.links);
            if links.is_cut(balancer) {
                links.counters.cut += 1;
                return;
            }
            *links.counters.to_balancers.entry(balancer).or_default() += 1;
            links.delay(balancer)
        };
        if delay.is_zero() {
            self.send(packet, balancer).await;
        } else {
            self.send_later(packet.to_vec(), balancer, delay);
        }
    }

    async fn send(&self, packet: &[u8], destination: SocketAddr) {
        if self.socket.send_to(packet, destination).await.is_err() {
            lock(&self.links).counters.send_failed += 1;
        }
    }

    fn send_later(&self, packet: Vec<u8>, destination: SocketAddr, delay: Duration) {
        let Ok(permit) = Arc::clone(&self.delayed).try_acquire_owned() else {
            lock(&self.links).counters.delay_overflow += 1;
            return;
        };
        let socket = Arc::clone(&self.socket);
        let links = Arc::clone(&self.links);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            if socket.send_to(&packet, destination).await.is_err() {
                lock(&links).counters.send_failed += 1;
            }
            drop(permit);
        });
    }
}
