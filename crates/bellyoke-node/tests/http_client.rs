//! The connection to the store, against servers that say nothing.

use bellyoke_node::connection::http_client::HttpConnection;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

/// Longer than any test takes: none may end by it.
const PATIENCE: Duration = Duration::from_secs(60);

async fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        panic!("bound to IPv4");
    };
    (listener, address)
}

/// Reads a request, and answers it.
async fn answer(mut stream: TcpStream, body: &str) -> TcpStream {
    let mut request = [0; 1_024];
    assert!(stream.read(&mut request).await.unwrap() > 0);
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body.as_bytes()).await.unwrap();
    stream
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// A connection that lost an answer says nothing more, also when the store is back.
#[test]
fn a_hedged_call_is_answered_over_another_connection_than_the_mute_one() {
    run(async {
        let (listener, address) = listen().await;
        let server = tokio::spawn(async move {
            let mute = listener.accept().await.unwrap();
            let (second, _) = listener.accept().await.unwrap();
            (mute, answer(second, "alive").await)
        });
        let mut connection = HttpConnection::new(address);
        let answered = connection.get_hedged("/", PATIENCE, || true).await;
        let answer = answered.unwrap();
        assert_eq!(
            (answer.status.as_u16(), &answer.body[..]),
            (200, &b"alive"[..])
        );
        server.await.unwrap();
    });
}

#[test]
fn a_call_that_may_not_be_hedged_waits_for_its_only_answer() {
    run(async {
        let (listener, address) = listen().await;
        let (asked, was_asked) = tokio::sync::oneshot::channel();
        let server = tokio::spawn(async move {
            let (only, _) = listener.accept().await.unwrap();
            // By then the client was asked twice whether to make the call again.
            was_asked.await.unwrap();
            answer(only, "late").await;
            listener
        });
        let mut connection = HttpConnection::new(address);
        let mut asked = Some(asked);
        let mut questions = 0;
        let hedge = || {
            questions += 1;
            if questions == 2 {
                asked.take().unwrap().send(()).unwrap();
            }
            false
        };
        let answer = connection.get_hedged("/", PATIENCE, hedge).await.unwrap();
        assert_eq!(&answer.body[..], b"late");
        let listener = server.await.unwrap();
        let another = tokio::time::timeout(Duration::ZERO, listener.accept()).await;
        assert!(another.is_err(), "no other connection was opened");
    });
}

#[test]
fn a_call_whose_connections_all_fail_fails_at_once() {
    run(async {
        let (listener, address) = listen().await;
        drop(listener);
        let mut connection = HttpConnection::new(address);
        assert!(connection.get_hedged("/", PATIENCE, || true).await.is_err());
    });
}

/// A long answer over a thin link takes longer than the store needs to begin it.
#[test]
fn an_answer_that_goes_on_is_waited_for() {
    run(async {
        let (listener, address) = listen().await;
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 1_024];
            assert!(stream.read(&mut request).await.unwrap() > 0);
            let head = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n";
            stream.write_all(head).await.unwrap();
            for piece in [b"a", b"b", b"c", b"d"] {
                tokio::time::sleep(Duration::from_millis(400)).await;
                stream.write_all(piece).await.unwrap();
            }
        });
        let mut connection = HttpConnection::new(address);
        let patience = Duration::from_secs(1);
        let answer = connection.get("/", patience).await.unwrap();
        assert_eq!(&answer.body[..], b"abcd");
        server.await.unwrap();
    });
}
