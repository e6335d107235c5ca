//! Where the fabric sends a packet.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::options::{Route, SprayMode};
use crate::network::{FlowKey, PacketSummary};

/// What the router decides by.
#[derive(Debug, Clone)]
pub struct RouterSettings {
    /// Routes to the callers.
    pub routes: Vec<Route>,
    /// What the choice of a balancer depends on.
    pub spray: SprayMode,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Where a packet goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Destination {
    /// To a caller process.
    Caller(SocketAddr),
    /// To a balancer.
    Balancer(SocketAddr),
    /// Nowhere: there is no balancer.
    NoBalancer,
    /// Nowhere: it isn't an IP packet.
    Malformed,
}

/// Chooses a destination for each packet.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    random: ChaCha8Rng,
}

impl Router {
    /// Creates a router; the same settings give the same choices.
    #[must_use]
    pub fn new(settings: RouterSettings) -> Self {
        let random = ChaCha8Rng::seed_from_u64(settings.seed);
        Self { settings, random }
    }

    /// Chooses where `packet` goes.
    pub fn route(&mut self, packet: &[u8], balancers: &[SocketAddr]) -> Destination {
        let Some(PacketSummary { flow, .. }) = PacketSummary::read(packet) else {
            return Destination::Malformed;
        };
        let mut routes = self.settings.routes.iter();
        if let Some(route) = routes.find(|route| route.prefix.contains(flow.destination)) {
            return Destination::Caller(route.tunnel);
        }
        if balancers.is_empty() {
            return Destination::NoBalancer;
        }
        let index = match self.settings.spray {
            SprayMode::Packet => self.random.random_range(0..balancers.len()),
            SprayMode::Flow => hash_index(&flow, balancers.len()),
        };
        Destination::Balancer(balancers[index])
    }
}

fn hash_index(flow: &FlowKey, count: usize) -> usize {
    let mut hasher = DefaultHasher::new();
    flow.hash(&mut hasher);
    let index = hasher.finish() % count as u64;
    usize::try_from(index).unwrap_or(0)
}
