//! Lifecycle of a router process: start, signals, drain, exit.

use std::fmt;
use std::fs;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use tokio::time;

use crate::settings::ProcessSettings;
use crate::settings::read_settings;
use crate::units::RouterIncarnation;

use super::files::admin_credential;
use super::files::peer_parts;
use super::logs;
use super::router::Router;
use super::router::RouterParts;
use super::signals::ProcessSignals;
use super::signals::unix_seconds;

/// Exit code after a shutdown that cut requests.
pub const EXIT_CUT: u8 = 3;

/// The router process could not start.
#[derive(Debug)]
pub struct ProcessError;

impl fmt::Display for ProcessError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the router could not start")
    }
}

impl std::error::Error for ProcessError {}

/// Reads the settings again. Only the log level takes effect: addresses and limits need a restart.
/// A file with faults changes nothing.
fn reload(file: &Path) {
    match load_settings(file) {
        Ok(settings) => {
            logs::set_level(settings.log.level);
            spdlog::info!("daemon: settings read again.");
        }
        Err(faults) => spdlog::error!("daemon: settings refused, the old ones stay: {faults}"),
    }
}

/// Reads and checks a settings file.
///
/// # Errors
/// Returns a text that names the file and all its faults.
pub fn load_settings(file: &Path) -> Result<ProcessSettings, String> {
    let text = fs::read(file).map_err(|fault| format!("{}: {fault}", file.display()))?;
    read_settings(&text).map_err(|faults| format!("{}:\n{faults}", file.display()))
}

/// Builds the parts of a router from checked settings.
///
/// # Errors
/// If a key or certificate can't be read.
pub fn router_parts(settings: &ProcessSettings) -> Result<RouterParts, Report<ProcessError>> {
    let peers =
        peer_parts(&settings.peers, settings.peer_config.clone()).change_context(ProcessError)?;
    Ok(RouterParts {
        host: settings.host.clone(),
        domain: settings.domain.clone(),
        incarnation: RouterIncarnation::from_start_time(unix_seconds(), rand::random()),
        callers: settings.callers.listen,
        peers: Some(peers),
        sources: Some(settings.sources.clone()),
        core: settings.core.clone(),
        traffic: settings.traffic.clone(),
        seed: rand::random(),
    })
}

/// Runs a router until a signal has stopped it. `file` is the settings file, for reloads.
///
/// # Errors
/// If the router can't be started.
pub async fn run(
    settings: &ProcessSettings,
    file: &Path,
) -> Result<ExitCode, Report<ProcessError>> {
    let mut signals = ProcessSignals::listen().change_context(ProcessError)?;
    let parts = router_parts(settings)?;
    let credential = admin_credential(&settings.admin).change_context(ProcessError)?;
    let incarnation = parts.incarnation;
    let router = Router::start(parts).await.change_context(ProcessError)?;
    let admin = router
        .serve_admin(settings.admin.listen, &credential)
        .await
        .change_context(ProcessError)?;
    let (host, callers) = (&settings.host, router.callers);
    spdlog::info!("daemon: admin API listens on {admin}.");
    spdlog::info!("daemon: {host} incarnation {incarnation} accepts calls on {callers}.");
    signals.until_stop(|| reload(file)).await;
    spdlog::info!("daemon: drain begins; a second signal stops the router at once.");
    let deadline = Duration::from_secs(settings.shutdown.deadline_s);
    let linger = Duration::from_millis(settings.shutdown.linger_ms).min(deadline / 2);
    let ending = async {
        tokio::join!(router.drain(), time::sleep(linger));
        router.finish().await;
    };
    tokio::select! {
        () = ending => {}
        () = signals.until_stop(|| reload(file)) => return Ok(cut(&router, "second signal").await),
        () = time::sleep(deadline) => return Ok(cut(&router, "deadline").await),
    }
    spdlog::info!("daemon: no requests are left in flight.");
    router.stop().await;
    spdlog::info!("daemon: stopped.");
    Ok(ExitCode::SUCCESS)
}

/// Stops without waiting and logs the requests that this cuts.
async fn cut(router: &Router, cause: &str) -> ExitCode {
    let requests = router.in_flight().await;
    let open = router.open_answers();
    spdlog::error!("daemon: {cause}: {open} answers are cut.");
    for (request, team) in &requests {
        spdlog::error!("daemon: request {request} team {team} is cut.");
    }
    if requests.is_empty() && open == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_CUT)
    }
}
