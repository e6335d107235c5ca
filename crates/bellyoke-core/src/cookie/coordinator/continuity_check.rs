//! Checks by the coordinator whether answers of a store that doesn't report its era continue the
//! known state.

use super::Coordinator;
use crate::cookie::continuity::ListedObject;
use crate::cookie::era::{AnswerValidity, CallContext};
use crate::cookie::follower::{Answer, Freshness, Read};
use crate::cookie::revision::Revision;
use crate::time::Timestamp;

impl Coordinator {
    /// Checks an answer that is valid otherwise.
    pub(super) fn check_continuity<Item: ListedObject, Event>(
        &mut self,
        now: Timestamp,
        context: CallContext,
        read: &Read,
        answer: &Answer<Item, Event>,
    ) -> AnswerValidity {
        match (read, answer) {
            (Read::List { freshness, .. }, Answer::Page { items, at, .. }) => {
                if *freshness == Freshness::Newest && self.contradicts(items, *at) {
                    self.eras.record_era(now, context.era.next());
                    return AnswerValidity::Restored;
                }
                self.record_page(now, read, answer);
            }
            (Read::Watch { .. }, Answer::Changes { .. }) => {
                let is_verified = self.continuity.record_watch(now, Item::KIND);
                return if is_verified {
                    AnswerValidity::Current
                } else {
                    AnswerValidity::Unverified
                };
            }
            (_, Answer::Failed) => {
                let was_list = matches!(read, Read::List { .. });
                self.continuity.record_failure(Item::KIND, was_list);
            }
            _ => {}
        }
        AnswerValidity::Current
    }

    fn contradicts<Item: ListedObject>(&self, items: &[Item], at: Revision) -> bool {
        let mut items = items.iter();
        items.any(|item| item.contradicts(&self.replica, at))
    }

    /// Records a page that contradicts nothing. It is evidence only if it shows the newest state, or
    /// if this node knows nothing else.
    fn record_page<Item: ListedObject, Event>(
        &mut self,
        now: Timestamp,
        read: &Read,
        page: &Answer<Item, Event>,
    ) {
        let (Read::List { after, freshness }, Answer::Page { next_after, .. }) = (read, page)
        else {
            return;
        };
        let knows_nothing = self.known_up_to(Item::KIND) == Revision::default();
        if *freshness == Freshness::Newest || knows_nothing {
            let (is_first, is_last) = (after.is_none(), next_after.is_none());
            self.continuity
                .record_page(now, Item::KIND, is_first, is_last);
        }
    }
}
