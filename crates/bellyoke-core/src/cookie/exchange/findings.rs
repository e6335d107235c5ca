//! Reports of probe findings between nodes.

use super::message::{FINDINGS_KIND, MAXIMUM_DATAGRAM_BYTES};
use super::milliseconds_since;
use super::seal::{DecodeError, EncodeError, PeerKey, decode, encode};
use crate::cookie::capacity::ZoneKey;
use crate::cookie::instance::Cookie;
use crate::cookie::reachability::{Finding, Origin};
use crate::time::Timestamp;
use rkyv::{Archive, Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::time::Duration;

/// A finding as sent in reports. It carries its age instead of a time because clocks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ReportedFinding {
    /// The instance's cookie.
    pub cookie: u32,
    /// Peer address of the node that probed the instance.
    pub node: SocketAddrV4,
    /// The zone of that node.
    pub zone: ZoneKey,
    /// Whether the instance accepted a connection after it had accepted none.
    pub reached: bool,
    /// Time since the end of the probe, in milliseconds.
    pub age_milliseconds: u32,
}

/// Findings of probes of some instances.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ReachabilityReport {
    /// The findings. Each names the node that probed, and nodes that forward it add nothing.
    pub findings: Vec<ReportedFinding>,
}

impl ReachabilityReport {
    /// Maximum number of findings in one report.
    pub const MAXIMUM_FINDINGS: usize = 56;

    /// Creates a report of at most [`Self::MAXIMUM_FINDINGS`] findings.
    #[must_use]
    pub fn new(now: Timestamp, findings: &[Finding]) -> Self {
        let findings = findings.iter().map(|finding| ReportedFinding {
            cookie: finding.cookie.bits(),
            node: finding.origin.node,
            zone: finding.origin.zone,
            reached: finding.reached,
            age_milliseconds: milliseconds_since(now, finding.found_at),
        });
        Self {
            findings: findings.collect(),
        }
    }

    /// Returns the findings of a report that arrived at `now`.
    pub fn findings_at(&self, now: Timestamp) -> impl Iterator<Item = Finding> {
        let findings = self.findings.iter();
        findings.filter_map(move |reported| {
            let age = Duration::from_millis(u64::from(reported.age_milliseconds));
            Some(Finding {
                cookie: Cookie::from_bits(reported.cookie)?,
                origin: Origin {
                    node: reported.node,
                    zone: reported.zone,
                },
                found_at: now.before(age),
                reached: reported.reached,
            })
        })
    }

    /// Encodes and seals the report.
    ///
    /// # Errors
    ///
    /// Returns [`EncodeError`] if the message does not fit in a datagram.
    pub fn encode(&self, key: &PeerKey) -> Result<Vec<u8>, EncodeError> {
        encode(self, key, FINDINGS_KIND, MAXIMUM_DATAGRAM_BYTES)
    }

    /// Opens and decodes a report.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the bytes are not a valid message of this kind.
    pub fn decode(bytes: &[u8], key: &PeerKey) -> Result<Self, DecodeError> {
        decode(bytes, key, FINDINGS_KIND, MAXIMUM_DATAGRAM_BYTES)
    }
}
