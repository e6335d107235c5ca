//! Lookup tables, which map each bucket to a backend.
//!
//! A new table moves the minimum number of buckets for the change of the quotas. Maglev hashing
//! (`super::maglev`) computes a table without the previous one and moves more buckets. Here every
//! node has the previous table anyway.

use crate::generation::types::ServiceBackend;
use crate::identity::BackendId;
use std::collections::BTreeMap;

/// Number of buckets assigned to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BucketQuota {
    /// The backend.
    pub backend: BackendId,
    /// Number of buckets.
    pub buckets: usize,
}

/// Distributes the buckets of a table by weight with the largest remainder (Hamilton) method.
///
/// Equal remainders are ordered by the number of buckets in `previous`, descending, so a tie
/// moves no bucket, and then by backend number. Backends of weight 0 get no quota.
#[must_use]
pub fn quotas(previous: &[Option<BackendId>], weights: &[ServiceBackend]) -> Vec<BucketQuota> {
    let total: u128 = weights.iter().map(|entry| u128::from(entry.weight)).sum();
    if total == 0 {
        return Vec::new();
    }
    let current_buckets = buckets_by_backend(previous);
    let buckets = previous.len() as u128;
    let mut shares = Vec::with_capacity(weights.len());
    let mut assigned = 0;
    for entry in weights.iter().filter(|entry| entry.weight > 0) {
        let product = buckets * u128::from(entry.weight);
        let whole = (product / total) as usize;
        assigned += whole;
        shares.push(Share {
            quota: BucketQuota {
                backend: entry.backend,
                buckets: whole,
            },
            remainder: product % total,
            current: current_buckets.get(&entry.backend).map_or(0, Vec::len),
        });
    }
    shares.sort_by_key(|share| {
        let remainder = std::cmp::Reverse(share.remainder);
        (
            remainder,
            std::cmp::Reverse(share.current),
            share.quota.backend,
        )
    });
    for share in shares.iter_mut().take(previous.len() - assigned) {
        share.quota.buckets += 1;
    }
    let mut quotas: Vec<_> = shares.into_iter().map(|share| share.quota).collect();
    quotas.sort_by_key(|quota| quota.backend);
    quotas
}

/// Computes the table that follows `previous` for the given `weights`.
///
/// Every backend gets its quota, and the number of moved buckets is minimal: the sum of the gains
/// of all backends. The buckets that a backend loses are evenly spaced among its buckets, and the
/// buckets that a backend gains are evenly spaced among all reassigned ones. If `previous` has no
/// targets, the table is interleaved: every prefix is distributed in proportion to the weights.
#[must_use]
pub fn rebalance(
    previous: &[Option<BackendId>],
    weights: &[ServiceBackend],
) -> Vec<Option<BackendId>> {
    let quotas = quotas(previous, weights);
    let mut table = kept_buckets(previous, &quotas);
    let mut receivers = interleave(&deficits(&table, &quotas)).into_iter();
    for target in table.iter_mut().filter(|target| target.is_none()) {
        *target = receivers.next();
    }
    table
}

struct Share {
    quota: BucketQuota,
    remainder: u128,
    current: usize,
}

fn buckets_by_backend(table: &[Option<BackendId>]) -> BTreeMap<BackendId, Vec<usize>> {
    let mut current_buckets = BTreeMap::<BackendId, Vec<usize>>::new();
    for (index, target) in table.iter().enumerate() {
        if let Some(backend) = target {
            current_buckets.entry(*backend).or_default().push(index);
        }
    }
    current_buckets
}

/// Returns the table without the buckets above the quotas of their backends.
///
/// Each backend uses a different phase, because buckets at the same position of all backends are
/// adjacent in an interleaved table.
fn kept_buckets(previous: &[Option<BackendId>], quotas: &[BucketQuota]) -> Vec<Option<BackendId>> {
    let quota_of: BTreeMap<_, _> = quotas.iter().map(|q| (q.backend, q.buckets)).collect();
    let current_buckets = buckets_by_backend(previous);
    let backend_count = current_buckets.len();
    let mut table = previous.to_vec();
    for (rank, (backend, indices)) in current_buckets.into_iter().enumerate() {
        let quota = quota_of.get(&backend).copied().unwrap_or(0);
        let excess = indices.len().saturating_sub(quota);
        for step in 0..excess {
            let position = (step * backend_count + rank) * indices.len() / (excess * backend_count);
            table[indices[position]] = None;
        }
    }
    table
}

fn deficits(table: &[Option<BackendId>], quotas: &[BucketQuota]) -> Vec<BucketQuota> {
    let current_buckets = buckets_by_backend(table);
    let missing = |quota: &BucketQuota| BucketQuota {
        backend: quota.backend,
        buckets: quota.buckets - current_buckets.get(&quota.backend).map_or(0, Vec::len),
    };
    quotas.iter().map(missing).collect()
}

/// Returns a sequence in which each backend occurs as often as its quota, evenly spaced.
fn interleave(quotas: &[BucketQuota]) -> Vec<BackendId> {
    const POSITION_BITS: u32 = 64;
    let mut positions = Vec::with_capacity(quotas.iter().map(|quota| quota.buckets).sum());
    for quota in quotas {
        let denominator = 2 * quota.buckets as u128;
        for occurrence in 0..quota.buckets as u128 {
            let position = ((2 * occurrence + 1) << POSITION_BITS) / denominator;
            positions.push((position, quota.backend));
        }
    }
    positions.sort_unstable();
    positions.into_iter().map(|(_, backend)| backend).collect()
}
