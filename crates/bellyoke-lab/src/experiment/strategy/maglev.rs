//! A Maglev lookup table for each service, rebuilt from the backend set at each change
//! (Eisenbud et al., NSDI 2016).

use super::BackendIndex;
use super::table_cluster::Table;
use bellyoke_core::generation::maglev_table;
use bellyoke_core::identity::BackendId;
use bellyoke_core::packet::FlowHash;

/// Size of the table: a prime, well over a hundred entries a backend.
const TABLE_SIZE: usize = 4093;

/// A Maglev table of backends.
pub struct Maglev {
    entries: Vec<Option<BackendId>>,
}

impl Table for Maglev {
    fn build(backends: &[BackendIndex]) -> Self {
        let ids: Vec<BackendId> = backends
            .iter()
            .map(|backend| BackendId(backend.0))
            .collect();
        Self {
            entries: maglev_table(&ids, TABLE_SIZE),
        }
    }

    fn choose(&self, hash: FlowHash) -> Option<BackendIndex> {
        if self.entries.is_empty() {
            return None;
        }
        let entry = self.entries[hash.bucket(self.entries.len())];
        entry.map(|backend| BackendIndex(backend.0))
    }
}
