//! Detects unreachable instances by active probes.
//!
//! A failed opening does not prove that an instance is unreachable: the packet may have been lost,
//! the instance may be full, or this node's own link may be at fault. It only makes the instance a
//! suspect. A probe then decides: it opens connections to the suspect, several in a row, and at the
//! same time connections to other instances, the controls. An instance is *unreachable* if none of
//! its connections opened while those of all controls did, which rules out a fault of this node.
//!
//! A node reports what its probe found. Other nodes act on the report without probes of their own,
//! so the cost of a dead instance does not grow with the number of nodes. A peer's finding carries
//! less weight than an own one:
//!
//! * New flows avoid an instance that a node of the own zone, or nodes of two zones, could not
//!   reach.
//! * Open flows are ended if the node's own probe failed, or the probes of nodes in two zones. A
//!   node that cannot reach an instance therefore also asks a peer of another zone to probe it. In
//!   a cluster of one zone, two nodes are enough.
//!
//! A finding expires after [`VERDICT_LIFETIME`]. The nodes that probed repeat their probes, which
//! ends the verdict soon after its cause. The deletion of a record is no finding: some instances
//! serve on without a record, so a verdict there expires and is renewed like any other.

mod finding;
mod monitor;
mod probe;

pub use finding::{Finding, LifeSign, Origin};
pub use monitor::{ReachabilityChange, ReachabilityMonitor, RecordState, SuspicionSource};
pub use probe::{ProbeBatch, ProbeOutcome};

use std::time::Duration;

/// Connection attempts in a row per probe. If this node's own link loses three of ten packets, all
/// three attempts fail while all six to the controls succeed in 3 of 1,000 probes.
pub const PROBE_ATTEMPTS: usize = 3;

/// Connection attempts of a probe that a peer asked for, because its own probe failed.
pub const CONFIRMATION_ATTEMPTS: usize = 2;

/// Time from the start of a probe to its end, at most. An instance that was seen alive after the
/// start refutes the finding.
const PROBE_DURATION: Duration = Duration::from_millis(250);

/// Time without an answer after which an instance is suspected: the first retransmission.
const SUSPICION_DELAY: Duration = Duration::from_millis(200);

/// Connection attempts of a probe that checks whether an instance is still unreachable.
pub const RECHECK_ATTEMPTS: usize = 1;

/// Timeout of one connection attempt. Connections open within two round trips, a few milliseconds;
/// a process with a small CPU share may not be scheduled for 100 ms.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(100);

/// Time between the starts of two attempts, which overlap. Three attempts cover 200 ms without an
/// answer, as long as clients wait before they retransmit.
pub const ATTEMPT_INTERVAL: Duration = Duration::from_millis(50);

/// Controls that a probe must reach at the same time.
pub const PROBE_CONTROLS: usize = 2;

/// Controls of a probe that only confirms a peer's finding or rechecks an unreachable instance.
pub const CONFIRMATION_CONTROLS: usize = 1;

/// Maximum number of instances probed at once; further ones wait for the next probe.
pub const MAXIMUM_SUSPECTS_PER_PROBE: usize = 64;

/// How long a verdict is valid. Operators attribute an ended flow to the balancer if the paths to
/// the instance had been intact for 4 s, so a verdict must not outlive a network partition by that
/// long.
pub const VERDICT_LIFETIME: Duration = Duration::from_millis(3_000);

/// Time after which an unreachable instance is probed again, which renews or ends the verdict. Two
/// nodes do so for as long as flows may be open there or it has a record. Without the recheck, a
/// dead instance whose record stays, as during an outage of the store, would be detected again by
/// failing openings every seven seconds.
const RECHECK_INTERVAL: Duration = Duration::from_millis(2_000);

/// Number of inconclusive probes in a row after which an instance is no longer suspected. With a
/// quarter of all instances dead at once, 44 of 100 probes have a dead control, and five
/// inconclusive probes in a row occur for one in 60 suspects.
const MAXIMUM_INCONCLUSIVE_PROBES: u32 = 5;

/// How long openings avoid an instance after it accepted connections again. The process that
/// answers may be another instance that has taken over the address, which the records show only
/// later. Longer than most outages of the store; until then, progress on an open flow proves that
/// the instance is alive.
const AVOIDANCE_DURATION: Duration = Duration::from_secs(10);

/// An instance is not suspected again within this time after a probe or after activity of its
/// flows.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long a peer has to confirm a finding before another one is asked. A probe of two attempts
/// takes 150 ms, and its result arrives some tens of milliseconds later.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of peers that are asked to confirm a finding before the instance is probed again.
/// One of them may have failed together with the instance, and a datagram may be lost.
const MAXIMUM_CONFIRMATION_REQUESTS: u32 = 3;

/// How long peers have to refute a suspicion before the idle flows of an instance are ended. A peer
/// that sees a few requests a second there detects activity within 300 ms. Its message takes some
/// milliseconds, plus 100 ms at each control thread that waits for its tick.
pub const REFUTATION_PERIOD: Duration = Duration::from_millis(400);
