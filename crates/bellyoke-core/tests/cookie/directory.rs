//! The directory orders updates by revision and keeps tombstones of removed instances.

use crate::support::{TOMBSTONE_LIFETIME, at, draining, record};
use bellyoke_core::cookie::directory::{Directory, Tombstone};
use bellyoke_core::cookie::instance::{InstanceEvent, InstanceId, InstanceRecord, InstanceState};
use bellyoke_core::cookie::revision::Revision;
use proptest::prelude::*;

fn directory() -> Directory {
    Directory::new(TOMBSTONE_LIFETIME)
}

fn present(directory: &Directory) -> Vec<u64> {
    let present = directory
        .instances()
        .filter(|known| known.removed_at.is_none());
    present.map(|known| known.record.id.0).collect()
}

fn removed(directory: &Directory) -> Vec<u64> {
    let removed = directory
        .instances()
        .filter(|known| known.removed_at.is_some());
    removed.map(|known| known.record.id.0).collect()
}

#[test]
fn a_removed_instance_is_kept_for_the_tombstone_lifetime() {
    let mut directory = directory();
    directory.replace(at(0), Revision::new(5), vec![record(1, 4), record(2, 5)]);
    directory.apply(
        at(1_000),
        Revision::new(6),
        vec![InstanceEvent::Gone(InstanceId(1))],
    );
    assert_eq!(present(&directory), [2]);
    assert_eq!(removed(&directory), [1]);
    assert!(!directory.expire(at(70_999)));
    assert!(directory.expire(at(71_000)));
    assert_eq!(removed(&directory), [] as [u64; 0]);
}

#[test]
fn an_instance_missing_in_a_list_becomes_a_tombstone() {
    let mut directory = directory();
    directory.replace(at(0), Revision::new(5), vec![record(1, 4), record(2, 5)]);
    assert!(directory.replace(at(10), Revision::new(9), vec![record(2, 5)]));
    assert_eq!(removed(&directory), [1]);
}

#[test]
fn an_instance_whose_record_reappears_is_present_again() {
    let mut directory = directory();
    directory.replace(at(0), Revision::new(5), vec![record(1, 4)]);
    directory.apply(
        at(10),
        Revision::new(6),
        vec![InstanceEvent::Gone(InstanceId(1))],
    );
    assert!(directory.apply(
        at(20),
        Revision::new(7),
        vec![InstanceEvent::Put(record(1, 7))]
    ));
    assert_eq!(present(&directory), [1]);
}

#[test]
fn an_older_list_changes_nothing() {
    let mut directory = directory();
    let created = Some(Revision::new(4));
    let changed = InstanceRecord {
        created,
        ..draining(1, 8)
    };
    directory.replace(at(0), Revision::new(9), vec![changed]);
    assert!(!directory.replace(at(10), Revision::new(5), vec![record(1, 4), record(2, 5)]));
    assert_eq!(present(&directory), [1]);
    let state = directory.instances().next().unwrap().record.state;
    assert_eq!(state, InstanceState::Draining);
}

#[test]
fn changes_that_a_newer_list_includes_are_ignored() {
    let mut directory = directory();
    directory.replace(at(0), Revision::new(9), vec![record(2, 5)]);
    // The watch starts at an older revision: instance 1 was added at 6 and removed at 8.
    let events = vec![
        InstanceEvent::Put(record(1, 6)),
        InstanceEvent::Put(record(3, 10)),
    ];
    directory.apply(at(10), Revision::new(10), events);
    assert_eq!(present(&directory), [2, 3]);
}

#[test]
fn changes_before_the_first_list_are_ignored() {
    let mut directory = directory();
    assert!(!directory.apply(
        at(0),
        Revision::new(3),
        vec![InstanceEvent::Put(record(1, 3))]
    ));
    assert_eq!(directory.as_of(), None);
}

