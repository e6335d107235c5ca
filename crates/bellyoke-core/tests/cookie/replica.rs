//! Updates from the store and from peers are merged in any order.

use crate::support::{TOMBSTONE_LIFETIME, at, configuration, draining, node, record};
use bellyoke_core::cookie::instance::{InstanceEvent, InstanceId};
use bellyoke_core::cookie::replica::{DirectoryPart, Replica, Snapshot};
use bellyoke_core::cookie::revision::Revision;
use proptest::prelude::*;

fn empty() -> Replica {
    Replica::new(TOMBSTONE_LIFETIME)
}

#[test]
fn a_node_that_starts_without_the_store_gets_all_state_from_a_peer() {
    let mut peer = node(vec![record(1, 1), record(2, 2)]);
    peer.replace_instances(at(5), Revision::new(20), vec![record(2, 2)]);
    let mut starting = empty();
    let change = starting.merge(at(900_000), peer.snapshot(at(1_000)));
    assert!(change.configuration && change.directory);
    assert_eq!(starting.versions(), peer.versions());
    assert_eq!(starting.snapshot(at(900_000)).tombstones.len(), 1);
}

#[test]
fn a_peer_receives_only_the_state_that_it_lacks() {
    let mut ahead = node(vec![record(1, 1), record(2, 2)]);
    let known = node(vec![record(1, 1), record(2, 2)]).versions();
    ahead.apply_instances(
        at(5),
        Revision::new(20),
        vec![InstanceEvent::Put(record(3, 20))],
    );
    let snapshot = ahead.snapshot_for(at(5), known, Revision::new(0));
    assert_eq!(snapshot.configuration, None);
    let Some(DirectoryPart::Changes(delta)) = snapshot.directory else {
        panic!("{:?}", snapshot.directory);
    };
    assert_eq!(delta.records, [record(3, 20)]);
    let unchanged = ahead.snapshot_for(at(5), ahead.versions(), Revision::new(0));
    assert_eq!((unchanged.configuration, unchanged.directory), (None, None));
}

/// During a rolling replacement of a service there are thousands of tombstones and each node
/// fetches repeatedly. Snapshots would be too large if each contained all tombstones.
#[test]
fn a_slightly_outdated_peer_gets_only_new_tombstones() {
    let mut ahead = node((1..=100).map(|id| record(id, 1)).collect());
    for id in 1..=99 {
        let removal = vec![InstanceEvent::Gone(InstanceId(id))];
        ahead.apply_instances(at(id), Revision::new(10 + id), removal);
    }
    let mut known = ahead.versions();
    known.directory_as_of = Revision::new(108);
    known.directory_changed_at = Revision::new(108);
    let snapshot = ahead.snapshot_for(at(200), known, known.directory_as_of);
    let removed: Vec<u64> = snapshot
        .tombstones
        .iter()
        .map(|tombstone| tombstone.record.id.0)
        .collect();
    assert_eq!(removed, [99]);
    assert_eq!(ahead.snapshot(at(200)).tombstones.len(), 99);
}

#[test]
fn configuration_deltas_bring_a_peer_up_to_date() {
    let mut ahead = node(Vec::new());
    let mut behind = node(Vec::new());
    for revision in 2..6 {
        let before = ahead.versions();
        assert!(ahead.adopt_configuration(configuration(revision, &[("till", 1)])));
        if revision == 3 {
            continue;
        }
        let known = if revision == 4 {
            behind.versions()
        } else {
            before
        };
        let delta = ahead.delta_for(at(0), known).unwrap();
        assert!(behind.merge_delta(at(0), delta).configuration, "{revision}");
        assert_eq!(behind.configuration(), ahead.configuration());
    }
}

