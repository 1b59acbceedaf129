//! What teams asked, were sent and waited for, second by second.
//!
//! The load that this answers: a few teams press through many routers, and somebody asks afterwards
//! what each of them got in which second. Rates over the window of shares can't be taken apart
//! again, and lines of single calls are left out where most calls are; exact counts of each second
//! add up over all routers.

use std::collections::BTreeMap;
use std::fmt;

use super::super::routes::TeamKey;

/// Teams that a line names: those that asked most. More than press at a time, and few enough for a
/// line of a kilobyte.
const LINE_TEAMS: usize = 16;

/// What a team asked and got.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TeamAccount {
    /// Tokens asked.
    pub asked: f64,
    /// Tokens of requests that were sent to endpoints.
    pub sent: f64,
    /// Requests that were refused or had no output in time.
    pub short: u32,
}

/// What all teams asked and got at this router since the last line.
#[derive(Debug, Default)]
pub struct TeamAccounts {
    rows: BTreeMap<TeamKey, TeamAccount>,
    largest: f64,
}

impl TeamAccounts {
    fn row(&mut self, team: &TeamKey) -> &mut TeamAccount {
        self.rows.entry(team.clone()).or_default()
    }

    /// Counts a request that came.
    pub fn ask(&mut self, team: &TeamKey, tokens: f64) {
        self.row(team).asked += tokens;
        self.largest = self.largest.max(tokens);
    }

    /// Counts a request that was sent to an endpoint.
    pub fn send(&mut self, team: &TeamKey, tokens: f64) {
        self.row(team).sent += tokens;
    }

    /// Counts a request that was refused or had no output in time.
    pub fn fall_short(&mut self, team: &TeamKey) {
        self.row(team).short += 1;
    }

    /// What was counted since it was last taken; nothing if no team asked.
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

/// An account as its log line has it: `flows=TEAM:ASKED:SENT:SHORT,...`.
#[derive(Debug)]
pub struct AccountLine {
    rows: Vec<(TeamKey, TeamAccount)>,
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
        for (index, (team, account)) in rows.iter().take(LINE_TEAMS).enumerate() {
            let TeamAccount { asked, sent, short } = account;
            let comma = if index == 0 { "" } else { "," };
            write!(formatter, "{comma}{team}:{asked:.0}:{sent:.0}:{short}")?;
        }
        Ok(())
    }
}
