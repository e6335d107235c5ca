//! What a node knows of the load of one service, and how much of it is admitted.
//!
//! Openings and answers are counted in windows. Overload has two signs, and takes both: most of the instances
//! that were sampled of late queue, and more requests than allowed are lost. Slow instances alone lose nothing;
//! failing ones don't queue; a few that do both aren't most.
//!
//! While overload lasts a budget of openings a second is given out, from the rate that was served when it began.
//! After each window it shrinks in the measure of what was lost beyond what is allowed, or grows by a little. It is
//! a rate, not a share: refused clients come back, which raises what is offered but not what is admitted, and once
//! what is offered fits the budget nothing is refused.

use super::budget::OpeningBudget;
use super::signs::{QueueCount, QueueSigns};
use super::{AdmissionChange, AdmissionSettings, RequestClass};
use crate::cookie::answers::{AnswerOutcome, AnswerSample};
use crate::time::Timestamp;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Time over which openings and answers are counted. An answer from a full queue takes about 200 ms, so that
/// a shorter window would act again before it saw what came of it.
const WINDOW: Duration = Duration::from_millis(250);

/// Weight of the last window in the rates.
const WINDOW_WEIGHT: f32 = 0.5;

/// After how many windows without a packet nothing is known any more.
const FORGET_WINDOWS: u128 = 8;

/// Samples without which a window says nothing of what is lost.
const LEAST_SAMPLES: u32 = 8;

/// Least part of what is offered that the first budget admits: rates of a node that itself stood still for a
/// moment say nothing.
const LEAST_FIRST_PART: f32 = 0.25;

/// Part of the openings of a service below which a route isn't refused. Operators check by single flows
/// which routes are in force, and take a refusal for the lack of the route; so few cost nothing.
const LEAST_ROUTE_PART: f32 = 0.05;

/// Routes whose part is counted; further ones are admitted.
const MAXIMUM_ROUTES: usize = 64;

#[derive(Clone, Copy, Debug)]
struct ClassMeter {
    class: RequestClass,
    /// Openings in this window.
    count: u32,
    /// Openings a second.
    rate: f32,
    /// Part that is admitted.
    share: f32,
    /// What is owed to the next opening; it is admitted from one on.
    credit: f32,
}

#[derive(Clone, Copy, Debug)]
struct RouteMeter {
    address: SocketAddrV4,
    count: u32,
    rate: f32,
}

/// The load of one service, as one traffic thread sees it.
#[derive(Debug, Default)]
pub struct ServiceGate {
    began: Timestamp,
    /// In the order of admission.
    classes: Vec<ClassMeter>,
    routes: Vec<RouteMeter>,
    /// Openings a second in the last window alone.
    offered_last: f32,
    /// Requests that were answered in this window.
    served: u32,
    served_rate: f32,
    /// The same in the last window alone.
    served_last: f32,
    /// Requests that were answered and lost since the last judgement.
    answered: u32,
    lost: u32,
    /// How many of them were queued for.
    queued: u32,
    lost_share: f32,
    signs: QueueSigns,
    /// What they told at the end of the last window.
    queues: QueueCount,
    /// What is admitted; none unless the service is overloaded.
    budget: Option<OpeningBudget>,
    change: Option<bool>,
}

impl ServiceGate {
    /// Counts an opening, and returns whether it is admitted.
    pub fn offer(
        &mut self,
        now: Timestamp,
        settings: &AdmissionSettings,
        route: SocketAddrV4,
        class: RequestClass,
    ) -> bool {
        self.turn(now, settings);
        let is_refusable = self.count_route(route);
        let meter = self.meter(class);
        meter.count += 1;
        if meter.share >= 1.0 || !is_refusable {
            return true;
        }
        meter.credit += meter.share;
        let admitted = meter.credit >= 1.0;
        if admitted {
            meter.credit -= 1.0;
        }
        admitted
    }

    /// Takes what became of a request.
    pub fn answered(
        &mut self,
        now: Timestamp,
        settings: &AdmissionSettings,
        sample: &AnswerSample,
    ) {
        self.turn(now, settings);
        let queues = match sample.outcome {
            AnswerOutcome::Answered { after, .. } => {
                let queues = self.signs.is_long(sample.priority, after);
                if self.budget.is_none() {
                    self.signs.learn_calm(sample.priority, after);
                }
                Some(queues)
            }
            // One that turns away at once is known to queue by its answers; an error of another is no sign of load.
            AnswerOutcome::Short { after } => {
                let queues = self.signs.is_long(sample.priority, after);
                if !queues && !self.signs.has_queued(now, sample.cookie) {
                    return;
                }
                queues.then_some(true)
            }
            // Who waits for long at an instance that queues waits in its queue. Another one may have died.
            AnswerOutcome::Unanswered { .. } if self.signs.has_queued(now, sample.cookie) => {
                Some(true)
            }
            AnswerOutcome::Unanswered { .. } => return,
        };
        self.count_answer(now, &sample.outcome, queues == Some(true));
        if let Some(queues) = queues {
            self.signs.note(now, sample.cookie, queues);
        }
    }

