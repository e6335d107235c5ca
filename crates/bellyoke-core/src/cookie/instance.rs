//! Backend instances and the cookies that name them.

use crate::cookie::revision::Revision;
use rkyv::{Archive, Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddrV4;
use std::num::NonZeroU32;

/// Identifies one backend process. Another process at the same address is another instance, so it
/// inherits no flow. A restarted process may keep its id; [`InstanceRecord::started`] distinguishes
/// its runs.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize,
)]
#[rkyv(derive(Debug, PartialEq, Eq, PartialOrd, Ord, Hash))]
pub struct InstanceId(pub u64);

impl fmt::Display for InstanceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

/// The 32 bits in a packet that name the instance of its flow; zero names none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cookie(NonZeroU32);

impl Cookie {
    /// Returns the cookie of an instance. Ids of up to 32 bits are their own cookies and so never
    /// collide; longer ids are folded and may collide.
    #[must_use]
    pub fn of(id: InstanceId) -> Self {
        const SUBSTITUTE_FOR_ZERO: NonZeroU32 = NonZeroU32::MAX;
        let [high, low] = [id.0 >> 32, id.0 & u64::from(u32::MAX)];
        let folded = u32::try_from(high ^ low).unwrap_or_default();
        Self(NonZeroU32::new(folded).unwrap_or(SUBSTITUTE_FOR_ZERO))
    }

    /// Returns the cookie for the `bits` of a packet; `None` for zero.
    #[must_use]
    pub fn from_bits(bits: u32) -> Option<Self> {
        NonZeroU32::new(bits).map(Self)
    }

    /// Returns the bits to put into a packet.
    #[must_use]
    pub const fn bits(self) -> u32 {
        self.0.get()
    }
}

/// Whether an instance takes new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub enum InstanceState {
    /// Takes new flows.
    Ready,
    /// Keeps its open flows and takes no new ones.
    Draining,
}

/// Record of an instance in the store.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Id of the instance.
    pub id: InstanceId,
    /// Revision at which the record last changed.
    pub revision: Revision,
    /// Name of the service that the instance belongs to; it never changes.
    pub service: String,
    /// Address that packets for it are sent to.
    pub address: SocketAddrV4,
    /// Name of the zone that it is in.
    pub zone: String,
    /// Whether it takes new flows.
    pub state: InstanceState,
    /// Remaining time of its slow start when the record was read, milliseconds.
    pub cold_remaining_milliseconds: u32,
    /// Revision at which the record was created; the same on all nodes. A record that lapsed and
    /// was written again was created again. `None` if the store doesn't provide it.
    pub created: Option<Revision>,
    /// Requests that it processes concurrently; zero if unknown.
    pub slots: u32,
    /// When this run of the instance started, milliseconds of the Unix epoch by its own clock;
    /// `None` if unknown. A later run has no state of an earlier one.
    pub started: Option<u64>,
}

/// A change of an instance's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InstanceEvent {
    /// The record was created or has changed.
    Put(InstanceRecord),
    /// The record was deleted. That doesn't prove that the instance has ended.
    Gone(InstanceId),
}

impl InstanceEvent {
    /// Returns the id of the instance whose record changed.
    #[must_use]
    pub const fn id(&self) -> InstanceId {
        match self {
            Self::Put(record) => record.id,
            Self::Gone(id) => *id,
        }
    }
}
