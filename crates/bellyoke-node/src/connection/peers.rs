//! Heartbeats by datagram and snapshots by connection, both at the peer address.

use crate::process::control::Control;
use bellyoke_api::event_code::EventCode;
use bellyoke_core::cookie::exchange::{
    DecodeError, ExchangeEffect, Heartbeat, MAXIMUM_HEARTBEAT_LENGTH, MAXIMUM_SNAPSHOT_LENGTH,
    PeerKey, decode_snapshot, encode_snapshot,
};
use bellyoke_core::cookie::replica::Snapshot;
use bellyoke_process::log::log_event;
use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// Longest wait for a snapshot, from connect to the last byte.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest time that a peer may take to read a snapshot.
const SERVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Snapshots sent at once; further peers wait in the system's queue.
const MAXIMUM_SERVED: usize = 4;

/// Why a snapshot could not be fetched.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    #[error("no answer in time")]
    TimedOut,
    #[error("{0}")]
    Connection(#[from] std::io::Error),
    #[error("{0}")]
    Decode(#[from] DecodeError),
}

/// Hands heartbeats to the control state for the life of the process.
pub async fn receive_heartbeats(control: Rc<RefCell<Control>>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; MAXIMUM_HEARTBEAT_LENGTH + 1];
    loop {
        let Ok((length, SocketAddr::V4(from))) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let effects = control.borrow_mut().heartbeat(from, &buffer[..length]);
        perform(&control, &socket, effects);
    }
}

/// Does what the exchange wants. What can't be sent at once is left out: heartbeats repeat.
pub fn perform(
    control: &Rc<RefCell<Control>>,
    socket: &Arc<UdpSocket>,
    effects: Vec<ExchangeEffect>,
) {
    for effect in effects {
        match effect {
            ExchangeEffect::Send { to, heartbeat } => {
                send_heartbeat(control, socket, to, &heartbeat);
            }
            ExchangeEffect::Fetch { from } => {
                tokio::task::spawn_local(fetch(Rc::clone(control), from));
            }
            ExchangeEffect::PeerJoined(peer) => {
                log_event(EventCode::PeerJoined, format_args!("peer={peer}"));
            }
            ExchangeEffect::PeerLost(peer) => {
                log_event(EventCode::PeerLost, format_args!("peer={peer}"));
            }
        }
    }
}

fn send_heartbeat(
    control: &Rc<RefCell<Control>>,
    socket: &UdpSocket,
    to: SocketAddrV4,
    heartbeat: &Heartbeat,
) {
    let control = control.borrow();
    if let Ok(bytes) = heartbeat.encode(control.peer_key())
        && socket.try_send_to(&bytes, to.into()).is_ok()
    {
        control.metrics().heartbeats_sent.inc();
    }
}

async fn fetch(control: Rc<RefCell<Control>>, from: SocketAddrV4) {
    let key = control.borrow().peer_key().clone();
    let fetched = timeout(FETCH_TIMEOUT, read_snapshot(from, &key)).await;
    match fetched.unwrap_or(Err(FetchError::TimedOut)) {
        Ok(snapshot) => control.borrow_mut().merge(from, snapshot),
        Err(error) => {
            log_event(
                EventCode::SnapshotFailed,
                format_args!("peer={from} error={error}"),
            );
            control.borrow_mut().fetch_failed(from);
        }
    }
}

async fn read_snapshot(from: SocketAddrV4, key: &PeerKey) -> Result<Snapshot, FetchError> {
    let stream = TcpStream::connect(from).await?;
    let longest = u64::try_from(MAXIMUM_SNAPSHOT_LENGTH).unwrap_or(u64::MAX);
    let mut bytes = Vec::new();
    stream.take(longest + 1).read_to_end(&mut bytes).await?;
    Ok(decode_snapshot(&bytes, key)?)
}

/// Sends a snapshot to each peer that connects, for the life of the process.
pub async fn serve_snapshots(control: Rc<RefCell<Control>>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(MAXIMUM_SERVED));
    loop {
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let bytes = {
            let control = control.borrow();
            encode_snapshot(&control.snapshot(), control.peer_key())
        };
        tokio::task::spawn_local(async move {
            if let Ok(bytes) = bytes {
                let _ = timeout(SERVE_TIMEOUT, write_snapshot(stream, &bytes)).await;
            }
            drop(slot);
        });
    }
}

async fn write_snapshot(mut stream: TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    stream.write_all(bytes).await?;
    stream.shutdown().await
}
