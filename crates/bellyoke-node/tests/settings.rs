//! Tests of the settings of the daemon.

use bellyoke_api::result_code::ResultCode;
use bellyoke_node::process::command_line::{parse_command_line, reference_table};
use bellyoke_node::process::settings::{Settings, load_settings, parse_settings};
use bellyoke_process::settings::{CommandLine, Problems};
use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

const VALID: &str = r#"
[node]
name = "edge-1"
zone = "cork"
data_address = "10.1.0.10:8172"
peer_address = "10.1.0.10:7720"
ready_address = "10.1.0.10:8167"

[cluster]
seeds = ["10.1.0.10:8166", "10.2.0.40:8166"]

[store]
address = "10.200.1.7:8169"
"#;

fn problems(text: &str) -> Vec<(ResultCode, String)> {
    let Problems(problems) = parse_settings(text, &[]).unwrap_err();
    problems
        .into_iter()
        .map(|problem| (problem.code, problem.key))
        .collect()
}

fn documented_table() -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/CONFIGURATION.md");
    let page = std::fs::read_to_string(root).unwrap();
    let after = page.split("<!-- node keys -->\n").nth(1).unwrap();
    let table = after.split("<!-- end of node keys -->").next().unwrap();
    table.to_owned()
}

#[test]
fn the_documentation_page_lists_all_keys() {
    assert_eq!(documented_table(), reference_table());
}

#[test]
fn absent_keys_have_their_defaults() {
    let settings: Settings = parse_settings(VALID, &[]).unwrap();
    assert_eq!(settings.timing.leave_grace(), Duration::from_secs(3));
    assert_eq!(settings.timing.watch_wait(), Duration::from_millis(750));
    assert_eq!(
        settings.timing.freshness_bound(),
        Duration::from_millis(1_500)
    );
    assert_eq!(settings.node.metrics_address, None);
}

#[test]
fn tombstones_outlive_the_longest_flow() {
    let settings = parse_settings(VALID, &[]).unwrap();
    assert!(settings.timing.tombstone_lifetime() > Duration::from_secs(120));
}

#[test]
fn the_freshness_bound_is_half_of_the_shortest_time_limit() {
    let timing = "[timing]\nin_force_within_ms = 5000.0\ndrained_within_ms = 4000\n[store]";
    let settings = parse_settings(&VALID.replace("[store]", timing), &[]).unwrap();
    assert_eq!(settings.timing.freshness_bound(), Duration::from_secs(2));
}

#[test]
fn a_fraction_is_rejected_for_an_integer_key() {
    let text = VALID.replace("[store]", "[timing]\ndrained_within_ms = 4000.5\n[store]");
    let expected = (ResultCode::WrongType, "timing.drained_within_ms".to_owned());
    assert_eq!(problems(&text), [expected]);
}

#[test]
fn seeds_are_contacted_at_the_peer_port() {
    let settings = parse_settings(VALID, &[]).unwrap();
    let seeds: Vec<String> = settings
        .peer_seeds()
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(seeds, ["10.1.0.10:7720", "10.2.0.40:7720"]);
}

#[test]
fn all_problems_are_reported_together() {
    let text = VALID
        .replace("name = \"edge-1\"\n", "")
        .replace("\"10.1.0.10:7720\"", "\"peer.example:7720\"")
        .replace(
            "[store]",
            "[timing]\nwatch_wait_ms = 5\nwatch_wait = 2\n[store]",
        )
        .replace("zone = \"cork\"", "zone = 7");
    let mut found = problems(&text);
    found.sort();
    let mut expected = vec![
        (ResultCode::MissingKey, "node.name".to_owned()),
        (ResultCode::WrongType, "node.zone".to_owned()),
        (ResultCode::NotAnIpAddress, "node.peer_address".to_owned()),
        (ResultCode::OutOfRange, "timing.watch_wait_ms".to_owned()),
        (ResultCode::UnknownKey, "timing.watch_wait".to_owned()),
    ];
    expected.sort();
    assert_eq!(found, expected);
}

#[test]
fn a_problem_contains_the_allowed_values() {
    let text = VALID.replace("[store]", "[timing]\nwatch_wait_ms = 5\n[store]");
    let shown = parse_settings(&text, &[]).unwrap_err().to_string();
    assert!(
        shown.contains("BY1006 timing.watch_wait_ms: found 5, allowed: 200 to 30000"),
        "{shown}"
    );
}

#[test]
fn a_missing_file_is_reported_with_its_result_code() {
    let Problems(problems) = load_settings(Some("no/such/file".as_ref()), &[]).unwrap_err();
    assert_eq!(problems[0].code, ResultCode::SettingsUnreadable);
}

#[test]
fn invalid_toml_is_reported_with_its_result_code() {
    assert_eq!(problems("[node")[0].0, ResultCode::SettingsSyntax);
}

#[test]
fn flags_override_the_file() {
    let arguments = ["--config", "x", "--timing-leave-grace-ms", "1100"].map(OsString::from);
    let CommandLine::Run { overrides, .. } = parse_command_line(arguments).unwrap() else {
        panic!("parsed as another action than run");
    };
    let settings = parse_settings(VALID, &overrides).unwrap();
    assert_eq!(settings.timing.leave_grace(), Duration::from_millis(1_100));
}

#[test]
fn an_unknown_flag_is_reported_with_its_result_code() {
    let Problems(problems) = parse_command_line(["--zone".into()]).unwrap_err();
    assert_eq!(problems[0].code, ResultCode::UnknownKey);
}

#[test]
fn zones_are_read_only_if_zone_drains_have_a_time_limit() {
    let settings = parse_settings(VALID, &[]).unwrap();
    assert!(!settings.timing.reads_zones());
    let text = format!("{VALID}[timing]\nzone_drained_within_ms = 1000\n");
    let settings = parse_settings(&text, &[]).unwrap();
    assert!(settings.timing.reads_zones());
    assert_eq!(
        settings.timing.freshness_bound(),
        Duration::from_millis(500)
    );
}

#[test]
fn cold_instances_have_a_limit_only_if_overshoot_is_set() {
    let settings = parse_settings(VALID, &[]).unwrap();
    assert_eq!(settings.cold.allowance(), None);
    for (overshoot, limit) in [("1.5", 20), ("2", 25)] {
        let text = format!("{VALID}[cold]\novershoot = {overshoot}\nslack = 5\n");
        let settings = parse_settings(&text, &[]).unwrap();
        let allowance = settings.cold.allowance().unwrap();
        assert_eq!(allowance.limit(600), limit);
    }
    for invalid in ["-1", "1001.5", "\"much\""] {
        let found = problems(&format!("{VALID}[cold]\novershoot = {invalid}\n"));
        assert_eq!(found[0].1, "cold.overshoot", "{invalid}");
    }
}

#[test]
fn the_own_zone_is_preferred_unless_disabled() {
    let settings = parse_settings(VALID, &[]).unwrap();
    assert_eq!(settings.preferred_zone(), "cork");
    let off = format!("{VALID}[placement]\nown_zone_first = false\n");
    assert_eq!(parse_settings(&off, &[]).unwrap().preferred_zone(), "");
}
