//! Quarantine of requests that crash the endpoints that run them.
//!
//! Load pattern: a request crashes each engine that starts to run it, and its caller retries it at
//! any router. A lost attempt alone proves little, since links break too. Together with a sign that
//! the endpoint's process ended ([`super::process_ends`]), it makes the request a suspect of that
//! crash. Routers exchange what they know ([`super::crash_report`]), and all of them refuse a
//! request that was running in three crashes, unless an endpoint answered it whole
//! ([`super::answered`]). Requests that share no more than one part of their prompts are judged by
//! that part ([`super::part_crashes`]). The limit is three because other requests run beside the
//! one that causes the crash: of 64 requests that were running at one crash, few are running at a
//! second one and hardly any at a third, while each further engine lost costs the work of all its
//! requests.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::configs::quarantine::QuarantineConfig;
use crate::core::tables::crashes::CrashEvidence;
use crate::core::tables::crashes::CrashTable;
use crate::units::EndpointId;
use crate::units::Moment;
use crate::units::RequestFingerprint;
use crate::units::TimeSpan;

use super::super::protocol::PartIds;
use super::super::protocol::PromptShape;
use super::super::routes::EndpointEntry;
use super::answered::AnswerEvidence;
use super::answered::RecentAnswers;
use super::crash_report::CrashReport;
use super::crash_report::CrashSuspect;
use super::crash_report::MessageTurns;
use super::crash_report::RefusedRequest;
use super::part_crashes::PartCrashes;
use super::process_ends::EndSign;
use super::process_ends::LostRequests;
use super::process_ends::ProcessEnds;

/// Crashes after which a request is refused.
const CRASH_LIMIT: u32 = 3;

/// Time for which a crash's suspects are sent to other routers: callers retry a lost request within
/// seconds.
const SUSPECT_REPORT_TIME: TimeSpan = TimeSpan::from_millis(10_000);

/// Maximum number of suspects in one message; the next message carries the next ones.
const MAX_SENT_SUSPECTS: usize = 6;

/// Number of reports of which one lists all refusals, not only recent ones: with ten messages a
/// second, a router that starts later knows them within its first second.
const REFUSAL_REPORTS: u64 = 5;

/// Maximum number of refusals in one message, 12 bytes each. More of them take turns, beside the
/// latest ones.
const MAX_SENT_REFUSALS: usize = 8;

/// Maximum number of answered requests in one message, 128 bytes of it.
const MAX_SENT_ANSWERED: usize = 16;

/// Time for which an answer clears a request. Signs of a crash arrive within eight seconds of it.
const ANSWER_RETENTION: TimeSpan = TimeSpan::from_millis(10_000);

/// Maximum number of answered requests that are remembered, about 100 KB. At 54 answers a second,
/// as in the largest fleet that is designed for, ten seconds hold an eighth of it.
const MAX_ANSWERED: usize = 4_096;

/// Crashes from which on a suspect's count is logged. Most suspects are in one crash only.
const LOGGED_CRASHES: usize = 2;

/// Who attributed a lost request to a crash.
#[derive(Debug, Clone, Copy)]
enum SuspectSource {
    /// This router.
    Own,
    /// Another router, in a message.
    Peer,
}

impl SuspectSource {
    fn label(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
        }
    }
}

/// Crashes, their suspects and the requests refused because of them.
#[derive(Debug)]
pub struct CrashQuarantine {
    config: QuarantineConfig,
    table: CrashTable,
    ends: ProcessEnds,
    answered: RecentAnswers<RequestFingerprint>,
    parts: PartCrashes,
    suspect_turns: MessageTurns,
    refusal_turns: MessageTurns,
    answered_turns: MessageTurns,
    /// Number of reports made.
    reports: u64,
}

impl Default for CrashQuarantine {
    fn default() -> Self {
        let config = QuarantineConfig {
            crashes: CRASH_LIMIT,
            ..QuarantineConfig::default()
        };
        Self {
            config,
            table: CrashTable::default(),
            ends: ProcessEnds::default(),
            answered: RecentAnswers::new(ANSWER_RETENTION, MAX_ANSWERED),
            parts: PartCrashes::default(),
            suspect_turns: MessageTurns::default(),
            refusal_turns: MessageTurns::default(),
            answered_turns: MessageTurns::default(),
            reports: 0,
        }
    }
}

