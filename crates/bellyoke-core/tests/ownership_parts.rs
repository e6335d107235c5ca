//! Separate tests of the parts of ownership: assignment, placement, limits and message sizes.

mod ownership_support;

use bellyoke_core::flow::{Escalation, EscalationKind, FlowPlace, OpenedFlow};
use bellyoke_core::generation::{Generation, Placement};
use bellyoke_core::identity::{BackendId, BucketIndex, GenerationNumber, NodeId, ServiceId};
use bellyoke_core::node::MAXIMUM_CONTROL_MESSAGE_BYTES;
use bellyoke_core::node::ownership::placement::{BackendSelection, Candidate, Hashed, LeastLoaded};
use bellyoke_core::node::ownership::{
    Ablation, Assignment, LoadReport, Ownership, OwnershipEffect, OwnershipMessage,
    OwnershipSettings, RelayedPacket,
};
use bellyoke_core::node::{AdoptionReport, EscalatedPacket, RefusalReason};
use bellyoke_core::packet::FlowHash;
use bellyoke_core::time::Timestamp;
use ownership_support::generations::{self, FIRST_HASHED, LEAST_LOADED};
use ownership_support::simulation::settings;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rkyv::util::AlignedVec;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

const FULL_BATCH_PINS: u32 = 64;

fn place(service: ServiceId, hash: u128, buckets: usize) -> FlowPlace {
    let hash = FlowHash(hash << 40);
    FlowPlace {
        service,
        bucket: BucketIndex(hash.bucket(buckets) as u32),
        hash,
    }
}

fn opening(place: FlowPlace) -> EscalatedPacket {
    EscalatedPacket {
        escalation: Escalation {
            place,
            kind: EscalationKind::Opening,
        },
        packet: vec![1; 40],
    }
}

fn encode(message: &OwnershipMessage) -> AlignedVec {
    rkyv::to_bytes::<rkyv::rancor::Error>(message).expect("encodes")
}

/// A network that delivers messages immediately, except to nodes that are down.
struct DirectNetwork {
    now: u64,
    nodes: BTreeMap<NodeId, Ownership>,
    down_nodes: Vec<NodeId>,
    sent: Vec<(NodeId, OwnershipMessage)>,
    effects: Vec<(NodeId, OwnershipEffect)>,
}

impl DirectNetwork {
    fn new(members: u64, settings: OwnershipSettings) -> Self {
        let ids = (1..=members).map(NodeId);
        let nodes = ids.map(|id| (id, Ownership::new(id, settings)));
        Self {
            now: 0,
            nodes: nodes.collect(),
            down_nodes: Vec::new(),
            sent: Vec::new(),
            effects: Vec::new(),
        }
    }

    fn at(
        &mut self,
        node: NodeId,
        input: impl FnOnce(&mut Ownership, Timestamp) -> Vec<OwnershipEffect>,
    ) {
        let now = Timestamp::from_micros(self.now);
        let owner = self.nodes.get_mut(&node).expect("a known node");
        let mut arriving = VecDeque::new();
        let effects = input(owner, now);
        self.take_effects(node, effects, &mut arriving);
        while let Some((from, to, message)) = arriving.pop_front() {
            let Some(owner) = self
                .nodes
                .get_mut(&to)
                .filter(|_| !self.down_nodes.contains(&to))
            else {
                continue;
            };
            let effects = owner.handle(now, from, message);
            self.take_effects(to, effects, &mut arriving);
        }
    }

    fn take_effects(
        &mut self,
        node: NodeId,
        effects: Vec<OwnershipEffect>,
        arriving: &mut VecDeque<(NodeId, NodeId, OwnershipMessage)>,
    ) {
        for effect in effects {
            match effect {
                OwnershipEffect::Send { to, message } => {
                    self.sent.push((to, message.clone()));
                    arriving.push_back((node, to, message));
                }
                other => self.effects.push((node, other)),
            }
        }
    }

    fn run(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds {
            self.now += 1000;
            for node in self.nodes.keys().copied().collect::<Vec<_>>() {
                let due = self.nodes[&node].next_timeout();
                let is_due = due.is_some_and(|due| due <= Timestamp::from_micros(self.now));
                if is_due && !self.down_nodes.contains(&node) {
                    self.at(node, |owner, now| owner.timeout(now));
                }
            }
        }
    }

