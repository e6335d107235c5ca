//! Gossip between nodes, in virtual time.

use crate::cluster::{Cluster, TICK, address, suggestion, watched};
use crate::support::{TOMBSTONE_LIFETIME, at, configuration};
use bellyoke_core::cookie::capacity::NodePlace;
use bellyoke_core::cookie::coordinator::{Coordinator, Outcome};
use bellyoke_core::cookie::exchange::{
    Exchange, ExchangeEffect, ExchangeSettings, Heartbeat, PeerDatagram, StoreDuty, WATCHERS,
    WatcherClaim,
};
use bellyoke_core::cookie::follower::{Freshness, Update, WatchPlan};
use bellyoke_core::cookie::freshness::ObjectKind;
use bellyoke_core::cookie::instance::Cookie;
use bellyoke_core::cookie::replica::{Replica, Versions};
use bellyoke_core::cookie::revision::Revision;
use std::net::SocketAddrV4;

#[test]
fn what_one_node_knows_all_know_within_a_second() {
    for size in [2, 10, 100] {
        let mut cluster = Cluster::new(size);
        cluster.run(3_000);
        cluster.learn(size - 1, 5);
        cluster.run(1_500);
        assert_eq!(cluster.knowing(5), size);
    }
}

#[test]
fn a_node_that_starts_learns_all_within_half_a_second() {
    let mut cluster = Cluster::new(10);
    cluster.run(1_000);
    cluster.learn(4, 5);
    cluster.run(3_000);
    cluster.start(7);
    cluster.run(500);
    assert_eq!(cluster.knowing(5), 10);
}

#[test]
fn a_node_that_starts_finds_peers_though_two_of_three_seeds_are_dead() {
    let mut cluster = Cluster::new(10);
    cluster.run(1_000);
    cluster.learn(4, 5);
    cluster.run(2_000);
    cluster.node(0).alive = false;
    cluster.node(1).alive = false;
    cluster.start(7);
    cluster.run(2_500);
    assert_eq!(cluster.knowing(5), 8);
}

#[test]
fn a_link_that_works_one_way_only_keeps_nobody_behind() {
    let mut cluster = Cluster::new(5);
    cluster.run(2_000);
    for number in 0..4 {
        cluster.lost.push((address(4), address(number)));
    }
    cluster.learn(0, 5);
    cluster.run(2_000);
    assert_eq!(
        cluster.knowing(5),
        5,
        "node 4 hears, though nobody hears it"
    );
}

#[test]
fn a_dead_peer_is_forgotten_and_a_leaving_one_at_once() {
    let mut cluster = Cluster::new(4);
    cluster.run(2_000);
    let now = at(cluster.now);
    let effects = cluster.node(3).coordinator.leave(now);
    let outcome = Outcome {
        effects,
        ..Outcome::default()
    };
    cluster.perform(address(3), outcome);
    cluster.node(3).alive = false;
    cluster.node(2).alive = false;
    let heard = |cluster: &mut Cluster| {
        let peers = cluster.node(0).coordinator.exchange().peers();
        peers
            .filter(|(_, peer)| peer.heard)
            .map(|(peer, _)| peer)
            .collect::<Vec<_>>()
    };
    assert_eq!(heard(&mut cluster), [address(1), address(2)]);
    cluster.run(12_000);
    assert_eq!(heard(&mut cluster), [address(1)]);
}

#[test]
fn a_node_sends_as_much_in_a_large_cluster_as_in_a_small_one() {
    let sent_a_node = |size: usize| {
        let mut cluster = Cluster::new(size);
        cluster.run(2_000);
        cluster.learn(0, 5);
        cluster.run(2_000);
        let before: usize = cluster.nodes.values().map(|node| node.sent).sum();
        cluster.run(20_000);
        let after: usize = cluster.nodes.values().map(|node| node.sent).sum();
        (after - before) as f64 / size as f64
    };
    let (small, large) = (sent_a_node(10), sent_a_node(200));
    assert!(
        large < small * 1.2,
        "{small} messages a node at 10, {large} at 200"
    );
}

#[test]
fn a_node_alone_is_no_trouble() {
    let mut cluster = Cluster::new(1);
    cluster.learn(0, 5);
    cluster.run(5_000);
    assert_eq!(cluster.knowing(5), 1);
}

/// More nodes start than a table of peers holds, all by the same seeds.
#[test]
fn seeds_answer_every_node_of_a_large_cluster_that_starts() {
    let mut cluster = Cluster::new(1_000);
    cluster.learn(999, 5);
    cluster.run(2_500);
    assert_eq!(cluster.knowing(5), 1_000);
}

