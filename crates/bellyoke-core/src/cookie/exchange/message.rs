//! Messages between peers and their encoding.
//!
//! Each message consists of a version byte, a kind byte, an authentication tag (keyed BLAKE3, or
//! plain BLAKE3 as a checksum if no key is set) and an rkyv archive, which is compressed in
//! snapshots and deltas. Received bytes are untrusted: length, tag and archive are validated, and
//! lists are bounded.

use super::findings::ReachabilityReport;
use super::outliers::OutlierMessage;
use super::packed::{PackedDelta, PackedSnapshot};
use super::seal::{DecodeError, EncodeError, PeerKey, archived, decode, encode, validated};
use super::watcher_claims::{WATCHERS, WatcherClaim};
use crate::cookie::capacity::{NodePlace, ZoneKey};
use crate::cookie::delta::StateDelta;
use crate::cookie::follower::Freshness;
use crate::cookie::instance::Cookie;
use crate::cookie::reachability::LifeSign;
use crate::cookie::replica::{Snapshot, Versions};
use crate::time::Timestamp;
use lz4_flex::block::{DecompressError, compress_prepend_size, decompress, uncompressed_size};
use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Kind byte of a heartbeat.
const HEARTBEAT_KIND: u8 = 1;

/// Kind byte of a snapshot.
const SNAPSHOT_KIND: u8 = 2;

/// Kind byte of a delta.
const DELTA_KIND: u8 = 3;

/// Kind byte of a request for a snapshot.
const FETCH_KIND: u8 = 4;

/// Kind byte of a probe request.
const PROBE_REQUEST_KIND: u8 = 5;

/// Kind byte of a refutation.
const REFUTATION_KIND: u8 = 6;

/// Kind byte of a message about outliers.
pub(super) const OUTLIER_KIND: u8 = 7;

/// Kind byte of a report of probe findings.
pub(super) const FINDINGS_KIND: u8 = 8;

/// Maximum length of a heartbeat in bytes. It fits in one datagram on all common paths.
pub const MAXIMUM_HEARTBEAT_BYTES: usize = 640;

/// Maximum length of a datagram between peers in bytes. A longer delta is not sent; the receiver
/// fetches a snapshot instead.
pub const MAXIMUM_DATAGRAM_BYTES: usize = 1_400;

/// Maximum length of a decompressed delta in bytes: several hundred instance changes.
const MAXIMUM_DELTA_BYTES: usize = 16 * 1024;

/// Maximum length of a fetch request in bytes.
pub const MAXIMUM_FETCH_BYTES: usize = 256;

/// Maximum length of a snapshot in bytes, both compressed and decompressed.
pub const MAXIMUM_SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;

/// A node's periodic report of its state.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Versions of its state.
    pub versions: Versions,
    /// Whether the node is about to stop.
    pub leaving: bool,
    /// Whether the suggested peers have about the same state, which allows the receiver to fetch
    /// from them.
    pub peers_up_to_date: bool,
    /// Time since its state was last confirmed to be the newest, in milliseconds, or `None` if it
    /// never was.
    pub confirmed_age_milliseconds: Option<u32>,
    /// Whether that confirmation comes from a read of the newest state and not from one that may be
    /// stale.
    pub confirmed_by_newest_read: bool,
    /// Zone and capacity class of the node.
    pub place: NodePlace,
    /// The best known claims to watch the store.
    pub claims: Vec<WatcherClaim>,
    /// Some peers that the node has seen recently.
    pub peers: Vec<PeerSuggestion>,
    /// Number of nodes in some zones, including its own.
    pub zones: Vec<ZoneSize>,
    /// Cookies of instances that fail to complete openings which this node sent itself.
    pub failing: Vec<u32>,
}

/// A peer that another node has seen recently.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PeerSuggestion {
    /// The address of the peer.
    pub address: SocketAddrV4,
    /// Zone and capacity class of the peer.
    pub place: NodePlace,
}

/// The number of nodes in a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ZoneSize {
    /// The zone.
    pub zone: ZoneKey,
    /// The number of nodes as counted by a node of the zone.
    pub nodes: u16,
    /// Age of the count in milliseconds.
    pub age_milliseconds: u32,
}

/// The changes that a peer with slightly older state needs.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct DeltaMessage {
    /// The sender's versions.
    pub versions: Versions,
    /// The changes.
    pub delta: StateDelta,
}

/// Requests a probe of instances that the sender cannot reach.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ProbeRequest {
    /// Cookies of the instances.
    pub cookies: Vec<u32>,
}

/// Reports suspected instances as alive: the sender, or a node that it received this from, has seen
/// traffic of their flows.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Refutation {
    /// The instances.
    pub instances: Vec<AliveInstance>,
}

/// An instance that was seen alive. The age replaces a time because clocks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct AliveInstance {
    /// The instance's cookie.
    pub cookie: u32,
    /// Time since it was seen alive, in milliseconds.
    pub age_milliseconds: u16,
}

