//! The queue of what is to come.

use super::network::NodeIndex;
use super::packet::{FlowIndex, FlowPacket};
use crate::experiment::strategy::{BackendIndex, ControlPayload, PublishOutcome, StoreContent};
use bellyoke_core::generation::Generation;
use bellyoke_core::time::Timestamp;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub enum Event {
    /// The next flow of a caller stream opens.
    FlowArrives {
        /// The service.
        service: usize,
        /// The stream in it.
        caller: usize,
    },
    /// A caller's timer.
    CallerTimer {
        /// Its flow.
        flow: FlowIndex,
        /// Timers of an earlier step are void.
        step: u32,
    },
    /// A packet reaches a balancer.
    AtNode {
        /// The balancer.
        node: NodeIndex,
        /// The packet.
        packet: FlowPacket,
        /// Whether another balancer sent it.
        relayed: bool,
    },
    /// A packet reaches a backend.
    AtBackend {
        /// The backend.
        backend: BackendIndex,
        /// The packet.
        packet: FlowPacket,
    },
    /// A backend finished the work of a request.
    WorkDone {
        /// The backend.
        backend: BackendIndex,
        /// The flow.
        flow: FlowIndex,
    },
    /// A message reaches a balancer.
    Control {
        /// The receiver.
        node: NodeIndex,
        /// The sender.
        from: NodeIndex,
        /// What it says.
        payload: ControlPayload,
    },
    /// A balancer's timer.
    NodeTimer {
        /// The balancer.
        node: NodeIndex,
    },
    /// A write reaches the store.
    StoreWrite {
        /// The writer.
        node: NodeIndex,
        /// What it writes.
        generation: Arc<Generation>,
    },
    /// The store's answer reaches the writer.
    StoreAnswer {
        /// The writer.
        node: NodeIndex,
        /// What it wrote.
        generation: Arc<Generation>,
        /// What became of it.
        outcome: PublishOutcome,
    },
    /// The operators' objects reach a reader.
    StoreRead {
        /// The reader.
        node: NodeIndex,
        /// The content.
        content: Arc<StoreContent>,
    },
    /// The fabric's list takes a change of a balancer.
    FabricList {
        /// The balancer.
        node: NodeIndex,
        /// Whether packets are sprayed on it from now on.
        listed: bool,
    },
    /// Something of the timeline.
    Timeline {
        /// Its place in the timeline.
        index: usize,
    },
    /// A balancer that joined first is followed by one that leaves.
    PlannedLeave,
    /// A measurement is taken.
    Sample,
}

#[derive(Debug)]
struct Scheduled {
    at: Timestamp,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Events in order of time; of two at one time the earlier scheduled comes first.
#[derive(Debug, Default)]
pub struct EventQueue {
    heap: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
}

impl EventQueue {
    /// Puts `event` into the queue.
    pub fn schedule(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse(Scheduled {
            at,
            sequence: self.sequence,
            event,
        }));
    }

    /// Takes the next event out.
    pub fn next(&mut self) -> Option<(Timestamp, Event)> {
        self.heap
            .pop()
            .map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }
}
