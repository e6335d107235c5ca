//! The store with its faults and its audit, as one state that all connections share.

use super::audit::{Audit, Verb, WriteRecord};
use super::faults::{FaultChange, Faults, LostAnswer};
use super::object::operation_id;
use super::refusal::Refusal;
use super::selector::LabelSelector;
use super::store::{ObjectKey, ObjectList, ObjectStore, Preconditions, Scope, StoreLimits};
use gotham::hyper::StatusCode;
use serde_json::Value;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// What a write does to its object.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteAction {
    /// Creates it.
    Create(Value),
    /// Replaces it.
    Replace(Value),
    /// JSON merge patch (RFC 7396).
    MergePatch(Value),
    /// JSON patch (RFC 6902).
    JsonPatch(json_patch::Patch),
    /// Deletes it.
    Delete(Preconditions),
}

impl WriteAction {
    const fn verb(&self) -> Verb {
        match self {
            Self::Create(_) => Verb::Create,
            Self::Replace(_) => Verb::Update,
            Self::MergePatch(_) | Self::JsonPatch(_) => Verb::Patch,
            Self::Delete(_) => Verb::Delete,
        }
    }

    const fn success(&self) -> StatusCode {
        match self {
            Self::Create(_) => StatusCode::CREATED,
            _ => StatusCode::OK,
        }
    }
}

/// A write by a client.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteRequest {
    /// Its `User-Agent`.
    pub user_agent: String,
    /// The object.
    pub key: ObjectKey,
    /// What is done to it.
    pub action: WriteAction,
}

/// What the client of a write gets.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteReply {
    /// The object.
    Done(StatusCode, Value),
    /// A refusal.
    Refused(Refusal),
    /// No answer, though the write took effect.
    Lost(LostAnswer),
}

/// What open watches wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Version of the store.
    pub version: u64,
    /// Counts the cuts of all watches.
    pub cuts: u64,
}

/// What is behind the lock.
#[derive(Debug)]
pub struct Contents {
    /// The objects.
    pub store: ObjectStore,
    /// The faults that are on.
    pub faults: Faults,
    /// The requests so far.
    pub audit: Audit,
}

/// The state that all connections share.
#[derive(Debug)]
pub struct Platform {
    contents: Mutex<Contents>,
    progress: watch::Sender<Progress>,
    bookmark_interval: Duration,
}

impl Platform {
    /// An empty platform, which tells idle watches its version once each
    /// `bookmark_interval`.
    #[must_use]
    pub fn new(limits: StoreLimits, seed: u64, bookmark_interval: Duration) -> Self {
        let contents = Contents {
            store: ObjectStore::new(limits, seed),
            faults: Faults::default(),
            audit: Audit::default(),
        };
        let progress = Progress {
            version: contents.store.version(),
            cuts: 0,
        };
        Self {
            contents: Mutex::new(contents),
            progress: watch::Sender::new(progress),
            bookmark_interval,
        }
    }

    /// Locks the contents.
    pub fn contents(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells of changes and cuts.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// See [`Self::new`].
    #[must_use]
    pub const fn bookmark_interval(&self) -> Duration {
        self.bookmark_interval
    }

    /// Turns faults on or off.
    pub fn change_faults(&self, change: &FaultChange) -> Faults {
        let mut contents = self.contents();
        contents.faults.apply(change);
        if change.expire_watches {
            contents.store.expire_watches();
        }
        let faults = contents.faults;
        drop(contents);
        if change.cut_watches || faults.down {
            self.progress.send_modify(|progress| progress.cuts += 1);
        }
        faults
    }

    /// Admits a request: fails while the store is down, else says for how long its answer is
    /// held back.
    ///
    /// # Errors
    /// The store is down.
    pub fn admit(&self) -> Result<Duration, Refusal> {
        let faults = self.contents().faults;
        if faults.down {
            return Err(Refusal::Down);
        }
        Ok(Duration::from_millis(faults.delay_ms))
    }

    /// Reads one object.
    ///
    /// # Errors
    /// There is none.
    pub fn read(&self, user_agent: &str, key: &ObjectKey) -> Result<Value, Refusal> {
        let mut contents = self.contents();
        contents.audit.count(user_agent, Verb::Get);
        contents.store.get(key).cloned()
    }

    /// Reads the objects of a scope.
    #[must_use]
    pub fn list(&self, user_agent: &str, scope: &Scope, selector: &LabelSelector) -> ObjectList {
        let mut contents = self.contents();
        contents.audit.count(user_agent, Verb::List);
        let mut list = if contents.faults.stale_list {
            let age = contents.faults.stale_versions;
            contents.store.list_past(scope, age)
        } else {
            contents.store.list(scope)
        };
        list.items
            .retain(|object| selector.matches(&super::object::labels(object)));
        list
    }

    /// Performs a write. `time` is RFC 3339.
    #[must_use]
    pub fn write(&self, request: WriteRequest, time: &str) -> WriteReply {
        let mut contents = self.contents();
        let mut record = new_record(&request);
        let success = request.action.success();
        let before = contents.store.version();
        let result = if contents.faults.take_conflict() {
            Err(Refusal::Conflict {
                object: request.key.to_string(),
            })
        } else {
            perform(&mut contents.store, request, time)
        };
        let reply = match result {
            Err(refusal) => WriteReply::Refused(refusal),
            Ok(object) => {
                record.version = Some(contents.store.version());
                match contents.faults.take_lost_answer() {
                    Some(how) => WriteReply::Lost(how),
                    None => WriteReply::Done(success, object),
                }
            }
        };
        record.code = match &reply {
            WriteReply::Done(code, _) => Some(code.as_u16()),
            WriteReply::Refused(refusal) => Some(refusal.code().as_u16()),
            WriteReply::Lost(_) => None,
        };
        contents.audit.record(record);
        let version = contents.store.version();
        drop(contents);
        if version != before {
            self.announce(version);
        }
        reply
    }

    fn announce(&self, version: u64) {
        self.progress.send_modify(|progress| {
            progress.version = progress.version.max(version);
        });
    }
}

fn new_record(request: &WriteRequest) -> WriteRecord {
    let operation_id = match &request.action {
        WriteAction::Create(object)
        | WriteAction::Replace(object)
        | WriteAction::MergePatch(object) => operation_id(object),
        WriteAction::JsonPatch(_) | WriteAction::Delete(_) => None,
    };
    WriteRecord {
        user_agent: request.user_agent.clone(),
        verb: request.action.verb(),
        plural: request.key.collection.plural.clone(),
        namespace: request.key.namespace.clone(),
        name: request.key.name.clone(),
        operation_id,
        version: None,
        code: None,
    }
}

fn perform(store: &mut ObjectStore, request: WriteRequest, time: &str) -> Result<Value, Refusal> {
    let key = &request.key;
    match request.action {
        WriteAction::Create(object) => store.create(key, object, time),
        WriteAction::Replace(object) => store.replace(key, object),
        WriteAction::MergePatch(patch) => store.patch(key, |object| {
            json_patch::merge(object, &patch);
            Ok(())
        }),
        WriteAction::JsonPatch(patch) => store.patch(key, |object| {
            json_patch::patch(object, &patch).map_err(|error| Refusal::Invalid {
                field: "patch",
                message: error.to_string(),
            })
        }),
        WriteAction::Delete(preconditions) => store.delete(key, &preconditions),
    }
}
