//! What happens while an experiment runs.

use serde::Deserialize;

/// One run of an experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timeline {
    /// Name in the report.
    pub name: String,
    /// Whether all that happens is planned: then no flow may break.
    pub planned: bool,
    /// What happens, in any order.
    #[serde(default)]
    pub events: Vec<TimelineEvent>,
}

/// Something that happens at a time, and perhaps again.
#[derive(Clone, Debug, Deserialize)]
pub struct TimelineEvent {
    /// First time, seconds after the start.
    pub at_seconds: f64,
    /// How often it happens; 1 to 10000.
    #[serde(default = "once")]
    pub times: u32,
    /// Time between two of them, seconds.
    #[serde(default)]
    pub every_seconds: f64,
    /// What happens.
    #[serde(flatten)]
    pub action: Action,
}

/// What can happen.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum Action {
    /// An active backend of the service, chosen by seed, drains.
    DrainBackend {
        /// The service.
        service: String,
    },
    /// A new backend joins the service.
    AddBackend {
        /// The service.
        service: String,
    },
    /// A backend, chosen by seed, dies with its flows.
    KillBackend {
        /// The service.
        service: String,
    },
    /// A backend is moved from one service to another by label.
    MoveBackend {
        /// The service it serves.
        from: String,
        /// The service it is to serve.
        to: String,
    },
    /// A new balancer joins, then one leaves as planned.
    ReplaceBalancer,
    /// A balancer joins.
    AddBalancer,
    /// Balancers, chosen by seed, die at once.
    KillBalancers {
        /// How many.
        count: u32,
    },
    /// A balancer is frozen and then goes on.
    PauseBalancer {
        /// For how long, seconds.
        seconds: f64,
    },
    /// A balancer's control messages are lost for a time.
    CutBalancer {
        /// For how long, seconds.
        seconds: f64,
    },
    /// The store answers nobody for a time.
    StoreDown {
        /// For how long, seconds.
        seconds: f64,
    },
    /// The store answers late for a time.
    StoreSlow {
        /// For how long, seconds.
        seconds: f64,
        /// How late, milliseconds.
        delay_milliseconds: u32,
    },
    /// The next write takes effect but its answer is lost.
    LoseStoreAnswer,
}

fn once() -> u32 {
    1
}
