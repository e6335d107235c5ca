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
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How long questions are collected before a probe begins.
const PROBE_BATCHING_DELAY: Duration = Duration::from_millis(20);

/// Probes the instances that the traffic thread or a peer doubts, for the life of the process.
pub async fn probe_instances(link: PeerLink, mut suspects: Receiver<Vec<Cookie>>) {
    let probe_requested = link.control.borrow().probe_requested();
    loop {
        tokio::select! {
            suspected = suspects.recv() => {
                let Some(suspected) = suspected else { return };
                link.control.borrow_mut().suspect(&suspected);
            }
            () = probe_requested.notified() => {}
            () = sleep(RECHECK_INTERVAL) => {}
        }
        // What is asked together is probed together, beside the same controls.
        sleep(PROBE_BATCHING_DELAY).await;
        let next = || link.control.borrow_mut().next_probe();
        while let Some(batch) = next() {
            tokio::task::spawn_local(run_probe(link.clone(), batch));
        }
    }
}

async fn run_probe(link: PeerLink, mut batch: ProbeBatch) {
    let mut attempts = JoinSet::new();
    while !batch.is_complete() {
        let all_started = attempts.len() >= batch.attempts_left();
        if !all_started {
            let addresses = batch.next_addresses();
            attempts.spawn_local(async move { try_connect(&addresses).await });
        }
        let wait = if all_started {
            ATTEMPT_TIMEOUT
        } else {
            ATTEMPT_INTERVAL
        };
        if let Ok(Some(Ok(opened))) = timeout(wait, attempts.join_next()).await {
            batch.record_attempt(&opened);
        }
    }
    let outcomes = batch.outcomes();
    let effects = link.control.borrow_mut().record_probes(&outcomes);
    link.perform(effects);
    let is_inconclusive =
        |(_, outcome): &(Cookie, ProbeOutcome)| *outcome == ProbeOutcome::Inconclusive;
    if outcomes.iter().any(is_inconclusive) {
        // Other controls may be sound.
        link.control.borrow().probe_requested().notify_one();
    }
}

/// The addresses at which a connection opens in time. Lasts the whole time unless all do, so that
/// attempts at a machine that refuses are spread like those at one that is silent.
async fn try_connect(addresses: &[SocketAddrV4]) -> BTreeSet<SocketAddrV4> {
    let deadline = tokio::time::Instant::now() + ATTEMPT_TIMEOUT;
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
    while let Some(finished) = connecting.join_next().await {
        opened.extend(finished.ok().flatten());
    }
    if opened.len() < addresses.len() {
        sleep_until(deadline).await;
    }
    opened
}
