//! Subcommands that query or control routers: status, team, drain and log-level.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use clap::ArgMatches;
use http::Method;
use serde::Serialize;
use tokio::time::sleep;

use crate::admin::status::EndpointStatus;
use crate::admin::status::MemberStatus;
use crate::admin::status::RouterStatus;
use crate::admin::status::TeamStatus;
use crate::admin::status::TeamSummary;

use super::client::AdminClient;
use super::client::FleetAnswers;
use super::client::clients;
use super::client::missing_text;
use super::client::one_client;
use super::client::query_all;
use super::exit::CtlError;
use super::exit::ExitKind;
use super::output::CellStyle;
use super::output::OutputFormat;
use super::output::OutputWriter;
use super::output::TableCell;
use super::output::TextTable;

/// Interval at which the status of a draining router is polled.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Answers of all queried routers, as printed in JSON.
#[derive(Debug, Serialize)]
struct FleetReport<T> {
    routers: Vec<T>,
    missing: BTreeMap<String, String>,
}

impl<T> From<FleetAnswers<T>> for FleetReport<T> {
    fn from(answers: FleetAnswers<T>) -> Self {
        Self {
            routers: answers.answers,
            missing: answers.missing,
        }
    }
}

impl<T> FleetReport<T> {
    fn exit(&self, good: bool) -> ExitKind {
        if good && self.missing.is_empty() {
            ExitKind::Good
        } else {
            ExitKind::Finding
        }
    }
}

/// Shows routers, teams, endpoints or members.
///
/// # Errors
/// If no router answers.
pub async fn status(matches: &ArgMatches, writer: &mut OutputWriter) -> Result<ExitKind, CtlError> {
    let clients = clients(matches)?;
    match matches.get_one::<String>("part").map(String::as_str) {
        Some("teams") => lists(&clients, "/teams", writer, teams_table).await,
        Some("endpoints") => lists(&clients, "/endpoints", writer, endpoints_table).await,
        Some("members") => lists(&clients, "/members", writer, members_table).await,
        _ => fleet(&clients, writer).await,
    }
}

async fn lists<T: serde::de::DeserializeOwned + Serialize>(
    clients: &[AdminClient],
    path: &str,
    writer: &mut OutputWriter,
    table: fn(&[Vec<T>]) -> TextTable,
) -> Result<ExitKind, CtlError> {
    let report = FleetReport::from(query_all::<Vec<T>>(clients, path).await?);
    writer.value(&report, |report, format| {
        table(&report.routers).text(format) + &missing_text(&report.missing)
    })?;
    Ok(report.exit(true))
}

async fn fleet(clients: &[AdminClient], writer: &mut OutputWriter) -> Result<ExitKind, CtlError> {
    let report = FleetReport::from(query_all::<RouterStatus>(clients, "/status").await?);
    writer.value(&report, fleet_text)?;
    let healthy = |router: &RouterStatus| {
        router.readiness.ready
            && router.publication.refused.is_none()
            && router.publication.source_fault.is_none()
            && router.publication.hosts_fault.is_none()
    };
    Ok(report.exit(report.routers.iter().all(healthy)))
}

fn fleet_text(report: &FleetReport<RouterStatus>, format: OutputFormat) -> String {
    let mut routers = TextTable::new(&[
        "router", "domain", "ready", "revision", "waiting", "running", "members", "uptime",
    ]);
    for router in &report.routers {
        let alive = router
            .members
            .iter()
            .filter(|member| member.state == "alive");
        let (alive, all) = (alive.count(), router.members.len());
        routers.row(vec![
            router.host.to_string().into(),
            router.domain.to_string().into(),
            ready_cell(router),
            router.publication.revision.into(),
            router.waiting.into(),
            router.running.into(),
            format!("{alive}/{all} alive").into(),
            format!("{} s", router.uptime_s).into(),
        ]);
    }
    let mut text = routers.text(format);
    text.push('\n');
    text.push_str(&pools_table(&report.routers).text(format));
    for router in &report.routers {
        text.push_str(&fault_lines(router));
    }
    text + &missing_text(&report.missing)
}

