//! Load of one service as observed by a node, and the share of its openings that is admitted.
//!
//! Openings and answers are counted in windows. Overload requires two conditions: most of the
//! recently sampled instances queue, and more requests are lost than allowed. Slow instances alone
//! lose no requests, failing instances don't queue, and a few instances that do both are no
//! majority.
//!
//! During overload a budget limits the openings per second. It starts at the rate that was served
//! when overload was detected. After each window it shrinks by the loss above the allowance or
//! grows slightly. The budget is a rate rather than a share: refused clients retry, which raises
//! the offered rate but not the admitted one. Once the offered rate fits the budget, nothing is
//! refused.

use super::budget::OpeningBudget;
use super::queueing::{QueueDetector, QueueingCount};
use super::{AdmissionChange, AdmissionSettings, RequestClass};
use crate::cookie::answers::{AnswerOutcome, AnswerSample};
use crate::time::Timestamp;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Interval over which openings and answers are counted. Answers from a full queue take about
/// 200 ms; with a shorter window the budget would be adjusted again before an adjustment has shown
/// its effect.
const WINDOW: Duration = Duration::from_millis(250);

/// Weight of the last window in the moving averages.
const LAST_WINDOW_WEIGHT: f32 = 0.5;

/// Number of windows without a packet after which the load statistics are discarded.
const STALE_WINDOWS: u128 = 8;

/// Minimum number of samples in a window for an estimate of the loss.
const MINIMUM_SAMPLES: u32 = 8;

/// Minimum share of the offered rate that the initial budget admits. The rates that a node has
/// measured are meaningless if the node itself was stalled.
const MINIMUM_INITIAL_SHARE: f32 = 0.25;

/// Share of a service's openings below which a route is never refused. Operators check with single
/// flows whether a route is in force and would take a refusal for a missing route. Admitting so few
/// flows costs nothing.
const MINIMUM_REFUSABLE_ROUTE_SHARE: f32 = 0.05;

/// Maximum number of routes that are measured. Openings of further ones are admitted.
const MAXIMUM_ROUTES: usize = 64;

#[derive(Clone, Copy, Debug)]
struct ClassMeter {
    class: RequestClass,
    /// Openings in the current window.
    count: u32,
    /// Openings per second, averaged.
    rate: f32,
    /// Share that is admitted.
    share: f32,
    /// Accumulated share; an opening is admitted when it reaches one.
    credit: f32,
}

#[derive(Clone, Copy, Debug)]
struct RouteMeter {
    address: SocketAddrV4,
    count: u32,
    rate: f32,
}

/// Load of one service as observed by one traffic thread.
#[derive(Debug, Default)]
pub struct ServiceAdmission {
    window_started_at: Timestamp,
    /// In order of admission.
    classes: Vec<ClassMeter>,
    routes: Vec<RouteMeter>,
    /// Openings per second in the last window.
    offered_last: f32,
    /// Requests that were answered in the current window.
    served: u32,
    served_rate: f32,
    /// Requests per second that were answered in the last window.
    served_last: f32,
    /// Requests that were answered and lost since the budget was last reviewed.
    answered: u32,
    lost: u32,
    /// How many of them were queued.
    queued: u32,
    lost_share: f32,
    queue_detector: QueueDetector,
    /// Sampled and queueing instances at the end of the last window.
    queues: QueueingCount,
    /// Admitted rate; `None` unless the service is overloaded.
    budget: Option<OpeningBudget>,
    change: Option<bool>,
}

impl ServiceAdmission {
    /// Counts an opening and returns whether it is admitted.
    pub fn admit(
        &mut self,
        now: Timestamp,
        settings: &AdmissionSettings,
        route: SocketAddrV4,
        class: RequestClass,
    ) -> bool {
        self.roll_window(now, settings);
        let may_refuse = self.count_route(route);
        let meter = self.meter(class);
        meter.count += 1;
        if meter.share >= 1.0 || !may_refuse {
            return true;
        }
        meter.credit += meter.share;
        let admitted = meter.credit >= 1.0;
        if admitted {
            meter.credit -= 1.0;
        }
        admitted
    }

