//! Tests of the HTTP client against servers that are slow or do not respond.

use bellyoke_node::connection::http_client::HttpConnection;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

/// Longer than any test takes. No test may depend on this timeout.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

async fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        panic!("bound to IPv4");
    };
    (listener, address)
}

/// Reads a request and responds to it.
async fn respond(mut stream: TcpStream, body: &str) -> TcpStream {
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

/// A connection that lost a response may stay silent even after the store has recovered. A hedged
/// call must not depend on it.
#[test]
fn a_hedged_call_gets_its_response_over_another_connection_if_the_first_is_unresponsive() {
    run(async {
        let (listener, address) = listen().await;
        let server = tokio::spawn(async move {
            let unresponsive = listener.accept().await.unwrap();
            let (second, _) = listener.accept().await.unwrap();
            (unresponsive, respond(second, "alive").await)
        });
        let mut connection = HttpConnection::new(address);
        let result = connection.get_hedged("/", RESPONSE_TIMEOUT, || true).await;
        let response = result.unwrap();
        assert_eq!(
            (response.status.as_u16(), &response.body[..]),
            (200, &b"alive"[..])
        );
        server.await.unwrap();
    });
}

#[test]
fn a_call_that_must_not_be_hedged_waits_for_its_only_response() {
    run(async {
        let (listener, address) = listen().await;
        let (polled_twice, was_polled_twice) = tokio::sync::oneshot::channel();
        let server = tokio::spawn(async move {
            let (only, _) = listener.accept().await.unwrap();
            // At this point the client has polled `hedge` twice.
            was_polled_twice.await.unwrap();
            respond(only, "late").await;
            listener
        });
        let mut connection = HttpConnection::new(address);
        let mut polled_twice = Some(polled_twice);
        let mut polls = 0;
        let hedge = || {
            polls += 1;
            if polls == 2 {
                polled_twice.take().unwrap().send(()).unwrap();
            }
            false
        };
        let response = connection
            .get_hedged("/", RESPONSE_TIMEOUT, hedge)
            .await
            .unwrap();
        assert_eq!(&response.body[..], b"late");
        let listener = server.await.unwrap();
        let another = tokio::time::timeout(Duration::ZERO, listener.accept()).await;
        assert!(another.is_err(), "the client opened another connection");
    });
}

#[test]
fn a_call_fails_immediately_if_all_connections_fail() {
    run(async {
        let (listener, address) = listen().await;
        drop(listener);
        let mut connection = HttpConnection::new(address);
        assert!(
            connection
                .get_hedged("/", RESPONSE_TIMEOUT, || true)
                .await
                .is_err()
        );
    });
}

/// A long response over a low-bandwidth link takes longer than the response timeout, which must only
/// limit the time until the response starts.
#[test]
fn a_response_that_makes_progress_may_exceed_the_response_timeout() {
    run(async {
        let (listener, address) = listen().await;
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 1_024];
            assert!(stream.read(&mut request).await.unwrap() > 0);
            let head = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n";
            stream.write_all(head).await.unwrap();
            for chunk in [b"a", b"b", b"c", b"d"] {
                tokio::time::sleep(Duration::from_millis(400)).await;
                stream.write_all(chunk).await.unwrap();
            }
        });
        let mut connection = HttpConnection::new(address);
        let response_timeout = Duration::from_secs(1);
        let response = connection.get("/", response_timeout).await.unwrap();
        assert_eq!(&response.body[..], b"abcd");
        server.await.unwrap();
    });
}
