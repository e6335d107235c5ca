//! The connection, its limits and its errors.

use crate::kinds::{GROUP, VERSION};
use crate::settle::RetryBudget;
use crate::store::StoreError;
use bellyoke_core::time::Timestamp;
use http::{HeaderValue, Uri, header};
use kube::api::{Api, DynamicObject, Resource};
use kube::core::{ApiResource, NamespaceResourceScope};
use kube::{Client, Config};
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

const RETRY_BUDGET_CAPACITY: u32 = 20;
const RETRY_BUDGET_REFILL: Duration = Duration::from_secs(1);

/// How the store is reached.
#[derive(Clone, Debug)]
pub struct KubeStoreOptions {
    /// Base URL of the API.
    pub url: String,
    /// Namespace of the cluster's objects.
    pub namespace: String,
    /// `User-Agent` of all requests.
    pub user_agent: String,
    /// Longest wait for the answer to a request.
    pub request_timeout: Duration,
    /// How long one watch request runs; also the longest time a dead connection goes unseen.
    pub watch_timeout: Duration,
    /// How long changes are gathered before a new state is yielded.
    pub debounce: Duration,
    /// Longest delay between attempts to read.
    pub reconnect_ceiling: Duration,
    /// Most further requests that settle one write.
    pub write_retries: u32,
}

impl KubeStoreOptions {
    /// The defaults for everything but the three that have none.
    #[must_use]
    pub fn new(url: &str, namespace: &str, user_agent: &str) -> Self {
        Self {
            url: url.to_owned(),
            namespace: namespace.to_owned(),
            user_agent: user_agent.to_owned(),
            request_timeout: Duration::from_secs(5),
            watch_timeout: Duration::from_secs(60),
            debounce: Duration::from_millis(20),
            reconnect_ceiling: Duration::from_secs(5),
            write_retries: 8,
        }
    }
}

/// A store that is reached by the `kube` client. Cheap to clone.
#[derive(Clone)]
pub struct KubeStore {
    client: Client,
    options: Arc<KubeStoreOptions>,
    budget: Arc<Mutex<RetryBudget>>,
    started: Instant,
    refresh: Arc<watch::Sender<u64>>,
}

impl KubeStore {
    /// Makes the client. No request is sent yet. Must be called within a tokio runtime.
    ///
    /// # Errors
    /// The URL or the user agent is malformed.
    pub fn connect(options: &KubeStoreOptions) -> Result<Self, StoreError> {
        let address_error = || StoreError::Address {
            value: options.url.clone(),
        };
        let url: Uri = options.url.parse().map_err(|_| address_error())?;
        if url.scheme().is_none() || url.authority().is_none() {
            return Err(address_error());
        }
        let user_agent =
            HeaderValue::from_str(&options.user_agent).map_err(|_| StoreError::UserAgent {
                value: options.user_agent.clone(),
            })?;
        let mut config = Config::new(url);
        config.default_namespace.clone_from(&options.namespace);
        config.connect_timeout = Some(options.request_timeout);
        config.headers.push((header::USER_AGENT, user_agent));
        // Its retries repeat writes whose outcome is open.
        config.default_retry = false;
        let client = Client::try_from(config).map_err(|error| StoreError::Client(error.into()))?;
        Ok(Self {
            client,
            options: Arc::new(options.clone()),
            budget: Arc::new(Mutex::new(RetryBudget::new(
                RETRY_BUDGET_CAPACITY,
                RETRY_BUDGET_REFILL,
            ))),
            started: Instant::now(),
            refresh: Arc::new(watch::Sender::new(0)),
        })
    }

    /// The options that the store was connected with.
    #[must_use]
    pub fn options(&self) -> &KubeStoreOptions {
        &self.options
    }

    pub(super) fn api<K>(&self) -> Api<K>
    where
        K: Resource<Scope = NamespaceResourceScope, DynamicType = ()>,
    {
        Api::namespaced(self.client.clone(), &self.options.namespace)
    }

    /// Objects of the kind `K` whose fields aren't looked at yet.
    pub(super) fn untyped_api<K>(&self) -> Api<DynamicObject>
    where
        K: Resource<DynamicType = ()>,
    {
        let resource = ApiResource::erase::<K>(&());
        debug_assert_eq!((&*resource.group, &*resource.version), (GROUP, VERSION));
        Api::namespaced_with(self.client.clone(), &self.options.namespace, &resource)
    }

    pub(super) fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.started.elapsed())
    }

    /// Counts the calls of [`crate::store::ObjectReader::refresh_objects`].
    pub(super) fn refresh(&self) -> &watch::Sender<u64> {
        &self.refresh
    }

    /// Runs a request within the time limit.
    pub(super) async fn request<T>(
        &self,
        request: impl Future<Output = Result<T, kube::Error>>,
    ) -> Result<T, StoreError> {
        match tokio::time::timeout(self.options.request_timeout, request).await {
            Ok(answer) => answer.map_err(store_error),
            Err(_) => Err(StoreError::Unavailable {
                reason: format!("no answer within {:?}", self.options.request_timeout),
            }),
        }
    }
}

/// A definite refusal is told from an answer that leaves the outcome open: server errors (5xx)
/// may come after the effect.
pub(super) fn store_error(error: kube::Error) -> StoreError {
    match error {
        kube::Error::Api(status) if (400..500).contains(&status.code) => StoreError::Refused {
            code: status.code,
            reason: status.reason.clone(),
            message: status.message.clone(),
        },
        other => StoreError::Unavailable {
            reason: other.to_string(),
        },
    }
}
