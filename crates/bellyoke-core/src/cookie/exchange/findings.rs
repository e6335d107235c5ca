//! How nodes tell each other what their probes found.

use super::message::{FINDINGS_KIND, MAXIMUM_DATAGRAM_LENGTH};
use super::milliseconds_since;
use super::seal::{DecodeError, EncodeError, PeerKey, decode, encode};
use crate::cookie::capacity::ZoneKey;
use crate::cookie::instance::Cookie;
use crate::cookie::reachability::{Finding, Origin};
use crate::time::Timestamp;
use rkyv::{Archive, Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::time::Duration;

/// A finding on its way: it carries its age instead of its time, since clocks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ReportedFinding {
    /// The instance's cookie.
    pub cookie: u32,
    /// Peer address of the node that probed it.
    pub node: SocketAddrV4,
    /// The zone of that node.
    pub zone: ZoneKey,
    /// Whether it took a connection, after it had taken none.
    pub reached: bool,
    /// How long ago the probe ended, milliseconds.
    pub age_milliseconds: u32,
}

/// What nodes' probes found of some instances.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ReachabilityReport {
    /// Each names its node: whoever passes them on adds nothing.
    pub findings: Vec<ReportedFinding>,
}

impl ReachabilityReport {
    /// Most findings of one report.
    pub const MAXIMUM_FINDINGS: usize = 56;

    /// A report of some findings, which must be few.
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

    /// The findings that a report which came at `now` tells.
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

    /// The bytes of this report.
    ///
    /// # Errors
    ///
    /// [`EncodeError`] if it is too long for a datagram.
    pub fn encode(&self, key: &PeerKey) -> Result<Vec<u8>, EncodeError> {
        encode(self, key, FINDINGS_KIND, MAXIMUM_DATAGRAM_LENGTH)
    }

    /// The report that `bytes` encode.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if they encode none.
    pub fn decode(bytes: &[u8], key: &PeerKey) -> Result<Self, DecodeError> {
        decode(bytes, key, FINDINGS_KIND, MAXIMUM_DATAGRAM_LENGTH)
    }
}
