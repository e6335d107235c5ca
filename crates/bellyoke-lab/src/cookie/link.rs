//! The link of a machine: a limited rate, and a queue that drops packets while it is full.

use bellyoke_core::time::Timestamp;
use std::time::Duration;

/// Capacity of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// Rate of the link.
    pub bytes_per_second: u32,
    /// Maximum time that a packet waits in the queue. Packets that would wait longer are dropped.
    pub maximum_queueing_delay: Duration,
}

/// The outgoing link of a machine.
///
/// ```
/// use bellyoke_core::time::Timestamp;
/// use bellyoke_lab::cookie::link::{Link, LinkSettings};
/// use std::time::Duration;
///
/// let ms = Duration::from_millis;
/// let mut link = Link::new(LinkSettings {
///     bytes_per_second: 1_000,
///     maximum_queueing_delay: ms(150),
/// });
/// assert_eq!(link.send(Timestamp::ZERO, 100), Some(ms(100)));
/// assert_eq!(link.send(Timestamp::ZERO, 100), Some(ms(200)), "queued after the first");
/// assert_eq!(link.send(Timestamp::ZERO, 100), None, "would wait 200 ms");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Link {
    settings: LinkSettings,
    free_at: Timestamp,
}

impl Link {
    /// Creates an idle link.
    #[must_use]
    pub const fn new(settings: LinkSettings) -> Self {
        Self {
            settings,
            free_at: Timestamp::ZERO,
        }
    }

    /// Queues a packet of `bytes` bytes. Returns the time from `now` until its last byte has been
    /// sent, or `None` if the packet is dropped.
    pub fn send(&mut self, now: Timestamp, bytes: usize) -> Option<Duration> {
        let queueing_delay = self.free_at.since(now);
        if queueing_delay > self.settings.maximum_queueing_delay {
            return None;
        }
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        let rate = f64::from(self.settings.bytes_per_second);
        let sent_after = queueing_delay + Duration::from_secs_f64(f64::from(bytes) / rate);
        self.free_at = now.after(sent_after);
        Some(sent_after)
    }
}
