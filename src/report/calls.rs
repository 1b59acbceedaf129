//! Analysis of calls in gateways' logs: everything logged about one call, and counts of failed and
//! late calls.
//!
//! Needs only the log lines and no running router, so that it also works for routers that no
//! longer exist.

use std::collections::BTreeMap;

use serde::Serialize;
use smol_str::SmolStr;

/// Length in bytes of the timestamp of a line, such as `2026-08-06T07:06:08.101+00:00`.
const TIME_LENGTH: usize = 29;

/// Log lines about the state of the router or endpoint are shown with a call if they were written
/// at most this many milliseconds before or after the call's last line.
const NEARBY_WINDOW_MS: i64 = 2_000;

/// One log line of a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LogLine {
    /// Name of the log file.
    pub source: SmolStr,
    /// Timestamp, as written in the log.
    pub time: SmolStr,
    /// Part of the router that wrote the line: the prefix of the message.
    pub part: SmolStr,
    /// The message after the prefix.
    pub text: String,
}

impl LogLine {
    /// Parses a line; `None` if it was not written by a router. Text before the timestamp is
    /// skipped, because log collectors add their own fields there.
    #[must_use]
    pub fn read(source: &SmolStr, line: &str) -> Option<Self> {
        let time = line.split_whitespace().find(|word| is_time(word))?;
        let begin = line.find(time)?;
        let after_time = line[begin + time.len()..].trim_start();
        let (_level, said) = after_time.split_once(' ')?;
        let (part, text) = said.split_once(": ")?;
        Some(Self {
            source: source.clone(),
            time: SmolStr::new(time),
            part: SmolStr::new(part),
            text: text.trim_end().to_owned(),
        })
    }

    /// Returns the value of the field `name`.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut rest = self.text.as_str();
        loop {
            let (key, after) = rest.split_once('=')?;
            let key = key.rsplit(' ').next().unwrap_or_default();
            let (value, next) = match after.strip_prefix('"') {
                Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
                None => after.split_once(' ').unwrap_or((after, "")),
            };
            if key == name {
                return Some(value);
            }
            rest = next;
        }
    }

    /// Returns the value of the field `name` as a number.
    pub(super) fn number(&self, name: &str) -> Option<f64> {
        self.field(name)?.parse().ok()
    }

    /// Returns the time of day in milliseconds, to sort and compare lines.
    pub(super) fn day_ms(&self) -> i64 {
        let digits = |from: usize, to: usize| -> i64 {
            let text = self.time.get(from..to).unwrap_or_default();
            text.parse().unwrap_or_default()
        };
        let minutes = digits(11, 13) * 60 + digits(14, 16);
        (minutes * 60 + digits(17, 19)) * 1_000 + digits(20, 23)
    }
}

fn is_time(word: &str) -> bool {
    let bytes = word.as_bytes();
    bytes.len() == TIME_LENGTH && bytes[10] == b'T' && bytes[4] == b'-' && bytes[19] == b'.'
}

/// Log lines of a call and its surroundings, in order of time, with an explanation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct CallExplanation {
    /// The lines with the call's id.
    pub lines: Vec<LogLine>,
    /// Other lines of the same router, and lines about the call's endpoint, from about the same
    /// time.
    pub nearby: Vec<LogLine>,
    /// Explanation of the call's cause in a sentence.
    pub meaning: Option<&'static str>,
}

/// Finds the lines about a call in the logs of all routers.
#[must_use]
pub fn explain_call(lines: &[LogLine], id: &str) -> CallExplanation {
    let named = lines
        .iter()
        .filter(|line| line.field("id") == Some(id) || line.field("call") == Some(id));
    let mut named: Vec<LogLine> = named.cloned().collect();
    named.sort_by_key(LogLine::day_ms);
    let Some(last) = named.last() else {
        return CallExplanation::default();
    };
    let mut nearby: Vec<LogLine> = lines
        .iter()
        .filter(|line| is_near(line, last))
        .cloned()
        .collect();
    nearby.sort_by_key(LogLine::day_ms);
    CallExplanation {
        meaning: last.field("cause").and_then(meaning),
        nearby,
        lines: named,
    }
}

/// Checks whether a line is about the call's router or endpoint at about the time of the call.
fn is_near(line: &LogLine, call: &LogLine) -> bool {
    if (line.day_ms() - call.day_ms()).abs() > NEARBY_WINDOW_MS || line.part == "calls" {
        return false;
    }
    let endpoint = call.field("endpoint");
    let is_endpoints = endpoint.is_some() && line.field("key") == endpoint;
    let is_routers = line.source == call.source && line.part != "endpoint";
    is_endpoints || is_routers
}

