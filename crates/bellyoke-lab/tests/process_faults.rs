//! Faults and planned changes under traffic, with the built binaries as processes.

mod process_support;

use bellyoke_lab::verdict::{Finding, Verdict};
use nix::sys::signal::Signal;
use process_support::Cluster;
use serde_json::Value;

/// Number of further answers that proves that requests are still served.
const FURTHER_ANSWERS: u64 = 60;
/// Index of the backend `till-0`.
const DRAINED_BACKEND: u16 = 0;

/// Asserts that the verdict is passed, and prints up to 10 findings otherwise.
fn assert_passed(verdict: &Verdict) {
    let findings = verdict.findings_text(10).join("\n");
    assert!(verdict.is_passed(), "{verdict}\n{findings}");
}

#[test]
fn process_requests_are_served_while_the_platform_is_down() {
    let mut cluster = Cluster::start("platform-down");
    cluster.start_callers();
    cluster.set_faults(r#"{"down":true}"#);
    cluster.wait_for_answers(FURTHER_ANSWERS);
    assert_passed(&cluster.finish());
}

#[test]
fn process_drained_backend_keeps_its_flows_and_gets_no_new_ones() {
    let mut cluster = Cluster::start("drain");
    cluster.start_callers();
    cluster.wait_until("feeds on the drained backend", || {
        cluster.backend_report(DRAINED_BACKEND).connections_open > 0
    });
    cluster.run_cli(&["drain", "till-0"]);
    cluster.run_cli(&["rollout", "status", "--wait", "--timeout", "20"]);
    let accepted = cluster.backend_report(DRAINED_BACKEND).connections_accepted;
    cluster.wait_for_answers(FURTHER_ANSWERS);
    cluster.wait_until("the feeds to end", || {
        cluster.backend_report(DRAINED_BACKEND).connections_open == 0
    });
    assert_eq!(
        cluster.backend_report(DRAINED_BACKEND).connections_accepted,
        accepted
    );
    assert_passed(&cluster.finish());
}

#[test]
fn process_flows_survive_the_kill_of_a_balancer() {
    let mut cluster = Cluster::start("kill");
    cluster.start_callers();
    let before = cluster.status(0).expect("a status").generation;
    cluster.balancers[1].signal(Signal::SIGKILL);
    cluster.delete_balancer_record(1);
    cluster.wait_until("a generation without the killed balancer", || {
        cluster
            .status(0)
            .is_some_and(|status| status.generation > before)
    });
    cluster.wait_for_answers(FURTHER_ANSWERS);
    assert_passed(&cluster.finish());
}

/// The suspended balancer misses the drain. After it resumes it must not forward with the outdated generation.
#[test]
fn process_suspended_balancer_opens_no_flow_at_a_backend_drained_meanwhile() {
    let mut cluster = Cluster::start("freeze");
    cluster.start_callers();
    cluster.balancers[1].signal(Signal::SIGSTOP);
    cluster.run_cli(&["drain", "till-0"]);
    cluster.run_cli(&["rollout", "status", "--wait", "--timeout", "30"]);
    let accepted = cluster.backend_report(DRAINED_BACKEND).connections_accepted;
    cluster.balancers[1].signal(Signal::SIGCONT);
    cluster.wait_for_answers(FURTHER_ANSWERS);
    assert_eq!(
        cluster.backend_report(DRAINED_BACKEND).connections_accepted,
        accepted
    );
    let verdict = cluster.finish();
    // The fabric still sends packets to the suspended balancer, so requests may time out.
    let is_unexpected = |finding: &&Finding| !matches!(finding, Finding::Broken { .. });
    let unexpected: Vec<&Finding> = verdict.findings.iter().filter(is_unexpected).collect();
    assert!(unexpected.is_empty(), "{unexpected:?}");
    let failures = verdict.crossed + verdict.wrong_service + verdict.doubled;
    assert_eq!(failures, 0, "{verdict}");
}

/// A write that took effect but whose answer is lost must not be applied a second time by a retry.
#[test]
fn process_drain_is_applied_once_when_answers_are_lost() {
    let mut cluster = Cluster::start("lost-answer");
    cluster.start_callers();
    let before = cluster.status(0).expect("a status").generation;
    let writes_before = generation_writes(&cluster).len();
    // The operator's write and the subsequent publication both take effect, but their answers are lost.
    cluster.set_faults(r#"{"lose_answer_after_effect":2}"#);
    cluster.run_cli(&["drain", "till-0"]);
    cluster.run_cli(&["rollout", "status", "--wait", "--timeout", "20"]);
    let writes = generation_writes(&cluster);
    let first = &writes[writes_before];
    assert!(first["code"].is_null(), "the answer was not lost: {first}");
    let operation = &first["operation_id"];
    let same_operation = writes
        .iter()
        .filter(|write| &write["operation_id"] == operation);
    assert_eq!(same_operation.count(), 1, "{writes:?}");
    let status = cluster.status(0).expect("a status");
    assert_eq!(status.generation, before + 1);
    cluster.wait_for_answers(FURTHER_ANSWERS);
    assert_passed(&cluster.finish());
}

/// Returns the writes of generations that took effect, from the platform's audit log.
fn generation_writes(cluster: &Cluster) -> Vec<Value> {
    let audit = cluster.get_from_platform("/audit");
    let writes = audit["writes"]
        .as_array()
        .expect("an array of writes")
        .iter();
    let writes = writes.filter(|write| write["plural"] == "generations");
    writes
        .filter(|write| !write["version"].is_null())
        .cloned()
        .collect()
}

/// Two operators change the same service concurrently: one change is lost unless the second write is rejected.
#[test]
fn process_one_of_two_concurrent_operators_gets_a_conflict() {
    let mut cluster = Cluster::start("operators");
    cluster.start_callers();
    // With this delay, both operators read the service before either writes it.
    cluster.set_faults(r#"{"delay_ms":300}"#);
    let even = ["select", "till", "--selector", "app=till,pool=even"];
    let odd = ["select", "till", "--selector", "app=till,pool=odd"];
    let [first, second] = cluster.run_cli_concurrently(&even, &odd);
    cluster.set_faults(r#"{"delay_ms":0}"#);
    let (rejected, applied_pool, rejected_pool) = if first.status.success() {
        (second, "even", "odd")
    } else {
        assert!(second.status.success(), "both operators failed");
        (first, "odd", "even")
    };
    let service =
        cluster.get_from_platform("/apis/bellyoke.dev/v1/namespaces/default/services/till");
    let version = service["metadata"]["resourceVersion"]
        .as_str()
        .expect("a resource version");
    let errors = String::from_utf8_lossy(&rejected.stderr).into_owned();
    assert_eq!(rejected.status.code(), Some(6), "{errors}");
    assert!(errors.contains("BY6001"), "{errors}");
    assert!(errors.contains(&format!("is now at {version}")), "{errors}");
    let spec = service["spec"].to_string();
    assert!(
        spec.contains(applied_pool) && !spec.contains(rejected_pool),
        "{spec}"
    );
    cluster.run_cli(&["rollout", "status", "--wait", "--timeout", "20"]);
    cluster.wait_for_answers(FURTHER_ANSWERS);
    assert_passed(&cluster.finish());
}
