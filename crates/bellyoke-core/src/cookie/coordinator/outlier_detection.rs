//! Outlier detection by the coordinator: instances whose answers fail.

use super::{Coordinator, Outcome};
use crate::cookie::exchange::{ExchangeEffect, OutlierMessage, tallies_of};
use crate::cookie::instance::Cookie;
use crate::cookie::outliers::{
    InstanceTally, OutlierChange, OutlierDetector, OutlierSettings, TallyAccumulator, VerdictCache,
};
use crate::cookie::replica::StateChange;
use crate::cookie::table::ForwardingTable;
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

/// Minimum time between two reports of a node, which take three datagrams of some hundred bytes
/// while requests fail.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Minimum time between two reviews of the reports.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which unchanged verdicts are announced again. Less than half of their lifetime.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Outlier state of the control thread.
#[derive(Debug)]
pub(super) struct OutlierState {
    settings: OutlierSettings,
    detector: OutlierDetector,
    verdicts: VerdictCache,
    /// Tallies of this node that are not yet reported.
    unreported: TallyAccumulator,
    next_report: Timestamp,
    next_review: Timestamp,
    next_announcement: Timestamp,
    announced: Vec<Cookie>,
    sequence: u64,
    outliers: BTreeSet<Cookie>,
    /// Whether verdicts were received that `outliers` does not include yet.
    verdicts_changed: bool,
}

impl OutlierState {
    pub(super) fn new(settings: OutlierSettings) -> Self {
        Self {
            settings,
            detector: OutlierDetector::new(settings),
            verdicts: VerdictCache::default(),
            unreported: TallyAccumulator::default(),
            next_report: Timestamp::ZERO,
            next_review: Timestamp::ZERO,
            next_announcement: Timestamp::ZERO,
            announced: Vec::new(),
            sequence: 0,
            outliers: BTreeSet::new(),
            verdicts_changed: false,
        }
    }
}

impl OutlierState {
    /// Removes the reports about an instance that has restarted.
    pub(super) fn forget(&mut self, cookie: Cookie) {
        self.detector.forget(cookie);
    }
}

impl Coordinator {
    /// Sets the thresholds for ejecting instances.
    #[must_use]
    pub fn with_outlier_settings(self, settings: OutlierSettings) -> Self {
        let outlier_state = OutlierState::new(settings);
        Self {
            outlier_state,
            ..self
        }
    }

    /// Records the answers that the traffic thread saw since the last call.
    pub fn record_answers(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        tallies: &[InstanceTally],
    ) {
        if self.outlier_state.settings.largest_share <= 0.0 || tallies.is_empty() {
            return;
        }
        if self.exchange.collects_reports() {
            self.outlier_state.detector.record_report(now, tallies);
        } else {
            self.outlier_state.detector.clear_reports();
        }
        self.outlier_state
            .detector
            .record_own_requests(now, table, tallies);
        let outliers = &self.outlier_state.outliers;
        let reported = tallies
            .iter()
            .filter(|tally| tally.bad() > 0 || outliers.contains(&tally.cookie));
        let reported: Vec<InstanceTally> = reported.copied().collect();
        self.outlier_state.unreported.add(&reported);
    }

    /// Reports this node's tallies and, on a collector, compares the instances. Returns the changes
    /// and the messages to peers.
    pub fn review_outliers(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
    ) -> (Vec<OutlierChange>, Vec<ExchangeEffect>) {
        let mut effects = self.report(now);
        let mut changes = Vec::new();
        if now >= self.outlier_state.next_review {
            self.outlier_state.next_review = now.after(REVIEW_INTERVAL);
            if self.exchange.collects_reports() {
                let nodes = self.exchange.node_count_upper_bound(now);
                changes = self.outlier_state.detector.review(now, table, nodes);
                effects.extend(self.announce(now));
            }
            self.outlier_state.verdicts.expire(now);
            self.outlier_state.verdicts_changed = true;
        }
        if std::mem::take(&mut self.outlier_state.verdicts_changed) {
            let share = self.outlier_state.settings.largest_share;
            self.outlier_state.outliers = self.outlier_state.verdicts.outliers(table, share);
        }
        (changes, effects)
    }

    /// Returns the instances whose answers fail, unlike those of others.
    #[must_use]
    pub const fn outliers(&self) -> &BTreeSet<Cookie> {
        &self.outlier_state.outliers
    }

    pub(super) fn handle_outlier_message(
        &mut self,
        now: Timestamp,
        message: &OutlierMessage,
    ) -> Outcome {
        let mut effects = Vec::new();
        match message {
            OutlierMessage::Report(reported) => {
                let tallies = tallies_of(reported);
                self.outlier_state.detector.record_report(now, &tallies);
            }
            OutlierMessage::Verdicts(verdicts) => {
                if self.outlier_state.verdicts.record(now, verdicts) {
                    self.outlier_state.verdicts_changed = true;
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
        if now < self.outlier_state.next_report || self.outlier_state.unreported.is_empty() {
            return Vec::new();
        }
        self.outlier_state.next_report = now.after(REPORT_INTERVAL);
        let tallies = self.outlier_state.unreported.take();
        self.exchange.report_tallies(now, &tallies)
    }

    /// Announces the verdicts when they changed, again at intervals while there are any, and once
    /// more when none are left.
    fn announce(&mut self, now: Timestamp) -> Vec<ExchangeEffect> {
        let outliers = self.outlier_state.detector.outliers();
        let changed = outliers != self.outlier_state.announced;
        let is_due = !outliers.is_empty() && now >= self.outlier_state.next_announcement;
        if !changed && !is_due {
            return Vec::new();
        }
        self.outlier_state.next_announcement = now.after(ANNOUNCEMENT_INTERVAL);
        self.outlier_state.sequence += 1;
        let verdicts = self
            .exchange
            .build_verdicts(self.outlier_state.sequence, &outliers);
        self.outlier_state.announced = outliers;
        self.outlier_state.verdicts.record(now, &verdicts);
        self.exchange.forward_verdicts(&verdicts)
    }
}
