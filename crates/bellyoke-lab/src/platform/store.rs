//! Versioned objects in memory, without IO or clock.

use super::object::{metadata_text, set_metadata, without_bookkeeping};
use super::refusal::Refusal;
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// Limits of a store.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Most objects of all kinds together.
    pub objects: usize,
    /// Most changes that are remembered for watches.
    pub history: usize,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            objects: 100_000,
            history: 10_000,
        }
    }
}

/// All objects of one kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Collection {
    /// API group.
    pub group: String,
    /// Version of the group.
    pub version: String,
    /// Plural of the kind.
    pub plural: String,
}

impl Collection {
    /// Group and version as objects name them.
    #[must_use]
    pub fn api_version(&self) -> String {
        format!("{}/{}", self.group, self.version)
    }
}

/// Names an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObjectKey {
    /// Its kind.
    pub collection: Collection,
    /// Its namespace.
    pub namespace: String,
    /// Its name.
    pub name: String,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Collection { group, plural, .. } = &self.collection;
        write!(formatter, "{plural}.{group} \"{}\"", self.name)
    }
}

/// The objects of a kind, in one namespace or in all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scope {
    /// The kind.
    pub collection: Collection,
    /// The namespace; all when none.
    pub namespace: Option<String>,
}

impl Scope {
    fn contains(&self, key: &ObjectKey) -> bool {
        let namespace = self.namespace.as_ref();
        key.collection == self.collection
            && namespace.is_none_or(|namespace| *namespace == key.namespace)
    }
}

/// Objects as of one version.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectList {
    /// The version.
    pub version: u64,
    /// The objects.
    pub items: Vec<Value>,
}

/// One change of one object.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Version that the store got by it.
    pub version: u64,
    /// The object.
    pub key: ObjectKey,
    /// What it was; none if it was created.
    pub before: Option<Value>,
    /// What it is; none if it was deleted.
    pub after: Option<Value>,
}

/// What must be true of an object for a deletion.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Preconditions {
    /// Its UID.
    pub uid: Option<String>,
    /// Its version.
    pub resource_version: Option<String>,
}

/// Versioned objects of any kind.
#[derive(Clone, Debug)]
pub struct ObjectStore {
    limits: StoreLimits,
    seed: u64,
    version: u64,
    objects: BTreeMap<ObjectKey, Value>,
    history: VecDeque<Change>,
    /// Version after which all changes are in the history.
    oldest: u64,
    /// Oldest version that a watch may start from.
    watchable: u64,
}

impl ObjectStore {
    /// An empty store. `seed` makes its UIDs differ from those of other stores.
    #[must_use]
    pub const fn new(limits: StoreLimits, seed: u64) -> Self {
        Self {
            limits,
            seed,
            version: 1,
            objects: BTreeMap::new(),
            history: VecDeque::new(),
            oldest: 1,
            watchable: 1,
        }
    }

    /// The version of the whole store.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// One object.
    ///
    /// # Errors
    /// There is none.
    pub fn get(&self, key: &ObjectKey) -> Result<&Value, Refusal> {
        self.objects.get(key).ok_or_else(|| Refusal::NotFound {
            object: key.to_string(),
        })
    }

    /// All objects of a scope.
    #[must_use]
    pub fn list(&self, scope: &Scope) -> ObjectList {
        let items = self.objects.iter();
        let items = items.filter(|(key, _)| scope.contains(key));
        ObjectList {
            version: self.version,
            items: items.map(|(_, object)| object.clone()).collect(),
        }
    }

    /// All objects of a scope as they were `age` versions ago, or as long ago as is known.
    #[must_use]
    pub fn list_past(&self, scope: &Scope, age: u64) -> ObjectList {
        let version = self.version.saturating_sub(age).max(self.oldest);
        let mut objects: BTreeMap<&ObjectKey, &Value> = self.objects.iter().collect();
        let undone = self.history.iter().rev();
        for change in undone.take_while(|change| change.version > version) {
            match &change.before {
                Some(before) => objects.insert(&change.key, before),
                None => objects.remove(&change.key),
            };
        }
        let items = objects.into_iter();
        let items = items.filter(|(key, _)| scope.contains(key));
        ObjectList {
            version,
            items: items.map(|(_, object)| object.clone()).collect(),
        }
    }

    /// The changes of a scope after `version`, in order.
    ///
    /// # Errors
    /// Some of them are forgotten, or the version lies ahead.
    pub fn changes_after(
        &self,
        scope: &Scope,
        version: u64,
    ) -> Result<impl Iterator<Item = &Change>, Refusal> {
        let oldest = self.oldest.max(self.watchable);
        if version < oldest {
            return Err(Refusal::Expired { version, oldest });
        }
        if version > self.version {
            let current = self.version;
            return Err(Refusal::VersionAhead { version, current });
        }
        let start = self
            .history
            .partition_point(|change| change.version <= version);
        let changes = self.history.range(start..);
        Ok(changes.filter(|change| scope.contains(&change.key)))
    }

