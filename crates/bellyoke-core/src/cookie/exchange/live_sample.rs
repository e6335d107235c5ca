//! Estimates which share of the known peers is alive.
//!
//! Peers that die stay in the table for their lifetime, which is longer than the time in which a
//! change must be in force. Nodes that share the calls to the store with them would wait for calls
//! that nobody makes, and send updates to nobody. A node whose state has become stale therefore asks
//! a sample of its peers to reply. The replies also tell it what these peers know, as in push-pull
//! gossip (Demers et al. 1987).

use super::{Exchange, ExchangeEffect};
use crate::cookie::replica::Versions;
use crate::time::Timestamp;
use rand::RngExt;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Number of sampled peers of the own zone.
const NEAR_SAMPLE_SIZE: usize = 8;

/// Number of sampled peers of other zones.
const FAR_SAMPLE_SIZE: usize = 4;

/// Expected number of nodes per zone that sample peers of other zones. It keeps the traffic between
/// zones independent of the number of nodes.
const FAR_SAMPLERS: f64 = 12.0;

/// With a lower share of live peers, most have been lost.
const LOSS_THRESHOLD: f64 = 0.5;

/// Time in which a live peer replies.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum number of receivers of one message, which bounds a push while few peers are alive.
const MAXIMUM_RECEIVERS: usize = 32;

/// Shares of the known peers that are alive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct LiveShares {
    /// Among the peers of the own zone.
    pub(super) near: f64,
    /// Among the peers of other zones.
    pub(super) far: f64,
    /// Whether this node has sampled other zones. Otherwise `far` is inferred from the own zone.
    sampled_far: bool,
}

impl LiveShares {
    /// Shares without any evidence of lost peers.
    const ALL: Self = Self {
        near: 1.0,
        far: 1.0,
        sampled_far: false,
    };
}

/// A sampled peer.
#[derive(Clone, Copy, Debug)]
struct SampledPeer {
    is_near: bool,
    replied: bool,
}

/// The last sample of peers, and its result.
#[derive(Debug)]
pub(super) struct LiveSample {
    taken_at: Option<Timestamp>,
    peers: BTreeMap<SocketAddrV4, SampledPeer>,
    shares: LiveShares,
}

impl LiveSample {
    /// Creates a sample of no peers.
    pub(super) const fn new() -> Self {
        Self {
            taken_at: None,
            peers: BTreeMap::new(),
            shares: LiveShares::ALL,
        }
    }

    /// Returns the result of the last complete sample.
    pub(super) const fn shares(&self) -> LiveShares {
        self.shares
    }

    /// Records that a peer has sent a heartbeat. Returns whether it is the first one since the peer
    /// was asked: the reply, whose suggestions are no random sample of the cluster.
    pub(super) fn record_heartbeat(&mut self, from: SocketAddrV4) -> bool {
        let peer = self.peers.get_mut(&from);
        peer.is_some_and(|peer| !std::mem::replace(&mut peer.replied, true))
    }

    /// Returns whether `interval` has passed since the last sample was taken.
    fn is_older_than(&self, now: Timestamp, interval: Duration) -> bool {
        self.taken_at
            .is_none_or(|taken_at| now.since(taken_at) >= interval)
    }

    /// Starts a sample.
    fn start(&mut self, now: Timestamp, peers: BTreeMap<SocketAddrV4, SampledPeer>) {
        self.taken_at = Some(now);
        self.peers = peers;
    }

    /// Evaluates the sample once its peers had time to reply.
    fn complete(&mut self, now: Timestamp) {
        if !self.peers.is_empty() && self.is_older_than(now, REPLY_TIMEOUT) {
            let near = self.share(true).unwrap_or(0.0);
            let far = self.share(false);
            let inferred = if near < LOSS_THRESHOLD { near } else { 1.0 };
            self.shares = LiveShares {
                near,
                far: far.unwrap_or(inferred),
                sampled_far: far.is_some(),
            };
            self.peers.clear();
        }
    }

    /// Discards the result.
    fn reset(&mut self) {
        self.shares = LiveShares::ALL;
        self.peers.clear();
    }

