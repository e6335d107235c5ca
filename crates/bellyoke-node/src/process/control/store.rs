//! Calls of the control thread to the store and the evaluation of their answers.

use super::Control;
use bellyoke_api::event_code::EventCode;
use bellyoke_core::cookie::continuity::ListedObject;
use bellyoke_core::cookie::era::{AnswerValidity, CallContext};
use bellyoke_core::cookie::follower::{Read, Reply, WatchPlan};
use bellyoke_core::cookie::freshness::ObjectKind;
use bellyoke_core::cookie::replica::Source;
use bellyoke_core::cookie::revision::{Revision, StoreEra};
use bellyoke_process::log::log_event;

impl Control {
    /// Returns how this node continues to read objects of a kind.
    #[must_use]
    pub fn watch_plan(&self, kind: ObjectKind) -> WatchPlan {
        self.coordinator.watch_plan(self.clock.now(), kind)
    }

    /// Returns whether this node is a bootstrap reader, one of the few nodes that read the whole state
    /// from the store while no node has it.
    #[must_use]
    pub fn is_bootstrap_reader(&self) -> bool {
        self.coordinator.is_bootstrap_reader()
    }

    /// Returns the revision up to which all objects of a kind are known.
    #[must_use]
    pub fn known_up_to(&self, kind: ObjectKind) -> Revision {
        self.coordinator.known_up_to(kind)
    }

    /// Returns whether the node may call the store for a kind now.
    #[must_use]
    pub fn may_call_store(&self, kind: ObjectKind) -> bool {
        self.coordinator.may_call_store(self.clock.now(), kind)
    }

    /// Records the start of a call to the store for a kind.
    pub fn record_store_call(&mut self, kind: ObjectKind, read: &Read) {
        let now = self.clock.now();
        self.log_stale_read(now, kind);
        self.coordinator.record_store_call(now, kind, read);
    }

    /// Records whether the store answered a call for a kind.
    pub fn record_store_availability(&mut self, kind: ObjectKind, answered: bool) {
        self.coordinator
            .record_store_availability(self.clock.now(), kind, answered);
    }

    /// Returns the latest known era of the store.
    #[must_use]
    pub const fn era(&self) -> StoreEra {
        self.coordinator.era()
    }

    /// Returns the context of a call to the store that starts now. The context is required to
    /// classify the reply.
    #[must_use]
    pub fn call_context(&self) -> CallContext {
        self.coordinator.call_context()
    }

    /// Classifies whether a reply of the store may be used.
    pub fn classify_reply<Item: ListedObject, Event>(
        &mut self,
        kind: ObjectKind,
        context: CallContext,
        read: &Read,
        reply: &Reply<Item, Event>,
    ) -> AnswerValidity {
        let now = self.clock.now();
        let validity = self.coordinator.classify_reply(now, context, read, reply);
        self.record_era(Source::Store);
        if validity == AnswerValidity::Outdated {
            self.log_outdated_reply(kind, context, reply.era);
        }
        validity
    }

    /// Logs that the store has become reachable or unreachable for a kind.
    pub fn log_store_availability(&self, kind: ObjectKind, usable: bool) {
        let event = if usable {
            EventCode::StoreReachable
        } else {
            EventCode::StoreUnreachable
        };
        log_event(event, format_args!("kind={}", kind.name()));
    }
}
