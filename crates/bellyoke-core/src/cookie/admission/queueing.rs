//! Whether instances queue, as the time of their answers tells.

use crate::cookie::instance::Cookie;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long what an instance last did speaks for it.
const SAMPLE_LIFETIME: Duration = Duration::from_millis(500);

/// Instances whose last sample is kept, 40 bytes each.
const MAXIMUM_SAMPLED: usize = 128;

/// Fewer instances tell nothing of a service.
const LEAST_SAMPLED: usize = 10;

/// Share of the sampled instances that are most of them. In overload nine of ten queue; at 0.7 of what instances
/// bear, with a fifth of them slow, one of two.
const MOST: f32 = 0.8;

/// The same while overload lasts: queues that the budget keeps short go on being overload.
const MOST_STILL: f32 = 0.5;

/// How long an instance that queued may be turning requests away.
const TURNING_AWAY: Duration = Duration::from_secs(2);

/// An instance queues if an answer took so many times as long as in calm. Of answers without a queue one in
/// ten does, where the time of work scatters by half.
const QUEUED_FACTOR: f32 = 2.0;

/// Step of the calm time of a priority towards a sample, as a part of it: the few samples between the begin of a
/// burst and its discovery move it by a tenth.
const CALM_STEP: f32 = 0.01;

/// The same for the first sample; a later one moves it by so much divided by their number.
const FIRST_STEP: f32 = 0.5;

/// Samples from which the calm time of a priority is known.
const LEAST_CALM: u32 = 20;

#[derive(Clone, Copy, Debug)]
struct InstanceSample {
    cookie: Cookie,
    at: Timestamp,
    queues: bool,
    /// When it was last seen to queue.
    queued_at: Option<Timestamp>,
}

/// How long answers take in calm, seconds, and from how many samples that is known.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    seconds: f32,
    samples: u32,
}

/// Instances by whether they queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueingCount {
    /// Instances of which something was seen of late.
    pub sampled: usize,
    /// How many of them queue, or don't answer.
    pub queueing: usize,
}

impl QueueingCount {
    /// Whether most instances queue; `is_overloaded` tells whether they did before.
    #[must_use]
    pub fn is_widespread(&self, is_overloaded: bool) -> bool {
        let most = if is_overloaded { MOST_STILL } else { MOST };
        self.sampled >= LEAST_SAMPLED && self.queueing as f32 >= self.sampled as f32 * most
    }
}

/// What the answers of a service's instances tell of their queues.
///
/// ```
/// use bellyoke_core::cookie::admission::queueing::QueueDetector;
/// use std::time::Duration;
///
/// let mut detector = QueueDetector::default();
/// assert!(!detector.is_long(0, Duration::from_secs(9)), "nothing is known of calm");
/// for _ in 0..20 {
///     detector.learn_baseline(0, Duration::from_millis(40));
/// }
/// assert!(!detector.is_long(0, Duration::from_millis(50)));
/// assert!(detector.is_long(0, Duration::from_millis(90)));
/// ```
#[derive(Debug, Default)]
pub struct QueueDetector {
    sampled: Vec<InstanceSample>,
    /// By priority.
    calm: BTreeMap<u8, Baseline>,
}

impl QueueDetector {
    /// Notes whether an instance queues.
    pub fn record(&mut self, now: Timestamp, cookie: Cookie, queues: bool) {
        let new = InstanceSample {
            cookie,
            at: now,
            queues,
            queued_at: queues.then_some(now),
        };
        let has_room = self.sampled.len() < MAXIMUM_SAMPLED;
        let held = self.sampled.iter_mut().find(|held| held.cookie == cookie);
        match held {
            Some(held) => {
                let queued_at = new.queued_at.or(held.queued_at);
                *held = InstanceSample { queued_at, ..new };
            }
            None if has_room => self.sampled.push(new),
            None => {}
        }
    }

    /// Forgets what is too old to tell anything of an instance.
    pub fn expire(&mut self, now: Timestamp) {
        let is_recent = |sample: &InstanceSample| now.since(sample.at) < TURNING_AWAY;
        self.sampled.retain(is_recent);
    }

    /// Whether an instance was seen to queue of late, so that a quick short answer of it isn't an error.
    #[must_use]
    pub fn has_queued(&self, now: Timestamp, cookie: Cookie) -> bool {
        let mut queued = self.sampled.iter().filter(|sample| sample.cookie == cookie);
        let queued_at = queued.next().and_then(|sample| sample.queued_at);
        queued_at.is_some_and(|at| now.since(at) < TURNING_AWAY)
    }

    /// Forgets all instances; how long answers take in calm stays known.
    pub fn forget_instances(&mut self) {
        self.sampled.clear();
    }

    /// The instances of which something was seen of late, and how many of them queue.
    #[must_use]
    pub fn count(&self, now: Timestamp) -> QueueingCount {
        let sampled = self.sampled.iter();
        let sampled = sampled.filter(|sample| now.since(sample.at) < SAMPLE_LIFETIME);
        let (mut count, mut queueing) = (0, 0);
        for sample in sampled {
            count += 1;
            queueing += usize::from(sample.queues);
        }
        QueueingCount {
            sampled: count,
            queueing,
        }
    }

    /// Whether an answer to a request of this priority took so long that the request has waited in a queue.
    #[must_use]
    pub fn is_long(&self, priority: u8, after: Duration) -> bool {
        let calm = self.calm.get(&priority);
        let calm = calm.filter(|calm| calm.samples >= LEAST_CALM);
        calm.is_some_and(|calm| after.as_secs_f32() > calm.seconds * QUEUED_FACTOR)
    }

    /// Moves the calm time of a priority towards the median of its answers; what is long moves it half as much.
    pub fn learn_baseline(&mut self, priority: u8, after: Duration) {
        let is_long = self.is_long(priority, after);
        let seconds = after.as_secs_f32();
        let calm = self.calm.entry(priority).or_insert(Baseline {
            seconds,
            samples: 0,
        });
        calm.samples = calm.samples.saturating_add(1);
        let step = CALM_STEP.max(FIRST_STEP / calm.samples as f32);
        let step = if is_long { step / 2.0 } else { step };
        let factor = if seconds > calm.seconds {
            1.0 + step
        } else {
            1.0 - step
        };
        calm.seconds *= factor;
    }
}