/// A request for the state that the sender lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct FetchRequest {
    /// The sender's versions.
    pub known: Versions,
    /// The sender's zone.
    pub zone: ZoneKey,
    /// Whether the sender started recently and may lack tombstones that are older than its
    /// revisions.
    pub wants_all_tombstones: bool,
}

/// A decoded datagram from a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerDatagram {
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// State changes.
    Delta(DeltaMessage),
    /// Instances to probe.
    ProbeRequest(ProbeRequest),
    /// Suspected instances that are alive.
    Refutation(Refutation),
    /// Tallies or verdicts about outliers.
    Outliers(OutlierMessage),
    /// Findings of probes.
    Findings(ReachabilityReport),
}

impl PeerDatagram {
    /// Decodes a datagram by its kind byte.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the datagram is not a valid message.
    pub fn decode(bytes: &[u8], key: &PeerKey) -> Result<Self, DecodeError> {
        match bytes.get(1) {
            Some(&DELTA_KIND) => DeltaMessage::decode(bytes, key).map(Self::Delta),
            Some(&PROBE_REQUEST_KIND) => ProbeRequest::decode(bytes, key).map(Self::ProbeRequest),
            Some(&REFUTATION_KIND) => Refutation::decode(bytes, key).map(Self::Refutation),
            Some(&OUTLIER_KIND) => OutlierMessage::decode(bytes, key).map(Self::Outliers),
            Some(&FINDINGS_KIND) => ReachabilityReport::decode(bytes, key).map(Self::Findings),
            _ => Heartbeat::decode(bytes, key).map(Self::Heartbeat),
        }
    }
}

impl Heartbeat {
    /// Maximum number of suggested peers.
    pub const MAXIMUM_PEERS: usize = 6;

    /// Maximum number of zone sizes.
    pub const MAXIMUM_ZONES: usize = 8;

    /// Maximum number of failing instances.
    pub const MAXIMUM_FAILING: usize = 32;

    /// Returns what the confirmation of the sender's state rests on.
    #[must_use]
    pub const fn confirming_read(&self) -> Freshness {
        if self.confirmed_by_newest_read {
            Freshness::Newest
        } else {
            Freshness::MayBeStale
        }
    }

    /// Encodes and seals the heartbeat.
    ///
    /// # Errors
    ///
    /// Returns [`EncodeError`] if the message exceeds the length that peers accept.
    pub fn encode(&self, key: &PeerKey) -> Result<Vec<u8>, EncodeError> {
        encode(self, key, HEARTBEAT_KIND, MAXIMUM_HEARTBEAT_BYTES)
    }

    /// Opens and decodes a heartbeat.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the bytes are not a valid heartbeat or a list exceeds its limit.
    pub fn decode(bytes: &[u8], key: &PeerKey) -> Result<Self, DecodeError> {
        let heartbeat: Self = decode(bytes, key, HEARTBEAT_KIND, MAXIMUM_HEARTBEAT_BYTES)?;
        if heartbeat.peers.len() > Self::MAXIMUM_PEERS
            || heartbeat.claims.len() > WATCHERS
            || heartbeat.zones.len() > Self::MAXIMUM_ZONES
            || heartbeat.failing.len() > Self::MAXIMUM_FAILING
        {
            return Err(DecodeError::Length {
                length: bytes.len(),
            });
        }
        Ok(heartbeat)
    }
}

impl DeltaMessage {
    /// Packs, compresses and seals the message.
    ///
    /// # Errors
    ///
    /// Returns [`EncodeError`] if the message does not fit in a datagram.
    pub fn encode(&self, key: &PeerKey) -> Result<Vec<u8>, EncodeError> {
        let packed = PackedDelta::pack(self)?;
        let compressed = compressed(&archived(&packed)?, MAXIMUM_DELTA_BYTES)?;
        key.seal(DELTA_KIND, &compressed, MAXIMUM_DATAGRAM_BYTES)
    }

    /// Opens, decompresses and unpacks a message.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the bytes are not a valid message of this kind.
    pub fn decode(bytes: &[u8], key: &PeerKey) -> Result<Self, DecodeError> {
        let sealed = key.open(DELTA_KIND, bytes, MAXIMUM_DATAGRAM_BYTES)?;
        let archive = decompressed(&sealed, MAXIMUM_DELTA_BYTES)?;
        let packed: PackedDelta = validated(&archive)?;
        packed.unpack()
    }
}

impl ProbeRequest {
    /// Maximum number of instances in one request.
    pub const MAXIMUM_COOKIES: usize = 256;

    /// Encodes and seals the request.
    ///
    /// # Errors
    ///
    /// Returns [`EncodeError`] if the message does not fit in a datagram.
    pub fn encode(&self, key: &PeerKey) -> Result<Vec<u8>, EncodeError> {
        encode(self, key, PROBE_REQUEST_KIND, MAXIMUM_DATAGRAM_BYTES)
    }

