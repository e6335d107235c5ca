//! Reading an experiment file: all problems are named in one go.

use super::{Experiment, ServiceSettings, Timeline};
use std::path::Path;
use thiserror::Error;

/// Why an experiment can't run.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// The file isn't TOML, or has a key that is unknown, missing or of another type.
    #[error("{path}: {source}")]
    Syntax {
        /// The file.
        path: String,
        /// Where and why.
        source: Box<toml::de::Error>,
    },
    /// Values are out of range.
    #[error("{path}: {} problem(s)\n{}", problems.len(), list(problems))]
    Values {
        /// The file.
        path: String,
        /// Each of them.
        problems: Vec<SettingsProblem>,
    },
}

/// One value out of range.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("  {key} = {value}: allowed is {allowed}")]
pub struct SettingsProblem {
    /// The key, with its path.
    pub key: String,
    /// Its value.
    pub value: String,
    /// What it may be.
    pub allowed: &'static str,
}

/// Reads and checks the experiment in the file at `path`.
///
/// # Errors
///
/// If it can't be read, parsed or run.
pub fn load(path: &Path) -> Result<Experiment, SettingsError> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: shown.clone(),
        source,
    })?;
    let mut experiment: Experiment =
        toml::from_str(&text).map_err(|source| SettingsError::Syntax {
            path: shown.clone(),
            source: Box::new(source),
        })?;
    let mut problems = count_problems(&experiment);
    if problems.is_empty() {
        experiment.expand_services();
        problems = problems_of(&experiment);
    }
    if problems.is_empty() {
        Ok(experiment)
    } else {
        Err(SettingsError::Values {
            path: shown,
            problems,
        })
    }
}

fn list(problems: &[SettingsProblem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

struct Checker {
    problems: Vec<SettingsProblem>,
}

impl Checker {
    fn require(&mut self, holds: bool, key: String, value: impl ToString, allowed: &'static str) {
        if !holds {
            self.problems.push(SettingsProblem {
                key,
                value: value.to_string(),
                allowed,
            });
        }
    }
}

/// Numbers that have to be in range before anything else can be looked at.
fn count_problems(experiment: &Experiment) -> Vec<SettingsProblem> {
    let mut checker = Checker {
        problems: Vec::new(),
    };
    for (index, service) in experiment.services.iter().enumerate() {
        checker.require(
            (1..=10_000).contains(&service.count),
            format!("services[{index}].count"),
            service.count,
            "1 to 10000",
        );
    }
    checker.problems
}

fn problems_of(experiment: &Experiment) -> Vec<SettingsProblem> {
    let mut checker = Checker {
        problems: Vec::new(),
    };
    let duration = experiment.duration_seconds;
    checker.require(
        (1..=86_400).contains(&duration),
        "duration_seconds".into(),
        duration,
        "1 to 86400",
    );
    checker.require(
        experiment.warm_up_seconds < duration,
        "warm_up_seconds".into(),
        experiment.warm_up_seconds,
        "below duration_seconds",
    );
    let zones = &experiment.cluster.zones;
    checker.require(
        (1..=64).contains(&zones.len()),
        "cluster.zones".into(),
        zones.len(),
        "1 to 64 names",
    );
    let balancers = experiment.cluster.balancers;
    checker.require(
        (1..=2000).contains(&balancers),
        "cluster.balancers".into(),
        balancers,
        "1 to 2000",
    );
    let regions = &experiment.cluster.regions;
    let zones_of_regions: u32 = regions.iter().sum();
    checker.require(
        regions.is_empty() || zones_of_regions as usize == zones.len(),
        "cluster.regions".into(),
        zones_of_regions,
        "as many as there are zones, in total",
    );
    let budget = experiment.cluster.control_bytes_per_second;
    checker.require(
        (2048..=100_000_000).contains(&budget),
        "cluster.control_bytes_per_second".into(),
        budget,
        "2048 to 100000000",
    );
    let flows = experiment.cluster.flow_capacity;
    checker.require(
        (1..=20_000_000).contains(&flows),
        "cluster.flow_capacity".into(),
        flows,
        "1 to 20000000",
    );
    for (index, service) in experiment.services.iter().enumerate() {
        check_service(&mut checker, index, service);
    }
    for timeline in &experiment.timelines {
        check_timeline(&mut checker, timeline, experiment);
    }
    checker.problems
}

fn check_service(checker: &mut Checker, index: usize, service: &ServiceSettings) {
    let key = |name: &str| format!("services[{index}].{name}");
    checker.require(
        (1..=10_000).contains(&service.backends),
        key("backends"),
        service.backends,
        "1 to 10000",
    );
    checker.require(
        service.buckets.is_power_of_two() && (64..=65_536).contains(&service.buckets),
        key("buckets"),
        service.buckets,
        "a power of two, 64 to 65536",
    );
    checker.require(
        (1..=1000).contains(&service.slots),
        key("slots"),
        service.slots,
        "1 to 1000",
    );
    for (caller_index, caller) in service.callers.iter().enumerate() {
        let key = |name: &str| format!("services[{index}].callers[{caller_index}].{name}");
        checker.require(
            caller.flows_per_second >= 0.0 && caller.flows_per_second <= 100_000.0,
            key("flows_per_second"),
            caller.flows_per_second,
            "0 to 100000",
        );
        checker.require(
            caller.mean_milliseconds > 0.0,
            key("mean_milliseconds"),
            caller.mean_milliseconds,
            "above 0",
        );
        checker.require(
            caller.packet_interval_milliseconds > 0,
            key("packet_interval_milliseconds"),
            caller.packet_interval_milliseconds,
            "above 0",
        );
    }
}

fn check_timeline(checker: &mut Checker, timeline: &Timeline, experiment: &Experiment) {
    for (index, event) in timeline.events.iter().enumerate() {
        let key = |name: &str| format!("timelines[{}].events[{index}].{name}", timeline.name);
        checker.require(
            event.at_seconds >= 0.0 && event.at_seconds <= f64::from(experiment.duration_seconds),
            key("at_seconds"),
            event.at_seconds,
            "0 to duration_seconds",
        );
        checker.require(
            (1..=10_000).contains(&event.times),
            key("times"),
            event.times,
            "1 to 10000",
        );
        for service in services_named(&event.action) {
            checker.require(
                experiment
                    .services
                    .iter()
                    .any(|known| known.name == *service),
                key("service"),
                service,
                "the name of a service of this file",
            );
        }
    }
}

fn services_named(action: &super::Action) -> Vec<&String> {
    use super::Action;
    match action {
        Action::DrainBackend { service }
        | Action::AddBackend { service }
        | Action::KillBackend { service } => vec![service],
        Action::MoveBackend { from, to } => vec![from, to],
        _ => Vec::new(),
    }
}
