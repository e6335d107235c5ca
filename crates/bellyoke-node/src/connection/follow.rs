//! Runs a follower against the store.

use super::peers::PeerLink;
use super::store::StoreReader;
use crate::process::control::Control;
use crate::process::metrics::{ControlMetrics, StoreCallLabels};
use bellyoke_core::cookie::exchange::ExchangeEffect;
use bellyoke_core::cookie::follower::{
    Answer, Follower, FollowerSettings, Freshness, NextAction, Read, Update,
};
use bellyoke_core::cookie::freshness::ObjectKind;
use bellyoke_core::time::Timestamp;
use std::time::Duration;

/// Longest rest before the node looks again whether it has to ask the store.
const LONGEST_REST: Duration = Duration::from_millis(200);

/// Time between two looks at whether a call is still needed, or may be made. A tenth of the time
/// that a list takes where dropping it is worth anything, a quarter of that between two turns.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Follows one kind of object for the life of the process, and hands news to `apply`.
pub async fn follow<Reader: StoreReader>(
    link: PeerLink,
    kind: ObjectKind,
    mut reader: Reader,
    settings: FollowerSettings,
    mut apply: impl FnMut(&mut Control, Update<Reader::Item, Reader::Event>) -> Vec<ExchangeEffect>,
) {
    let clock = link.control.borrow().clock();
    let mut follower = Follower::new(settings);
    let mut usable = true;
    let mut counted_rejected = 0;
    loop {
        let (next, may_ask) = {
            let control = link.control.borrow();
            follower.enter_era(control.era());
            follower.skip_to(control.known_up_to(kind));
            let next = follower.next_action(clock.now(), control.watch_plan(kind));
            (next, control.may_ask(kind))
        };
        let read = match next {
            NextAction::WaitUntil(time) => {
                tokio::time::sleep(rest(clock.now(), time)).await;
                continue;
            }
            NextAction::Call(_) if !may_ask => {
                tokio::time::sleep(LOOK_INTERVAL).await;
                continue;
            }
            NextAction::Call(read) => read,
        };
        let asked_at = clock.now();
        link.control.borrow_mut().note_asked(kind, read.freshness());
        let context = link.control.borrow().call_context();
        follower.start_call(asked_at, &read);
        let hedge = || link.control.borrow().asks_for_all();
        let needless = || follower.is_list_redundant(link.control.borrow().known_up_to(kind));
        let Some(reply) = unless(needless, reader.read(&read, context.era, hedge)).await else {
            continue;
        };
        let took = clock.now().since(asked_at);
        let mut control = link.control.borrow_mut();
        let standing = control.classify_reply(kind, context, &read, &reply);
        let answer = standing.filter(reply.answer);
        count(control.metrics(), kind, &read, &answer, took);
        let rejected = reader.rejected();
        control
            .metrics()
            .objects_rejected
            .inc_by(rejected - std::mem::replace(&mut counted_rejected, rejected));
        let update = follower.answer(clock.now(), answer, control.random());
        control.note_answered(kind, follower.is_usable());
        if follower.is_usable() != usable {
            usable = !usable;
            control.log_store(kind, usable);
        }
        let effects = update.map(|update| apply(&mut control, update));
        drop(control);
        link.perform(effects.unwrap_or_default());
    }
}

/// The answer to a call; none once `needless` says that it isn't needed any more. The call is then
/// dropped with its connection, so that a long answer takes no more of a thin link.
async fn unless<Answer>(
    needless: impl Fn() -> bool,
    call: impl Future<Output = Answer>,
) -> Option<Answer> {
    let mut call = std::pin::pin!(call);
    loop {
        match tokio::time::timeout(LOOK_INTERVAL, &mut call).await {
            Ok(answer) => return Some(answer),
            Err(_) if needless() => return None,
            Err(_) => {}
        }
    }
}

fn rest(now: Timestamp, until: Timestamp) -> Duration {
    until.since(now).min(LONGEST_REST)
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
