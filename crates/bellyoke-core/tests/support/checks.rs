//! Invariants checked in every run.

use crate::support::host::Host;
use crate::support::store::Store;
use bellyoke_core::generation::Generation;
use bellyoke_core::identity::{GenerationNumber, NodeId};
use bellyoke_core::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Checks that a node doesn't pass an older generation to its traffic threads.
pub fn check_adoption_is_newer(host: &Host, adopted: GenerationNumber) {
    let newest = host.generations.keys().next_back().copied();
    assert!(
        newest.is_none_or(|newest| adopted > newest),
        "node {} reverts from generation {newest:?} to {adopted}",
        host.identity.node
    );
}

/// Checks that `bytes` are within the budget, and deducts them. The unused budget of up to `burst`
/// seconds may be sent at once.
pub fn charge_budget(host: &mut Host, now: Timestamp, bytes: u64, budget: u64, burst: u64) {
    let elapsed = now.since(host.allowance_updated_at).as_micros() as u64;
    let capacity = budget * burst * 1_000_000;
    host.allowance_microbytes = (host.allowance_microbytes + elapsed * budget).min(capacity);
    host.allowance_updated_at = now;
    let cost = bytes * 1_000_000;
    assert!(
        cost <= host.allowance_microbytes,
        "node {} exceeds its budget of {budget} bytes per second",
        host.identity.node
    );
    host.allowance_microbytes -= cost;
}

/// Checks that a barrier passed correctly: every member has acknowledged the generation, and no
/// former member can open a flow with an older generation or did so within the delay horizon.
pub fn check_barrier_is_safe(
    hosts: &BTreeMap<NodeId, Host>,
    store: &Store,
    now: Timestamp,
    passed: GenerationNumber,
    delay_horizon: Duration,
) {
    let is_passed = |generation: &&std::sync::Arc<Generation>| generation.number == passed;
    let generation = store
        .history
        .iter()
        .find(is_passed)
        .expect("the generation was published");
    for member in &generation.members {
        let acknowledged = hosts[&member.node].node.status().acknowledged;
        assert!(
            acknowledged >= passed,
            "barrier {passed} passes, but member {} has acknowledged {acknowledged}",
            member.node
        );
    }
    let is_member = |node| generation.members.iter().any(|member| member.node == node);
    let former = hosts.values().filter(|host| !is_member(host.identity.node));
    for host in former.filter(|host| host.forwarding_generation < passed) {
        let acknowledged = host.node.status().acknowledged >= passed;
        let ended = host.lease_end();
        let fenced = !host.alive || ended.is_none_or(|end| end.after(delay_horizon) <= now);
        assert!(
            acknowledged || fenced,
            "barrier {passed} passes, but former member {} may open flows with generation {} until {ended:?}",
            host.identity.node,
            host.forwarding_generation
        );
    }
}
