//! Tests of timeouts that restart with each chunk of data, in virtual time.

use bellyoke_node::connection::stall_timeout::{
    read_to_end_with_stall_timeout, write_all_with_stall_timeout,
};
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const STALL_TIMEOUT: Duration = Duration::from_secs(1);

fn run(test: impl Future<Output = ()>) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_time().start_paused(true).build().unwrap();
    runtime.block_on(test);
}

#[test]
fn a_message_may_exceed_the_timeout_if_it_makes_progress() {
    run(async {
        let (mut sender, receiver) = tokio::io::duplex(64);
        let send = async move {
            for chunk in [b"ab", b"cd", b"ef"] {
                tokio::time::sleep(STALL_TIMEOUT / 2).await;
                sender.write_all(chunk).await.unwrap();
            }
        };
        let mut chunks = 0;
        let read = read_to_end_with_stall_timeout(receiver, 6, STALL_TIMEOUT, || chunks += 1);
        let (read, ()) = tokio::join!(read, send);
        assert_eq!(read.unwrap(), b"abcdef");
        assert_eq!(chunks, 3);
    });
}

#[test]
fn a_message_that_stalls_times_out() {
    run(async {
        let (mut sender, receiver) = tokio::io::duplex(64);
        sender.write_all(b"ab").await.unwrap();
        let read = read_to_end_with_stall_timeout(receiver, 6, STALL_TIMEOUT, || {}).await;
        assert_eq!(read.unwrap_err().kind(), ErrorKind::TimedOut);
    });
}

#[test]
fn a_message_that_is_too_long_is_rejected() {
    run(async {
        let read = read_to_end_with_stall_timeout(&b"abcdefg"[..], 6, STALL_TIMEOUT, || {}).await;
        assert_eq!(read.unwrap_err().kind(), ErrorKind::InvalidData);
    });
}

#[test]
fn writing_to_a_reader_that_does_not_read_times_out() {
    run(async {
        let (mut reader, writer) = tokio::io::duplex(4);
        let written = write_all_with_stall_timeout(writer, b"abcdefgh", STALL_TIMEOUT).await;
        assert_eq!(written.unwrap_err().kind(), ErrorKind::TimedOut);
        let mut received = [0; 4];
        assert_eq!(reader.read(&mut received).await.unwrap(), 4);
    });
}
