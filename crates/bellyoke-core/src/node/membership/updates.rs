//! Which updates ride on the next messages, and how often each has.

use crate::identity::NodeId;
use std::collections::BTreeMap;

/// Members whose records are yet to be passed on.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    remaining: BTreeMap<NodeId, u32>,
}

impl UpdateQueue {
    /// The record of `node` has changed: pass it on `times` times.
    pub fn add(&mut self, node: NodeId, times: u32) {
        self.remaining.insert(node, times);
    }

    /// Nothing more is to be said about `node`.
    pub fn remove(&mut self, node: NodeId) {
        self.remaining.remove(&node);
    }

    /// At most `count` members, those passed on least first.
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
