//! Limits and times of ownership.

use std::time::Duration;

/// Limits and times of ownership. All are per node.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipSettings {
    /// How long pins, answers and confirmations to one peer are gathered before they are sent.
    pub batch_delay: Duration,
    /// After how long an unanswered message is sent again for the first time. Longer than an
    /// answer takes that waits for the control budget, as it does at a change.
    pub retry_interval: Duration,
    /// How long a packet may wait: for an owner to be known, or for a majority of replicas.
    /// Shorter than the delay horizon, so that no copy of it outlives the barrier's wait.
    pub packet_timeout: Duration,
    /// Longest time that a copy of a packet is taken to stay in the network.
    pub delay_horizon: Duration,
    /// How long the pin of an ended flow is kept, for late copies of its packets (RFC 9293,
    /// TIME-WAIT).
    pub ended_pin_retention: Duration,
    /// How long a new owner waits for a majority of earlier replicas before it takes their
    /// pins for lost. Longer than lease time and delay horizon together.
    pub abandon_timeout: Duration,
    /// The same for a group in which no pin can have been lost.
    pub abandon_empty_timeout: Duration,
    /// Most pins in the groups that this node owns; with more it opens no flow.
    pub max_pins: usize,
    /// Most packets that wait, and most bytes in them.
    pub max_queued_packets: usize,
    /// Most bytes in packets that wait.
    pub max_queued_bytes: usize,
    /// Most pins in one message.
    pub max_batch_pins: usize,
    /// Most batches of one group that are kept to be sent again.
    pub max_unacknowledged_batches: usize,
    /// Seed of tie breaks between backends.
    pub seed: u64,
    /// Switches one mechanism off, to show by a test that it is needed.
    #[doc(hidden)]
    pub ablation: Ablation,
}

impl Default for OwnershipSettings {
    fn default() -> Self {
        Self {
            batch_delay: Duration::from_millis(2),
            retry_interval: Duration::from_millis(500),
            packet_timeout: Duration::from_millis(1500),
            delay_horizon: Duration::from_secs(3),
            ended_pin_retention: Duration::from_secs(60),
            abandon_timeout: Duration::from_secs(15),
            abandon_empty_timeout: Duration::from_secs(3),
            max_pins: 1 << 20,
            max_queued_packets: 4096,
            max_queued_bytes: 4 << 20,
            max_batch_pins: 64,
            max_unacknowledged_batches: 4096,
            seed: 0,
            ablation: Ablation::None,
        }
    }
}

/// A mechanism that a test has switched off.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Ablation {
    /// All mechanisms work.
    #[default]
    None,
    /// New flows are placed on the target before the barrier.
    NoBarrierWait,
    /// Recently opened flows are not handed over.
    NoHandoverList,
    /// Packets go out before their pin is on a majority of replicas.
    NoPinReplication,
    /// Replicas accept whatever ballot they are sent.
    NoBallotCheck,
    /// The owner serves unpinned flows without asking whether it still is the owner.
    NoReadConfirmation,
}
