//! Runs a follower against the store.

use super::store::StoreReader;
use crate::process::control::{Control, ObjectKind};
use bellyoke_core::cookie::follower::{Follower, FollowerSettings, Next, Update};
use std::cell::RefCell;
use std::rc::Rc;

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
        let answer = reader.read(&read).await;
        let mut control = control.borrow_mut();
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
