//! Generations: versions of the cluster configuration, and how the next one is compiled.

mod codec;
mod compile;
mod delta;
mod encoding;
mod forwarding;
mod maglev;
mod objects;
mod selector;
mod table;
mod types;
mod validate;

pub use codec::DecodeError;
pub use compile::{Compilation, CompileError, DesiredState, Problem, UnreadableObjects, compile};

pub use delta::{DeltaError, GenerationDelta};
pub use encoding::GenerationDigest;
pub use forwarding::{
    BackendForwarding, BucketRoute, Forwarding, ServiceEndpoint, ServiceForwarding,
};
pub use maglev::maglev_table;
pub use objects::{
    BackendObject, Labels, MemberObject, ObjectUid, Requirement, Selector, SelectorOperator,
    ServiceObject, StoreRevision, WeightedSelector,
};
pub use selector::{SelectorError, validate_labels};
pub use table::{BucketQuota, quotas, rebalance};
pub use types::{
    Backend, BackendState, Bucket, ClusterParameters, Generation, Member, Placement, RefusalStyle,
    Service, ServiceBackend, Zone,
};
pub use validate::{BACKEND_WEIGHTS, IDLE_TIMEOUTS, ObjectError, SELECTOR_WEIGHTS, TABLE_SIZES};
