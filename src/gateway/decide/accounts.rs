//! Per-second counts of what teams asked for, what was sent to endpoints and what failed.
//!
//! Load pattern: a few teams exceed their shares through many routers, and an operator later needs
//! to know what each of them got in which second. Rates over the share window ([`super::shares`]),
//! which is several seconds long, can't be split into seconds again, and log lines of single calls
//! are left out at peak load; exact counts per second can be summed over all routers.

use std::collections::BTreeMap;
use std::fmt;

use super::super::routes::TeamKey;

/// Maximum number of teams in a log line, those with the highest demand first. It is higher than
/// the number of teams that exceed their shares at the same time, and low enough for a line of one
/// kilobyte.
const MAX_TEAMS_LOGGED: usize = 16;

/// Counts of one team.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TeamAccount {
    /// Tokens of all its requests.
    pub asked: f64,
    /// Tokens of requests that were sent to endpoints.
    pub sent: f64,
    /// Unserved requests: those that were refused or had no output in time.
    pub short: u32,
}

/// Counts of all teams at this router since the last log line.
#[derive(Debug, Default)]
pub struct TeamAccounts {
    rows: BTreeMap<TeamKey, TeamAccount>,
    /// Size of the largest single request, in tokens.
    largest: f64,
}

impl TeamAccounts {
    fn row(&mut self, team: &TeamKey) -> &mut TeamAccount {
        self.rows.entry(team.clone()).or_default()
    }

    /// Counts the demand of an arriving request, in tokens.
    pub fn ask(&mut self, team: &TeamKey, tokens: f64) {
        self.row(team).asked += tokens;
        self.largest = self.largest.max(tokens);
    }

    /// Counts a request that was sent to an endpoint, in tokens.
    pub fn send(&mut self, team: &TeamKey, tokens: f64) {
        self.row(team).sent += tokens;
    }

    /// Counts a request that was refused or had no output in time.
    pub fn count_unserved(&mut self, team: &TeamKey) {
        self.row(team).short += 1;
    }

    /// Takes the counts since the last call; `None` if no team was counted.
    pub fn take(&mut self) -> Option<AccountLine> {
        if self.rows.is_empty() {
            return None;
        }
        let mut rows: Vec<(TeamKey, TeamAccount)> =
            std::mem::take(&mut self.rows).into_iter().collect();
        rows.sort_by(|left, right| right.1.asked.total_cmp(&left.1.asked));
        Some(AccountLine {
            rows,
            largest: std::mem::take(&mut self.largest),
        })
    }
}

/// The counts as formatted in the log: `teams=N largest=N flows=TEAM:ASKED:SENT:SHORT,...`, where
/// `teams` is the number of all counted teams, also of those that the line omits.
#[derive(Debug)]
pub struct AccountLine {
    rows: Vec<(TeamKey, TeamAccount)>,
    /// Size of the largest single request, in tokens.
    largest: f64,
}

impl fmt::Display for AccountLine {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { rows, largest } = self;
        write!(
            formatter,
            "teams={} largest={largest:.0} flows=",
            rows.len()
        )?;
        for (index, (team, account)) in rows.iter().take(MAX_TEAMS_LOGGED).enumerate() {
            let TeamAccount { asked, sent, short } = account;
            let comma = if index == 0 { "" } else { "," };
            write!(formatter, "{comma}{team}:{asked:.0}:{sent:.0}:{short}")?;
        }
        Ok(())
    }
}