    fn adopt(&mut self, generation: &Arc<Generation>) {
        for node in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.at(node, |owner, now| owner.apply_generation(now, generation));
            let report = AdoptionReport {
                generation: generation.number,
                opened: Vec::new(),
            };
            self.at(node, |owner, now| owner.handle_adoption(now, report));
        }
        self.run(400);
    }

    fn barrier(&mut self, number: u64) {
        for node in self.nodes.keys().copied().collect::<Vec<_>>() {
            let number = GenerationNumber(number);
            self.at(node, |owner, now| owner.barrier_passed(now, number));
        }
    }

    fn owner_of(&self, place: FlowPlace, generation: &Generation) -> NodeId {
        let group = Assignment::new(generation).group(place.service, place.bucket);
        let serving = |(_, owner): &(&NodeId, &Ownership)| owner.is_serving(group);
        *self.nodes.iter().find(serving).expect("an owner").0
    }

    fn forwards(&self) -> Vec<BackendId> {
        let backend = |(_, effect): &(NodeId, OwnershipEffect)| match effect {
            OwnershipEffect::Forward { backend, .. } => Some(*backend),
            _ => None,
        };
        self.effects.iter().filter_map(backend).collect()
    }
}

fn first(members: u64) -> Arc<Generation> {
    Arc::new(generations::first(1..=members))
}

/// Creates three nodes with a generation in which the first bucket of the first service has moved
/// from backend 0 to 1.
fn contested_network() -> (DirectNetwork, Arc<Generation>) {
    let generation = first(3);
    let mut network = DirectNetwork::new(3, settings(Ablation::None));
    network.adopt(&generation);
    let mut next = generations::next(&generation);
    generations::retarget(&mut next, FIRST_HASHED, 0, Some(BackendId(1)));
    let next = Arc::new(next);
    network.adopt(&next);
    (network, next)
}

#[test]
fn replicas_are_in_different_zones_and_a_new_member_moves_no_other_owner() {
    let before = generations::first(1..=9);
    let mut after = before.clone();
    after.members.push(generations::member(10));
    let (before, after) = (Assignment::new(&before), Assignment::new(&after));
    let mut moved_owners = 0;
    for group in before.groups() {
        let replicas = &before.configuration(group).expect("a group").replicas;
        let mut zones: Vec<u64> = replicas.iter().map(|node| node.0 % 3).collect();
        zones.sort_unstable();
        assert_eq!(zones, [0, 1, 2]);
        let now = &after.configuration(group).expect("a group").replicas;
        moved_owners += usize::from(replicas[0] != now[0] && now[0] != NodeId(10));
    }
    assert_eq!(moved_owners, 0, "an owner changed unnecessarily");
}

#[test]
fn a_least_loaded_service_has_one_group() {
    let generation = generations::first(1..=3);
    let assignment = Assignment::new(&generation);
    let group = |service, bucket| assignment.group(service, BucketIndex(bucket));
    assert_eq!(group(LEAST_LOADED, 0), group(LEAST_LOADED, 1));
    assert_eq!(generation.services[2].placement, Placement::LeastLoaded);
    let groups: std::collections::BTreeSet<_> =
        (0..64).map(|bucket| group(FIRST_HASHED, bucket)).collect();
    assert_eq!(groups.len(), usize::from(generations::GROUP_COUNT));
}

#[test]
fn a_node_without_opened_flows_acknowledges_immediately() {
    let (network, _) = contested_network();
    let acknowledged = |(_, effect): &&(NodeId, OwnershipEffect)| {
        *effect == OwnershipEffect::Acknowledge(GenerationNumber(2))
    };
    assert_eq!(network.effects.iter().filter(acknowledged).count(), 3);
}

/// Returns a first generation without the service that is always contested.
fn clean_generation(members: u64) -> Generation {
    let mut generation = generations::first(1..=members);
    generation.services.truncate(2);
    generation
}

#[test]
fn groups_without_contested_buckets_send_no_messages() {
    let generation = Arc::new(clean_generation(3));
    let mut network = DirectNetwork::new(3, settings(Ablation::None));
    network.adopt(&generation);
    network.barrier(1);
    network.run(5000);
    assert_eq!(network.sent, []);
    let mut next = generations::next(&generation);
    generations::retarget(&mut next, FIRST_HASHED, 0, Some(BackendId(1)));
    let next = Arc::new(next);
    network.adopt(&next);
    network.barrier(2);
    let installed = network.nodes.values().map(|node| node.counters().installed);
    assert_eq!(installed.sum::<u64>(), 1, "one group has contested buckets");
    network.run(1000);
    network.sent.clear();
    network.run(5000);
    assert_eq!(network.sent, []);
}

