//! Signals that stop the process.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// SIGTERM and SIGINT.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Takes over both signals.
    ///
    /// # Errors
    ///
    /// If they cannot be taken over.
    pub fn register() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next of either.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