fn ready_cell(router: &RouterStatus) -> TableCell {
    if router.readiness.ready {
        return TableCell::styled("yes", CellStyle::Good);
    }
    let reasons = router.readiness.reasons.iter();
    let reasons: Vec<&str> = reasons.map(|reason| reason.label()).collect();
    TableCell::styled(format!("no: {}", reasons.join(", ")), CellStyle::Bad)
}

fn fault_lines(router: &RouterStatus) -> String {
    let publication = &router.publication;
    let host = &router.host;
    let mut text = String::new();
    if let Some(refused) = &publication.refused {
        for fault in &refused.faults {
            let revision = refused.revision;
            let _ = writeln!(text, "{host}: revision {revision} refused: {fault}");
        }
    }
    let faults = [&publication.source_fault, &publication.hosts_fault];
    for fault in faults.into_iter().flatten() {
        let _ = writeln!(text, "{host}: {fault}");
    }
    text
}

fn pools_table(routers: &[RouterStatus]) -> TextTable {
    let mut table = TextTable::new(&[
        "pool",
        "owner",
        "slots",
        "running",
        "waiting",
        "backlogged teams",
        "gap units",
    ]);
    let owned = routers.iter().flat_map(|router| {
        let pools = router.pools.iter();
        pools.filter_map(|pool| Some((&router.host, pool, pool.fleet?)))
    });
    for (host, pool, fleet) in owned {
        table.row(vec![
            pool.name.to_string().into(),
            host.to_string().into(),
            fleet.slots.into(),
            fleet.running.into(),
            fleet.waiting.into(),
            fleet.backlogged.into(),
            fleet.gap_units.into(),
        ]);
    }
    table
}

fn teams_table(routers: &[Vec<TeamSummary>]) -> TextTable {
    let mut sums: BTreeMap<&str, (u32, u32, u32, i64)> = BTreeMap::new();
    for team in routers.iter().flatten() {
        let sum = sums.entry(team.name.as_str()).or_default();
        sum.0 = team.share;
        sum.1 += team.waiting;
        sum.2 += team.running;
        sum.3 += team.service;
    }
    let mut table = TextTable::new(&[
        "team",
        "share",
        "waiting",
        "running",
        "service",
        "per share",
    ]);
    for (name, (share, waiting, running, service)) in sums {
        table.row(vec![
            name.into(),
            share.into(),
            waiting.into(),
            running.into(),
            service.into(),
            (service / i64::from(share.max(1))).into(),
        ]);
    }
    table
}

fn endpoints_table(routers: &[Vec<EndpointStatus>]) -> TextTable {
    let mut table = TextTable::new(&[
        "endpoint", "address", "domain", "pool", "slots", "running", "state",
    ]);
    let mut sums: BTreeMap<&str, (&EndpointStatus, u32)> = BTreeMap::new();
    for endpoint in routers.iter().flatten() {
        let sum = sums.entry(endpoint.name.as_str()).or_insert((endpoint, 0));
        sum.1 += endpoint.running;
        if endpoint.leaving || endpoint.failures > sum.0.failures {
            sum.0 = endpoint;
        }
    }
    for (endpoint, running) in sums.into_values() {
        let pool = endpoint.pool.as_ref().map_or("-", |pool| pool.as_str());
        table.row(vec![
            endpoint.name.to_string().into(),
            endpoint.address.to_string().into(),
            endpoint.domain.to_string().into(),
            pool.into(),
            endpoint.slots.into(),
            running.into(),
            endpoint_state(endpoint),
        ]);
    }
    table
}

fn endpoint_state(endpoint: &EndpointStatus) -> TableCell {
    if endpoint.leaving {
        TableCell::styled("leaving", CellStyle::Warning)
    } else if endpoint.failures > 0 {
        let failures = endpoint.failures;
        TableCell::styled(format!("{failures} failures to connect"), CellStyle::Bad)
    } else {
        TableCell::styled("open", CellStyle::Good)
    }
}

