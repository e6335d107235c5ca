//! Instances whose answers fail or are late, unlike those of their service's other instances.
//!
//! One node sees a request in ten seconds to an instance, so nodes put together what they see: a
//! [`TallyAccumulator`] sums the samples of one traffic thread, nodes send what speaks against an instance to a few
//! that collect it, and each [`OutlierDetector`] there compares instances. Like outlier ejection of L7
//! proxies (Envoy's documentation) it never sets aside more than a share of a service, and a service
//! most of whose instances fail has no outlier. Who is set aside is tried again by few flows, as Prequal
//! (Wydrowski et al., NSDI 2024) guards against servers that look idle because they fail.

mod detector;
mod tally;
mod verdict_cache;

pub use detector::{OutlierChange, OutlierDetector, OutlierSettings};
pub use tally::{InstanceTally, TallyAccumulator};
pub use verdict_cache::{VerdictCache, Verdicts};