#[test]
fn state_is_bounded_whatever_peers_claim() {
    let mut cluster = Cluster::new(1);
    for number in 1..2_000 {
        let heartbeat = Heartbeat {
            versions: Versions::default(),
            leaving: false,
            peers_know: false,
            confirmed_age_milliseconds: None,
            confirmed_by_newest: false,
            place: NodePlace::default(),
            claims: vec![WatcherClaim {
                address: address(number),
                place: NodePlace::default(),
                age_milliseconds: 0,
            }],
            peers: (0..6)
                .map(|other| suggestion(2_000 + number * 6 + other))
                .collect(),
            zones: Vec::new(),
            failing: Vec::new(),
        };
        let coordinator = &mut cluster.node(0).coordinator;
        coordinator.datagram(at(0), address(number), PeerDatagram::Heartbeat(heartbeat));
    }
    assert_eq!(cluster.node(0).coordinator.exchange().peers().count(), 256);
}

#[test]
fn one_node_reads_and_two_back_it_up_whatever_the_size() {
    for size in [3, 10, 200] {
        let cluster = watched(size);
        assert_eq!(cluster.with_duty(StoreDuty::Reader).len(), 1, "of {size}");
        assert_eq!(
            cluster.with_duty(StoreDuty::Backup).len(),
            WATCHERS - 1,
            "of {size}"
        );
    }
}

#[test]
fn all_others_rest_while_these_confirm_what_they_know() {
    for size in [10, 100] {
        let mut cluster = watched(size);
        let mut rested = 0;
        for _ in 0..40 {
            cluster.run(TICK);
            rested += cluster.resting();
        }
        let possible = 40 * (size - WATCHERS);
        assert!(
            rested * 100 >= possible * 95,
            "{rested} of {possible} at {size}"
        );
    }
}

#[test]
fn nobody_rests_once_nobody_confirms() {
    let mut cluster = watched(10);
    cluster.store_answers = false;
    cluster.run(1_600);
    assert_eq!(cluster.resting(), 0);
}

#[test]
fn a_node_that_knows_nothing_does_not_rest() {
    let mut cluster = Cluster::new(4);
    cluster.store_answers = true;
    cluster.run(5_000);
    assert_eq!(cluster.resting(), 0);
}

#[test]
fn while_the_store_answers_nobody_nobody_is_a_reader() {
    let mut cluster = watched(10);
    for node in cluster.nodes.values_mut() {
        node.coordinator
            .note_store(at(cluster.now), ObjectKind::Instances, false);
    }
    cluster.run(5_000);
    assert!(cluster.with_duty(StoreDuty::Reader).is_empty());
    assert!(cluster.with_duty(StoreDuty::Backup).is_empty());
}

#[test]
fn a_node_alone_reads() {
    assert_eq!(watched(1).with_duty(StoreDuty::Reader).len(), 1);
}

#[test]
fn nodes_that_start_together_do_not_all_read() {
    let mut cluster = Cluster::new(60);
    cluster.store_answers = true;
    for _ in 0..100 {
        cluster.run(TICK);
        let readers = cluster.with_duty(StoreDuty::Reader).len();
        assert!(readers <= 2, "{readers} at {}", cluster.now);
    }
}

#[test]
fn others_take_over_from_watchers_that_died_or_lost_the_store() {
    let mut cluster = watched(20);
    let readers = cluster.with_duty(StoreDuty::Reader);
    let backups = cluster.with_duty(StoreDuty::Backup);
    cluster.nodes.get_mut(&readers[0]).unwrap().alive = false;
    for backup in &backups {
        let node = cluster.nodes.get_mut(backup).unwrap();
        node.coordinator
            .note_store(at(0), ObjectKind::Configuration, false);
    }
    cluster.run(10_000);
    let reader = cluster.with_duty(StoreDuty::Reader);
    assert_eq!(reader.len(), 1);
    assert!(!readers.contains(&reader[0]) && !backups.contains(&reader[0]));
    assert_eq!(cluster.with_duty(StoreDuty::Backup).len(), WATCHERS - 1);
}

