//! The experiment file: what is emulated, checked before anything runs.

mod check;
mod timeline;

pub use check::{SettingsError, SettingsProblem, load};
pub use timeline::{Action, Timeline, TimelineEvent};

use serde::Deserialize;

/// A whole experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name in the report.
    pub name: String,
    /// Virtual time of each run, seconds; 1 to 86400.
    pub duration_seconds: u32,
    /// Time before anything is measured, seconds; below the duration.
    pub warm_up_seconds: u32,
    /// The machines and the network between them.
    pub cluster: Cluster,
    /// The services, their backends and their callers.
    pub services: Vec<ServiceSettings>,
    /// What happens while it runs; each timeline is a run of its own.
    pub timelines: Vec<Timeline>,
}

/// The machines and the network between them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// Names of the zones; balancers and backends are dealt to them in turn.
    pub zones: Vec<String>,
    /// Balancers at the start; 1 to 2000.
    pub balancers: u32,
    /// One-way delay inside a zone, microseconds.
    pub delay_in_zone_microseconds: u32,
    /// One-way delay between zones, microseconds.
    pub delay_between_zones_microseconds: u32,
    /// Numbers of zones in each region, in the order of the zones; one region if empty.
    #[serde(default)]
    pub regions: Vec<u32>,
    /// One-way delay between zones of different regions, microseconds.
    #[serde(default)]
    pub delay_between_regions_microseconds: u32,
    /// One-way delay between callers and the fabric, microseconds.
    pub delay_to_callers_microseconds: u32,
    /// Longest time by which a store change reaches one balancer later than another,
    /// for strategies without agreement, milliseconds.
    pub update_spread_milliseconds: u32,
    /// How far the fabric's machine list lags, milliseconds.
    pub fabric_lag_milliseconds: u32,
    /// Share of opening packets that the network delivers twice, per million.
    #[serde(default)]
    pub duplicated_openings_per_million: u32,
    /// Latest delivery of the second copy, milliseconds.
    #[serde(default)]
    pub duplicate_delay_milliseconds: u32,
    /// Limit of control bytes a node sends, a second.
    pub control_bytes_per_second: u32,
    /// Flows that a balancer holds at most; its memory is taken at the start.
    #[serde(default = "default_flow_capacity")]
    pub flow_capacity: u32,
}

/// What a flow of a service does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Workload {
    /// Stays open and sends a packet now and then.
    Feed,
    /// One request that occupies a slot of the backend.
    Request,
    /// Many packets one way, then an answer.
    Upload,
}

/// A service, its backends and its callers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name in the report and in timelines.
    pub name: String,
    /// How many services of this kind there are; 1 to 10000. If more than one, `-0`, `-1` and
    /// so on are added to the name, and each has the backends and callers that follow.
    #[serde(default = "one")]
    pub count: u32,
    /// Backends at the start; 1 to 10000.
    pub backends: u32,
    /// Size of the lookup table; a power of two, 64 to 65536.
    #[serde(default = "default_buckets")]
    pub buckets: u32,
    /// Slots of a backend: requests it works on at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Connections a backend holds at most.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Whether an owner places its flows by load instead of by table.
    #[serde(default)]
    pub least_loaded: bool,
    /// Idle time after which balancers forget a flow, seconds.
    #[serde(default = "default_idle_timeout")]
    pub idle_timeout_seconds: u32,
    /// What its callers do.
    pub callers: Vec<CallerSettings>,
}

/// A stream of flows.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// What each flow does.
    pub workload: Workload,
    /// New flows a second (Poisson).
    pub flows_per_second: f64,
    /// Mean duration of a feed or upload, or mean work of a request, milliseconds
    /// (exponential).
    pub mean_milliseconds: f64,
    /// Time between two packets of a feed or upload, milliseconds.
    #[serde(default = "default_interval")]
    pub packet_interval_milliseconds: u32,
    /// Flows of this kind that are open from the start.
    #[serde(default)]
    pub open_at_start: u32,
}

impl Experiment {
    /// Writes out services that stand for several.
    fn expand_services(&mut self) {
        let kinds = std::mem::take(&mut self.services);
        for kind in kinds {
            let copies = kind.count;
            self.services
                .extend((0..copies).map(|copy| ServiceSettings {
                    name: match copies {
                        1 => kind.name.clone(),
                        _ => format!("{}-{copy}", kind.name),
                    },
                    count: 1,
                    ..kind.clone()
                }));
        }
    }
}

fn one() -> u32 {
    1
}

fn default_flow_capacity() -> u32 {
    500_000
}

fn default_buckets() -> u32 {
    1024
}

fn default_slots() -> u32 {
    2
}

fn default_connections() -> u32 {
    2000
}

fn default_idle_timeout() -> u32 {
    30
}

fn default_interval() -> u32 {
    1000
}
