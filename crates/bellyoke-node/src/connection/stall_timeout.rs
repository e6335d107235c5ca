//! Reads and writes with a timeout that restarts with each chunk of data.
//!
//! The duration of a whole message depends on the bandwidth of the link, which is unknown.
//! Therefore only the time without any progress is limited.

use std::io::{Error, ErrorKind};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// Maximum number of bytes per read or write. A link of 1 Mbit/s transfers them in an eighth of a
/// second.
const CHUNK_BYTES: usize = 16 * 1024;

/// Reads until the peer closes the stream. Calls `on_progress` after each chunk.
///
/// ```
/// use bellyoke_node::connection::stall_timeout::read_to_end_with_stall_timeout;
/// use std::time::Duration;
///
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build()?;
/// let timeout = Duration::from_secs(1);
/// let read = read_to_end_with_stall_timeout(&b"state"[..], 100, timeout, || {});
/// assert_eq!(runtime.block_on(read)?, b"state");
/// # Ok::<(), std::io::Error>(())
/// ```
///
/// # Errors
///
/// Returns [`ErrorKind::TimedOut`] if no data arrives for `stall_timeout`,
/// [`ErrorKind::InvalidData`] if more than `maximum_bytes` arrive, and errors of the stream.
pub async fn read_to_end_with_stall_timeout(
    mut stream: impl AsyncRead + Unpin,
    maximum_bytes: usize,
    stall_timeout: Duration,
    mut on_progress: impl FnMut(),
) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    loop {
        bytes.reserve(CHUNK_BYTES);
        let read = timeout(stall_timeout, stream.read_buf(&mut bytes)).await;
        if read.map_err(|_| Error::from(ErrorKind::TimedOut))?? == 0 {
            return Ok(bytes);
        }
        if bytes.len() > maximum_bytes {
            return Err(ErrorKind::InvalidData.into());
        }
        on_progress();
    }
}

/// Writes all bytes and shuts down the stream.
///
/// # Errors
///
/// Returns [`ErrorKind::TimedOut`] if a chunk is not accepted within `stall_timeout`, and errors of
/// the stream.
pub async fn write_all_with_stall_timeout(
    mut stream: impl AsyncWrite + Unpin,
    bytes: &[u8],
    stall_timeout: Duration,
) -> std::io::Result<()> {
    for chunk in bytes.chunks(CHUNK_BYTES) {
        let written = timeout(stall_timeout, stream.write_all(chunk)).await;
        written.map_err(|_| Error::from(ErrorKind::TimedOut))??;
    }
    stream.shutdown().await
}
