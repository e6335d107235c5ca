//! Exchanges between callers and backends over a network in virtual time.

mod common;

use bellyoke_lab::backend::{BackendHost, Lie};
use bellyoke_lab::caller::{CallerHost, Kind};
use bellyoke_lab::network::PacketHost;
use bellyoke_lab::verdict::Finding;
use common::{Faults, Network, TILL_V4, TILL_V6, backend, callers, target, to_first};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use smoltcp::time::{Duration, Instant};

/// Returns a target for each kind of request, over both IP versions.
fn targets_of_every_kind() -> Vec<bellyoke_lab::caller::Target> {
    vec![
        target("till", TILL_V4, Kind::Payment),
        target("till", TILL_V4, Kind::Feed),
        target("till", TILL_V6, Kind::Check),
        target("till", TILL_V6, Kind::Upload),
    ]
}

#[test]
fn requests_of_every_kind_are_answered_over_both_ip_versions() {
    let settings = callers(targets_of_every_kind(), 3, 10);
    let mut network = Network::new(settings, vec![backend("till-1", &["till"])], to_first());
    let counts = network.run().counts;
    insta::assert_snapshot!(counts, @"caller: sent=40 answered=40 refused=0 shed=0 broken=0 crossed=0 open=0");
    insta::assert_snapshot!(network.verdict(), @"demo: sent=40 answered=40 refused=0 broken=0 crossed=0 wrong_service=0 doubled=0");
    assert!(network.verdict().is_passed());
    let report = &network.reports()[0];
    assert_eq!((report.stray_packets, report.connections_accepted), (0, 40));
}

#[test]
fn closed_connections_are_removed() {
    let settings = callers(targets_of_every_kind(), 4, 20);
    let mut network = Network::new(settings, vec![backend("till-1", &["till"])], to_first());
    network.run();
    network.run_until(|network| network.reports()[0].connections_open == 0);
}

#[test]
fn requests_shed_by_a_full_queue_are_not_run() {
    let settings = callers(vec![target("till", TILL_V4, Kind::Payment)], 12, 60);
    let mut short_queue = backend("till-1", &["till"]);
    short_queue.queue_limit = 2;
    let mut network = Network::new(settings, vec![short_queue], to_first());
    let report = network.run().clone();
    let backend = &network.reports()[0];
    assert!(report.counts.shed > 0);
    assert_eq!(report.counts.shed, backend.shed);
    assert_eq!(backend.runs.len() as u64, report.counts.answered);
    assert!(report.shed.iter().all(|id| !backend.runs.contains_key(id)));
    assert!(network.verdict().is_passed());
}

#[test]
fn no_more_requests_run_at_a_time_than_there_are_slots() {
    let settings = callers(vec![target("till", TILL_V4, Kind::Payment)], 8, 16);
    let mut network = Network::new(settings, vec![backend("till-1", &["till"])], to_first());
    network.run_until(|network| network.reports()[0].queued == 6);
    let report = &network.reports()[0];
    assert_eq!((report.slots_busy, report.load), (2, 4.0));
    network.run();
}

#[test]
fn a_timed_out_request_is_broken_and_its_run_cancelled() {
    let mut settings = callers(vec![target("till", TILL_V4, Kind::Payment)], 3, 3);
    settings.patience = Duration::from_millis(100);
    let mut slow = backend("till-1", &["till"]);
    slow.work_time = Duration::from_secs(1);
    let mut network = Network::new(settings, vec![slow], to_first());
    network.run();
    network.run_until(|network| network.reports()[0].connections_open == 0);
    let backend = &network.reports()[0];
    assert_eq!((backend.cancelled, backend.cancelled_before_start), (2, 1));
    assert_eq!(network.caller.report().counts.broken, 3);
    assert!(!network.verdict().is_passed());
}

#[test]
fn requests_for_a_service_that_is_not_allowed_are_crossed() {
    let settings = callers(vec![target("listings", TILL_V4, Kind::Payment)], 1, 2);
    let mut network = Network::new(settings, vec![backend("till-1", &["till"])], to_first());
    network.run();
    let verdict = network.verdict();
    assert_eq!((verdict.crossed, verdict.wrong_service), (2, 2));
    assert!(network.reports()[0].runs.is_empty());
}

