//! Whether a node's state continues the history of a store that doesn't report its era.
//!
//! A store that is restored from an older copy assigns revisions again. Once it has passed the
//! revision that a node knows, a watch from there succeeds and silently skips what was written
//! below it. The store can only be restored while it is away, so a node that has lost contact
//! distrusts the next watch: it reads a list of the newest state and compares it with what it knows.
//! The node knows all changes up to its revision, so every object whose listed revision is not newer
//! must be known with exactly this revision and content. One that isn't shows that the store was
//! restored. Without one, the list and the known state agree about everything in the list.
//!
//! Contact is lost when a call gets no answer, and when no call was made for a while. Nodes that
//! don't call the store take over the state of those that do, and need no check of their own.

use super::freshness::ObjectKind;
use super::instance::InstanceRecord;
use super::replica::Replica;
use super::revision::Revision;
use super::route::Configuration;
use super::zones::DrainedZone;
use crate::time::Timestamp;
use std::time::Duration;

/// Time without any call after which contact counts as lost. Shorter than most restarts of a store;
/// the pauses of a node that watches it are shorter.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Number of lists that may fail in a row, each after an answered watch, before a node continues
/// without a check. A node with a link too thin for the list would otherwise never watch again.
const MAXIMUM_FAILED_CHECKS: u32 = 3;

/// Time after the first call of a node in which it may have read a store that was restored before
/// it started, while its peers still tell it the state from before. They notice a restoration
/// within seconds.
const START_PERIOD: Duration = Duration::from_secs(10);

/// An object in lists of the store.
pub trait ListedObject {
    /// The kind of the object.
    const KIND: ObjectKind;

    /// Returns whether this object, from a list of the newest state as of revision `at`, can't be
    /// part of the history that `replica` knows.
    fn contradicts(&self, replica: &Replica, at: Revision) -> bool;
}

impl ListedObject for InstanceRecord {
    const KIND: ObjectKind = ObjectKind::Instances;

    fn contradicts(&self, replica: &Replica, at: Revision) -> bool {
        replica.directory().contradicts(self, at)
    }
}

impl ListedObject for DrainedZone {
    const KIND: ObjectKind = ObjectKind::Zones;

    fn contradicts(&self, replica: &Replica, at: Revision) -> bool {
        replica.zones().contradicts(self, at)
    }
}

impl ListedObject for Configuration {
    const KIND: ObjectKind = ObjectKind::Configuration;

