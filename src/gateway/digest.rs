//! The messages by which routers tell each other of their load.
//!
//! Each router sends one to every other several times a second, so their size is what control
//! costs. Loads and demands go as columns: a column of small numbers takes a byte or two a row,
//! where a message a row takes a tag a field as well. At 12 endpoints and 16 teams a digest has
//! 410 bytes.

use std::collections::BTreeMap;

use prost::Message;

use super::decide::shares::TeamFlow;
use super::routes::TeamKey;

/// Unread prompt tokens are told in such steps: a thousandth of a second of reading.
const PENDING_STEP: u32 = 64;

/// Rates of teams are told in such steps, in tokens a second, to the nearest: a request of the mean size
/// each half a minute. A router's usual rates then take a byte.
const RATE_STEP: u32 = 128;

/// The endpoint is silent to the sender.
const SILENT: u32 = 1;
/// The sender heard from it of late.
const HEARD: u32 = 2;

/// Load of one router at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadEntry {
    /// Number of the endpoint's process.
    pub endpoint: u32,
    /// Requests.
    pub active: u32,
    /// Prompt tokens that wait to be read.
    pub pending_tokens: u32,
    /// The sender's recent attempts there, in hundredths.
    pub attempts: u32,
    /// Failures among them, in hundredths.
    pub failures: u32,
    /// Whether the endpoint is silent to it.
    pub silent: bool,
    /// Whether the sender heard from it of late.
    pub heard: bool,
}

/// Loads of one router, a column a field.
#[derive(Clone, PartialEq, Message)]
pub struct LoadColumns {
    #[prost(fixed32, repeated, tag = "1")]
    endpoints: Vec<u32>,
    #[prost(uint32, repeated, tag = "2")]
    active: Vec<u32>,
    /// In steps, rounded up.
    #[prost(uint32, repeated, tag = "3")]
    pending: Vec<u32>,
    #[prost(uint32, repeated, tag = "4")]
    attempts: Vec<u32>,
    #[prost(uint32, repeated, tag = "5")]
    failures: Vec<u32>,
    #[prost(uint32, repeated, tag = "6")]
    flags: Vec<u32>,
}

impl LoadColumns {
    /// The rows. A sender whose columns differ in length is read up to the shortest.
    pub fn entries(&self) -> impl Iterator<Item = LoadEntry> + '_ {
        let counts = self.active.iter().zip(&self.pending);
        let health = self.attempts.iter().zip(&self.failures).zip(&self.flags);
        self.endpoints.iter().zip(counts).zip(health).map(
            |((endpoint, (active, pending)), ((attempts, failures), flags))| LoadEntry {
                endpoint: *endpoint,
                active: *active,
                pending_tokens: pending.saturating_mul(PENDING_STEP),
                attempts: *attempts,
                failures: *failures,
                silent: flags & SILENT != 0,
                heard: flags & HEARD != 0,
            },
        )
    }

    /// Whether there are no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}

impl FromIterator<LoadEntry> for LoadColumns {
    fn from_iter<I: IntoIterator<Item = LoadEntry>>(entries: I) -> Self {
        let mut columns = Self::default();
        for entry in entries {
            columns.endpoints.push(entry.endpoint);
            columns.active.push(entry.active);
            let pending = entry.pending_tokens.div_ceil(PENDING_STEP);
            columns.pending.push(pending);
            columns.attempts.push(entry.attempts);
            columns.failures.push(entry.failures);
            let silent = if entry.silent { SILENT } else { 0 };
            let heard = if entry.heard { HEARD } else { 0 };
            columns.flags.push(silent | heard);
        }
        columns
    }
}

/// What a team asks of one router and is served by it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DemandEntry {
    /// Hash of the team's name.
    pub team: u64,
    /// Tokens a second.
    pub tokens_per_s: u32,
    /// Tokens a second that it is served there.
    pub served_per_s: u32,
    /// Tokens a second that it asked in the last moments, see [`super::decide::shares::RECENT_WINDOW`].
    pub lately_per_s: u32,
}

