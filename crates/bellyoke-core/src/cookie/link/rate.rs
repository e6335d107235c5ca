//! Estimation of the rate of the node's own link from losses.
//!
//! With additive increase, convergence would take long on a link of unknown rate, so increase and
//! decrease are both multiplicative. The initial rate is that of the busiest interval before the
//! losses. A rate that isn't used isn't verified either, so the rate grows only while packets are
//! delayed because of it, or after a long time without losses.
//!
//! Losses may have causes other than the link: a network may drop packets at random regardless of
//! the rate. Pacing is therefore provisional. If it doesn't reduce the losses, it ends and isn't
//! tried again for a while.

use crate::time::Timestamp;
use std::time::Duration;

/// Interval over which the size of a burst is measured.
const BURST_WINDOW: Duration = Duration::from_millis(50);

/// Decay of the largest burst in each further window.
const BURST_DECAY: f32 = 0.95;

/// Interval over which the initial rate spreads the largest burst: half of a sender's
/// retransmission timeout.
const INITIAL_SPREAD: Duration = Duration::from_millis(100);

/// Number of losses before pacing begins. Fewer are too few to estimate the loss ratio.
const MINIMUM_LOSSES_TO_PACE: f32 = 3.0;

/// Loss ratio below which nothing is paced. A link that is too slow for a burst loses more.
const MINIMUM_LOSS_RATIO: f32 = 0.04;

/// Factor by which a loss decreases the rate.
const DECREASE_FACTOR: f32 = 0.8;

/// Minimum time between two decreases. Packets that are lost together count as one loss.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Factor by which the rate grows in each step.
const INCREASE_FACTOR: f32 = 1.02;

/// Interval between two increases.
const INCREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a loss after which the rate grows even if no packet is delayed.
const LOSS_FREE_PERIOD: Duration = Duration::from_secs(5);

/// Maximum number of steps that are made up for after a pause.
const MAXIMUM_CATCH_UP_STEPS: u32 = 50;

/// Lower bound of the rate.
const MINIMUM_BYTES_PER_SECOND: f32 = 60_000.0;

/// Multiple of the initial rate at which pacing ends.
const END_RATE_FACTOR: f32 = 4.0;

/// Number of losses after which the effect of pacing is evaluated.
const LOSSES_TO_EVALUATE: f32 = 6.0;

/// Pacing ends unless it reduces the loss ratio below this fraction of its former value.
const MAXIMUM_REMAINING_LOSS: f32 = 0.6;

/// Time until ineffective pacing is tried again. Doubles with each consecutive failure.
const RETRY_DELAY: Duration = Duration::from_secs(10);

/// Maximum number of doublings of [`RETRY_DELAY`].
const MAXIMUM_RETRY_DELAY_DOUBLINGS: u32 = 3;

/// Losses per new packet, weighted towards recent ones. Retransmissions aren't counted, because
/// one loss causes many of them.
#[derive(Clone, Copy, Debug, Default)]
struct LossRatio {
    packets: f32,
    losses: f32,
}

impl LossRatio {
    /// Number of packets after which both counts are halved.
    const HALVING_PACKETS: f32 = 400.0;

    fn record_sent(&mut self) {
        self.packets += 1.0;
        if self.packets > Self::HALVING_PACKETS {
            self.packets /= 2.0;
            self.losses /= 2.0;
        }
    }

    fn ratio(&self) -> f32 {
        self.losses / self.packets.max(1.0)
    }
}

/// State of active pacing.
#[derive(Clone, Copy, Debug)]
struct Pacing {
    bytes_per_second: f32,
    /// Rate at which pacing ends.
    end_at_bytes_per_second: f32,
    /// Loss ratio before pacing.
    ratio_before: f32,
    increased_at: Timestamp,
}

/// Estimate of the rate of the link.
#[derive(Debug, Default)]
pub struct LinkRate {
    /// `None` while nothing is paced.
    pacing: Option<Pacing>,
    /// Loss ratio since pacing began or ended.
    losses: LossRatio,
    last_loss_at: Timestamp,
    retry_at: Timestamp,
    /// Number of consecutive trials of pacing that didn't reduce losses.
    failed_trials: u32,
    was_delayed: bool,
    burst: BurstMeter,
}

impl LinkRate {
    /// Returns the estimated rate, bytes per second; `None` while nothing is paced.
    #[must_use]
    pub fn bytes_per_second(&self) -> Option<f32> {
        Some(self.pacing?.bytes_per_second)
    }

