//! The gossip messages in which routers report their load to each other. Such a message is called a
//! digest (not in the sense of a hash).
//!
//! Each router sends a message to every other several times a second, so message size determines
//! the cost of gossip. Loads and demands are encoded as columns: a small number in a column takes a
//! byte or two per row, whereas one protobuf sub-message per row adds a tag per field. With 12
//! endpoints and 16 teams a digest has 410 bytes.
//!
//! Endpoints appear under three identifiers: the process hash
//! ([`EndpointProcess::hash`](super::routes::EndpointProcess::hash), 64 bits, of the key and the
//! start time), the process number (the low 32 bits of the process hash), and the endpoint's number
//! (the low 32 bits of [`EndpointKey::hash`](super::routes::EndpointKey::hash), the same for all
//! its processes).

use std::collections::BTreeMap;
use std::iter::repeat;

use prost::Message;

use crate::units::EndpointId;
use crate::units::RequestFingerprint;
use crate::units::TimeSpan;

use super::decide::crash_report::CrashReport;
use super::decide::crash_report::CrashSuspect;
use super::decide::crash_report::PartReport;
use super::decide::crash_report::PartSuspect;
use super::decide::crash_report::RefusedPart;
use super::decide::crash_report::RefusedRequest;
use super::decide::shares::TeamFlow;
use super::protocol::PartId;
use super::routes::TeamKey;
use super::stream_messages::BegunStreams;
use super::stream_messages::MixedEntry;
use super::stream_messages::RangeEntry;

/// Step in which pending prompt tokens are encoded, in tokens: about one millisecond of prefill.
const PENDING_STEP: u32 = 64;

/// Step in which teams' rates are encoded, in tokens per second, rounded to the nearest step. One
/// step is one request of the mean size, which is 3,840 tokens, every 30 s, so a router's usual
/// rates fit in a byte.
const RATE_STEP: u32 = 128;

/// Flag bit of [`LoadEntry::silent`].
const SILENT: u32 = 1;
/// Flag bit of [`LoadEntry::heard`].
const HEARD: u32 = 2;

/// The load of one router at one endpoint, with its health observations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadEntry {
    /// Process number of the endpoint (not the endpoint's number).
    pub endpoint: u32,
    /// Requests in progress.
    pub active: u32,
    /// Prompt tokens that wait for prefill.
    pub pending_tokens: u32,
    /// The sender's recent attempts at the endpoint, in hundredths of an attempt: counts decay with
    /// time, which makes them fractional.
    pub attempts: u32,
    /// Failed attempts among them, in hundredths of an attempt.
    pub failures: u32,
    /// True if the sender has waited for data from the endpoint for longer than a healthy one
    /// takes.
    pub silent: bool,
    /// True if the sender recently received data from the endpoint.
    pub heard: bool,
}

/// The loads of one router, one column per field.
#[derive(Clone, PartialEq, Message)]
pub struct LoadColumns {
    #[prost(fixed32, repeated, tag = "1")]
    endpoints: Vec<u32>,
    #[prost(uint32, repeated, tag = "2")]
    active: Vec<u32>,
    /// In units of `PENDING_STEP`, rounded up.
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
    /// Returns the rows. If the columns differ in length, rows end with the shortest one.
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

    /// Returns true if there are no rows.
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

/// The demand of a team at one router and the rate at which the router serves it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DemandEntry {
    /// Hash of the team's name.
    pub team: u64,
    /// Requested tokens per second.
    pub tokens_per_s: u32,
    /// Served tokens per second.
    pub served_per_s: u32,
    /// Tokens per second requested within [`super::decide::shares::RECENT_WINDOW`].
    pub recent_per_s: u32,
    /// Tokens per second refused unseen within that window, since the router lagged.
    pub unseen_per_s: u32,
    /// Tokens per second served within the team's share.
    pub within_per_s: u32,
}

/// The demands at one router, one column per field; rates are in units of `RATE_STEP`.
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
    /// Empty if nothing was refused unseen, as at most routers at most times.
    #[prost(uint32, repeated, tag = "7")]
    unseen: Vec<u32>,
    /// Empty if no team was limited to its share.
    #[prost(uint32, repeated, tag = "8")]
    within: Vec<u32>,
}