#[test]
fn a_reader_that_leaves_is_followed_by_another() {
    let mut cluster = watched(10);
    let reader = cluster.with_duty(StoreDuty::Reader)[0];
    let now = at(cluster.now);
    let node = cluster.nodes.get_mut(&reader).unwrap();
    let effects = node.coordinator.leave(now);
    cluster.perform(
        reader,
        Outcome {
            effects,
            ..Outcome::default()
        },
    );
    cluster.nodes.get_mut(&reader).unwrap().alive = false;
    cluster.run(9_000);
    assert_eq!(cluster.with_duty(StoreDuty::Reader).len(), 1);
}

#[test]
fn a_change_reaches_all_as_a_delta_within_moments() {
    let mut cluster = watched(100);
    let fetched =
        |cluster: &Cluster| -> usize { cluster.nodes.values().map(|node| node.fetched).sum() };
    let before = fetched(&cluster);
    cluster.learn(3, 9);
    assert!(cluster.knowing(9) >= 80, "{} at once", cluster.knowing(9));
    cluster.run(1_500);
    assert_eq!(cluster.knowing(9), 100);
    let by_snapshot = fetched(&cluster) - before;
    assert!(by_snapshot <= 10, "{by_snapshot} fetched a snapshot");
}

#[test]
fn a_node_that_knows_the_list_still_fetches_tombstones_at_its_start() {
    let mut cluster = watched(5);
    cluster.learn(0, 9);
    cluster.run(1_000);
    cluster.start(4);
    cluster.learn(4, 9);
    cluster.run(3_000);
    let replica = cluster.node(4).coordinator.replica();
    let gone = replica.snapshot(at(0)).tombstones;
    let gone: Vec<u64> = gone.iter().map(|tombstone| tombstone.record.id.0).collect();
    assert_eq!(gone, [5], "instance 5 went before it started");
}

/// After a kill of all, peers have nothing to tell: they must not use up the fetches by which a
/// node learns of gone instances.
#[test]
fn a_peer_that_knows_nothing_is_no_introduction() {
    let exchange = Exchange::new(ExchangeSettings::default(), address(9), Vec::new(), 1);
    let mut node = Coordinator::new(Replica::new(TOMBSTONE_LIFETIME), exchange);
    for _ in 0..5 {
        let nothing = Replica::new(TOMBSTONE_LIFETIME).snapshot(at(0));
        node.snapshot(at(100), address(1), nothing);
    }
    let peer = watched(3).nodes.remove(&address(0)).unwrap().coordinator;
    node.snapshot(at(200), address(0), peer.replica().snapshot(at(0)));
    let heartbeat = Heartbeat {
        versions: peer.replica().versions(),
        leaving: false,
        peers_know: false,
        confirmed_age_milliseconds: None,
        confirmed_by_newest: false,
        place: NodePlace::default(),
        claims: Vec::new(),
        peers: Vec::new(),
        zones: Vec::new(),
        failing: Vec::new(),
    };
    let datagram = PeerDatagram::Heartbeat(heartbeat);
    let outcome = node.datagram(at(300), address(0), datagram);
    let fetch = ExchangeEffect::Fetch { from: address(0) };
    assert!(outcome.effects.contains(&fetch), "one introduction is left");
}

/// A node that was confirmed at 10 s, whose calls to the store fail since then, and that hears
/// others told of by `age`, milliseconds, at `hears`.
fn unanswered(hears: u64, age: u32) -> Coordinator {
    let mut node = newborn();
    let empty = || Update::List {
        at: Revision::new(9),
        items: Vec::new(),
    };
    node.instances(at(10_000), empty());
    let routes = vec![configuration(9, &[("till", 1)])];
    let routes = Update::List {
        at: Revision::new(9),
        items: routes,
    };
    node.configurations(at(10_000), routes);
    for kind in ObjectKind::ALL {
        node.note_asked(at(10_000), kind, Freshness::Newest);
        node.note_store(at(10_000), kind, false);
    }
    let heartbeat = |number: u8| Heartbeat {
        versions: Versions {
            configuration: 20,
            configuration_as_of: Revision::new(20),
            ..node.replica().versions()
        },
        leaving: false,
        peers_know: false,
        confirmed_age_milliseconds: Some(age),
        confirmed_by_newest: true,
        place: NodePlace::default(),
        claims: Vec::new(),
        peers: vec![suggestion(usize::from(number)); 6],
        zones: Vec::new(),
        failing: Vec::new(),
    };
    let heartbeats = (1..=200).map(heartbeat).collect::<Vec<_>>();
    for now in (10_000..=hears).step_by(100) {
        node.tick(at(now));
    }
    for (number, heartbeat) in heartbeats.into_iter().enumerate() {
        let datagram = PeerDatagram::Heartbeat(heartbeat);
        node.datagram(at(hears), address(number + 1), datagram);
    }
    node
}

