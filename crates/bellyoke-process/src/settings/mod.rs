//! Checked settings: a TOML file and flags that override it.
//!
//! All problems are found in one go. A daemon lists its keys in a [`descriptor::Schema`];
//! checks, flags and the reference page are made from it.

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
