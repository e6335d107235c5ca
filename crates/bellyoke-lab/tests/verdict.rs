//! The verdict computed from the reports of callers and backends.

use bellyoke_lab::backend::BackendReport;
use bellyoke_lab::caller::{CallerReport, Outcome};
use bellyoke_lab::verdict::Verdict;

fn caller(outcomes: &[(&str, Outcome)]) -> CallerReport {
    let mut report = CallerReport::default();
    for (id, outcome) in outcomes {
        report.record_sent();
        report.record(id, "203.0.113.1:1024".to_owned(), outcome.clone());
    }
    report
}

fn backend(name: &str, run_ids: &[&str]) -> BackendReport {
    let mut report = BackendReport {
        name: name.to_owned(),
        ..BackendReport::default()
    };
    for id in run_ids {
        report.record_run(id);
    }
    report
}

fn verdict_text(verdict: &Verdict) -> String {
    let mut lines = verdict.findings_text(2);
    lines.push(verdict.to_string());
    lines.join("\n")
}

#[test]
fn answers_and_correct_refusals_pass() {
    let callers = [
        caller(&[("a", Outcome::Answered), ("b", Outcome::Refused)]),
        caller(&[("c", Outcome::Shed)]),
    ];
    let verdict = Verdict::new(&callers, &[backend("till-1", &["a"])]);
    assert!(verdict.is_passed());
    insta::assert_snapshot!(verdict_text(&verdict), @"demo: sent=3 answered=1 refused=2 broken=0 crossed=0 wrong_service=0 doubled=0");
}

#[test]
fn all_kinds_of_failures_are_listed_up_to_a_limit() {
    let broken = || Outcome::Broken("connection reset".to_owned());
    let callers = [caller(&[
        ("a", broken()),
        ("b", broken()),
        ("c", broken()),
        (
            "d",
            Outcome::Crossed("answer to another request".to_owned()),
        ),
        ("e", Outcome::Refused),
        ("f", Outcome::Shed),
        ("g", Outcome::Answered),
    ])];
    let mut first = backend("till-1", &["e", "g"]);
    first.record_wrong_service("asked for listings".to_owned());
    first.runs_unrecorded = 3;
    let second = backend("till-2", &["f", "g"]);
    let verdict = Verdict::new(&callers, &[first, second]);
    assert!(!verdict.is_passed());
    insta::assert_snapshot!(verdict_text(&verdict), @r#"
    broken: a from 203.0.113.1:1024: connection reset
    broken: b from 203.0.113.1:1024: connection reset
    crossed: d from 203.0.113.1:1024: answer to another request
    falsely "not run": e ran
    falsely "not run": f ran
    wrong service on till-1: asked for listings
    unrecorded: 3 runs on till-1
    doubled: g ran 2 times
    and 1 more findings
    demo: sent=7 answered=1 refused=2 broken=3 crossed=1 wrong_service=1 doubled=1
    "#);
}

fn passes(caller: &CallerReport, backend: &BackendReport) -> bool {
    Verdict::new(std::slice::from_ref(caller), std::slice::from_ref(backend)).is_passed()
}

#[test]
fn each_kind_of_failure_alone_fails_the_verdict() {
    let answered = caller(&[("a", Outcome::Answered)]);
    let ran_once = backend("till-1", &["a"]);
    let idle = backend("till-1", &[]);
    assert!(passes(&answered, &ran_once));
    assert!(!passes(&caller(&[("a", Outcome::Refused)]), &ran_once));
    assert!(!passes(
        &caller(&[("a", Outcome::Broken(String::new()))]),
        &idle
    ));
    assert!(!passes(
        &caller(&[("a", Outcome::Crossed(String::new()))]),
        &idle
    ));
    assert!(!passes(&answered, &backend("till-1", &["a", "a"])));
    let mut with_wrong_service = idle.clone();
    with_wrong_service.wrong_service = 1;
    assert!(!passes(&answered, &with_wrong_service));
    let mut unfinished = answered;
    unfinished.record_sent();
    assert!(!passes(&unfinished, &ran_once));
}
