//! Parts of prompts that crash each engine that begins to write an answer on them.
//!
//! Load pattern: requests with one part in common come at all routers, no two alike, so that each
//! of them is in one crash only, or in a few if it is sent again. Beside them run sound requests
//! that share the caller and all other parts; one crash loses dozens of them, each with some
//! parts. A part is refused when it was in three crashes and in no whole answer of late.
//!
//! A crash has one cause. Where several causes fit, the one that fits most crashes is chosen, and
//! of those that fit the same crashes the narrowest: a single request before a part, a later part
//! before an earlier one, which more requests share. What that leaves unexplained counts on, so a
//! wrong choice is corrected by the next crash, and a part that a wider cause explains is released.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::super::protocol::PartId;
use super::super::protocol::PartIds;
use super::super::protocol::PromptPart;
use super::answered::RecentAnswers;
use super::crash_report::MessageTurns;
use super::crash_report::PartReport;
use super::crash_report::PartSuspect;
use super::crash_report::RefusedPart;

/// Crashes after which a part is refused. Of the sound requests that run beside the ones with the
/// part, hardly any two with the same rare part are in three crashes.
const CRASH_LIMIT: usize = 3;

/// Time for which a whole answer speaks for the parts of its prompt. A part of which requests come
/// once in ten seconds is answered within it, also while crashes break off a third of them.
const ANSWER_RETENTION: TimeSpan = TimeSpan::from_millis(30_000);

/// Maximum number of answered parts that are remembered: 54 answers a second at one router of the
/// largest fleet that is designed for, with three shared parts each, most of them the same ones.
const MAX_ANSWERED: usize = 4_096;

/// Time for which a crash counts, as for single requests.
const CRASH_RETENTION: TimeSpan = TimeSpan::from_millis(120_000);

/// Time for which a part is refused. Afterwards one more crash within as long refuses it again.
const REFUSE_TIME: TimeSpan = TimeSpan::from_millis(600_000);

/// Time for which a crash's suspects are told to other routers.
const SUSPECT_REPORT_TIME: TimeSpan = TimeSpan::from_millis(10_000);

/// Maximum number of crashes that are remembered, the latest ones.
const MAX_CRASHES: usize = 256;

/// Maximum number of parts that are suspected of one crash: an engine runs up to 64 requests, and
/// few of them have parts that were not answered lately.
const MAX_CRASH_PARTS: usize = 64;

/// Maximum number of refused parts.
const MAX_REFUSALS: usize = 256;

/// Maximum number of suspects in one message, 24 bytes each: half of them those in most crashes,
/// the others in turn.
const MAX_SENT_SUSPECTS: usize = 12;

/// Maximum number of refusals in one message, 16 bytes each; the others take turns.
const MAX_SENT_REFUSALS: usize = 4;

/// Maximum number of answered parts in one message, 8 bytes each.
const MAX_SENT_ANSWERED: usize = 16;

/// Number of reports of which one lists refusals, for routers that start later.
const REFUSAL_REPORTS: u64 = 5;

/// Crashes from which on a suspect is logged.
const LOGGED_CRASHES: usize = 2;

#[derive(Debug)]
struct PartCrash {
    seen_at: Moment,
    /// Its suspects with their places in the prompt.
    parts: BTreeMap<PartId, u32>,
}

/// What speaks against a part. The greatest case is the one to refuse first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct PartCase {
    crashes: usize,
    /// Its place in the prompt, the latest one.
    place: u32,
    /// Crashes among them that no refused request or part explains.
    unexplained: usize,
}

/// Crashes with the parts that may have caused them, and the parts that are refused.
#[derive(Debug)]
pub struct PartCrashes {
    /// By process hash.
    crashes: BTreeMap<u64, PartCrash>,
    /// Ends of refusals; kept for `REFUSE_TIME` longer.
    refusals: BTreeMap<PartId, Moment>,
    /// Processes whose crashes a refused request explains.
    explained: BTreeSet<u64>,
    answered: RecentAnswers<PartId>,
    suspect_turns: MessageTurns,
    refusal_turns: MessageTurns,
    answered_turns: MessageTurns,
    reports: u64,
}

impl Default for PartCrashes {
    fn default() -> Self {
        Self {
            crashes: BTreeMap::new(),
            refusals: BTreeMap::new(),
            explained: BTreeSet::new(),
            answered: RecentAnswers::new(ANSWER_RETENTION, MAX_ANSWERED),
            suspect_turns: MessageTurns::default(),
            refusal_turns: MessageTurns::default(),
            answered_turns: MessageTurns::default(),
            reports: 0,
        }
    }
}

