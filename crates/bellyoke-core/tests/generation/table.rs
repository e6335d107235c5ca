use crate::fixture::seeded;
use bellyoke_core::generation::{ServiceBackend, maglev_table, quotas, rebalance};
use bellyoke_core::identity::BackendId;
use proptest::prelude::*;
use std::collections::BTreeMap;

type Table = Vec<Option<BackendId>>;

fn equal_weights(backends: impl Iterator<Item = u32>) -> Vec<ServiceBackend> {
    let share = |backend| ServiceBackend {
        backend: BackendId(backend),
        weight: 1,
    };
    backends.map(share).collect()
}

fn counts(table: &Table) -> BTreeMap<BackendId, usize> {
    let mut counts = BTreeMap::new();
    for backend in table.iter().flatten() {
        *counts.entry(*backend).or_default() += 1;
    }
    counts
}

fn moved(before: &Table, after: &Table) -> usize {
    let pairs = before.iter().zip(after);
    pairs.filter(|(before, after)| before != after).count()
}

fn weights() -> impl Strategy<Value = Vec<ServiceBackend>> {
    let share = |(backend, weight)| ServiceBackend {
        backend: BackendId(backend),
        weight,
    };
    proptest::collection::btree_map(1_u32..40, 0_u32..1000, 0..20)
        .prop_map(move |map| map.into_iter().map(share).collect())
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn quotas_are_exact_and_moves_minimal(
        first in weights(),
        second in weights(),
        size in 1_usize..600,
    ) {
        let before = rebalance(&vec![None; size], &first);
        let after = rebalance(&before, &second);
        let total: u64 = second.iter().map(|share| u64::from(share.weight)).sum();
        let assigned = counts(&after);
        for share in &second {
            let assigned = assigned.get(&share.backend).copied().unwrap_or(0) as u64;
            let product = size as u64 * u64::from(share.weight);
            let floor = product.checked_div(total).unwrap_or(0);
            prop_assert!(assigned == floor || assigned == floor + 1, "{assigned} buckets, expected {floor} or one more");
        }
        prop_assert_eq!(assigned.values().sum::<usize>(), if total > 0 { size } else { 0 });
        let former = counts(&before);
        let gain = |quota: &bellyoke_core::generation::BucketQuota| {
            let had = former.get(&quota.backend).copied().unwrap_or(0);
            quota.buckets.saturating_sub(had)
        };
        let gained: usize = quotas(&before, &second).iter().map(gain).sum();
        let fewest = if total > 0 { gained } else { before.iter().flatten().count() };
        prop_assert_eq!(moved(&before, &after), fewest);
        prop_assert_eq!(&rebalance(&after, &second), &after);
    }

    #[test]
    fn every_prefix_of_an_initial_table_is_even(shares in weights(), size in 1_usize..600) {
        let empty = vec![None; size];
        let table = rebalance(&empty, &shares);
        for quota in quotas(&empty, &shares) {
            let mut assigned = 0;
            for (index, target) in table.iter().enumerate() {
                assigned += usize::from(*target == Some(quota.backend));
                let ideal = ((index + 1) * quota.buckets) as f64 / size as f64;
                let deviation = (assigned as f64 - ideal).abs();
                prop_assert!(deviation < 3.0, "deviation of {deviation} buckets at index {index}");
            }
        }
    }
}

#[test]
fn moved_buckets_are_evenly_spread_over_the_table() {
    let before = rebalance(&vec![None; 1024], &equal_weights(1..=4));
    let after = rebalance(&before, &equal_weights(1..=5));
    for part in 0..8 {
        let range = part * 128..(part + 1) * 128;
        let moved = moved(&before[range.clone()].to_vec(), &after[range].to_vec());
        assert!(
            (24..=27).contains(&moved),
            "{moved} of 128 buckets moved in part {part}"
        );
    }
}

#[test]
fn adding_or_removing_a_backend_moves_fewer_buckets_than_maglev() {
    const BUCKETS: usize = 1024;
    let ids = |last: u32| (1..=last).map(BackendId).collect::<Vec<_>>();
    let fifteen = rebalance(&vec![None; BUCKETS], &equal_weights(1..=15));
    let sixteen = rebalance(&fifteen, &equal_weights(1..=16));
    let without_eighth = equal_weights((1..=15).filter(|id| *id != 8));
    let fourteen = rebalance(&fifteen, &without_eighth);
    let maglev_fifteen = maglev_table(&ids(15), BUCKETS);
    let maglev_sixteen = maglev_table(&ids(16), BUCKETS);
    let mut remaining = ids(15);
    remaining.retain(|id| id.0 != 8);
    let maglev_fourteen = maglev_table(&remaining, BUCKETS);
    let report = format!(
        "add one to 15: rebalance {} maglev {}\nremove one of 15: rebalance {} maglev {}",
        moved(&fifteen, &sixteen),
        moved(&maglev_fifteen, &maglev_sixteen),
        moved(&fifteen, &fourteen),
        moved(&maglev_fifteen, &maglev_fourteen),
    );
    println!("{report}");
    insta::assert_snapshot!(report, @"
    add one to 15: rebalance 64 maglev 101
    remove one of 15: rebalance 68 maglev 98
    ");
}
