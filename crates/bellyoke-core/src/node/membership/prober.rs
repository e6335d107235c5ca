//! Selection of probe targets, and pending probes.

use crate::identity::NodeId;
use crate::time::Timestamp;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Maximum number of pending probes on behalf of other members.
const MAXIMUM_RELAYED_PROBES: usize = 256;

/// A pending probe on this node's own behalf.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// The probed member.
    pub target: NodeId,
    /// Sequence number repeated in the answer.
    pub sequence: u32,
    /// Time at which to request indirect probes; `None` if that was done.
    pub indirect_at: Option<Timestamp>,
}

/// A probe on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub struct RelayedProbe {
    /// The requesting member.
    pub origin: NodeId,
    /// Sequence number of its request.
    pub origin_sequence: u32,
    expires_at: Timestamp,
}

/// Selects all members in turn, in an order shuffled for each round (SWIM, section 4.3).
#[derive(Debug, Default)]
pub struct Prober {
    pending_targets: Vec<NodeId>,
    sequence: u32,
    current: Option<Probe>,
    relayed: BTreeMap<u32, RelayedProbe>,
}

impl Prober {
    /// Returns the next member of `live` to probe. `live` must be sorted.
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

    /// Starts a probe and returns its sequence number.
    pub fn start(&mut self, target: NodeId, indirect_at: Timestamp) -> u32 {
        let sequence = self.next_sequence();
        self.current = Some(Probe {
            target,
            sequence,
            indirect_at: Some(indirect_at),
        });
        sequence
    }

    /// Returns the pending probe for modification.
    pub fn current_mut(&mut self) -> Option<&mut Probe> {
        self.current.as_mut()
    }

    /// Returns the pending probe.
    #[must_use]
    pub fn current(&self) -> Option<Probe> {
        self.current
    }

    /// Removes and returns the pending probe.
    pub fn finish(&mut self) -> Option<Probe> {
        self.current.take()
    }

    /// Starts a probe on behalf of `origin` and returns its sequence number, or `None` if too many
    /// are pending.
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

    /// Removes and returns the relayed probe with this sequence number.
    pub fn take_relayed(&mut self, sequence: u32) -> Option<RelayedProbe> {
        self.relayed.remove(&sequence)
    }

    /// Removes expired relayed probes.
    pub fn expire_relayed(&mut self, now: Timestamp) {
        self.relayed.retain(|_, relayed| relayed.expires_at > now);
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }
}
