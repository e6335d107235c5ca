//! Reading and writing with a time-out that starts anew with each piece of data.
//!
//! How long a whole message takes depends on the link, which nothing tells. So what is bounded is
//! the time in which nothing at all goes on.

use std::io::{Error, ErrorKind};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// Bytes that are read or written at once. A link of 1 Mbit/s carries them in an eighth of a second.
const CHUNK_BYTES: usize = 16 * 1024;

/// All that the other side sends until it closes. Calls `progressed` after each piece.
///
/// ```
/// use bellyoke_node::connection::patient_io::read_patiently;
/// use std::time::Duration;
///
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build()?;
/// let read = read_patiently(&b"state"[..], 100, Duration::from_secs(1), || {});
/// assert_eq!(runtime.block_on(read)?, b"state");
/// # Ok::<(), std::io::Error>(())
/// ```
///
/// # Errors
///
/// [`ErrorKind::TimedOut`] if nothing comes for `patience`, [`ErrorKind::InvalidData`] if more than
/// `longest` bytes come, and those of the connection.
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

/// Sends all bytes, and that there are no more.
///
/// # Errors
///
/// [`ErrorKind::TimedOut`] if the other side takes nothing for `patience`, and those of the
/// connection.
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