#[test]
fn a_tombstone_of_a_peer_does_not_remove_a_present_instance() {
    let mut directory = directory();
    directory.replace(at(0), Revision::new(9), vec![record(1, 8)]);
    let tombstones = vec![
        Tombstone {
            record: record(1, 4),
            age_milliseconds: 10,
            revision: Revision::new(5),
        },
        Tombstone {
            record: record(2, 4),
            age_milliseconds: 10,
            revision: Revision::new(5),
        },
        Tombstone {
            record: record(3, 4),
            age_milliseconds: 70_000,
            revision: Revision::new(5),
        },
    ];
    assert!(directory.merge_tombstones(at(100_000), tombstones));
    assert_eq!(present(&directory), [1]);
    assert_eq!(
        removed(&directory),
        [2],
        "instance 3 was removed too long ago to have flows"
    );
}

#[test]
fn a_tombstone_from_a_peer_expires_by_its_original_age() {
    let mut directory = directory();
    let tombstone = Tombstone {
        record: record(2, 4),
        age_milliseconds: 60_000,
        revision: Revision::new(5),
    };
    directory.merge_tombstones(at(100_000), vec![tombstone]);
    assert!(!directory.expire(at(109_999)));
    assert!(directory.expire(at(110_000)));
}

#[test]
fn records_contain_the_remaining_cold_time() {
    let mut directory = directory();
    let mut cold = record(1, 4);
    cold.cold_remaining_milliseconds = 2_000;
    directory.replace(at(0), Revision::new(5), vec![cold]);
    let remaining = |now| directory.records(at(now))[0].cold_remaining_milliseconds;
    assert_eq!(remaining(500), 1_500);
    assert_eq!(remaining(5_000), 0);
}

/// One step in the history of a store.
#[derive(Clone, Debug)]
enum Step {
    Put(u64),
    Drain(u64),
    Remove(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1..6_u64).prop_map(Step::Put),
        (1..6_u64).prop_map(Step::Drain),
        (1..6_u64).prop_map(Step::Remove),
    ]
}

/// Returns records without their creations. A node keeps the earliest creation that it has learned
/// of, so creations depend on the updates that it received.
fn without_creations(records: &[InstanceRecord]) -> Vec<InstanceRecord> {
    let records = records.iter().cloned();
    let records = records.map(|record| InstanceRecord {
        created: None,
        ..record
    });
    records.collect()
}

/// Returns whether all creations are revisions at which the store wrote that instance, and not
/// later than those of the store's records.
fn creations_are_valid(
    records: &[InstanceRecord],
    stored: &[InstanceRecord],
    steps: &[Step],
) -> bool {
    let is_valid = |record: &InstanceRecord, stored: &InstanceRecord| {
        let created = record.created.unwrap();
        let step = &steps[usize::try_from(created.number()).unwrap() - 1];
        let is_put = matches!(step, Step::Put(id) | Step::Drain(id) if *id == record.id.0);
        is_put && Some(created) <= stored.created
    };
    records
        .iter()
        .zip(stored)
        .all(|(record, stored)| is_valid(record, stored))
}

/// Returns each revision of a store with its event and the resulting state.
fn history(steps: &[Step]) -> Vec<(Revision, InstanceEvent, Vec<InstanceRecord>)> {
    let mut state = std::collections::BTreeMap::new();
    let mut history = Vec::new();
    for (index, step) in steps.iter().enumerate() {
        let revision = index as u64 + 1;
        let event = match step {
            Step::Put(id) => InstanceEvent::Put(record(*id, revision)),
            Step::Drain(id) => InstanceEvent::Put(draining(*id, revision)),
            Step::Remove(id) => InstanceEvent::Gone(InstanceId(*id)),
        };
        match &event {
            InstanceEvent::Put(record) => {
                state.insert(record.id, record.clone());
            }
            InstanceEvent::Gone(id) => {
                state.remove(id);
            }
        }
        history.push((
            Revision::new(revision),
            event,
            state.values().cloned().collect(),
        ));
    }
    history
}

