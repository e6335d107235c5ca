//! Reads one kind of object from the store and follows its changes.

use super::peers::PeerLink;
use super::store::StoreReader;
use crate::process::control::Control;
use crate::process::metrics::{ControlMetrics, StoreCallLabels};
use bellyoke_core::cookie::continuity::ListedObject;
use bellyoke_core::cookie::exchange::ExchangeEffect;
use bellyoke_core::cookie::follower::{
    Answer, Follower, FollowerSettings, Freshness, NextAction, Read, Update,
};
use bellyoke_core::cookie::freshness::ObjectKind;
use bellyoke_core::time::Timestamp;
use std::time::Duration;

/// Maximum time between checks whether the node has to call the store.
const MAXIMUM_IDLE_TIME: Duration = Duration::from_millis(200);

/// Interval between checks whether a call is still needed or may be made. This is a tenth of the
/// duration of a list call that is worth cancelling, and a quarter of the time between two slots.
const CALL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Follows one kind of object for the lifetime of the process and passes updates to `apply`.
pub async fn follow<Reader: StoreReader<Item: ListedObject>>(
    link: PeerLink,
    kind: ObjectKind,
    mut reader: Reader,
    settings: FollowerSettings,
    mut apply: impl FnMut(&mut Control, Update<Reader::Item, Reader::Event>) -> Vec<ExchangeEffect>,
) {
    let clock = link.control.borrow().clock();
    let mut follower = Follower::new(settings);
    let mut usable = true;
    let mut counted_rejections = 0;
    loop {
        let (action, may_call) = {
            let control = link.control.borrow();
            follower.enter_era(control.era());
            follower.skip_to(control.known_up_to(kind));
            let action = follower.next_action(clock.now(), control.watch_plan(kind));
            (action, control.may_call_store(kind))
        };
        let read = match action {
            NextAction::WaitUntil(time) => {
                tokio::time::sleep(idle_time(clock.now(), time)).await;
                continue;
            }
            NextAction::Call(_) if !may_call => {
                tokio::time::sleep(CALL_CHECK_INTERVAL).await;
                continue;
            }
            NextAction::Call(read) => read,
        };
        let called_at = clock.now();
        link.control.borrow_mut().record_store_call(kind, &read);
        let context = link.control.borrow().call_context();
        follower.start_call(called_at, &read);
        let hedge = || link.control.borrow().is_bootstrap_reader();
        let is_redundant = || follower.is_list_redundant(link.control.borrow().known_up_to(kind));
        let Some(reply) = cancel_if(is_redundant, reader.read(&read, context.era, hedge)).await
        else {
            continue;
        };
        let elapsed = clock.now().since(called_at);
        let mut control = link.control.borrow_mut();
        let validity = control.classify_reply(kind, context, &read, &reply);
        let answer = validity.filter(reply.answer);
        count_call(control.metrics(), kind, &read, &answer, elapsed);
        let rejected = reader.rejected();
        control
            .metrics()
            .objects_rejected
            .inc_by(rejected - std::mem::replace(&mut counted_rejections, rejected));
        let update = follower.answer(clock.now(), answer, control.random());
        control.record_store_availability(kind, follower.is_usable());
        if follower.is_usable() != usable {
            usable = !usable;
            control.log_store_availability(kind, usable);
        }
        let effects = update.map(|update| apply(&mut control, update));
        drop(control);
        link.perform(effects.unwrap_or_default());
    }
}

/// Returns the answer to a call, or `None` once `is_redundant` returns true. The call is then
/// dropped together with its connection, so that a long answer stops using a low-bandwidth link.
async fn cancel_if<Answer>(
    is_redundant: impl Fn() -> bool,
    call: impl Future<Output = Answer>,
) -> Option<Answer> {
    let mut call = std::pin::pin!(call);
    loop {
        match tokio::time::timeout(CALL_CHECK_INTERVAL, &mut call).await {
            Ok(answer) => return Some(answer),
            Err(_) if is_redundant() => return None,
            Err(_) => {}
        }
    }
}

fn idle_time(now: Timestamp, until: Timestamp) -> Duration {
    until.since(now).min(MAXIMUM_IDLE_TIME)
}

fn count_call<Item, Event>(
    metrics: &ControlMetrics,
    kind: ObjectKind,
    read: &Read,
    answer: &Answer<Item, Event>,
    elapsed: Duration,
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
        Answer::Unverified => "unverified",
        Answer::Throttled => "throttled",
        Answer::Failed => "failed",
    };
    if matches!(read, Read::List { .. }) {
        metrics.list_seconds.observe(elapsed.as_secs_f64());
    }
    let labels = StoreCallLabels {
        kind: kind.name(),
        call,
        outcome,
    };
    metrics.store_calls.get_or_create(&labels).inc();
}
