//! What probes establish, and which flows are ended for it.

use crate::support::{TOMBSTONE_LIFETIME, at, configuration, later, node, opening, record};
use bellyoke_core::cookie::capacity::{NodePlace, ZoneKey};
use bellyoke_core::cookie::coordinator::Coordinator;
use bellyoke_core::cookie::exchange::{
    Exchange, ExchangeEffect, ExchangeSettings, Heartbeat, PeerDatagram, ProbeRequest,
};
use bellyoke_core::cookie::follower::Update;
use bellyoke_core::cookie::forwarder::{Decision, Forwarder, ResetReason};
use bellyoke_core::cookie::health::HealthSettings;
use bellyoke_core::cookie::instance::{Cookie, InstanceEvent, InstanceId, InstanceRecord};
use bellyoke_core::cookie::packet::FlowPacket;
use bellyoke_core::cookie::reachability::{
    ATTEMPTS, Doubter, Origin, ProbeBatch, ProbeOutcome, ReachabilityMonitor, RecordState,
    VERDICT_LIFETIME,
};
use bellyoke_core::cookie::replica::{Replica, Versions};
use bellyoke_core::cookie::revision::Revision;
use bellyoke_core::cookie::table::ForwardingTable;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

fn cookie(id: u64) -> Cookie {
    Cookie::of(InstanceId(id))
}

fn address(id: u64) -> SocketAddrV4 {
    record(id, 1).address
}

fn origin() -> Origin {
    Origin {
        node: SocketAddrV4::new([10, 1, 0, 1].into(), 7_000),
        zone: ZoneKey(0),
    }
}

/// A probe of instance 1 beside 2 and 3, of which these connections open in each attempt.
fn probe(opened: [&[u64]; ATTEMPTS]) -> ProbeOutcome {
    let suspects = vec![(cookie(1), address(1))];
    let mut batch = ProbeBatch::new(suspects, vec![address(2), address(3)]);
    for opened in opened {
        if !batch.is_over() {
            batch.attempted(&opened.iter().map(|id| address(*id)).collect());
        }
    }
    assert!(batch.is_over());
    batch.outcomes()[0].1
}

#[test]
fn an_instance_is_unreachable_if_only_it_can_not_be_reached() {
    assert_eq!(probe([&[2, 3]; 3]), ProbeOutcome::Unreachable);
    assert_eq!(probe([&[2, 3], &[2, 3], &[1, 2, 3]]), ProbeOutcome::Reached);
    // This node's own link may be at fault if a control fails, be it once.
    assert_eq!(probe([&[2, 3], &[2], &[2, 3]]), ProbeOutcome::Inconclusive);
    assert_eq!(probe([&[], &[], &[]]), ProbeOutcome::Inconclusive);
}

#[test]
fn without_controls_nothing_is_established() {
    let batch = ProbeBatch::new(vec![(cookie(1), address(1))], Vec::new());
    assert!(batch.is_over());
    assert_eq!(batch.outcomes(), [(cookie(1), ProbeOutcome::Inconclusive)]);
}

fn established(now: u64) -> ReachabilityMonitor {
    let mut monitor = ReachabilityMonitor::new(origin());
    assert!(monitor.question(at(now), cookie(1), Doubter::Node));
    assert!(
        !monitor.question(at(now), cookie(1), Doubter::Peer),
        "asked already"
    );
    assert_eq!(monitor.questioned(Doubter::Node), [cookie(1)]);
    let change = monitor.probed(at(now), cookie(1), ProbeOutcome::Unreachable);
    assert!(change.unwrap().unreachable);
    monitor
}

#[test]
fn a_verdict_ends_unless_it_is_renewed() {
    let mut monitor = established(1_000);
    let ends = 1_000 + u64::try_from(VERDICT_LIFETIME.as_millis()).unwrap();
    assert!(!monitor.unreachable(at(ends - 1)).is_empty());
    assert!(monitor.unreachable(at(ends)).is_empty());
    assert_eq!(monitor.due_again(at(2_900)), []);
    assert_eq!(monitor.due_again(at(3_000)), [cookie(1)]);
    monitor.probed(at(3_000), cookie(1), ProbeOutcome::Unreachable);
    assert!(!monitor.unreachable(at(ends)).is_empty());
    assert_eq!(monitor.due_again(at(5_000)), [cookie(1)]);
    let change = monitor.probed(at(5_000), cookie(1), ProbeOutcome::Reached);
    assert!(!change.unwrap().unreachable);
}

