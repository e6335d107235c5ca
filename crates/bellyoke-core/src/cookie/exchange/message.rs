//! The encoding of what peers send each other.
//!
//! Each message is a version byte, a kind byte, an authentication tag (keyed BLAKE3, or
//! plain BLAKE3 as a checksum where no key is set) and an rkyv archive, that of a snapshot compressed. Nothing received is
//! trusted: length, tag and archive are validated, and lists are bounded.

use super::candidates::{WATCHERS, WatcherClaim};
use super::findings::ReachabilityReport;
use super::outliers::OutlierMessage;
use super::packed::{PackedDelta, PackedSnapshot};
use super::seal::{DecodeError, EncodeError, PeerKey, archived, decode, encode, validated};
use crate::cookie::capacity::{NodePlace, ZoneKey};
use crate::cookie::delta::StateDelta;
use crate::cookie::replica::{Snapshot, Versions};
use lz4_flex::block::{DecompressError, compress_prepend_size, decompress, uncompressed_size};
use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Kind byte of a heartbeat.
const HEARTBEAT_KIND: u8 = 1;

/// Kind byte of a snapshot.
const SNAPSHOT_KIND: u8 = 2;

/// Kind byte of a delta.
const DELTA_KIND: u8 = 3;

/// Kind byte of a request for a snapshot.
const FETCH_KIND: u8 = 4;

/// Kind byte of a question about instances.
const QUESTION_KIND: u8 = 5;

/// Kind byte of an objection to a question.
const OBJECTION_KIND: u8 = 6;

/// Kind byte of what is told of instances whose answers fail.
pub(super) const OUTLIER_KIND: u8 = 7;

/// Kind byte of what probes found.
pub(super) const FINDINGS_KIND: u8 = 8;

/// Longest heartbeat, bytes: it fits one datagram on any usual path.
pub const MAXIMUM_HEARTBEAT_LENGTH: usize = 640;

/// Longest datagram between peers, bytes: a delta that is longer is fetched instead.
pub const MAXIMUM_DATAGRAM_LENGTH: usize = 1_400;

/// What a delta may unpack to, bytes: some hundred changes of instances.
const MAXIMUM_DELTA_LENGTH: usize = 16 * 1024;

/// Longest request for a snapshot, bytes.
pub const MAXIMUM_FETCH_LENGTH: usize = 256;

/// Longest snapshot, bytes. It bounds both what travels and what it unpacks to.
pub const MAXIMUM_SNAPSHOT_LENGTH: usize = 16 * 1024 * 1024;

/// A peer's report of itself.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Heartbeat {
    /// How much it knows.
    pub versions: Versions,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Whether the peers that it tells of know about as much, so that the receiver may fetch from them.
    pub peers_up_to_date: bool,
    /// How long ago its state was known to be the newest, milliseconds; none if it never was.
    pub confirmed_age_milliseconds: Option<u32>,
    /// Whether that is known from a read of the newest state, and not from one that may be stale.
    pub confirmed_by_newest_read: bool,
    /// Where it stands, and what it can bear.
    pub place: NodePlace,
    /// The best claims to watch the store that it knows.
    pub claims: Vec<WatcherClaim>,
    /// Some peers that it has heard of late.
    pub peers: Vec<PeerSuggestion>,
    /// How large zones are, its own among them.
    pub zones: Vec<ZoneSize>,
    /// Cookies of instances that don't complete the openings that it sends itself.
    pub failing: Vec<u32>,
}

/// A peer that another one has heard of late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PeerSuggestion {
    /// Its address.
    pub address: SocketAddrV4,
    /// Where it stands, and what it can bear.
    pub place: NodePlace,
}

/// How many nodes a zone has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ZoneSize {
    /// The zone.
    pub zone: ZoneKey,
    /// How many nodes one of its nodes took it to have.
    pub nodes: u16,
    /// How long ago, milliseconds.
    pub age_milliseconds: u32,
}

