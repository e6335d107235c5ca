//! How zones rank in the choice of an instance, and when a zone counts as lost.

use crate::support::{TOMBSTONE_LIFETIME, at, configuration, flow, record};
use bellyoke_core::cookie::answers::{AnswerOutcome, AnswerSample};
use bellyoke_core::cookie::instance::{Cookie, InstanceId, InstanceRecord};
use bellyoke_core::cookie::locality::{ZoneCapacity, ZonePreference, ZoneRank};
use bellyoke_core::cookie::placement::{Suitability, choose_by_zone};
use bellyoke_core::cookie::replica::Replica;
use bellyoke_core::cookie::revision::Revision;
use bellyoke_core::cookie::table::{Candidate, ForwardingTable, ServiceNumber, ZoneNumber};
use std::collections::BTreeSet;
use std::time::Duration;

const SERVICE: ServiceNumber = ServiceNumber(0);

/// Instances 1 to 9 in the first zone, 101 to 109 in the second and so on.
fn table(zones: &[&str], revision: u64) -> ForwardingTable {
    let records = (0..).zip(zones).flat_map(|(number, zone)| {
        (1..10).map(move |id| InstanceRecord {
            id: InstanceId(number * 100 + id),
            zone: (*zone).to_owned(),
            ..record(number * 100 + id, 1)
        })
    });
    let mut replica = Replica::new(TOMBSTONE_LIFETIME);
    replica.adopt_configuration(configuration(1, &[("till", 1)]));
    replica.replace_instances(at(0), Revision::new(revision), records.collect());
    replica.table()
}

/// Where the copies of an opening go: the zone of each, counted from 0.
fn copies(
    number: u32,
    suitability: impl Fn(&Candidate) -> Option<Suitability>,
    zone_rank: impl Fn(u64) -> ZoneRank,
) -> Vec<InstanceId> {
    let table = table(&["cork", "kerry", "limerick"], 10);
    let route = table.route(crate::support::SERVICE).unwrap();
    let candidates = table.candidates(&route.services[0]);
    let of_zone = |candidate: &Candidate| zone_rank(candidate.id.0 / 100);
    let hash = flow(number).hash();
    let copies = (0..3)
        .map(|attempt| choose_by_zone(candidates, hash, attempt, &suitability, of_zone, |_| 0.0));
    copies.map(|chosen| chosen.unwrap().id).collect()
}

fn first_zone_first(zone: u64) -> ZoneRank {
    match zone {
        0 => ZoneRank::First,
        1 => ZoneRank::Second,
        _ => ZoneRank::Losing,
    }
}

fn full(_: &Candidate) -> Option<Suitability> {
    Some(Suitability::Full)
}

#[test]
fn the_first_copy_reaches_another_zone_and_each_another_instance() {
    for number in 0..200 {
        let chosen = copies(number, full, first_zone_first);
        let zones: Vec<u64> = chosen.iter().map(|id| id.0 / 100).collect();
        assert_eq!(zones, [0, 1, 0], "none goes to a zone that loses");
        let distinct: BTreeSet<_> = chosen.into_iter().collect();
        assert_eq!(distinct.len(), 3);
    }
}

#[test]
fn copies_stay_distinct_where_the_first_zone_has_few() {
    for few in 1..4 {
        let suitability = |candidate: &Candidate| {
            (candidate.id.0 > 100 || candidate.id.0 <= few).then_some(Suitability::Full)
        };
        for number in 0..200 {
            let chosen = copies(number, suitability, first_zone_first);
            assert_eq!(chosen[0].0 / 100, 0);
            assert_eq!(chosen[1].0 / 100, 1);
            let distinct: BTreeSet<_> = chosen.into_iter().collect();
            assert_eq!(distinct.len(), 3, "with {few}");
        }
    }
}

#[test]
fn a_more_suitable_instance_goes_before_a_nearer_one() {
    let suitability = |candidate: &Candidate| {
        Some(if candidate.id.0 < 100 {
            Suitability::Cold
        } else {
            Suitability::Full
        })
    };
    for number in 0..200 {
        let chosen = copies(number, suitability, first_zone_first);
        assert_eq!(chosen[0].0 / 100, 1);
    }
}