    /// Records the outcome of a request.
    pub fn record_answer(
        &mut self,
        now: Timestamp,
        settings: &AdmissionSettings,
        sample: &AnswerSample,
    ) {
        self.roll_window(now, settings);
        let queues = match sample.outcome {
            AnswerOutcome::Answered { after, .. } => {
                let queues = self.queue_detector.indicates_queue(sample.priority, after);
                if self.budget.is_none() {
                    self.queue_detector.learn_baseline(sample.priority, after);
                }
                Some(queues)
            }
            // An instance that rejects requests because its queue is full also has slow answers. A
            // fast short answer of another instance is an error and no sign of load.
            AnswerOutcome::Short { after } => {
                let queues = self.queue_detector.indicates_queue(sample.priority, after);
                if !queues && !self.queue_detector.has_queued(now, sample.cookie) {
                    return;
                }
                queues.then_some(true)
            }
            // A request that waits for long at an instance with a queue waits in that queue. An
            // instance without a queue may have died.
            AnswerOutcome::Unanswered { .. }
                if self.queue_detector.has_queued(now, sample.cookie) =>
            {
                Some(true)
            }
            AnswerOutcome::Unanswered { .. } => return,
        };
        self.count_answer(now, &sample.outcome, queues == Some(true));
        if let Some(queues) = queues {
            self.queue_detector.record(now, sample.cookie, queues);
        }
    }

    fn count_answer(&mut self, now: Timestamp, outcome: &AnswerOutcome, is_queued: bool) {
        let is_served = matches!(outcome, AnswerOutcome::Answered { .. });
        self.served += u32::from(is_served);
        let budget = self.budget.as_ref();
        if budget.is_some_and(|budget| !budget.is_reflected_in(now, outcome)) {
            return;
        }
        self.queued += u32::from(is_queued);
        if is_served {
            self.answered += 1;
        } else {
            self.lost += 1;
        }
    }

    /// Starts a new window if the current one is over.
    pub fn roll_window(&mut self, now: Timestamp, settings: &AdmissionSettings) {
        let elapsed = now.since(self.window_started_at);
        if elapsed < WINDOW {
            return;
        }
        self.window_started_at = now;
        if elapsed.as_millis() >= WINDOW.as_millis() * STALE_WINDOWS {
            self.reset_load();
            return;
        }
        self.count_window(elapsed.as_secs_f32());
        self.queue_detector.expire(now);
        self.queues = self.queue_detector.count(now);
        self.update_budget(now, settings);
        self.distribute_budget();
    }

    /// Returns the change since the last call, if there is one.
    pub fn take_change(&mut self, service: &str) -> Option<AdmissionChange> {
        let overloaded = self.change.take()?;
        Some(AdmissionChange {
            service: service.to_owned(),
            overloaded,
            offered: self.offered(),
            served: self.served_rate,
            budget: self.budget.map_or(0.0, |budget| budget.per_second()),
            lost_share: self.lost_share,
            queues: self.queues,
        })
    }

    /// Returns the admitted share of openings by class.
    pub fn admitted_shares(&self) -> impl Iterator<Item = (RequestClass, f32)> {
        self.classes.iter().map(|meter| (meter.class, meter.share))
    }

    /// Adds the counts of a window to the moving averages.
    fn count_window(&mut self, seconds: f32) {
        let blend = |rate: &mut f32, new: f32| *rate += (new - *rate) * LAST_WINDOW_WEIGHT;
        let offered: u32 = self.classes.iter().map(|meter| meter.count).sum();
        self.offered_last = offered as f32 / seconds;
        for meter in &mut self.classes {
            blend(&mut meter.rate, meter.count as f32 / seconds);
            meter.count = 0;
        }
        for route in &mut self.routes {
            blend(&mut route.rate, route.count as f32 / seconds);
            route.count = 0;
        }
        let minimum_rate = 0.05;
        self.routes.retain(|route| route.rate > minimum_rate);
        self.served_last = self.served as f32 / seconds;
        blend(&mut self.served_rate, self.served_last);
        self.served = 0;
    }

