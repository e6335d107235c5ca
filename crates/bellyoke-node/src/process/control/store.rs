//! What the control thread asks of the store, and what the answers count for.

use super::Control;
use bellyoke_api::event_code::EventCode;
use bellyoke_core::cookie::era::{CallContext, Standing};
use bellyoke_core::cookie::follower::{Freshness, Read, Reply, WatchPlan};
use bellyoke_core::cookie::freshness::ObjectKind;
use bellyoke_core::cookie::replica::Source;
use bellyoke_core::cookie::revision::{Revision, StoreEra};
use bellyoke_process::log::log_event;

impl Control {
    /// How this node goes on reading objects of a kind.
    #[must_use]
    pub fn watch_plan(&self, kind: ObjectKind) -> WatchPlan {
        self.coordinator.watch_plan(self.clock.now(), kind)
    }

    /// Whether this node is one of the few that ask the store for all that know nothing.
    #[must_use]
    pub fn is_bootstrap_reader(&self) -> bool {
        self.coordinator.is_bootstrap_reader()
    }

    /// The revision up to which everything of a kind is known.
    #[must_use]
    pub fn known_up_to(&self, kind: ObjectKind) -> Revision {
        self.coordinator.known_up_to(kind)
    }

    /// Whether the node may call the store for a kind now.
    #[must_use]
    pub fn may_call_store(&self, kind: ObjectKind) -> bool {
        self.coordinator.may_call_store(self.clock.now(), kind)
    }

    /// A call to the store for a kind begins.
    pub fn record_store_call(&mut self, kind: ObjectKind, freshness: Freshness) {
        let now = self.clock.now();
        self.coordinator.record_store_call(now, kind, freshness);
    }

    /// The store has answered a call for a kind, or not.
    pub fn record_store_availability(&mut self, kind: ObjectKind, answered: bool) {
        self.coordinator
            .record_store_availability(self.clock.now(), kind, answered);
    }

    /// The latest era of the store that is known.
    #[must_use]
    pub const fn era(&self) -> StoreEra {
        self.coordinator.era()
    }

    /// What to hand in with the reply to a call to the store that begins now.
    #[must_use]
    pub fn call_context(&self) -> CallContext {
        self.coordinator.call_context()
    }

    /// What a reply of the store counts for.
    pub fn classify_reply<Item, Event>(
        &mut self,
        kind: ObjectKind,
        context: CallContext,
        read: &Read,
        reply: &Reply<Item, Event>,
    ) -> Standing {
        let now = self.clock.now();
        let validity = self.coordinator.classify_reply(now, context, read, reply);
        self.record_era(Source::Store);
        if validity == Standing::Outdated {
            self.log_outdated_reply(kind, context, reply.era);
        }
        validity
    }

    /// The store answers calls for a kind again, or has ceased to.
    pub fn log_store_availability(&self, kind: ObjectKind, usable: bool) {
        let event = if usable {
            EventCode::StoreReachable
        } else {
            EventCode::StoreUnreachable
        };
        log_event(event, format_args!("kind={}", kind.name()));
    }
}