/// Openings at instances of the own zone, cork, that don't complete, a hundredth of a second apart.
fn openings(preference: &mut ZonePreference, from: u64, count: u64) {
    for number in from..from + count {
        let hash = flow(u32::try_from(number).unwrap()).hash();
        let capacity = ZoneCapacity::of(1.0, 3.0);
        preference.placed(
            at(10_000 + 10 * number),
            SERVICE,
            hash,
            ZoneNumber(0),
            capacity,
        );
    }
}

fn preference() -> ZonePreference {
    let mut preference = ZonePreference::new("cork");
    preference.adopt(&table(&["cork", "kerry"], 10));
    preference
}

fn own_rank(preference: &mut ZonePreference, now: u64) -> ZoneRank {
    preference.review_outcomes(at(now));
    preference.ranks(SERVICE, 7).of(ZoneNumber(0))
}

#[test]
fn three_openings_in_a_row_that_are_overdue_lose_a_zone_for_a_while() {
    let mut two = preference();
    openings(&mut two, 0, 2);
    assert_eq!(own_rank(&mut two, 10_500), ZoneRank::First);
    let mut three = preference();
    openings(&mut three, 0, 3);
    assert_eq!(
        own_rank(&mut three, 10_100),
        ZoneRank::First,
        "not overdue yet"
    );
    assert_eq!(own_rank(&mut three, 10_200), ZoneRank::Losing);
    assert_eq!(own_rank(&mut three, 12_100), ZoneRank::First, "tried again");
}

#[test]
fn openings_are_overdue_sooner_where_they_usually_complete_soon() {
    let mut preference = preference();
    preference.opened(at(9_000), 1, ZoneNumber(0), Duration::from_millis(4));
    openings(&mut preference, 0, 3);
    assert_eq!(own_rank(&mut preference, 10_050), ZoneRank::Losing);
}

#[test]
fn an_opening_that_completes_clears_its_zone() {
    let mut preference = preference();
    openings(&mut preference, 0, 4);
    assert_eq!(own_rank(&mut preference, 10_300), ZoneRank::Losing);
    let last = flow(3).hash();
    preference.opened(at(10_310), last, ZoneNumber(0), Duration::from_millis(280));
    assert_eq!(own_rank(&mut preference, 10_320), ZoneRank::First);
}

#[test]
fn a_process_that_stood_still_blames_no_zone() {
    let mut preference = preference();
    openings(&mut preference, 0, 4);
    preference.stalled();
    assert_eq!(own_rank(&mut preference, 10_300), ZoneRank::First);
}

#[test]
fn what_is_known_of_a_service_outlives_a_renumbering_of_zones() {
    let mut preference = preference();
    openings(&mut preference, 0, 1);
    let few = ZoneCapacity::of(1.0, 100.0);
    preference.placed(at(10_100), SERVICE, 7, ZoneNumber(0), few);
    let share = preference.shares(SERVICE).largest();
    assert!(share > 0.9);
    preference.adopt(&table(&["clare", "cork", "kerry"], 20));
    assert_eq!(preference.own(), Some(ZoneNumber(1)));
    assert_eq!(preference.shares(SERVICE).largest(), share);
    preference.adopt(&table(&["clare", "kerry"], 30));
    let ranks = preference.ranks(SERVICE, 7);
    assert_eq!(
        ranks.of(ZoneNumber(0)),
        ZoneRank::Second,
        "no instance in the own zone"
    );
}

#[test]
fn a_share_that_moves_is_told_once() {
    let mut preference = preference();
    let turned_away = |preference: &mut ZonePreference, now: u64| {
        for _ in 0..10 {
            let sample = AnswerSample {
                cookie: Cookie::of(InstanceId(1)),
                service: SERVICE,
                priority: 0,
                outcome: AnswerOutcome::Short {
                    after: Duration::from_millis(2),
                },
            };
            preference.sampled(at(now), ZoneNumber(0), &sample);
        }
    };
    turned_away(&mut preference, 10_000);
    let changes = preference.review(at(10_000));
    assert_eq!(changes.len(), 1);
    assert!(changes[0].shares.for_queue > 0.1);
    assert_eq!(preference.review(at(10_001)), [], "once a window");
    for window in 1..60 {
        preference.review(at(10_000 + window * 250));
    }
    assert_eq!(preference.shares(SERVICE).largest(), 0.0, "it comes back");
}