impl DemandColumns {
    /// Encodes the teams' flows at a router. Teams whose demand rounds to zero, seen and unseen, are
    /// left out.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn of(flows: &BTreeMap<TeamKey, TeamFlow>) -> Self {
        let least = f64::from(RATE_STEP) / 2.0;
        let asking = flows
            .iter()
            .filter(|(_, flow)| flow.asked >= least || flow.unseen >= least);
        asking
            .map(|(team, flow)| DemandEntry {
                team: team.hash(),
                tokens_per_s: flow.asked as u32,
                served_per_s: flow.served as u32,
                recent_per_s: flow.asked_recently as u32,
                unseen_per_s: flow.unseen as u32,
                within_per_s: flow.within as u32,
            })
            .collect()
    }

    /// Returns the rows; columns of different lengths are treated as in [`LoadColumns::entries`].
    pub fn entries(&self) -> impl Iterator<Item = DemandEntry> + '_ {
        let asked = self.asked.iter().zip(&self.asked_recently);
        let rates = asked.zip(&self.served);
        let others = or_zeros(&self.unseen).zip(or_zeros(&self.within));
        self.teams.iter().zip(rates).zip(others).map(
            |((team, ((asked, recent), served)), (unseen, within))| DemandEntry {
                team: *team,
                tokens_per_s: asked.saturating_mul(RATE_STEP),
                served_per_s: served.saturating_mul(RATE_STEP),
                recent_per_s: recent.saturating_mul(RATE_STEP),
                unseen_per_s: unseen.saturating_mul(RATE_STEP),
                within_per_s: within.saturating_mul(RATE_STEP),
            },
        )
    }
}

/// The values of a column that is empty if all its values are zero.
fn or_zeros(column: &[u32]) -> impl Iterator<Item = u32> + '_ {
    column.iter().copied().chain(repeat(0))
}

fn clear_zeros(column: &mut Vec<u32>) {
    if column.iter().all(|steps| *steps == 0) {
        column.clear();
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
            columns.asked_recently.push(rate_steps(entry.recent_per_s));
            columns.unseen.push(rate_steps(entry.unseen_per_s));
            columns.within.push(rate_steps(entry.within_per_s));
        }
        clear_zeros(&mut columns.unseen);
        clear_zeros(&mut columns.within);
        columns
    }
}

/// When another router was last known to be in contact with the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SightingEntry {
    /// The router's process, see [`RouterProcess`](super::sightings::RouterProcess).
    pub router: u64,
    /// Sequence number of the message in which it said so.
    pub sequence: u64,
    /// Time since then, in ms.
    pub age_ms: u32,
}

/// Sightings of routers in contact with the store, one column per field.
#[derive(Clone, PartialEq, Message)]
pub struct SightingColumns {
    #[prost(fixed64, repeated, tag = "1")]
    processes: Vec<u64>,
    #[prost(uint64, repeated, tag = "2")]
    sequences: Vec<u64>,
    #[prost(uint32, repeated, tag = "3")]
    ages_ms: Vec<u32>,
}

impl SightingColumns {
    /// Returns the rows. If the columns differ in length, rows end with the shortest one.
    pub fn entries(&self) -> impl Iterator<Item = SightingEntry> + '_ {
        let messages = self.sequences.iter().zip(&self.ages_ms);
        self.processes
            .iter()
            .zip(messages)
            .map(|(router, (sequence, age_ms))| SightingEntry {
                router: *router,
                sequence: *sequence,
                age_ms: *age_ms,
            })
    }
}

impl FromIterator<SightingEntry> for SightingColumns {
    fn from_iter<I: IntoIterator<Item = SightingEntry>>(entries: I) -> Self {
        let mut columns = Self::default();
        for entry in entries {
            columns.processes.push(entry.router);
            columns.sequences.push(entry.sequence);
            columns.ages_ms.push(entry.age_ms);
        }
        columns
    }
}

/// A request that was running when an endpoint crashed, and so may have caused the crash.
#[derive(Clone, PartialEq, Message)]
pub struct SuspectEntry {
    /// The endpoint's number.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// Process hash of the endpoint's process that crashed.
    #[prost(fixed64, tag = "2")]
    pub process_hash: u64,
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "3")]
    pub fingerprint: u64,
}

impl SuspectEntry {
    fn of(suspect: &CrashSuspect) -> Self {
        Self {
            endpoint: suspect.endpoint.0,
            process_hash: suspect.life,
            fingerprint: suspect.fingerprint.0,
        }
    }

    fn decode(&self) -> CrashSuspect {
        CrashSuspect {
            endpoint: EndpointId(self.endpoint),
            life: self.process_hash,
            fingerprint: RequestFingerprint(self.fingerprint),
        }
    }
}