/// Demands at one router, a column a field, rates in steps.
#[derive(Clone, PartialEq, Message)]
pub struct DemandColumns {
    #[prost(fixed64, repeated, tag = "1")]
    teams: Vec<u64>,
    #[prost(uint32, repeated, tag = "4")]
    asked: Vec<u32>,
    #[prost(uint32, repeated, tag = "5")]
    served: Vec<u32>,
    #[prost(uint32, repeated, tag = "6")]
    asked_recently: Vec<u32>,
}

impl DemandColumns {
    /// What a router tells of what teams ask of it and are served by it.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn of(flows: &BTreeMap<TeamKey, TeamFlow>) -> Self {
        let least = f64::from(RATE_STEP) / 2.0;
        let asking = flows.iter().filter(|(_, flow)| flow.asked >= least);
        asking
            .map(|(team, flow)| DemandEntry {
                team: team.hash(),
                tokens_per_s: flow.asked as u32,
                served_per_s: flow.served as u32,
                lately_per_s: flow.asked_recently as u32,
            })
            .collect()
    }

    /// The rows, as those of [`LoadColumns::entries`].
    pub fn entries(&self) -> impl Iterator<Item = DemandEntry> + '_ {
        let asked = self.asked.iter().zip(&self.asked_recently);
        let rates = asked.zip(&self.served);
        self.teams
            .iter()
            .zip(rates)
            .map(|(team, ((asked, lately), served))| DemandEntry {
                team: *team,
                tokens_per_s: asked.saturating_mul(RATE_STEP),
                served_per_s: served.saturating_mul(RATE_STEP),
                lately_per_s: lately.saturating_mul(RATE_STEP),
            })
    }
}

fn rate_steps(tokens_per_s: u32) -> u32 {
    tokens_per_s.saturating_add(RATE_STEP / 2) / RATE_STEP
}

impl FromIterator<DemandEntry> for DemandColumns {
    fn from_iter<I: IntoIterator<Item = DemandEntry>>(entries: I) -> Self {
        let mut columns = Self::default();
        for entry in entries {
            columns.teams.push(entry.team);
            columns.asked.push(rate_steps(entry.tokens_per_s));
            columns.served.push(rate_steps(entry.served_per_s));
            columns.asked_recently.push(rate_steps(entry.lately_per_s));
        }
        columns
    }
}

/// A request that was running when an endpoint crashed.
#[derive(Clone, PartialEq, Message)]
pub struct SuspectEntry {
    /// The endpoint's number.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// Its process that ended.
    #[prost(fixed64, tag = "2")]
    pub life: u64,
    /// The request.
    #[prost(fixed64, tag = "3")]
    pub fingerprint: u64,
}

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct RouterDigest {
    /// One life of the sender; later lives have higher numbers.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Grows within a life.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Whether the sender is shutting down.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Version of the routes that it knows; 0 for none.
    #[prost(uint64, tag = "4")]
    pub routes_version: u64,
    /// Store revision of the endpoints that it knows.
    #[prost(uint64, tag = "5")]
    pub endpoints_revision: u64,
    /// Its load.
    #[prost(message, required, tag = "6")]
    pub loads: LoadColumns,
    /// What teams ask of it.
    #[prost(message, required, tag = "7")]
    pub demands: DemandColumns,
    /// IP numbers of other routers.
    #[prost(string, repeated, tag = "8")]
    pub routers: Vec<String>,
    /// Whether the sender hears of all changes from the store itself.
    #[prost(bool, tag = "9")]
    pub in_touch: bool,
    /// Whether the sender tried to read the store and got no answer.
    #[prost(bool, tag = "10")]
    pub store_failing: bool,
    /// Suspects of late crashes.
    #[prost(message, repeated, tag = "11")]
    pub suspects: Vec<SuspectEntry>,
    /// Tokens a second that it turns away from full endpoints although within shares.
    #[prost(uint32, tag = "12")]
    pub turned_away_per_s: u32,
    /// Endpoints that left of late by its list, see [`super::decide::departures`].
    #[prost(fixed32, repeated, tag = "13")]
    pub left: Vec<u32>,
    /// Endpoints that said in answers that they leave, whatever list the sender has; see
    /// [`super::decide::notices`]. Hashes of their lives: what one is taken for stays so.
    #[prost(fixed64, repeated, tag = "14")]
    pub announced_leaving: Vec<u64>,
}
