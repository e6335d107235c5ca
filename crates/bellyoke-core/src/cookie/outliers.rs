//! Detects outliers: instances whose answers fail or are late, unlike those of the other instances
//! of their service.
//!
//! A single node sends only about one request in ten seconds to an instance, so nodes combine their
//! observations. A [`TallyAccumulator`] sums the samples of one traffic thread. Nodes send the
//! tallies of instances with bad requests to a few nodes that collect them, and an
//! [`OutlierDetector`] on each collector compares the instances.
//!
//! As in the outlier ejection of L7 proxies (see the documentation of Envoy), at most a share of a
//! service is ejected, and a service most of whose instances fail has no outliers. A few flows
//! still try ejected instances, as Prequal (Wydrowski et al., NSDI 2024) guards against servers
//! that look idle because they fail.

mod detector;
mod tally;
mod verdict_cache;

pub use detector::{OutlierChange, OutlierDetector, OutlierSettings};
pub use tally::{InstanceTally, TallyAccumulator};
pub use verdict_cache::{VerdictCache, Verdicts};