/// A request that is refused since it was running in too many crashes.
#[derive(Clone, PartialEq, Message)]
pub struct RefusedEntry {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Seconds for which it is still refused, rounded down.
    #[prost(uint32, tag = "2")]
    pub left_s: u32,
}

impl RefusedEntry {
    fn of(request: &RefusedRequest) -> Self {
        Self {
            fingerprint: request.fingerprint.0,
            left_s: whole_seconds(request.left),
        }
    }

    fn decode(&self) -> RefusedRequest {
        RefusedRequest {
            fingerprint: RequestFingerprint(self.fingerprint),
            left: TimeSpan::from_millis(u64::from(self.left_s) * 1_000),
        }
    }
}

/// A part of a lost request's prompt that may have caused a crash.
#[derive(Clone, PartialEq, Message)]
pub struct PartSuspectEntry {
    /// Process hash of the endpoint's process that crashed.
    #[prost(fixed64, tag = "1")]
    pub process_hash: u64,
    /// Identifier of the part.
    #[prost(fixed64, tag = "2")]
    pub part: u64,
    /// Its place in the prompt, counted from 0.
    #[prost(uint32, tag = "3")]
    pub place: u32,
}

impl PartSuspectEntry {
    fn of(suspect: &PartSuspect) -> Self {
        Self {
            process_hash: suspect.process,
            part: suspect.part.0,
            place: suspect.place,
        }
    }

    fn decode(&self) -> PartSuspect {
        PartSuspect {
            process: self.process_hash,
            part: PartId(self.part),
            place: self.place,
        }
    }
}

/// A part that is refused since it was in too many crashes.
#[derive(Clone, PartialEq, Message)]
pub struct RefusedPartEntry {
    /// Identifier of the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Seconds for which it is still refused, rounded down.
    #[prost(uint32, tag = "2")]
    pub left_s: u32,
}

impl RefusedPartEntry {
    fn of(refused: &RefusedPart) -> Self {
        Self {
            part: refused.part.0,
            left_s: whole_seconds(refused.left),
        }
    }

    fn decode(&self) -> RefusedPart {
        RefusedPart {
            part: PartId(self.part),
            left: TimeSpan::from_millis(u64::from(self.left_s) * 1_000),
        }
    }
}

fn whole_seconds(span: TimeSpan) -> u32 {
    u32::try_from(span.as_millis() / 1_000).unwrap_or(u32::MAX)
}