/// When a node first calls the store for instances, milliseconds; none within a minute.
fn first_call(node: &Coordinator, from: u64) -> Option<u64> {
    let mut times = (from..from + 60_000).step_by(100);
    times.find(|now| {
        let rests = match node.watch_plan(at(*now), ObjectKind::Instances) {
            WatchPlan::IdleUntil(until) => at(*now) < until,
            WatchPlan::Watch(_) | WatchPlan::Confirm => false,
        };
        !rests && node.may_ask(at(*now), ObjectKind::Instances)
    })
}

#[test]
fn a_node_that_hears_nobody_asks_once_its_state_is_stale() {
    let asked_at = first_call(&unanswered(10_000, 60_000), 11_000);
    assert_eq!(asked_at, Some(11_500));
}

#[test]
fn a_node_behind_confirmed_peers_asks_soon() {
    // It hears them at 11.4 s, and they were confirmed just then; stale is its state at 11.5 s.
    let asked_at = first_call(&unanswered(11_400, 0), 11_400).unwrap();
    assert!((12_000..=12_300).contains(&asked_at), "{asked_at}");
}

/// A node that knows nothing.
fn newborn() -> Coordinator {
    let exchange = Exchange::new(ExchangeSettings::default(), address(0), Vec::new(), 1);
    Coordinator::new(Replica::new(TOMBSTONE_LIFETIME), exchange)
}

/// From whom a node wants to fetch when it hears a peer that knows all.
fn fetches_on_hearing(node: &mut Coordinator, now: u64, from: usize) -> Vec<SocketAddrV4> {
    let heartbeat = Heartbeat {
        versions: Versions {
            configuration: 9,
            configuration_as_of: Revision::new(9),
            directory_changed_at: Revision::new(9),
            directory_as_of: Revision::new(9),
            zones_changed_at: Revision::new(1),
            zones_as_of: Revision::new(1),
        },
        leaving: false,
        peers_know: false,
        confirmed_age_milliseconds: None,
        confirmed_by_newest: false,
        place: NodePlace::default(),
        claims: Vec::new(),
        peers: [1, 2, 3].map(suggestion).to_vec(),
        zones: Vec::new(),
        failing: Vec::new(),
    };
    let datagram = PeerDatagram::Heartbeat(heartbeat);
    let effects = node.datagram(at(now), address(from), datagram).effects;
    let fetches = effects.into_iter().filter_map(|effect| match effect {
        ExchangeEffect::Fetch { from } => Some(from),
        _ => None,
    });
    fetches.collect()
}

/// Over a thin link a snapshot takes seconds, and a second one beside it only takes its share.
#[test]
fn no_fetch_begins_beside_one_that_brings_data() {
    let mut node = newborn();
    assert_eq!(fetches_on_hearing(&mut node, 10_000, 1), [address(1)]);
    for now in (10_200..14_000).step_by(200) {
        node.fetch_progressed(at(now), address(1));
        assert!(
            fetches_on_hearing(&mut node, now + 100, 2).is_empty(),
            "at {now} ms"
        );
    }
    node.fetch_failed(address(1));
    assert_eq!(fetches_on_hearing(&mut node, 14_400, 2), [address(2)]);
}

#[test]
fn one_fetch_begins_beside_one_that_is_stuck() {
    let mut node = newborn();
    assert_eq!(fetches_on_hearing(&mut node, 10_000, 1), [address(1)]);
    assert!(fetches_on_hearing(&mut node, 10_200, 2).is_empty());
    let mut began = Vec::new();
    for now in (10_300..11_400).step_by(50) {
        began.extend(fetches_on_hearing(&mut node, now, 2));
        began.extend(fetches_on_hearing(&mut node, now, 3));
    }
    assert_eq!(began.len(), 1, "{began:?}");
    assert_ne!(began[0], address(1));
}