    fn update_budget(&mut self, now: Timestamp, settings: &AdmissionSettings) {
        let samples = self.answered + self.lost;
        let has_enough_samples = samples >= MINIMUM_SAMPLES;
        if has_enough_samples {
            self.lost_share = self.lost as f32 / samples as f32;
        }
        let queued_share = self.queued as f32 / samples.max(1) as f32;
        if has_enough_samples || self.budget.is_none() {
            self.answered = 0;
            self.lost = 0;
            self.queued = 0;
        }
        // Losses without queues have a cause other than load; admitting less doesn't reduce them.
        let is_widespread = self.queues.is_widespread(self.budget.is_some());
        let lost_share = if is_widespread { self.lost_share } else { 0.0 };
        let excess = lost_share - settings.lost_share;
        let (offered, offered_last) = (self.offered(), self.offered_last);
        let Some(budget) = &mut self.budget else {
            if has_enough_samples && excess > 0.0 {
                let initial = self.served_last.max(offered * MINIMUM_INITIAL_SHARE);
                self.budget = Some(OpeningBudget::new(now, initial));
                self.change = Some(true);
            }
            return;
        };
        if has_enough_samples {
            budget.adjust(now, excess, queued_share);
        }
        if budget.record_offered_rate(offered_last) {
            self.budget = None;
            self.change = Some(false);
        }
    }

    /// Distributes the budget over the classes in order. If everything offered in the last window
    /// fits the budget, nothing is refused in the next one.
    fn distribute_budget(&mut self) {
        let budget = self.budget.as_ref().map(OpeningBudget::per_second);
        let budget = budget.filter(|budget| self.offered_last > *budget);
        let mut remaining = budget.unwrap_or(f32::INFINITY);
        for meter in &mut self.classes {
            meter.share = if meter.rate <= remaining {
                1.0
            } else {
                remaining / meter.rate
            };
            remaining = (remaining - meter.rate).max(0.0);
        }
    }

    fn reset_load(&mut self) {
        self.change = self.budget.take().map(|_| false);
        self.classes.clear();
        self.routes.clear();
        self.queue_detector.forget_instances();
        self.answered = 0;
        self.lost = 0;
        self.queued = 0;
        self.served = 0;
        self.served_rate = 0.0;
        self.served_last = 0.0;
        self.lost_share = 0.0;
    }

    fn offered(&self) -> f32 {
        self.classes.iter().map(|meter| meter.rate).sum()
    }

    /// Counts an opening of a route and returns whether it may be refused.
    fn count_route(&mut self, address: SocketAddrV4) -> bool {
        let offered = self.offered();
        let found = self
            .routes
            .iter_mut()
            .find(|route| route.address == address);
        if let Some(route) = found {
            route.count += 1;
            return route.rate >= offered * MINIMUM_REFUSABLE_ROUTE_SHARE;
        }
        if self.routes.len() < MAXIMUM_ROUTES {
            self.routes.push(RouteMeter {
                address,
                count: 1,
                rate: 0.0,
            });
        }
        false
    }

    fn meter(&mut self, class: RequestClass) -> &mut ClassMeter {
        let found = self
            .classes
            .binary_search_by_key(&class, |meter| meter.class);
        let index = found.unwrap_or_else(|index| {
            let meter = ClassMeter {
                class,
                count: 0,
                rate: 0.0,
                share: 1.0,
                credit: 0.0,
            };
            self.classes.insert(index, meter);
            index
        });
        &mut self.classes[index]
    }
}
