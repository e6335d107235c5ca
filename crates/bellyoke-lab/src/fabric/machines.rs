//! The list of balancers: a copy of the platform's, which lags behind it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::Context;
use serde::Deserialize;
use tracing::{info, warn};

/// Where the platform serves the list of balancers.
const LIST_PATH: &str = "/apis/bellyoke.dev/v1/namespaces/default/balancers";

/// How long the platform may take to answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Where and how often the list is read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollSettings {
    /// URL of the platform, without a path.
    pub platform: String,
    /// Time between two reads.
    pub interval: Duration,
    /// Time between a read and its use.
    pub lag: Duration,
}

/// One balancer in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Machine {
    /// Where it takes packets.
    pub data_address: SocketAddr,
    /// Whether it asked for no more packets.
    #[serde(default)]
    pub leaving: bool,
}

#[derive(Debug, Deserialize)]
struct Item {
    spec: Machine,
}

#[derive(Debug, Deserialize)]
struct List {
    items: Vec<Item>,
}

/// The balancers that packets are sprayed over.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MachineList {
    balancers: Vec<SocketAddr>,
}

impl MachineList {
    /// A list that names the given balancers.
    #[must_use]
    pub fn fixed(balancers: &[SocketAddr]) -> Self {
        Self {
            balancers: balancers.to_vec(),
        }
    }

    /// Reads the platform's answer: leaving balancers are left out.
    ///
    /// # Errors
    ///
    /// Fails when the text isn't a list of balancers.
    pub fn from_json(text: &[u8]) -> serde_json::Result<Self> {
        let list: List = serde_json::from_slice(text)?;
        let machines = list.items.into_iter().map(|item| item.spec);
        let staying = machines.filter(|machine| !machine.leaving);
        let mut balancers: Vec<SocketAddr> = staying.map(|machine| machine.data_address).collect();
        balancers.sort_unstable();
        balancers.dedup();
        Ok(Self { balancers })
    }

    /// The balancers, in order.
    #[must_use]
    pub fn balancers(&self) -> &[SocketAddr] {
        &self.balancers
    }
}

/// Reads the platform's list again and again; while it can't be read, the last one stays.
pub async fn poll_platform(settings: PollSettings, machines: Arc<Mutex<MachineList>>) {
    let client = reqwest::Client::new();
    loop {
        match fetch(&client, &settings.platform).await {
            Ok(list) => {
                tokio::spawn(install_later(list, settings.lag, Arc::clone(&machines)));
            }
            Err(error) => warn!(%error, "the platform's list of balancers can't be read"),
        }
        tokio::time::sleep(settings.interval).await;
    }
}

async fn fetch(client: &reqwest::Client, platform: &str) -> anyhow::Result<MachineList> {
    let url = format!("{platform}{LIST_PATH}");
    let request = client.get(&url).timeout(REQUEST_TIMEOUT);
    let response = request.send().await?.error_for_status()?;
    let body = response.bytes().await?;
    MachineList::from_json(&body).context("read the list of balancers")
}

async fn install_later(list: MachineList, lag: Duration, machines: Arc<Mutex<MachineList>>) {
    tokio::time::sleep(lag).await;
    let mut current = machines.lock().unwrap_or_else(PoisonError::into_inner);
    if *current != list {
        info!(balancers = ?list.balancers, "the list of balancers has changed");
        *current = list;
    }
}
