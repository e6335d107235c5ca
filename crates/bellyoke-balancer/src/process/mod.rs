//! What lives for the process: settings, threads, the control loop.

pub mod control;
pub mod daemon;
pub mod directory;
pub mod settings;
pub mod sorry;
pub mod traffic;
