//! `check`: whether a file of objects would be accepted, without the platform.

use crate::arguments::Allowances;
use crate::change::apply;
use crate::documents::{Document, read_file};
use crate::failure::Failure;
use crate::guard::checked_plan;
use crate::objects::ObjectSet;
use crate::output::{PlanReport, Report, plan_text};
use bellyoke_api::result_code::ResultCode;
use kube::ResourceExt;
use std::collections::BTreeSet;
use std::path::Path;

/// A file may hold only part of the objects.
const ALLOWANCES: Allowances = Allowances {
    empty_selector: true,
    shared_address: false,
};

pub(super) fn run(path: &Path) -> Result<Report, Failure> {
    check_documents(read_file(path)?)
}

/// Checks documents as if they were all objects that there are.
///
/// # Errors
/// The first fault found.
pub fn check_documents(documents: Vec<Document>) -> Result<Report, Failure> {
    refuse_duplicates(&documents)?;
    let nothing = ObjectSet::default();
    let count = documents.len();
    let changes = apply(&nothing, documents);
    let plan = checked_plan(None, &nothing, &changes, ALLOWANCES)?;
    let text = format!("{count} objects are valid\n{}", plan_text(&plan));
    Ok(Report::new(text, &PlanReport::new(&plan, true)))
}

fn refuse_duplicates(documents: &[Document]) -> Result<(), Failure> {
    let mut names = BTreeSet::new();
    for document in documents {
        let name = match document {
            Document::Service(service) => format!("service/{}", service.name_any()),
            Document::Backend(backend) => format!("backend/{}", backend.name_any()),
        };
        if !names.insert(name.clone()) {
            let message = format!("{name} stands in the file twice");
            return Err(Failure::new(ResultCode::ObjectInvalid, message));
        }
    }
    Ok(())
}
