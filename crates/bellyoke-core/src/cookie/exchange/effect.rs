//! What the exchange wants its host to do.

use super::findings::ReachabilityReport;
use super::message::{Heartbeat, ProbeRequest, Refutation};
use super::outliers::OutlierMessage;
use crate::cookie::replica::Versions;
use std::net::SocketAddrV4;

/// What the exchange wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeEffect {
    /// Send a heartbeat.
    SendHeartbeat {
        /// To whom.
        to: SocketAddrV4,
        /// What.
        heartbeat: Heartbeat,
    },
    /// Send what a peer lacks; the heartbeat instead, if that is not known or too long.
    SendDelta {
        /// To whom.
        to: SocketAddrV4,
        /// What the peer knows.
        known: Versions,
        /// What else to send.
        heartbeat: Heartbeat,
    },
    /// Ask a peer whether it reaches some instances.
    SendProbeRequest {
        /// To whom.
        to: SocketAddrV4,
        /// Which instances.
        request: ProbeRequest,
    },
    /// Tell a peer which instances nodes couldn't reach, or reach again.
    SendFindings {
        /// To whom.
        to: SocketAddrV4,
        /// What.
        report: ReachabilityReport,
    },
    /// Tell a peer that some instances in question live.
    SendRefutation {
        /// To whom.
        to: SocketAddrV4,
        /// Which instances.
        refutation: Refutation,
    },
    /// Tell a peer of instances whose answers fail.
    SendOutliers {
        /// To whom.
        to: SocketAddrV4,
        /// What.
        message: OutlierMessage,
    },
    /// Fetch a snapshot.
    Fetch {
        /// From whom.
        from: SocketAddrV4,
    },
    /// A peer was heard for the first time, or again.
    PeerJoined(SocketAddrV4),
    /// A peer was silent for too long, or has left.
    PeerLost(SocketAddrV4),
}
