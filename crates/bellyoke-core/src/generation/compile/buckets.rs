//! How the buckets of a service change (docs/PROTOCOL.md, section 2).

use crate::generation::table::rebalance;
use crate::generation::types::{Bucket, Placement, Service, ServiceBackend};
use crate::identity::{BackendId, BucketIndex, GenerationNumber};

/// What a service's next table depends on.
pub(crate) struct TableChange<'a> {
    /// The service in the previous generation.
    pub previous: Option<&'a Service>,
    /// How new flows are placed from now on.
    pub placement: Placement,
    /// Backends that take new flows from now on.
    pub backends: &'a [ServiceBackend],
    /// Size of the table, if it's a new one.
    pub size: usize,
    /// The generation that is made.
    pub number: GenerationNumber,
}

/// The next table. `is_settled` tells whether no flow of a bucket is off its target.
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

/// Flows of a clean bucket live on its target. Those of a contested one are pinned, or live
/// on the base that it has: nothing changes for them.
fn mark_contested(bucket: &mut Bucket, number: GenerationNumber) {
    if !bucket.is_contested() {
        bucket.base = bucket.target;
        bucket.contested_since = number;
    }
}

fn bucket_targets(buckets: &[Bucket]) -> Vec<Option<BackendId>> {
    buckets.iter().map(|bucket| bucket.target).collect()
}
