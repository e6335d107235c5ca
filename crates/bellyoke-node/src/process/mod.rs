//! State with the lifetime of the process: settings, the control state, threads and tasks.

pub mod command_line;
pub mod control;
pub mod metrics;
mod run;
pub mod settings;
pub mod shared;

pub use run::run;
