//! Commands that change objects: plan, check, then write.

use crate::arguments::Options;
use crate::failure::Failure;
use crate::guard::checked_plan;
use crate::objects::{Change, ObjectSet};
use crate::output::{PlanReport, Report, plan_text};
use crate::plan::ChangePlan;
use crate::session::Session;
use serde::Serialize;

/// An object that was written.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct Written {
    /// Kind and name.
    object: String,
    /// Its new version; none after a deletion.
    resource_version: Option<String>,
}

/// What was written, as programs read it.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WriteReport<'a> {
    written: &'a [Written],
    #[serde(flatten)]
    plan: PlanReport<'a>,
}

/// What would be written, as programs read it.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct DryRunReport<'a> {
    changes: Vec<String>,
    #[serde(flatten)]
    plan: PlanReport<'a>,
}

pub(super) async fn run(
    options: &Options,
    decide: impl FnOnce(&ObjectSet) -> Result<Vec<Change>, Failure>,
) -> Result<Report, Failure> {
    let session = Session::connect(options)?;
    let objects = session.objects().await?;
    let changes = decide(&objects)?;
    let published = session.published().await?;
    let generation = published.as_ref().map(|published| &published.generation);
    let plan = checked_plan(generation, &objects, &changes, options.allow)?;
    if options.dry_run {
        return Ok(dry_run_report(&changes, &plan));
    }
    let mut written = Vec::with_capacity(changes.len());
    for change in &changes {
        let result = session.write(change).await;
        let resource_version = result.map_err(|failure| after(&written, failure))?;
        written.push(Written {
            object: change.object(),
            resource_version,
        });
    }
    Ok(write_report(&written, &plan))
}

/// What a dry run prints.
#[must_use]
pub fn dry_run_report(changes: &[Change], plan: &ChangePlan) -> Report {
    let changes: Vec<String> = changes
        .iter()
        .map(|change| format!("{} {}", verb(change), change.object()))
        .collect();
    let mut text = String::new();
    for change in &changes {
        text.push_str(&format!("would {change}\n"));
    }
    text.push_str(&plan_text(plan));
    let report = DryRunReport {
        changes,
        plan: PlanReport::new(plan, true),
    };
    Report::new(text, &report)
}

fn verb(change: &Change) -> &'static str {
    match change {
        Change::PutService(_) | Change::PutBackend(_) => "write",
        Change::DeleteService(_) | Change::DeleteBackend(_) => "delete",
    }
}

fn write_report(written: &[Written], plan: &ChangePlan) -> Report {
    if written.is_empty() {
        return Report::new(
            "unchanged\n",
            &WriteReport {
                written,
                plan: PlanReport::new(plan, false),
            },
        );
    }
    let mut text = String::new();
    for entry in written {
        let line = match &entry.resource_version {
            Some(version) => format!("{} written, version {version}\n", entry.object),
            None => format!("{} deleted\n", entry.object),
        };
        text.push_str(&line);
    }
    text.push_str(&plan_text(plan));
    let report = WriteReport {
        written,
        plan: PlanReport::new(plan, false),
    };
    Report::new(text, &report)
}

/// Says what was written before a failure: several objects are no transaction.
fn after(written: &[Written], failure: Failure) -> Failure {
    if written.is_empty() {
        return failure;
    }
    let objects: Vec<&str> = written.iter().map(|entry| entry.object.as_str()).collect();
    let message = format!(
        "{}; written before it: {}",
        failure.message,
        objects.join(", ")
    );
    Failure::new(failure.code, message)
}
