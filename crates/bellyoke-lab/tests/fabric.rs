//! Fabric: the routing of packets and the list of balancers read from the platform.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bellyoke_lab::caller::CallerHost;
use bellyoke_lab::fabric::{
    Destination, FabricOptions, Forwarder, Links, MachineList, PollSettings, Router,
    RouterSettings, SprayMode, poll_platform,
};
use bellyoke_lab::network::{PacketHost, Prefix};
use smoltcp::time::Instant;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, UdpSocket};

mod common;

use common::{TILL_V4, TILL_V6, callers, target};

fn balancers(count: u16) -> Vec<SocketAddr> {
    (1..=count)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect()
}

/// Returns the first packets of `count` flows to `address`.
fn opening_packets(address: &str, count: usize) -> Vec<Vec<u8>> {
    let targets = vec![target("till", address, bellyoke_lab::caller::Kind::Payment)];
    let mut caller = CallerHost::new(callers(targets, count, count as u64));
    caller.poll(Instant::ZERO);
    std::iter::from_fn(|| caller.next_packet()).collect()
}

fn router(routes: &[&str], spray: SprayMode) -> Router {
    let routes = routes
        .iter()
        .map(|route| route.parse().expect("route should be valid"));
    Router::new(RouterSettings {
        routes: routes.collect(),
        spray,
        seed: 5,
    })
}

fn route_packets(router: &mut Router, packets: &[Vec<u8>], count: u16) -> Vec<Destination> {
    let balancers = balancers(count);
    packets
        .iter()
        .map(|packet| router.route(packet, &balancers))
        .collect()
}

#[test]
fn routes_match_the_inner_destination_address() {
    let routes = [
        "198.51.100.0/24=127.0.0.1:9",
        "2001:db8:9::/48=127.0.0.1:10",
    ];
    let mut router = router(&routes, SprayMode::Packet);
    let caller_at =
        |text: &str| Destination::Caller(text.parse().expect("address should be valid"));
    let v4 = opening_packets(TILL_V4, 1);
    let v6 = opening_packets(TILL_V6, 1);
    assert_eq!(
        route_packets(&mut router, &v4, 3),
        [caller_at("127.0.0.1:9")]
    );
    assert_eq!(
        route_packets(&mut router, &v6, 3),
        [caller_at("127.0.0.1:10")]
    );
}

#[test]
fn packet_mode_spreads_packets_over_all_balancers_by_seed() {
    let packets = vec![opening_packets(TILL_V4, 1).remove(0); 600];
    let mut first = router(&[], SprayMode::Packet);
    let destinations = route_packets(&mut first, &packets, 3);
    for balancer in balancers(3) {
        let count = destinations
            .iter()
            .filter(|destination| **destination == Destination::Balancer(balancer))
            .count();
        assert!(
            (150..250).contains(&count),
            "{balancer} received {count} of 600 packets"
        );
    }
    let mut second = router(&[], SprayMode::Packet);
    assert_eq!(route_packets(&mut second, &packets, 3), destinations);
}

#[test]
fn flow_mode_sends_all_packets_of_a_flow_to_one_balancer() {
    let packets = opening_packets(TILL_V4, 50);
    let mut router = router(&[], SprayMode::Flow);
    let first = route_packets(&mut router, &packets, 4);
    assert_eq!(route_packets(&mut router, &packets, 4), first);
    assert!(first.iter().any(|destination| *destination != first[0]));
}

#[test]
fn unroutable_packets_are_classified() {
    let mut router = router(&[], SprayMode::Packet);
    let packet = opening_packets(TILL_V4, 1).remove(0);
    assert_eq!(router.route(&packet, &[]), Destination::NoBalancer);
    assert_eq!(
        router.route(&packet[..10], &balancers(1)),
        Destination::Malformed
    );
    assert_eq!(router.route(&[], &balancers(1)), Destination::Malformed);
}

#[test]
fn leaving_balancers_are_excluded_from_the_list() {
    let text = br#"{"kind": "BalancerList", "metadata": {"resourceVersion": "7"}, "items": [
        {"metadata": {"name": "c"}, "spec": {"dataAddress": "127.0.0.1:3", "zone": "cork"}},
        {"metadata": {"name": "b"}, "spec": {"dataAddress": "127.0.0.1:2", "leaving": true}},
        {"metadata": {"name": "a"}, "spec": {"dataAddress": "127.0.0.1:1", "leaving": false}}
    ]}"#;
    let list = MachineList::from_json(text).expect("balancer list should be valid");
    let expected = [balancers(1)[0], balancers(3)[2]];
    assert_eq!(list.balancers(), expected);
    assert!(MachineList::from_json(b"{\"items\": [{}]}").is_err());
}

#[test]
fn prefixes_are_validated_and_index_their_addresses() {
    let prefix: Prefix = "203.0.113.77/24".parse().expect("prefix should be valid");
    assert_eq!(prefix.address(5).to_string(), "203.0.113.5");
    assert!(prefix.contains("203.0.113.255".parse().expect("address should be valid")));
    assert!(!prefix.contains("2001:db8::1".parse().expect("address should be valid")));
    for text in [
        "203.0.113.0",
        "203.0.113.0/33",
        "2001:db8::/129",
        "x/8",
        "/",
    ] {
        let error = text.parse::<Prefix>().expect_err(text);
        assert!(error.to_string().contains(text));
    }
}

