//! Gossip within and between zones: its cost between zones, and that updates reach every zone.

use crate::cluster::{
    Cluster, Layout, ONE_ZONE, TICK_MS, address, watching_cluster, watching_cluster_in, zone_of,
};
use crate::support::at;
use bellyoke_core::cookie::capacity::{CapacityClass, MachineCapacity, NodePlace, ZoneKey};
use bellyoke_core::cookie::exchange::{
    Exchange, ExchangeEffect, ExchangeSettings, Heartbeat, StoreDuty, WATCHERS,
};
use bellyoke_core::cookie::instance::{Cookie, InstanceId};
use bellyoke_core::cookie::reachability::{Finding, LifeSign};
use bellyoke_core::cookie::replica::Versions;
use bellyoke_core::cookie::revision::Revision;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use twox_hash::XxHash3_64;

fn zones(zones: usize) -> Layout {
    Layout { zones, ..ONE_ZONE }
}

fn without_zone_preference(zones: usize) -> Layout {
    Layout {
        zones,
        own_zone_first: false,
        ..ONE_ZONE
    }
}

/// Returns the bytes sent between zones in ten seconds in which the configuration and an instance
/// change twice a second.
fn bytes_between_zones(size: usize, layout: Layout) -> usize {
    let mut cluster = watching_cluster_in(size, layout);
    cluster.traffic.clear();
    for change in 0..20 {
        cluster.learn(change % size, 100 + change as u64);
        cluster.run(500);
    }
    cluster.traffic.values().map(|[_, between]| between).sum()
}

/// Returns the mean and the maximum time in milliseconds until a change has reached all nodes.
fn propagation_times(size: usize, layout: Layout) -> (u64, u64) {
    let mut cluster = watching_cluster_in(size, layout);
    let mut times = Vec::new();
    for change in 0..20 {
        let revision = 100 + change as u64;
        cluster.learn(change * 7 % size, revision);
        let started = cluster.now;
        while cluster.nodes_knowing(revision) < size {
            cluster.run(TICK_MS);
        }
        times.push(cluster.now - started);
        cluster.run(1_000);
    }
    let mean = times.iter().sum::<u64>() / times.len() as u64;
    (mean, times.into_iter().max().unwrap())
}

/// Between 30 and 300 nodes the bytes grow by what the small zones of 30 nodes save: a zone of ten
/// has fewer nodes than would send to other zones.
#[test]
fn bytes_between_zones_depend_on_zones_and_not_on_nodes() {
    for count in [3, 6] {
        let bytes = [30, 100, 300].map(|size| bytes_between_zones(size, zones(count)));
        println!("{count} zones: {bytes:?}");
        assert!(bytes[2] * 10 < bytes[0] * 15, "{count} zones: {bytes:?}");
        assert!(bytes[2] * 10 < bytes[1] * 13, "{count} zones: {bytes:?}");
    }
    let off = [30, 300].map(|size| bytes_between_zones(size, without_zone_preference(3)));
    println!("off: {off:?}");
    assert!(off[1] > off[0] * 5, "without own_zone_first: {off:?}");
}

#[test]
fn a_change_spreads_as_fast_with_zones_as_without() {
    for (size, count) in [(30, 3), (100, 6), (300, 3)] {
        let (mean, longest) = propagation_times(size, zones(count));
        let (mean_off, longest_off) = propagation_times(size, without_zone_preference(count));
        println!("{size} nodes in {count}: {mean} {longest}, off: {mean_off} {longest_off}");
        assert!(mean <= mean_off + TICK_MS && longest <= longest_off.max(1_000));
    }
}

#[test]
fn changes_reach_zones_of_one_node_and_zones_of_unequal_size() {
    for (size, count) in [(6, 6), (7, 6), (2, 2)] {
        let (_, longest) = propagation_times(size, zones(count));
        assert!(
            longest <= 1_000,
            "{longest} ms, {size} nodes in {count} zones"
        );
    }
}

#[test]
fn a_fully_restarted_zone_receives_the_state_from_other_zones() {
    let mut cluster = watching_cluster_in(60, zones(3));
    cluster.learn(1, 50);
    cluster.run(2_000);
    for number in (0..60).step_by(3) {
        cluster.start(number);
    }
    cluster.run(1_500);
    assert_eq!(cluster.nodes_knowing(50), 60);
}

