//! The platform's routers: which node gets a packet.

use bellyoke_core::cookie::packet::FlowTuple;

/// How a packet's flow chooses among the nodes that are in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterHash {
    /// By remainder: nearly all flows meet another node when one comes or goes.
    Modulo,
    /// By rendezvous: only the flows of that node do.
    Rendezvous,
}

/// Missed polls after which a node is out.
pub const MISSES: u32 = 2;

/// What the routers believe of one node.
#[derive(Clone, Copy, Debug, Default)]
struct NodeView {
    known: bool,
    misses: u32,
}

/// The routers of one zone.
#[derive(Debug)]
pub struct Router {
    hash: RouterHash,
    nodes: Vec<NodeView>,
}

impl Router {
    /// Routers that have asked nobody yet.
    #[must_use]
    pub fn new(hash: RouterHash, nodes: usize) -> Self {
        Self {
            hash,
            nodes: vec![NodeView::default(); nodes],
        }
    }

    /// A node was asked whether it is ready.
    pub fn record_poll(&mut self, node: usize, ready: bool) {
        let view = &mut self.nodes[node];
        if ready {
            view.known = true;
            view.misses = 0;
        } else {
            view.misses = view.misses.saturating_add(1);
        }
    }

    /// The node for a flow's packet; none if none was ever ready. With fewer than half of the
    /// nodes in, all are used.
    #[must_use]
    pub fn choose(&self, flow: FlowTuple) -> Option<usize> {
        let known = self.nodes.iter().filter(|view| view.known).count();
        let is_in = |view: &NodeView| view.known && view.misses < MISSES;
        let ready = self.nodes.iter().filter(|view| is_in(view)).count();
        let use_all = ready * 2 < known;
        let used: Vec<usize> = (0..self.nodes.len())
            .filter(|node| {
                let view = &self.nodes[*node];
                is_in(view) || (use_all && view.known)
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
