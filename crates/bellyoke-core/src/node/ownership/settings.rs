//! Limits and timeouts of ownership.

use std::time::Duration;

/// Limits and timeouts of ownership, per node.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipSettings {
    /// How long pins, answers and confirmations to one peer are collected before they are sent.
    pub batch_delay: Duration,
    /// Delay before an unanswered message is first sent again. It must exceed the time that an
    /// answer needs while it waits for the control budget, as it does during a change of
    /// generation.
    pub retry_interval: Duration,
    /// How long a packet may wait for a known owner or for a majority of replicas. It must be
    /// shorter than `delay_horizon`: otherwise a queued copy could outlive the barrier's wait.
    pub packet_timeout: Duration,
    /// Longest time that a copy of a packet can stay in the network.
    pub delay_horizon: Duration,
    /// How long the pin of an ended flow is kept for late copies of its packets (RFC 9293,
    /// TIME-WAIT).
    pub ended_pin_retention: Duration,
    /// How long a new owner waits for a majority of earlier replicas before it considers their
    /// pins lost. It must exceed the sum of the lease time and `delay_horizon`.
    pub abandon_timeout: Duration,
    /// Like `abandon_timeout`, for a group in which no pin can have been lost.
    pub abandon_empty_timeout: Duration,
    /// Maximum number of pins in the groups that this node owns. At the limit it opens no flow.
    pub max_pins: usize,
    /// Maximum number of queued packets.
    pub max_queued_packets: usize,
    /// Maximum total bytes of queued packets.
    pub max_queued_bytes: usize,
    /// Maximum number of pins in one message.
    pub max_batch_pins: usize,
    /// Maximum number of batches per group that are retained for sending again.
    pub max_unacknowledged_batches: usize,
    /// Seed for breaking ties between backends.
    pub seed: u64,
    /// Disables one mechanism, for tests that show that it is needed.
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

/// A mechanism that a test has disabled.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Ablation {
    /// All mechanisms are enabled.
    #[default]
    None,
    /// New flows are placed on the target before the barrier has passed.
    NoBarrierWait,
    /// Recently opened flows are not handed over.
    NoHandoverList,
    /// Packets are forwarded before a majority of replicas stores their pin.
    NoPinReplication,
    /// Replicas accept any ballot.
    NoBallotCheck,
    /// The owner serves unpinned flows without confirming that it is still the owner.
    NoReadConfirmation,
}