/// If the owner dropped lists that arrive before it serves the group, the barrier would wait for
/// the sender's next retry.
#[test]
fn an_early_handover_list_is_confirmed_without_a_retry() {
    let generation = Arc::new(clean_generation(3));
    let settings = OwnershipSettings::default();
    let mut network = DirectNetwork::new(3, settings);
    network.adopt(&generation);
    network.barrier(1);
    let mut next = generations::next(&generation);
    generations::retarget(&mut next, FIRST_HASHED, 0, Some(BackendId(1)));
    let next = Arc::new(next);
    // The first node switches before the owner has the generation, the others afterwards.
    for node in [1, 2, 3].map(NodeId) {
        let opened = OpenedFlow {
            place: place(FIRST_HASHED, u128::from(node.0), 4),
            backend: BackendId(0),
        };
        let report = AdoptionReport {
            generation: GenerationNumber(2),
            opened: vec![opened],
        };
        network.at(node, |owner, now| owner.apply_generation(now, &next));
        network.at(node, |owner, now| owner.handle_adoption(now, report));
    }
    let before_retry_ms = settings.retry_interval.as_millis() as u64 / 4;
    network.run(before_retry_ms);
    let acknowledged = |(_, effect): &&(NodeId, OwnershipEffect)| {
        *effect == OwnershipEffect::Acknowledge(GenerationNumber(2))
    };
    assert_eq!(network.effects.iter().filter(acknowledged).count(), 3);
}

#[test]
fn claims_to_many_groups_are_packed_into_few_datagrams() {
    let mut generation = clean_generation(3);
    generation.parameters.groups = 64;
    generation.services = vec![generations::service(FIRST_HASHED, Placement::Hashed, 1024)];
    let mut network = DirectNetwork::new(3, OwnershipSettings::default());
    network.adopt(&Arc::new(generation.clone()));
    let mut next = generations::next(&generation);
    for bucket in 0..1024 {
        let target = Some(BackendId(bucket as u32 % 2 + 2));
        generations::retarget(&mut next, FIRST_HASHED, bucket, target);
    }
    network.adopt(&Arc::new(next));
    let installed = network.nodes.values().map(|node| node.counters().installed);
    assert_eq!(installed.sum::<u64>(), 64);
    let sizes = network
        .sent
        .iter()
        .map(|(_, message)| encode(message).len());
    let sizes: Vec<usize> = sizes.collect();
    println!(
        "{} messages, {} bytes",
        sizes.len(),
        sizes.iter().sum::<usize>()
    );
    assert!(
        sizes
            .iter()
            .all(|size| *size <= MAXIMUM_CONTROL_MESSAGE_BYTES)
    );
    assert!(sizes.len() <= 64);
}

#[test]
fn unused_groups_move_to_their_new_replicas_after_the_barrier() {
    let generation = Arc::new(clean_generation(4));
    let mut network = DirectNetwork::new(4, settings(Ablation::None));
    network.adopt(&generation);
    let mut next = generations::next(&generation);
    next.members.pop();
    let next = Arc::new(next);
    network.adopt(&next);
    assert_eq!(network.sent, []);
    assert!(!network.nodes[&NodeId(4)].is_drained());
    network.barrier(2);
    network.run(5000);
    assert!(network.nodes[&NodeId(4)].is_drained());
    network.sent.clear();
    network.run(5000);
    assert_eq!(network.sent, []);
}

/// After an earlier acknowledgement, a bucket could become contested while the network still
/// contains copies of the member's opening packets, and these flows would be placed again.
#[test]
fn a_member_acknowledges_its_removal_after_the_delay_horizon() {
    let settings = settings(Ablation::None);
    let generation = Arc::new(clean_generation(4));
    let mut network = DirectNetwork::new(4, settings);
    network.adopt(&generation);
    network.effects.clear();
    let mut next = generations::next(&generation);
    next.members.pop();
    network.adopt(&Arc::new(next));
    let expected = OwnershipEffect::Acknowledge(GenerationNumber(2));
    let others = [1, 2, 3].map(|node| (NodeId(node), expected.clone()));
    assert_eq!(network.effects, others);
    network.effects.clear();
    let horizon = settings.delay_horizon.as_millis() as u64;
    network.run(horizon - 401);
    assert_eq!(network.effects, []);
    network.run(401);
    assert_eq!(network.effects, [(NodeId(4), expected)]);
}

