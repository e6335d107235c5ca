//! The platform's routers, which choose the node for each packet.

use bellyoke_core::cookie::packet::FlowTuple;

/// Hash that maps flows to ready nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterHash {
    /// Hash modulo the number of nodes: nearly all flows move to another node when a node is added
    /// or removed.
    Modulo,
    /// Rendezvous hashing: only the flows of the added or removed node move.
    Rendezvous,
}

/// Number of consecutive failed polls after which a node counts as not ready.
pub const UNREADY_AFTER_MISSED_POLLS: u32 = 2;

/// Readiness of a node as seen by the routers.
#[derive(Clone, Copy, Debug, Default)]
struct NodeStatus {
    was_ready: bool,
    missed_polls: u32,
}

/// The routers of a zone.
#[derive(Debug)]
pub struct Router {
    hash: RouterHash,
    nodes: Vec<NodeStatus>,
}

impl Router {
    /// Creates routers that have not polled any node.
    #[must_use]
    pub fn new(hash: RouterHash, nodes: usize) -> Self {
        Self {
            hash,
            nodes: vec![NodeStatus::default(); nodes],
        }
    }

    /// Records the result of polling the readiness of a node.
    pub fn record_poll(&mut self, node: usize, ready: bool) {
        let status = &mut self.nodes[node];
        if ready {
            status.was_ready = true;
            status.missed_polls = 0;
        } else {
            status.missed_polls = status.missed_polls.saturating_add(1);
        }
    }

    /// Returns the node for a packet of `flow`, or `None` if no node was ever ready. All nodes that
    /// were ever ready are used if fewer than half of them are ready now.
    #[must_use]
    pub fn choose(&self, flow: FlowTuple) -> Option<usize> {
        let ever_ready = self.nodes.iter().filter(|status| status.was_ready).count();
        let is_ready = |status: &NodeStatus| {
            status.was_ready && status.missed_polls < UNREADY_AFTER_MISSED_POLLS
        };
        let ready = self.nodes.iter().filter(|status| is_ready(status)).count();
        let use_all = ready * 2 < ever_ready;
        let used: Vec<usize> = (0..self.nodes.len())
            .filter(|node| {
                let status = &self.nodes[*node];
                is_ready(status) || (use_all && status.was_ready)
            })
            .collect();
        if used.is_empty() {
            return None;
        }
        let hash = flow.hash();
        match self.hash {
            RouterHash::Modulo => {
                let count = u64::try_from(used.len()).unwrap_or(u64::MAX);
                usize::try_from(hash % count).ok().map(|index| used[index])
            }
            RouterHash::Rendezvous => used.into_iter().max_by_key(|node| {
                let salt = (*node as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                (hash ^ salt).wrapping_mul(0xff51_afd7_ed55_8ccd) >> 7
            }),
        }
    }
}
