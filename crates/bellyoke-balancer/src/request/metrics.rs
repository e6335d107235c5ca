//! `/metrics`, in the text format of OpenMetrics.

use super::snapshot::{MetricKind, MetricSample};
use prometheus_client::collector::Collector;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;
use std::fmt;

/// Prefix of all metrics' names.
const PREFIX: &str = "bellyoke";

/// Metrics that were sampled before.
#[derive(Debug)]
struct Samples(Vec<MetricSample>);

impl Collector for Samples {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        for sample in &self.0 {
            let name = sample.name;
            let help = sample.help;
            match sample.kind {
                MetricKind::Counter => {
                    let metric = ConstCounter::new(sample.value);
                    let kind = metric.metric_type();
                    metric.encode(encoder.encode_descriptor(name, help, None, kind)?)?;
                }
                MetricKind::Gauge => {
                    let value = i64::try_from(sample.value).unwrap_or(i64::MAX);
                    let metric = ConstGauge::new(value);
                    let kind = metric.metric_type();
                    metric.encode(encoder.encode_descriptor(name, help, None, kind)?)?;
                }
            }
        }
        Ok(())
    }
}

/// The text form of `samples`.
///
/// # Errors
///
/// If the library cannot encode one.
pub fn encode_metrics(samples: Vec<MetricSample>) -> Result<String, fmt::Error> {
    let mut registry = Registry::with_prefix(PREFIX);
    registry.register_collector(Box::new(Samples(samples)));
    let mut text = String::new();
    encode(&mut text, &registry)?;
    Ok(text)
}