    /// Keeps the changes so far from watches: those from older versions must list again.
    pub const fn expire_watches(&mut self) {
        self.watchable = self.version;
    }

    /// Creates an object. `time` is RFC 3339.
    ///
    /// # Errors
    /// The name is taken or missing, the store is full or the object names a version.
    pub fn create(
        &mut self,
        key: &ObjectKey,
        mut object: Value,
        time: &str,
    ) -> Result<Value, Refusal> {
        if self.objects.contains_key(key) {
            return Err(Refusal::AlreadyExists {
                object: key.to_string(),
            });
        }
        if self.objects.len() >= self.limits.objects {
            let limit = self.limits.objects;
            return Err(Refusal::Full { limit });
        }
        if !metadata_text(&object, "resourceVersion").is_empty() {
            return Err(Refusal::BadRequest {
                message: "resourceVersion should not be set on objects to be created".to_owned(),
            });
        }
        let uid = format!(
            "{:08x}-0000-4000-8000-{:012x}",
            self.seed as u32,
            self.version + 1
        );
        set_metadata(&mut object, "uid", uid);
        set_metadata(&mut object, "creationTimestamp", time);
        set_metadata(&mut object, "generation", 1);
        Ok(self.store(key, object))
    }

    /// Replaces the version of an object that the new one names.
    ///
    /// # Errors
    /// The object isn't there or has another version or UID.
    pub fn replace(&mut self, key: &ObjectKey, object: Value) -> Result<Value, Refusal> {
        if metadata_text(&object, "resourceVersion").is_empty() {
            return Err(Refusal::Invalid {
                field: "metadata.resourceVersion",
                message: "must be specified for an update".to_owned(),
            });
        }
        self.update(key, object)
    }

    /// Changes an object by `patch`, under the condition of the version that the result names.
    ///
    /// # Errors
    /// The object isn't there, or the patch fails or names another version or UID.
    pub fn patch(
        &mut self,
        key: &ObjectKey,
        patch: impl FnOnce(&mut Value) -> Result<(), Refusal>,
    ) -> Result<Value, Refusal> {
        let mut object = self.get(key)?.clone();
        patch(&mut object)?;
        self.update(key, object)
    }

    /// Deletes an object and returns what it was.
    ///
    /// # Errors
    /// The object isn't there or doesn't fulfil the preconditions.
    pub fn delete(
        &mut self,
        key: &ObjectKey,
        preconditions: &Preconditions,
    ) -> Result<Value, Refusal> {
        let object = self.get(key)?;
        let differs = |expected: &Option<String>, field| {
            let found = metadata_text(object, field);
            expected.as_ref().is_some_and(|expected| expected != found)
        };
        if differs(&preconditions.uid, "uid")
            || differs(&preconditions.resource_version, "resourceVersion")
        {
            return Err(conflict(key));
        }
        let object = object.clone();
        self.objects.remove(key);
        self.version += 1;
        self.remember(key, Some(object.clone()), None);
        Ok(object)
    }

    fn update(&mut self, key: &ObjectKey, mut object: Value) -> Result<Value, Refusal> {
        let current = self.get(key)?;
        let version = metadata_text(&object, "resourceVersion");
        let uid = metadata_text(&object, "uid");
        let same_uid = uid.is_empty() || uid == metadata_text(current, "uid");
        if version != metadata_text(current, "resourceVersion") || !same_uid {
            return Err(conflict(key));
        }
        for field in ["uid", "creationTimestamp", "generation"] {
            set_metadata(&mut object, field, current["metadata"][field].clone());
        }
        if without_bookkeeping(&object) == without_bookkeeping(current) {
            return Ok(current.clone());
        }
        if object["spec"] != current["spec"] {
            let generation = current["metadata"]["generation"].as_u64().unwrap_or(0) + 1;
            set_metadata(&mut object, "generation", generation);
        }
        Ok(self.store(key, object))
    }

    fn store(&mut self, key: &ObjectKey, mut object: Value) -> Value {
        self.version += 1;
        set_metadata(&mut object, "name", key.name.as_str());
        set_metadata(&mut object, "namespace", key.namespace.as_str());
        set_metadata(&mut object, "resourceVersion", self.version.to_string());
        let before = self.objects.insert(key.clone(), object.clone());
        self.remember(key, before, Some(object.clone()));
        object
    }

    fn remember(&mut self, key: &ObjectKey, before: Option<Value>, after: Option<Value>) {
        self.history.push_back(Change {
            version: self.version,
            key: key.clone(),
            before,
            after,
        });
        while self.history.len() > self.limits.history {
            if let Some(forgotten) = self.history.pop_front() {
                self.oldest = forgotten.version;
            }
        }
    }
}

fn conflict(key: &ObjectKey) -> Refusal {
    Refusal::Conflict {
        object: key.to_string(),
    }
}
