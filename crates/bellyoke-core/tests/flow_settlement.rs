//! Detection of settled buckets.

mod flow_support;

use bellyoke_core::flow::Decider;
use bellyoke_core::flow::SettledBucket;
use bellyoke_core::generation::{BucketRoute, Forwarding, Placement};
use bellyoke_core::identity::BucketIndex;
use flow_support::*;
use std::ops::Range;

fn settled_at(decider: &mut Decider, at: u64, forwarding: &Forwarding) -> Vec<SettledBucket> {
    decider.sweep(second(at), forwarding, 100);
    decider.settled_buckets(second(at), forwarding)
}

#[test]
fn a_bucket_settles_after_the_idle_timeout_without_off_target_activity() {
    let mut decider = Decider::new(&settings(10));
    decide(&mut decider, 0, &clean(1), &tcp(1, ACK));
    let next = contested(2);
    decider.apply_generation(second(1), &next);
    decider.learn(second(2), &place(&next, &tcp(2, SYN)), SECOND);
    decide(&mut decider, 40, &next, &tcp(1, ACK));
    let bucket = |service| SettledBucket {
        service,
        bucket: BucketIndex(0),
    };
    assert_eq!(settled_at(&mut decider, 61, &next), []);
    // The UDP bucket has had no flow since the change; the TCP flow was active at second 40.
    assert_eq!(settled_at(&mut decider, 62, &next), [bucket(UDP_SERVICE)]);
    decide(&mut decider, 62, &next, &tcp(2, ACK));
    let both = [bucket(TCP_SERVICE), bucket(UDP_SERVICE)];
    assert_eq!(settled_at(&mut decider, 100, &next), [bucket(UDP_SERVICE)]);
    assert_eq!(settled_at(&mut decider, 101, &next), both);
    // The list stays complete, also in the next generation: the owner treats a bucket that is
    // missing from it as in use again.
    assert_eq!(settled_at(&mut decider, 102, &next), both);
    assert_eq!(settled_at(&mut decider, 103, &contested(3)), both);
}

#[test]
fn an_off_target_flow_reported_by_the_owner_delays_settlement() {
    let mut decider = Decider::new(&settings(10));
    let next = contested(1);
    decider.apply_generation(second(0), &next);
    let flow = place(&next, &tcp(1, ACK));
    decider.learn(second(30), &flow, FIRST);
    decider.remove_flow(&flow);
    let bucket = |service| SettledBucket {
        service,
        bucket: BucketIndex(0),
    };
    // The UDP bucket has never had a flow.
    let both = [bucket(TCP_SERVICE), bucket(UDP_SERVICE)];
    assert_eq!(settled_at(&mut decider, 61, &next), [bucket(UDP_SERVICE)]);
    assert_eq!(settled_at(&mut decider, 90, &next), [bucket(UDP_SERVICE)]);
    assert_eq!(settled_at(&mut decider, 91, &next), both);
}

#[test]
fn the_latest_off_target_activity_determines_settlement() {
    let mut decider = Decider::new(&settings(10));
    decide(&mut decider, 0, &clean(1), &tcp(1, ACK));
    decide(&mut decider, 0, &clean(1), &tcp(2, ACK));
    let next = contested(2);
    decider.apply_generation(second(1), &next);
    decide(&mut decider, 40, &next, &tcp(1, ACK));
    let bucket = |service| SettledBucket {
        service,
        bucket: BucketIndex(0),
    };
    assert_eq!(settled_at(&mut decider, 59, &next), []);
    // The second flow was last active at second zero. The first was active at second 40 and
    // delays the settlement of the bucket.
    assert_eq!(settled_at(&mut decider, 70, &next), [bucket(UDP_SERVICE)]);
    let both = [bucket(TCP_SERVICE), bucket(UDP_SERVICE)];
    assert_eq!(settled_at(&mut decider, 101, &next), both);
}

#[test]
fn a_bucket_does_not_settle_before_a_complete_pass_of_the_sweep() {
    let mut decider = Decider::new(&settings(10));
    decide(&mut decider, 0, &clean(1), &tcp(1, ACK));
    decide(&mut decider, 0, &clean(1), &tcp(2, ACK));
    let next = contested(2);
    decider.apply_generation(second(1), &next);
    // The sweep visits the first record, then both flows are active again.
    decider.sweep(second(50), &next, 1);
    decide(&mut decider, 51, &next, &tcp(1, ACK));
    decide(&mut decider, 51, &next, &tcp(2, ACK));
    assert!(decider.sweep(second(65), &next, 100).pass_complete);
    assert_eq!(decider.settled_buckets(second(65), &next), []);
}

