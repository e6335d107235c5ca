//! Queue of the updates to be piggybacked on messages.

use crate::identity::NodeId;
use std::collections::BTreeMap;

/// Members whose updates are to be sent, with the remaining number of transmissions.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    remaining: BTreeMap<NodeId, u32>,
}

impl UpdateQueue {
    /// Schedules the update of `node` for `times` transmissions.
    pub fn add(&mut self, node: NodeId, times: u32) {
        self.remaining.insert(node, times);
    }

    /// Removes `node` from the queue.
    pub fn remove(&mut self, node: NodeId) {
        self.remaining.remove(&node);
    }

    /// Takes one transmission each of at most `count` members, starting with those with the most
    /// remaining transmissions.
    pub fn take(&mut self, count: usize) -> Vec<NodeId> {
        let mut ranked: Vec<(u32, NodeId)> = self
            .remaining
            .iter()
            .map(|(node, remaining)| (*remaining, *node))
            .collect();
        ranked.sort_unstable_by(|left, right| right.0.cmp(&left.0).then(left.1.cmp(&right.1)));
        ranked.truncate(count);
        let nodes: Vec<NodeId> = ranked.into_iter().map(|(_, node)| node).collect();
        for node in &nodes {
            self.decrement(*node);
        }
        nodes
    }

    fn decrement(&mut self, node: NodeId) {
        let Some(remaining) = self.remaining.get_mut(&node) else {
            return;
        };
        *remaining -= 1;
        if *remaining == 0 {
            self.remaining.remove(&node);
        }
    }
}
