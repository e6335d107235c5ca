//! Processor time and memory of this process, as the kernel counts them.

use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Processor time of the calling thread, from a starting point.
///
/// Unlike the time of day it doesn't run while other threads have the processor.
#[derive(Clone, Copy, Debug)]
pub struct ThreadClock {
    started: Duration,
}

impl ThreadClock {
    /// Starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started: thread_time(),
        }
    }

    /// Processor time since the start.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        thread_time().saturating_sub(self.started)
    }
}

fn thread_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map(Duration::from)
        .unwrap_or_default()
}

/// Bytes of memory that this process occupies; zero if the system doesn't tell.
#[must_use]
pub fn resident_bytes() -> u64 {
    const KIBIBYTE: u64 = 1024;
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kibibytes.unwrap_or_default() * KIBIBYTE
}
