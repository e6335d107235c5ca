//! Detection of request queues at instances from the response times of their answers.

use crate::cookie::instance::Cookie;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long the last sample of an instance counts.
const SAMPLE_LIFETIME: Duration = Duration::from_millis(500);

/// Maximum number of instances whose last sample is stored, 40 bytes each.
const MAXIMUM_SAMPLED_INSTANCES: usize = 128;

/// Number of sampled instances below which no conclusion is drawn for the service.
const MINIMUM_SAMPLED_INSTANCES: usize = 10;

/// Share of sampled instances that must queue for a service to become overloaded. In overload 90 %
/// of them queue; at 70 % of capacity with a fifth of the instances slow, half of them do.
const OVERLOADED_SHARE_THRESHOLD: f32 = 0.8;

/// Share of sampled instances that must queue for a service to stay overloaded. Lower, because the
/// budget keeps queues short while overload lasts.
const STILL_OVERLOADED_SHARE_THRESHOLD: f32 = 0.5;

/// How long after queueing an instance may still be rejecting requests.
const REJECTION_PERIOD: Duration = Duration::from_secs(2);

/// Multiple of the baseline response time from which an answer counts as queued. If processing
/// times vary by half of their mean, one in ten answers without a queue exceeds it.
const QUEUED_FACTOR: f32 = 2.0;

/// Relative step of a baseline towards a sample. The few samples between the start of a burst and
/// its detection move the baseline by a tenth.
const BASELINE_STEP: f32 = 0.01;

/// Relative step at the first sample; divided by the number of samples at later ones.
const INITIAL_BASELINE_STEP: f32 = 0.5;

/// Number of samples from which a baseline is used.
const MINIMUM_BASELINE_SAMPLES: u32 = 20;

#[derive(Clone, Copy, Debug)]
struct InstanceSample {
    cookie: Cookie,
    at: Timestamp,
    queues: bool,
    /// When the instance was last observed to queue.
    queued_at: Option<Timestamp>,
}

/// Response time of a priority without overload, and the number of samples behind it.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    seconds: f32,
    samples: u32,
}

/// Number of sampled instances and of those that queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueingCount {
    /// Instances with a recent sample.
    pub sampled: usize,
    /// How many of them queue or don't answer.
    pub queueing: usize,
}

impl QueueingCount {
    /// Returns whether most instances queue. The threshold is lower if the service is already
    /// overloaded.
    #[must_use]
    pub fn is_widespread(&self, is_overloaded: bool) -> bool {
        let threshold = if is_overloaded {
            STILL_OVERLOADED_SHARE_THRESHOLD
        } else {
            OVERLOADED_SHARE_THRESHOLD
        };
        self.sampled >= MINIMUM_SAMPLED_INSTANCES
            && self.queueing as f32 >= self.sampled as f32 * threshold
    }
}

/// Detects which instances of a service queue, from the response times of their answers.
///
/// ```
/// use bellyoke_core::cookie::admission::queueing::QueueDetector;
/// use std::time::Duration;
///
/// let mut detector = QueueDetector::default();
/// assert!(!detector.indicates_queue(0, Duration::from_secs(9)), "there is no baseline yet");
/// for _ in 0..20 {
///     detector.learn_baseline(0, Duration::from_millis(40));
/// }
/// assert!(!detector.indicates_queue(0, Duration::from_millis(50)));
/// assert!(detector.indicates_queue(0, Duration::from_millis(90)));
/// ```
#[derive(Debug, Default)]
pub struct QueueDetector {
    sampled: Vec<InstanceSample>,
    /// Response times without overload, by priority.
    baselines: BTreeMap<u8, Baseline>,
}

impl QueueDetector {
    /// Records whether an instance queues.
    pub fn record(&mut self, now: Timestamp, cookie: Cookie, queues: bool) {
        let new = InstanceSample {
            cookie,
            at: now,
            queues,
            queued_at: queues.then_some(now),
        };
        let has_room = self.sampled.len() < MAXIMUM_SAMPLED_INSTANCES;
        let known = self.sampled.iter_mut().find(|known| known.cookie == cookie);
        match known {
            Some(known) => {
                let queued_at = new.queued_at.or(known.queued_at);
                *known = InstanceSample { queued_at, ..new };
            }
            None if has_room => self.sampled.push(new),
            None => {}
        }
    }

    /// Removes outdated samples.
    pub fn expire(&mut self, now: Timestamp) {
        let is_recent = |sample: &InstanceSample| now.since(sample.at) < REJECTION_PERIOD;
        self.sampled.retain(is_recent);
    }

    /// Returns whether the instance queued recently, in which case a fast short answer is a
    /// rejection rather than an error.
    #[must_use]
    pub fn has_queued(&self, now: Timestamp, cookie: Cookie) -> bool {
        let mut queued = self.sampled.iter().filter(|sample| sample.cookie == cookie);
        let queued_at = queued.next().and_then(|sample| sample.queued_at);
        queued_at.is_some_and(|at| now.since(at) < REJECTION_PERIOD)
    }

    /// Removes all instances; the baselines are kept.
    pub fn forget_instances(&mut self) {
        self.sampled.clear();
    }

    /// Counts the recently sampled instances and those of them that queue.
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

    /// Returns whether the response time of a request of this priority shows that it was queued.
    #[must_use]
    pub fn indicates_queue(&self, priority: u8, after: Duration) -> bool {
        let baseline = self.baselines.get(&priority);
        let baseline = baseline.filter(|baseline| baseline.samples >= MINIMUM_BASELINE_SAMPLES);
        baseline.is_some_and(|baseline| after.as_secs_f32() > baseline.seconds * QUEUED_FACTOR)
    }

    /// Moves the baseline of a priority towards the median of its response times. Response times
    /// that indicate a queue have half the weight.
    pub fn learn_baseline(&mut self, priority: u8, after: Duration) {
        let is_queued = self.indicates_queue(priority, after);
        let seconds = after.as_secs_f32();
        let baseline = self.baselines.entry(priority).or_insert(Baseline {
            seconds,
            samples: 0,
        });
        baseline.samples = baseline.samples.saturating_add(1);
        let step = BASELINE_STEP.max(INITIAL_BASELINE_STEP / baseline.samples as f32);
        let step = if is_queued { step / 2.0 } else { step };
        let factor = if seconds > baseline.seconds {
            1.0 + step
        } else {
            1.0 - step
        };
        baseline.seconds *= factor;
    }
}
