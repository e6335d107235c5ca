//! The rate that the node's own link carries, learned from what was lost.
//!
//! Additive increase would take long on links of which nothing is known, so increase and decrease are both
//! multiplicative. The first rate is that of the busiest moment before the losses. A rate that is not used
//! isn't tried either: it grows only while packets are held back for it, or when nothing was lost for long.
//!
//! Losses need not be the link's: a network may lose packets at random, whatever is sent. So pacing is on
//! trial: where it doesn't make losses rarer, it ends, and isn't tried again for a while.

use crate::time::Timestamp;
use std::time::Duration;

/// Span over which a burst is measured.
const BURST_WINDOW: Duration = Duration::from_millis(50);

/// What is left of the busiest moment after each further window.
const BURST_DECAY: f32 = 0.95;

/// The first rate spreads the busiest moment over so long: half of a sender's time-out.
const FIRST_SPREAD: Duration = Duration::from_millis(100);

/// Losses before anything is paced: fewer say little of how often they come.
const LOSSES_TO_PACE: f32 = 3.0;

/// Share of packets that must have been lost. A link that is too thin for a burst loses more.
const LEAST_SHARE: f32 = 0.04;

/// Factor by which a loss lowers the rate.
const DECREASE: f32 = 0.8;

/// Shortest time between two decreases: what was lost together counts once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Factor by which the rate grows in each step.
const INCREASE: f32 = 1.02;

/// Time of a step.
const INCREASE_INTERVAL: Duration = Duration::from_millis(100);

/// After so long without a loss the rate grows though nothing is held back.
const QUIET: Duration = Duration::from_secs(5);

/// Most steps that are made up for after a pause.
const MOST_STEPS: u32 = 50;

/// The lowest rate, bytes a second.
const LOWEST: f32 = 60_000.0;

/// Pacing ends when the rate is so many times that of the busiest moment.
const RELEASE: f32 = 4.0;

/// Losses after which pacing is judged.
const LOSSES_TO_JUDGE: f32 = 6.0;

/// Pacing ends unless it brings the share of lost packets below this part of what it was.
const LEAST_GAIN: f32 = 0.6;

/// How long pacing that brought nothing isn't tried again; doubles with each time in a row.
const HOLD_OFF: Duration = Duration::from_secs(10);

/// Most doublings.
const MOST_DOUBLINGS: u32 = 3;

/// Losses for each new packet, the latest counting most. Repeated packets are left out, since a loss has many
/// of them sent again.
#[derive(Clone, Copy, Debug, Default)]
struct LossRatio {
    packets: f32,
    losses: f32,
}

impl LossRatio {
    /// Packets after which both counts are halved.
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

/// Pacing under way.
#[derive(Clone, Copy, Debug)]
struct Pacing {
    bytes_per_second: f32,
    /// The rate at which it ends.
    end_at_bytes_per_second: f32,
    /// Share of packets that were lost before.
    ratio_before: f32,
    increased_at: Timestamp,
}

/// What the link carries, as far as is known.
#[derive(Debug, Default)]
pub struct LinkRate {
    /// None while nothing is paced.
    pacing: Option<Pacing>,
    /// Since pacing began or ended.
    losses: LossRatio,
    last_loss_at: Timestamp,
    retry_at: Timestamp,
    /// Trials in a row that brought nothing.
    failed_trials: u32,
    was_delayed: bool,
    burst: BurstMeter,
}

impl LinkRate {
    /// The learned rate, bytes a second; none while nothing is paced.
    #[must_use]
    pub fn bytes_per_second(&self) -> Option<f32> {
        Some(self.pacing?.bytes_per_second)
    }

    /// A data packet of so many bytes is sent, one that was not sent before if it is new.
    pub fn record_sent(&mut self, now: Timestamp, length: usize, is_new: bool) {
        self.burst.record_sent(now, length);
        if is_new {
            self.losses.record_sent();
        }
        self.increase_rate(now);
    }

    /// Data that was sent got lost.
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

    /// A packet was held back for the rate.
    pub const fn record_delayed(&mut self) {
        self.was_delayed = true;
    }

    fn begin_pacing(&mut self, now: Timestamp) {
        let rare = self.losses.losses < LOSSES_TO_PACE || self.losses.ratio() < LEAST_SHARE;
        if rare || now < self.retry_at {
            return;
        }
        let rate = self.burst.busiest_bytes() / FIRST_SPREAD.as_secs_f32();
        let rate = rate.max(LOWEST);
        self.pacing = Some(Pacing {
            bytes_per_second: rate,
            end_at_bytes_per_second: rate * RELEASE,
            ratio_before: self.losses.ratio(),
            increased_at: now,
        });
        self.losses = LossRatio::default();
    }

    fn decrease_rate(&mut self, now: Timestamp, mut pacing: Pacing) {
        let judged = self.losses.losses >= LOSSES_TO_JUDGE;
        if judged && self.losses.ratio() > pacing.ratio_before * LEAST_GAIN {
            self.abandon_pacing(now);
            return;
        }
        pacing.bytes_per_second = (pacing.bytes_per_second * DECREASE).max(LOWEST);
        self.pacing = Some(pacing);
    }

    /// Pacing makes losses no rarer: they aren't the link's.
    fn abandon_pacing(&mut self, now: Timestamp) {
        let doublings = self.failed_trials.min(MOST_DOUBLINGS);
        self.retry_at = now.after(HOLD_OFF * (1 << doublings));
        self.failed_trials += 1;
        self.end_pacing();
    }

    fn increase_rate(&mut self, now: Timestamp) {
        let Some(mut pacing) = self.pacing else {
            return;
        };
        let passed = now.since(pacing.increased_at);
        if passed < INCREASE_INTERVAL {
            return;
        }
        let steps = match (
            std::mem::take(&mut self.was_delayed),
            now.since(self.last_loss_at),
        ) {
            (true, _) => 1,
            (false, quiet) if quiet >= QUIET => elapsed_steps(passed),
            (false, _) => 0,
        };
        pacing.increased_at = now;
        pacing.bytes_per_second *= INCREASE.powi(steps);
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

fn elapsed_steps(passed: Duration) -> i32 {
    let steps = passed.as_millis() / INCREASE_INTERVAL.as_millis();
    let steps = u32::try_from(steps).unwrap_or(MOST_STEPS).min(MOST_STEPS);
    i32::try_from(steps).unwrap_or_default()
}

/// Bytes sent in the busiest of the last moments.
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