#[test]
fn a_handover_is_acknowledged_only_after_a_majority_stores_it() {
    let (mut network, generation) = contested_network();
    let place = place(FIRST_HASHED, 7, 4);
    let owner = network.owner_of(place, &generation);
    network.down_nodes = network
        .nodes
        .keys()
        .copied()
        .filter(|node| *node != owner)
        .collect();
    network.effects.clear();
    let opened = vec![OpenedFlow {
        place,
        backend: BackendId(0),
    }];
    let report = AdoptionReport {
        generation: GenerationNumber(3),
        opened,
    };
    let next = Arc::new(generations::next(&generation));
    network.at(owner, |owner, now| owner.apply_generation(now, &next));
    network.at(owner, |owner, now| owner.handle_adoption(now, report));
    network.run(1000);
    assert_eq!(network.effects, []);
    network.down_nodes.clear();
    network.run(1000);
    let expected = OwnershipEffect::Acknowledge(GenerationNumber(3));
    assert_eq!(network.effects, [(owner, expected)]);
}

#[test]
fn flows_open_on_the_base_before_the_barrier_and_on_the_target_after_it() {
    let (mut network, generation) = contested_network();
    let owner = network.owner_of(place(FIRST_HASHED, 1, 4), &generation);
    network.at(owner, |owner, now| {
        owner.handle_escalation(now, opening(place(FIRST_HASHED, 1, 4)))
    });
    network.run(10);
    network.barrier(2);
    for hash in [1, 2] {
        network.at(owner, |owner, now| {
            owner.handle_escalation(now, opening(place(FIRST_HASHED, hash, 4)))
        });
    }
    network.run(10);
    let mut forwards = network.forwards();
    forwards.sort_unstable();
    assert_eq!(forwards, [BackendId(0), BackendId(0), BackendId(1)]);
}

#[test]
fn no_packet_is_forwarded_before_a_majority_stores_its_pin() {
    let (mut network, generation) = contested_network();
    network.barrier(2);
    let place = place(FIRST_HASHED, 1, 4);
    let owner = network.owner_of(place, &generation);
    network.down_nodes = network
        .nodes
        .keys()
        .copied()
        .filter(|node| *node != owner)
        .collect();
    network.at(owner, |owner, now| {
        owner.handle_escalation(now, opening(place))
    });
    network.run(1000);
    assert_eq!(network.forwards(), []);
    assert_eq!(network.nodes[&owner].counters().dropped.expired, 1);
    network.down_nodes.clear();
    network.run(1000);
    network.at(owner, |owner, now| {
        owner.handle_escalation(now, opening(place))
    });
    network.run(10);
    assert_eq!(network.forwards(), [BackendId(1)]);
}

#[test]
fn a_takeover_keeps_pins() {
    let (mut network, generation) = contested_network();
    network.barrier(2);
    let place = place(FIRST_HASHED, 1, 4);
    let owner = network.owner_of(place, &generation);
    network.at(owner, |owner, now| {
        owner.handle_escalation(now, opening(place))
    });
    network.run(50);
    network.down_nodes = vec![owner];
    let failed = owner;
    for node in network
        .nodes
        .keys()
        .copied()
        .filter(|node| *node != failed)
        .collect::<Vec<_>>()
    {
        network.at(node, |owner, now| owner.member_failed(now, failed));
    }
    network.nodes.remove(&failed);
    network.run(300);
    let next = network.owner_of(place, &generation);
    let mut packet = opening(place);
    packet.escalation.kind = EscalationKind::Other;
    network.at(next, |owner, now| owner.handle_escalation(now, packet));
    network.run(10);
    assert_eq!(network.forwards(), [BackendId(1), BackendId(1)]);
}

#[test]
fn a_packet_relayed_by_a_nonmember_is_dropped() {
    let (mut network, generation) = contested_network();
    let place = place(FIRST_HASHED, 1, 4);
    let owner = network.owner_of(place, &generation);
    let relayed = RelayedPacket {
        origin: NodeId(99),
        generation: generation.number,
        hops: 1,
        escalation: opening(place).escalation,
        packet: vec![1],
    };
    let message = OwnershipMessage::Relay(Box::new(relayed));
    network.at(owner, |owner, now| owner.handle(now, NodeId(99), message));
    network.run(10);
    assert_eq!(network.forwards(), []);
    assert_eq!(network.nodes[&owner].counters().dropped.not_a_member, 1);
}