fn members_table(routers: &[Vec<MemberStatus>]) -> TextTable {
    let mut table = TextTable::new(&["member", "state", "domain", "address", "connected"]);
    for member in routers.iter().flatten() {
        let style = match member.state.as_str() {
            "alive" => CellStyle::Good,
            "dead" => CellStyle::Bad,
            _ => CellStyle::Warning,
        };
        table.row(vec![
            member.host.to_string().into(),
            TableCell::styled(member.state.as_str(), style),
            member.domain.to_string().into(),
            member.address.to_string().into(),
            if member.connected { "yes" } else { "no" }.into(),
        ]);
    }
    table
}

/// Shows one team and the reasons why its requests wait.
///
/// # Errors
/// If no router answers or the team is not published.
pub async fn team(matches: &ArgMatches, writer: &mut OutputWriter) -> Result<ExitKind, CtlError> {
    let clients = clients(matches)?;
    let name = matches.get_one::<String>("name").cloned();
    let path = format!("/teams/{}", name.unwrap_or_default());
    let report = FleetReport::from(query_all::<TeamStatus>(&clients, &path).await?);
    writer.value(&report, team_text)?;
    let waits = |team: &TeamStatus| team.pools.iter().any(|pool| pool.waiting > 0);
    Ok(report.exit(!report.routers.iter().any(waits)))
}

fn team_text(report: &FleetReport<TeamStatus>, format: OutputFormat) -> String {
    let mut kinds = TextTable::new(&["kind", "urgency", "unrepeatable", "goal"]);
    if let Some(team) = report.routers.first() {
        for kind in &team.kinds {
            kinds.row(vec![
                kind.name.to_string().into(),
                kind.urgency.as_str().into(),
                if kind.unrepeatable { "yes" } else { "no" }.into(),
                format!("{} ms", kind.goal_ms).into(),
            ]);
        }
    }
    let mut table = TextTable::new(&[
        "pool",
        "waiting",
        "running",
        "oldest",
        "service",
        "lead units",
        "ahead",
        "slots",
        "why",
    ]);
    for pool in report.routers.iter().flat_map(|team| &team.pools) {
        let why: Vec<&str> = pool.reasons.iter().map(|why| why.sentence()).collect();
        table.row(vec![
            pool.pool.to_string().into(),
            pool.waiting.into(),
            pool.running.into(),
            format!("{} ms", pool.oldest_wait_ms).into(),
            pool.service.into(),
            pool.lead_units.into(),
            pool.ahead.into(),
            format!("{}/{} busy", pool.busy, pool.held).into(),
            TableCell::styled(why.join(" "), CellStyle::Warning),
        ]);
    }
    let shares = report.routers.first().map_or_else(String::new, |team| {
        let (name, share, limit) = (&team.name, team.share, team.queue_limit);
        format!("{name}: share {share}, at most {limit} waiting at a router\n\n")
    });
    shares + &kinds.text(format) + "\n" + &table.text(format) + &missing_text(&report.missing)
}

/// Drains one router, and waits until it is idle if `--wait` is given.
///
/// # Errors
/// If it does not answer.
pub async fn drain(matches: &ArgMatches, writer: &mut OutputWriter) -> Result<ExitKind, CtlError> {
    let client = one_client(matches)?;
    client.send(Method::POST, "/drain").await?;
    let mut status: RouterStatus = client.get("/status").await?;
    while matches.get_flag("wait") && status.waiting + status.running > 0 {
        sleep(DRAIN_POLL_INTERVAL).await;
        status = client.get("/status").await?;
    }
    let left = (status.waiting, status.running);
    writer.value(&status, |status, _| {
        let host = &status.host;
        format!("{host} drains: {} wait, {} run\n", left.0, left.1)
    })?;
    Ok(ExitKind::Good)
}

/// Changes the log level of routers.
///
/// # Errors
/// If one does not answer.
pub async fn log_level(
    matches: &ArgMatches,
    writer: &mut OutputWriter,
) -> Result<ExitKind, CtlError> {
    let level = matches.get_one::<String>("level").cloned();
    let level = level.unwrap_or_default();
    for client in clients(matches)? {
        client
            .send(Method::PUT, &format!("/log-level/{level}"))
            .await?;
        writer.value(&level, |level, _| {
            format!("{}: log level {level}\n", client.address)
        })?;
    }
    Ok(ExitKind::Good)
}
