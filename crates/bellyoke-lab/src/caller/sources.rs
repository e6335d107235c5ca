//! The addresses and ports that callers use, each pair once.

use std::net::SocketAddr;

use crate::network::Prefix;

/// Most addresses of a prefix that callers use.
const MOST_ADDRESSES: u64 = 254;

const FIRST_PORT: u64 = 1024;
const PORTS: u64 = 64_512;

/// Hands out source addresses; a pair comes again only after all others of the prefix.
#[derive(Debug)]
pub struct Sources {
    prefixes: Vec<Prefix>,
    next: u64,
}

impl Sources {
    /// Starts at a place that depends on `seed`, so that a restarted caller uses other ports.
    pub fn new(prefixes: Vec<Prefix>, seed: u64) -> Self {
        let next = seed.wrapping_mul(MOST_ADDRESSES * 997) % (MOST_ADDRESSES * PORTS);
        Self { prefixes, next }
    }

    /// The next source of the wanted IP version.
    pub fn next(&mut self, is_ipv4: bool) -> Option<SocketAddr> {
        let index = self.next;
        self.next += 1;
        let mut prefixes = self
            .prefixes
            .iter()
            .filter(|prefix| prefix.is_ipv4() == is_ipv4);
        let prefix = prefixes.next()?;
        let addresses = prefix.hosts().min(MOST_ADDRESSES);
        let host = u8::try_from(index % addresses + 1).ok()?;
        let port = u16::try_from(FIRST_PORT + index / addresses % PORTS).ok()?;
        Some(SocketAddr::new(prefix.address(host), port))
    }
}