/// As many nodes join as there are, and they know only the addresses of three seeds.
#[test]
fn seeds_serve_few_of_the_snapshots_of_starting_nodes() {
    let mut cluster = watching_cluster_in(150, zones(3));
    cluster.learn(1, 50);
    cluster.run(3_000);
    cluster.nodes.values_mut().for_each(|node| node.served = 0);
    for number in 150..300 {
        cluster.start(number);
    }
    let mut times = 0;
    while cluster.nodes_knowing(50) < 300 {
        cluster.run(TICK_MS);
        times += TICK_MS;
    }
    let served: Vec<usize> = cluster.nodes.values().map(|node| node.served).collect();
    let by_seeds = served[..3].iter().sum::<usize>();
    let by_all = served.iter().sum::<usize>();
    println!("{by_seeds} of {by_all} in {times} ms");
    assert!(
        by_seeds * 5 < by_all,
        "seeds sent {by_seeds} of {by_all} bytes"
    );
    assert!(times <= 1_000, "{times} ms");
}

/// The first node of a zone that gets an update is killed before it sends anything. No other node
/// is designated to send the update to the zone.
#[test]
fn a_zone_whose_only_updated_node_dies_gets_the_update_from_others() {
    for victim in [1, 4, 22] {
        let mut cluster = watching_cluster_in(60, zones(3));
        let others: Vec<SocketAddrV4> = cluster.nodes.keys().copied().collect();
        for other in others {
            cluster.cut_links.push((address(victim), other));
        }
        cluster.learn(victim, 50);
        cluster.run(TICK_MS);
        assert_eq!(cluster.nodes_knowing(50), 1, "all its messages were lost");
        cluster.node(victim).alive = false;
        cluster.cut_links.clear();
        cluster.learn(2, 50);
        cluster.run(1_500);
        assert_eq!(cluster.nodes_knowing(50), 59);
    }
}

/// Drops all messages between the first zone and the others.
fn partition_first_zone(cluster: &mut Cluster) {
    let count = cluster.layout.zones;
    let nodes: Vec<SocketAddrV4> = cluster.nodes.keys().copied().collect();
    for from in &nodes {
        let crossing = nodes
            .iter()
            .filter(|to| (zone_of(*from, count) == 0) != (zone_of(**to, count) == 0));
        cluster.cut_links.extend(crossing.map(|to| (*from, *to)));
    }
}

#[test]
fn a_partitioned_zone_elects_watchers_and_rejoins() {
    let mut cluster = watching_cluster_in(60, zones(3));
    partition_first_zone(&mut cluster);
    cluster.run(12_000);
    let watchers: BTreeSet<usize> = [StoreDuty::Reader, StoreDuty::Backup]
        .into_iter()
        .flat_map(|duty| cluster.with_duty(duty))
        .map(|address| usize::from(zone_of(address, 3) == 0))
        .collect();
    assert_eq!(
        watchers.len(),
        2,
        "both sides of the partition watch the store"
    );
    cluster.learn(1, 50);
    cluster.run(2_000);
    assert_eq!(cluster.nodes_knowing(50), 40);
    cluster.cut_links.clear();
    cluster.run(3_000);
    assert_eq!(cluster.nodes_knowing(50), 60);
    cluster.run(5_000);
    assert_eq!(cluster.with_duty(StoreDuty::Reader).len(), 1);
}

#[test]
fn listeners_of_all_zones_stay_idle_while_watchers_confirm() {
    for count in [3, 6] {
        let mut cluster = watching_cluster_in(120, zones(count));
        let mut idle = 0;
        for _ in 0..40 {
            cluster.run(TICK_MS);
            idle += cluster.passive_nodes();
        }
        let possible = 40 * (120 - WATCHERS);
        assert!(idle * 100 >= possible * 95, "{idle} of {possible} idle");
    }
}

#[test]
fn watchers_are_the_largest_machines_spread_over_zones() {
    for count in [1, 3] {
        let layout = Layout {
            large_nodes: 6,
            ..zones(count)
        };
        let cluster = watching_cluster_in(90, layout);
        let mut watchers = cluster.with_duty(StoreDuty::Reader);
        watchers.extend(cluster.with_duty(StoreDuty::Backup));
        assert_eq!(watchers.len(), WATCHERS);
        let large: Vec<SocketAddrV4> = (0..6).map(address).collect();
        assert!(watchers.iter().all(|node| large.contains(node)));
        let places: BTreeSet<usize> = watchers.iter().map(|node| zone_of(*node, count)).collect();
        assert_eq!(places.len(), count.min(WATCHERS));
    }
}

#[test]
fn equal_machines_of_one_zone_are_ranked_by_hash() {
    let mut by_hash: Vec<SocketAddrV4> = (0..20).map(address).collect();
    by_hash.sort_by_key(|address| {
        let mut bytes = address.ip().octets().to_vec();
        bytes.extend(address.port().to_be_bytes());
        XxHash3_64::oneshot_with_seed(0x7265_6164_6572_0001, &bytes)
    });
    let cluster = watching_cluster(20);
    assert_eq!(cluster.with_duty(StoreDuty::Reader), by_hash[..1]);
    let backups: BTreeSet<_> = cluster.with_duty(StoreDuty::Backup).into_iter().collect();
    assert_eq!(backups, by_hash[1..3].iter().copied().collect());
}