/// Returns a directory that applied the history in watches that ended at these steps.
fn follower(
    history: &[(Revision, InstanceEvent, Vec<InstanceRecord>)],
    ends: &[usize],
) -> Directory {
    let mut directory = directory();
    directory.replace(at(0), Revision::new(0), Vec::new());
    let mut from = 0;
    for end in ends.iter().copied().filter(|end| *end < history.len()) {
        if end < from {
            continue;
        }
        let events = history[from..=end]
            .iter()
            .map(|(_, event, _)| event.clone());
        directory.apply(at(0), history[end].0, events.collect());
        from = end + 1;
    }
    directory
}

#[test]
fn a_delta_contains_added_changed_and_removed_instances() {
    let mut ahead = directory();
    ahead.replace(at(0), Revision::new(5), vec![record(1, 4), record(2, 5)]);
    let mut behind = directory();
    behind.replace(at(0), Revision::new(5), vec![record(1, 4), record(2, 5)]);
    let events = vec![
        InstanceEvent::Gone(InstanceId(1)),
        InstanceEvent::Put(draining(2, 7)),
        InstanceEvent::Put(record(3, 8)),
    ];
    ahead.apply(at(10), Revision::new(8), events);
    let delta = ahead.delta_since(at(10), Revision::new(5)).unwrap();
    assert!(behind.apply_delta(at(20), delta.clone()));
    assert_eq!(behind.records(at(20)), ahead.records(at(20)));
    assert_eq!(removed(&behind), [1]);
    assert_eq!(behind.as_of(), Some(Revision::new(8)));
    assert!(
        !behind.apply_delta(at(30), delta),
        "the same delta has no effect the second time"
    );
}

#[test]
fn a_delta_that_starts_after_the_known_revision_changes_nothing() {
    let mut ahead = directory();
    ahead.replace(at(0), Revision::new(5), vec![record(1, 4)]);
    ahead.apply(
        at(10),
        Revision::new(8),
        vec![InstanceEvent::Gone(InstanceId(1))],
    );
    ahead.apply(
        at(10),
        Revision::new(9),
        vec![InstanceEvent::Put(record(2, 9))],
    );
    let delta = ahead.delta_since(at(10), Revision::new(8)).unwrap();
    let mut behind = directory();
    behind.replace(at(0), Revision::new(5), vec![record(1, 4)]);
    assert!(!behind.apply_delta(at(20), delta));
    assert_eq!(present(&behind), [1]);
    assert_eq!(behind.as_of(), Some(Revision::new(5)));
}

#[test]
fn a_delta_contains_tombstones_of_instances_unknown_to_the_receiver() {
    let mut ahead = directory();
    ahead.replace(at(0), Revision::new(5), Vec::new());
    ahead.apply(
        at(10),
        Revision::new(6),
        vec![InstanceEvent::Put(record(1, 6))],
    );
    ahead.apply(
        at(20),
        Revision::new(7),
        vec![InstanceEvent::Gone(InstanceId(1))],
    );
    let mut behind = directory();
    behind.replace(at(0), Revision::new(5), Vec::new());
    behind.apply_delta(at(30), ahead.delta_since(at(30), Revision::new(5)).unwrap());
    assert_eq!(removed(&behind), [1]);
}

#[test]
fn no_delta_starts_before_an_expired_tombstone() {
    let mut directory = directory();
    directory.replace(at(0), Revision::new(5), vec![record(1, 4), record(2, 4)]);
    directory.apply(
        at(10),
        Revision::new(8),
        vec![InstanceEvent::Gone(InstanceId(1))],
    );
    directory.apply(
        at(20),
        Revision::new(9),
        vec![InstanceEvent::Put(draining(2, 9))],
    );
    assert!(
        directory.delta_since(at(20), Revision::new(4)).is_none(),
        "before the first list"
    );
    assert!(directory.delta_since(at(20), Revision::new(5)).is_some());
    directory.expire(at(80_000));
    assert!(
        directory
            .delta_since(at(80_000), Revision::new(7))
            .is_none(),
        "the tombstone of revision 8 has expired"
    );
    assert!(
        directory
            .delta_since(at(80_000), Revision::new(8))
            .is_some()
    );
    assert!(
        directory
            .delta_since(at(80_000), Revision::new(9))
            .is_none(),
        "there is nothing newer"
    );
}

