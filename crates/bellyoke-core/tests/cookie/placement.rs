//! New flows are spread by weight, all nodes choose the same instances, and copies reach other
//! instances.

use crate::support::{at, configuration, flow, node, of_service, record};
use bellyoke_core::cookie::instance::InstanceId;
use bellyoke_core::cookie::placement::{
    LEAST_LOADED_CANDIDATES, Suitability, choose_instance, choose_service,
};
use bellyoke_core::cookie::revision::Revision;
use bellyoke_core::cookie::table::{Candidate, ForwardingTable};
use proptest::prelude::*;
use std::collections::BTreeMap;

const FLOWS: u32 = 20_000;

fn candidates(table: &ForwardingTable) -> &[Candidate] {
    let route = table.route(crate::support::SERVICE).unwrap();
    table.candidates(&route.services[0])
}

fn choose(table: &ForwardingTable, number: u32, attempt: u32) -> Option<InstanceId> {
    let all = |_: &Candidate| Some(Suitability::Full);
    let idle = |_: &Candidate| 0.0;
    let hash = flow(number).hash();
    choose_instance(candidates(table), hash, attempt, all, idle).map(|chosen| chosen.id)
}

#[test]
fn flows_are_spread_evenly() {
    let table = node((1..=10).map(|id| record(id, 1)).collect()).table();
    let mut counts: BTreeMap<InstanceId, u32> = BTreeMap::new();
    for number in 0..FLOWS {
        *counts
            .entry(choose(&table, number, 0).unwrap())
            .or_default() += 1;
    }
    let mean = FLOWS / 10;
    assert_eq!(counts.len(), 10);
    assert!(
        counts
            .values()
            .all(|count| count.abs_diff(mean) < mean / 10),
        "{counts:?}"
    );
}

#[test]
fn services_get_flows_by_their_weights() {
    let mut replica = node(vec![record(1, 1), of_service("listings", record(2, 1))]);
    replica.adopt_configuration(configuration(
        2,
        &[("till", 90), ("listings", 10), ("none", 0)],
    ));
    let table = replica.table();
    let services = &table.route(crate::support::SERVICE).unwrap().services;
    let listings = (0..FLOWS)
        .filter(|number| {
            choose_service(services, flow(*number).hash())
                .unwrap()
                .weight
                == 10
        })
        .count();
    let share = listings as f64 / f64::from(FLOWS);
    assert!((0.09..0.11).contains(&share), "{share}");
}

#[test]
fn a_route_whose_weights_are_all_zero_has_no_service() {
    let mut replica = node(vec![record(1, 1)]);
    replica.adopt_configuration(configuration(2, &[("till", 0)]));
    let table = replica.table();
    let services = &table.route(crate::support::SERVICE).unwrap().services;
    assert_eq!(choose_service(services, 7), None);
}

#[test]
fn copies_of_an_opening_reach_other_instances() {
    let table = node((1..=3).map(|id| record(id, 1)).collect()).table();
    for number in 0..100 {
        let chosen: std::collections::BTreeSet<_> = (0..3)
            .map(|attempt| choose(&table, number, attempt).unwrap())
            .collect();
        assert_eq!(chosen.len(), 3);
    }
}

/// Loads may change from one copy to the next. If the choice by load applied to copies, one could
/// return to an instance that was already tried.
#[test]
fn copies_reach_other_instances_when_loads_change() {
    let all = |_: &Candidate| Some(Suitability::Full);
    for instances in 3..=12 {
        let table = node((1..=instances).map(|id| record(id, 1)).collect()).table();
        for number in 0..200_u32 {
            let chosen: std::collections::BTreeSet<_> = (0..3)
                .map(|attempt| {
                    let factor = ((number >> attempt) % 3) as f32;
                    let load = |candidate: &Candidate| factor * candidate.id.0 as f32;
                    let hash = flow(number).hash();
                    let chosen = choose_instance(candidates(&table), hash, attempt, all, load);
                    chosen.unwrap().id
                })
                .collect();
            assert_eq!(chosen.len(), 3, "{instances} instances");
        }
    }
}