/// The content of one gossip datagram.
///
/// A message without a sequence number only tells of streams: fields 20 to 23 and 27. An earlier
/// program takes it for an outdated digest.
#[derive(Clone, PartialEq, Message)]
pub struct RouterDigest {
    /// Incarnation of the sender: a number made from the start time and a random part, so that
    /// later incarnations have higher numbers.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Sequence number of the message, which grows within an incarnation.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// True if the sender is shutting down.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Version of the sender's routes; 0 for none.
    #[prost(uint64, tag = "4")]
    pub routes_version: u64,
    /// Store revision of the sender's endpoint list.
    #[prost(uint64, tag = "5")]
    pub endpoints_revision: u64,
    /// The sender's load by endpoint.
    #[prost(message, required, tag = "6")]
    pub loads: LoadColumns,
    /// The teams' demand at the sender.
    #[prost(message, required, tag = "7")]
    pub demands: DemandColumns,
    /// IP addresses of other routers.
    #[prost(string, repeated, tag = "8")]
    pub routers: Vec<String>,
    /// True if the sender is in contact with the store, that is, reads all changes from it
    /// directly.
    #[prost(bool, tag = "9")]
    pub in_touch: bool,
    /// True if the sender's last call to the store failed.
    #[prost(bool, tag = "10")]
    pub store_failing: bool,
    /// Requests suspected of recent crashes.
    #[prost(message, repeated, tag = "11")]
    pub suspects: Vec<SuspectEntry>,
    /// Tokens per second that the sender turns away although they are within shares, since
    /// endpoints are full.
    #[prost(uint32, tag = "12")]
    pub turned_away_per_s: u32,
    /// Process numbers of endpoints that recently left according to the sender's list, see
    /// [`super::decide::departures`].
    #[prost(fixed32, repeated, tag = "13")]
    pub left: Vec<u32>,
    /// Endpoints that announced in answers that they are leaving, whichever list the sender has;
    /// see [`super::decide::notices`]. These are process hashes; a process that is leaving never
    /// becomes available again.
    #[prost(fixed64, repeated, tag = "14")]
    pub announced_leaving: Vec<u64>,
    /// Process hashes of endpoints whose process ended recently without leaving, see
    /// [`super::decide::process_ends`].
    #[prost(fixed64, repeated, tag = "15")]
    pub ended: Vec<u64>,
    /// Requests that are refused since they were running in too many crashes.
    #[prost(message, repeated, tag = "16")]
    pub refused: Vec<RefusedEntry>,
    /// Fingerprints of suspects that were answered whole since.
    #[prost(fixed64, repeated, tag = "17")]
    pub answered: Vec<u64>,
    /// Routers that were lately in contact with the store; none in a small fleet, in which all hear
    /// from each other directly.
    #[prost(message, optional, tag = "18")]
    pub sightings: Option<SightingColumns>,
    /// Process numbers of all endpoints that take work according to the sender's list; empty unless
    /// the sender had no list before and others have an older one, see
    /// [`super::decide::departures`].
    #[prost(fixed32, repeated, tag = "19")]
    pub listed: Vec<u32>,
    /// Streams that began through the sender, or that it was asked for and knows, see
    /// [`super::decide::stream_origins`].
    #[prost(message, repeated, tag = "20")]
    pub begun: Vec<BegunStreams>,
    /// Services whose endpoints had several software versions lately.
    #[prost(message, repeated, tag = "21")]
    pub mixed: Vec<MixedEntry>,
    /// Numbers of the streams that the receiver is asked for.
    #[prost(fixed64, repeated, tag = "22")]
    pub asked_streams: Vec<u64>,
    /// Numbers of the streams that the sender was asked for and doesn't know.
    #[prost(fixed64, repeated, tag = "23")]
    pub unknown_streams: Vec<u64>,
    /// Parts of prompts that are suspected of recent crashes.
    #[prost(message, repeated, tag = "24")]
    pub part_suspects: Vec<PartSuspectEntry>,
    /// Parts that are refused since they were in too many crashes.
    #[prost(message, repeated, tag = "25")]
    pub refused_parts: Vec<RefusedPartEntry>,
    /// Identifiers of suspected parts on which an endpoint has answered since.
    #[prost(fixed64, repeated, tag = "26")]
    pub answered_parts: Vec<u64>,
    /// Streams that began through the sender and that the receiver tells others of if the sender
    /// falls silent, see [`super::decide::stream_deposits`]. The incarnation is set.
    #[prost(message, repeated, tag = "27")]
    pub deposited: Vec<BegunStreams>,
    /// For how long streams may still be resumed that began before anybody known to the sender knew
    /// the software versions, in ms, rounded up; none before the sender's first list. See
    /// [`super::decide::version_history`].
    #[prost(uint32, optional, tag = "28")]
    pub past_unknown_ms: Option<u32>,
    /// Streams that began at known versions by their numbers, after all routers were killed.
    #[prost(message, repeated, tag = "29")]
    pub ranges: Vec<RangeEntry>,
}

impl RouterDigest {
    /// Returns true if it only tells of streams.
    #[must_use]
    pub fn is_stream_message(&self) -> bool {
        self.sequence == 0
    }

    /// Returns this digest with a report on crashes.
    #[must_use]
    pub fn with_crash_report(self, report: &CrashReport) -> Self {
        let parts = &report.parts;
        Self {
            suspects: report.suspects.iter().map(SuspectEntry::of).collect(),
            ended: report.ended.clone(),
            refused: report.refused.iter().map(RefusedEntry::of).collect(),
            answered: report.answered.iter().map(|request| request.0).collect(),
            part_suspects: parts.suspects.iter().map(PartSuspectEntry::of).collect(),
            refused_parts: parts.refused.iter().map(RefusedPartEntry::of).collect(),
            answered_parts: parts.answered.iter().map(|part| part.0).collect(),
            ..self
        }
    }

    /// Returns the sender's report on crashes.
    #[must_use]
    pub fn crash_report(&self) -> CrashReport {
        CrashReport {
            suspects: self.suspects.iter().map(SuspectEntry::decode).collect(),
            ended: self.ended.clone(),
            refused: self.refused.iter().map(RefusedEntry::decode).collect(),
            answered: self
                .answered
                .iter()
                .copied()
                .map(RequestFingerprint)
                .collect(),
            parts: self.part_report(),
        }
    }

    fn part_report(&self) -> PartReport {
        let suspects = self.part_suspects.iter().map(PartSuspectEntry::decode);
        let refused = self.refused_parts.iter().map(RefusedPartEntry::decode);
        PartReport {
            suspects: suspects.collect(),
            refused: refused.collect(),
            answered: self.answered_parts.iter().copied().map(PartId).collect(),
        }
    }
}