#[test]
fn a_confirmation_applies_only_to_nodes_that_know_the_last_change() {
    let mut directory = directory();
    directory.replace(at(0), Revision::new(5), vec![record(1, 4)]);
    directory.confirm(Revision::new(6), Revision::new(9));
    assert_eq!(directory.as_of(), Some(Revision::new(5)));
    directory.confirm(Revision::new(5), Revision::new(9));
    assert_eq!(directory.as_of(), Some(Revision::new(9)));
    directory.confirm(Revision::new(5), Revision::new(7));
    assert_eq!(directory.as_of(), Some(Revision::new(9)));
}

proptest! {
    /// After applying a delta that starts at or before its revision, the receiver has the same
    /// state as the sender.
    #[test]
    fn a_delta_is_exact(
        steps in prop::collection::vec(step(), 1..24),
        sender in prop::collection::vec(0..24_usize, 1..8),
        receiver in prop::collection::vec(0..24_usize, 1..8),
        since in 0..24_u64,
    ) {
        let history = history(&steps);
        let mut sender_ends = sender;
        sender_ends.sort_unstable();
        let mut receiver_ends = receiver;
        receiver_ends.sort_unstable();
        let sender = follower(&history, &sender_ends);
        let mut receiver = follower(&history, &receiver_ends);
        let before = receiver.as_of().unwrap();
        if let Some(delta) = sender.delta_since(at(0), Revision::new(since)) {
            receiver.apply_delta(at(0), delta);
        }
        let expected = if Revision::new(since) <= before && sender.as_of().unwrap() > before {
            &sender
        } else {
            &follower(&history, &receiver_ends)
        };
        let (actual, wanted) = (receiver.records(at(0)), expected.records(at(0)));
        prop_assert_eq!(without_creations(&actual), without_creations(&wanted));
        let state = &history[usize::try_from(receiver.as_of().unwrap().number()).unwrap().max(1) - 1].2;
        prop_assert!(actual.is_empty() || creations_are_valid(&actual, state, &steps));
        prop_assert_eq!(receiver.as_of(), expected.as_of());
    }

    /// After any sequence of updates from the store and from each other, each of two nodes has the
    /// state of the store at the revision up to which it reports to know all changes.
    #[test]
    fn a_directory_is_exact_at_its_revision(
        steps in prop::collection::vec(step(), 1..24),
        actions in prop::collection::vec((0..5_u8, 0..2_usize, 0..24_usize), 1..24),
    ) {
        let history = history(&steps);
        let mut nodes = [directory(), directory()];
        for (action, index, number) in actions {
            let end = number.min(history.len() - 1);
            let [one, other] = &mut nodes;
            let (node, peer) = if index == 0 { (one, other) } else { (other, one) };
            match action {
                0 => {
                    node.replace(at(0), history[end].0, history[end].2.clone());
                }
                1 => {
                    let known = usize::try_from(node.as_of().unwrap_or_default().number()).unwrap();
                    if known > 0 && known <= end {
                        let events = history[known..=end].iter().map(|(_, event, _)| event.clone());
                        node.apply(at(0), history[end].0, events.collect());
                    }
                }
                2 => {
                    if let Some(delta) = peer.delta_since(at(0), Revision::new(number as u64)) {
                        node.apply_delta(at(0), delta);
                    }
                }
                3 => node.confirm(peer.changed_at(), peer.as_of().unwrap_or_default()),
                _ => {
                    if let Some(as_of) = peer.as_of() {
                        node.replace(at(0), as_of, peer.records(at(0)));
                    }
                }
            }
            for node in &nodes {
                if let Some(as_of) = node.as_of() {
                    let stored = &history[usize::try_from(as_of.number()).unwrap() - 1].2;
                    let records = node.records(at(0));
                    prop_assert_eq!(without_creations(&records), without_creations(stored));
                    prop_assert!(creations_are_valid(&records, stored, &steps));
                }
            }
        }
    }

    /// Full lists and changes of any age and in any order never take a node back to an older state,
    /// and the newest one always wins.
    #[test]
    fn updates_in_any_order_never_go_back(
        steps in prop::collection::vec(step(), 1..24),
        order in prop::collection::vec((any::<prop::sample::Index>(), any::<prop::sample::Index>(), any::<bool>()), 1..24),
    ) {
        let history = history(&steps);
        let mut directory = directory();
        let mut newest = Revision::new(0);
        for (first, second, is_list) in order {
            let to = first.index(history.len()).max(second.index(history.len()));
            let from = first.index(history.len()).min(second.index(history.len()));
            let (at_revision, _, state) = &history[to];
            if is_list {
                directory.replace(at(0), *at_revision, state.clone());
                newest = newest.max(*at_revision);
            } else if directory.as_of().is_some_and(|as_of| as_of >= Revision::new(from as u64)) {
                // A watch from `from` returns only later events.
                let events = history[from..=to].iter().map(|(_, event, _)| event.clone());
                directory.apply(at(0), *at_revision, events.collect());
                newest = newest.max(*at_revision);
            }
            prop_assert!(directory.as_of().unwrap_or_default() >= newest);
            if newest > Revision::new(0) {
                let expected: Vec<u64> = history[usize::try_from(newest.number()).unwrap() - 1].2
                    .iter().map(|record| record.id.0).collect();
                prop_assert_eq!(present(&directory), expected);
            }
        }
    }
}

