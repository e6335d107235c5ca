//! The cluster's secrets and the keys derived from them.

use chacha20poly1305::{KeyInit, XChaCha20Poly1305};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Context of the key derivation; no other use of the secrets may have the same.
const DERIVATION_CONTEXT: &str = "bellyoke 2026-12 peer datagrams v1";

/// Least length of a secret, bytes.
pub const SHORTEST_SECRET: usize = 32;

/// Greatest length of a secret, bytes.
pub const LONGEST_SECRET: usize = 4096;

/// Why a key file cannot be used.
#[derive(Debug, Error)]
pub enum KeyError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file is too short or too long.
    #[error("{path}: {length} bytes, allowed are {SHORTEST_SECRET} to {LONGEST_SECRET}")]
    Length {
        /// The file.
        path: PathBuf,
        /// Its length, bytes.
        length: u64,
    },
}

/// Keys under which peers talk. The first seals; all open, so that secrets can be rotated:
/// first every node learns to open under the new one, then every node seals under it, then
/// the old one is dropped.
pub struct ClusterKeys {
    ciphers: Vec<XChaCha20Poly1305>,
}

impl ClusterKeys {
    /// Keys of `secrets`, of which there is at least one.
    #[must_use]
    pub fn derive(first: &[u8], others: &[Vec<u8>]) -> Self {
        let others = others.iter().map(Vec::as_slice);
        let ciphers = std::iter::once(first).chain(others).map(cipher);
        Self {
            ciphers: ciphers.collect(),
        }
    }

    pub(super) fn sealing(&self) -> &XChaCha20Poly1305 {
        &self.ciphers[0]
    }

    pub(super) fn opening(&self) -> impl Iterator<Item = &XChaCha20Poly1305> {
        self.ciphers.iter()
    }
}

fn cipher(secret: &[u8]) -> XChaCha20Poly1305 {
    let key = blake3::derive_key(DERIVATION_CONTEXT, secret);
    XChaCha20Poly1305::new(&key.into())
}

/// Reads the secret in a key file.
///
/// # Errors
///
/// [`KeyError`] if it cannot be read or has a wrong length.
pub fn read_secret(path: &Path) -> Result<Vec<u8>, KeyError> {
    let unreadable = |source| KeyError::Unreadable {
        path: path.to_owned(),
        source,
    };
    let length = std::fs::metadata(path).map_err(unreadable)?.len();
    if length < SHORTEST_SECRET as u64 || length > LONGEST_SECRET as u64 {
        return Err(KeyError::Length {
            path: path.to_owned(),
            length,
        });
    }
    std::fs::read(path).map_err(unreadable)
}
