//! The platform's store: lists and watches over HTTP/1.1, as PROTOCOL ("The platform's metadata store") describes them.
//!
//! All state is a log of changes. A stale read sees the log as it was `stale_lag` ago.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Change {
    at: Instant,
    revision: u64,
    created: u64,
    kind: String,
    name: String,
    /// `None` if the object was deleted.
    spec: Option<String>,
}

struct State {
    log: Vec<Change>,
    revision: u64,
}

pub struct Store {
    /// By node: when it last called a watch, and whether that was for the newest state.
    watches: Mutex<BTreeMap<usize, (Instant, bool)>>,
    state: Mutex<State>,
    changed: Condvar,
    stale_lag: Duration,
}

impl Store {
    pub fn new(stale_lag: Duration) -> Arc<Self> {
        let state = State {
            revision: 100,
            log: Vec::new(),
        };
        Arc::new(Self {
            watches: Mutex::default(),
            state: Mutex::new(state),
            changed: Condvar::new(),
            stale_lag,
        })
    }

    /// Makes or replaces an object, and returns when the store has acknowledged that. A replacement by the same content
    /// changes nothing.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        let mut state = self.state.lock().unwrap();
        let last = state
            .log
            .iter()
            .rev()
            .find(|change| change.kind == kind && change.name == name)
            .cloned();
        let present = last.filter(|change| change.spec.is_some());
        if present
            .as_ref()
            .is_some_and(|change| change.spec.as_deref() == Some(spec))
        {
            return Instant::now();
        }
        state.revision += 1;
        let revision = state.revision;
        let created = present.map_or(revision, |change| change.created);
        let at = Instant::now();
        state.log.push(Change {
            at,
            revision,
            created,
            kind: kind.into(),
            name: name.into(),
            spec: Some(spec.into()),
        });
        self.changed.notify_all();
        at
    }

    /// Deletes an object and returns when the store has acknowledged that.
    pub fn delete(&self, kind: &str, name: &str) -> Instant {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let at = Instant::now();
        state.log.push(Change {
            at,
            revision,
            created: 0,
            kind: kind.into(),
            name: name.into(),
            spec: None,
        });
        self.changed.notify_all();
        at
    }

    /// Returns the nodes that watch the store for the others, those that read the newest state first.
    pub fn watchers(&self) -> Vec<usize> {
        let watches = self.watches.lock().unwrap();
        let recent = watches
            .iter()
            .filter(|(_, (at, _))| at.elapsed() < Duration::from_millis(1_600));
        let mut recent: Vec<(bool, usize)> = recent
            .map(|(node, (_, is_newest))| (!is_newest, *node))
            .collect();
        recent.sort_unstable();
        recent.into_iter().map(|(_, node)| node).collect()
    }

    /// Serves the calls of a node that arrive at an address.
    pub fn serve(self: &Arc<Self>, address: SocketAddr, node: usize) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = Arc::clone(self);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                std::thread::spawn(move || {
                    let _ = store.serve_connection(stream, node);
                });
            }
        });
        Ok(())
    }

    fn serve_connection(&self, stream: TcpStream, node: usize) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        loop {
            let mut request = String::new();
            if reader.read_line(&mut request)? == 0 {
                return Ok(());
            }
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header)? == 0 {
                    return Ok(());
                }
                if header.trim().is_empty() {
                    break;
                }
            }
            let target = request.split(' ').nth(1).unwrap_or_default().to_owned();
            if target.contains("watch=") {
                let is_newest = !target.contains("stale=1");
                self.watches
                    .lock()
                    .unwrap()
                    .insert(node, (Instant::now(), is_newest));
            }
            let is_get = request.starts_with("GET ");
            let answer = if is_get { self.answer(&target) } else { None };
            let (status, body) = match answer {
                Some(body) => ("200 OK", body),
                None => ("404 Not Found", "{}".to_owned()),
            };
            // An answer of the store takes 4 ms.
            std::thread::sleep(Duration::from_millis(4));
            write!(
                writer,
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
            writer.flush()?;
        }
    }

    fn answer(&self, target: &str) -> Option<String> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let kind = path.strip_prefix("/objects/")?.to_owned();
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let lag = if query.get("stale") == Some(&"1") {
            self.stale_lag
        } else {
            Duration::ZERO
        };
        let Some(from) = query.get("watch") else {
            return Some(self.list(&kind, query.get("after").copied(), lag));
        };
        let from: u64 = from.parse().ok()?;
        let wait = Duration::from_millis(query.get("wait_ms")?.parse().ok()?);
        Some(self.watch(&kind, from, wait, lag))
    }

    fn list(&self, kind: &str, after: Option<&str>, lag: Duration) -> String {
        let state = self.state.lock().unwrap();
        let now = Instant::now();
        let mut at = 100;
        let mut objects: BTreeMap<&str, &Change> = BTreeMap::new();
        for change in state
            .log
            .iter()
            .filter(|change| now.duration_since(change.at) >= lag)
        {
            at = change.revision;
            if change.kind != kind {
                continue;
            }
            if change.spec.is_some() {
                objects.insert(&change.name, change);
            } else {
                objects.remove(&change.name[..]);
            }
        }
        let listed = objects
            .values()
            .filter(|change| after.is_none_or(|after| &change.name[..] > after));
        let items: Vec<String> = listed.map(|change| object(change)).collect();
        format!(
            r#"{{"items":[{}],"more":false,"at":{at}}}"#,
            items.join(",")
        )
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration, lag: Duration) -> String {
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let now = Instant::now();
            let seen = state
                .log
                .iter()
                .filter(|change| now.duration_since(change.at) >= lag);
            let at = seen
                .clone()
                .map(|change| change.revision)
                .max()
                .unwrap_or(100)
                .max(from);
            let news = seen.filter(|change| change.kind == kind && change.revision > from);
            let events: Vec<String> = news
                .map(|change| {
                    format!(
                        r#"{{"gone":{},"object":{}}}"#,
                        change.spec.is_none(),
                        object(change)
                    )
                })
                .collect();
            if !events.is_empty() || now >= deadline {
                return format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(","));
            }
            let pause = (deadline - now).min(Duration::from_millis(10));
            state = self.changed.wait_timeout(state, pause).unwrap().0;
        }
    }
}

fn object(change: &Change) -> String {
    format!(
        r#"{{"meta":{{"name":"{}","revision":{},"created_at":{},"finalizers":[],"deleting":false}},"spec":{},"status":null}}"#,
        change.name,
        change.revision,
        change.created,
        change.spec.as_deref().unwrap_or("null")
    )
}
