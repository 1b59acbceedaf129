//! Subcommands that work without a router: check, render, diff and key. With only one file, diff
//! compares it with a router's publication.

use std::fmt::Write;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;

use clap::ArgMatches;
use http::Method;
use rand::RngExt;
use serde::Serialize;
use serde_json::Value;

use crate::catalog::FleetCatalog;
use crate::document::DocumentFault;
use crate::document::FaultList;
use crate::entry::catalog::key_hash_text;
use crate::gateway::config::read_gateway_settings;
use crate::publication;
use crate::publication::rendered::PublicationChange;
use crate::publication::rendered::RenderedPublication;
use crate::publication::rendered::changes;
use crate::settings::read_settings;
use crate::sources::HostList;
use crate::units::ConfigRevision;

use super::client::one_client;
use super::exit::CtlError;
use super::exit::ExitKind;
use super::output::CellStyle;
use super::output::OutputWriter;
use super::output::TableCell;
use super::output::TextTable;

/// Length of a new key in bytes.
const KEY_BYTES: usize = 32;

/// Result of a check.
#[derive(Debug, Serialize)]
struct CheckResult {
    file: String,
    good: bool,
    summary: Option<String>,
    faults: Vec<DocumentFault>,
}

/// Checks a document and prints its faults.
///
/// # Errors
/// If it can't be read.
pub fn check(matches: &ArgMatches, writer: &mut OutputWriter) -> Result<ExitKind, CtlError> {
    let path = path(matches, "file")?;
    let text = read(&path)?;
    let document = matches.get_one::<String>("as").map(String::as_str);
    let checked = match document {
        Some("settings") => read_settings(&text).map(|settings| {
            format!(
                "settings of host {} in domain {}",
                settings.host, settings.domain
            )
        }),
        Some("hosts") => HostList::read(&text).map(|list| {
            let (routers, endpoints) = (list.routers.len(), list.endpoints.len());
            format!("routers: {routers}, endpoints: {endpoints}")
        }),
        Some("gateway") => read_gateway_settings(&text).map(|settings| {
            format!(
                "gateway settings of host {} in domain {}",
                settings.host, settings.domain
            )
        }),
        _ => catalog(&text).map(|catalog| {
            let (teams, pools) = (catalog.teams.len(), catalog.pools.len());
            let endpoints = catalog.endpoints.len();
            format!("teams: {teams}, pools: {pools}, endpoints: {endpoints}")
        }),
    };
    let file = path.display().to_string();
    let result = match checked {
        Ok(summary) => CheckResult {
            file,
            good: true,
            summary: Some(summary),
            faults: Vec::new(),
        },
        Err(faults) => CheckResult {
            file,
            good: false,
            summary: None,
            faults: faults.faults().to_vec(),
        },
    };
    writer.value(&result, |result, _| check_text(result))?;
    Ok(if result.good {
        ExitKind::Good
    } else {
        ExitKind::Finding
    })
}

fn check_text(result: &CheckResult) -> String {
    if let Some(summary) = &result.summary {
        return format!("{}: good, {summary}\n", result.file);
    }
    let mut text = String::new();
    for fault in &result.faults {
        let _ = writeln!(text, "{}: {fault}", result.file);
    }
    text
}

/// Shows a publication with all templates and defaults filled in.
///
/// # Errors
/// If it can't be read, has faults or lacks the team.
pub fn render(matches: &ArgMatches, writer: &mut OutputWriter) -> Result<ExitKind, CtlError> {
    let path = path(matches, "file")?;
    let rendered = rendered(&path)?;
    let value = match matches.get_one::<String>("team") {
        None => serde_json::to_value(&rendered),
        Some(name) => {
            let team = rendered
                .teams
                .iter()
                .find(|(team, _)| team.as_str() == name);
            let Some((_, team)) = team else {
                let message = format!("{}: no team \"{name}\"", path.display());
                return Err(CtlError::new(ExitKind::Finding, message));
            };
            serde_json::to_value(team)
        }
    };
    let value = value.map_err(|error| CtlError::new(ExitKind::File, error.to_string()))?;
    writer.value(&value, |value, _| format!("{value:#}\n"))?;
    Ok(ExitKind::Good)
}

