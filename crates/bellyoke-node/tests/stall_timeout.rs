//! Time-outs that start anew with each piece of data, in virtual time.

use bellyoke_node::connection::stall_timeout::{
    read_to_end_with_stall_timeout, write_all_with_stall_timeout,
};
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const PATIENCE: Duration = Duration::from_secs(1);

fn run(test: impl Future<Output = ()>) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_time().start_paused(true).build().unwrap();
    runtime.block_on(test);
}

#[test]
fn a_message_may_take_long_if_it_goes_on() {
    run(async {
        let (mut sender, receiver) = tokio::io::duplex(64);
        let send = async move {
            for piece in [b"ab", b"cd", b"ef"] {
                tokio::time::sleep(PATIENCE / 2).await;
                sender.write_all(piece).await.unwrap();
            }
        };
        let mut pieces = 0;
        let read = read_to_end_with_stall_timeout(receiver, 6, PATIENCE, || pieces += 1);
        let (read, ()) = tokio::join!(read, send);
        assert_eq!(read.unwrap(), b"abcdef");
        assert_eq!(pieces, 3);
    });
}

#[test]
fn a_message_that_stops_fails() {
    run(async {
        let (mut sender, receiver) = tokio::io::duplex(64);
        sender.write_all(b"ab").await.unwrap();
        let read = read_to_end_with_stall_timeout(receiver, 6, PATIENCE, || {}).await;
        assert_eq!(read.unwrap_err().kind(), ErrorKind::TimedOut);
    });
}

#[test]
fn a_message_that_is_too_long_is_refused() {
    run(async {
        let read = read_to_end_with_stall_timeout(&b"abcdefg"[..], 6, PATIENCE, || {}).await;
        assert_eq!(read.unwrap_err().kind(), ErrorKind::InvalidData);
    });
}

#[test]
fn a_reader_that_takes_nothing_is_given_up() {
    run(async {
        let (mut reader, writer) = tokio::io::duplex(4);
        let written = write_all_with_stall_timeout(writer, b"abcdefgh", PATIENCE).await;
        assert_eq!(written.unwrap_err().kind(), ErrorKind::TimedOut);
        let mut taken = [0; 4];
        assert_eq!(reader.read(&mut taken).await.unwrap(), 4);
    });
}
