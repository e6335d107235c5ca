//! The tables of the documentation, made from the code.

use crate::event_code::EventCode;
use std::fmt::Write;

/// All events as a Markdown table.
#[must_use]
pub fn event_table() -> String {
    let mut table = String::from("| event | level | name | meaning |\n|---|---|---|---|\n");
    for event in EventCode::ALL {
        let level = event.level().name();
        let _ = writeln!(
            table,
            "| {event} | {level} | `{}` | {} |",
            event.name(),
            event.meaning()
        );
    }
    table
}