#[test]
fn a_delta_of_another_configuration_is_ignored() {
    let mut ahead = node(Vec::new());
    ahead.adopt_configuration(configuration(3, &[("till", 1)]));
    let before = ahead.versions();
    ahead.adopt_configuration(configuration(4, &[("listings", 1)]));
    let delta = ahead.delta_for(at(0), before).unwrap();
    let mut behind = node(Vec::new());
    assert!(!behind.merge_delta(at(0), delta).any());
    assert_eq!(
        behind.configuration(),
        Some(&configuration(1, &[("till", 1)]))
    );
    assert!(
        ahead.delta_for(at(0), behind.versions()).is_some(),
        "two consecutive deltas lead there"
    );
}

#[test]
fn a_node_that_is_not_behind_adopts_the_revisions_of_a_peer() {
    let mut replica = node(vec![record(1, 1)]);
    let mut peer = node(vec![record(1, 1)]);
    peer.apply_instances(at(0), Revision::new(15), Vec::new());
    peer.confirm_configuration(Revision::new(17));
    replica.confirm(peer.versions());
    assert_eq!(replica.versions(), peer.versions());
    peer.adopt_configuration(configuration(20, &[]));
    replica.confirm(peer.versions());
    assert_eq!(replica.versions().configuration_as_of, Revision::new(17));
}

#[test]
fn a_snapshot_of_an_outdated_peer_changes_nothing() {
    let mut replica = node(vec![draining(1, 9)]);
    replica.adopt_configuration(configuration(9, &[("listings", 1)]));
    let mut older = empty();
    older.adopt_configuration(configuration(3, &[("till", 1)]));
    older.replace_instances(at(0), Revision::new(4), vec![record(1, 2), record(2, 4)]);
    let before = replica.snapshot(at(0));
    let change = replica.merge(at(0), older.snapshot(at(0)));
    assert!(!change.any());
    assert_eq!(replica.snapshot(at(0)), before);
}

#[test]
fn a_node_is_behind_only_peers_with_newer_changes() {
    let replica = node(vec![record(1, 1)]);
    let mut peer = node(vec![record(1, 1)]);
    assert!(!replica.is_behind(peer.versions()));
    peer.replace_instances(at(0), Revision::new(11), vec![]);
    assert!(replica.is_behind(peer.versions()));
    assert!(!peer.is_behind(replica.versions()));
    let mut newer = empty();
    newer.adopt_configuration(configuration(2, &[]));
    assert!(replica.is_behind(newer.versions()));
    assert!(!replica.is_behind(empty().versions()));
}

#[test]
fn a_revision_without_changes_does_not_make_a_node_outdated() {
    let replica = node(vec![record(1, 1)]);
    let mut peer = node(vec![record(1, 1)]);
    peer.apply_instances(at(0), Revision::new(15), Vec::new());
    assert!(!replica.is_behind(peer.versions()));
}

fn snapshots() -> impl Strategy<Value = Vec<Snapshot>> {
    // Snapshots of one store's history: instance `n` is added at revision `n` and removed at `n +
    // 3`.
    prop::collection::vec((1..20_u64, 1..20_u64), 1..6).prop_map(|revisions| {
        let snapshot = |(configuration_at, directory_at): (u64, u64)| {
            let mut replica = empty();
            replica.adopt_configuration(configuration(configuration_at, &[("till", 1)]));
            let present = directory_at.saturating_sub(2).max(1)..=directory_at;
            let records = present.map(|id| record(id, id)).collect();
            replica.replace_instances(at(0), Revision::new(directory_at), records);
            replica.snapshot(at(0))
        };
        revisions.into_iter().map(snapshot).collect()
    })
}

proptest! {
    /// Nodes that merged the same snapshots have the same state, in whatever order they merged
    /// them.
    #[test]
    fn the_result_of_merging_does_not_depend_on_the_order(snapshots in snapshots()) {
        let mut forward = empty();
        let mut backward = empty();
        for snapshot in &snapshots {
            forward.merge(at(0), snapshot.clone());
        }
        for snapshot in snapshots.iter().rev() {
            backward.merge(at(0), snapshot.clone());
        }
        let (forward, backward) = (forward.snapshot(at(0)), backward.snapshot(at(0)));
        prop_assert_eq!(forward.configuration, backward.configuration);
        prop_assert_eq!(forward.directory, backward.directory);
    }
}
