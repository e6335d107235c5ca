//! Handover lists that reach their owner before it can take them in: it has yet to learn the
//! generation, or to claim the group. Kept, they need not be sent again, which would make
//! the barrier wait for the sender's next try.

use super::Ownership;
use super::message::{HandoverBatch, HandoverReceipt};
use crate::identity::NodeId;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// Most parts of lists that are kept; their senders send the others again.
const MAX_EARLY_PARTS: usize = 1024;

/// Parts of handover lists that came too early.
#[derive(Debug, Default)]
pub(super) struct EarlyHandovers {
    parts: BTreeMap<(NodeId, HandoverReceipt), HandoverBatch>,
}

impl EarlyHandovers {
    /// Keeps a part, if there is room.
    pub(super) fn insert(&mut self, from: NodeId, batch: HandoverBatch) {
        if self.parts.len() < MAX_EARLY_PARTS {
            self.parts.insert((from, batch.receipt), batch);
        }
    }
}

impl Ownership {
    /// Takes in what came too early. What still does is kept again.
    pub(super) fn apply_early_handovers(&mut self, now: Timestamp) {
        let parts = std::mem::take(&mut self.early_handovers.parts);
        for ((from, _), batch) in parts {
            self.handle_handover(now, from, batch);
        }
    }
}