#[test]
fn a_busy_watcher_is_replaced_and_returns_when_idle() {
    let layout = Layout {
        large_nodes: 4,
        ..zones(3)
    };
    let mut cluster = watching_cluster_in(30, layout);
    let reader = cluster.with_duty(StoreDuty::Reader)[0];
    let node = |cluster: &mut Cluster| -> usize {
        (0..30)
            .find(|number| address(*number) == reader)
            .map_or(0, |number| {
                let now = at(cluster.now);
                usize::from(cluster.node(number).coordinator.duty(now) != StoreDuty::Listener)
            })
    };
    let number = (0..30).find(|number| address(*number) == reader).unwrap();
    cluster.node(number).coordinator.set_link_paced(true);
    cluster.run(600);
    assert!(!cluster.with_duty(StoreDuty::Reader).contains(&reader));
    cluster.run(2_400);
    assert_eq!(node(&mut cluster), 0, "another node has replaced it");
    cluster.run(6_000);
    assert_eq!(cluster.with_duty(StoreDuty::Reader).len(), 1);
    assert_eq!(cluster.with_duty(StoreDuty::Backup).len(), WATCHERS - 1);
    assert!(!cluster.with_duty(StoreDuty::Backup).contains(&reader));
    cluster.node(number).coordinator.set_link_paced(false);
    cluster.run(8_000);
    assert_eq!(node(&mut cluster), 1, "it watches again");
}

/// If all nodes are busy, three of them watch nevertheless.
#[test]
fn three_nodes_watch_even_if_all_are_busy() {
    let mut cluster = watching_cluster_in(30, zones(3));
    for number in 0..30 {
        cluster.node(number).coordinator.set_link_paced(true);
    }
    cluster.run(10_000);
    assert_eq!(cluster.with_duty(StoreDuty::Reader).len(), 1);
    assert_eq!(cluster.with_duty(StoreDuty::Backup).len(), WATCHERS - 1);
}

fn heartbeat_of(zone: u16, class: CapacityClass, revision: u64) -> Heartbeat {
    let known = Revision::new(revision);
    Heartbeat {
        versions: Versions {
            configuration: known.number(),
            configuration_as_of: known,
            directory_changed_at: known,
            directory_as_of: known,
            zones_changed_at: known,
            zones_as_of: known,
        },
        leaving: false,
        peers_up_to_date: false,
        confirmed_age_milliseconds: None,
        confirmed_by_newest_read: false,
        place: NodePlace {
            zone: ZoneKey(zone),
            class,
        },
        claims: Vec::new(),
        peers: Vec::new(),
        zones: Vec::new(),
        failing: Vec::new(),
    }
}

fn isolated_exchange(seed: u64) -> Exchange {
    Exchange::new(ExchangeSettings::default(), address(0), Vec::new(), seed)
}

/// Returns the peers from which a node without state fetches, in order, if each fetch fails.
fn sources(seed: u64, peers: &[(usize, u16, CapacityClass)]) -> Vec<SocketAddrV4> {
    let mut exchange = isolated_exchange(seed);
    let no_versions = Versions::default();
    for (number, zone, class) in peers {
        let heartbeat = heartbeat_of(*zone, *class, 9);
        exchange.handle_heartbeat(
            at(10_000),
            address(*number),
            &heartbeat,
            no_versions,
            |_| false,
        );
        // Ends the fetch that starts at once from the first peer.
        exchange.fetch_succeeded(address(*number), no_versions);
    }
    let mut sources = Vec::new();
    for now in (10_000..20_000).step_by(100) {
        let behind = |versions: Versions| !versions.is_empty();
        for effect in exchange.tick(at(now), no_versions, behind) {
            if let ExchangeEffect::Fetch { from } = effect {
                exchange.fetch_failed(from);
                sources.push(from);
            }
        }
        if sources.len() >= peers.len() {
            break;
        }
    }
    sources
}

