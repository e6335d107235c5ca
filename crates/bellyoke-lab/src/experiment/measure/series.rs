//! Samples over time, and the imbalance that they show.

/// A second of a service.
#[derive(Clone, Debug)]
pub struct ServiceSample {
    /// Virtual time, seconds.
    pub second: u64,
    /// Open flows of each active backend.
    pub flows: Vec<usize>,
    /// Requests in slots and queue of each active backend.
    pub backlogs: Vec<usize>,
}

/// Samples of a service.
#[derive(Clone, Debug)]
pub struct ServiceSeries {
    /// Its name.
    pub name: String,
    /// A sample each second.
    pub samples: Vec<ServiceSample>,
}

/// A second of all balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeSample {
    /// Virtual time, seconds.
    pub second: u64,
    /// Flows broken so far.
    pub broken: u64,
    /// Control bytes sent so far.
    pub control_bytes: u64,
    /// Balancers that run.
    pub alive: usize,
}

impl ServiceSeries {
    /// No sample yet.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            samples: Vec::new(),
        }
    }

    /// Adds a sample.
    pub fn record(&mut self, second: u64, flows: &[usize], backlogs: &[usize]) {
        self.samples.push(ServiceSample {
            second,
            flows: flows.to_vec(),
            backlogs: backlogs.to_vec(),
        });
    }

    /// Mean over time of (most flows on a backend / mean flows a backend); 1 is even.
    #[must_use]
    pub fn flow_max_over_mean(&self) -> f64 {
        let ratios: Vec<f64> = self
            .samples
            .iter()
            .filter_map(|sample| max_over_mean(&sample.flows))
            .collect();
        mean(&ratios)
    }

    /// 99th percentile of the backlogs over all backends and seconds, over their mean.
    #[must_use]
    pub fn slot_p99_over_mean(&self) -> f64 {
        let mut all: Vec<usize> = self
            .samples
            .iter()
            .flat_map(|sample| sample.backlogs.iter().copied())
            .collect();
        all.sort_unstable();
        let total: usize = all.iter().sum();
        if total == 0 {
            return 0.0;
        }
        let average = total as f64 / all.len() as f64;
        let rank = (all.len() * 99).div_ceil(100) - 1;
        all[rank] as f64 / average
    }
}

fn max_over_mean(values: &[usize]) -> Option<f64> {
    let total: usize = values.iter().sum();
    if total == 0 {
        return None;
    }
    let average = total as f64 / values.len() as f64;
    values.iter().max().map(|most| *most as f64 / average)
}

fn mean(values: &[f64]) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.iter().sum::<f64>() / values.len() as f64
}
