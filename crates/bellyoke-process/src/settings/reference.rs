//! Generates the table of keys for the settings page.

use super::descriptor::Schema;
use std::fmt::Write;

/// Returns all keys as a Markdown table.
#[must_use]
pub fn reference_table(schema: &Schema) -> String {
    let mut table = String::from(
        "| key | flag | unit | allowed | default | meaning |\n|---|---|---|---|---|---|\n",
    );
    for descriptor in schema.keys {
        let _ = writeln!(
            table,
            "| `{}` | `--{}` | {} | {} | {} | {} |",
            descriptor.path(),
            descriptor.flag(),
            descriptor.unit,
            descriptor.kind,
            descriptor.default,
            descriptor.description
        );
    }
    table
}
