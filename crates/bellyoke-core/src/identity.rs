//! Identifiers of objects on which nodes agree.

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
    /// One run of a balancer process, chosen at random at its start. A restarted process is
    /// another node, so the state that it lost does not violate any promise of the previous one.
    NodeId(u64)
);
identifier!(
    /// A service, numbered when it is first added to a generation. Numbers are never changed.
    ServiceId(u32)
);
identifier!(
    /// A backend, numbered when its object UID is first added to a generation. A reused address
    /// has another UID and thus another number, so the new backend cannot inherit flows.
    BackendId(u32)
);
identifier!(
    /// Position of a generation in the sequence on which all nodes agree.
    GenerationNumber(u64)
);
identifier!(
    /// Index of a bucket in the lookup table of its service.
    BucketIndex(u32)
);
identifier!(
    /// Index of a group of buckets that share an owner and its replicas.
    GroupIndex(u16)
);
