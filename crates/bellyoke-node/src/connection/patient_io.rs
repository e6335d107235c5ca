//! Reading and writing with a time-out that starts anew with each piece of data.
//!
//! How long a whole message takes depends on the link, which nothing tells. So what is bounded is
//! the time in which nothing at all goes on.

use std::io::{Error, ErrorKind};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// Bytes that are read or written at once. A link of 1 Mbit/s carries them in an eighth of a second.
const PIECE_LENGTH: usize = 16 * 1024;

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
pub async fn read_patiently(
    mut stream: impl AsyncRead + Unpin,
    longest: usize,
    patience: Duration,
    mut progressed: impl FnMut(),
) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    loop {
        bytes.reserve(PIECE_LENGTH);
        let read = timeout(patience, stream.read_buf(&mut bytes)).await;
        if read.map_err(|_| Error::from(ErrorKind::TimedOut))?? == 0 {
            return Ok(bytes);
        }
        if bytes.len() > longest {
            return Err(ErrorKind::InvalidData.into());
        }
        progressed();
    }
}

/// Sends all bytes, and that there are no more.
///
/// # Errors
///
/// [`ErrorKind::TimedOut`] if the other side takes nothing for `patience`, and those of the
/// connection.
pub async fn write_patiently(
    mut stream: impl AsyncWrite + Unpin,
    bytes: &[u8],
    patience: Duration,
) -> std::io::Result<()> {
    for piece in bytes.chunks(PIECE_LENGTH) {
        let written = timeout(patience, stream.write_all(piece)).await;
        written.map_err(|_| Error::from(ErrorKind::TimedOut))??;
    }
    stream.shutdown().await
}