#[test]
fn after_a_stall_the_word_of_peers_that_waited_counts_for_nothing() {
    let cluster = watched(3);
    let reader = cluster.with_duty(StoreDuty::Reader)[0];
    let listener = Exchange::new(ExchangeSettings::default(), address(9), Vec::new(), 1);
    let mut listener = Coordinator::new(Replica::new(TOMBSTONE_LIFETIME), listener);
    let snapshot = cluster.nodes[&reader].coordinator.replica().snapshot(at(0));
    let versions = snapshot.versions;
    listener.snapshot(at(0), reader, snapshot);
    // Else it would take itself for the reader.
    listener.note_store(at(0), ObjectKind::Instances, false);
    let heartbeat = |age| {
        PeerDatagram::Heartbeat(Heartbeat {
            versions,
            leaving: false,
            peers_know: false,
            confirmed_age_milliseconds: Some(age),
            confirmed_by_newest: true,
            place: NodePlace::default(),
            claims: Vec::new(),
            peers: Vec::new(),
            zones: Vec::new(),
            failing: Vec::new(),
        })
    };
    let rests = |listener: &Coordinator, now| {
        let plan = listener.watch_plan(at(now), ObjectKind::Configuration);
        matches!(plan, WatchPlan::IdleUntil(until) if until > at(now))
    };
    listener.tick(at(0));
    listener.datagram(at(50), reader, heartbeat(0));
    assert!(rests(&listener, 100));
    // It stands still for four seconds; this one waited in its socket all the while.
    listener.datagram(at(4_100), reader, heartbeat(0));
    assert!(!rests(&listener, 4_100));
    listener.tick(at(4_110));
    listener.datagram(at(4_300), reader, heartbeat(0));
    assert!(!rests(&listener, 4_300));
    for now in [4_400, 4_500] {
        listener.tick(at(now));
    }
    listener.datagram(at(4_550), reader, heartbeat(100));
    assert!(rests(&listener, 4_550));
    let plan = listener.watch_plan(at(4_550), ObjectKind::Configuration);
    assert_eq!(plan, WatchPlan::IdleUntil(at(4_450 + 1_500)));
}

/// Ages that a node is told may be greater than its own: it must neither rest on an old
/// confirmation nor renew a dead node's claim.
#[test]
fn a_node_that_has_just_started_makes_nothing_younger() {
    const START: u64 = 100_000;
    let exchange = Exchange::new(ExchangeSettings::default(), address(9), Vec::new(), 1);
    let mut newborn = Coordinator::new(Replica::new(TOMBSTONE_LIFETIME), exchange);
    newborn.tick(at(START));
    let peer = watched(3).nodes.remove(&address(0)).unwrap().coordinator;
    newborn.snapshot(at(START), address(0), peer.replica().snapshot(at(0)));
    let heartbeat = Heartbeat {
        versions: peer.replica().versions(),
        leaving: false,
        peers_know: false,
        confirmed_age_milliseconds: Some(3_000),
        confirmed_by_newest: true,
        place: NodePlace::default(),
        claims: vec![WatcherClaim {
            address: address(77),
            place: NodePlace::default(),
            age_milliseconds: 4_900,
        }],
        peers: Vec::new(),
        zones: Vec::new(),
        failing: Vec::new(),
    };
    let datagram = PeerDatagram::Heartbeat(heartbeat);
    newborn.datagram(at(START + 50), address(0), datagram);
    let plan = newborn.watch_plan(at(START + 60), ObjectKind::Instances);
    assert_eq!(plan, WatchPlan::Confirm, "it doesn't rest");
    let (outcome, _) = newborn.tick(at(START + 200));
    let told = outcome
        .effects
        .into_iter()
        .chain(newborn.leave(at(START + 210)));
    let claims = told.filter_map(|effect| match effect {
        ExchangeEffect::Send { heartbeat, .. } => Some(heartbeat.claims),
        _ => None,
    });
    let dead = claims
        .flatten()
        .filter(|claim| claim.address == address(77));
    assert!(dead.clone().all(|claim| claim.age_milliseconds >= 4_900));
}

#[test]
fn a_listener_that_hears_nothing_asks_for_the_newest_state() {
    let cluster = watched(5);
    let listener = cluster.with_duty(StoreDuty::Listener)[0];
    let coordinator = &cluster.nodes[&listener].coordinator;
    let rests = coordinator.watch_plan(at(cluster.now), ObjectKind::Instances);
    assert!(matches!(rests, WatchPlan::IdleUntil(until) if until > at(cluster.now)));
    let later = cluster.now + 10_000;
    let plan = coordinator.watch_plan(at(later), ObjectKind::Instances);
    assert_eq!(plan, WatchPlan::Confirm, "its rest is over");
    let reader = cluster.with_duty(StoreDuty::Reader)[0];
    let plan = cluster.nodes[&reader]
        .coordinator
        .watch_plan(at(later), ObjectKind::Instances);
    assert_eq!(plan, WatchPlan::Watch(Freshness::Newest));
}

