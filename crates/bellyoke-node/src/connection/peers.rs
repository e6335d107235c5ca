//! Exchange with peers at the peer address: datagrams over UDP and snapshots over TCP.

use super::stall_timeout::{read_to_end_with_stall_timeout, write_all_with_stall_timeout};
use crate::process::control::Control;
use crate::process::metrics::ControlMetrics;
use bellyoke_api::event_code::EventCode;
use bellyoke_core::cookie::exchange::{
    DecodeError, EncodeError, ExchangeEffect, FETCH_STALL_TIMEOUT, FetchRequest, Heartbeat,
    MAXIMUM_DATAGRAM_BYTES, MAXIMUM_FETCH_BYTES, MAXIMUM_SNAPSHOT_BYTES, PeerKey, decode_snapshot,
    encode_snapshot,
};
use bellyoke_core::cookie::replica::{Snapshot, Versions};
use bellyoke_process::log::log_event;
use prometheus_client::metrics::counter::Counter;
use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Semaphore;
use tokio::time::{error::Elapsed, timeout};

/// Maximum time without progress of a peer that fetches a snapshot: twice the time that the peer
/// itself waits.
const SERVE_STALL_TIMEOUT: Duration = FETCH_STALL_TIMEOUT.saturating_mul(2);

/// Maximum number of snapshots sent concurrently. Further peers wait in the accept queue.
const MAXIMUM_CONCURRENT_SNAPSHOTS: usize = 4;

