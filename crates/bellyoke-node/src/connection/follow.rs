//! Runs a follower against the store.

use super::store::StoreReader;
use crate::process::control::Control;
use bellyoke_api::event_code::EventCode;
use bellyoke_core::cookie::follower::{Follower, FollowerSettings, Next, Update};
use bellyoke_process::log::log_event;
use std::cell::RefCell;
use std::rc::Rc;

/// Follows one kind of object for the life of the process, and hands news to `apply`.
pub async fn follow<Reader: StoreReader>(
    control: Rc<RefCell<Control>>,
    kind: &'static str,
    mut reader: Reader,
    settings: FollowerSettings,
    mut apply: impl FnMut(&mut Control, Update<Reader::Item, Reader::Event>),
) {
    let clock = control.borrow().clock();
    let mut follower = Follower::new(settings);
    let mut reachable = true;
    loop {
        let read = match follower.next(clock.now()) {
            Next::WaitUntil(time) => {
                tokio::time::sleep_until(clock.instant(time).into()).await;
                continue;
            }
            Next::Call(read) => read,
        };
        let answer = reader.read(&read).await;
        let mut control = control.borrow_mut();
        let update = follower.answer(clock.now(), answer, control.random());
        let answers = follower.failures() == 0;
        if answers != reachable {
            reachable = answers;
            log_reachability(kind, reachable);
        }
        if let Some(update) = update {
            apply(&mut control, update);
        }
    }
}

fn log_reachability(kind: &str, reachable: bool) {
    let event = if reachable {
        EventCode::StoreReachable
    } else {
        EventCode::StoreUnreachable
    };
    log_event(event, format_args!("kind={kind}"));
}
