//! Names of the things that nodes agree on.

use rkyv::{Archive, Deserialize, Serialize};
use std::fmt;

macro_rules! identifier {
    ($(#[$attribute:meta])* $name:ident($inner:ty)) => {
        $(#[$attribute])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            Archive, Serialize, Deserialize, serde::Serialize, serde::Deserialize,
        )]
        #[rkyv(derive(Debug, PartialEq, Eq, PartialOrd, Ord, Hash))]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

identifier!(
    /// One run of one balancer process, drawn at random at its start. A restarted
    /// process is another node, so nothing that it forgot is held against it.
    NodeId(u64)
);
identifier!(
    /// A service, numbered when it first enters a generation and never numbered again.
    ServiceId(u32)
);
identifier!(
    /// A backend, numbered when its object UID first enters a generation. An address
    /// that is reused belongs to another UID and so to another number: it cannot
    /// inherit flows.
    BackendId(u32)
);
identifier!(
    /// Position of a generation in the one sequence that all nodes agree on.
    GenerationNumber(u64)
);
identifier!(
    /// Index of a bucket in the lookup table of its service.
    BucketIndex(u32)
);
identifier!(
    /// A group of buckets that share an owner and its replicas.
    GroupIndex(u16)
);
