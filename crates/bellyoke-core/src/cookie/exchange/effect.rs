//! Actions that the exchange requests from its caller.

use super::findings::ReachabilityReport;
use super::message::{Heartbeat, ProbeRequest, Refutation};
use super::outliers::OutlierMessage;
use crate::cookie::replica::Versions;
use std::net::SocketAddrV4;

/// An action that the exchange requests, or an event that it reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeEffect {
    /// Send a heartbeat.
    SendHeartbeat {
        /// The receiver.
        to: SocketAddrV4,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// Send the changes that a peer lacks, or the heartbeat if they are not known or do not fit in
    /// a datagram.
    SendDelta {
        /// The receiver.
        to: SocketAddrV4,
        /// The peer's versions.
        known: Versions,
        /// The heartbeat to send instead of a delta.
        heartbeat: Heartbeat,
    },
    /// Ask a peer to probe some instances.
    SendProbeRequest {
        /// The receiver.
        to: SocketAddrV4,
        /// The instances.
        request: ProbeRequest,
    },
    /// Report probe findings to a peer.
    SendFindings {
        /// The receiver.
        to: SocketAddrV4,
        /// The findings.
        report: ReachabilityReport,
    },
    /// Report to a peer that some suspected instances are alive.
    SendRefutation {
        /// The receiver.
        to: SocketAddrV4,
        /// The instances.
        refutation: Refutation,
    },
    /// Send a peer tallies or verdicts about outliers.
    SendOutliers {
        /// The receiver.
        to: SocketAddrV4,
        /// The message.
        message: OutlierMessage,
    },
    /// Fetch a snapshot.
    Fetch {
        /// The peer to fetch from.
        from: SocketAddrV4,
    },
    /// A peer sent its first heartbeat, or its first one after it was lost.
    PeerJoined(SocketAddrV4),
    /// A peer sent nothing for too long, or has left.
    PeerLost(SocketAddrV4),
}