    fn count_answer(&mut self, now: Timestamp, outcome: &AnswerOutcome, is_queued: bool) {
        let is_served = matches!(outcome, AnswerOutcome::Answered { .. });
        self.served += u32::from(is_served);
        let budget = self.budget.as_ref();
        if budget.is_some_and(|budget| !budget.is_told_by(now, outcome)) {
            return;
        }
        self.queued += u32::from(is_queued);
        if is_served {
            self.answered += 1;
        } else {
            self.lost += 1;
        }
    }

    /// Begins a new window if the last one is over.
    pub fn turn(&mut self, now: Timestamp, settings: &AdmissionSettings) {
        let elapsed = now.since(self.began);
        if elapsed < WINDOW {
            return;
        }
        self.began = now;
        if elapsed.as_millis() >= WINDOW.as_millis() * FORGET_WINDOWS {
            self.forget_load();
            return;
        }
        self.count_window(elapsed.as_secs_f32());
        self.signs.expire(now);
        self.queues = self.signs.count(now);
        self.judge(now, settings);
        self.share_out();
    }

    /// The change since the last call, if there is one.
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

    /// The share of the openings that is admitted by class.
    pub fn admitted_shares(&self) -> impl Iterator<Item = (RequestClass, f32)> {
        self.classes.iter().map(|meter| (meter.class, meter.share))
    }

    /// Folds the counts of a window into the rates.
    fn count_window(&mut self, seconds: f32) {
        let blend = |rate: &mut f32, new: f32| *rate += (new - *rate) * WINDOW_WEIGHT;
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
        let least = 0.05;
        self.routes.retain(|route| route.rate > least);
        self.served_last = self.served as f32 / seconds;
        blend(&mut self.served_rate, self.served_last);
        self.served = 0;
    }

    fn judge(&mut self, now: Timestamp, settings: &AdmissionSettings) {
        let samples = self.answered + self.lost;
        let is_enough = samples >= LEAST_SAMPLES;
        if is_enough {
            self.lost_share = self.lost as f32 / samples as f32;
        }
        let queued_share = self.queued as f32 / samples.max(1) as f32;
        if is_enough || self.budget.is_none() {
            self.answered = 0;
            self.lost = 0;
            self.queued = 0;
        }
        // Losses without queues have another cause, which isn't mended by admitting less.
        let is_broad = self.queues.is_broad(self.budget.is_some());
        let lost_share = if is_broad { self.lost_share } else { 0.0 };
        let excess = lost_share - settings.lost_share;
        let (offered, offered_last) = (self.offered(), self.offered_last);
        let Some(budget) = &mut self.budget else {
            if is_enough && excess > 0.0 {
                let first = self.served_last.max(offered * LEAST_FIRST_PART);
                self.budget = Some(OpeningBudget::new(now, first));
                self.change = Some(true);
            }
            return;
        };
        if is_enough {
            budget.adjust(now, excess, queued_share);
        }
        if budget.is_over(offered_last) {
            self.budget = None;
            self.change = Some(false);
        }
    }

    /// Gives the budget to the classes in their order. If all that was offered in the last window fits, nothing
    /// is refused in the next.
    fn share_out(&mut self) {
        let budget = self.budget.as_ref().map(OpeningBudget::per_second);
        let budget = budget.filter(|budget| self.offered_last > *budget);
        let mut left = budget.unwrap_or(f32::INFINITY);
        for meter in &mut self.classes {
            meter.share = if meter.rate <= left {
                1.0
            } else {
                left / meter.rate
            };
            left = (left - meter.rate).max(0.0);
        }
    }

    fn forget_load(&mut self) {
        self.change = self.budget.take().map(|_| false);
        self.classes.clear();
        self.routes.clear();
        self.signs.forget_instances();
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

    /// Counts an opening of a route, and returns whether it may be refused.
    fn count_route(&mut self, address: SocketAddrV4) -> bool {
        let offered = self.offered();
        let found = self
            .routes
            .iter_mut()
            .find(|route| route.address == address);
        if let Some(route) = found {
            route.count += 1;
            return route.rate >= offered * LEAST_ROUTE_PART;
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
