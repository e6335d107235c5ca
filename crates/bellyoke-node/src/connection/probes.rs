//! Probes of instances in question: connections that are opened and closed again.

use super::peers::PeerLink;
use bellyoke_core::cookie::instance::Cookie;
use bellyoke_core::cookie::reachability::{
    ATTEMPT_INTERVAL, ATTEMPT_TIMEOUT, ProbeBatch, ProbeOutcome,
};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Receiver;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};

/// Longest time before the node looks whether an instance is to be probed again.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// How long questions are collected before a probe begins.
const COLLECT_TIME: Duration = Duration::from_millis(20);

/// Probes the instances that the traffic thread or a peer doubts, for the life of the process.
pub async fn probe_instances(link: PeerLink, mut doubts: Receiver<Vec<Cookie>>) {
    let asked = link.control.borrow().asked();
    loop {
        tokio::select! {
            doubted = doubts.recv() => {
                let Some(doubted) = doubted else { return };
                link.control.borrow_mut().doubt(&doubted);
            }
            () = asked.notified() => {}
            () = sleep(LOOK_INTERVAL) => {}
        }
        // What is asked together is probed together, beside the same controls.
        sleep(COLLECT_TIME).await;
        let next = || link.control.borrow_mut().next_probe();
        while let Some(batch) = next() {
            tokio::task::spawn_local(probe(link.clone(), batch));
        }
    }
}

async fn probe(link: PeerLink, mut batch: ProbeBatch) {
    let mut under_way = JoinSet::new();
    while !batch.is_complete() {
        let all_begun = under_way.len() >= batch.attempts_left();
        if !all_begun {
            let addresses = batch.next_addresses();
            under_way.spawn_local(async move { attempt(&addresses).await });
        }
        let patience = if all_begun {
            ATTEMPT_TIMEOUT
        } else {
            ATTEMPT_INTERVAL
        };
        if let Ok(Some(Ok(opened))) = timeout(patience, under_way.join_next()).await {
            batch.record_attempt(&opened);
        }
    }
    let outcomes = batch.outcomes();
    let effects = link.control.borrow_mut().probed(&outcomes);
    link.perform(effects);
    let finds_nothing =
        |(_, outcome): &(Cookie, ProbeOutcome)| *outcome == ProbeOutcome::Inconclusive;
    if outcomes.iter().any(finds_nothing) {
        // Other controls may be sound.
        link.control.borrow().asked().notify_one();
    }
}

/// The addresses at which a connection opens in time. Lasts the whole time unless all do, so that
/// attempts at a machine that refuses are spread like those at one that is silent.
async fn attempt(addresses: &[SocketAddrV4]) -> BTreeSet<SocketAddrV4> {
    let over = tokio::time::Instant::now() + ATTEMPT_TIMEOUT;
    let mut connecting = JoinSet::new();
    for address in addresses {
        let address = *address;
        connecting.spawn_local(async move {
            let connected = timeout(ATTEMPT_TIMEOUT, TcpStream::connect(address)).await;
            // Whatever the reason, it didn't open; the verdict's log line tells the instance.
            matches!(connected, Ok(Ok(_))).then_some(address)
        });
    }
    let mut opened = BTreeSet::new();
    while let Some(ended) = connecting.join_next().await {
        opened.extend(ended.ok().flatten());
    }
    if opened.len() < addresses.len() {
        sleep_until(over).await;
    }
    opened
}