    /// Opens and decodes a request.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the bytes are not a valid message of this kind.
    pub fn decode(bytes: &[u8], key: &PeerKey) -> Result<Self, DecodeError> {
        decode(bytes, key, PROBE_REQUEST_KIND, MAXIMUM_DATAGRAM_BYTES)
    }
}

impl Refutation {
    /// Maximum number of instances in one refutation.
    pub const MAXIMUM_INSTANCES: usize = 128;

    /// Creates a refutation of at most [`Self::MAXIMUM_INSTANCES`] suspicions.
    #[must_use]
    pub fn new(now: Timestamp, signs: &[LifeSign]) -> Self {
        let instances = signs.iter().map(|sign| AliveInstance {
            cookie: sign.cookie.bits(),
            age_milliseconds: u16::try_from(now.since(sign.seen_at).as_millis())
                .unwrap_or(u16::MAX),
        });
        Self {
            instances: instances.collect(),
        }
    }

    /// Returns the instances of a refutation that arrived at `now`, with the times at which they
    /// were seen alive.
    pub fn signs_at(&self, now: Timestamp) -> impl Iterator<Item = LifeSign> {
        self.instances.iter().filter_map(move |instance| {
            let age = Duration::from_millis(u64::from(instance.age_milliseconds));
            Some(LifeSign {
                cookie: Cookie::from_bits(instance.cookie)?,
                seen_at: now.before(age),
            })
        })
    }

    /// Encodes and seals the refutation.
    ///
    /// # Errors
    ///
    /// Returns [`EncodeError`] if the message does not fit in a datagram.
    pub fn encode(&self, key: &PeerKey) -> Result<Vec<u8>, EncodeError> {
        encode(self, key, REFUTATION_KIND, MAXIMUM_DATAGRAM_BYTES)
    }

    /// Opens and decodes a refutation.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the bytes are not a valid message of this kind.
    pub fn decode(bytes: &[u8], key: &PeerKey) -> Result<Self, DecodeError> {
        decode(bytes, key, REFUTATION_KIND, MAXIMUM_DATAGRAM_BYTES)
    }
}

impl FetchRequest {
    /// Encodes and seals the request.
    ///
    /// # Errors
    ///
    /// Returns [`EncodeError`] if the serializer fails.
    pub fn encode(&self, key: &PeerKey) -> Result<Vec<u8>, EncodeError> {
        encode(self, key, FETCH_KIND, MAXIMUM_FETCH_BYTES)
    }

    /// Opens and decodes a request.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the bytes are not a valid message of this kind.
    pub fn decode(bytes: &[u8], key: &PeerKey) -> Result<Self, DecodeError> {
        decode(bytes, key, FETCH_KIND, MAXIMUM_FETCH_BYTES)
    }
}

/// Packs, compresses and seals a snapshot.
///
/// # Errors
///
/// Returns [`EncodeError`] if the message exceeds the length that peers accept.
pub fn encode_snapshot(snapshot: &Snapshot, key: &PeerKey) -> Result<Vec<u8>, EncodeError> {
    let packed = PackedSnapshot::pack(snapshot)?;
    let compressed = compressed(&archived(&packed)?, MAXIMUM_SNAPSHOT_BYTES)?;
    key.seal(SNAPSHOT_KIND, &compressed, MAXIMUM_SNAPSHOT_BYTES)
}

/// Opens, decompresses and unpacks a snapshot.
///
/// # Errors
///
/// Returns [`DecodeError`] if the bytes are not a valid message of this kind.
pub fn decode_snapshot(bytes: &[u8], key: &PeerKey) -> Result<Snapshot, DecodeError> {
    let sealed = key.open(SNAPSHOT_KIND, bytes, MAXIMUM_SNAPSHOT_BYTES)?;
    let archive = decompressed(&sealed, MAXIMUM_SNAPSHOT_BYTES)?;
    let packed: PackedSnapshot = validated(&archive)?;
    packed.unpack()
}

/// Compresses an archive of at most `longest` bytes.
fn compressed(archive: &[u8], longest: usize) -> Result<Vec<u8>, EncodeError> {
    let length = archive.len();
    if length > longest {
        return Err(EncodeError::TooLong { length });
    }
    Ok(compress_prepend_size(archive))
}

/// Decompresses an archive of at most `longest` bytes.
fn decompressed(bytes: &[u8], longest: usize) -> Result<AlignedVec<16>, DecodeError> {
    let invalid = |error: DecompressError| DecodeError::Invalid(error.to_string());
    let (length, compressed) = uncompressed_size(bytes).map_err(invalid)?;
    if length > longest {
        return Err(DecodeError::Length { length });
    }
    let archive = decompress(compressed, length).map_err(invalid)?;
    let mut aligned = AlignedVec::with_capacity(archive.len());
    aligned.extend_from_slice(&archive);
    Ok(aligned)
}
