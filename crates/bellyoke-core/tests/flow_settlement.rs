//! When a contested bucket counts as settled.

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
fn a_bucket_settles_when_no_flow_off_target_was_seen_for_the_idle_time() {
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
    // The UDP bucket has held no flow since the change; the TCP flow was seen at 40.
    assert_eq!(settled_at(&mut decider, 62, &next), [bucket(UDP_SERVICE)]);
    decide(&mut decider, 62, &next, &tcp(2, ACK));
    let both = [bucket(TCP_SERVICE), bucket(UDP_SERVICE)];
    assert_eq!(settled_at(&mut decider, 100, &next), [bucket(UDP_SERVICE)]);
    assert_eq!(settled_at(&mut decider, 101, &next), both);
    // The list stays whole, also in the next generation: an owner takes a bucket that is
    // missing from it for one that is in use again.
    assert_eq!(settled_at(&mut decider, 102, &next), both);
    assert_eq!(settled_at(&mut decider, 103, &contested(3)), both);
}

#[test]
fn a_flow_off_target_that_the_owner_told_of_keeps_its_bucket_from_settling() {
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
    // The UDP bucket has held no flow at all.
    let both = [bucket(TCP_SERVICE), bucket(UDP_SERVICE)];
    assert_eq!(settled_at(&mut decider, 61, &next), [bucket(UDP_SERVICE)]);
    assert_eq!(settled_at(&mut decider, 90, &next), [bucket(UDP_SERVICE)]);
    assert_eq!(settled_at(&mut decider, 91, &next), both);
}

#[test]
fn the_flow_off_target_that_was_seen_last_counts() {
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
    // The second flow was seen at second zero; the first, at 40, holds the bucket.
    assert_eq!(settled_at(&mut decider, 70, &next), [bucket(UDP_SERVICE)]);
    let both = [bucket(TCP_SERVICE), bucket(UDP_SERVICE)];
    assert_eq!(settled_at(&mut decider, 101, &next), both);
}

#[test]
fn a_bucket_does_not_settle_before_a_whole_round_of_the_sweep() {
    let mut decider = Decider::new(&settings(10));
    decide(&mut decider, 0, &clean(1), &tcp(1, ACK));
    decide(&mut decider, 0, &clean(1), &tcp(2, ACK));
    let next = contested(2);
    decider.apply_generation(second(1), &next);
    // Visits the first record, then both flows are seen again.
    decider.sweep(second(50), &next, 1);
    decide(&mut decider, 51, &next, &tcp(1, ACK));
    decide(&mut decider, 51, &next, &tcp(2, ACK));
    assert!(decider.sweep(second(65), &next, 100).pass_complete);
    assert_eq!(decider.settled_buckets(second(65), &next), []);
}

/// Forgets `forgotten` after `slots` slots of a round of the sweep, and tells whether the TCP
/// bucket then counts as settled though `off_target` was seen within the idle time.
/// It must settle by the next round that is late enough.
fn settles_early(ports: Range<u16>, off_target: u16, forgotten: u16, slots: u32) -> bool {
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
    decider.remove_flow(&place(&next, &tcp(forgotten, ACK)));
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

/// Forgetting a flow moves others, perhaps from ahead of the sweep to behind it: sets of
/// ports are tried until some collide.
#[test]
fn no_flow_off_target_is_overlooked_when_others_are_forgotten() {
    for first in (0..80).step_by(8) {
        let ports = first..first + 8;
        for (off_target, forgotten) in pairs(&ports) {
            for slots in 1..13 {
                let early = settles_early(ports.clone(), off_target, forgotten, slots);
                assert!(!early, "{off_target} after {forgotten} at {slots}");
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
fn a_flow_off_target_that_made_room_counts_as_it_was_last_seen() {
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
fn a_new_target_starts_the_idle_time_again() {
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
fn services_placed_by_load_never_settle() {
    let mut decider = Decider::new(&settings(10));
    let mut forwarding = contested(1);
    for service in forwarding.services.values_mut() {
        service.placement = Placement::LeastLoaded;
    }
    decider.apply_generation(second(0), &forwarding);
    assert_eq!(settled_at(&mut decider, 1000, &forwarding), []);
}
