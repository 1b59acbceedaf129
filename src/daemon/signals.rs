//! Signals that stop a process or make it reload its settings.

use std::io;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// The signals that a router handles.
#[derive(Debug)]
pub struct ProcessSignals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl ProcessSignals {
    /// Installs the handlers; they replace the default action, which ends the process.
    ///
    /// # Errors
    /// If a handler can't be set.
    pub fn listen() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Returns when the process is asked to stop (SIGTERM, SIGINT). Calls `reload` at each SIGHUP.
    pub async fn until_stop(&mut self, reload: impl Fn()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => reload(),
            }
        }
    }
}

/// Seconds since 1970 by the host's clock, so that a later incarnation gets a higher number; 0 if
/// the clock is set to an earlier time.
#[must_use]
pub fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |passed| passed.as_secs())
}
