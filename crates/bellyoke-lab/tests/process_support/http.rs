//! Blocking HTTP client for the processes of a cluster.

use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::runtime::Runtime;

/// Timeout of each request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// A blocking HTTP client.
pub struct HttpClient {
    runtime: Runtime,
    client: reqwest::Client,
}

impl HttpClient {
    /// Creates a client with its own runtime.
    pub fn new() -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("build the runtime");
        Self {
            runtime,
            client: reqwest::Client::new(),
        }
    }

    /// Returns the decoded JSON body, or `None` if the request fails.
    pub fn get<T: DeserializeOwned>(&self, url: &str) -> Option<T> {
        let request = self.client.get(url).timeout(REQUEST_TIMEOUT);
        let body = self.runtime.block_on(async {
            let response = request.send().await?.error_for_status()?;
            response.json().await
        });
        body.ok()
    }

    /// Returns whether a GET request gets a success status.
    pub fn succeeds(&self, url: &str) -> bool {
        let request = self.client.get(url).timeout(REQUEST_TIMEOUT);
        let result = self.runtime.block_on(async { request.send().await });
        result.is_ok_and(|response| response.status().is_success())
    }

    /// Sends a DELETE request. Panics unless it succeeds.
    pub fn delete(&self, url: &str) {
        let request = self.client.delete(url).timeout(REQUEST_TIMEOUT);
        let result = self.runtime.block_on(async { request.send().await });
        let response = result.unwrap_or_else(|error| panic!("DELETE {url}: {error}"));
        let status = response.status();
        assert!(status.is_success(), "DELETE {url}: {status}");
    }

    /// Sends a POST request with a JSON body. Panics unless it succeeds.
    pub fn post(&self, url: &str, body: &'static str) {
        let request = self.client.post(url).timeout(REQUEST_TIMEOUT);
        let request = request.header("content-type", "application/json");
        let result = self
            .runtime
            .block_on(async { request.body(body).send().await });
        let response = result.unwrap_or_else(|error| panic!("POST {url}: {error}"));
        assert!(
            response.status().is_success(),
            "POST {url}: {}",
            response.status()
        );
    }
}
