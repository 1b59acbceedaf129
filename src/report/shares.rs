//! How close each team came to less than half of the tokens it was owed, from the per-second counts
//! in the routers' logs.
//!
//! A team with unserved requests in every second of a span is compared with each other team. It is
//! owed half of the sum over these seconds of what it asked for or what the other team got,
//! whichever is less. What a team got is counted when its requests are sent to endpoints, or when
//! their output begins. Three of the largest requests are subtracted, because only whole requests can
//! be served and the comparison may be off by that much.

use std::collections::BTreeMap;

use serde::Serialize;
use smol_str::SmolStr;

use crate::gateway::decide::outcomes::OUTCOMES;

use super::calls::LogLine;

/// Tolerance of a comparison, in requests of the largest size.
const SLACK_REQUESTS: f64 = 3.0;

/// Fraction of the lesser of the two amounts that a team is owed.
const OWED_FRACTION: f64 = 0.5;

/// The span and other team for which a team got least compared with what it was owed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ShareMargin {
    /// The team.
    pub team: SmolStr,
    /// The team with which it is compared.
    pub against: SmolStr,
    /// Start of the span, in seconds since midnight.
    pub from_s: i64,
    /// Tokens of the team's requests.
    pub asked: f64,
    /// Tokens of its requests that were served, see [`ServiceCount`].
    pub got: f64,
    /// Tokens of the other team's requests that were served.
    pub other_got: f64,
    /// Tokens that the team was owed.
    pub owed: f64,
    /// Ratio of `got` to `owed`. Below 1 the team got too little.
    pub margin: f64,
}

/// Which requests count as served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceCount {
    /// Those that were sent to endpoints, from the routers' `teams:` lines.
    Sent,
    /// Those whose output began, from the routers' `outcomes:` lines.
    Begun,
}

#[derive(Debug, Clone, Copy, Default)]
struct TeamSecond {
    asked: f64,
    got: f64,
    short: u64,
}

/// Sums of all routers' counts, by team and second since midnight.
#[derive(Debug, Default)]
struct AccountTable {
    teams: BTreeMap<SmolStr, BTreeMap<i64, TeamSecond>>,
    seconds: Option<(i64, i64)>,
    largest: f64,
}

impl AccountTable {
    fn add(&mut self, line: &LogLine, count: ServiceCount) {
        let (Some(flows), Some(span_ms)) = (line.field("flows"), line.number("span_ms")) else {
            return;
        };
        #[allow(clippy::cast_possible_truncation)]
        let middle_ms = line.day_ms() - (span_ms / 2.0) as i64;
        let second = middle_ms.div_euclid(1_000);
        match (line.part.as_str(), count) {
            ("teams", _) => self.add_account(line, second, flows, count),
            ("outcomes", ServiceCount::Begun) => self.add_begun(second, flows),
            _ => {}
        }
    }

    fn add_account(&mut self, line: &LogLine, second: i64, flows: &str, count: ServiceCount) {
        let largest = line.number("largest").unwrap_or_default();
        self.largest = self.largest.max(largest);
        let (first, last) = self.seconds.unwrap_or((second, second));
        self.seconds = Some((first.min(second), last.max(second)));
        for (team, counts) in flows.split(',').filter_map(read_flow) {
            let sum = self.row(team, second);
            sum.asked += counts.asked;
            sum.short += counts.short;
            if count == ServiceCount::Sent {
                sum.got += counts.got;
            }
        }
    }

    fn add_begun(&mut self, second: i64, flows: &str) {
        for (team, begun) in flows.split(',').filter_map(read_begun) {
            self.row(team, second).got += begun;
        }
    }

    fn row(&mut self, team: SmolStr, second: i64) -> &mut TeamSecond {
        let seconds = self.teams.entry(team).or_default();
        seconds.entry(second).or_default()
    }

    fn at(&self, team: &SmolStr, second: i64) -> TeamSecond {
        let seconds = self.teams.get(team);
        let counts = seconds.and_then(|seconds| seconds.get(&second));
        counts.copied().unwrap_or_default()
    }

    fn always_unserved(&self, team: &SmolStr, from: i64, span_s: i64) -> bool {
        (from..from + span_s).all(|second| self.at(team, second).short > 0)
    }

    fn margin(
        &self,
        team: &SmolStr,
        against: &SmolStr,
        from: i64,
        span_s: i64,
    ) -> Option<ShareMargin> {
        let mut lesser = 0.0;
        let mut asked = 0.0;
        let mut got = 0.0;
        let mut other_got = 0.0;
        for second in from..from + span_s {
            let (own, other) = (self.at(team, second), self.at(against, second));
            lesser += own.asked.min(other.got);
            asked += own.asked;
            got += own.got;
            other_got += other.got;
        }
        let owed = OWED_FRACTION * lesser - SLACK_REQUESTS * self.largest;
        (owed > 0.0).then(|| ShareMargin {
            team: team.clone(),
            against: against.clone(),
            from_s: from,
            asked,
            got,
            other_got,
            owed,
            margin: got / owed,
        })
    }

    /// Returns the smallest margin of a team over all spans and other teams.
    fn least(&self, team: &SmolStr, span_s: i64) -> Option<ShareMargin> {
        let (first, last) = self.seconds?;
        let starts =
            (first..=last - span_s + 1).filter(|from| self.always_unserved(team, *from, span_s));
        let margins = starts.flat_map(|from| {
            let others = self.teams.keys().filter(move |other| *other != team);
            others.filter_map(move |other| self.margin(team, other, from, span_s))
        });
        margins.min_by(|left, right| left.margin.total_cmp(&right.margin))
    }
}

/// Parses `TEAM:ASKED:SENT:SHORT`. The name of the team may contain colons.
fn read_flow(flow: &str) -> Option<(SmolStr, TeamSecond)> {
    let mut fields = flow.rsplitn(4, ':');
    let short = fields.next()?.parse().ok()?;
    let got = fields.next()?.parse().ok()?;
    let asked = fields.next()?.parse().ok()?;
    let team = SmolStr::new(fields.next()?);
    Some((team, TeamSecond { asked, got, short }))
}

/// Parses the team and the first count, the begun tokens, of an entry of an
/// [`OutcomeLine`](crate::gateway::decide::outcomes::OutcomeLine).
fn read_begun(flow: &str) -> Option<(SmolStr, f64)> {
    let mut fields = flow.rsplitn(OUTCOMES + 1, ':');
    let begun = fields.nth(OUTCOMES - 1)?.parse().ok()?;
    let team = SmolStr::new(fields.next()?);
    Some((team, begun))
}

/// Returns the smallest margin of each team that had unserved requests in every second of a span of
/// `span_s` seconds. The smallest margin comes first.
#[must_use]
pub fn share_margins(lines: &[LogLine], span_s: u32, count: ServiceCount) -> Vec<ShareMargin> {
    let mut table = AccountTable::default();
    for line in lines {
        table.add(line, count);
    }
    let teams = table.teams.keys();
    let mut margins: Vec<ShareMargin> = teams
        .filter_map(|team| table.least(team, i64::from(span_s)))
        .collect();
    margins.sort_by(|left, right| left.margin.total_cmp(&right.margin));
    margins
}
