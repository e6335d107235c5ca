//! Handover lists that arrive before their owner can accept them, because it has not received the
//! generation or not completed its claim to the group. They are stored: otherwise the barrier
//! would wait until the sender's next retry.

use super::Ownership;
use super::message::{HandoverBatch, HandoverReceipt};
use crate::identity::NodeId;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// Maximum number of stored parts. Senders repeat the others.
const MAX_EARLY_PARTS: usize = 1024;

/// Parts of handover lists that arrived too early.
#[derive(Debug, Default)]
pub(super) struct EarlyHandovers {
    parts: BTreeMap<(NodeId, HandoverReceipt), HandoverBatch>,
}

impl EarlyHandovers {
    /// Stores a part unless the limit has been reached.
    pub(super) fn insert(&mut self, from: NodeId, batch: HandoverBatch) {
        if self.parts.len() < MAX_EARLY_PARTS {
            self.parts.insert((from, batch.receipt), batch);
        }
    }
}

impl Ownership {
    /// Handles the stored parts. Those that are still too early are stored again.
    pub(super) fn apply_early_handovers(&mut self, now: Timestamp) {
        let parts = std::mem::take(&mut self.early_handovers.parts);
        for ((from, _), batch) in parts {
            self.handle_handover(now, from, batch);
        }
    }
}