impl PartCrashes {
    /// Adds the parts of a request that was lost in the crash of a process. Returns true if one of
    /// them is a new suspect.
    pub fn suspect_all(&mut self, now: Moment, process: u64, parts: &PartIds) -> bool {
        let mut is_news = false;
        for (place, part) in (0..).zip(&parts.0) {
            let suspect = PartSuspect {
                process,
                part: *part,
                place,
            };
            is_news |= self.suspect(now, suspect);
        }
        is_news
    }

    fn suspect(&mut self, now: Moment, suspect: PartSuspect) -> bool {
        let PartSuspect {
            process,
            part,
            place,
        } = suspect;
        if self.answered.clears(now, part) {
            return false;
        }
        let crash = self.crashes.entry(process).or_insert_with(|| PartCrash {
            seen_at: now,
            parts: BTreeMap::new(),
        });
        if crash.parts.len() >= MAX_CRASH_PARTS || crash.parts.insert(part, place).is_some() {
            return false;
        }
        let crashes = self.crashes.values();
        let crashes = crashes.filter(|crash| crash.parts.contains_key(&part));
        let crashes = crashes.count();
        if crashes >= LOGGED_CRASHES && !self.is_refused(now, part) {
            spdlog::info!(
                "quarantine: part={part} suspect crashes={crashes} process={process:x} place={place}"
            );
        }
        true
    }

    /// Sets the processes whose crashes a refused request explains.
    pub fn set_explained(&mut self, explained: BTreeSet<u64>) {
        self.explained = explained;
    }

    /// Refuses the parts that explain crashes best, and releases those that another cause explains.
    pub fn judge(&mut self, now: Moment) {
        while let Some((part, case)) = self.next_refusal(now) {
            self.refusals.insert(part, now + REFUSE_TIME);
            spdlog::warn!(
                "quarantine: part={part} refused crashes={} unexplained={} source=own",
                case.crashes,
                case.unexplained
            );
        }
        let refused = self.refused(now).map(|(part, _)| part);
        let released: Vec<PartId> = refused
            .filter(|part| self.has_other_cause(now, *part))
            .collect();
        for part in released {
            self.refusals.remove(&part);
            spdlog::info!("quarantine: part={part} cleared by=other_cause source=own");
        }
    }

    fn next_refusal(&self, now: Moment) -> Option<(PartId, PartCase)> {
        let cases = self.cases(now).into_iter();
        let guilty = cases.filter(|(part, case)| {
            // One crash more is enough for a part whose refusal has ended.
            let limit = match self.refusals.get(part) {
                Some(until) if *until > now => return false,
                Some(_) => 1,
                None => CRASH_LIMIT,
            };
            case.crashes >= limit && case.unexplained > 0
        });
        guilty.max_by_key(|(_, case)| *case)
    }

    fn cases(&self, now: Moment) -> BTreeMap<PartId, PartCase> {
        let mut cases: BTreeMap<PartId, PartCase> = BTreeMap::new();
        for (process, crash) in &self.crashes {
            let mut parts = crash.parts.keys();
            let is_explained =
                self.explained.contains(process) || parts.any(|part| self.is_refused(now, *part));
            for (part, place) in &crash.parts {
                let case = cases.entry(*part).or_default();
                case.crashes += 1;
                case.place = case.place.max(*place);
                case.unexplained += usize::from(!is_explained);
            }
        }
        cases
    }

    /// Returns true if this part is suspected, and refused requests explain all its crashes, or
    /// another refused part does that was in more crashes than it.
    fn has_other_cause(&self, now: Moment, part: PartId) -> bool {
        let crashes = self.crashes.iter();
        let own = crashes.filter(|(_, crash)| crash.parts.contains_key(&part));
        let own: Vec<(&u64, &PartCrash)> = own.collect();
        if own.is_empty() {
            return false;
        }
        if own
            .iter()
            .all(|(process, _)| self.explained.contains(process))
        {
            return true;
        }
        self.refused(now).any(|(other, _)| {
            let all = self.crashes.values();
            let all = all.filter(|crash| crash.parts.contains_key(&other));
            let mut own_crashes = own.iter().map(|(_, crash)| crash);
            own_crashes.all(|crash| crash.parts.contains_key(&other)) && all.count() > own.len()
        })
    }

    fn is_refused(&self, now: Moment, part: PartId) -> bool {
        self.refusals.get(&part).is_some_and(|until| *until > now)
    }

