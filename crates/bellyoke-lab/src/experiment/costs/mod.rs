//! What the core costs: processor time, messages and memory, and how these grow with the
//! number of balancers.

mod clock;
mod kind;
mod slopes;

pub use clock::{ThreadClock, resident_bytes};
pub use kind::MessageKind;
pub use slopes::{SizeCosts, render_slopes};

use bellyoke_core::node::Message;
use std::collections::BTreeMap;
use std::time::Duration;

/// Messages of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCost {
    /// How many were sent.
    pub messages: u64,
    /// Their bytes, with the datagrams' headers.
    pub bytes: u64,
}

/// What one balancer has cost.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeCosts {
    /// Processor time of the control thread's state machine.
    pub control: Duration,
    /// Processor time of encoding and decoding messages.
    pub codec: Duration,
    /// Processor time of the publisher, which runs on readers of the store only.
    pub publisher: Duration,
    /// Processor time of a traffic thread's sweeps and switches of generation.
    pub housekeeping: Duration,
    /// Messages sent.
    pub messages: BTreeMap<MessageKind, MessageCost>,
    /// Flows that are held at the end.
    pub flow_records: u64,
    /// The newest generation's number.
    pub generation: u64,
    /// Bytes of its encoding.
    pub generation_bytes: u64,
}

impl NodeCosts {
    /// A message was sent, as a datagram of `length` bytes with its headers.
    pub fn sent(&mut self, message: &Message, length: usize) {
        let cost = self.messages.entry(MessageKind::of(message)).or_default();
        cost.messages += 1;
        cost.bytes += length as u64;
    }
}

/// What the balancers of a cluster have cost together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClusterCosts {
    /// How many balancers ran at the end.
    pub balancers: u64,
    /// Sums over them.
    pub total: NodeCosts,
    /// The most control time of any of them.
    pub most_control: Duration,
    /// The most publishing time of any of them.
    pub most_publisher: Duration,
}

impl ClusterCosts {
    /// Adds a balancer.
    pub fn add(&mut self, node: &NodeCosts) {
        self.balancers += 1;
        self.total.control += node.control;
        self.total.codec += node.codec;
        self.total.publisher += node.publisher;
        self.total.housekeeping += node.housekeeping;
        self.total.flow_records += node.flow_records;
        self.total.generation = self.total.generation.max(node.generation);
        self.total.generation_bytes = self.total.generation_bytes.max(node.generation_bytes);
        self.most_control = self.most_control.max(node.control);
        self.most_publisher = self.most_publisher.max(node.publisher);
        for (kind, cost) in &node.messages {
            let sum = self.total.messages.entry(*kind).or_default();
            sum.messages += cost.messages;
            sum.bytes += cost.bytes;
        }
    }
}