/// Returns the id of an endpoint in the crash table: the low half of its key's hash. Two endpoints
/// with the same id share an entry, in which `life` still distinguishes their processes.
#[allow(clippy::cast_possible_truncation)]
fn endpoint_id(entry: &EndpointEntry) -> EndpointId {
    EndpointId(entry.key.hash() as u32)
}

impl CrashQuarantine {
    /// Returns true if a known end of the endpoint's process explains a loss there; `silent_since`
    /// is since when nothing has come from it.
    #[must_use]
    pub fn explains_loss(&self, entry: &EndpointEntry, silent_since: Moment) -> bool {
        self.ends.explains_loss(entry.life().hash(), silent_since)
    }

    /// Records a lost attempt whose cause is not known yet.
    pub fn record_lost(
        &mut self,
        now: Moment,
        entry: &EndpointEntry,
        fingerprint: RequestFingerprint,
        parts: &PartIds,
    ) {
        spdlog::info!(
            "quarantine: endpoint={} fingerprint={fingerprint} parts={parts} lost end=unknown",
            entry.key
        );
        let lost = (fingerprint, parts.clone());
        self.ends
            .keep_loss(now, entry.life().hash(), endpoint_id(entry), lost);
    }

    /// Records an attempt that was lost in a crash.
    pub fn record_crashed(
        &mut self,
        now: Moment,
        entry: &EndpointEntry,
        fingerprint: RequestFingerprint,
        parts: &PartIds,
    ) {
        spdlog::info!(
            "quarantine: endpoint={} fingerprint={fingerprint} parts={parts} lost end=known",
            entry.key
        );
        let lost = BTreeMap::from([(fingerprint, parts.clone())]);
        self.suspect_all(now, endpoint_id(entry), entry.life().hash(), lost);
    }

    /// Returns true if a connection should be opened to find out whether an endpoint's process has
    /// ended: requests were lost there, no sign explains them, and none was opened recently.
    pub fn take_check(&mut self, now: Moment, entry: &EndpointEntry) -> bool {
        self.ends.take_check(now, entry.life().hash())
    }

    /// Records a sign that an endpoint's process ended. Attempts recently lost there become
    /// suspects.
    pub fn record_sign(&mut self, now: Moment, entry: &EndpointEntry, sign: EndSign) {
        let (endpoint, process) = (endpoint_id(entry), entry.life().hash());
        let losses = self.ends.record_sign(now, process, sign);
        spdlog::info!(
            "quarantine: endpoint={} process={process:x} ended sign={} losses={}",
            entry.key,
            sign.label(),
            losses.len()
        );
        self.suspect_all(now, endpoint, process, losses);
    }

    fn suspect_all(
        &mut self,
        now: Moment,
        endpoint: EndpointId,
        process: u64,
        losses: LostRequests,
    ) {
        if losses.is_empty() {
            return;
        }
        let record = self.find_or_add_record(now, endpoint, process);
        let mut is_news = false;
        for (fingerprint, parts) in losses {
            is_news |= self.suspect(now, record, fingerprint, SuspectSource::Own);
            is_news |= self.parts.suspect_all(now, process, &parts);
        }
        if is_news {
            self.judge_parts(now);
        }
    }

    fn judge_parts(&mut self, now: Moment) {
        self.parts.set_explained(self.table.explained_lives(now));
        self.parts.judge(now);
    }

    /// Returns the number of the crash's record, which is added if it is missing.
    fn find_or_add_record(&mut self, now: Moment, endpoint: EndpointId, life: u64) -> u64 {
        let window = TimeSpan::from_millis(self.config.evidence_ms);
        let known = self.table.find_record(endpoint, life, now, window);
        known.unwrap_or_else(|| {
            self.table
                .add_record(endpoint, life, CrashEvidence::Confirmed, now)
        })
    }

