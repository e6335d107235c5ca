//! What peers tell each other of instances whose answers fail.

use super::message::{MAXIMUM_DATAGRAM_LENGTH, OUTLIER_KIND};
use super::seal::{DecodeError, EncodeError, PeerKey, decode, encode};
use super::{Exchange, ExchangeEffect};
use crate::cookie::instance::Cookie;
use crate::cookie::outliers::{InstanceTally, Verdicts};
use crate::time::Timestamp;
use rkyv::{Archive, Deserialize, Serialize};

/// A tally on its way to a collector.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ReportedTally {
    /// The instance's cookie.
    pub cookie: u32,
    /// Requests of which it is known what became.
    pub asked: u16,
    /// Those that failed.
    pub failed: u16,
    /// Those that were answered late.
    pub slow: u16,
}

/// What nodes tell each other of instances whose answers fail.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum OutlierMessage {
    /// What a node saw, for a collector.
    Report(Vec<ReportedTally>),
    /// What a collector made of reports, for all.
    Verdicts(Verdicts),
}

impl OutlierMessage {
    /// Most instances that one message tells of.
    pub const MAXIMUM_INSTANCES: usize = 96;

    /// A report of tallies, which must be few.
    #[must_use]
    pub fn report(tallies: &[InstanceTally]) -> Self {
        let reported = tallies.iter().map(|tally| ReportedTally {
            cookie: tally.cookie.bits(),
            asked: tally.asked,
            failed: tally.failed,
            slow: tally.slow,
        });
        Self::Report(reported.collect())
    }

    /// The bytes of this message.
    ///
    /// # Errors
    ///
    /// [`EncodeError`] if it is too long for a datagram.
    pub fn encode(&self, key: &PeerKey) -> Result<Vec<u8>, EncodeError> {
        encode(self, key, OUTLIER_KIND, MAXIMUM_DATAGRAM_LENGTH)
    }

    /// The message that `bytes` encode.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if they encode none.
    pub fn decode(bytes: &[u8], key: &PeerKey) -> Result<Self, DecodeError> {
        decode(bytes, key, OUTLIER_KIND, MAXIMUM_DATAGRAM_LENGTH)
    }
}

/// The tallies of a report.
pub(crate) fn tallies_of(reported: &[ReportedTally]) -> Vec<InstanceTally> {
    let tallies = reported.iter().filter_map(|reported| {
        Some(InstanceTally {
            cookie: Cookie::from_bits(reported.cookie)?,
            asked: reported.asked,
            failed: reported.failed,
            slow: reported.slow,
        })
    });
    tallies.collect()
}

impl Exchange {
    /// Whether this node collects reports: it is one of the few that watch the store for all, or knows nobody.
    #[must_use]
    pub fn collects_reports(&self) -> bool {
        self.claim_rank().is_some() || self.peers.iter().next().is_none()
    }

    /// Tells the collectors what this node saw.
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

    /// Tells a few peers what a collector made of reports; they pass it on.
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

    /// This node as a collector tells `cookies`.
    #[must_use]
    pub fn build_verdicts(&self, sequence: u64, cookies: &[Cookie]) -> Verdicts {
        let told = cookies.iter().take(OutlierMessage::MAXIMUM_INSTANCES * 2);
        Verdicts {
            collector: self.own_address,
            sequence,
            cookies: told.map(|cookie| cookie.bits()).collect(),
        }
    }
}
