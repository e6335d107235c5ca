//! The record of a run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("create the record");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    /// Returns the seconds of the record at a time.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let seconds = self.seconds(Instant::now());
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} {text}");
    }

    /// Writes a line and prints it too.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
