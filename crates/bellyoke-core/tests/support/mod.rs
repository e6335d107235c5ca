//! Deterministic network of nodes in virtual time: the same seed gives the same run.
//!
//! Messages are encoded, decoded, and delayed, lost or duplicated at random. Hosts have clocks with
//! different offsets, and can be paused, killed or isolated. The network checks invariants during
//! the run. When a test fails, it prints the seed and a trace.

#![allow(dead_code, unused_imports)]

mod checks;
mod host;
mod network;
mod store;

pub use host::Host;
pub use network::{Link, VirtualNetwork};
pub use store::Store;

use bellyoke_core::generation::{ClusterParameters, Generation, Member, StoreRevision, Zone};
use bellyoke_core::identity::{BackendId, GenerationNumber, NodeId, ServiceId};

/// Returns a generation without services.
pub fn generation(number: u64, members: Vec<Member>) -> Generation {
    Generation {
        number: GenerationNumber(number),
        revision: StoreRevision::default(),
        parameters: ClusterParameters {
            flow_hash_seed: 7,
            groups: 16,
        },
        services: Vec::new(),
        backends: Vec::new(),
        members,
        next_service: ServiceId(1),
        next_backend: BackendId(1),
    }
}

/// Returns the test member for `node`, in one of `zones` zones and with a unique address.
pub fn member(node: u64, zones: u64) -> Member {
    let [.., high, low] = node.to_be_bytes();
    let address = format!("192.0.{high}.{low}:7000");
    Member {
        node: NodeId(node),
        zone: Zone(format!("zone-{}", node % zones)),
        peer_address: address.parse().expect("a valid address"),
    }
}
