//! Lists and watches one kind for as long as the process runs.

use super::client::{KubeStore, store_error};
use crate::backoff::Backoff;
use crate::convert::InvalidObject;
use crate::list_watch::{Action, ListVerdict, ListWatch};
use crate::store::StoreError;
use futures::StreamExt;
use kube::api::{Api, DynamicObject, ListParams, ResourceExt, WatchEvent, WatchParams};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};

const FIRST_DELAY: Duration = Duration::from_millis(50);
/// The server closes a watch after its time; one that outlives it by this much is dead.
const WATCH_GRACE: Duration = Duration::from_secs(5);
/// A watch that ends sooner, without an event, is a failure: the next one waits.
const SHORT_WATCH: Duration = Duration::from_secs(1);
const HTTP_GONE: u16 = 410;

/// The state of one kind, and the sign that it changed.
pub(super) struct Followed<T> {
    cache: Mutex<ListWatch<Result<T, InvalidObject>>>,
    changed: Arc<Notify>,
}

impl<T> Followed<T> {
    pub(super) fn new(changed: Arc<Notify>) -> Self {
        Self {
            cache: Mutex::new(ListWatch::default()),
            changed,
        }
    }

    pub(super) fn cache(&self) -> MutexGuard<'_, ListWatch<Result<T, InvalidObject>>> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One kind's reader.
pub(super) struct Follower<T> {
    pub(super) store: KubeStore,
    pub(super) api: Api<DynamicObject>,
    pub(super) convert: fn(DynamicObject) -> Result<T, InvalidObject>,
    pub(super) followed: Arc<Followed<T>>,
}

impl<T> Follower<T> {
    /// Never returns; failures are logged and tried again with back-off.
    pub(super) async fn run(self) {
        let mut backoff = Backoff::new(FIRST_DELAY, self.store.options().reconnect_ceiling);
        let mut refresh = self.store.refresh().subscribe();
        loop {
            let action = self.followed.cache().next_action();
            let result = match action {
                Action::List => self.list().await,
                Action::Watch { after } => self.watch(after, &mut backoff, &mut refresh).await,
            };
            match result {
                Ok(()) => backoff.reset(),
                Err(error) => {
                    tracing::warn!(%error, url = self.api.resource_url(), "reading the store failed");
                    let delay = backoff.next_delay(&mut rand::rng());
                    tokio::time::sleep(delay).await;
                }
            }
        }
    }

    async fn list(&self) -> Result<(), StoreError> {
        let parameters = ListParams::default();
        let list = self.store.request(self.api.list(&parameters)).await?;
        let revision = parse_version(list.metadata.resource_version.as_deref())?;
        let objects = list.items.into_iter();
        let objects = objects
            .map(|object| (object.name_any(), (self.convert)(object)))
            .collect();
        match self.followed.cache().listed(revision, objects) {
            ListVerdict::Taken => self.followed.changed.notify_one(),
            ListVerdict::Stale { known } => {
                let reason = format!("its list is of version {revision}, older than {known}");
                return Err(StoreError::Unavailable { reason });
            }
        }
        Ok(())
    }

    /// Follows one watch to its end. An end without a failure is followed by the next watch.
    async fn watch(
        &self,
        after: u64,
        backoff: &mut Backoff,
        refresh: &mut watch::Receiver<u64>,
    ) -> Result<(), StoreError> {
        let limit = self.store.options().watch_timeout;
        let seconds = u32::try_from(limit.as_secs()).unwrap_or(u32::MAX).max(1);
        let parameters = WatchParams::default().timeout(seconds);
        let version = after.to_string();
        let opened = self.api.watch(&parameters, &version);
        let mut events = match self.store.request(opened).await {
            Ok(events) => events.boxed(),
            Err(error) => return self.watch_failed(error),
        };
        let opened_at = Instant::now();
        let mut received = false;
        loop {
            let next = tokio::select! {
                next = tokio::time::timeout(limit + WATCH_GRACE, events.next()) => next,
                Ok(()) = refresh.changed() => {
                    self.followed.cache().expired();
                    return Ok(());
                }
            };
            match next {
                Ok(Some(Ok(event))) => {
                    received = true;
                    backoff.reset();
                    self.take(event)?;
                }
                Ok(Some(Err(error))) => return self.watch_failed(store_error(error)),
                Ok(None) if received || opened_at.elapsed() >= SHORT_WATCH => return Ok(()),
                Ok(None) => return Err(unavailable("the watch ended at once")),
                Err(_) => return Err(unavailable("the watch went silent")),
            }
        }
    }

    fn take(&self, event: WatchEvent<DynamicObject>) -> Result<(), StoreError> {
        let changed = match event {
            WatchEvent::Added(object) | WatchEvent::Modified(object) => {
                let revision = parse_version(object.metadata.resource_version.as_deref())?;
                let name = object.name_any();
                let object = (self.convert)(object);
                self.followed.cache().applied(revision, name, object)
            }
            WatchEvent::Deleted(object) => {
                let revision = parse_version(object.metadata.resource_version.as_deref())?;
                let name = object.name_any();
                self.followed.cache().deleted(revision, &name)
            }
            WatchEvent::Bookmark(bookmark) => {
                let revision = parse_version(Some(&bookmark.metadata.resource_version))?;
                self.followed.cache().bookmarked(revision)
            }
            WatchEvent::Error(status) => {
                return self.watch_failed(store_error(kube::Error::Api(status)));
            }
        };
        if changed {
            self.followed.changed.notify_one();
        }
        Ok(())
    }

    /// Changes that the store has forgotten are made up for by a list, at once.
    fn watch_failed(&self, error: StoreError) -> Result<(), StoreError> {
        if matches!(error, StoreError::Refused { code, .. } if code == HTTP_GONE) {
            self.followed.cache().expired();
            tracing::info!(
                url = self.api.resource_url(),
                "watch expired: listing again"
            );
        }
        Err(error)
    }
}

fn unavailable(reason: &str) -> StoreError {
    StoreError::Unavailable {
        reason: reason.to_owned(),
    }
}

/// Kubernetes API conventions: versions of one store are compared as integers.
fn parse_version(version: Option<&str>) -> Result<u64, StoreError> {
    let version = version.unwrap_or_default();
    version.parse().map_err(|_| StoreError::Unavailable {
        reason: format!("resource version {version:?} is not a number"),
    })
}
