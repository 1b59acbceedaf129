//! How near teams came to less than half of what they were owed, from the routers' accounts.
//!
//! A team that waits all through a span is owed half of what it asked or of what another team got,
//! whichever is less, second by second. Three of the largest requests are allowed for: what a
//! comparison of whole requests may be off by.

use std::collections::BTreeMap;

use serde::Serialize;
use smol_str::SmolStr;

use super::calls::LogLine;

/// Requests of the largest size by which a comparison may be off.
const SLACK_REQUESTS: f64 = 3.0;

/// Part of the lesser of two amounts that is owed.
const OWED_PART: f64 = 0.5;

/// The span of a team in which it got least of what it was owed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ShareMargin {
    /// The team.
    pub team: SmolStr,
    /// The team that it is compared with.
    pub against: SmolStr,
    /// Second of the day in which the span begins.
    pub from_s: i64,
    /// Tokens that the team asked.
    pub asked: f64,
    /// Tokens that it got.
    pub got: f64,
    /// Tokens that the other team got.
    pub other_got: f64,
    /// Tokens that it was owed.
    pub owed: f64,
    /// What it got against what it was owed. Below 1 it got too little.
    pub margin: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct TeamSecond {
    asked: f64,
    sent: f64,
    short: u64,
}

/// All routers' accounts, by team and second of the day.
#[derive(Debug, Default)]
struct AccountTable {
    teams: BTreeMap<SmolStr, BTreeMap<i64, TeamSecond>>,
    seconds: Option<(i64, i64)>,
    largest: f64,
}

impl AccountTable {
    fn add(&mut self, line: &LogLine) {
        let (Some(flows), Some(span_ms)) = (line.field("flows"), line.number("span_ms")) else {
            return;
        };
        #[allow(clippy::cast_possible_truncation)]
        let middle_ms = line.day_ms() - (span_ms / 2.0) as i64;
        let second = middle_ms.div_euclid(1_000);
        let largest = line.number("largest").unwrap_or_default();
        self.largest = self.largest.max(largest);
        let (first, last) = self.seconds.unwrap_or((second, second));
        self.seconds = Some((first.min(second), last.max(second)));
        for flow in flows.split(',') {
            self.add_flow(second, flow);
        }
    }

    fn add_flow(&mut self, second: i64, flow: &str) {
        let Some((team, counts)) = read_flow(flow) else {
            return;
        };
        let seconds = self.teams.entry(team).or_default();
        let sum: &mut TeamSecond = seconds.entry(second).or_default();
        sum.asked += counts.asked;
        sum.sent += counts.sent;
        sum.short += counts.short;
    }

    fn at(&self, team: &SmolStr, second: i64) -> TeamSecond {
        let seconds = self.teams.get(team);
        let counts = seconds.and_then(|seconds| seconds.get(&second));
        counts.copied().unwrap_or_default()
    }

    fn waited(&self, team: &SmolStr, from: i64, span_s: i64) -> bool {
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
            lesser += own.asked.min(other.sent);
            asked += own.asked;
            got += own.sent;
            other_got += other.sent;
        }
        let owed = OWED_PART * lesser - SLACK_REQUESTS * self.largest;
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

    /// The least margin of a team over all spans and other teams.
    fn least(&self, team: &SmolStr, span_s: i64) -> Option<ShareMargin> {
        let (first, last) = self.seconds?;
        let starts = (first..=last - span_s + 1).filter(|from| self.waited(team, *from, span_s));
        let margins = starts.flat_map(|from| {
            let others = self.teams.keys().filter(move |other| *other != team);
            others.filter_map(move |other| self.margin(team, other, from, span_s))
        });
        margins.min_by(|left, right| left.margin.total_cmp(&right.margin))
    }
}

/// Reads `TEAM:ASKED:SENT:SHORT`. The team's name may hold colons itself.
fn read_flow(flow: &str) -> Option<(SmolStr, TeamSecond)> {
    let mut fields = flow.rsplitn(4, ':');
    let short = fields.next()?.parse().ok()?;
    let sent = fields.next()?.parse().ok()?;
    let asked = fields.next()?.parse().ok()?;
    let team = SmolStr::new(fields.next()?);
    Some((team, TeamSecond { asked, sent, short }))
}

/// The least margin of each team that waited all through some span of so many seconds, least first.
#[must_use]
pub fn share_margins(lines: &[LogLine], span_s: u32) -> Vec<ShareMargin> {
    let mut table = AccountTable::default();
    for line in lines.iter().filter(|line| line.part == "teams") {
        table.add(line);
    }
    let teams = table.teams.keys();
    let mut margins: Vec<ShareMargin> = teams
        .filter_map(|team| table.least(team, i64::from(span_s)))
        .collect();
    margins.sort_by(|left, right| left.margin.total_cmp(&right.margin));
    margins
}
