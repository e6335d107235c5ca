//! Ranking of zones in the choice of an instance, and detection of failing zones.

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

/// Returns the instances that the copies of an opening are sent to.
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

fn prefer_first_zone(zone: u64) -> ZoneRank {
    match zone {
        0 => ZoneRank::Preferred,
        1 => ZoneRank::Fallback,
        _ => ZoneRank::Failing,
    }
}

fn full(_: &Candidate) -> Option<Suitability> {
    Some(Suitability::Full)
}

#[test]
fn the_second_copy_goes_to_another_zone_and_each_copy_to_another_instance() {
    for number in 0..200 {
        let chosen = copies(number, full, prefer_first_zone);
        let zones: Vec<u64> = chosen.iter().map(|id| id.0 / 100).collect();
        assert_eq!(zones, [0, 1, 0], "no copy goes to a failing zone");
        let distinct: BTreeSet<_> = chosen.into_iter().collect();
        assert_eq!(distinct.len(), 3);
    }
}

#[test]
fn copies_go_to_distinct_instances_if_the_preferred_zone_has_few() {
    for few in 1..4 {
        let suitability = |candidate: &Candidate| {
            (candidate.id.0 > 100 || candidate.id.0 <= few).then_some(Suitability::Full)
        };
        for number in 0..200 {
            let chosen = copies(number, suitability, prefer_first_zone);
            assert_eq!(chosen[0].0 / 100, 0);
            assert_eq!(chosen[1].0 / 100, 1);
            let distinct: BTreeSet<_> = chosen.into_iter().collect();
            assert_eq!(distinct.len(), 3, "with {few} in the preferred zone");
        }
    }
}

#[test]
fn a_more_suitable_instance_is_preferred_over_a_nearer_one() {
    let suitability = |candidate: &Candidate| {
        Some(if candidate.id.0 < 100 {
            Suitability::Cold
        } else {
            Suitability::Full
        })
    };
    for number in 0..200 {
        let chosen = copies(number, suitability, prefer_first_zone);
        assert_eq!(chosen[0].0 / 100, 1);
    }
}

/// Sends openings that don't complete to the own zone, cork, 10 ms apart.
fn openings(preference: &mut ZonePreference, from: u64, count: u64) {
    for number in from..from + count {
        let hash = flow(u32::try_from(number).unwrap()).hash();
        let capacity = ZoneCapacity::new(1.0, 3.0);
        preference.record_placement(
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
    preference.review_failing_zones(at(now));
    preference.ranks(SERVICE, 7).of(ZoneNumber(0))
}

#[test]
fn three_consecutive_overdue_openings_make_a_zone_failing_for_a_while() {
    let mut two = preference();
    openings(&mut two, 0, 2);
    assert_eq!(own_rank(&mut two, 10_500), ZoneRank::Preferred);
    let mut three = preference();
    openings(&mut three, 0, 3);
    assert_eq!(
        own_rank(&mut three, 10_100),
        ZoneRank::Preferred,
        "not overdue yet"
    );
    assert_eq!(own_rank(&mut three, 10_200), ZoneRank::Failing);
    assert_eq!(
        own_rank(&mut three, 12_100),
        ZoneRank::Preferred,
        "the zone is tried again"
    );
}

#[test]
fn openings_are_overdue_sooner_in_zones_that_usually_answer_fast() {
    let mut preference = preference();
    preference.record_opened(at(9_000), 1, ZoneNumber(0), Duration::from_millis(4));
    openings(&mut preference, 0, 3);
    assert_eq!(own_rank(&mut preference, 10_050), ZoneRank::Failing);
}

#[test]
fn a_completed_opening_ends_the_failure_of_its_zone() {
    let mut preference = preference();
    openings(&mut preference, 0, 4);
    assert_eq!(own_rank(&mut preference, 10_300), ZoneRank::Failing);
    let last = flow(3).hash();
    preference.record_opened(at(10_310), last, ZoneNumber(0), Duration::from_millis(280));
    assert_eq!(own_rank(&mut preference, 10_320), ZoneRank::Preferred);
}

#[test]
fn a_stalled_process_does_not_mark_a_zone_as_failing() {
    let mut preference = preference();
    openings(&mut preference, 0, 4);
    preference.reset_after_stall();
    assert_eq!(own_rank(&mut preference, 10_300), ZoneRank::Preferred);
}

#[test]
fn spill_shares_survive_a_renumbering_of_zones() {
    let mut preference = preference();
    openings(&mut preference, 0, 1);
    let few = ZoneCapacity::new(1.0, 100.0);
    preference.record_placement(at(10_100), SERVICE, 7, ZoneNumber(0), few);
    let share = preference.spill_shares(SERVICE).largest();
    assert!(share > 0.9);
    preference.adopt(&table(&["clare", "cork", "kerry"], 20));
    assert_eq!(preference.own(), Some(ZoneNumber(1)));
    assert_eq!(preference.spill_shares(SERVICE).largest(), share);
    preference.adopt(&table(&["clare", "kerry"], 30));
    let ranks = preference.ranks(SERVICE, 7);
    assert_eq!(
        ranks.of(ZoneNumber(0)),
        ZoneRank::Fallback,
        "no instance is in the own zone"
    );
}

#[test]
fn a_changed_share_is_reported_once() {
    let mut preference = preference();
    let reject_requests = |preference: &mut ZonePreference, now: u64| {
        for _ in 0..10 {
            let sample = AnswerSample {
                cookie: Cookie::of(InstanceId(1)),
                service: SERVICE,
                priority: 0,
                outcome: AnswerOutcome::Short {
                    after: Duration::from_millis(2),
                },
            };
            preference.record_sample(at(now), ZoneNumber(0), &sample);
        }
    };
    reject_requests(&mut preference, 10_000);
    let changes = preference.review(at(10_000));
    assert_eq!(changes.len(), 1);
    assert!(changes[0].shares.for_queue > 0.1);
    assert_eq!(preference.review(at(10_001)), [], "only once per window");
    for window in 1..60 {
        preference.review(at(10_000 + window * 250));
    }
    assert_eq!(
        preference.spill_shares(SERVICE).largest(),
        0.0,
        "the share has returned to zero"
    );
}
