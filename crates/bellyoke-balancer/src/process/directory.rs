//! The node's entry in the platform's machine list, and the seeds it gives.

use bellyoke_api::event_code::EventCode;
use bellyoke_core::identity::NodeId;
use bellyoke_kube::store::{BalancerRecord, Store};
use bellyoke_process::log::log_event;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Wait after the store could not be used.
const RETRY: Duration = Duration::from_millis(500);

/// Most attempts at one write or read, at a growing distance of up to [`LONGEST_RETRY`].
const LONGEST_RETRY: Duration = Duration::from_secs(30);

/// Time between two looks at the machine list of a node that knows peers.
const LIST_PERIOD: Duration = Duration::from_secs(60);

/// Time between two looks of a node that knows none.
const LONELY_LIST_PERIOD: Duration = Duration::from_secs(3);

/// What the control loop asks for.
#[derive(Clone, Debug)]
pub enum DirectoryCommand {
    /// Write the node's entry.
    Register(BalancerRecord),
    /// Delete it.
    Withdraw(NodeId),
    /// Whether the node knows peers; if not, the list is read more often.
    HasPeers(bool),
}

/// What it is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryEvent {
    /// Peer sockets of the machine list.
    Seeds(Vec<SocketAddr>),
    /// The entry is written.
    Registered,
    /// The entry is deleted.
    Withdrawn,
}

/// Keeps the entry and reads the list until the control loop is gone.
pub async fn run_directory(
    store: Arc<dyn Store>,
    own: SocketAddr,
    mut commands: mpsc::Receiver<DirectoryCommand>,
    events: mpsc::Sender<DirectoryEvent>,
) {
    let mut directory = Directory {
        store,
        own,
        events,
        wanted: None,
        has_peers: false,
        retry: RETRY,
        write_at: None,
        list_at: Instant::now(),
    };
    loop {
        let write_at = directory.write_at;
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => directory.take(command),
                None => return,
            },
            () = sleep_until(write_at.unwrap_or_else(Instant::now)), if write_at.is_some() => {
                directory.write().await;
            }
            () = sleep_until(directory.list_at) => directory.list().await,
        }
    }
}

/// What the entry should be.
#[derive(Clone, Debug)]
enum Entry {
    Present(BalancerRecord),
    Absent(NodeId),
}

struct Directory {
    store: Arc<dyn Store>,
    own: SocketAddr,
    events: mpsc::Sender<DirectoryEvent>,
    wanted: Option<Entry>,
    has_peers: bool,
    retry: Duration,
    write_at: Option<Instant>,
    list_at: Instant,
}

impl Directory {
    fn take(&mut self, command: DirectoryCommand) {
        match command {
            DirectoryCommand::Register(record) => self.want(Entry::Present(record)),
            DirectoryCommand::Withdraw(node) => self.want(Entry::Absent(node)),
            DirectoryCommand::HasPeers(has_peers) => self.has_peers = has_peers,
        }
    }

    fn want(&mut self, entry: Entry) {
        self.wanted = Some(entry);
        self.retry = RETRY;
        self.write_at = Some(Instant::now());
    }

    async fn write(&mut self) {
        self.write_at = None;
        let Some(entry) = self.wanted.clone() else {
            return;
        };
        let (outcome, event) = match entry {
            Entry::Present(record) => (
                self.store.register(record).await,
                DirectoryEvent::Registered,
            ),
            Entry::Absent(node) => (self.store.withdraw(node).await, DirectoryEvent::Withdrawn),
        };
        match outcome {
            Ok(()) => {
                // The receiver only goes away when the process ends.
                let _ = self.events.send(event).await;
            }
            Err(error) => {
                log_event(EventCode::StoreUnreachable, error);
                self.write_at = Some(Instant::now() + self.retry);
                self.retry = (self.retry * 2).min(LONGEST_RETRY);
            }
        }
    }

    /// A list that cannot be read is tried again at the next time: it is only a seed.
    async fn list(&mut self) {
        let period = if self.has_peers {
            LIST_PERIOD
        } else {
            LONELY_LIST_PERIOD
        };
        if let Ok(records) = self.store.list_balancers().await {
            let addresses = records.iter().filter(|record| !record.leaving);
            let seeds: Vec<SocketAddr> = addresses
                .map(|record| record.peer_address)
                .filter(|address| *address != self.own)
                .collect();
            if !seeds.is_empty() {
                let _ = self.events.send(DirectoryEvent::Seeds(seeds)).await;
            }
        }
        self.list_at = Instant::now() + period;
    }
}
