//! Detection of contested buckets that can be marked clean.
//!
//! If members report at different times, a flow that moves between nodes can be missed. Therefore
//! the owner first collects a report from each member and then starts a round. In that round each
//! member must report again, and both of its reports must name the same start of the settled
//! period. Then there was a time at which all members were settled, each for the preceding idle
//! timeout.

use super::Ownership;
use super::cluster::{Cluster, is_contested};
use super::message::{OwnershipMessage, SettledEntry, SettledReport};
use super::pending::{PendingClean, PendingItem};
use super::pin::{Pin, PinDestination, PinKey, SettledMark};
use crate::flow::{FlowPlace, SettledBucket};
use crate::generation::{Bucket, Placement};
use crate::identity::{GenerationNumber, GroupIndex, NodeId};
use crate::packet::FlowHash;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of settled buckets of a group that wait to be marked clean. All of them must fit
/// into one message.
const MAX_MARKS_PER_GROUP: usize = 64;
/// Maximum number of buckets in one report.
const MAX_ENTRIES_PER_REPORT: usize = 64;

/// The reports of this node, and those that it collects as an owner.
#[derive(Debug, Default)]
pub(super) struct Settlement {
    report_count: u32,
    settled_since_report: BTreeMap<SettledBucket, u32>,
    rounds: BTreeMap<NodeId, u32>,
    own_round: u32,
    reports_by_bucket: BTreeMap<SettledBucket, BucketReports>,
}

/// A round, started after each member had reported once.
#[derive(Clone, Copy, Debug)]
struct Round {
    number: u32,
    started_at: Timestamp,
}

/// The reports about one bucket.
#[derive(Debug)]
struct BucketReports {
    bucket: Bucket,
    recorded_under: GenerationNumber,
    first_reports: BTreeMap<NodeId, u32>,
    second_round: Option<Round>,
    second_reports: BTreeSet<NodeId>,
}

impl BucketReports {
    fn new(bucket: Bucket, recorded_under: GenerationNumber) -> Self {
        Self {
            bucket,
            recorded_under,
            first_reports: BTreeMap::new(),
            second_round: None,
            second_reports: BTreeSet::new(),
        }
    }

    fn record(&mut self, from: NodeId, round: u32, since_report: u32) {
        if self
            .first_reports
            .get(&from)
            .is_some_and(|previous| *previous != since_report)
        {
            *self = Self::new(self.bucket, self.recorded_under);
        }
        self.first_reports.insert(from, since_report);
        if self
            .second_round
            .is_some_and(|second| round >= second.number)
        {
            self.second_reports.insert(from);
        }
    }
}

impl Ownership {
    /// Reports to the owners which of their buckets are settled on this node.
    pub(super) fn report_settled(&mut self, now: Timestamp, buckets: &[SettledBucket]) {
        let settlement = &mut self.settlement;
        settlement.report_count += 1;
        let current: BTreeSet<&SettledBucket> = buckets.iter().collect();
        settlement
            .settled_since_report
            .retain(|bucket, _| current.contains(bucket));
        for bucket in buckets {
            let since = settlement.settled_since_report.entry(*bucket);
            since.or_insert(settlement.report_count);
        }
        for (owner, entries) in self.entries_by_owner() {
            self.send_settled_report(now, owner, &entries);
        }
    }

    fn entries_by_owner(&self) -> BTreeMap<NodeId, Vec<SettledEntry>> {
        let mut entries: BTreeMap<NodeId, Vec<SettledEntry>> = BTreeMap::new();
        let Some(cluster) = &self.cluster else {
            return entries;
        };
        for (bucket, since_report) in &self.settlement.settled_since_report {
            let contested = cluster
                .bucket(lookup_place(*bucket))
                .is_some_and(|(service, bucket)| is_contested(service, bucket));
            let owner = self.presumed_owner(cluster.group(lookup_place(*bucket)));
            if let Some(owner) = owner.filter(|_| contested) {
                entries.entry(owner).or_default().push(SettledEntry {
                    bucket: *bucket,
                    since_report: *since_report,
                });
            }
        }
        entries
    }

    fn send_settled_report(&mut self, now: Timestamp, owner: NodeId, entries: &[SettledEntry]) {
        let generation = self.forwarding_generation;
        let round = self.settlement.rounds.get(&owner).copied().unwrap_or(0);
        for part in entries.chunks(MAX_ENTRIES_PER_REPORT) {
            let report = SettledReport {
                generation,
                round,
                buckets: part.to_vec(),
            };
            if owner == self.node {
                self.handle_settled_report(now, owner, &report);
            } else {
                self.send(owner, OwnershipMessage::Settled(Box::new(report)));
            }
        }
    }

    /// Records the round that an owner has started.
    pub(super) fn handle_settled_round(&mut self, from: NodeId, round: u32) {
        let is_member = self
            .cluster
            .as_ref()
            .is_some_and(|cluster| cluster.is_known_member(from));
        if is_member {
            let current_round = self.settlement.rounds.entry(from).or_default();
            *current_round = (*current_round).max(round);
        }
    }

    /// Handles a member's report of settled buckets that this node owns.
    pub(super) fn handle_settled_report(
        &mut self,
        now: Timestamp,
        from: NodeId,
        report: &SettledReport,
    ) {
        let is_member = self
            .cluster
            .as_ref()
            .is_some_and(|cluster| cluster.members().contains(&from));
        if !is_member {
            return;
        }
        for entry in &report.buckets {
            self.record_settled_entry(now, from, report, entry);
        }
        let round = self.settlement.own_round;
        self.send(from, OwnershipMessage::SettledRound(round));
    }

