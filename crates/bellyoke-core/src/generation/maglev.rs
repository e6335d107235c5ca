//! Maglev hashing, a baseline for comparison with [`super::rebalance`].
//!
//! D. Eisenbud et al., "Maglev: A Fast and Reliable Software Network Load Balancer", NSDI
//! 2016, section 3.4. The paper requires a prime table size, for which every skip visits all
//! entries. This implementation increments a skip until it is coprime to the size, which also
//! allows powers of two.

use crate::identity::BackendId;
use twox_hash::XxHash3_64;

const OFFSET_SEED: u64 = 1;
const SKIP_SEED: u64 = 2;

/// Preference list of a backend: the order in which it claims table entries.
struct Preference {
    backend: BackendId,
    position: usize,
    skip: usize,
}

impl Preference {
    fn new(backend: BackendId, size: usize) -> Self {
        let table_size = size as u64;
        let position = backend_hash(backend, OFFSET_SEED) % table_size;
        let mut skip = backend_hash(backend, SKIP_SEED) % table_size.max(2).saturating_sub(1) + 1;
        while greatest_common_divisor(skip, table_size) != 1 {
            skip += 1;
        }
        Self {
            backend,
            position: position as usize,
            skip: skip as usize,
        }
    }

    /// Claims the first free entry of the preference list.
    fn claim(&mut self, table: &mut [Option<BackendId>]) {
        while table[self.position].is_some() {
            self.position = (self.position + self.skip) % table.len();
        }
        table[self.position] = Some(self.backend);
    }
}

/// Computes a Maglev table of `size` entries for backends of equal weight.
#[must_use]
pub fn maglev_table(backends: &[BackendId], size: usize) -> Vec<Option<BackendId>> {
    let mut table = vec![None; size];
    if backends.is_empty() || size == 0 {
        return table;
    }
    let mut preferences: Vec<_> = backends
        .iter()
        .map(|backend| Preference::new(*backend, size))
        .collect();
    for step in 0..size {
        preferences[step % backends.len()].claim(&mut table);
    }
    table
}

fn backend_hash(backend: BackendId, seed: u64) -> u64 {
    XxHash3_64::oneshot_with_seed(seed, &backend.0.to_le_bytes())
}

fn greatest_common_divisor(left: u64, right: u64) -> u64 {
    if right == 0 {
        return left;
    }
    greatest_common_divisor(right, left % right)
}