#[test]
fn the_least_loaded_choice_wins_and_suitability_goes_before_load() {
    let table = node((1..=7).map(|id| record(id, 1)).collect()).table();
    let load = |candidate: &Candidate| if candidate.id.0 == 2 { 1.0 } else { 5.0 };
    let all = |_: &Candidate| Some(Suitability::Full);
    let better = |candidate: &Candidate| {
        Some(if candidate.id.0 == 1 {
            Suitability::Full
        } else {
            Suitability::Cold
        })
    };
    let mut idle_chosen = 0;
    for number in 0..700 {
        let hash = flow(number).hash();
        let chosen = choose_instance(candidates(&table), hash, 0, all, load);
        idle_chosen += u32::from(chosen.unwrap().id == InstanceId(2));
        let chosen = choose_instance(candidates(&table), hash, 0, better, load);
        assert_eq!(chosen.unwrap().id, InstanceId(1));
    }
    let expected = 100 * u32::try_from(LEAST_LOADED_CANDIDATES).unwrap();
    assert!(idle_chosen.abs_diff(expected) < 50, "{idle_chosen} of 700");
}

#[test]
fn with_two_instances_copies_reach_both() {
    let table = node((1..=2).map(|id| record(id, 1)).collect()).table();
    for number in 0..100 {
        let chosen = [0, 1].map(|attempt| choose(&table, number, attempt).unwrap());
        assert_ne!(chosen[0], chosen[1]);
    }
}

#[test]
fn with_one_instance_all_copies_go_there() {
    let table = node(vec![record(1, 1)]).table();
    for attempt in [0, 1, 2, 3, u32::MAX] {
        assert_eq!(choose(&table, 5, attempt), Some(InstanceId(1)));
    }
}

#[test]
fn more_suitable_instances_are_chosen_first() {
    let table = node((1..=4).map(|id| record(id, 1)).collect()).table();
    let suitability = |candidate: &Candidate| match candidate.id.0 {
        1 => Some(Suitability::RecentlyGone),
        2 => Some(Suitability::Suspected),
        3 => Some(Suitability::Cold),
        _ => None,
    };
    for number in 0..200 {
        let hash = flow(number).hash();
        let chosen = [0, 1, 2].map(|attempt| {
            choose_instance(candidates(&table), hash, attempt, suitability, |_| 0.0)
                .unwrap()
                .id
                .0
        });
        assert_eq!(chosen, [3, 2, 1]);
    }
}

#[test]
fn the_first_of_two_instances_with_one_cookie_takes_all_flows() {
    // Both fold to the cookie 5.
    let first = record(5, 1);
    let second = record((1 << 32) | 4, 2);
    let mut replica = node(vec![first]);
    replica.replace_instances(
        at(100),
        Revision::new(20),
        vec![record(5, 1), second.clone()],
    );
    let table = replica.table();
    for number in 0..100 {
        assert_eq!(choose(&table, number, 0), Some(InstanceId(5)));
    }
    // Its record is deleted, but its flows may still be open: it keeps the cookie.
    replica.replace_instances(at(200), Revision::new(30), vec![second]);
    let cookie = bellyoke_core::cookie::instance::Cookie::of(InstanceId(5));
    let table = replica.table();
    assert_eq!(table.destination(cookie).unwrap().instance, InstanceId(5));
    replica.expire(at(200_000));
    let table = replica.table();
    assert_eq!(
        table.destination(cookie).unwrap().instance,
        InstanceId((1 << 32) | 4)
    );
    assert_eq!(choose(&table, 1, 0), Some(InstanceId((1 << 32) | 4)));
}

proptest! {
    /// Nodes that know the same instances choose the same one, in whatever order they received
    /// them.
    #[test]
    fn nodes_choose_the_same_instance(ids in prop::collection::btree_set(1..1_000_000_u64, 1..20), number in 0..FLOWS, attempt in 0..4_u32) {
        let ascending = node(ids.iter().map(|id| record(*id, 1)).collect()).table();
        let descending = node(ids.iter().rev().map(|id| record(*id, 1)).collect()).table();
        prop_assert_eq!(choose(&ascending, number, attempt), choose(&descending, number, attempt));
    }

    /// A new instance only takes flows for itself; one that is removed only gives up its own.
    #[test]
    fn removing_an_instance_moves_only_its_flows(ids in prop::collection::btree_set(1..1_000_000_u64, 2..20)) {
        let all: Vec<u64> = ids.into_iter().collect();
        let changed = all[0];
        let with = node(all.iter().map(|id| record(*id, 1)).collect()).table();
        let without = node(all[1..].iter().map(|id| record(*id, 1)).collect()).table();
        for number in 0..200 {
            let before = choose(&with, number, 0).unwrap();
            if before != InstanceId(changed) {
                prop_assert_eq!(choose(&without, number, 0), Some(before));
            }
        }
    }
}
