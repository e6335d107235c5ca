//! Child processes that are killed at the end of the test.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Returns the path of a built binary of the workspace.
pub fn binary(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_bellyoke-lab")).with_file_name(name);
    assert!(
        path.exists(),
        "{} is not built: run `cargo build --workspace --bins` or `cargo test --workspace`",
        path.display()
    );
    path
}

/// A child process that is killed on drop.
pub struct Child {
    process: std::process::Child,
}

impl Child {
    /// Starts `program` and redirects its standard output and standard error to `log`.
    pub fn start(program: &str, arguments: &[String], log: &Path) -> Self {
        let output = File::create(log).expect("create the log file");
        let errors = output.try_clone().expect("duplicate the log file");
        let process = Command::new(binary(program))
            .args(arguments)
            .stdout(output)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|error| panic!("failed to start {program}: {error}"));
        Self { process }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.process.id()).expect("process ID out of range");
        kill(Pid::from_raw(pid), signal).expect("send a signal");
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.process
            .try_wait()
            .expect("query the exit status")
            .is_some()
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // An error means that the process has already exited.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Runs a program to completion and returns its output.
pub fn run_to_completion(program: &str, arguments: &[String]) -> Output {
    Command::new(binary(program))
        .args(arguments)
        .output()
        .unwrap_or_else(|error| panic!("failed to run {program}: {error}"))
}
