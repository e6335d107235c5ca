//! The work queue of a backend: a limited number of slots and a bounded queue.

use bellyoke_lab::backend::{Admission, Cancellation, ConnectionId, WorkEvent, WorkQueue};
use smoltcp::time::{Duration, Instant};

const WORK_DURATION: Duration = Duration::from_millis(20);

fn at(milliseconds: i64) -> Instant {
    Instant::from_millis(milliseconds)
}

fn id(number: u64) -> ConnectionId {
    ConnectionId(number)
}

/// Returns a queue with one slot, which runs the work of connection 0 from the start, and room for
/// two queued items.
fn busy_queue() -> WorkQueue {
    let mut queue = WorkQueue::new(1, 2);
    assert_eq!(queue.admit(id(0), None), Admission::Queued);
    assert_eq!(
        queue.advance(at(0), WORK_DURATION),
        [WorkEvent::Started(id(0))]
    );
    queue
}

#[test]
fn work_beyond_the_slots_and_the_queue_limit_is_shed() {
    let mut queue = WorkQueue::new(2, 1);
    let admissions: Vec<Admission> = (0..4).map(|number| queue.admit(id(number), None)).collect();
    let [queued, shed] = [Admission::Queued, Admission::Shed];
    assert_eq!(admissions, [queued, queued, queued, shed]);
}

#[test]
fn queued_work_starts_in_order_when_a_slot_becomes_free() {
    let mut queue = busy_queue();
    queue.admit(id(1), None);
    queue.admit(id(2), None);
    assert_eq!(queue.advance(at(19), WORK_DURATION), []);
    assert_eq!(queue.next_event(), Some(at(20)));
    let events = queue.advance(at(20), WORK_DURATION);
    assert_eq!(
        events,
        [WorkEvent::Finished(id(0)), WorkEvent::Started(id(1))]
    );
    assert_eq!((queue.busy(), queue.queued()), (1, 1));
}

#[test]
fn work_past_its_deadline_is_not_started() {
    let mut queue = busy_queue();
    queue.admit(id(1), Some(at(20)));
    queue.admit(id(2), Some(at(21)));
    let events = queue.advance(at(20), WORK_DURATION);
    let expected = [
        WorkEvent::Finished(id(0)),
        WorkEvent::Expired(id(1)),
        WorkEvent::Started(id(2)),
    ];
    assert_eq!(events, expected);
}

#[test]
fn queued_work_expires_at_its_deadline_while_all_slots_are_busy() {
    let mut queue = busy_queue();
    queue.admit(id(1), Some(at(5)));
    assert_eq!(queue.next_event(), Some(at(5)));
    assert_eq!(
        queue.advance(at(5), WORK_DURATION),
        [WorkEvent::Expired(id(1))]
    );
}

#[test]
fn cancellation_reports_whether_the_work_had_started() {
    let mut queue = busy_queue();
    queue.admit(id(1), None);
    assert_eq!(queue.cancel(id(1)), Cancellation::BeforeStart);
    assert_eq!(queue.cancel(id(0)), Cancellation::WhileRunning);
    assert_eq!(queue.cancel(id(0)), Cancellation::Unknown);
    assert_eq!((queue.busy(), queue.queued()), (0, 0));
}
