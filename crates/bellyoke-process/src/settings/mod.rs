//! Validated settings from a TOML file and command-line flags that override it.
//!
//! Validation reports all problems together. A daemon declares its keys in a
//! [`descriptor::Schema`], from which validation, flags and the reference page are derived.

mod check;
pub mod descriptor;
mod flags;
mod problem;
mod reference;
mod table;

pub use flags::{CommandLine, Override, flag_list, parse_command_line};
pub use problem::{Problem, Problems};
pub use reference::reference_table;
pub use table::{checked_table, into_typed, read_file};
