//! Objects of the store that can't be used.

use bellyoke_api::event_code::EventCode;
use bellyoke_process::log::log_event;
use std::collections::BTreeMap;
use std::fmt::Display;

/// Maximum number of names of malformed objects that are stored in order to log each object only once.
const MAXIMUM_LOGGED_NAMES: usize = 1_024;

/// Maximum length of an object's name in a log line, in characters.
const MAXIMUM_LOGGED_NAME: usize = 64;

/// Maximum length of an error in a log line, in characters. Errors quote the offending value, whose
/// length is the writer's choice.
const MAXIMUM_LOGGED_ERROR: usize = 200;

/// Counts malformed objects, which are skipped, and logs each name once for each error.
#[derive(Debug, Default)]
pub struct Rejections {
    count: u64,
    /// Names of the objects that were logged, with the last error, as far as they are logged.
    logged: BTreeMap<String, String>,
}

impl Rejections {
    /// Returns an empty set of rejections.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            count: 0,
            logged: BTreeMap::new(),
        }
    }

    /// Returns how many objects were rejected. An object counts each time it is read.
    #[must_use]
    pub const fn count(&self) -> u64 {
        self.count
    }

    /// Returns the name and error of each object that was logged last, as in the log.
    pub fn logged(&self) -> impl Iterator<Item = (&str, &str)> {
        let logged = self.logged.iter();
        logged.map(|(name, error)| (&name[..], &error[..]))
    }

    /// Records an object that can't be used.
    pub fn record(&mut self, name: &str, error: &dyn Display) {
        self.count += 1;
        let name = shortened(name, MAXIMUM_LOGGED_NAME);
        let error = shortened(&error.to_string(), MAXIMUM_LOGGED_ERROR);
        let known = self.logged.get(&name);
        if known == Some(&error) || (known.is_none() && self.logged.len() >= MAXIMUM_LOGGED_NAMES) {
            return;
        }
        log_event(
            EventCode::ObjectRejected,
            format_args!("name={name} error={error}"),
        );
        self.logged.insert(name, error);
    }
}

/// Returns the beginning of a text, and its length in bytes if something is left out.
fn shortened(text: &str, maximum_characters: usize) -> String {
    match text.char_indices().nth(maximum_characters) {
        None => text.to_owned(),
        Some((end, _)) => format!("{}... ({} bytes)", &text[..end], text.len()),
    }
}
