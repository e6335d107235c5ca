//! Whether a node accepts new flows, and when it may stop.

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
    /// It does not know yet which zones are drained.
    NoZones,
    /// It is leaving.
    Leaving,
}

/// The lifecycle of a node from start to stop.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    leave_delay: Duration,
    leaving_since: Option<Timestamp>,
}

impl Lifecycle {
    /// Creates the lifecycle of a node that continues to forward for `leave_delay` after a stop
    /// request, which gives routers the time to detect that it is not ready.
    #[must_use]
    pub const fn new(leave_delay: Duration) -> Self {
        Self {
            leave_delay,
            leaving_since: None,
        }
    }

    /// Records a stop request. A second request has no effect.
    pub fn leave(&mut self, now: Timestamp) {
        self.leaving_since.get_or_insert(now);
    }

    /// Returns whether the node is leaving.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Returns when the process may stop, or `None` before a stop request.
    #[must_use]
    pub fn stop_at(&self) -> Option<Timestamp> {
        Some(self.leaving_since?.after(self.leave_delay))
    }

    /// Checks whether a node with the given versions accepts new flows.
    ///
    /// # Errors
    ///
    /// The reason why it does not.
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
