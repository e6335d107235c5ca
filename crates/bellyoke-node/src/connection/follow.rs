//! Runs a follower against the store.

use super::store::StoreReader;
use crate::process::control::{Control, ObjectKind};
use crate::process::metrics::{ControlMetrics, StoreCallLabels};
use bellyoke_core::cookie::follower::{
    Answer, Follower, FollowerSettings, Freshness, Next, Read, Update,
};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Follows one kind of object for the life of the process, and hands news to `apply`.
pub async fn follow<Reader: StoreReader>(
    control: Rc<RefCell<Control>>,
    kind: ObjectKind,
    mut reader: Reader,
    settings: FollowerSettings,
    mut apply: impl FnMut(&mut Control, Update<Reader::Item, Reader::Event>),
) {
    let clock = control.borrow().clock();
    let mut follower = Follower::new(settings);
    let mut following = false;
    loop {
        let freshness = control.borrow().watch_freshness();
        let read = match follower.next(clock.now(), freshness) {
            Next::WaitUntil(time) => {
                tokio::time::sleep_until(clock.instant(time).into()).await;
                continue;
            }
            Next::Call(read) => read,
        };
        let asked_at = clock.now();
        let answer = reader.read(&read).await;
        let mut control = control.borrow_mut();
        let took = clock.now().since(asked_at);
        count(control.metrics(), kind, &read, &answer, took);
        let update = follower.answer(clock.now(), answer, control.random());
        if follower.is_following() != following {
            following = !following;
            control.note_store(kind, following);
        }
        if let Some(update) = update {
            apply(&mut control, update);
        }
    }
}

fn count<Item, Event>(
    metrics: &ControlMetrics,
    kind: ObjectKind,
    read: &Read,
    answer: &Answer<Item, Event>,
    took: Duration,
) {
    let call = match read {
        Read::List { .. } => "list",
        Read::Watch {
            freshness: Freshness::Newest,
            ..
        } => "watch",
        Read::Watch {
            freshness: Freshness::MayBeStale,
            ..
        } => "stale_watch",
    };
    let outcome = match answer {
        Answer::Page { .. } | Answer::Changes { .. } => "answered",
        Answer::HistoryGone => "history_gone",
        Answer::Throttled => "throttled",
        Answer::Failed => "failed",
    };
    if matches!(read, Read::List { .. }) {
        metrics.list_seconds.observe(took.as_secs_f64());
    }
    let labels = StoreCallLabels {
        kind: kind.name(),
        call,
        outcome,
    };
    metrics.store_calls.get_or_create(&labels).inc();
}
