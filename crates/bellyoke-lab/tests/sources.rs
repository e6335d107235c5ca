//! Source addresses of callers: all are inside the configured prefix and none repeats early.

use std::collections::HashSet;

use bellyoke_lab::caller::sources::Sources;
use bellyoke_lab::network::Prefix;

/// Number of sources drawn from each prefix. It exceeds the number of addresses used of any prefix
/// in these tests, so addresses repeat with other ports.
const DRAWN_SOURCES: usize = 1_000;

/// Checks that the sources drawn from `prefix` are inside it and distinct.
fn check_sources(prefix: &str) {
    let prefix: Prefix = prefix.parse().expect("prefix should be valid");
    let mut sources = Sources::new(vec![prefix], 1);
    let mut seen = HashSet::new();
    for _ in 0..DRAWN_SOURCES {
        let source = sources
            .next(prefix.is_ipv4())
            .expect("prefix should yield a source");
        assert!(
            prefix.contains(source.ip()),
            "source {source} is outside its prefix"
        );
        assert!(seen.insert(source), "source {source} was returned twice");
    }
}

#[test]
fn sources_stay_inside_prefixes_longer_than_24_bits() {
    check_sources("203.0.113.0/25");
    check_sources("203.0.113.128/25");
}

#[test]
fn sources_stay_inside_single_address_and_large_prefixes() {
    check_sources("203.0.113.9/32");
    check_sources("203.0.113.0/24");
    check_sources("2001:db8:1::/48");
    check_sources("2001:db8:1::7/128");
}