/// Explains the `cause` field of a call to an operator.
fn meaning(cause: &str) -> Option<&'static str> {
    Some(match cause {
        "answered" => "The caller has an endpoint's answer.",
        "over_share" => {
            "Its team was beyond its share and no endpoint was idle enough for more. Compare \
             predicted_ms with objective_ms, and the team's rows in `losses --by team`."
        }
        "overload" => {
            "No endpoint would have answered in time. If other routers had room, look at this \
             one's link and lateness; if none had, the endpoints are full."
        }
        "no_endpoint" => "No endpoint of the service was registered as ready.",
        "quarantined" => "The same request was running in several crashes of endpoints.",
        "router is full" => "The router had no descriptors left, or its timers were late.",
        "no routes yet" => "The process was new and had not heard from the store or a peer.",
        "shutting down" => "The router was on its way out.",
        "time up" => "The endpoint was silent until the caller's deadline or the route's timeout.",
        "caller left" => "The caller closed its connection before the answer was complete.",
        "endpoint refused" => "The endpoint said that it did not run it, and no retry was left.",
        "endpoints not reached" => "No connection to any of the endpoints tried was made in time.",
        "endpoint started again" => "The endpoint's process ended while it worked on the request.",
        "unknown key" => "The caller's key is in no configuration that this router knew.",
        "no route" => "No route of the configuration in force has this host and path.",
        _ => return None,
    })
}

/// The field by which calls are grouped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossGroup {
    /// The logged cause of the outcome.
    Cause,
    /// The team.
    Team,
    /// The route.
    Route,
    /// The last endpoint tried.
    Endpoint,
    /// The router.
    Router,
    /// The second in which the call was logged, as `HH:MM:SS`.
    Second,
}

impl LossGroup {
    /// All names that [`Self::named`] accepts.
    pub const NAMES: [&str; 6] = ["cause", "team", "route", "endpoint", "router", "second"];

    /// Returns the group with this name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        Some(match name {
            "cause" => Self::Cause,
            "team" => Self::Team,
            "route" => Self::Route,
            "endpoint" => Self::Endpoint,
            "router" => Self::Router,
            "second" => Self::Second,
            _ => return None,
        })
    }

    fn of(self, line: &LogLine) -> SmolStr {
        let value = match self {
            Self::Cause => line.field("cause"),
            Self::Team => line.field("team"),
            Self::Route => line.field("route"),
            Self::Endpoint => line.field("endpoint"),
            Self::Router => Some(line.source.as_str()),
            Self::Second => line.time.get(11..19),
        };
        SmolStr::new(value.unwrap_or("-"))
    }
}

/// Counts of the calls of one group.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LossRow {
    /// The value that all calls of the group share.
    pub group: SmolStr,
    /// Number of all calls.
    pub calls: u64,
    /// Answered, with the first output within the objective.
    pub in_time: u64,
    /// Answered, with the first output later than the objective.
    pub late: u64,
    /// Refused without running, while the team was within its share.
    pub refused: u64,
    /// Refused without running, while the team was beyond its share.
    pub refused_beyond: u64,
    /// Ended in another way.
    pub failed: u64,
    /// Prompt tokens of all calls.
    pub prompt_tokens: u64,
    /// Prompt tokens in shared prompt parts that endpoints were expected to prefill again.
    pub reread_tokens: u64,
}

/// Counts calls by group. The group with the most calls that were not answered in time comes
/// first.
#[must_use]
pub fn losses(lines: &[LogLine], group: LossGroup) -> Vec<LossRow> {
    let mut rows: BTreeMap<SmolStr, LossRow> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.part == "calls") {
        let Some(status) = line.number("status") else {
            continue;
        };
        let name = group.of(line);
        let row = rows.entry(name.clone()).or_default();
        row.group = name;
        count(row, line, status);
    }
    let mut rows: Vec<LossRow> = rows.into_values().collect();
    rows.sort_by_key(|row| std::cmp::Reverse(row.calls - row.in_time));
    rows
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn count(row: &mut LossRow, line: &LogLine, status: f64) {
    let number = |name| line.number(name).unwrap_or_default();
    let is_beyond = line.field("standing") == Some("beyond");
    row.calls += 1;
    row.prompt_tokens += number("prompt") as u64;
    row.reread_tokens += number("reread") as u64;
    match status as u16 {
        200..=299 if number("first_ms") <= number("objective_ms") => row.in_time += 1,
        200..=299 => row.late += 1,
        408 | 421 | 429 | 503 if is_beyond => row.refused_beyond += 1,
        408 | 421 | 429 | 503 => row.refused += 1,
        _ => row.failed += 1,
    }
}
