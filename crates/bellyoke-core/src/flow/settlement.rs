//! Detects that a contested bucket has no flow on a backend other than its target any more.
//!
//! This adds no cost per packet: the incremental sweep visits each record anyway and reports
//! when an off-target flow was last active. A bucket is settled once a complete pass of the
//! sweep started an idle timeout after that time, visited every record and found no later
//! activity.

use crate::flow::record::FlowRecord;
use crate::flow::service_index::ServiceIndex;
use crate::flow::tick::{Tick, TickSpan};
use crate::flow::{FlowPlace, SettledBucket};
use crate::generation::{BucketRoute, Forwarding, Placement, ServiceForwarding};
use crate::identity::{BackendId, BucketIndex};
use std::collections::HashMap;

/// State of a contested bucket.
#[derive(Clone, Copy, Debug)]
struct WatchedBucket {
    target: Option<BackendId>,
    idle_timeout: TickSpan,
    /// Last activity of an off-target flow, or the time since when the bucket is watched.
    idle_since: Tick,
}

/// Contested buckets of all hashed services.
#[derive(Debug, Default)]
pub(super) struct Settlement {
    watched: HashMap<SettledBucket, WatchedBucket>,
}

impl Settlement {
    /// Watches the contested buckets of `forwarding`. Buckets that were contested before with
    /// the same target keep their idle time.
    pub(super) fn apply_generation(&mut self, now: Tick, forwarding: &Forwarding) {
        let mut next = HashMap::new();
        let services = forwarding.services.values();
        for service in services.filter(|service| service.placement == Placement::Hashed) {
            self.watch_service(now, service, &mut next);
        }
        self.watched = next;
    }

    fn watch_service(
        &self,
        now: Tick,
        service: &ServiceForwarding,
        next: &mut HashMap<SettledBucket, WatchedBucket>,
    ) {
        for (index, route) in service.routes.iter().enumerate() {
            let BucketRoute::Contested { target } = *route else {
                continue;
            };
            let bucket = SettledBucket {
                service: service.id,
                bucket: BucketIndex(index as u32),
            };
            let before = self.watched.get(&bucket);
            let idle_since = before
                .filter(|watch| watch.target == target)
                .map_or(now, |watch| watch.idle_since);
            let watch = WatchedBucket {
                target,
                idle_timeout: TickSpan::from_duration(service.idle_timeout),
                idle_since,
            };
            next.insert(bucket, watch);
        }
    }

    /// Records activity of a flow on `backend`.
    pub(super) fn record_packet(&mut self, at: Tick, place: &FlowPlace, backend: BackendId) {
        let bucket = SettledBucket {
            service: place.service,
            bucket: place.bucket,
        };
        if let Some(watch) = self.watched.get_mut(&bucket)
            && watch.target != Some(backend)
        {
            watch.idle_since = watch.idle_since.max(at);
        }
    }

    /// Records the last activity of a flow that the sweep visited or that was removed.
    pub(super) fn record_swept(
        &mut self,
        record: &FlowRecord,
        services: &ServiceIndex,
        forwarding: &Forwarding,
    ) {
        if self.watched.is_empty() {
            return;
        }
        let Some(service) = services.service(forwarding, record.service) else {
            return;
        };
        let place = FlowPlace {
            service: record.service,
            bucket: service.bucket(record.hash()),
            hash: record.hash(),
        };
        self.record_packet(record.last_seen, &place, record.backend);
    }

    /// Returns all settled buckets. `pass_start` is the start of the latest completed pass of
    /// the sweep.
    pub(super) fn settled(&self, pass_start: Tick) -> Vec<SettledBucket> {
        let is_idle =
            |watch: &WatchedBucket| pass_start.is_later_than(watch.idle_since, watch.idle_timeout);
        let idle = self.watched.iter().filter(|(_, watch)| is_idle(watch));
        let mut settled: Vec<SettledBucket> = idle.map(|(bucket, _)| *bucket).collect();
        settled.sort_unstable();
        settled
    }
}