#[test]
fn connections_of_two_services_at_the_same_time_are_counted() {
    let targets = vec![
        target("till", TILL_V4, Kind::Feed),
        target("listings", "198.51.100.2:80", Kind::Feed),
    ];
    let settings = callers(targets, 1, 1);
    let mut network = Network::new(
        settings,
        vec![backend("both", &["till", "listings"])],
        to_first(),
    );
    network.run();
    let report = &network.reports()[0];
    insta::assert_yaml_snapshot!(report.wrong_service_details, @r"
    - connection to 198.51.100.2 while 198.51.100.1 has open connections
    - asked for listings while till has open connections
    ");
}

#[test]
fn connections_of_two_services_in_succession_are_not_counted() {
    let settings = callers(vec![target("till", TILL_V4, Kind::Payment)], 1, 3);
    let mut network = Network::new(
        settings,
        vec![backend("moved", &["till", "listings"])],
        to_first(),
    );
    network.run();
    network.run_until(|network| network.reports()[0].connections_open == 0);
    let settings = callers(
        vec![target("listings", "198.51.100.2:80", Kind::Payment)],
        1,
        3,
    );
    network.caller = CallerHost::new(settings);
    network.run();
    assert_eq!(network.reports()[0].wrong_service, 0);
}

#[test]
fn a_flow_sent_to_two_backends_breaks_and_leaves_stray_packets() {
    let settings = callers(vec![target("till", TILL_V4, Kind::Payment)], 1, 1);
    let backends = vec![backend("till-1", &["till"]), backend("till-2", &["till"])];
    let mut packets = 0;
    let alternating = Box::new(move |_| {
        packets += 1;
        packets % 2
    });
    let mut network = Network::new(settings, backends, alternating);
    network.run();
    assert_eq!(network.caller.report().counts.broken, 1);
    assert!(
        network
            .reports()
            .iter()
            .any(|report| report.stray_packets > 0)
    );
}

#[test]
fn a_request_that_runs_on_two_backends_is_counted_as_doubled() {
    let settings = callers(vec![target("till", TILL_V4, Kind::Payment)], 1, 1);
    let mut network = Network::new(
        settings.clone(),
        vec![backend("till-1", &["till"])],
        to_first(),
    );
    network.run();
    let first = network.reports();
    let mut network = Network::new(settings, vec![backend("till-2", &["till"])], to_first());
    network.run();
    let reports = [first, network.reports()].concat();
    let callers = [network.caller.report().clone()];
    let verdict = bellyoke_lab::verdict::Verdict::new(&callers, &reports);
    assert_eq!(verdict.doubled, 1);
    assert!(matches!(
        verdict.findings[..],
        [Finding::Doubled { runs: 2, .. }]
    ));
}

#[test]
fn stopped_callers_finish_their_requests_in_progress() {
    let settings = callers(targets_of_every_kind(), 2, 1_000_000);
    let mut network = Network::new(settings, vec![backend("till-1", &["till"])], to_first());
    network.run_until(|network| network.caller.report().counts.answered == 30);
    network.caller.stop();
    let sent = network.caller.report().counts.sent;
    let counts = network.run().counts;
    assert_eq!((counts.sent, counts.answered, counts.open), (sent, sent, 0));
}

#[test]
fn first_requests_are_spread_over_the_ramp() {
    let mut settings = callers(vec![target("till", TILL_V4, Kind::Feed)], 10, 10);
    settings.ramp = Duration::from_secs(1);
    settings.feed_count = 100;
    let mut network = Network::new(settings, vec![backend("till-1", &["till"])], to_first());
    network.run_until(|network| network.now >= Instant::from_millis(450));
    assert_eq!(network.caller.report().counts.sent, 5);
    network.run();
}

#[test]
fn overridden_health_and_load_do_not_change_the_report() {
    let mut network = Network::new(
        callers(Vec::new(), 1, 1),
        vec![backend("till-1", &["till"])],
        to_first(),
    );
    let host = &mut network.backends[0];
    host.set_draining(true);
    assert!(!host.is_healthy());
    host.lie(Lie {
        healthy: Some(true),
        load: Some(0.25),
    });
    assert!(host.is_healthy());
    assert_eq!((host.load(), host.report().load), (0.25, 0.0));
}

#[test]
fn connections_accepted_while_draining_are_counted() {
    let settings = callers(vec![target("till", TILL_V4, Kind::Payment)], 1, 4);
    let mut network = Network::new(settings, vec![backend("till-1", &["till"])], to_first());
    network.run_until(|network| network.reports()[0].runs.len() == 3);
    network.backends[0].set_draining(true);
    network.run();
    assert_eq!(network.reports()[0].connections_accepted_while_draining, 1);
}

#[test]
fn a_cold_backend_takes_longer() {
    let duration_ms = |is_cold: bool| {
        let settings = callers(vec![target("till", TILL_V4, Kind::Payment)], 1, 10);
        let mut network = Network::new(settings, vec![backend("till-1", &["till"])], to_first());
        if is_cold {
            network.backends[0].run_cold(Duration::from_secs(5));
        }
        network.run();
        network.now.total_millis()
    };
    assert_eq!(duration_ms(true) - duration_ms(false), 10 * 20 * 4);
}

#[test]
fn requests_past_their_deadline_are_shed_and_counted() {
    let mut settings = callers(vec![target("till", TILL_V4, Kind::Payment)], 4, 4);
    settings.deadline_ms = Some(30);
    let mut slow = backend("till-1", &["till"]);
    slow.work_time = Duration::from_millis(50);
    let mut network = Network::new(settings, vec![slow], to_first());
    let counts = network.run().counts;
    assert_eq!((counts.answered, counts.shed), (2, 2));
    let report = &network.reports()[0];
    assert_eq!((report.expired, report.runs.len()), (2, 2));
    assert!(network.verdict().is_passed());
}

#[test]
fn a_duplicated_opening_packet_opens_no_second_connection() {
    let settings = callers(vec![target("till", TILL_V4, Kind::Payment)], 4, 40);
    let faults = Faults {
        duplicated: 1000,
        ..Faults::default()
    };
    let network = Network::new(settings, vec![backend("till-1", &["till"])], to_first());
    let mut network = network.with_faults(faults, 1);
    assert_eq!(network.run().counts.answered, 40);
    assert_eq!(network.reports()[0].connections_accepted, 40);
}

#[test]
fn connections_close_without_resets() {
    let settings = callers(targets_of_every_kind(), 3, 10);
    let mut network = Network::new(settings, vec![backend("till-1", &["till"])], to_first());
    network.run();
    network.run_until(|network| network.reports()[0].connections_open == 0);
    assert_eq!(network.resets, 0);
}

#[test]
fn a_connection_reset_before_it_is_established_is_removed() {
    let mut settings = callers(vec![target("till", TILL_V4, Kind::Payment)], 1, 1);
    settings.patience = Duration::from_millis(100);
    let mut caller = CallerHost::new(settings);
    let mut backend = BackendHost::new(backend("till-1", &["till"]));
    caller.poll(Instant::ZERO);
    let opening = caller.next_packet().expect("an opening packet");
    backend.receive(Instant::ZERO, &opening);
    assert_eq!(backend.report().connections_open, 1);
    let after_timeout = Instant::from_millis(100);
    caller.poll(after_timeout);
    let reset = caller.next_packet().expect("a reset");
    backend.receive(after_timeout, &reset);
    assert_eq!(backend.report().connections_open, 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_verdict_passes_despite_loss_duplication_and_reordering(seed in any::<u64>()) {
        let settings = callers(targets_of_every_kind(), 4, 12);
        let faults = Faults { lost: 10, duplicated: 30, delayed: 100 };
        let network = Network::new(settings, vec![backend("till-1", &["till"])], to_first());
        let mut network = network.with_faults(faults, seed);
        let counts = network.run().counts;
        prop_assert_eq!(counts.sent, 48);
        prop_assert!(network.verdict().is_passed(), "{:?}", network.verdict());
        prop_assert_eq!(network.reports()[0].runs.values().sum::<u64>(), counts.answered);
    }
}
