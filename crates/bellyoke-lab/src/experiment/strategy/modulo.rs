//! Hash modulo the number of backends.

use super::BackendIndex;
use super::table_cluster::Table;
use bellyoke_core::packet::FlowHash;

/// The backends in order; the hash chooses by its remainder.
pub struct ModuloTable {
    backends: Vec<BackendIndex>,
}

impl Table for ModuloTable {
    fn build(backends: &[BackendIndex]) -> Self {
        Self {
            backends: backends.to_vec(),
        }
    }

    fn choose(&self, hash: FlowHash) -> Option<BackendIndex> {
        let count = self.backends.len() as u128;
        if count == 0 {
            return None;
        }
        Some(self.backends[(hash.0 % count) as usize])
    }
}
