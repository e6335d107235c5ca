//! Probes instances under verification by opening and closing connections to them.

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

/// Maximum interval between checks whether an instance must be probed again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How long suspected instances are collected before a probe starts.
const PROBE_BATCHING_DELAY: Duration = Duration::from_millis(20);

/// Probes instances suspected by the traffic thread or a peer, for the lifetime of the process.
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
        // Instances suspected at the same time are probed together, with the same controls.
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
        // A retry may select other controls that are healthy.
        link.control.borrow().probe_requested().notify_one();
    }
}

/// Returns the addresses to which a connection opens before the timeout.
///
/// Returns only at the timeout unless all connections open, so that attempts are spaced equally for
/// machines that refuse connections and machines that do not respond.
async fn try_connect(addresses: &[SocketAddrV4]) -> BTreeSet<SocketAddrV4> {
    let deadline = tokio::time::Instant::now() + ATTEMPT_TIMEOUT;
    let mut connecting = JoinSet::new();
    for address in addresses {
        let address = *address;
        connecting.spawn_local(async move {
            let connected = timeout(ATTEMPT_TIMEOUT, TcpStream::connect(address)).await;
            // The reason of a failure does not matter; the verdict is logged with the instance.
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
