//! Who read and who wrote what.

use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

const CLIENT_LIMIT: usize = 4_096;
const OTHER_CLIENTS: &str = "(others)";
const WRITE_LIMIT: usize = 100_000;

/// What a request did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Verb {
    /// Read one object.
    Get,
    /// Read all objects of a scope.
    List,
    /// Follow the changes of a scope.
    Watch,
    /// Create an object.
    Create,
    /// Replace an object.
    Update,
    /// Change fields of an object.
    Patch,
    /// Delete an object.
    Delete,
}

/// Requests of one client.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClientCounts {
    /// Reads of one object.
    pub gets: u64,
    /// Lists.
    pub lists: u64,
    /// Watches that were opened.
    pub watches: u64,
    /// Watches that are open.
    pub open_watches: u64,
    /// Writes, whatever came of them.
    pub writes: u64,
}

/// One write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WriteRecord {
    /// Its client.
    pub user_agent: String,
    /// What it did.
    pub verb: Verb,
    /// Plural of the object's kind.
    pub plural: String,
    /// The object's namespace.
    pub namespace: String,
    /// The object's name.
    pub name: String,
    /// The id that its client gave it.
    pub operation_id: Option<String>,
    /// Version of the store after it, if it took effect.
    pub version: Option<u64>,
    /// HTTP status code of the answer; none if the answer was lost.
    pub code: Option<u16>,
}

/// All requests so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Audit {
    /// Counts by `User-Agent`.
    pub clients: BTreeMap<String, ClientCounts>,
    /// Writes, in the order in which they took effect or were refused.
    pub writes: VecDeque<WriteRecord>,
}

impl Audit {
    /// Counts a read or the opening of a watch.
    pub fn count(&mut self, user_agent: &str, verb: Verb) {
        let client = self.client(user_agent);
        match verb {
            Verb::Get => client.gets += 1,
            Verb::List => client.lists += 1,
            Verb::Watch => {
                client.watches += 1;
                client.open_watches += 1;
            }
            Verb::Create | Verb::Update | Verb::Patch | Verb::Delete => client.writes += 1,
        }
    }

    /// Counts the end of a watch.
    pub fn watch_ended(&mut self, user_agent: &str) {
        let client = self.client(user_agent);
        client.open_watches = client.open_watches.saturating_sub(1);
    }

    /// Counts and remembers a write.
    pub fn record(&mut self, write: WriteRecord) {
        self.count(&write.user_agent, write.verb);
        self.writes.push_back(write);
        if self.writes.len() > WRITE_LIMIT {
            self.writes.pop_front();
        }
    }

    fn client(&mut self, user_agent: &str) -> &mut ClientCounts {
        let known = self.clients.contains_key(user_agent);
        let room = self.clients.len() < CLIENT_LIMIT;
        let name = if known || room {
            user_agent
        } else {
            OTHER_CLIENTS
        };
        self.clients.entry(name.to_owned()).or_default()
    }
}