    /// Returns the share of live peers near or far; `None` if none was sampled. If most have not
    /// replied, it errs on the low side: too many calls to the store cost less than one too late.
    fn share(&self, near: bool) -> Option<f64> {
        let sampled = self.peers.values().filter(|peer| peer.is_near == near);
        let replied = sampled.clone().filter(|peer| peer.replied).count();
        let sampled = sampled.count();
        if sampled == 0 {
            return None;
        }
        let share = replied as f64 / sampled as f64;
        if share < LOSS_THRESHOLD && sampled == sample_size(near) {
            return Some(replied.saturating_sub(1) as f64 / sampled as f64);
        }
        Some(share)
    }
}

/// Returns the number of peers in a full sample near or far.
const fn sample_size(near: bool) -> usize {
    if near {
        NEAR_SAMPLE_SIZE
    } else {
        FAR_SAMPLE_SIZE
    }
}

impl Exchange {
    /// Samples the peers while the state is stale.
    pub(super) fn sample_live_peers(
        &mut self,
        now: Timestamp,
        own: Versions,
    ) -> Vec<ExchangeEffect> {
        self.live_sample.complete(now);
        let bound = self.settings.freshness_bound;
        let is_fresh = self.clock.age(now).is_none_or(|age| age < bound);
        let is_due = self.live_sample.is_older_than(now, bound);
        if is_fresh {
            if is_due {
                self.live_sample.reset();
            }
            return Vec::new();
        }
        if !is_due {
            return Vec::new();
        }
        let peers = self.draw_sample();
        self.live_sample.start(now, peers.clone());
        // A heartbeat without suggestions shows that its sender lacks peers, and is replied to.
        let queries = peers.into_keys().map(|to| ExchangeEffect::SendHeartbeat {
            to,
            heartbeat: self.heartbeat_for(now, to, own, 0),
        });
        queries.collect()
    }

    /// Returns random peers of the own zone and, at a few nodes of each zone, of other zones.
    fn draw_sample(&mut self) -> BTreeMap<SocketAddrV4, SampledPeer> {
        let zone = self.own_zone();
        let samples_far = (FAR_SAMPLERS / self.own_zone_nodes).clamp(0.0, 1.0);
        let random = &mut self.random;
        let near = self
            .peers
            .sample_in_zone(zone, NEAR_SAMPLE_SIZE, random, |_| true);
        let far_count = if random.random_bool(samples_far) {
            FAR_SAMPLE_SIZE
        } else {
            0
        };
        let far = self
            .peers
            .sample_other_zones(zone, far_count, random, |_| true);
        let sampled = |is_near| {
            move |address| {
                let peer = SampledPeer {
                    is_near,
                    replied: false,
                };
                (address, peer)
            }
        };
        let near = near.into_iter().map(sampled(true));
        near.chain(far.into_iter().map(sampled(false))).collect()
    }

    /// Returns the estimated number of live nodes. It is lower than [`Self::estimated_nodes`] while
    /// peers that are lost are still known.
    #[must_use]
    pub fn live_nodes(&self) -> f64 {
        let shares = self.live_sample.shares();
        let near = self.estimated_zone_nodes() - 1.0;
        let far = self.estimated_nodes() - near - 1.0;
        1.0 + near * shares.near + far * shares.far
    }

    /// Returns the estimated number of nodes that share the first calls to the store. The few that
    /// have found other zones lost share them among themselves, as the others may not know.
    pub(super) fn first_callers(&self) -> f64 {
        let shares = self.live_sample.shares();
        if shares.sampled_far && shares.far < LOSS_THRESHOLD {
            self.live_nodes().min(FAR_SAMPLERS)
        } else {
            self.live_nodes()
        }
    }
}

/// Returns how many receivers a message needs for `count` of them to be alive.
pub(super) fn receivers_for(count: usize, live_share: f64) -> usize {
    if live_share >= LOSS_THRESHOLD || count == 0 {
        return count;
    }
    let scaled = count as f64 / live_share.max(f64::MIN_POSITIVE);
    (scaled.ceil() as usize).min(MAXIMUM_RECEIVERS.max(count))
}