/// A dead instance is probed a few times, not for as long as it is remembered.
#[test]
fn an_instance_whose_record_went_while_it_was_unreachable_has_ended() {
    let mut monitor = established(1_000);
    monitor.note_records(at(2_000), |_| Some(RecordState::Gone));
    assert_eq!(monitor.due_again(at(60_000)), []);
    assert!(!monitor.unreachable(at(60_000)).is_empty());
    // The record comes back: it lives, as after an outage of the store.
    monitor.note_records(at(60_001), |_| Some(RecordState::Present));
    assert!(monitor.unreachable(at(60_001)).is_empty());
}

#[test]
fn a_node_that_stood_still_holds_nobody_unreachable() {
    let mut monitor = established(1_000);
    monitor.stalled();
    assert!(monitor.unreachable(at(1_001)).is_empty());
}

#[test]
fn a_probe_that_finds_nothing_out_is_made_again_a_few_times() {
    let mut monitor = ReachabilityMonitor::new(origin());
    monitor.question(at(1_000), cookie(1), Doubter::Node);
    let mut probes = 0;
    while !monitor.questioned(Doubter::Node).is_empty() {
        monitor.probed(at(1_000), cookie(1), ProbeOutcome::Inconclusive);
        probes += 1;
    }
    assert_eq!(probes, 5);
    assert!(monitor.unreachable(at(1_000)).is_empty());
}

/// A forwarder whose flow 1 is open at instance 1, which can't be reached.
fn forwarder(table: &ForwardingTable) -> Forwarder {
    let mut forwarder = Forwarder::new(HealthSettings::default());
    forwarder.decide(at(1_000), table, &data(1, 100, 7), false);
    let unreachable = BTreeSet::from([cookie(1)]);
    forwarder.set_unreachable(&unreachable, &unreachable);
    forwarder
}

fn data(flow: u32, sequence: u32, acknowledged: u32) -> FlowPacket {
    FlowPacket {
        data_sequence: Some(sequence),
        acknowledged,
        ..later(flow, cookie(1))
    }
}

fn is_reset(decision: Decision) -> bool {
    decision == Decision::Reset(ResetReason::Unreachable)
}

#[test]
fn a_flow_whose_client_repeats_itself_to_an_unreachable_instance_is_ended() {
    let table = node(vec![record(1, 1), record(2, 2)]).table();
    let mut forwarder = forwarder(&table);
    let mut decide = |now, packet| forwarder.decide(at(now), &table, &packet, false);
    assert!(!is_reset(decide(5_000, data(1, 200, 7))), "sent once");
    assert!(
        !is_reset(decide(5_020, data(1, 200, 7))),
        "the network's copy"
    );
    assert!(is_reset(decide(5_200, data(1, 200, 7))));
    assert!(
        is_reset(decide(5_600, data(1, 200, 7))),
        "the reset was lost"
    );
    assert!(!is_reset(decide(5_700, later(1, cookie(1)))), "no data");
}

#[test]
fn a_repeat_is_known_from_before_the_verdict() {
    let table = node(vec![record(1, 1), record(2, 2)]).table();
    let mut forwarder = forwarder(&table);
    assert!(is_reset(forwarder.decide(
        at(1_600),
        &table,
        &data(1, 100, 7),
        false
    )));
}

#[test]
fn no_flow_of_an_instance_that_showed_life_is_ended() {
    let table = node(vec![record(1, 1), record(2, 2)]).table();
    let mut forwarder = forwarder(&table);
    forwarder.decide(at(4_000), &table, &data(2, 300, 50), false);
    // The client of another flow acknowledges something new: the instance has answered.
    forwarder.decide(at(4_900), &table, &data(2, 350, 90), false);
    forwarder.decide(at(5_000), &table, &data(1, 200, 7), false);
    for now in [5_200, 5_600, 9_000] {
        let decision = forwarder.decide(at(now), &table, &data(1, 200, 7), false);
        assert!(!is_reset(decision), "at {now}");
    }
}

