//! The platform's metadata store (PROTOCOL, "The platform's metadata store"): lists and watches over HTTP/1.1.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Objects in one page of a list.
const PAGE: usize = 500;

struct Object {
    revision: u64,
    created_at: u64,
    spec: String,
}

struct Event {
    revision: u64,
    kind: String,
    text: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(address: SocketAddrV4) -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::new(State {
                revision: 100,
                ..State::default()
            }),
            changed: Condvar::new(),
        });
        let listener = TcpListener::bind(address).expect("bind the store");
        let served = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object. The return is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let created_at = state
            .objects
            .get(&key)
            .map_or(revision, |object| object.created_at);
        let object = Object {
            revision,
            created_at,
            spec: spec.to_owned(),
        };
        let text = format!("{{\"gone\":false,\"object\":{}}}", render(name, &object));
        state.objects.insert(key, object);
        state.events.push(Event {
            revision,
            kind: kind.to_owned(),
            text,
        });
        self.changed.notify_all();
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        state.revision += 1;
        let revision = state.revision;
        let text = format!("{{\"gone\":true,\"object\":{}}}", render(name, &object));
        state.events.push(Event {
            revision,
            kind: kind.to_owned(),
            text,
        });
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffered = Vec::new();
        loop {
            let Some(path) = read_request(&mut stream, &mut buffered) else {
                return;
            };
            let (status, body) = self.answer(&path);
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream
                .write_all(head.as_bytes())
                .and_then(|()| stream.write_all(body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, path: &str) -> (&'static str, String) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let Some(kind) = path.strip_prefix("/objects/") else {
            return ("404 Not Found", "{\"error\":\"no such path\"}".to_owned());
        };
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let from = query.get("watch").and_then(|from| from.parse::<u64>().ok());
        let wait = query
            .get("wait_ms")
            .and_then(|wait| wait.parse().ok())
            .unwrap_or(0);
        match from {
            Some(from) => (
                "200 OK",
                self.watch(kind, from, Duration::from_millis(wait)),
            ),
            None => (
                "200 OK",
                self.list(kind, query.get("after").copied().unwrap_or_default()),
            ),
        }
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.state.lock().unwrap();
        let mut items: Vec<String> = Vec::new();
        let mut more = false;
        for ((of, name), object) in &state.objects {
            if of != kind || name.as_str() <= after {
                continue;
            }
            if items.len() == PAGE {
                more = true;
                break;
            }
            items.push(render(name, object));
        }
        format!(
            "{{\"items\":[{}],\"more\":{more},\"at\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let news = state
                .events
                .iter()
                .filter(|event| event.kind == kind && event.revision > from);
            let news: Vec<&str> = news.map(|event| event.text.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"at\":{}}}",
                    news.join(","),
                    state.revision
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn render(name: &str, object: &Object) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"created_at\":{},\"finalizers\":[],\"deleting\":false}},\
         \"spec\":{},\"status\":null}}",
        object.revision, object.created_at, object.spec
    )
}

/// Reads one request without a body, and returns its path with the query.
fn read_request(stream: &mut TcpStream, buffered: &mut Vec<u8>) -> Option<String> {
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = buffered.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffered[..end]).into_owned();
            buffered.drain(..end + 4);
            return head.split(' ').nth(1).map(str::to_owned);
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(length) => buffered.extend_from_slice(&chunk[..length]),
        }
    }
}
