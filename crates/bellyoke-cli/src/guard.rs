//! Refuses changes that are likely mistakes, unless the operator allows them by name.

use crate::arguments::Allowances;
use crate::failure::Failure;
use crate::objects::{Change, ObjectSet};
use crate::plan::{ChangePlan, plan_change};
use bellyoke_api::result_code::ResultCode;
use bellyoke_core::generation::{Generation, Problem};

/// Plans `changes` and checks them.
///
/// # Errors
/// When the change leaves an object invalid, a selector without a backend or an address
/// shared, and this isn't allowed.
pub fn checked_plan(
    published: Option<&Generation>,
    objects: &ObjectSet,
    changes: &[Change],
    allow: Allowances,
) -> Result<ChangePlan, Failure> {
    let before = objects.convert(published);
    let after = objects.with(changes).convert(published);
    let fresh = after
        .invalid
        .iter()
        .find(|error| !before.invalid.contains(error));
    if let Some(error) = fresh {
        return Err(Failure::new(ResultCode::ObjectInvalid, error.to_string()));
    }
    let plan = plan_change(published, &before.desired, &after.desired)
        .map_err(|error| Failure::new(ResultCode::ObjectInvalid, error.to_string()))?;
    for problem in &plan.new_problems {
        if let Some(code) = refusal(problem, allow) {
            return Err(Failure::new(code, problem.to_string()));
        }
    }
    Ok(plan)
}

fn refusal(problem: &Problem, allow: Allowances) -> Option<ResultCode> {
    match problem {
        Problem::NothingSelected { .. } if !allow.empty_selector => Some(ResultCode::EmptySelector),
        Problem::AddressTaken { .. } | Problem::BackendAddressTaken { .. }
            if !allow.shared_address =>
        {
            Some(ResultCode::SharedAddress)
        }
        Problem::InvalidService { .. }
        | Problem::InvalidBackend { .. }
        | Problem::TableSizeFixed { .. }
        | Problem::BackendAddressFixed { .. } => Some(ResultCode::ObjectInvalid),
        Problem::NothingSelected { .. }
        | Problem::AddressTaken { .. }
        | Problem::BackendAddressTaken { .. }
        | Problem::SelectedTwice { .. }
        | Problem::StillDraining { .. } => None,
    }
}