#[tokio::test]
async fn a_cut_link_drops_packets_until_it_is_restored() {
    let balancer = UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("socket should bind");
    let address = balancer
        .local_addr()
        .expect("socket should have a local address");
    let arguments = [
        "--listen",
        "127.0.0.1:0",
        "--static-balancer",
        &address.to_string(),
    ]
    .map(str::to_owned);
    let options = FabricOptions::parse(lexopt::Parser::from_args(arguments))
        .expect("options should be valid");
    let links = Arc::new(Mutex::new(Links::default()));
    let machines = Arc::new(Mutex::new(MachineList::fixed(&options.static_balancers)));
    let forwarder = Forwarder::bind(&options, machines, Arc::clone(&links));
    let forwarder = forwarder.expect("forwarder should bind");
    let fabric = forwarder
        .local_address()
        .expect("fabric should have a local address");
    let forwarder_task = tokio::spawn(forwarder.run());

    let packets = opening_packets(TILL_V4, 2);
    let sender = UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("socket should bind");
    links
        .lock()
        .expect("lock should not be poisoned")
        .cut(address);
    sender
        .send_to(&packets[0], fabric)
        .await
        .expect("data should be sent");
    while links
        .lock()
        .expect("lock should not be poisoned")
        .counters
        .cut
        == 0
    {
        tokio::task::yield_now().await;
    }
    links
        .lock()
        .expect("lock should not be poisoned")
        .restore(address);
    sender
        .send_to(&packets[1], fabric)
        .await
        .expect("data should be sent");
    let mut received = vec![0; 2048];
    let (length, _) = balancer
        .recv_from(&mut received)
        .await
        .expect("balancer should receive a packet");
    assert_eq!(received[..length], packets[1]);
    forwarder_task.abort();
}

#[test]
fn exactly_one_source_of_balancers_is_required() {
    let parse = |arguments: &[&str]| FabricOptions::parse(lexopt::Parser::from_args(arguments));
    let neither =
        parse(&["--listen", "127.0.0.1:1"]).expect_err("a source of balancers is required");
    assert!(
        neither
            .to_string()
            .starts_with("one of --platform and --static-balancer")
    );
    let both = [
        "--static-balancer",
        "127.0.0.1:2",
        "--platform",
        "http://127.0.0.1:3",
    ];
    assert!(parse(&[["--listen", "127.0.0.1:1"].as_slice(), &both].concat()).is_err());
    assert!(parse(&["--listen", "127.0.0.1:1", "--static-balancer", "nowhere"]).is_err());
}

/// Accepts one connection, reads a request and sends `body` as the response; without a body, closes
/// the connection without a response.
async fn serve_one_request(listener: &TcpListener, body: Option<&str>) {
    let (mut stream, _) = listener
        .accept()
        .await
        .expect("connection should be accepted");
    let mut request = [0; 1024];
    let length = stream
        .read(&mut request)
        .await
        .expect("request should be received");
    let request_text = String::from_utf8_lossy(&request[..length]);
    assert!(request_text.starts_with("GET /apis/bellyoke.dev/v1/namespaces/default/balancers "));
    if let Some(body) = body {
        let length = body.len();
        let header =
            format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n");
        stream
            .write_all(header.as_bytes())
            .await
            .expect("data should be sent");
        stream
            .write_all(body.as_bytes())
            .await
            .expect("data should be sent");
    }
}

fn balancer_list_json(port: u16) -> String {
    format!("{{\"items\": [{{\"spec\": {{\"dataAddress\": \"127.0.0.1:{port}\"}}}}]}}")
}

async fn wait_for_balancers(machines: &Mutex<MachineList>, balancers: &[SocketAddr]) {
    while machines
        .lock()
        .expect("lock should not be poisoned")
        .balancers()
        != balancers
    {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn the_last_valid_list_is_kept_while_the_platform_fails() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("listener should bind");
    let address = listener
        .local_addr()
        .expect("socket should have a local address");
    let settings = PollSettings {
        platform: format!("http://{address}"),
        interval: Duration::from_millis(1),
        lag: Duration::from_millis(1),
    };
    let machines = Arc::new(Mutex::new(MachineList::default()));
    let poll_task = tokio::spawn(poll_platform(settings, Arc::clone(&machines)));
    serve_one_request(&listener, Some(&balancer_list_json(1))).await;
    wait_for_balancers(&machines, &balancers(1)).await;
    serve_one_request(&listener, None).await;
    serve_one_request(&listener, Some("{\"items\": 3}")).await;
    serve_one_request(&listener, None).await;
    assert_eq!(
        machines
            .lock()
            .expect("lock should not be poisoned")
            .balancers(),
        balancers(1)
    );
    serve_one_request(&listener, Some(&balancer_list_json(2))).await;
    wait_for_balancers(&machines, &balancers(2)[1..]).await;
    poll_task.abort();
}
