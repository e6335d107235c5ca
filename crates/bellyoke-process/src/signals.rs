//! Termination signals.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Listens for SIGTERM and SIGINT.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs handlers for both signals.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler cannot be installed.
    pub fn register() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits until either signal is received.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