    /// Records one entry. Until the barrier, new flows still go to the base, and entries are
    /// ignored.
    fn record_settled_entry(
        &mut self,
        now: Timestamp,
        from: NodeId,
        report: &SettledReport,
        entry: &SettledEntry,
    ) {
        let Some(cluster) = &self.cluster else {
            return;
        };
        let place = lookup_place(entry.bucket);
        let Some((service, bucket)) = cluster.bucket(place) else {
            return;
        };
        let group = cluster.group(place);
        if !is_contested(service, bucket) || !self.is_serving(group) {
            return;
        }
        let barrier_passed = bucket.contested_since <= self.membership.barrier;
        if !barrier_passed {
            return;
        }
        let number = cluster.number();
        let reports = self.settlement.reports_by_bucket.entry(entry.bucket);
        let reports = reports.or_insert_with(|| BucketReports::new(*bucket, number));
        if reports.bucket != *bucket {
            *reports = BucketReports::new(*bucket, number);
        }
        if report.generation < reports.recorded_under {
            return;
        }
        reports.record(from, report.round, entry.since_report);
        let members = cluster.members();
        if !members
            .iter()
            .all(|node| reports.first_reports.contains_key(node))
        {
            return;
        }
        let Some(second_round) = reports.second_round else {
            self.settlement.own_round += 1;
            reports.second_round = Some(Round {
                number: self.settlement.own_round,
                started_at: now,
            });
            return;
        };
        if !members
            .iter()
            .all(|node| reports.second_reports.contains(node))
        {
            return;
        }
        self.settlement.reports_by_bucket.remove(&entry.bucket);
        self.settle_bucket(now, group, entry.bucket, second_round.started_at);
    }

    /// Removes the idle pins of a bucket that is settled on all members. If no other pin keeps it
    /// contested, marks it as settled; it can be clean once a majority has stored the mark.
    ///
    /// All members were settled when the round started at `started_at`. A pin that was used since
    /// then may belong to a flow that was opened since then.
    fn settle_bucket(
        &mut self,
        now: Timestamp,
        group: GroupIndex,
        settled: SettledBucket,
        started_at: Timestamp,
    ) {
        let Some(cluster) = &self.cluster else {
            return;
        };
        let Some((service, bucket)) = cluster.bucket(lookup_place(settled)) else {
            return;
        };
        let Some(state) = self.groups.get(&group) else {
            return;
        };
        let by_load = service.placement == Placement::LeastLoaded;
        let target = bucket.target.filter(|_| !by_load);
        let mark = SettledMark {
            settled,
            contested_since: bucket.contested_since,
            target,
        };
        let buckets = service.buckets.len();
        let idle_timeout = Duration::from_secs(u64::from(service.idle_timeout_seconds));
        let in_bucket = |key: &PinKey| {
            key.service == settled.service && key.hash.bucket(buckets) == settled.bucket
        };
        let off_target = |pin: &Pin| match pin.destination {
            PinDestination::Backend(backend) => Some(backend) != target,
            PinDestination::Refused => true,
        };
        let pins = state.acceptor.pins().iter();
        let off_target: Vec<(PinKey, Pin)> = pins
            .filter(|(key, pin)| in_bucket(key) && off_target(pin))
            .map(|(key, pin)| (*key, *pin))
            .collect();
        let is_idle = |pin: &Pin| started_at.since(pin.last_used) >= idle_timeout;
        let idle = off_target.iter().filter(|(_, pin)| is_idle(pin));
        let idle: Vec<PinKey> = idle.map(|(key, _)| *key).collect();
        let all_idle = idle.len() == off_target.len();
        self.remove_pins(now, group, &idle);
        if all_idle && mark.target.is_some() {
            self.append_settled_mark(now, group, mark);
        }
    }

    fn append_settled_mark(&mut self, now: Timestamp, group: GroupIndex, mark: SettledMark) {
        let Some(decided_under) = self.cluster.as_ref().map(Cluster::number) else {
            return;
        };
        let Some(state) = self.groups.get_mut(&group) else {
            return;
        };
        if state.acceptor.pins().marks().len() >= MAX_MARKS_PER_GROUP {
            return;
        }
        let Some(leader) = state.serving() else {
            return;
        };
        let sequence = leader.append_mark(mark);
        let clean = PendingClean {
            settled: mark.settled,
            decided_under,
            deadline: now.after(self.settings.packet_timeout),
        };
        leader.add_pending(sequence, PendingItem::Clean(clean));
        state.acceptor.pins_mut().apply_mark(mark);
        self.active_groups.insert(group);
    }

    /// Removes reports about buckets that are no longer contested. Removes all reports if the
    /// members have changed, because those of a new member are later than the round of the others.
    pub(super) fn trim_settlement(&mut self) {
        let Some(cluster) = &self.cluster else {
            return;
        };
        let is_still_contested = |settled: &SettledBucket| {
            cluster
                .bucket(lookup_place(*settled))
                .is_some_and(|(service, bucket)| is_contested(service, bucket))
        };
        self.settlement
            .reports_by_bucket
            .retain(|settled, _| is_still_contested(settled));
        if cluster.members_changed() {
            self.settlement.reports_by_bucket.clear();
        }
        self.settlement
            .rounds
            .retain(|node, _| cluster.is_known_member(*node));
    }
}

/// Returns a place in bucket `settled` for look-ups that need no flow.
fn lookup_place(settled: SettledBucket) -> FlowPlace {
    FlowPlace {
        service: settled.service,
        bucket: settled.bucket,
        hash: FlowHash(0),
    }
}
