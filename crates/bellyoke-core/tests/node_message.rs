//! Encoding of messages with limited length, and decoding of untrusted bytes.

use bellyoke_core::identity::{GenerationNumber, NodeId};
use bellyoke_core::node::{
    Chunk, DecodeError, DisseminationMessage, EncodeError, LeaseMessage, MAXIMUM_MESSAGE_BYTES,
    Message, MessageBody, NodeSettings, PROTOCOL_VERSION, SettingsError,
};
use proptest::prelude::*;
use std::time::Duration;

fn message(body: MessageBody) -> Message {
    Message {
        version: PROTOCOL_VERSION,
        sender: NodeId(7),
        generation: GenerationNumber(3),
        acknowledged: GenerationNumber(2),
        barrier: GenerationNumber(1),
        body,
    }
}

fn renewal() -> Message {
    message(MessageBody::Lease(LeaseMessage::Renewal { sent: 5 }))
}

fn chunk(length: usize) -> Message {
    let chunk = Chunk {
        generation: GenerationNumber(3),
        digest: 1,
        index: 0,
        total: 1,
        bytes: vec![1; length],
    };
    let body = DisseminationMessage::Chunk(Box::new(chunk));
    message(MessageBody::Dissemination(body))
}

#[test]
fn messages_survive_encoding_and_decoding() {
    for message in [renewal(), chunk(1000)] {
        let bytes = message.encode().expect("the message is encoded");
        assert_eq!(Message::decode(&bytes), Ok(message));
    }
}

#[test]
fn a_renewal_fits_a_hundred_bytes() {
    let length = renewal().encode().expect("the message is encoded").len();
    assert!(length <= 100, "{length} bytes");
}

#[test]
fn a_control_message_longer_than_a_datagram_is_rejected() {
    let error = chunk(1500).encode().expect_err("the message is too long");
    assert!(matches!(error, EncodeError::TooLong { length } if length > 1500));
}

#[test]
fn bytes_longer_than_any_message_are_rejected() {
    let length = MAXIMUM_MESSAGE_BYTES + 1;
    let rejected = Message::decode(&vec![0; length]);
    assert_eq!(rejected, Err(DecodeError::TooLong { length }));
}

#[test]
fn another_protocol_version_is_rejected() {
    let mut newer = renewal();
    newer.version = PROTOCOL_VERSION + 1;
    let bytes = newer.encode().expect("the message is encoded");
    let version = newer.version;
    assert_eq!(
        Message::decode(&bytes),
        Err(DecodeError::Version { version })
    );
}

proptest! {
    #[test]
    fn damaged_bytes_never_panic(at in 0_usize..1000, value: u8, keep in 0_usize..1100) {
        let mut bytes = chunk(900).encode().expect("the message is encoded");
        let index = at % bytes.len();
        bytes[index] = value;
        bytes.truncate(keep);
        let _ = Message::decode(&bytes);
    }
}

#[test]
fn an_out_of_range_error_names_the_setting_and_its_range() {
    let error = NodeSettings::builder()
        .control_budget(10)
        .build()
        .expect_err("the budget is too small");
    insta::assert_snapshot!(error, @"control_budget = 10 is out of range: 2048 to 100000000");
}

#[test]
fn a_margin_of_more_than_half_the_lease_is_rejected() {
    let built = NodeSettings::builder()
        .lease_margin(Duration::from_secs(2))
        .build();
    let SettingsError::OutOfRange { key, range, .. } = built.expect_err("the margin is too long");
    assert_eq!((key, range.as_str()), ("lease_margin", "1ms to 1.5s"));
}

#[test]
fn the_defaults_are_in_range() {
    assert_eq!(NodeSettings::builder().build(), Ok(NodeSettings::default()));
}
