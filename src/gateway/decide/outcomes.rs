//! Per-second counts of what became of each team's requests: which began at an endpoint, which were
//! sent beyond the share, and for which reason the others were refused.
//!
//! Load pattern: two teams exceed their shares and one gets several times as much as the other. The
//! counts tell whether the other one was refused by lagging routers, had used up its allowances, or
//! found no endpoint idle enough. A request that was sent may still not begin, for example at an
//! endpoint that stopped answering.

use std::collections::BTreeMap;
use std::fmt;

use super::super::routes::TeamKey;

/// Maximum number of teams in a log line, those with the most tokens first.
const MAX_TEAMS_LOGGED: usize = 8;

/// What became of a request. One request can have several outcomes: it is sent, and then it begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Its first output arrived.
    Begun,
    /// It was sent although its team had used up its share.
    SentBeyond,
    /// This router lagged so much that it refused all calls.
    RouterFull,
    /// The team had used up its share, and this router lagged.
    RouterLagging,
    /// The team had used up its share and its allowance beyond it.
    AllowanceUsedUp,
    /// The team had used up its share, and no endpoint was idle enough.
    EndpointsBusy,
    /// Within the share, but the predicted time to the first output exceeded the limit.
    EndpointsFull,
}

/// Number of the variants of [`RequestOutcome`].
pub const OUTCOMES: usize = RequestOutcome::EndpointsFull as usize + 1;

/// Tokens of a team's requests, by outcome.
type OutcomeRow = [f64; OUTCOMES];

/// Counts of all teams at this router since the last log line.
#[derive(Debug, Default)]
pub struct TeamOutcomes {
    rows: BTreeMap<TeamKey, OutcomeRow>,
}

impl TeamOutcomes {
    /// Counts a request of this many tokens.
    pub fn count(&mut self, team: &TeamKey, outcome: RequestOutcome, tokens: f64) {
        self.rows.entry(team.clone()).or_default()[outcome as usize] += tokens;
    }

    /// Takes the counts since the last call; `None` if nothing was counted.
    pub fn take(&mut self) -> Option<OutcomeLine> {
        if self.rows.is_empty() {
            return None;
        }
        let mut rows: Vec<(TeamKey, OutcomeRow)> =
            std::mem::take(&mut self.rows).into_iter().collect();
        let sum = |row: &OutcomeRow| row.iter().sum::<f64>();
        rows.sort_by(|left, right| sum(&right.1).total_cmp(&sum(&left.1)));
        rows.truncate(MAX_TEAMS_LOGGED);
        Some(OutcomeLine { rows })
    }
}

/// The counts as formatted in the log:
/// `flows=TEAM:BEGUN:SENT_BEYOND:ROUTER_FULL:ROUTER_LAGGING:ALLOWANCE_USED_UP:BUSY:FULL,...`, in
/// tokens.
#[derive(Debug)]
pub struct OutcomeLine {
    rows: Vec<(TeamKey, OutcomeRow)>,
}

impl fmt::Display for OutcomeLine {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "flows=")?;
        for (index, (team, row)) in self.rows.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            write!(formatter, "{comma}{team}")?;
            for tokens in row {
                write!(formatter, ":{tokens:.0}")?;
            }
        }
        Ok(())
    }
}
