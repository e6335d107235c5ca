//! Bytes of values that nodes send each other: a format number, then rkyv compressed by LZ4.

use lz4_flex::block::{compress_prepend_size, decompress, uncompressed_size};
use rkyv::api::high::{HighDeserializer, HighSerializer, HighValidator};
use rkyv::bytecheck::CheckBytes;
use rkyv::rancor::Error as ArchiveError;
use rkyv::ser::allocator::ArenaHandle;
use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize, Serialize};
use thiserror::Error;

/// Number of the byte format; another number is refused.
const FORMAT_VERSION: u8 = 1;
/// Alignment that archived values need, bytes.
const ARCHIVE_ALIGNMENT_BYTES: usize = 16;
/// Longest archive that is accepted, bytes: ten times that of 5,700 backends in 1,800
/// services with 1,024 buckets each.
const MAXIMUM_ARCHIVE_BYTES: usize = 32 << 20;

/// Why bytes of a peer or of the store aren't taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// No byte at all.
    #[error("no data")]
    Empty,
    /// A format that this version doesn't know.
    #[error("byte format {0} is unknown, {FORMAT_VERSION} is expected")]
    Format(u8),
    /// An archive above the limit.
    #[error("archive of {0} bytes, more than {MAXIMUM_ARCHIVE_BYTES}")]
    TooLong(usize),
    /// The compressed data is damaged.
    #[error("damaged compression: {0}")]
    Compression(String),
    /// The archive hasn't the length that was announced.
    #[error("archive of {found} bytes, {expected} were announced")]
    Length {
        /// The announced length.
        expected: usize,
        /// The length that was found.
        found: usize,
    },
    /// The archive is damaged.
    #[error("damaged archive: {0}")]
    Archive(String),
    /// A lookup table that contradicts itself.
    #[error("damaged lookup table")]
    Table,
}

/// The archive of `value`: equal values have equal archives.
pub(super) fn to_archive<T>(value: &T) -> AlignedVec
where
    T: for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, ArchiveError>>,
{
    // Serializing fails only when a length exceeds 32 bits, which the limits rule out.
    rkyv::to_bytes::<ArchiveError>(value).unwrap_or_default()
}

/// Compresses an archive.
pub(super) fn compress_archive(archive: &[u8]) -> Vec<u8> {
    let mut bytes = vec![FORMAT_VERSION];
    bytes.extend(compress_prepend_size(archive));
    bytes
}

/// Decompresses and validates a value.
pub(super) fn decode_archive<T>(bytes: &[u8]) -> Result<T, DecodeError>
where
    T: Archive,
    T::Archived: for<'a> CheckBytes<HighValidator<'a, ArchiveError>>
        + Deserialize<T, HighDeserializer<ArchiveError>>,
{
    let (format, payload) = bytes.split_first().ok_or(DecodeError::Empty)?;
    if *format != FORMAT_VERSION {
        return Err(DecodeError::Format(*format));
    }
    let compression =
        |error: lz4_flex::block::DecompressError| DecodeError::Compression(error.to_string());
    let (length, compressed) = uncompressed_size(payload).map_err(compression)?;
    if length > MAXIMUM_ARCHIVE_BYTES {
        return Err(DecodeError::TooLong(length));
    }
    let archive = decompress(compressed, length).map_err(compression)?;
    if archive.len() != length {
        return Err(DecodeError::Length {
            expected: length,
            found: archive.len(),
        });
    }
    let mut aligned = AlignedVec::<ARCHIVE_ALIGNMENT_BYTES>::with_capacity(archive.len());
    aligned.extend_from_slice(&archive);
    rkyv::from_bytes::<T, ArchiveError>(&aligned)
        .map_err(|error| DecodeError::Archive(error.to_string()))
}