    fn refused(&self, now: Moment) -> impl Iterator<Item = (PartId, Moment)> + '_ {
        let refusals = self.refusals.iter().map(|(part, until)| (*part, *until));
        refusals.filter(move |(_, until)| *until > now)
    }

    /// Returns the time for which one of these parts is still refused; `None` if none is.
    #[must_use]
    pub fn refused_for(&self, now: Moment, parts: &[PromptPart]) -> Option<TimeSpan> {
        let ends = parts.iter().filter_map(|part| self.refusals.get(&part.id));
        let until = ends.filter(|until| **until > now).max()?;
        Some(until.since(now))
    }

    /// Clears the parts of a prompt on which an engine wrote an answer without a crash.
    pub fn record_answer(&mut self, now: Moment, parts: &PartIds) {
        for part in &parts.0 {
            let is_accused = self.clear(*part, "own");
            self.answered.record_here(now, *part, is_accused);
        }
    }

    /// Returns true if the part was suspected or refused.
    fn clear(&mut self, part: PartId, source: &'static str) -> bool {
        let mut was_suspect = self.refusals.remove(&part).is_some();
        for crash in self.crashes.values_mut() {
            was_suspect |= crash.parts.remove(&part).is_some();
        }
        if was_suspect {
            spdlog::info!("quarantine: part={part} cleared by=answer source={source}");
        }
        was_suspect
    }

    /// Returns the report for the next message to other routers, and drops what is old.
    pub fn report(&mut self, now: Moment) -> PartReport {
        self.shrink(now);
        let accused = self.answered.accused();
        PartReport {
            suspects: self.suspects_to_send(now),
            refused: self.refusals_to_send(now),
            answered: self.answered_turns.take(&accused, MAX_SENT_ANSWERED),
        }
    }

    fn suspects_to_send(&mut self, now: Moment) -> Vec<PartSuspect> {
        let cases = self.cases(now);
        let recent = self.crashes.iter();
        let recent = recent.filter(|(_, crash)| now.since(crash.seen_at) < SUSPECT_REPORT_TIME);
        let suspects = recent.flat_map(|(process, crash)| {
            crash.parts.iter().map(|(part, place)| PartSuspect {
                process: *process,
                part: *part,
                place: *place,
            })
        });
        let mut suspects: Vec<PartSuspect> = suspects.collect();
        suspects.sort_by_key(|suspect| Reverse(cases.get(&suspect.part).copied()));
        let rest = suspects.split_off(suspects.len().min(MAX_SENT_SUSPECTS / 2));
        suspects.extend(self.suspect_turns.take(&rest, MAX_SENT_SUSPECTS / 2));
        suspects
    }

    fn refusals_to_send(&mut self, now: Moment) -> Vec<RefusedPart> {
        self.reports += 1;
        let sends_all = self.reports.is_multiple_of(REFUSAL_REPORTS);
        let recent = now + TimeSpan(REFUSE_TIME.0 - SUSPECT_REPORT_TIME.0);
        let refused = self.refused(now);
        let refused: Vec<_> = refused
            .filter(|(_, until)| sends_all || *until > recent)
            .collect();
        let sent = self.refusal_turns.take(&refused, MAX_SENT_REFUSALS);
        let entries = sent.into_iter().map(|(part, until)| RefusedPart {
            part,
            left: until.since(now),
        });
        entries.collect()
    }

    /// Applies another router's report. Returns true if it brought a new suspect.
    pub fn apply(&mut self, now: Moment, report: PartReport) -> bool {
        for part in report.answered {
            if self.answered.record_elsewhere(now, part) {
                self.clear(part, "peer");
            }
        }
        let mut is_news = false;
        for suspect in report.suspects {
            is_news |= self.suspect(now, suspect);
        }
        for refused in report.refused {
            self.adopt_refusal(now, refused);
        }
        is_news
    }

    /// Adopts a refusal that another router reports. One that this router knows is not prolonged:
    /// each message that repeats it would.
    fn adopt_refusal(&mut self, now: Moment, refused: RefusedPart) {
        let RefusedPart { part, left } = refused;
        let until = now + left.min(REFUSE_TIME);
        let is_known = self.refusals.get(&part).is_some_and(|known| *known > now);
        if until <= now || is_known || self.answered.clears(now, part) {
            return;
        }
        if self.has_other_cause(now, part) || self.refusals.len() >= MAX_REFUSALS {
            return;
        }
        self.refusals.insert(part, until);
        let left_ms = left.as_millis();
        spdlog::warn!("quarantine: part={part} refused source=peer left_ms={left_ms}");
    }

    fn shrink(&mut self, now: Moment) {
        self.answered.shrink(now);
        self.crashes
            .retain(|_, crash| now.since(crash.seen_at) <= CRASH_RETENTION);
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.seen_at);
            let Some(process) = oldest.map(|(process, _)| *process) else {
                break;
            };
            self.crashes.remove(&process);
        }
        self.refusals.retain(|_, until| *until + REFUSE_TIME > now);
    }
}
