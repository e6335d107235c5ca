//! The 5-tuple that identifies a flow, and its hash.

use rkyv::{Archive, Deserialize, Serialize};
use std::net::IpAddr;
use twox_hash::XxHash3_128;

/// Load-balanced transport protocols.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
#[rkyv(derive(Debug, PartialEq, Eq, Hash))]
#[serde(rename_all = "UPPERCASE")]
pub enum Transport {
    /// TCP (RFC 9293).
    Tcp,
    /// UDP (RFC 768).
    Udp,
}

/// Source and destination of a flow, in the direction from the caller to the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FlowKey {
    /// Transport protocol.
    pub transport: Transport,
    /// The caller's address.
    pub source: IpAddr,
    /// The caller's port.
    pub source_port: u16,
    /// The service's address.
    pub destination: IpAddr,
    /// The service's port.
    pub destination_port: u16,
}

/// 128-bit seeded hash of a [`FlowKey`], the same on all nodes of a cluster.
///
/// Flow tables store the hash instead of the key. With 13 million flows, the probability of any
/// collision is below 2^-80.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize,
)]
#[rkyv(derive(Debug, PartialEq, Eq, PartialOrd, Ord, Hash))]
pub struct FlowHash(pub u128);

/// Hashes flow keys with the seed of the cluster.
#[derive(Clone, Copy, Debug)]
pub struct FlowHasher {
    seed: u64,
}

/// Two addresses of 16 bytes, two ports of 2 bytes and a protocol number.
const ENCODED_KEY_BYTES: usize = 37;

impl FlowHasher {
    /// Creates a hasher with the `seed` of the cluster.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self { seed }
    }

    /// Returns the hash of `key`.
    #[must_use]
    pub fn hash(&self, key: &FlowKey) -> FlowHash {
        let mut encoded = [0_u8; ENCODED_KEY_BYTES];
        encoded[..16].copy_from_slice(&address_bytes(key.source));
        encoded[16..32].copy_from_slice(&address_bytes(key.destination));
        encoded[32..34].copy_from_slice(&key.source_port.to_be_bytes());
        encoded[34..36].copy_from_slice(&key.destination_port.to_be_bytes());
        encoded[36] = match key.transport {
            Transport::Tcp => 6,
            Transport::Udp => 17,
        };
        FlowHash(XxHash3_128::oneshot_with_seed(self.seed, &encoded))
    }
}

impl FlowHash {
    /// Returns the index of the flow's bucket in a table of `buckets` buckets, at least one.
    #[must_use]
    pub fn bucket(self, buckets: usize) -> usize {
        let high = (self.0 >> 64) as u64;
        let scaled = u128::from(high) * buckets as u128;
        (scaled >> 64) as usize
    }
}

fn address_bytes(address: IpAddr) -> [u8; 16] {
    match address {
        IpAddr::V4(address) => address.to_ipv6_mapped().octets(),
        IpAddr::V6(address) => address.octets(),
    }
}
