//! The operator API of a balancer.

use crate::arguments::Options;
use crate::failure::Failure;
use bellyoke_api::result_code::ResultCode;
use bellyoke_api::status::NodeStatus;
use kube::{Client, Config};
use std::time::Duration;

const STATUS_PATH: &str = "/v1/status";
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection to one balancer.
pub struct BalancerClient {
    client: Client,
    url: String,
}

impl BalancerClient {
    /// Connects to the balancer that the flags name.
    ///
    /// # Errors
    /// When they name none, or not by a URL.
    pub fn connect(options: &Options) -> Result<Self, Failure> {
        let Some(url) = &options.balancer else {
            let message = "the command needs --balancer URL";
            return Err(Failure::new(ResultCode::MissingArgument, message));
        };
        let bad_url = |error: &dyn std::fmt::Display| {
            Failure::new(
                ResultCode::BadArgument,
                format!("--balancer {url}: {error}"),
            )
        };
        let mut config = Config::new(url.parse().map_err(|error| bad_url(&error))?);
        config.connect_timeout = Some(REQUEST_TIMEOUT);
        config.read_timeout = Some(REQUEST_TIMEOUT);
        config.default_retry = false;
        let client = Client::try_from(config).map_err(|error| bad_url(&error))?;
        let url = url.clone();
        Ok(Self { client, url })
    }

    /// What the balancer knows of itself and its cluster.
    ///
    /// # Errors
    /// When it doesn't answer, or not with a status.
    pub async fn status(&self) -> Result<NodeStatus, Failure> {
        let unreachable = |error: &dyn std::fmt::Display| {
            let message = format!("{}{STATUS_PATH}: {error}", self.url);
            Failure::new(ResultCode::BalancerUnreachable, message)
        };
        let request = http::Request::get(STATUS_PATH).body(Vec::new());
        let request = request.map_err(|error| unreachable(&error))?;
        let answer = self.client.request::<NodeStatus>(request);
        let answer = tokio::time::timeout(REQUEST_TIMEOUT, answer).await;
        let answer = answer.map_err(|error| unreachable(&error))?;
        answer.map_err(|error| unreachable(&error))
    }
}