#[test]
fn two_peers_that_agree_are_believed_and_one_is_not() {
    let mut cluster = Cluster::new(5);
    let [dead, cut] = [1, 2].map(|bits| Cookie::from_bits(bits).unwrap());
    let reports = [(1, vec![dead, cut]), (2, vec![dead])];
    for (number, failing) in reports {
        let effects = cluster.node(number).coordinator.set_failing(at(0), failing);
        let outcome = Outcome {
            effects,
            ..Outcome::default()
        };
        cluster.perform(address(number), outcome);
    }
    cluster.run(8_000);
    for number in [0, 3, 4] {
        let suspected = cluster.node(number).coordinator.peer_suspicions();
        assert_eq!(suspected.into_iter().collect::<Vec<_>>(), [dead]);
    }
}

/// Nodes that know nothing, as after a kill of all in an outage. Who asks for all is a matter of rank, not
/// of agreement; with time all know who comes first.
#[test]
fn few_nodes_ask_the_store_for_all_that_know_nothing() {
    let mut cluster = Cluster::new(60);
    cluster.run(5_000);
    let asking = |cluster: &Cluster| {
        let nodes = cluster.nodes.values();
        nodes.filter(|node| node.coordinator.asks_for_all()).count()
    };
    let before = asking(&cluster);
    assert!((1..=10).contains(&before), "{before} of 60 ask");
    cluster.learn(7, 10);
    cluster.run(2_000);
    assert_eq!(asking(&cluster), 0, "all know something");
}

#[test]
fn a_node_that_knows_nothing_fetches_from_who_knows_all() {
    let settings = ExchangeSettings::default();
    let mut exchange = Exchange::new(settings, address(0), Vec::new(), 1);
    let heartbeat = |directory: u64| Heartbeat {
        versions: Versions {
            configuration: 9,
            configuration_as_of: Revision::new(9),
            directory_changed_at: Revision::new(directory),
            directory_as_of: Revision::new(directory),
            zones_changed_at: Revision::new(1),
            zones_as_of: Revision::new(1),
        },
        leaving: false,
        peers_know: false,
        confirmed_age_milliseconds: None,
        confirmed_by_newest: false,
        place: NodePlace::default(),
        claims: Vec::new(),
        peers: [1, 2, 3].map(suggestion).to_vec(),
        zones: Vec::new(),
        failing: Vec::new(),
    };
    let mut hear = |now, from, directory| {
        let own = Versions::default();
        let behind = |versions: Versions| !versions.is_empty() || versions.configuration > 0;
        let message = heartbeat(directory);
        let effects = exchange.heartbeat(at(now), address(from), &message, own, behind);
        let fetches = effects.into_iter().filter_map(|effect| match effect {
            ExchangeEffect::Fetch { from } => Some(from),
            _ => None,
        });
        fetches.collect::<Vec<_>>()
    };
    assert!(
        hear(10_000, 1, 0).is_empty(),
        "it has the configuration alone"
    );
    assert_eq!(hear(10_010, 2, 5), [address(2)]);
}

/// A node that has just started has heard too few to tell, and one that loses its peers doesn't take
/// itself for the only one: what holds for the sum of all nodes would be broken.
#[test]
fn a_node_takes_the_cluster_for_no_smaller_than_it_was() {
    let mut node = newborn();
    assert!(node.nodes_at_most(at(10_000)) >= 300.0, "just started");
    for now in (10_000..20_000).step_by(100) {
        for number in 1..=40 {
            let heartbeat = Heartbeat {
                versions: Versions::default(),
                leaving: false,
                peers_know: false,
                confirmed_age_milliseconds: None,
                confirmed_by_newest: false,
                place: NodePlace::default(),
                claims: Vec::new(),
                peers: Vec::new(),
                zones: Vec::new(),
                failing: Vec::new(),
            };
            let datagram = PeerDatagram::Heartbeat(heartbeat);
            node.datagram(at(now), address(number), datagram);
        }
        node.tick(at(now));
    }
    assert_eq!(node.nodes_at_most(at(20_000)), 41.0);
    for now in (20_000..70_000).step_by(100) {
        node.tick(at(now));
    }
    assert_eq!(node.nodes_at_most(at(70_000)), 41.0, "cut off");
    for now in (70_000..200_000).step_by(100) {
        node.tick(at(now));
    }
    assert_eq!(node.nodes_at_most(at(200_000)), 1.0, "for good");
}
