//! How results are printed.

mod plan;
mod report;
mod table;

pub use plan::{PlanReport, plan_text};
pub use report::{Report, render_failure};
pub use table::Table;
