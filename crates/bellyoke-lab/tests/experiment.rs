//! Experiments: reports are reproducible for a seed, and errors in a settings file name the
//! invalid keys.

use bellyoke_lab::experiment::settings::{self, Experiment};
use bellyoke_lab::experiment::strategy::StrategyName;
use bellyoke_lab::experiment::{ExperimentCommand, run_experiment};
use std::path::PathBuf;
use tempfile::TempDir;

/// Experiment with few flows that includes every kind of simulated fault.
const SMALL_EXPERIMENT: &str = r#"
name = "small"
duration_seconds = 50
warm_up_seconds = 10

[cluster]
zones = ["a", "b"]
balancers = 3
delay_in_zone_microseconds = 100
delay_between_zones_microseconds = 500
delay_to_callers_microseconds = 1000
update_spread_milliseconds = 2000
fabric_lag_milliseconds = 2000
duplicated_openings_per_million = 20000
duplicate_delay_milliseconds = 1500
control_bytes_per_second = 26000
flow_capacity = 10000

[[services]]
name = "feeds"
count = 2
backends = 3
buckets = 64

[[services.callers]]
workload = "feed"
flows_per_second = 5.0
mean_milliseconds = 20000.0
open_at_start = 200

[[timelines]]
name = "all"
planned = false
events = [
  { at_seconds = 12.0, action = "drain-backend", service = "feeds-0" },
  { at_seconds = 14.0, action = "replace-balancer" },
  { at_seconds = 25.0, action = "kill-balancers", count = 1 },
  { at_seconds = 26.0, action = "add-backend", service = "feeds-1" },
  { at_seconds = 30.0, action = "lose-store-answer" },
  { at_seconds = 31.0, action = "kill-backend", service = "feeds-1" },
]
"#;

fn load_experiment(text: &str) -> Result<Experiment, String> {
    let directory = TempDir::new().expect("temporary directory should be created");
    let path = directory.path().join("experiment.toml");
    std::fs::write(&path, text).expect("experiment file should be written");
    settings::load(&path).map_err(|error| {
        let directory_text = directory.path().display().to_string();
        error.to_string().replace(&directory_text, "DIRECTORY")
    })
}

fn command(seed: u64, output: PathBuf) -> ExperimentCommand {
    ExperimentCommand {
        file: PathBuf::new(),
        seed,
        strategies: StrategyName::ALL.to_vec(),
        output: Some(output),
        timeline: None,
        threads: 2,
        sizes: Vec::new(),
    }
}

fn report_bytes(seed: u64) -> Vec<u8> {
    let experiment = load_experiment(SMALL_EXPERIMENT).expect("experiment should be valid");
    let directory = TempDir::new().expect("temporary directory should be created");
    let output = directory.path().to_path_buf();
    run_experiment(&experiment, &command(seed, output)).expect("experiment should run");
    std::fs::read(directory.path().join("report.json")).expect("report should be written")
}

#[test]
fn reports_are_identical_for_the_same_seed_and_differ_between_seeds() {
    let first = report_bytes(7);
    assert_eq!(first, report_bytes(7));
    assert_ne!(first, report_bytes(8));
}

#[test]
fn time_to_force_of_a_baseline_includes_its_store_delay() {
    let experiment = load_experiment(SMALL_EXPERIMENT).expect("experiment should be valid");
    let directory = TempDir::new().expect("temporary directory should be created");
    let output = directory.path().to_path_buf();
    let mut command = command(7, output);
    command.strategies = vec![StrategyName::Maglev];
    let report = run_experiment(&experiment, &command).expect("experiment should run");
    // Baseline strategies read updates from the store with a delay of up to two seconds.
    let time_to_force_ms = report.runs[0].time_to_force_p99_ms;
    assert!(
        (100.0..=2_100.0).contains(&time_to_force_ms),
        "time to force is {time_to_force_ms} ms"
    );
}

#[test]
fn out_of_range_values_are_reported_with_key_and_allowed_range() {
    let text = SMALL_EXPERIMENT
        .replace("balancers = 3", "balancers = 0")
        .replace("buckets = 64", "buckets = 63")
        .replace(
            "control_bytes_per_second = 26000",
            "control_bytes_per_second = 100",
        )
        .replace("service = \"feeds-0\"", "service = \"feeds\"");
    insta::assert_snapshot!(load_experiment(&text).expect_err("values are out of range"), @r"
    DIRECTORY/experiment.toml: 5 problem(s)
      cluster.balancers = 0: allowed is 1 to 2000
      cluster.control_bytes_per_second = 100: allowed is 2048 to 100000000
      services[0].buckets = 63: allowed is a power of two, 64 to 65536
      services[1].buckets = 63: allowed is a power of two, 64 to 65536
      timelines[all].events[0].service = feeds: allowed is the name of a service of this file
    ");
}

#[test]
fn unknown_keys_are_reported() {
    let text = SMALL_EXPERIMENT.replace("flow_capacity", "flow_capacities");
    let error = load_experiment(&text).expect_err("key is unknown");
    assert!(error.contains("flow_capacities"), "{error}");
}

#[test]
fn a_service_with_a_count_is_expanded_into_numbered_services() {
    let experiment = load_experiment(SMALL_EXPERIMENT).expect("experiment should be valid");
    let services = experiment.services.iter();
    let names: Vec<&str> = services.map(|service| service.name.as_str()).collect();
    assert_eq!(names, ["feeds-0", "feeds-1"]);
}