/// What a peer that knew a little less needs to know.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct DeltaMessage {
    /// The sender's versions.
    pub versions: Versions,
    /// What changed.
    pub delta: StateDelta,
}

/// Instances that the sender can't reach: does the receiver reach them?
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ProbeRequest {
    /// Their cookies.
    pub cookies: Vec<u32>,
}

/// Instances in question whose flows go on, as the sender, or one that it heard, has seen.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Refutation {
    /// Their cookies.
    pub cookies: Vec<u32>,
}

/// A request for what the sender lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct FetchRequest {
    /// The sender's versions.
    pub known: Versions,
    /// The zone of the sender.
    pub zone: ZoneKey,
    /// Whether it has started of late, and may lack instances that went before the revisions that it knows.
    pub wants_all_tombstones: bool,
}

/// A datagram of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerDatagram {
    /// Its report of itself.
    Heartbeat(Heartbeat),
    /// News.
    Delta(DeltaMessage),
    /// Instances in question.
    ProbeRequest(ProbeRequest),
    /// Instances in question that live.
    Refutation(Refutation),
    /// Instances whose answers fail.
    Outliers(OutlierMessage),
    /// What probes found.
    Findings(ReachabilityReport),
}

impl PeerDatagram {
    /// The message that a datagram holds.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if it holds none.
    pub fn decode(bytes: &[u8], key: &PeerKey) -> Result<Self, DecodeError> {
        match bytes.get(1) {
            Some(&DELTA_KIND) => DeltaMessage::decode(bytes, key).map(Self::Delta),
            Some(&QUESTION_KIND) => ProbeRequest::decode(bytes, key).map(Self::ProbeRequest),
            Some(&OBJECTION_KIND) => Refutation::decode(bytes, key).map(Self::Refutation),
            Some(&OUTLIER_KIND) => OutlierMessage::decode(bytes, key).map(Self::Outliers),
            Some(&FINDINGS_KIND) => ReachabilityReport::decode(bytes, key).map(Self::Findings),
            _ => Heartbeat::decode(bytes, key).map(Self::Heartbeat),
        }
    }
}

impl Heartbeat {
    /// Most peers that a heartbeat tells of.
    pub const MAXIMUM_PEERS: usize = 6;

    /// Most zones whose sizes a heartbeat tells.
    pub const MAXIMUM_ZONES: usize = 8;

    /// Most failing instances that a heartbeat tells of.
    pub const MAXIMUM_FAILING: usize = 32;

    /// The bytes of this heartbeat.
    ///
    /// # Errors
    ///
    /// [`EncodeError`] if it is too long for a peer to accept.
    pub fn encode(&self, key: &PeerKey) -> Result<Vec<u8>, EncodeError> {
        encode(self, key, HEARTBEAT_KIND, MAXIMUM_HEARTBEAT_LENGTH)
    }

    /// The heartbeat that `bytes` encode.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if they encode none, or one whose lists are too long.
    pub fn decode(bytes: &[u8], key: &PeerKey) -> Result<Self, DecodeError> {
        let heartbeat: Self = decode(bytes, key, HEARTBEAT_KIND, MAXIMUM_HEARTBEAT_LENGTH)?;
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
    /// The bytes of this message.
    ///
    /// # Errors
    ///
    /// [`EncodeError`] if it is too long for a datagram.
    pub fn encode(&self, key: &PeerKey) -> Result<Vec<u8>, EncodeError> {
        let packed = PackedDelta::pack(self)?;
        let compressed = compressed(&archived(&packed)?, MAXIMUM_DELTA_LENGTH)?;
        key.seal(DELTA_KIND, &compressed, MAXIMUM_DATAGRAM_LENGTH)
    }

    /// The message that `bytes` encode.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if they encode none.
    pub fn decode(bytes: &[u8], key: &PeerKey) -> Result<Self, DecodeError> {
        let sealed = key.open(DELTA_KIND, bytes, MAXIMUM_DATAGRAM_LENGTH)?;
        let archive = decompressed(&sealed, MAXIMUM_DELTA_LENGTH)?;
        let packed: PackedDelta = validated(&archive)?;
        packed.unpack()
    }
}

impl ProbeRequest {
    /// Most instances that a question names.
    pub const MAXIMUM_COOKIES: usize = 256;

