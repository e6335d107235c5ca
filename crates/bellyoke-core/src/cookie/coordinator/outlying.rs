//! The coordinator's part in finding instances whose answers fail.

use super::{Coordinator, Outcome};
use crate::cookie::exchange::{ExchangeEffect, OutlierMessage, tallies_of};
use crate::cookie::instance::Cookie;
use crate::cookie::outliers::{
    InstanceTally, OutlierBoard, OutlierChange, OutlierDetector, OutlierSettings, TallyBook,
};
use crate::cookie::replica::StateChange;
use crate::cookie::table::ForwardingTable;
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

/// Shortest time between two reports of a node: three datagrams of some hundred bytes while requests fail.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Shortest time between two reviews of the reports.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// How often verdicts are told that don't change. Less than half as long as they hold.
const TELL_INTERVAL: Duration = Duration::from_millis(1_000);

/// What the control thread knows of instances whose answers fail.
#[derive(Debug)]
pub(super) struct OutlierDuty {
    settings: OutlierSettings,
    detector: OutlierDetector,
    board: OutlierBoard,
    /// What this node saw and hasn't reported.
    unreported: TallyBook,
    next_report: Timestamp,
    next_review: Timestamp,
    next_telling: Timestamp,
    told: Vec<Cookie>,
    sequence: u64,
    outliers: BTreeSet<Cookie>,
    /// Whether verdicts were heard that `outliers` doesn't hold yet.
    has_news: bool,
}

impl OutlierDuty {
    pub(super) fn new(settings: OutlierSettings) -> Self {
        Self {
            settings,
            detector: OutlierDetector::new(settings),
            board: OutlierBoard::default(),
            unreported: TallyBook::default(),
            next_report: Timestamp::ZERO,
            next_review: Timestamp::ZERO,
            next_telling: Timestamp::ZERO,
            told: Vec::new(),
            sequence: 0,
            outliers: BTreeSet::new(),
            has_news: false,
        }
    }
}

impl OutlierDuty {
    /// Forgets what was reported of an instance that has started again.
    pub(super) fn forget(&mut self, cookie: Cookie) {
        self.detector.forget(cookie);
    }
}

impl Coordinator {
    /// When an instance stands out by its answers.
    #[must_use]
    pub fn with_outlier_settings(self, settings: OutlierSettings) -> Self {
        let outlying = OutlierDuty::new(settings);
        Self { outlying, ..self }
    }

    /// What the traffic thread saw of answers since the last call.
    pub fn note_answers(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        tallies: &[InstanceTally],
    ) {
        if self.outlying.settings.largest_share <= 0.0 || tallies.is_empty() {
            return;
        }
        if self.exchange.collects_reports() {
            self.outlying.detector.note_report(now, tallies);
        } else {
            self.outlying.detector.forget_reports();
        }
        self.outlying.detector.note_own(now, table, tallies);
        let held = &self.outlying.outliers;
        let telling = tallies
            .iter()
            .filter(|tally| tally.bad() > 0 || held.contains(&tally.cookie));
        let telling: Vec<InstanceTally> = telling.copied().collect();
        self.outlying.unreported.add(&telling);
    }

    /// Reports what this node saw, compares instances if it collects, and returns what changed and what to
    /// tell peers.
    pub fn review_outliers(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
    ) -> (Vec<OutlierChange>, Vec<ExchangeEffect>) {
        let mut effects = self.report(now);
        let mut changes = Vec::new();
        if now >= self.outlying.next_review {
            self.outlying.next_review = now.after(REVIEW_INTERVAL);
            if self.exchange.collects_reports() {
                let nodes = self.exchange.node_count_upper_bound(now);
                changes = self.outlying.detector.review(now, table, nodes);
                effects.extend(self.tell(now));
            }
            self.outlying.board.expire(now);
            self.outlying.has_news = true;
        }
        if std::mem::take(&mut self.outlying.has_news) {
            let share = self.outlying.settings.largest_share;
            self.outlying.outliers = self.outlying.board.outliers(table, share);
        }
        (changes, effects)
    }

    /// Instances whose answers fail, unlike those of others.
    #[must_use]
    pub const fn outliers(&self) -> &BTreeSet<Cookie> {
        &self.outlying.outliers
    }

    pub(super) fn outlier_message(&mut self, now: Timestamp, message: &OutlierMessage) -> Outcome {
        let mut effects = Vec::new();
        match message {
            OutlierMessage::Report(reported) => {
                let tallies = tallies_of(reported);
                self.outlying.detector.note_report(now, &tallies);
            }
            OutlierMessage::Verdicts(verdicts) => {
                if self.outlying.board.note(now, verdicts) {
                    self.outlying.has_news = true;
                    effects = self.exchange.forward_verdicts(verdicts);
                }
            }
        }
        Outcome {
            change: StateChange::default(),
            effects,
        }
    }

    fn report(&mut self, now: Timestamp) -> Vec<ExchangeEffect> {
        if now < self.outlying.next_report || self.outlying.unreported.is_empty() {
            return Vec::new();
        }
        self.outlying.next_report = now.after(REPORT_INTERVAL);
        let tallies = self.outlying.unreported.take();
        self.exchange.report_tallies(now, &tallies)
    }

    /// Tells the verdicts if they changed, now and then while there are some, and once when there is none
    /// any more.
    fn tell(&mut self, now: Timestamp) -> Vec<ExchangeEffect> {
        let outliers = self.outlying.detector.outliers();
        let changed = outliers != self.outlying.told;
        let is_due = !outliers.is_empty() && now >= self.outlying.next_telling;
        if !changed && !is_due {
            return Vec::new();
        }
        self.outlying.next_telling = now.after(TELL_INTERVAL);
        self.outlying.sequence += 1;
        let verdicts = self
            .exchange
            .build_verdicts(self.outlying.sequence, &outliers);
        self.outlying.told = outliers;
        self.outlying.board.note(now, &verdicts);
        self.exchange.forward_verdicts(&verdicts)
    }
}
