//! The body of the answer to a watch: one JSON event a line.

use super::object::labels;
use super::refusal::Refusal;
use super::selector::LabelSelector;
use super::state::{Platform, Progress};
use super::store::{Change, Scope};
use futures::Stream;
use gotham::bytes::Bytes;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// What a client wants to watch.
#[derive(Clone, Debug)]
pub struct WatchRequest {
    /// Its `User-Agent`.
    pub user_agent: String,
    /// Which objects.
    pub scope: Scope,
    /// Which of these.
    pub selector: LabelSelector,
    /// Changes after this version; when none, all objects first.
    pub after: Option<u64>,
    /// Whether to tell the version now and then without a change.
    pub bookmarks: bool,
    /// When the answer ends.
    pub timeout: Duration,
}

/// One open watch.
struct Watch {
    platform: Arc<Platform>,
    request: WatchRequest,
    progress: watch::Receiver<Progress>,
    cuts: u64,
    /// Version up to which the client knows all changes.
    cursor: u64,
    /// Version that the client was last told.
    told: u64,
    ends: Instant,
    next_bookmark: Instant,
    /// Events to be sent before anything else.
    first: Vec<u8>,
    over: bool,
}

/// Opens a watch. Its stream holds one position and no queue: a slow client makes it wait.
///
/// # Errors
/// The changes after the version are forgotten or lie ahead.
pub fn open(
    platform: &Arc<Platform>,
    request: WatchRequest,
) -> Result<impl Stream<Item = std::io::Result<Bytes>> + Send + use<>, Refusal> {
    let progress = platform.subscribe();
    let cuts = progress.borrow().cuts;
    let mut contents = platform.contents();
    let mut first = Vec::new();
    let cursor = match request.after {
        Some(after) => contents
            .store
            .changes_after(&request.scope, after)
            .map(|_| after)?,
        None => {
            let list = contents.store.list(&request.scope);
            let items = list.items.iter();
            for object in items.filter(|object| request.selector.matches(&labels(object))) {
                push_event(&mut first, "ADDED", object);
            }
            list.version
        }
    };
    contents
        .audit
        .count(&request.user_agent, super::audit::Verb::Watch);
    drop(contents);
    let now = Instant::now();
    let watch = Watch {
        platform: Arc::clone(platform),
        progress,
        cuts,
        cursor,
        told: request.after.unwrap_or(0),
        ends: now + request.timeout,
        next_bookmark: now + platform.bookmark_interval(),
        first,
        over: false,
        request,
    };
    Ok(futures::stream::unfold(watch, |mut watch| async move {
        let events = watch.next_events().await?;
        Some((Ok(Bytes::from(events)), watch))
    }))
}

impl Watch {
    async fn next_events(&mut self) -> Option<Vec<u8>> {
        if !self.first.is_empty() {
            self.told = self.cursor;
            return Some(std::mem::take(&mut self.first));
        }
        loop {
            let now = Instant::now();
            if self.over || now >= self.ends || self.progress.borrow_and_update().cuts != self.cuts
            {
                return None;
            }
            let events = self.gather(now);
            if !events.is_empty() {
                return Some(events);
            }
            let wake = self.ends.min(self.next_bookmark);
            tokio::select! {
                changed = self.progress.changed() => changed.ok()?,
                () = tokio::time::sleep_until(wake) => {}
            }
        }
    }

    fn gather(&mut self, now: Instant) -> Vec<u8> {
        let mut events = Vec::new();
        let contents = self.platform.contents();
        match contents
            .store
            .changes_after(&self.request.scope, self.cursor)
        {
            Ok(changes) => {
                for change in changes {
                    push_change(&mut events, change, &self.request.selector);
                }
                self.cursor = contents.store.version();
            }
            Err(refusal) => {
                self.over = true;
                push_event(&mut events, "ERROR", &refusal.status());
            }
        }
        drop(contents);
        if !events.is_empty() {
            self.told = self.cursor;
        } else if self.request.bookmarks && now >= self.next_bookmark {
            self.next_bookmark = now + self.platform.bookmark_interval();
            if self.told < self.cursor {
                self.told = self.cursor;
                push_event(&mut events, "BOOKMARK", &self.bookmark());
            }
        }
        events
    }

    fn bookmark(&self) -> Value {
        json!({
            "apiVersion": self.request.scope.collection.api_version(),
            "kind": "Bookmark",
            "metadata": { "resourceVersion": self.cursor.to_string() },
        })
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        let mut contents = self.platform.contents();
        contents.audit.watch_ended(&self.request.user_agent);
    }
}

/// To a client with a selector an object comes and goes as it matches or not.
fn push_change(events: &mut Vec<u8>, change: &Change, selector: &LabelSelector) {
    let matching = |object: &Option<Value>| {
        let object = object.as_ref();
        object.is_some_and(|object| selector.matches(&labels(object)))
    };
    let kind = match (matching(&change.before), matching(&change.after)) {
        (false, false) => return,
        (false, true) => "ADDED",
        (true, true) => "MODIFIED",
        (true, false) => "DELETED",
    };
    let object = change.after.as_ref().or(change.before.as_ref());
    if let Some(object) = object {
        let mut object = object.clone();
        super::object::set_metadata(&mut object, "resourceVersion", change.version.to_string());
        push_event(events, kind, &object);
    }
}

fn push_event(events: &mut Vec<u8>, kind: &str, object: &Value) {
    let event = json!({ "type": kind, "object": object });
    events.extend_from_slice(event.to_string().as_bytes());
    events.push(b'\n');
}