    /// The bytes of this question.
    ///
    /// # Errors
    ///
    /// [`EncodeError`] if it is too long for a datagram.
    pub fn encode(&self, key: &PeerKey) -> Result<Vec<u8>, EncodeError> {
        encode(self, key, QUESTION_KIND, MAXIMUM_DATAGRAM_LENGTH)
    }

    /// The question that `bytes` encode.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if they encode none.
    pub fn decode(bytes: &[u8], key: &PeerKey) -> Result<Self, DecodeError> {
        decode(bytes, key, QUESTION_KIND, MAXIMUM_DATAGRAM_LENGTH)
    }
}

impl Refutation {
    /// Most instances that an objection names.
    pub const MAXIMUM_COOKIES: usize = 256;

    /// The bytes of this objection.
    ///
    /// # Errors
    ///
    /// [`EncodeError`] if it is too long for a datagram.
    pub fn encode(&self, key: &PeerKey) -> Result<Vec<u8>, EncodeError> {
        encode(self, key, OBJECTION_KIND, MAXIMUM_DATAGRAM_LENGTH)
    }

    /// The objection that `bytes` encode.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if they encode none.
    pub fn decode(bytes: &[u8], key: &PeerKey) -> Result<Self, DecodeError> {
        decode(bytes, key, OBJECTION_KIND, MAXIMUM_DATAGRAM_LENGTH)
    }
}

impl FetchRequest {
    /// The bytes of this request.
    ///
    /// # Errors
    ///
    /// [`EncodeError`] if the serializer fails.
    pub fn encode(&self, key: &PeerKey) -> Result<Vec<u8>, EncodeError> {
        encode(self, key, FETCH_KIND, MAXIMUM_FETCH_LENGTH)
    }

    /// The request that `bytes` encode.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if they encode none.
    pub fn decode(bytes: &[u8], key: &PeerKey) -> Result<Self, DecodeError> {
        decode(bytes, key, FETCH_KIND, MAXIMUM_FETCH_LENGTH)
    }
}

/// The bytes of a snapshot.
///
/// # Errors
///
/// [`EncodeError`] if it is too long for a peer to accept.
pub fn encode_snapshot(snapshot: &Snapshot, key: &PeerKey) -> Result<Vec<u8>, EncodeError> {
    let packed = PackedSnapshot::pack(snapshot)?;
    let compressed = compressed(&archived(&packed)?, MAXIMUM_SNAPSHOT_LENGTH)?;
    key.seal(SNAPSHOT_KIND, &compressed, MAXIMUM_SNAPSHOT_LENGTH)
}

/// The snapshot that `bytes` encode.
///
/// # Errors
///
/// [`DecodeError`] if they encode none.
pub fn decode_snapshot(bytes: &[u8], key: &PeerKey) -> Result<Snapshot, DecodeError> {
    let sealed = key.open(SNAPSHOT_KIND, bytes, MAXIMUM_SNAPSHOT_LENGTH)?;
    let archive = decompressed(&sealed, MAXIMUM_SNAPSHOT_LENGTH)?;
    let packed: PackedSnapshot = validated(&archive)?;
    packed.unpack()
}

/// An archive compressed, which may have so many bytes.
fn compressed(archive: &[u8], longest: usize) -> Result<Vec<u8>, EncodeError> {
    let length = archive.len();
    if length > longest {
        return Err(EncodeError::TooLong { length });
    }
    Ok(compress_prepend_size(archive))
}

/// The archive that was compressed, which may have so many bytes.
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