/// Removes the flow from port `removed` after `slots` slots of a pass of the sweep. Returns
/// whether the TCP bucket then counts as settled although `off_target` was active within the idle
/// timeout. Asserts that it settles in the next pass after the idle timeout.
fn settles_early(ports: Range<u16>, off_target: u16, removed: u16, slots: u32) -> bool {
    let mut decider = Decider::new(&settings(8));
    let next = contested(1);
    decider.apply_generation(second(0), &next);
    for port in ports.clone() {
        let backend = if port == off_target { FIRST } else { SECOND };
        decider.learn(second(0), &place(&next, &tcp(port, ACK)), backend);
    }
    for port in ports {
        decide(&mut decider, 40, &next, &tcp(port, ACK));
    }
    decider.sweep(second(61), &next, slots);
    decider.remove_flow(&place(&next, &tcp(removed, ACK)));
    decider.sweep(second(61), &next, 100);
    let early = is_tcp_settled(&mut decider, 61, &next);
    decider.sweep(second(101), &next, 100);
    assert!(early || is_tcp_settled(&mut decider, 101, &next));
    early
}

fn is_tcp_settled(decider: &mut Decider, at: u64, forwarding: &Forwarding) -> bool {
    let settled = decider.settled_buckets(second(at), forwarding);
    settled.iter().any(|bucket| bucket.service == TCP_SERVICE)
}

/// Removing a flow shifts other records, possibly from ahead of the sweep to behind it, where an
/// off-target flow would be skipped. The test tries several sets of ports, as only colliding
/// ones are shifted.
#[test]
fn no_off_target_flow_is_skipped_when_others_are_removed() {
    for first in (0..80).step_by(8) {
        let ports = first..first + 8;
        for (off_target, removed) in pairs(&ports) {
            for slots in 1..13 {
                let early = settles_early(ports.clone(), off_target, removed, slots);
                assert!(
                    !early,
                    "bucket settled despite off-target flow {off_target}; removed {removed} after {slots} slots"
                );
            }
        }
    }
}

fn pairs(ports: &Range<u16>) -> Vec<(u16, u16)> {
    let pairs = ports
        .clone()
        .flat_map(|one| ports.clone().map(move |other| (one, other)));
    pairs.filter(|(one, other)| one != other).collect()
}

#[test]
fn an_expired_off_target_flow_removed_from_a_full_table_delays_settlement() {
    let mut decider = Decider::new(&settings(1));
    decide(&mut decider, 0, &clean(1), &tcp(1, ACK));
    let to = BucketRoute::Contested {
        target: Some(SECOND),
    };
    let next = forwarding(2, to, BucketRoute::Clean(UDP_FIRST));
    decider.apply_generation(second(0), &next);
    decide(&mut decider, 40, &next, &tcp(1, FIN));
    assert_eq!(decide(&mut decider, 60, &next, &udp(1)), TO_UDP_FIRST);
    assert_eq!(settled_at(&mut decider, 61, &next), []);
    assert_eq!(settled_at(&mut decider, 101, &next).len(), 1);
}

#[test]
fn a_new_target_restarts_the_idle_timeout() {
    let mut decider = Decider::new(&settings(10));
    decider.apply_generation(second(0), &contested(1));
    let back = BucketRoute::Contested {
        target: Some(FIRST),
    };
    let next = forwarding(2, back, BucketRoute::Clean(UDP_FIRST));
    decider.apply_generation(second(30), &next);
    assert_eq!(settled_at(&mut decider, 61, &next), []);
    assert_eq!(settled_at(&mut decider, 91, &next).len(), 1);
}

#[test]
fn least_loaded_services_never_settle() {
    let mut decider = Decider::new(&settings(10));
    let mut forwarding = contested(1);
    for service in forwarding.services.values_mut() {
        service.placement = Placement::LeastLoaded;
    }
    decider.apply_generation(second(0), &forwarding);
    assert_eq!(settled_at(&mut decider, 1000, &forwarding), []);
}