/// Shows the changes between two publications.
///
/// # Errors
/// If one can't be read or has faults.
pub fn diff(matches: &ArgMatches, writer: &mut OutputWriter) -> Result<ExitKind, CtlError> {
    let before = rendered(&path(matches, "before")?)?;
    let after = rendered(&path(matches, "after")?)?;
    show_changes(&changes(&before, &after), writer)
}

/// Shows the changes between the publication that a router has in force and a new one.
///
/// # Errors
/// If the router does not answer, or a publication can't be read or has faults.
pub async fn diff_running(
    matches: &ArgMatches,
    writer: &mut OutputWriter,
) -> Result<ExitKind, CtlError> {
    let client = one_client(matches)?;
    let running = client.send(Method::GET, "/publication").await?;
    let running = catalog(&running).map_err(|faults| {
        let message = format!("{}: {faults}", client.address);
        CtlError::new(ExitKind::Finding, message)
    })?;
    let next = rendered(&path(matches, "before")?)?;
    show_changes(&changes(&RenderedPublication::of(&running), &next), writer)
}

fn show_changes(
    changes: &Vec<PublicationChange>,
    writer: &mut OutputWriter,
) -> Result<ExitKind, CtlError> {
    writer.value(changes, |changes, format| {
        if changes.is_empty() {
            return "nothing changes\n".to_owned();
        }
        let mut table = TextTable::new(&["path", "before", "after"]);
        for change in changes {
            table.row(vec![
                change.path.as_str().into(),
                TableCell::styled(json_cell(change.before.as_ref()), CellStyle::Bad),
                TableCell::styled(json_cell(change.after.as_ref()), CellStyle::Good),
            ]);
        }
        table.text(format)
    })?;
    Ok(if changes.is_empty() {
        ExitKind::Good
    } else {
        ExitKind::Finding
    })
}

fn json_cell(value: Option<&Value>) -> String {
    value.map_or_else(|| "-".to_owned(), Value::to_string)
}

/// A new key with its hash.
#[derive(Debug, Serialize)]
struct NewKey {
    key: String,
    hash: String,
}

/// Generates a key and prints it with its hash.
///
/// # Errors
/// If standard output is closed.
pub fn key(writer: &mut OutputWriter) -> Result<ExitKind, CtlError> {
    let mut bytes = [0_u8; KEY_BYTES];
    rand::rng().fill(&mut bytes);
    let key = hex(&bytes);
    let hash = key_hash_text(&key);
    writer.value(&NewKey { key, hash }, |new, format| {
        let mut table = TextTable::new(&["part", "value"]);
        table.row(vec!["key, for the team".into(), new.key.as_str().into()]);
        table.row(vec!["hash, to publish".into(), new.hash.as_str().into()]);
        table.text(format)
    })?;
    Ok(ExitKind::Good)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn path(matches: &ArgMatches, name: &str) -> Result<PathBuf, CtlError> {
    let path = matches.get_one::<PathBuf>(name).cloned();
    path.ok_or_else(|| CtlError::new(ExitKind::Usage, format!("{name} is missing")))
}

/// Reads a file, or standard input for `-`.
///
/// # Errors
/// If it can't be read.
pub fn read(path: &Path) -> Result<Vec<u8>, CtlError> {
    let text = if path == Path::new("-") {
        let mut text = Vec::new();
        std::io::stdin().read_to_end(&mut text).map(|_| text)
    } else {
        std::fs::read(path)
    };
    text.map_err(|error| CtlError::file(path, &error))
}

fn catalog(text: &[u8]) -> Result<FleetCatalog, FaultList> {
    publication::adopt(ConfigRevision(1), text)
}

fn rendered(path: &Path) -> Result<RenderedPublication, CtlError> {
    let text = read(path)?;
    let catalog = catalog(&text).map_err(|faults| {
        let lines: Vec<String> = faults.faults().iter().map(ToString::to_string).collect();
        let message = format!("{}: {}", path.display(), lines.join("; "));
        CtlError::new(ExitKind::Finding, message)
    })?;
    Ok(RenderedPublication::of(&catalog))
}
