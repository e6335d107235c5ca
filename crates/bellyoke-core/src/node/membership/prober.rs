//! Whom to probe next, and the probes under way.

use crate::identity::NodeId;
use crate::time::Timestamp;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Probes that may be under way on behalf of others.
const MAXIMUM_RELAYED_PROBES: usize = 256;

/// A probe of this node's own that is not yet answered.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// The member probed.
    pub target: NodeId,
    /// Number that its answer carries.
    pub sequence: u32,
    /// When to ask others to probe it, unless that was done.
    pub indirect_at: Option<Timestamp>,
}

/// A probe that another member asked for.
#[derive(Clone, Copy, Debug)]
pub struct RelayedProbe {
    /// Who asked.
    pub origin: NodeId,
    /// The number under which it asked.
    pub origin_sequence: u32,
    expires_at: Timestamp,
}

/// Goes round all members in an order that is shuffled for each round (SWIM, 4.3).
#[derive(Debug, Default)]
pub struct Prober {
    pending_targets: Vec<NodeId>,
    sequence: u32,
    current: Option<Probe>,
    relayed: BTreeMap<u32, RelayedProbe>,
}

impl Prober {
    /// The next member to probe of those that `live` lists.
    pub fn next_target(&mut self, live: &[NodeId], random: &mut ChaCha8Rng) -> Option<NodeId> {
        if live.is_empty() {
            return None;
        }
        loop {
            if self.pending_targets.is_empty() {
                self.pending_targets = live.to_vec();
                self.pending_targets.shuffle(random);
            }
            let target = self.pending_targets.pop()?;
            if live.binary_search(&target).is_ok() {
                return Some(target);
            }
        }
    }

    /// Starts a probe and returns its number.
    pub fn start(&mut self, target: NodeId, indirect_at: Timestamp) -> u32 {
        let sequence = self.next_sequence();
        self.current = Some(Probe {
            target,
            sequence,
            indirect_at: Some(indirect_at),
        });
        sequence
    }

    /// The probe under way.
    pub fn current_mut(&mut self) -> Option<&mut Probe> {
        self.current.as_mut()
    }

    /// The probe under way.
    #[must_use]
    pub fn current(&self) -> Option<Probe> {
        self.current
    }

    /// Gives up the probe under way, and returns it.
    pub fn finish(&mut self) -> Option<Probe> {
        self.current.take()
    }

    /// Starts a probe for `origin`; none, if too many are under way.
    pub fn start_relayed(
        &mut self,
        origin: NodeId,
        origin_sequence: u32,
        expires_at: Timestamp,
    ) -> Option<u32> {
        if self.relayed.len() >= MAXIMUM_RELAYED_PROBES {
            return None;
        }
        let sequence = self.next_sequence();
        let relayed = RelayedProbe {
            origin,
            origin_sequence,
            expires_at,
        };
        self.relayed.insert(sequence, relayed);
        Some(sequence)
    }

    /// The relayed probe that an answer with `sequence` belongs to.
    pub fn take_relayed(&mut self, sequence: u32) -> Option<RelayedProbe> {
        self.relayed.remove(&sequence)
    }

    /// Forgets relayed probes that nobody waits for any more.
    pub fn expire_relayed(&mut self, now: Timestamp) {
        self.relayed.retain(|_, relayed| relayed.expires_at > now);
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }
}