#[test]
fn queued_packets_are_bounded_and_opening_packets_are_not_queued() {
    let settings = OwnershipSettings {
        max_queued_packets: 2,
        ..settings(Ablation::None)
    };
    let generation = first(1);
    let mut next = generations::next(&generation);
    next.members.clear();
    let mut node = Ownership::new(NodeId(1), settings);
    node.apply_generation(Timestamp::ZERO, &Arc::new(next));
    for hash in 0..4 {
        let mut packet = opening(place(LEAST_LOADED, hash, 2));
        packet.escalation.kind = EscalationKind::Other;
        node.handle_escalation(Timestamp::ZERO, packet);
    }
    node.handle_escalation(Timestamp::ZERO, opening(place(LEAST_LOADED, 9, 2)));
    let dropped = node.counters().dropped;
    assert_eq!((dropped.queue_full, dropped.opening_without_owner), (2, 1));
}

/// The barrier doesn't wait for packets that were queued for longer than the delay horizon, as they
/// can be while the process is paused.
#[test]
fn a_packet_after_a_pause_is_dropped() {
    let (mut network, generation) = contested_network();
    let place = place(FIRST_HASHED, 1, 4);
    let owner = network.owner_of(place, &generation);
    network.now += 10_000_000;
    network.at(owner, |owner, now| {
        owner.handle_escalation(now, opening(place))
    });
    assert_eq!(network.nodes[&owner].counters().dropped.stale, 1);
    network.run(200);
    assert_eq!(network.forwards(), []);
    network.at(owner, |owner, now| {
        owner.handle_escalation(now, opening(place))
    });
    network.run(10);
    assert_eq!(network.forwards(), [BackendId(0)]);
}

#[test]
fn pins_are_bounded() {
    let settings = OwnershipSettings {
        max_pins: 3,
        ..settings(Ablation::None)
    };
    let mut network = DirectNetwork::new(1, settings);
    network.adopt(&first(1));
    for hash in 0..5 {
        let packet = opening(place(LEAST_LOADED, hash, 2));
        network.at(NodeId(1), |owner, now| owner.handle_escalation(now, packet));
    }
    network.run(10);
    assert_eq!(network.forwards().len(), 3);
    assert_eq!(network.nodes[&NodeId(1)].counters().dropped.pins_full, 2);
}

#[test]
fn new_flows_are_spread_and_ended_flows_are_not_counted() {
    let mut network = DirectNetwork::new(1, settings(Ablation::None));
    network.adopt(&first(1));
    let node = NodeId(1);
    for hash in 0..4 {
        let packet = opening(place(LEAST_LOADED, hash, 2));
        network.at(node, |owner, now| owner.handle_escalation(now, packet));
        network.run(5);
    }
    let forwards = network.forwards();
    let on_first = forwards.iter().filter(|backend| **backend == forwards[0]);
    assert_eq!(on_first.count(), 2);
    let ended: Vec<u128> = (0..4)
        .filter(|hash| forwards[*hash as usize] == forwards[0])
        .collect();
    for hash in ended {
        network.at(node, |owner, now| {
            owner.flow_ended(now, place(LEAST_LOADED, hash, 2))
        });
    }
    for hash in 4..6 {
        let packet = opening(place(LEAST_LOADED, hash, 2));
        network.at(node, |owner, now| owner.handle_escalation(now, packet));
        network.run(5);
    }
    assert_eq!(network.forwards()[4..], [forwards[0], forwards[0]]);
}

#[test]
fn a_flow_refused_without_a_backend_stays_refused() {
    let (mut network, generation) = contested_network();
    let mut next = generations::next(&generation);
    generations::retarget(&mut next, FIRST_HASHED, 0, None);
    network.adopt(&Arc::new(next.clone()));
    network.barrier(3);
    let place = place(FIRST_HASHED, 1, 4);
    let owner = network.owner_of(place, &next);
    network.at(owner, |owner, now| {
        owner.handle_escalation(now, opening(place))
    });
    network.run(10);
    let mut with_target = generations::next(&next);
    generations::retarget(&mut with_target, FIRST_HASHED, 0, Some(BackendId(2)));
    network.adopt(&Arc::new(with_target));
    network.barrier(4);
    network.at(owner, |owner, now| {
        owner.handle_escalation(now, opening(place))
    });
    network.run(10);
    let refused = |(_, effect): &&(NodeId, OwnershipEffect)| {
        matches!(
            effect,
            OwnershipEffect::Refuse {
                reason: RefusalReason::NoBackend,
                ..
            }
        )
    };
    assert_eq!(network.effects.iter().filter(refused).count(), 2);
    assert_eq!(network.forwards(), []);
}

