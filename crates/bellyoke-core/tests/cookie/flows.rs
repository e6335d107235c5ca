//! The table of recently seen flows.

use crate::support::{at, flow, later};
use bellyoke_core::cookie::flows::FlowTable;
use bellyoke_core::cookie::instance::{Cookie, InstanceId};
use bellyoke_core::cookie::packet::FlowPacket;
use std::time::Duration;

const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

fn cookie(id: u64) -> Cookie {
    Cookie::of(InstanceId(id))
}

fn record_packet(table: &mut FlowTable, now: u64, number: u32, id: u64) {
    let packet = FlowPacket {
        acknowledged: number,
        ..later(number, cookie(id))
    };
    table.record_packet(at(now), flow(number).hash(), &packet, cookie(id));
}

#[test]
fn a_flow_record_contains_the_last_acknowledgement_of_its_client() {
    let mut table = FlowTable::new(100, IDLE_TIMEOUT);
    record_packet(&mut table, 1_000, 7, 1);
    let record = table.get(flow(7).hash()).unwrap();
    assert_eq!(record.flow, flow(7));
    assert_eq!((record.cookie, record.acknowledged), (cookie(1), 7));
    assert_eq!(record.seen_at, at(1_000));
    assert!(table.of_instance(cookie(2)).next().is_none());
    assert!(table.remove(flow(7).hash()).is_some());
    assert!(table.is_empty());
}

#[test]
fn a_flow_that_opens_at_another_instance_replaces_its_record() {
    let mut table = FlowTable::new(100, IDLE_TIMEOUT);
    record_packet(&mut table, 1_000, 7, 1);
    record_packet(&mut table, 2_000, 7, 2);
    assert!(table.of_instance(cookie(1)).next().is_none());
    assert_eq!(table.of_instance(cookie(2)).count(), 1);
}

#[test]
fn memory_is_bounded_and_the_least_recently_used_is_dropped_first() {
    let mut table = FlowTable::new(100, IDLE_TIMEOUT);
    for number in 0..1_000 {
        record_packet(&mut table, 1_000, number, 1);
        record_packet(&mut table, 1_000, 0, 1);
        assert!(table.len() <= 101, "{} flows", table.len());
    }
    assert!(table.get(flow(0).hash()).is_some(), "it is in use");
    assert!(table.get(flow(999).hash()).is_some());
    assert!(table.get(flow(1).hash()).is_none());
}

#[test]
fn an_idle_flow_is_tracked_until_its_timeout() {
    let mut table = FlowTable::new(100, IDLE_TIMEOUT);
    record_packet(&mut table, 0, 7, 1);
    record_packet(&mut table, 14_999, 8, 1);
    assert!(table.get(flow(7).hash()).is_some());
    record_packet(&mut table, 30_000, 8, 1);
    record_packet(&mut table, 46_000, 8, 1);
    assert!(table.get(flow(7).hash()).is_none());
    assert!(table.get(flow(8).hash()).is_some());
}
