//! Backend instances and the cookies that name them.

use crate::cookie::revision::Revision;
use rkyv::{Archive, Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddrV4;
use std::num::NonZeroU32;

/// One backend process. Another one at the same address is another instance, so that it inherits no flow. A
/// restarted one may keep its id: [`InstanceRecord::started`] tells its runs apart.
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
    /// The cookie of an instance. Ids of up to 32 bits are their own cookies, so that two of
    /// them never share one; longer ids are folded and may collide.
    #[must_use]
    pub fn of(id: InstanceId) -> Self {
        const SUBSTITUTE_FOR_ZERO: NonZeroU32 = NonZeroU32::MAX;
        let [high, low] = [id.0 >> 32, id.0 & u64::from(u32::MAX)];
        let folded = u32::try_from(high ^ low).unwrap_or_default();
        Self(NonZeroU32::new(folded).unwrap_or(SUBSTITUTE_FOR_ZERO))
    }

    /// The cookie that `bits` of a packet stand for; none for zero.
    #[must_use]
    pub fn from_bits(bits: u32) -> Option<Self> {
        NonZeroU32::new(bits).map(Self)
    }

    /// The bits for a packet.
    #[must_use]
    pub const fn bits(self) -> u32 {
        self.0.get()
    }
}

/// Whether an instance takes new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub enum InstanceState {
    /// It does.
    Ready,
    /// It keeps its flows and takes no new one.
    Draining,
}

/// What the store tells of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Which instance.
    pub id: InstanceId,
    /// When the record last changed.
    pub revision: Revision,
    /// Name of the service that it belongs to for its whole life.
    pub service: String,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Name of its zone.
    pub zone: String,
    /// Whether it takes new flows.
    pub state: InstanceState,
    /// How much longer it works slowly after its start, milliseconds, when the record was read.
    pub cold_remaining_milliseconds: u32,
    /// When the record was created, as the store counts; all nodes read the same. A record that lapsed
    /// and came back was created again. None if the store doesn't tell.
    pub created: Option<Revision>,
    /// Requests that it works on at once; zero if that isn't told.
    pub slots: u32,
    /// When this run of the instance started, milliseconds of the Unix epoch by its own clock; none if it doesn't
    /// tell. A later run holds nothing of an earlier one.
    pub started: Option<u64>,
}

/// One change of an instance's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InstanceEvent {
    /// The record is new or has changed.
    Put(InstanceRecord),
    /// The record is gone. That is no proof that the instance has ended.
    Gone(InstanceId),
}

impl InstanceEvent {
    /// The instance that changed.
    #[must_use]
    pub const fn id(&self) -> InstanceId {
        match self {
            Self::Put(record) => record.id,
            Self::Gone(id) => *id,
        }
    }
}
