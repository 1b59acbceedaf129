//! Tasks that follow the sources for a daemon until they are cancelled.

use std::time::Duration;

use error_stack::Report;
use rand::RngExt;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::settings::SourceTiming;
use crate::units::ConfigRevision;

use super::ConfigSource;
use super::ConfigText;
use super::HostList;
use super::HostSource;
use super::SourceError;

/// The result of one read or watch of the configuration service.
#[derive(Debug)]
pub enum ConfigUpdate {
    /// A newer publication, not yet validated.
    Newer(ConfigText),
    /// The service answered that there is nothing newer.
    Unchanged,
    /// The service failed, or answered with an older revision.
    Failed(Report<SourceError>),
}

/// The result of one read of the host list.
#[derive(Debug)]
pub enum HostUpdate {
    /// The list.
    Listed(HostList),
    /// It could not be read.
    Failed(Report<SourceError>),
}

/// Controls the watch of the configuration service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WatchCommand {
    /// True to watch, false to make no calls to the service.
    pub on: bool,
    /// The revision that the router has, from the service or from a peer.
    pub after: ConfigRevision,
}

/// Watches the configuration service while `command` is on and sends each result to `sender`.
///
/// A publication that is refused for its faults is not read again, because the next watch starts
/// after its revision. While `command` is off, no call is made or left open.
pub async fn follow_config(
    source: impl ConfigSource,
    timing: SourceTiming,
    mut command: watch::Receiver<WatchCommand>,
    sender: mpsc::Sender<ConfigUpdate>,
    cancel: CancellationToken,
) {
    let mut seen = ConfigRevision(0);
    loop {
        let now = *command.borrow_and_update();
        seen = seen.max(now.after);
        if !now.on {
            tokio::select! {
                () = cancel.cancelled() => return,
                changed = command.changed() => if changed.is_err() { return },
            }
            continue;
        }
        let update = tokio::select! {
            () = cancel.cancelled() => return,
            update = next_update(&source, seen) => update,
            switched = switched_off(&mut command) => if switched { continue } else { return },
        };
        let failed = matches!(update, ConfigUpdate::Failed(_));
        if let ConfigUpdate::Newer(text) = &update {
            seen = seen.max(text.revision);
        }
        if sender.send(update).await.is_err() {
            return;
        }
        if failed && !pause_before_retry(&timing, &cancel).await {
            return;
        }
    }
}

async fn next_update(source: &impl ConfigSource, seen: ConfigRevision) -> ConfigUpdate {
    let update = if seen == ConfigRevision(0) {
        source.read().await.map(Some)
    } else {
        source.watch(seen).await
    };
    match update {
        Ok(Some(text)) => ConfigUpdate::Newer(text),
        Ok(None) => ConfigUpdate::Unchanged,
        Err(report) => ConfigUpdate::Failed(report),
    }
}

/// Waits until watching is switched off and returns true, or false if the sender of `command` is
/// gone.
async fn switched_off(command: &mut watch::Receiver<WatchCommand>) -> bool {
    command.wait_for(|command| !command.on).await.is_ok()
}

/// Reads the host list at intervals and sends each result to `sender`.
pub async fn follow_hosts(
    source: impl HostSource,
    timing: SourceTiming,
    sender: mpsc::Sender<HostUpdate>,
    cancel: CancellationToken,
) {
    loop {
        let update = tokio::select! {
            () = cancel.cancelled() => return,
            update = source.read() => update.map_or_else(HostUpdate::Failed, HostUpdate::Listed),
        };
        if sender.send(update).await.is_err() {
            return;
        }
        let pause = jittered(timing.hosts_poll_ms);
        tokio::select! {
            () = cancel.cancelled() => return,
            () = sleep(pause) => {}
        }
    }
}

async fn pause_before_retry(timing: &SourceTiming, cancel: &CancellationToken) -> bool {
    tokio::select! {
        () = cancel.cancelled() => false,
        () = sleep(jittered(timing.retry_ms)) => true,
    }
}

/// Adds jitter of up to a quarter either way, so that routers that failed together don't retry
/// together.
fn jittered(millis: u64) -> Duration {
    let quarter = millis / 4;
    Duration::from_millis(rand::rng().random_range(millis - quarter..=millis + quarter))
}
