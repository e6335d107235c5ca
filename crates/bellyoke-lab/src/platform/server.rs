//! Runs the stand-in, as a process or within one.

use super::http;
use super::object::metadata_text;
use super::options::{Options, USAGE};
use super::state::{Platform, WriteAction, WriteReply, WriteRequest};
use super::store::{Collection, ObjectKey, StoreLimits};
use anyhow::{Context, bail};
use lexopt::Parser;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

const BOOKMARK_INTERVAL: Duration = Duration::from_secs(1);
const DEFAULT_NAMESPACE: &str = "default";

/// A stand-in that runs until it is dropped.
#[derive(Debug)]
pub struct Server {
    /// Where the API is served.
    pub address: SocketAddr,
    /// Its state.
    pub platform: Arc<Platform>,
    task: JoinHandle<()>,
}

impl Server {
    /// Serves `platform` on `address`; port 0 stands for any free one.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn start(address: SocketAddr, platform: Arc<Platform>) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("bind {address}"))?;
        let address = listener.local_addr()?;
        let router = http::router(Arc::clone(&platform));
        let task = tokio::spawn(async move {
            gotham::bind_server(listener, router, |stream| {
                futures::future::ready(Ok(stream))
            })
            .await;
        });
        Ok(Self {
            address,
            platform,
            task,
        })
    }

    /// Waits for the end of the server, which comes by a failure only.
    ///
    /// # Errors
    /// Always: the server has failed.
    pub async fn failed(mut self) -> anyhow::Result<()> {
        (&mut self.task).await.context("the server has failed")
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Runs the subcommand.
///
/// # Errors
/// The command line is wrong, a file can't be read or the address can't be bound.
pub fn run(arguments: Parser) -> anyhow::Result<ExitCode> {
    let Some(options) = Options::parse(arguments)? else {
        print!("{USAGE}");
        return Ok(ExitCode::SUCCESS);
    };
    let platform = Platform::new(StoreLimits::default(), rand::random(), BOOKMARK_INTERVAL);
    for file in &options.objects {
        load(&platform, file).with_context(|| format!("load {}", file.display()))?;
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let server = Server::start(options.listen, Arc::new(platform)).await?;
        tracing::info!(address = %server.address, "serving the object API");
        server.failed().await
    })?;
    Ok(ExitCode::FAILURE)
}

fn load(platform: &Platform, file: &Path) -> anyhow::Result<()> {
    let content = std::fs::read(file)?;
    let object: Value = serde_json::from_slice(&content)?;
    match object["items"].as_array() {
        Some(items) => items
            .iter()
            .try_for_each(|item| load_object(platform, item)),
        None => load_object(platform, &object),
    }
}

fn load_object(platform: &Platform, object: &Value) -> anyhow::Result<()> {
    let request = WriteRequest {
        user_agent: "--object".to_owned(),
        key: object_key(object)?,
        action: WriteAction::Create(object.clone()),
    };
    let time = jiff::Timestamp::now().strftime("%Y-%m-%dT%H:%M:%SZ");
    match platform.write(request, &time.to_string()) {
        WriteReply::Done(..) | WriteReply::Lost(_) => Ok(()),
        WriteReply::Refused(refusal) => Err(refusal.into()),
    }
}

fn object_key(object: &Value) -> anyhow::Result<ObjectKey> {
    let api_version = object["apiVersion"].as_str().unwrap_or_default();
    let Some((group, version)) = api_version.split_once('/') else {
        bail!("apiVersion: {api_version:?} is not GROUP/VERSION");
    };
    let kind = object["kind"].as_str().unwrap_or_default();
    let name = metadata_text(object, "name");
    if kind.is_empty() || name.is_empty() {
        bail!("kind and metadata.name are required");
    }
    let namespace = metadata_text(object, "namespace");
    let namespace = if namespace.is_empty() {
        DEFAULT_NAMESPACE
    } else {
        namespace
    };
    Ok(ObjectKey {
        collection: Collection {
            group: group.to_owned(),
            version: version.to_owned(),
            plural: format!("{}s", kind.to_lowercase()),
        },
        namespace: namespace.to_owned(),
        name: name.to_owned(),
    })
}
