//! Callers' addresses stay inside of their prefix.

use std::collections::HashSet;

use bellyoke_lab::caller::sources::Sources;
use bellyoke_lab::network::Prefix;

/// More pairs than one round through the addresses of any prefix here.
const DRAWN_SOURCES: usize = 1_000;

fn check_sources(prefix: &str) {
    let prefix: Prefix = prefix.parse().expect("a prefix");
    let mut sources = Sources::new(vec![prefix], 1);
    let mut seen = HashSet::new();
    for _ in 0..DRAWN_SOURCES {
        let source = sources.next(prefix.is_ipv4()).expect("a source");
        assert!(prefix.contains(source.ip()), "{source} is outside");
        assert!(seen.insert(source), "{source} came twice");
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
