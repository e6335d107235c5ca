//! Selection of members by rendezvous hashing (Thaler, Ravishankar 1996), spread over zones.

use crate::generation::Zone;
use crate::identity::NodeId;
use std::collections::BTreeMap;
use twox_hash::XxHash3_64;

/// Seed of the hash. It makes the selection independent of others that hash the same nodes.
const LEASE_HASH_SEED: u64 = 0x6c65_6173_6500_0001;

/// Number of members in a lease quorum.
pub const LEASE_QUORUM_SIZE: usize = 5;

/// Returns the members that grant leases to `holder`: the first [`LEASE_QUORUM_SIZE`] other
/// members by rendezvous hash, spread over zones. Returns all members if the cluster is no larger
/// than that.
///
/// The hash depends on the holder, which keeps each member's cost of granting leases independent
/// of the cluster size.
#[must_use]
pub fn lease_quorum<'members>(
    members: impl Iterator<Item = (&'members Zone, NodeId)>,
    holder: NodeId,
) -> Vec<NodeId> {
    let members: Vec<(&Zone, NodeId)> = members.collect();
    if members.len() <= LEASE_QUORUM_SIZE {
        return members.into_iter().map(|(_, node)| node).collect();
    }
    let others = members.into_iter().filter(|(_, node)| *node != holder);
    spread_over_zones(others, holder, LEASE_QUORUM_SIZE)
}

/// Returns the smallest number greater than half of `size`.
#[must_use]
pub const fn majority(size: usize) -> usize {
    size / 2 + 1
}

fn spread_over_zones<'members>(
    candidates: impl Iterator<Item = (&'members Zone, NodeId)>,
    holder: NodeId,
    count: usize,
) -> Vec<NodeId> {
    let mut zones: BTreeMap<&Zone, Vec<(u64, NodeId)>> = BTreeMap::new();
    for (zone, node) in candidates {
        let ranked = (score(holder, node), node);
        zones.entry(zone).or_default().push(ranked);
    }
    let mut rounds = Vec::new();
    for ranked in zones.values_mut() {
        ranked.sort_unstable_by(|left, right| right.cmp(left));
        for (round, (score, node)) in ranked.iter().enumerate() {
            rounds.push((round, std::cmp::Reverse(*score), *node));
        }
    }
    rounds.sort_unstable();
    rounds.truncate(count);
    rounds.into_iter().map(|(_, _, node)| node).collect()
}

fn score(holder: NodeId, candidate: NodeId) -> u64 {
    let mut key = [0_u8; 16];
    key[..8].copy_from_slice(&holder.0.to_be_bytes());
    key[8..].copy_from_slice(&candidate.0.to_be_bytes());
    XxHash3_64::oneshot_with_seed(LEASE_HASH_SEED, &key)
}
