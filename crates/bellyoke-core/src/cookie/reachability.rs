//! Which instances can't be reached, established by probes.
//!
//! A failed opening is no proof: the packet may have been lost, the instance may be full, or this
//! node's own link may be. It only raises the question, which a probe answers: connections to the
//! instance, several in a row, beside connections to other instances (controls). An instance is
//! *unreachable* if none of its connections opened while all controls did, so that the fault is
//! not this node's.
//!
//! A node tells what its probe found, and the others act on it without probes of their own, so that what a dead
//! instance costs doesn't grow with the nodes. What a peer found is worth less than what a node found itself:
//!
//! * New flows avoid an instance that a node of the own zone couldn't reach, or nodes of two zones.
//! * Open flows end if the node's own probe came to nothing, or those of nodes of two zones. So whoever can't reach
//!   an instance asks a peer of another zone to probe it, too. In a cluster of one zone two nodes are enough.
//!
//! Each finding holds for a moment. Those that probed do so again, so that it ends soon after its cause.

mod finding;
mod monitor;
mod probe;

pub use finding::{Finding, Origin};
pub use monitor::{ReachabilityChange, ReachabilityMonitor, RecordState, SuspicionSource};
pub use probe::{ProbeBatch, ProbeOutcome};

use std::time::Duration;

/// Connections in a row that a probe tries. With three of ten packets lost on this node's own link
/// three fail while six of controls open in 3 of 1,000 probes.
pub const PROBE_ATTEMPTS: usize = 3;

/// Attempts for an instance that a peer can't reach, whose own probe speaks against it too.
pub const CONFIRMATION_ATTEMPTS: usize = 2;

/// Attempts to find out whether an instance is still unreachable.
pub const RECHECK_ATTEMPTS: usize = 1;

/// How long one of them may take. Connections open within two round trips, some milliseconds; a
/// process on a small share of a processor may get none for 100 ms.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(100);

/// Time from the start of one attempt to that of the next, which overlap: silence for 200 ms is as long as
/// that after which clients repeat themselves.
pub const ATTEMPT_INTERVAL: Duration = Duration::from_millis(50);

/// Other instances that a probe must reach at the same time.
pub const PROBE_CONTROLS: usize = 2;

/// The same of probes that only confirm what another one found, or find out whether it still holds.
pub const CONFIRMATION_CONTROLS: usize = 1;

/// Instances probed at once; further ones wait for the next probe.
pub const MAXIMUM_SUSPECTS_PER_PROBE: usize = 64;

/// How long a verdict holds. Shorter than the 4 s for which the paths to an instance must have been whole
/// before users count an ended flow as the balancer's fault, so that none outlives a cut by as much.
pub const VERDICT_LIFETIME: Duration = Duration::from_millis(3_000);

/// Time after which an unreachable instance is probed again, so that the verdict goes on or ends. Two nodes do so until
/// its record has gone: without it, a dead instance whose record stays, as in an outage of the store, is found anew by
/// failing openings every seven seconds.
const RECHECK_INTERVAL: Duration = Duration::from_millis(2_000);

/// Probes in a row that may find nothing out before the question is dropped. With a quarter of all instances
/// dead at once, 44 of 100 probes have a dead control and one in 60 questions would have five.
const MAXIMUM_INCONCLUSIVE_PROBES: u32 = 5;

/// How long openings avoid an instance after it took connections again: what answers there may be
/// another instance that has taken over its address, of which the records tell later. Longer than
/// the store is away mostly; until then a flow that goes on there proves that it lives.
const AVOIDANCE_DURATION: Duration = Duration::from_secs(10);

/// An instance that was probed so lately isn't questioned again.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long a peer that was asked to confirm a finding has, before another one is asked. A probe of
/// two attempts takes 150 ms, and what it finds some tens of milliseconds to come back.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(400);

/// Peers that are asked at most to confirm a finding until the instance is probed again. One of them may have
/// died with the instance, and a datagram may be lost.
const MAXIMUM_CONFIRMATION_REQUESTS: u32 = 3;

/// How long peers have, once they were asked about an instance, to say that it lives, before its resting
/// flows are ended. A peer that sees a few requests a second there knows within 300 ms; the word takes
/// some ms, and 100 ms wherever a control thread waits for its tick.
pub const REFUTATION_PERIOD: Duration = Duration::from_millis(400);
