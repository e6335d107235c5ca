//! HTTP requests and responses: parsing by backends and callers, and the classification of
//! responses.

use bellyoke_lab::caller::{Expectation, Kind, Outcome, check_answer};
use bellyoke_lab::http::{
    HttpError, RequestText, Response, ResponseHead, ResponseReader, chunk, feed_line, last_chunk,
    parse_request, payment_line,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn response_head(service: &str) -> ResponseHead<'_> {
    ResponseHead {
        status: 200,
        service,
        backend: "till-1",
    }
}

fn feed_response(id: &str, count: u64) -> Vec<u8> {
    let mut bytes = response_head("till").chunked();
    for sequence in 0..count {
        bytes.extend(chunk(&feed_line(id, sequence)));
    }
    bytes.extend(last_chunk());
    bytes
}

fn read_response(bytes: &[u8]) -> Response {
    let response = ResponseReader::default().push(bytes);
    response
        .expect("response should be valid")
        .expect("response should be complete")
}

#[test]
fn a_written_request_is_parsed_back() {
    let request = RequestText {
        method: "POST",
        target: "/upload?id=r%2D1&count=3&interval_ms=40",
        host: "intake",
        deadline_ms: Some(250),
        body: b"homework",
    };
    let bytes = request.to_bytes();
    let head = parse_request(&bytes)
        .expect("request should be valid")
        .expect("request header should be complete");
    insta::assert_debug_snapshot!(head, @r#"
    RequestHead {
        method: "POST",
        path: "/upload",
        host: "intake",
        id: "r-1",
        interval: Duration {
            micros: 40000,
        },
        count: 3,
        content_length: 8,
        deadline: Some(
            Duration {
                micros: 250000,
            },
        ),
        size: 127,
    }
    "#);
    assert_eq!(&bytes[head.size..], b"homework");
}

#[test]
fn an_incomplete_request_header_is_pending_up_to_a_size_limit() {
    assert_eq!(parse_request(b"GET /feed HTTP/1.1\r\nhost: ti"), Ok(None));
    let oversized = [b"GET /".as_slice(), &[b'x'; 9000]].concat();
    assert_eq!(parse_request(&oversized), Err(HttpError::HeadTooLong));
}

#[test]
fn malformed_requests_are_rejected() {
    let missing = parse_request(b"GET /feed HTTP/1.1\r\n\r\n");
    assert_eq!(missing, Err(HttpError::Header("host")));
    let length = parse_request(b"GET / HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n");
    assert_eq!(length, Err(HttpError::Header("content-length")));
    assert!(matches!(
        parse_request(b"\x00\x01"),
        Err(HttpError::Head(_))
    ));
}

#[test]
fn malformed_responses_are_rejected() {
    let no_length = ResponseReader::default().push(b"HTTP/1.1 200 OK\r\n\r\n");
    assert_eq!(no_length, Err(HttpError::Header("content-length")));
    let mut reader = ResponseReader::default();
    let chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nabXX";
    assert_eq!(reader.push(chunked), Err(HttpError::Chunk));
}

#[test]
fn a_response_body_over_the_size_limit_is_rejected() {
    let mut reader = ResponseReader::default();
    let head = b"HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n";
    assert_eq!(reader.push(head), Ok(None));
    let body = vec![0; 1024 * 1024 + 1];
    assert!(matches!(
        reader.push(&body),
        Err(HttpError::BodyTooLong { .. })
    ));
}

fn check_response(kind: Kind, bytes: &[u8]) -> Outcome {
    let expected = Expectation::new(kind, "r-1", "till", 3, b"");
    check_answer(&expected, &read_response(bytes))
}

#[test]
fn only_a_complete_response_to_the_request_counts_as_answered() {
    let payment = |service, id| response_head(service).with_body(&payment_line(id));
    let misrouted = |reason: &str| Outcome::Crossed(reason.to_owned());
    assert_eq!(
        check_response(Kind::Payment, &payment("till", "r-1")),
        Outcome::Answered
    );
    let from_other_service = misrouted("answer of service Some(\"listings\")");
    assert_eq!(
        check_response(Kind::Payment, &payment("listings", "r-1")),
        from_other_service
    );
    assert!(matches!(
        check_response(Kind::Payment, &payment("till", "r-2")),
        Outcome::Crossed(_)
    ));
    assert_eq!(
        check_response(Kind::Feed, &feed_response("r-1", 3)),
        Outcome::Answered
    );
    assert!(matches!(
        check_response(Kind::Feed, &feed_response("r-1", 2)),
        Outcome::Broken(_)
    ));
    assert!(matches!(
        check_response(Kind::Feed, &feed_response("r-2", 3)),
        Outcome::Crossed(_)
    ));
}

#[test]
fn a_refusal_must_state_that_the_request_was_not_run() {
    let refusal = |body: &str| {
        let length = body.len();
        format!(
            "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\ncontent-length: {length}\r\n\r\n{body}"
        )
    };
    assert_eq!(
        check_response(Kind::Payment, refusal("not run\n").as_bytes()),
        Outcome::Refused
    );
    let unspecified_refusal = check_response(Kind::Payment, refusal("try later\n").as_bytes());
    assert_eq!(
        unspecified_refusal,
        Outcome::Broken("status 503: try later".to_owned())
    );
    let head = ResponseHead {
        status: 503,
        ..response_head("till")
    };
    assert_eq!(
        check_response(Kind::Payment, &head.with_body("not run\n")),
        Outcome::Shed
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_response_is_parsed_the_same_however_it_is_split(part_lengths in prop::collection::vec(1_usize..60, 0..40)) {
        let bytes = feed_response("r-1", 5);
        let mut reader = ResponseReader::default();
        let mut rest = bytes.as_slice();
        for part_length in part_lengths {
            let (part, remaining) = rest.split_at(part_length.min(rest.len().saturating_sub(1)));
            prop_assert_eq!(reader.push(part), Ok(None));
            rest = remaining;
        }
        prop_assert_eq!(reader.push(rest), Ok(Some(read_response(&bytes))));
    }
}