/// Returns a directory with instances 1 to 3 as of revision 10.
fn listed() -> Directory {
    let mut directory = Directory::new(TOMBSTONE_LIFETIME);
    directory.replace(
        at(0),
        Revision::new(10),
        (1..=3).map(|id| record(id, id)).collect(),
    );
    directory
}

/// Returns the same directory after the store has discarded its history: its new list lacks
/// instance 2 and has 4.
fn relisted() -> Directory {
    let mut directory = listed();
    let records = vec![record(1, 1), record(3, 3), record(4, 18)];
    directory.replace(at(100), Revision::new(20), records);
    directory
}

/// Guards against sending a list of thousands of instances to each node whenever the store discards
/// its history.
#[test]
fn a_peer_at_the_start_of_a_gap_gets_a_delta() {
    let delta = relisted().delta_since(at(100), Revision::new(10)).unwrap();
    assert_eq!((delta.records.len(), delta.tombstones.len()), (1, 1));
    let mut peer = listed();
    assert!(peer.apply_delta(at(110), delta));
    assert_eq!(present(&peer), [1, 3, 4]);
    assert_eq!(peer.as_of(), Some(Revision::new(20)));
    // The peer now has the same gap.
    assert_eq!(peer.delta_since(at(120), Revision::new(15)), None);
    assert!(peer.delta_since(at(120), Revision::new(10)).is_some());
}

/// Instance 9 was added and removed within the gap, so no delta across it contains the removal. A
/// peer at a revision within the gap that applied one would keep the instance.
#[test]
fn a_peer_within_a_gap_applies_no_delta_across_it() {
    let mut peer = listed();
    peer.apply(
        at(50),
        Revision::new(15),
        vec![InstanceEvent::Put(record(9, 15))],
    );
    let relisted = relisted();
    assert_eq!(relisted.delta_since(at(100), Revision::new(15)), None);
    let delta = relisted.delta_since(at(100), Revision::new(10)).unwrap();
    assert!(!peer.apply_delta(at(110), delta));
    assert_eq!(peer.as_of(), Some(Revision::new(15)));
    assert_eq!(present(&peer), [1, 2, 3, 9]);
}

#[test]
fn history_before_the_oldest_dropped_gap_counts_as_unknown() {
    let mut directory = listed();
    for list in 2..20 {
        let records = (1..=3).map(|id| record(id, id)).collect();
        directory.replace(at(list), Revision::new(list * 10), records);
    }
    assert_eq!(directory.delta_since(at(200), Revision::new(10)), None);
    assert_eq!(directory.delta_since(at(200), Revision::new(185)), None);
    assert!(directory.delta_since(at(200), Revision::new(180)).is_some());
}