#[test]
fn openings_avoid_an_unreachable_instance() {
    let table = node(vec![record(1, 1), record(2, 2)]).table();
    let mut forwarder = forwarder(&table);
    for number in 10..200 {
        let decision = forwarder.decide(at(5_000), &table, &opening(number, 0), false);
        let Decision::Place { destination, .. } = decision else {
            panic!("{decision:?}");
        };
        assert_eq!(destination.instance, InstanceId(2));
    }
}

/// What takes connections there may be another instance, which takes none of the first one's flows.
#[test]
fn openings_avoid_an_instance_that_was_unreachable_until_it_shows_life() {
    let mut monitor = established(1_000);
    monitor.question(at(3_500), cookie(1), Doubter::Node);
    monitor.probed(at(3_500), cookie(1), ProbeOutcome::Reached);
    assert!(
        monitor.unreachable(at(3_500)).is_empty(),
        "no flow is ended"
    );
    assert!(monitor.avoided(at(13_499)).contains(&cookie(1)));
    assert!(monitor.avoided(at(13_500)).is_empty());

    let table = node(vec![record(1, 1), record(2, 2)]).table();
    let mut forwarder = forwarder(&table);
    let avoided = monitor.avoided(at(3_500));
    forwarder.set_unreachable(&BTreeSet::new(), &avoided);
    let mut placed_at_1 = |now: u64| {
        let mut decisions = (0..50)
            .map(|number| number + u32::try_from(now).unwrap())
            .map(|number| forwarder.decide(at(now), &table, &opening(number, 0), false));
        let placed = decisions.any(|decision| {
            matches!(decision, Decision::Place { destination, .. } if destination.instance == InstanceId(1))
        });
        // The client of a flow at 1 acknowledges something new.
        let number = u32::try_from(now).unwrap();
        forwarder.decide(at(now), &table, &data(60_000, number, number), false);
        placed
    };
    assert!(!placed_at_1(4_000));
    assert!(!placed_at_1(4_060), "the flow's first packet tells nothing");
    assert!(placed_at_1(4_120));
}

/// A node that knows eight instances and one peer.
fn coordinator() -> Coordinator {
    let own = SocketAddrV4::new([10, 1, 0, 1].into(), 7_000);
    let exchange = Exchange::new(ExchangeSettings::default(), own, Vec::new(), 1);
    let mut replica = Replica::new(TOMBSTONE_LIFETIME);
    replica.adopt_configuration(configuration(1, &[("till", 1)]));
    let records: Vec<InstanceRecord> = (1..=8).map(|id| record(id, id)).collect();
    replica.replace_instances(at(0), Revision::new(10), records);
    let mut coordinator = Coordinator::new(replica, exchange);
    let heartbeat = Heartbeat {
        versions: Versions::default(),
        leaving: false,
        peers_up_to_date: false,
        confirmed_age_milliseconds: None,
        confirmed_by_newest_read: false,
        place: NodePlace::default(),
        claims: Vec::new(),
        peers: Vec::new(),
        zones: Vec::new(),
        failing: Vec::new(),
    };
    coordinator.datagram(at(10), peer(), PeerDatagram::Heartbeat(heartbeat));
    coordinator
}

fn peer() -> SocketAddrV4 {
    SocketAddrV4::new([10, 1, 0, 2].into(), 7_000)
}

fn questions(effects: &[ExchangeEffect]) -> Vec<Vec<u32>> {
    let questions = effects.iter().filter_map(|effect| match effect {
        ExchangeEffect::SendProbeRequest { request, .. } => Some(request.cookies.clone()),
        _ => None,
    });
    questions.collect()
}

/// The instances that each report of findings tells of.
fn told(effects: &[ExchangeEffect]) -> Vec<Vec<u32>> {
    let reports = effects.iter().filter_map(|effect| match effect {
        ExchangeEffect::SendFindings { report, .. } => {
            let cookies = report.findings.iter().map(|finding| finding.cookie);
            Some(cookies.collect())
        }
        _ => None,
    });
    reports.collect()
}

