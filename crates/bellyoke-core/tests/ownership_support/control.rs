//! Models of the store, membership and the barrier, as far as ownership depends on them.

use super::node::{DELAY_HORIZON, LEASE_DURATION};
use bellyoke_core::generation::Generation;
use bellyoke_core::identity::{GenerationNumber, NodeId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Published generations, acknowledgements and barriers.
#[derive(Debug)]
pub struct Control {
    pub generations: Vec<Arc<Generation>>,
    acknowledged: BTreeMap<NodeId, GenerationNumber>,
    /// Members removed after a failure, and the generation that removed them.
    failed: BTreeMap<NodeId, GenerationNumber>,
    majority_at: BTreeMap<GenerationNumber, u64>,
    pub barrier: GenerationNumber,
}

impl Control {
    pub fn new(first: Arc<Generation>) -> Self {
        Self {
            generations: vec![first],
            acknowledged: BTreeMap::new(),
            failed: BTreeMap::new(),
            majority_at: BTreeMap::new(),
            barrier: GenerationNumber(1),
        }
    }

    pub fn newest(&self) -> &Arc<Generation> {
        self.generations.last().expect("never empty")
    }

    pub fn generation(&self, number: GenerationNumber) -> &Arc<Generation> {
        &self.generations[number.0 as usize - 1]
    }

    pub fn remove_failed(&mut self, node: NodeId, removed_by: GenerationNumber) {
        self.failed.insert(node, removed_by);
    }

    pub fn acknowledge(&mut self, now: u64, node: NodeId, number: GenerationNumber) {
        let known = self.acknowledged.entry(node).or_default();
        *known = (*known).max(number);
        for generation in &self.generations {
            let members = &generation.members;
            let has_acknowledged =
                |node: &NodeId| self.acknowledged.get(node) >= Some(&generation.number);
            let count = members
                .iter()
                .filter(|member| has_acknowledged(&member.node))
                .count();
            if count > members.len() / 2 {
                self.majority_at.entry(generation.number).or_insert(now);
            }
        }
    }

    /// Passes the next barrier if possible. Barriers pass in order: a node that left as planned in
    /// generation n+1 must have acknowledged it before the barrier of n+2 passes.
    pub fn advance_barrier(&mut self, now: u64) -> Option<GenerationNumber> {
        let next = GenerationNumber(self.barrier.0 + 1);
        let generation = self.generations.get(next.0 as usize - 1)?;
        let previous = self.generation(self.barrier);
        let members: BTreeSet<NodeId> = generation
            .members
            .iter()
            .chain(&previous.members)
            .map(|member| member.node)
            .collect();
        if !members
            .iter()
            .all(|node| self.allows_barrier(now, *node, next))
        {
            return None;
        }
        self.barrier = next;
        Some(next)
    }

    fn allows_barrier(&self, now: u64, node: NodeId, number: GenerationNumber) -> bool {
        if self.acknowledged.get(&node) >= Some(&number) {
            return true;
        }
        let majority_at = self
            .failed
            .get(&node)
            .and_then(|removed_by| self.majority_at.get(removed_by));
        let wait = (LEASE_DURATION + DELAY_HORIZON).as_micros() as u64;
        majority_at.is_some_and(|majority| now >= majority + wait)
    }
}