#[test]
fn a_lagging_replica_receives_a_new_copy() {
    let settings = OwnershipSettings {
        max_unacknowledged_batches: 4,
        ..settings(Ablation::None)
    };
    let generation = first(3);
    let mut network = DirectNetwork::new(3, settings);
    network.adopt(&generation);
    let at = |hash| place(LEAST_LOADED, hash, 2);
    let owner = network.owner_of(at(0), &generation);
    let slow = *network
        .nodes
        .keys()
        .find(|node| **node != owner)
        .expect("another node");
    network.down_nodes = vec![slow];
    for hash in 0..20 {
        network.at(owner, |owner, now| {
            owner.handle_escalation(now, opening(at(hash)))
        });
        network.run(10);
    }
    assert_eq!(network.forwards().len(), 20);
    network.down_nodes.clear();
    network.sent.clear();
    network.run(12_000);
    let is_complete_copy = |(to, message): &&(NodeId, OwnershipMessage)| match message {
        OwnershipMessage::Replicate(batches) => {
            *to == slow && batches.iter().any(|batch| batch.installation.is_some())
        }
        _ => false,
    };
    assert!(network.sent.iter().filter(is_complete_copy).count() > 0);
    assert_eq!(network.nodes[&owner].owned_pins(), 20);
}

#[test]
fn least_loaded_weighs_open_flows_and_breaks_ties_by_reported_load() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut select = |candidates: &[Candidate]| {
        let random = &mut random;
        LeastLoaded { random }.select(candidates)
    };
    let candidate = |backend, weight, open_flows, busy| Candidate {
        backend: BackendId(backend),
        weight,
        open_flows,
        load: Some(LoadReport { busy, slots: 10 }),
    };
    let weighted = [candidate(0, 1, 1, 0), candidate(1, 4, 3, 0)];
    assert_eq!(select(&weighted), Some(BackendId(1)));
    let false_report = [candidate(0, 1, 5, 0), candidate(1, 1, 4, 9)];
    assert_eq!(select(&false_report), Some(BackendId(1)));
    let tied = [candidate(0, 1, 2, 9), candidate(1, 1, 2, 1)];
    let chosen: Vec<_> = (0..100).filter_map(|_| select(&tied)).collect();
    let less_loaded = chosen.iter().filter(|backend| backend.0 == 1).count();
    assert!(
        less_loaded > 60,
        "only {less_loaded} of 100 flows went to the less loaded backend"
    );
    assert_eq!(select(&[]), None);
    let target = Some(BackendId(0));
    assert_eq!(Hashed { target }.select(&tied), target);
    assert_eq!(Hashed { target }.select(&tied[1..]), None);
}

#[test]
fn pins_need_few_bytes_and_messages_round_trip() {
    let default_settings = OwnershipSettings::default();
    for count in [1, 8, FULL_BATCH_PINS] {
        let generation = first(3);
        let mut network = DirectNetwork::new(3, default_settings);
        network.adopt(&generation);
        network.sent.clear();
        let owner = network.owner_of(place(LEAST_LOADED, 0, 2), &generation);
        for hash in 0..count {
            let hash = u128::from(hash);
            network.at(owner, |owner, now| {
                owner.handle_escalation(now, opening(place(LEAST_LOADED, hash, 2)))
            });
        }
        network.run(5);
        let mut bytes = 0;
        let mut pins = 0;
        for (_, message) in &network.sent {
            let encoded = encode(message);
            let decoded = rkyv::from_bytes::<OwnershipMessage, rkyv::rancor::Error>(&encoded);
            assert_eq!(&decoded.expect("decodes"), message);
            if let OwnershipMessage::Replicate(batches) = message {
                bytes += encoded.len();
                let runs = batches.iter().flat_map(|batch| &batch.runs);
                pins += runs.map(|run| run.pins.len()).sum::<usize>();
            }
        }
        assert_eq!(pins as u32, 2 * count, "one copy to each other replica");
        println!(
            "{count} pins per batch: {} bytes per pin and replica",
            bytes / pins
        );
        assert!(count < FULL_BATCH_PINS || bytes / pins <= 24);
    }
}
