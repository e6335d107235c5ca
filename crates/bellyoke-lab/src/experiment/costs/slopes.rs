//! Costs a node at several sizes of the cluster, as a table.

use super::{ClusterCosts, MessageKind};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::time::Duration;

const MICROSECONDS: f64 = 1e6;
const MEBIBYTE: f64 = 1_048_576.0;

/// Costs at one size.
#[derive(Clone, Debug)]
pub struct SizeCosts {
    /// Balancers at the start.
    pub balancers: u32,
    /// Virtual time over which was measured, seconds.
    pub seconds: f64,
    /// What they cost in that time.
    pub costs: ClusterCosts,
    /// Memory of the process at the end, with the world around the core, bytes.
    pub resident_bytes: u64,
    /// 99th percentile of the time to force, milliseconds.
    pub time_to_force_p99_ms: f64,
    /// Samples of the time to force: nodes times changes that came into force.
    pub forced: u64,
    /// Real time that the run took, seconds.
    pub wall_seconds: f64,
}

impl SizeCosts {
    fn per_node_second(&self, total: f64) -> f64 {
        total / self.costs.balancers.max(1) as f64 / self.seconds
    }

    fn processor(&self, time: Duration) -> f64 {
        self.per_node_second(time.as_secs_f64() * MICROSECONDS)
    }

    fn control_bytes(&self) -> f64 {
        let messages = self.costs.total.messages.iter();
        let control = messages.filter(|(kind, _)| kind.is_control());
        self.per_node_second(control.map(|(_, cost)| cost.bytes as f64).sum())
    }
}

/// The costs as lines of text: one column for each size.
#[must_use]
pub fn render_slopes(sizes: &[SizeCosts]) -> String {
    let mut table = Table::new(sizes);
    table.row("balancers", |size| f64::from(size.balancers));
    table.row("balancers at the end", |size| size.costs.balancers as f64);
    table.row("control us/s node", |size| {
        size.processor(size.costs.total.control)
    });
    table.row("control us/s most", |size| {
        size.costs.most_control.as_secs_f64() * MICROSECONDS / size.seconds
    });
    table.row("codec us/s node", |size| {
        size.processor(size.costs.total.codec)
    });
    table.row("publisher us/s most", |size| {
        size.costs.most_publisher.as_secs_f64() * MICROSECONDS / size.seconds
    });
    table.row("housekeeping us/s node", |size| {
        size.processor(size.costs.total.housekeeping)
    });
    table.row("control B/s node", SizeCosts::control_bytes);
    for kind in kinds(sizes) {
        table.row(&format!("{kind} msg/s node"), |size| {
            let cost = size.costs.total.messages.get(&kind);
            size.per_node_second(cost.map_or(0.0, |cost| cost.messages as f64))
        });
        table.row(&format!("{kind} B/s node"), |size| {
            let cost = size.costs.total.messages.get(&kind);
            size.per_node_second(cost.map_or(0.0, |cost| cost.bytes as f64))
        });
    }
    table.row("flow records a node", |size| {
        size.costs.total.flow_records as f64 / size.costs.balancers.max(1) as f64
    });
    table.row("newest generation", |size| {
        size.costs.total.generation as f64
    });
    table.row("bytes of its encoding", |size| {
        size.costs.total.generation_bytes as f64
    });
    table.row("process MiB", |size| size.resident_bytes as f64 / MEBIBYTE);
    table.row("process MiB a node", |size| {
        size.resident_bytes as f64 / MEBIBYTE / size.costs.balancers.max(1) as f64
    });
    table.row("time to force p99 ms", |size| size.time_to_force_p99_ms);
    table.row("times to force", |size| size.forced as f64);
    table.row("run s", |size| size.wall_seconds);
    table.text
}

fn kinds(sizes: &[SizeCosts]) -> BTreeSet<MessageKind> {
    let messages = sizes.iter().flat_map(|size| &size.costs.total.messages);
    messages.map(|(kind, _)| *kind).collect()
}

struct Table<'a> {
    sizes: &'a [SizeCosts],
    text: String,
}

impl<'a> Table<'a> {
    fn new(sizes: &'a [SizeCosts]) -> Self {
        Self {
            sizes,
            text: String::new(),
        }
    }

    fn row(&mut self, name: &str, value: impl Fn(&SizeCosts) -> f64) {
        let _ = write!(self.text, "{name:<28}");
        for size in self.sizes {
            let _ = write!(self.text, "{:>12.2}", value(size));
        }
        self.text.push('\n');
    }
}