#[test]
fn a_verdict_is_told_to_peers_and_one_is_asked_to_confirm_it() {
    let mut node = coordinator();
    node.doubt(at(100), &[cookie(1)]);
    let batch = node.next_probe(at(100), &[cookie(5), cookie(6)]).unwrap();
    let addresses: BTreeSet<SocketAddrV4> = batch.next_addresses().into_iter().collect();
    let expected = [1, 5, 6].map(address);
    assert_eq!(
        addresses,
        BTreeSet::from(expected),
        "sound ones as controls"
    );
    assert_eq!(node.next_probe(at(100), &[]), None, "it is under way");
    let (changes, effects) = node.probed(at(400), &[(cookie(1), ProbeOutcome::Unreachable)]);
    assert_eq!(changes.len(), 1);
    assert_eq!(questions(&effects), [vec![cookie(1).bits()]]);
    assert_eq!(told(&effects), [vec![cookie(1).bits()]]);

    let mut other = coordinator();
    let question = ProbeRequest {
        cookies: vec![cookie(1).bits(), cookie(77).bits()],
    };
    let ask = PeerDatagram::ProbeRequest(question);
    let effects = other.datagram(at(500), peer(), ask).effects;
    assert_eq!(effects, [], "only the one that was asked probes it");
    // It finds out for itself: a peer's word alone ends no flow.
    assert!(other.unreachable(at(501)).is_empty());
    let batch = other.next_probe(at(501), &[]).unwrap();
    assert_eq!(batch.outcomes().len(), 1, "77 is not known");
}

#[test]
fn controls_are_others_than_the_instances_in_question() {
    let mut node = coordinator();
    let doubted: Vec<Cookie> = (1..=6).map(cookie).collect();
    node.doubt(at(100), &doubted);
    let batch = node.next_probe(at(100), &[cookie(2), cookie(3)]).unwrap();
    let addresses: BTreeSet<SocketAddrV4> = batch.next_addresses().into_iter().collect();
    assert_eq!(addresses, (1..=8).map(address).collect());
    let outcomes = batch.outcomes();
    assert_eq!(outcomes.len(), 6, "7 and 8 are the controls");
}

/// Instance 9, created later than instance 1, comes to its address.
fn address_passes_on(node: &mut Coordinator, now: u64) {
    let successor = InstanceRecord {
        address: address(1),
        ..record(9, 20)
    };
    let update = Update::Changes {
        at: Revision::new(20),
        events: vec![InstanceEvent::Put(successor)],
    };
    node.instances(at(now), update);
}

/// What takes connections at the address is the later instance: the earlier one has ended all the same.
#[test]
fn an_instance_that_was_unreachable_when_its_address_passed_on_has_ended() {
    let mut node = coordinator();
    node.doubt(at(100), &[cookie(1)]);
    assert!(node.next_probe(at(100), &[]).is_some());
    node.probed(at(400), &[(cookie(1), ProbeOutcome::Unreachable)]);
    node.doubt(at(1_500), &[cookie(1)]);
    assert!(node.next_probe(at(1_500), &[]).is_some());
    address_passes_on(&mut node, 1_600);
    node.probed(at(1_800), &[(cookie(1), ProbeOutcome::Reached)]);
    assert!(node.unreachable(at(60_000)).contains(&cookie(1)));
    node.doubt(at(60_000), &[cookie(1)]);
    assert_eq!(node.next_probe(at(60_000), &[]), None);
}

#[test]
fn probes_of_an_address_that_passed_on_tell_nothing_of_the_earlier_instance() {
    let mut node = coordinator();
    node.doubt(at(100), &[cookie(1)]);
    assert!(node.next_probe(at(100), &[]).is_some());
    address_passes_on(&mut node, 200);
    let (changes, effects) = node.probed(at(400), &[(cookie(1), ProbeOutcome::Unreachable)]);
    assert_eq!(changes, []);
    assert_eq!(questions(&effects), Vec::<Vec<u32>>::new());
    assert!(node.unreachable(at(400)).is_empty());
}
