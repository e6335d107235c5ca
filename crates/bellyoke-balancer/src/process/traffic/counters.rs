//! What a traffic thread has done, readable by other threads without a lock.

use bellyoke_core::flow::{DropReason, FlowCounters};
use std::sync::atomic::{AtomicU64, Ordering};

/// Declares the counters, each with its metric name and its help text.
macro_rules! traffic_counters {
    ($($name:ident = $metric:literal, $help:literal;)+) => {
        /// A count that each traffic thread keeps.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum TrafficCounter {
            $(#[doc = $help] $name,)+
        }

        impl TrafficCounter {
            /// All counters.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// Its name among the metrics, without prefix and suffix.
            #[must_use]
            pub const fn metric(self) -> &'static str {
                match self {
                    $(Self::$name => $metric,)+
                }
            }

            /// What it counts.
            #[must_use]
            pub const fn help(self) -> &'static str {
                match self {
                    $(Self::$name => $help,)+
                }
            }
        }
    };
}

traffic_counters! {
    Received = "packets_received", "Packets received from the fabric";
    Forwarded = "packets_forwarded", "Packets that the flow table or the lookup table gave a backend";
    Sent = "packets_sent", "Packets that the kernel took for a tunnel or the fabric";
    SendFailed = "packets_send_failed", "Packets that the kernel did not take";
    Escalated = "packets_escalated", "Packets that only their bucket's owner could decide";
    EscalationsDropped = "packets_escalation_dropped", "Packets dropped because the control thread's queue was full";
    HandedOver = "packets_handed_over", "Packets passed to the traffic thread that holds their flow";
    HandoversDropped = "packets_handover_dropped", "Packets dropped because another traffic thread's queue was full";
    Late = "packets_late", "Packets dropped because the traffic thread was held up";
    Reset = "packets_reset", "Packets answered by a reset because their backend is dead";
    DroppedMalformed = "packets_dropped_malformed", "Packets dropped: not a whole IP packet";
    DroppedChecksum = "packets_dropped_checksum", "Packets dropped: wrong checksum";
    DroppedFragment = "packets_dropped_fragment", "Packets dropped: IP fragment";
    DroppedProtocol = "packets_dropped_protocol", "Packets dropped: transport protocol that is not balanced";
    DroppedUnknownService = "packets_dropped_unknown_service", "Packets dropped: no such service";
    DroppedOversized = "packets_dropped_oversized", "Packets dropped: longer than the tunnel carries";
    DroppedTableFull = "packets_dropped_table_full", "Packets dropped: the flow table is full";
    DroppedFenced = "packets_dropped_fenced", "Packets dropped: the node holds no lease";
    FlowsOpened = "flows_opened", "Flows opened by lookup table";
    FlowsTakenOver = "flows_taken_over", "Flows taken over by lookup table from another node";
    FlowsLearned = "flows_learned", "Flows that their bucket's owner told of";
    FlowsExpired = "flows_expired", "Flows that timed out";
    FlowsEvicted = "flows_evicted", "Flows forgotten to make room, which the lookup table still knows";
    FlowsUnrecorded = "flows_unrecorded", "Flows that the full flow table could not record";
    ServiceMismatches = "packets_service_mismatch", "Packets reset because their backend serves another service";
}

impl TrafficCounter {
    /// The counter of packets dropped for `reason`.
    #[must_use]
    pub const fn of_drop(reason: DropReason) -> Self {
        match reason {
            DropReason::Malformed => Self::DroppedMalformed,
            DropReason::Checksum => Self::DroppedChecksum,
            DropReason::Fragment => Self::DroppedFragment,
            DropReason::Protocol => Self::DroppedProtocol,
            DropReason::UnknownService => Self::DroppedUnknownService,
            DropReason::Oversized => Self::DroppedOversized,
            DropReason::TableFull => Self::DroppedTableFull,
            DropReason::Fenced => Self::DroppedFenced,
        }
    }
}

/// The counters of one traffic thread. Only that thread writes them.
#[derive(Debug)]
pub struct WorkerCounters {
    values: [AtomicU64; TrafficCounter::ALL.len()],
    flows: AtomicU64,
}

impl Default for WorkerCounters {
    fn default() -> Self {
        Self {
            values: std::array::from_fn(|_| AtomicU64::new(0)),
            flows: AtomicU64::new(0),
        }
    }
}

impl WorkerCounters {
    /// Adds to a counter. There is one writer, so load and store suffice.
    pub fn add(&self, counter: TrafficCounter, count: u64) {
        let value = &self.values[counter as usize];
        value.store(
            value.load(Ordering::Relaxed).wrapping_add(count),
            Ordering::Relaxed,
        );
    }

    /// The value of a counter.
    #[must_use]
    pub fn get(&self, counter: TrafficCounter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }

    /// Flows that the thread holds.
    #[must_use]
    pub fn flows(&self) -> u64 {
        self.flows.load(Ordering::Relaxed)
    }

    /// Takes over what the thread's decider counted of flows.
    pub fn publish_flows(&self, held: u32, counters: &FlowCounters) {
        self.flows.store(u64::from(held), Ordering::Relaxed);
        let published = [
            (TrafficCounter::FlowsOpened, counters.opened),
            (TrafficCounter::FlowsTakenOver, counters.taken_over),
            (TrafficCounter::FlowsLearned, counters.learned),
            (TrafficCounter::FlowsExpired, counters.expired),
            (TrafficCounter::FlowsEvicted, counters.evicted),
            (TrafficCounter::FlowsUnrecorded, counters.table_full),
            (TrafficCounter::ServiceMismatches, counters.service_mismatch),
        ];
        for (counter, value) in published {
            self.values[counter as usize].store(value, Ordering::Relaxed);
        }
    }
}