/// A zone that gets a finding late keeps sending flows to the dead instance, and a zone that gets a
/// refutation late resets flows of a live one.
#[test]
fn findings_probe_requests_and_refutations_always_reach_another_zone() {
    let class = CapacityClass::SMALLEST;
    let cookie = Cookie::of(InstanceId(7));
    for seed in 0..20 {
        let mut exchange = isolated_exchange(seed);
        for number in 1..40 {
            let zone = if number < 30 { 0 } else { 7 };
            let heartbeat = heartbeat_of(zone, class, 9);
            let from = address(number);
            exchange.handle_heartbeat(at(10_000), from, &heartbeat, heartbeat.versions, |_| false);
        }
        exchange.tick(at(10_100), Versions::default(), |_| false);
        let is_far = |to: &SocketAddrV4| (30..40).any(|number| address(number) == *to);
        let finding = Finding {
            cookie,
            origin: exchange.origin(),
            found_at: at(10_100),
            reached: false,
        };
        let findings = exchange
            .report_findings(at(10_100), vec![finding])
            .into_iter();
        let sent = findings.filter(
            |effect| matches!(effect, ExchangeEffect::SendFindings { to, .. } if is_far(to)),
        );
        assert_eq!(sent.count(), 1, "seed {seed}");
        let requests = exchange.request_probes(&[cookie]);
        let [ExchangeEffect::SendProbeRequest { to, .. }] = &requests[..] else {
            panic!("{requests:?}");
        };
        assert!(is_far(to), "seed {seed}");
        let refutations = exchange
            .refute_suspicions(
                at(10_100),
                &[LifeSign {
                    cookie,
                    seen_at: at(10_000),
                }],
            )
            .into_iter();
        let sent = refutations.filter(
            |effect| matches!(effect, ExchangeEffect::SendRefutation { to, .. } if is_far(to)),
        );
        assert_eq!(sent.count(), 1, "seed {seed}");
    }
}

#[test]
fn snapshots_come_from_the_own_zone_first_and_from_others_if_it_fails() {
    let class = CapacityClass::SMALLEST;
    for seed in 0..20 {
        let peers = [(1, 7, class), (2, 0, class), (3, 8, class)];
        let sources = sources(seed, &peers);
        assert_eq!(sources.len(), 3);
        assert_eq!(sources[0], address(2));
    }
}

#[test]
fn snapshot_sources_are_chosen_in_proportion_to_capacity() {
    let large = CapacityClass::new(4);
    let peers = [
        (1, 0, CapacityClass::SMALLEST),
        (2, 0, large),
        (3, 0, CapacityClass::BUSY),
    ];
    let firsts = (0..1_000).map(|seed| sources(seed, &peers)[0]);
    let counts = firsts.fold([0; 4], |mut counts, from| {
        counts[(1..4).find(|number| address(*number) == from).unwrap()] += 1;
        counts
    });
    // Weights of 2, 16 and 1.
    assert!(
        counts[2] > counts[1] * 5 && counts[1] > counts[3],
        "{counts:?}"
    );
}

/// A table that is filled by the own zone must still contain some peers of each other zone.
#[test]
fn peers_of_other_zones_keep_their_entries_in_a_full_table() {
    let mut exchange = isolated_exchange(1);
    let own = Versions::default();
    let mut receive = |number: usize, zone: u16| {
        let heartbeat = heartbeat_of(zone, CapacityClass::SMALLEST, 0);
        let now = at(10_000 + number as u64);
        exchange.handle_heartbeat(now, address(number), &heartbeat, own, |_| false);
    };
    for number in 1..=40 {
        receive(number, 1 + number as u16 % 2);
    }
    for number in 41..2_000 {
        receive(number, 0);
    }
    let mut counts = [0; 3];
    for (_, peer) in exchange.peers() {
        counts[usize::from(peer.place.zone.0)] += 1;
    }
    assert_eq!(counts.iter().sum::<usize>(), 256);
    assert_eq!(counts[1..], [20, 20]);
}

#[test]
fn the_scarcest_resource_determines_the_capacity_class() {
    let machine = |cores, memory_mb, link_mbps| {
        let capacity = MachineCapacity {
            cores: Some(cores),
            memory_mb: Some(memory_mb),
            link_mbps: Some(link_mbps),
        };
        capacity.class()
    };
    let large = machine(0.5, 512.0, 200.0);
    let small = [
        machine(0.12, 160.0, 10.0),
        machine(0.084, 112.0, 10.0),
        machine(16.0, 16_000.0, 10.0),
    ];
    assert_eq!(small, [CapacityClass::SMALLEST; 3]);
    assert!(large > CapacityClass::SMALLEST && CapacityClass::SMALLEST > CapacityClass::BUSY);
    assert_eq!(machine(1e9, 1e9, 1e9), CapacityClass::LARGEST);
    let unknown = MachineCapacity {
        link_mbps: None,
        cores: Some(64.0),
        memory_mb: Some(64_000.0),
    };
    assert_eq!(unknown.class(), CapacityClass::SMALLEST);
}
