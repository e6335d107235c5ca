//! Whether a node wants new flows, and when it may stop.

use crate::cookie::replica::Versions;
use crate::cookie::revision::Revision;
use crate::time::Timestamp;
use std::time::Duration;

/// Why a node is not ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unready {
    /// It has no configuration yet.
    NoConfiguration,
    /// It has no list of instances yet.
    NoInstances,
    /// It doesn't know yet which zones are drained.
    NoZones,
    /// It is leaving.
    Leaving,
}

/// A node's way from start to stop.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    leave_delay: Duration,
    leaving_since: Option<Timestamp>,
}

impl Lifecycle {
    /// A node that forwards for `leave_delay` after it was asked to stop, so that routers have
    /// noticed that it is not ready.
    #[must_use]
    pub const fn new(leave_delay: Duration) -> Self {
        Self {
            leave_delay,
            leaving_since: None,
        }
    }

    /// The node was asked to stop. A second request changes nothing.
    pub fn leave(&mut self, now: Timestamp) {
        self.leaving_since.get_or_insert(now);
    }

    /// Whether the node is leaving.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// When the process may stop, once it was asked to.
    #[must_use]
    pub fn stop_at(&self) -> Option<Timestamp> {
        Some(self.leaving_since?.after(self.leave_delay))
    }

    /// Whether the node, which knows so much, takes new flows.
    ///
    /// # Errors
    ///
    /// Why it doesn't.
    pub fn ready(&self, known: Versions) -> Result<(), Unready> {
        if self.is_leaving() {
            return Err(Unready::Leaving);
        }
        if known.configuration == 0 {
            return Err(Unready::NoConfiguration);
        }
        if known.directory_changed_at == Revision::default() {
            return Err(Unready::NoInstances);
        }
        if known.zones_changed_at == Revision::default() {
            return Err(Unready::NoZones);
        }
        Ok(())
    }
}