/// Error of fetching or serving a snapshot.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    #[error("no answer in time")]
    TimedOut(#[from] Elapsed),
    #[error("{0}")]
    Connection(#[from] std::io::Error),
    #[error("{0}")]
    Decode(#[from] DecodeError),
    #[error("{0}")]
    Encode(#[from] EncodeError),
}

/// The link of the node to its peers.
#[derive(Clone)]
pub struct PeerLink {
    /// State of the control thread.
    pub control: Rc<RefCell<Control>>,
    /// Socket for datagrams to and from peers.
    pub socket: Arc<UdpSocket>,
}

/// Passes received datagrams to the control state for the lifetime of the process.
pub async fn receive_datagrams(link: PeerLink) {
    let mut buffer = [0; MAXIMUM_DATAGRAM_BYTES + 1];
    loop {
        let Ok((length, SocketAddr::V4(from))) = link.socket.recv_from(&mut buffer).await else {
            continue;
        };
        let effects = link
            .control
            .borrow_mut()
            .handle_datagram(from, &buffer[..length]);
        link.perform(effects);
    }
}

impl PeerLink {
    /// Performs the effects of the exchange. A message that cannot be sent immediately is dropped,
    /// because heartbeats are sent periodically.
    pub fn perform(&self, effects: Vec<ExchangeEffect>) {
        for effect in effects {
            match effect {
                ExchangeEffect::SendHeartbeat { to, heartbeat } => {
                    self.send_heartbeat(to, &heartbeat)
                }
                ExchangeEffect::SendDelta {
                    to,
                    known,
                    heartbeat,
                } => {
                    if !self.send_delta(to, known) {
                        self.send_heartbeat(to, &heartbeat);
                    }
                }
                ExchangeEffect::SendProbeRequest { to, request } => {
                    let encode = |key: &PeerKey| request.encode(key);
                    self.send("question", to, encode, |metrics| {
                        &metrics.probe_requests_sent
                    });
                }
                ExchangeEffect::SendFindings { to, report } => {
                    let encode = |key: &PeerKey| report.encode(key);
                    self.send("findings", to, encode, |metrics| &metrics.findings_sent);
                }
                ExchangeEffect::SendRefutation { to, refutation } => {
                    let encode = |key: &PeerKey| refutation.encode(key);
                    self.send("objection", to, encode, |metrics| &metrics.refutations_sent);
                }
                ExchangeEffect::SendOutliers { to, message } => {
                    let encode = |key: &PeerKey| message.encode(key);
                    self.send("outliers", to, encode, |metrics| {
                        &metrics.outlier_messages_sent
                    });
                }
                ExchangeEffect::Fetch { from } => {
                    tokio::task::spawn_local(fetch(self.clone(), from));
                }
                ExchangeEffect::PeerJoined(peer) => self.log_peer(EventCode::PeerJoined, peer),
                ExchangeEffect::PeerLost(peer) => self.log_peer(EventCode::PeerLost, peer),
            }
        }
    }

    fn log_peer(&self, event: EventCode, peer: SocketAddrV4) {
        let mut control = self.control.borrow_mut();
        control.log_peer(event, peer);
    }

    fn send_heartbeat(&self, to: SocketAddrV4, heartbeat: &Heartbeat) {
        let encode = |key: &PeerKey| heartbeat.encode(key);
        self.send("heartbeat", to, encode, |metrics| &metrics.heartbeats_sent);
    }

    /// Sends a message and counts it. Drops the message if the socket buffer is full.
    fn send(
        &self,
        kind: &'static str,
        to: SocketAddrV4,
        encode: impl FnOnce(&PeerKey) -> Result<Vec<u8>, EncodeError>,
        counter: impl FnOnce(&ControlMetrics) -> &Counter,
    ) {
        let control = self.control.borrow();
        if let Ok(bytes) = encode(control.peer_key())
            && self.socket.try_send_to(&bytes, to.into()).is_ok()
        {
            counter(control.metrics()).inc();
            control.count_sent(kind, to, bytes.len());
        }
    }

    /// Sends a delta of the state that a peer lacks. Returns false if there is no such delta.
    fn send_delta(&self, to: SocketAddrV4, known: Versions) -> bool {
        let mut control = self.control.borrow_mut();
        let Some(bytes) = control.delta_for(known) else {
            return false;
        };
        if self.socket.try_send_to(&bytes, to.into()).is_ok() {
            control.metrics().deltas_sent.inc();
            control.count_sent("delta", to, bytes.len());
        }
        true
    }
}

async fn fetch(link: PeerLink, from: SocketAddrV4) {
    let control = &link.control;
    let key = control.borrow().peer_key().clone();
    let request = control.borrow().fetch_request();
    let on_progress = || control.borrow_mut().record_fetch_progress(from);
    match read_snapshot(from, request, &key, on_progress).await {
        Ok(snapshot) => {
            let effects = control.borrow_mut().apply_snapshot(from, snapshot);
            link.perform(effects);
        }
        Err(error) => {
            log_event(
                EventCode::SnapshotFailed,
                format_args!("peer={from} error={error}"),
            );
            control.borrow_mut().fetch_failed(from);
        }
    }
}

async fn read_snapshot(
    from: SocketAddrV4,
    request: FetchRequest,
    key: &PeerKey,
    on_progress: impl FnMut(),
) -> Result<Snapshot, FetchError> {
    let mut stream = timeout(FETCH_STALL_TIMEOUT, TcpStream::connect(from)).await??;
    write_all_with_stall_timeout(&mut stream, &request.encode(key)?, FETCH_STALL_TIMEOUT).await?;
    let bytes = read_to_end_with_stall_timeout(
        stream,
        MAXIMUM_SNAPSHOT_BYTES,
        FETCH_STALL_TIMEOUT,
        on_progress,
    )
    .await?;
    Ok(decode_snapshot(&bytes, key)?)
}

/// Sends a snapshot to each peer that requests one, for the lifetime of the process.
pub async fn serve_snapshots(control: Rc<RefCell<Control>>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(MAXIMUM_CONCURRENT_SNAPSHOTS));
    loop {
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let control = Rc::clone(&control);
        tokio::task::spawn_local(async move {
            // The fetching peer detects and logs failures.
            let _ = serve_snapshot(control, stream).await;
            drop(slot);
        });
    }
}

async fn serve_snapshot(
    control: Rc<RefCell<Control>>,
    mut stream: TcpStream,
) -> Result<(), FetchError> {
    let request_bytes = read_to_end_with_stall_timeout(
        &mut stream,
        MAXIMUM_FETCH_BYTES,
        SERVE_STALL_TIMEOUT,
        || {},
    )
    .await?;
    let bytes = {
        let control = control.borrow();
        let request = FetchRequest::decode(&request_bytes, control.peer_key())?;
        let bytes = encode_snapshot(&control.snapshot_for(request), control.peer_key())?;
        control.count_sent_to("snapshot", Some(request.zone), bytes.len());
        bytes
    };
    write_all_with_stall_timeout(&mut stream, &bytes, SERVE_STALL_TIMEOUT).await?;
    Ok(())
}
