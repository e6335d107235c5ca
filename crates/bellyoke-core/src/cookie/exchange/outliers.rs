//! Messages about instances whose answers fail.

use super::message::{MAXIMUM_DATAGRAM_BYTES, OUTLIER_KIND};
use super::seal::{DecodeError, EncodeError, PeerKey, decode, encode};
use super::{Exchange, ExchangeEffect};
use crate::cookie::instance::Cookie;
use crate::cookie::outliers::{InstanceTally, Verdicts};
use crate::time::Timestamp;
use rkyv::{Archive, Deserialize, Serialize};

/// A tally as sent to a collector.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ReportedTally {
    /// The instance's cookie.
    pub cookie: u32,
    /// Number of requests with a known outcome.
    pub requests: u16,
    /// Number of requests that failed.
    pub failed: u16,
    /// Number of requests that were answered late.
    pub slow: u16,
}

/// A message about instances whose answers fail.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum OutlierMessage {
    /// Tallies of one node, for a collector.
    Report(Vec<ReportedTally>),
    /// A collector's evaluation of the reports, for all nodes.
    Verdicts(Verdicts),
}

impl OutlierMessage {
    /// Maximum number of tallies in one report.
    pub const MAXIMUM_INSTANCES: usize = 96;

    /// Creates a report of at most [`Self::MAXIMUM_INSTANCES`] tallies.
    #[must_use]
    pub fn report(tallies: &[InstanceTally]) -> Self {
        let reported = tallies.iter().map(|tally| ReportedTally {
            cookie: tally.cookie.bits(),
            requests: tally.requests,
            failed: tally.failed,
            slow: tally.slow,
        });
        Self::Report(reported.collect())
    }

    /// Encodes and seals the message.
    ///
    /// # Errors
    ///
    /// Returns [`EncodeError`] if the message does not fit in a datagram.
    pub fn encode(&self, key: &PeerKey) -> Result<Vec<u8>, EncodeError> {
        encode(self, key, OUTLIER_KIND, MAXIMUM_DATAGRAM_BYTES)
    }

    /// Opens and decodes a message.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the bytes are not a valid message of this kind.
    pub fn decode(bytes: &[u8], key: &PeerKey) -> Result<Self, DecodeError> {
        decode(bytes, key, OUTLIER_KIND, MAXIMUM_DATAGRAM_BYTES)
    }
}

/// Converts the tallies of a report.
pub(crate) fn tallies_of(reported: &[ReportedTally]) -> Vec<InstanceTally> {
    let tallies = reported.iter().filter_map(|reported| {
        Some(InstanceTally {
            cookie: Cookie::from_bits(reported.cookie)?,
            requests: reported.requests,
            failed: reported.failed,
            slow: reported.slow,
        })
    });
    tallies.collect()
}

impl Exchange {
    /// Returns whether this node collects reports: it is one of the few that watch the store, or it
    /// has no peers.
    #[must_use]
    pub fn collects_reports(&self) -> bool {
        self.claim_rank().is_some() || self.peers.iter().next().is_none()
    }

    /// Sends this node's tallies to the collectors.
    #[must_use]
    pub fn report_tallies(&self, now: Timestamp, tallies: &[InstanceTally]) -> Vec<ExchangeEffect> {
        let mut effects = Vec::new();
        let collectors = self.claims.claims(now).into_iter();
        let collectors = collectors.map(|claim| claim.address);
        for to in collectors.filter(|address| *address != self.own_address) {
            for tallies in tallies.chunks(OutlierMessage::MAXIMUM_INSTANCES) {
                let message = OutlierMessage::report(tallies);
                effects.push(ExchangeEffect::SendOutliers { to, message });
            }
        }
        effects
    }

    /// Sends a collector's verdicts to a few peers, which forward them.
    pub fn forward_verdicts(&mut self, verdicts: &Verdicts) -> Vec<ExchangeEffect> {
        let receivers = self.announce_receivers();
        let sent = receivers
            .into_iter()
            .map(|to| ExchangeEffect::SendOutliers {
                to,
                message: OutlierMessage::Verdicts(verdicts.clone()),
            });
        sent.collect()
    }

    /// Creates verdicts about `cookies` with this node as the collector.
    #[must_use]
    pub fn build_verdicts(&self, sequence: u64, cookies: &[Cookie]) -> Verdicts {
        let reported = cookies.iter().take(OutlierMessage::MAXIMUM_INSTANCES * 2);
        Verdicts {
            collector: self.own_address,
            sequence,
            cookies: reported.map(|cookie| cookie.bits()).collect(),
        }
    }
}