    /// Records that a data packet of `length` bytes is sent. `is_new` is false for retransmissions.
    pub fn record_sent(&mut self, now: Timestamp, length: usize, is_new: bool) {
        self.burst.record_sent(now, length);
        if is_new {
            self.losses.record_sent();
        }
        self.increase_rate(now);
    }

    /// Records that data was lost after it had been sent.
    pub fn record_loss(&mut self, now: Timestamp) {
        if now.since(self.last_loss_at) < DECREASE_INTERVAL {
            return;
        }
        self.last_loss_at = now;
        self.losses.losses += 1.0;
        match self.pacing {
            Some(pacing) => self.decrease_rate(now, pacing),
            None => self.begin_pacing(now),
        }
    }

    /// Records that a packet was delayed because of the rate.
    pub const fn record_delayed(&mut self) {
        self.was_delayed = true;
    }

    fn begin_pacing(&mut self, now: Timestamp) {
        let is_rare =
            self.losses.losses < MINIMUM_LOSSES_TO_PACE || self.losses.ratio() < MINIMUM_LOSS_RATIO;
        if is_rare || now < self.retry_at {
            return;
        }
        let rate = self.burst.busiest_bytes() / INITIAL_SPREAD.as_secs_f32();
        let rate = rate.max(MINIMUM_BYTES_PER_SECOND);
        self.pacing = Some(Pacing {
            bytes_per_second: rate,
            end_at_bytes_per_second: rate * END_RATE_FACTOR,
            ratio_before: self.losses.ratio(),
            increased_at: now,
        });
        self.losses = LossRatio::default();
    }

    fn decrease_rate(&mut self, now: Timestamp, mut pacing: Pacing) {
        let can_evaluate = self.losses.losses >= LOSSES_TO_EVALUATE;
        if can_evaluate && self.losses.ratio() > pacing.ratio_before * MAXIMUM_REMAINING_LOSS {
            self.abandon_pacing(now);
            return;
        }
        pacing.bytes_per_second =
            (pacing.bytes_per_second * DECREASE_FACTOR).max(MINIMUM_BYTES_PER_SECOND);
        self.pacing = Some(pacing);
    }

    /// Ends pacing that hasn't reduced losses, which therefore aren't caused by the link.
    fn abandon_pacing(&mut self, now: Timestamp) {
        let doublings = self.failed_trials.min(MAXIMUM_RETRY_DELAY_DOUBLINGS);
        self.retry_at = now.after(RETRY_DELAY * (1 << doublings));
        self.failed_trials += 1;
        self.end_pacing();
    }

    fn increase_rate(&mut self, now: Timestamp) {
        let Some(mut pacing) = self.pacing else {
            return;
        };
        let elapsed = now.since(pacing.increased_at);
        if elapsed < INCREASE_INTERVAL {
            return;
        }
        let steps = match (
            std::mem::take(&mut self.was_delayed),
            now.since(self.last_loss_at),
        ) {
            (true, _) => 1,
            (false, loss_free) if loss_free >= LOSS_FREE_PERIOD => elapsed_steps(elapsed),
            (false, _) => 0,
        };
        pacing.increased_at = now;
        pacing.bytes_per_second *= INCREASE_FACTOR.powi(steps);
        self.pacing = Some(pacing);
        if pacing.bytes_per_second >= pacing.end_at_bytes_per_second {
            self.failed_trials = 0;
            self.end_pacing();
        }
    }

    fn end_pacing(&mut self) {
        self.pacing = None;
        self.losses = LossRatio::default();
    }
}

fn elapsed_steps(elapsed: Duration) -> i32 {
    let steps = elapsed.as_millis() / INCREASE_INTERVAL.as_millis();
    let steps = u32::try_from(steps)
        .unwrap_or(MAXIMUM_CATCH_UP_STEPS)
        .min(MAXIMUM_CATCH_UP_STEPS);
    i32::try_from(steps).unwrap_or_default()
}

/// Number of bytes sent in the busiest recent window.
#[derive(Debug, Default)]
struct BurstMeter {
    window_start: Timestamp,
    window_bytes: f32,
    busiest_bytes: f32,
}

impl BurstMeter {
    fn record_sent(&mut self, now: Timestamp, length: usize) {
        if now.since(self.window_start) >= BURST_WINDOW {
            self.busiest_bytes = self.window_bytes.max(self.busiest_bytes * BURST_DECAY);
            self.window_start = now;
            self.window_bytes = 0.0;
        }
        self.window_bytes += length as f32;
    }

    fn busiest_bytes(&self) -> f32 {
        self.busiest_bytes.max(self.window_bytes)
    }
}