    /// Returns true if the request is refused from now on.
    fn suspect(
        &mut self,
        now: Moment,
        record: u64,
        fingerprint: RequestFingerprint,
        source: SuspectSource,
    ) -> bool {
        if self.answered.clears(now, fingerprint) {
            return false;
        }
        let before = self.table.crash_count(fingerprint);
        let was_refused = self.table.quarantined_until(fingerprint, now).is_some();
        let is_refused = self
            .table
            .add_suspect(record, fingerprint, now, &self.config);
        let crashes = self.table.crash_count(fingerprint);
        let source = source.label();
        if is_refused {
            spdlog::warn!(
                "quarantine: fingerprint={fingerprint} refused crashes={crashes} source={source}"
            );
        } else if crashes > before && crashes >= LOGGED_CRASHES && !was_refused {
            spdlog::info!(
                "quarantine: fingerprint={fingerprint} suspect crashes={crashes} source={source}"
            );
        }
        is_refused
    }

    /// Returns the time for which a request is still refused; `None` if it is not refused.
    #[must_use]
    pub fn refused_for(&self, now: Moment, fingerprint: RequestFingerprint) -> Option<TimeSpan> {
        let until = self.table.quarantined_until(fingerprint, now)?;
        Some(until.since(now))
    }

    /// Returns the time for which a prompt is still refused because of one of its parts; `None` if
    /// it is not refused.
    #[must_use]
    pub fn prompt_refused_for(&self, now: Moment, prompt: &PromptShape) -> Option<TimeSpan> {
        self.parts.refused_for(now, prompt.shared_parts())
    }

    /// Clears the parts of a prompt on which an endpoint wrote for long without a crash.
    pub fn record_part_answer(&mut self, now: Moment, parts: &PartIds) {
        self.parts.record_answer(now, parts);
    }

    /// Clears a request that an endpoint answered whole, and the parts of its prompt, as far as the
    /// answer is evidence for them; see [`super::answered`].
    pub fn record_answer(
        &mut self,
        now: Moment,
        fingerprint: RequestFingerprint,
        parts: &PartIds,
        evidence: AnswerEvidence,
    ) {
        if evidence.clears_parts() {
            self.parts.record_answer(now, parts);
        }
        if !evidence.clears_request() {
            return;
        }
        let is_accused = self.clear(fingerprint, SuspectSource::Own);
        if is_accused {
            let status = evidence.status;
            spdlog::info!("quarantine: fingerprint={fingerprint} answered status={status}");
        }
        self.answered.record_here(now, fingerprint, is_accused);
    }

    /// Clears requests that other routers report as answered whole.
    fn apply_answers(&mut self, now: Moment, answered: Vec<RequestFingerprint>) {
        for fingerprint in answered {
            if self.answered.record_elsewhere(now, fingerprint) {
                self.clear(fingerprint, SuspectSource::Peer);
            }
        }
    }

    /// Returns true if the request was suspected.
    fn clear(&mut self, fingerprint: RequestFingerprint, source: SuspectSource) -> bool {
        self.ends.forget_losses(fingerprint);
        let was_suspect = self.table.exonerate(fingerprint);
        if was_suspect {
            let source = source.label();
            spdlog::info!("quarantine: fingerprint={fingerprint} cleared source={source}");
        }
        was_suspect
    }

    /// Returns the answered requests for the next message.
    fn answers_to_send(&mut self, now: Moment) -> Vec<RequestFingerprint> {
        self.answered.shrink(now);
        let accused = self.answered.accused();
        self.answered_turns.take(&accused, MAX_SENT_ANSWERED)
    }

    /// Returns the report for the next message to other routers, and drops old records.
    pub fn report(&mut self, now: Moment) -> CrashReport {
        let unexplained = self.ends.shrink(now);
        if unexplained > 0 {
            spdlog::info!("quarantine: losses={unexplained} expired without a sign of an end");
        }
        CrashReport {
            suspects: self.suspects_to_send(now),
            ended: self.ends.ends_to_send(now),
            refused: self.refusals_to_send(now),
            answered: self.answers_to_send(now),
            parts: self.parts.report(now),
        }
    }

