//! A [`ChangePlan`] as text and as JSON.

use super::Table;
use crate::plan::{ChangePlan, ServicePlan};
use serde::Serialize;

/// A plan as programs read it.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PlanReport<'a> {
    /// Whether nothing was written.
    pub dry_run: bool,
    /// Services that change.
    pub services: &'a [ServicePlan],
    /// Problems that the change causes.
    pub problems: Vec<String>,
}

impl<'a> PlanReport<'a> {
    /// The report of a plan.
    #[must_use]
    pub fn new(plan: &'a ChangePlan, dry_run: bool) -> Self {
        Self {
            dry_run,
            services: &plan.services,
            problems: plan.new_problems.iter().map(ToString::to_string).collect(),
        }
    }
}

/// A plan as people read it.
#[must_use]
pub fn plan_text(plan: &ChangePlan) -> String {
    if plan.services.is_empty() && plan.new_problems.is_empty() {
        return "No service changes.\n".to_owned();
    }
    let mut text = String::new();
    if !plan.services.is_empty() {
        text.push_str(&service_plan_table(&plan.services).to_string());
    }
    for problem in &plan.new_problems {
        text.push_str(&format!("note: {problem}\n"));
    }
    text
}

fn service_plan_table(services: &[ServicePlan]) -> Table {
    let mut table = Table::new(&[
        "SERVICE",
        "ENTER",
        "DRAIN",
        "CUT",
        "WAIT",
        "NEW FLOWS MOVED",
    ]);
    for service in services {
        table.push(vec![
            service.name.clone(),
            names(&service.enter),
            names(&service.drain),
            names(&service.cut),
            names(&service.wait),
            format!("{:.1}%", service.moved_percent()),
        ]);
    }
    table
}

fn names(names: &[String]) -> String {
    if names.is_empty() {
        return "-".to_owned();
    }
    names.join(",")
}
