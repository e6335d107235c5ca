//! Transitions of the buckets of a service (docs/PROTOCOL.md, section 2).

use crate::generation::table::rebalance;
use crate::generation::types::{Bucket, Placement, Service, ServiceBackend};
use crate::identity::{BackendId, BucketIndex, GenerationNumber};

/// Inputs of the next table of a service.
pub(crate) struct TableChange<'a> {
    /// The service in the previous generation.
    pub previous: Option<&'a Service>,
    /// Placement of new flows in the next generation.
    pub placement: Placement,
    /// Backends that receive new flows in the next generation.
    pub backends: &'a [ServiceBackend],
    /// Number of buckets, for a new table.
    pub size: usize,
    /// Number of the next generation.
    pub number: GenerationNumber,
}

/// Computes the next table. `is_settled` returns whether all flows of a bucket are on its target.
pub(crate) fn next_buckets(
    change: &TableChange<'_>,
    is_settled: impl Fn(BucketIndex) -> bool,
) -> Vec<Bucket> {
    let Some(previous) = change.previous else {
        return initial_buckets(change);
    };
    let targets = bucket_targets(&previous.buckets);
    let next_targets = rebalance(&targets, change.backends);
    let mut buckets = previous.buckets.clone();
    for (index, (bucket, target)) in buckets.iter_mut().zip(next_targets).enumerate() {
        let hashed = previous.placement == Placement::Hashed;
        if hashed && bucket.target.is_some() && is_settled(BucketIndex(index as u32)) {
            *bucket = clean_bucket(bucket.target);
        }
        if bucket.target != target || previous.placement != change.placement {
            mark_contested(bucket, change.number);
        }
        bucket.target = target;
    }
    buckets
}

fn initial_buckets(change: &TableChange<'_>) -> Vec<Bucket> {
    let empty = vec![None; change.size];
    let bucket = |target: Option<BackendId>| {
        let mut bucket = clean_bucket(target);
        if target.is_none() || change.placement == Placement::LeastLoaded {
            bucket.contested_since = change.number;
        }
        bucket
    };
    rebalance(&empty, change.backends)
        .into_iter()
        .map(bucket)
        .collect()
}

fn clean_bucket(target: Option<BackendId>) -> Bucket {
    Bucket {
        target,
        base: None,
        contested_since: GenerationNumber::default(),
    }
}

/// Marks a clean bucket as contested. Its flows are on its target, which becomes the base. A
/// contested bucket is unchanged, as its flows are pinned or on its base.
fn mark_contested(bucket: &mut Bucket, number: GenerationNumber) {
    if !bucket.is_contested() {
        bucket.base = bucket.target;
        bucket.contested_since = number;
    }
}

fn bucket_targets(buckets: &[Bucket]) -> Vec<Option<BackendId>> {
    buckets.iter().map(|bucket| bucket.target).collect()
}