    /// Returns the refusals for the next message: those that began recently in each message, all of
    /// them in some, for routers that start or come back later.
    fn refusals_to_send(&mut self, now: Moment) -> Vec<RefusedRequest> {
        self.reports += 1;
        let sends_all = self.reports.is_multiple_of(REFUSAL_REPORTS);
        let span = TimeSpan::from_millis(self.config.refuse_ms);
        let recent = Moment(now.0 + span.0.saturating_sub(SUSPECT_REPORT_TIME.0));
        let refused = self.table.quarantined(now);
        let mut refused: Vec<_> = refused
            .filter(|(_, until)| sends_all || *until > recent)
            .collect();
        refused.sort_unstable_by_key(|(_, until)| Reverse(*until));
        let rest = refused.split_off(refused.len().min(MAX_SENT_REFUSALS / 2));
        refused.extend(self.refusal_turns.take(&rest, MAX_SENT_REFUSALS / 2));
        let entries = refused.into_iter().map(|(fingerprint, until)| {
            let seconds = until.since(now).as_millis() / 1_000;
            RefusedRequest {
                fingerprint,
                left: TimeSpan::from_millis(seconds * 1_000),
            }
        });
        entries.collect()
    }

    /// Adopts the refusals that another router reports.
    fn adopt_refusals(&mut self, now: Moment, refused: Vec<RefusedRequest>) {
        let longest = TimeSpan::from_millis(self.config.refuse_ms);
        for request in refused {
            let (fingerprint, left) = (request.fingerprint, request.left.min(longest));
            if self.answered.clears(now, fingerprint) {
                // The sender has not heard of the answer yet.
                continue;
            }
            let until = now + left;
            let is_news = self
                .table
                .adopt_quarantine(fingerprint, now, until, &self.config);
            if is_news {
                let left_ms = left.as_millis();
                spdlog::warn!(
                    "quarantine: fingerprint={fingerprint} refused source=peer left_ms={left_ms}"
                );
            }
        }
    }

    /// Applies another router's report.
    pub fn apply_report(&mut self, now: Moment, report: CrashReport) {
        let report = report.bounded();
        self.apply_answers(now, report.answered);
        self.apply_ends(now, report.ended);
        let mut is_news = self.merge_suspects(now, report.suspects);
        self.adopt_refusals(now, report.refused);
        is_news |= self.parts.apply(now, report.parts);
        if is_news {
            self.judge_parts(now);
        }
    }

    fn apply_ends(&mut self, now: Moment, ended: Vec<u64>) {
        for process in ended {
            let (endpoint, losses) = self.ends.record_reported_end(now, process);
            if !losses.is_empty() {
                let count = losses.len();
                spdlog::info!("quarantine: process={process:x} ended sign=reported losses={count}");
            }
            self.suspect_all(now, endpoint, process, losses);
        }
    }

    /// Returns true if one of the requests is refused from now on.
    fn merge_suspects(&mut self, now: Moment, suspects: Vec<CrashSuspect>) -> bool {
        let mut is_news = false;
        for suspect in suspects {
            let record = self.find_or_add_record(now, suspect.endpoint, suspect.life);
            is_news |= self.suspect(now, record, suspect.fingerprint, SuspectSource::Peer);
        }
        is_news
    }

    /// Returns suspects of recent crashes for the next message, in rotation, and drops old records.
    fn suspects_to_send(&mut self, now: Moment) -> Vec<CrashSuspect> {
        self.table.shrink(now, &self.config);
        let recent = self.table.records_mut();
        let recent = recent.filter(|record| now.since(record.seen_at) < SUSPECT_REPORT_TIME);
        let suspects: Vec<CrashSuspect> = recent
            .flat_map(|record| {
                record.suspects.iter().map(|fingerprint| CrashSuspect {
                    endpoint: record.endpoint,
                    life: record.life,
                    fingerprint: *fingerprint,
                })
            })
            .collect();
        self.suspect_turns.take(&suspects, MAX_SENT_SUSPECTS)
    }
}