    /// The operators' version only increases, so a lower one shows that a later configuration was
    /// lost.
    fn contradicts(&self, replica: &Replica, at: Revision) -> bool {
        replica.configuration().is_some_and(|known| {
            let is_in_list = known.revision.era() == at.era() && known.revision <= at;
            is_in_list && known.version > self.version
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Contact {
    /// All calls were answered since the last check.
    Kept,
    /// Contact was lost since the last check.
    Lost { failed_checks: u32 },
    /// A list that checks the known state is being read.
    Checking { failed_checks: u32 },
}

/// Tracks the contact of one node with a store that doesn't report its era.
///
/// ```
/// use bellyoke_core::cookie::continuity::ContinuityTracker;
/// use bellyoke_core::cookie::freshness::ObjectKind::Instances;
/// use bellyoke_core::time::Timestamp;
///
/// let now = Timestamp::from_micros(1_000_000);
/// let mut continuity = ContinuityTracker::new();
/// assert!(!continuity.record_watch(now, Instances), "nothing was checked yet");
/// continuity.record_page(now, Instances, true, true);
/// assert!(continuity.record_watch(now, Instances));
/// continuity.record_failure(Instances, false);
/// assert!(!continuity.record_watch(now, Instances));
/// ```
#[derive(Debug)]
pub struct ContinuityTracker {
    contacts: [Contact; ObjectKind::COUNT],
    /// By [`ObjectKind`]: whether a call is in progress.
    is_calling: [bool; ObjectKind::COUNT],
    last_answer_at: Option<Timestamp>,
    /// When the node made its first call.
    first_call_at: Option<Timestamp>,
    /// Whether the instances that a peer knows contradict those that this node knows.
    peer_contradicts: bool,
}

impl Default for ContinuityTracker {
    fn default() -> Self {
        Self::new()
    }
}

impl ContinuityTracker {
    /// Creates a tracker of a node that has had no contact.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            contacts: [Contact::Lost { failed_checks: 0 }; ObjectKind::COUNT],
            is_calling: [false; ObjectKind::COUNT],
            last_answer_at: None,
            first_call_at: None,
            peer_contradicts: false,
        }
    }

    /// Records the start of a call for a kind.
    pub fn record_call(&mut self, now: Timestamp, kind: ObjectKind) {
        self.first_call_at.get_or_insert(now);
        self.is_calling[kind as usize] = false;
        let is_idle = self.is_calling == [false; ObjectKind::COUNT];
        let last = self.last_answer_at;
        if is_idle && last.is_none_or(|last| now.since(last) >= CONTACT_TIMEOUT) {
            self.lose_contact();
        }
        self.is_calling[kind as usize] = true;
    }

    /// Records that a call for a kind got no answer.
    pub fn record_failure(&mut self, kind: ObjectKind, was_list: bool) {
        self.is_calling[kind as usize] = false;
        self.lose_contact();
        if let Contact::Lost { failed_checks } = &mut self.contacts[kind as usize]
            && was_list
        {
            *failed_checks += 1;
        }
    }

    /// Records a page of a list that doesn't contradict the known state. A list that began before
    /// contact was lost checks nothing.
    pub fn record_page(&mut self, now: Timestamp, kind: ObjectKind, is_first: bool, is_last: bool) {
        self.record_answer(now, kind);
        let contact = &mut self.contacts[kind as usize];
        if let Contact::Lost { failed_checks } = *contact
            && is_first
        {
            *contact = Contact::Checking { failed_checks };
        }
        if matches!(contact, Contact::Checking { .. }) && is_last {
            *contact = Contact::Kept;
            self.peer_contradicts &= kind != ObjectKind::Instances;
        }
    }

    /// Records the answer to a watch. Returns whether it may be used; if not, the known state is to
    /// be checked by a list first.
    pub fn record_watch(&mut self, now: Timestamp, kind: ObjectKind) -> bool {
        self.record_answer(now, kind);
        let contact = &mut self.contacts[kind as usize];
        match *contact {
            Contact::Kept => true,
            Contact::Lost { failed_checks } | Contact::Checking { failed_checks }
                if failed_checks >= MAXIMUM_FAILED_CHECKS =>
            {
                *contact = Contact::Kept;
                true
            }
            Contact::Lost { .. } | Contact::Checking { .. } => false,
        }
    }

    /// Records that the instances that a peer knows contradict the known ones. One of the two
    /// states is not part of the store's history.
    pub fn record_contradicting_peer(&mut self) {
        self.lose_contact();
        self.peer_contradicts = true;
    }

    /// Returns whether the node made its first call within `START_PERIOD`.
    pub(crate) fn started_recently(&self, now: Timestamp) -> bool {
        self.first_call_at
            .is_some_and(|first_call_at| now.since(first_call_at) < START_PERIOD)
    }

    /// Returns whether the node has to check its state although it gets that of its peers.
    #[must_use]
    pub const fn must_check(&self) -> bool {
        self.peer_contradicts
    }

    fn record_answer(&mut self, now: Timestamp, kind: ObjectKind) {
        self.is_calling[kind as usize] = false;
        self.last_answer_at = Some(now);
    }

    fn lose_contact(&mut self) {
        for contact in &mut self.contacts {
            *contact = match *contact {
                Contact::Kept => Contact::Lost { failed_checks: 0 },
                Contact::Lost { failed_checks } | Contact::Checking { failed_checks } => {
                    Contact::Lost { failed_checks }
                }
            };
        }
    }
}
