//! Requests that crash the endpoints that run them.
//!
//! The load that this answers: a request that takes down each engine that begins to run it, whose
//! caller sends it again to any router. An attempt that is lost says little by itself, links break
//! too; together with a sign that its endpoint's process ended it makes the request a suspect of
//! that crash. Routers tell each other of suspects, and a request in three crashes is refused by
//! all of them. Three, since innocents run beside a guilty one: of 64 requests that ran in one
//! crash few run in a second, and hardly any in a third, while each engine more that is lost costs
//! the work of all its requests.

use crate::configs::quarantine::QuarantineConfig;
use crate::core::tables::crashes::CrashEvidence;
use crate::core::tables::crashes::CrashTable;
use crate::units::EndpointId;
use crate::units::Moment;
use crate::units::RequestFingerprint;
use crate::units::TimeSpan;

use super::super::routes::EndpointEntry;

/// Crashes after which a request is refused.
const CRASHES: u32 = 3;

/// Time for which a crash is told to other routers: callers whose request was lost send it again
/// within seconds.
const TOLD_FOR: TimeSpan = TimeSpan::from_millis(10_000);

/// Suspects told in one message; the next message tells the next ones.
const MOST_TOLD: usize = 6;

/// Suspects that one router may name to another at once; a stranger could name any number.
const MOST_TAKEN: usize = 64;

/// A request that was running in a crash, as routers tell each other of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashSuspect {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its process that ended.
    pub life: u64,
    /// The request.
    pub fingerprint: RequestFingerprint,
}

/// What is known of crashes.
#[derive(Debug)]
pub struct CrashQuarantine {
    config: QuarantineConfig,
    table: CrashTable,
    /// Place of the next suspect to tell of.
    next: usize,
}

impl Default for CrashQuarantine {
    fn default() -> Self {
        let config = QuarantineConfig {
            crashes: CRASHES,
            ..QuarantineConfig::default()
        };
        Self {
            config,
            table: CrashTable::default(),
            next: 0,
        }
    }
}

/// The number of an endpoint in the crash table: the low half of its key's hash. Two endpoints
/// with one number would be taken for one, which tells their lives apart all the same.
#[allow(clippy::cast_possible_truncation)]
fn number_of(entry: &EndpointEntry) -> EndpointId {
    EndpointId(entry.key.hash() as u32)
}

impl CrashQuarantine {
    /// An attempt broke off; whether its endpoint crashed is not known yet.
    pub fn lost(&mut self, now: Moment, entry: &EndpointEntry, print: RequestFingerprint) {
        let endpoint = number_of(entry);
        let window = TimeSpan::from_millis(self.config.evidence_ms);
        let life = entry.life().hash();
        match self.table.find_record(endpoint, life, now, window) {
            Some(record) => self.suspect(now, record, print),
            None => self.table.note_loss(endpoint, print, now),
        }
    }

    /// A sign that an endpoint's process ended: nothing listens there, or another one registered.
    pub fn ended(&mut self, now: Moment, entry: &EndpointEntry) {
        let endpoint = number_of(entry);
        if !self.table.has_losses(endpoint) {
            return;
        }
        let oldest = Moment(now.0.saturating_sub(self.config.evidence_ms * 1_000));
        let losses = self.table.take_losses(endpoint, oldest);
        let record = self.record(now, endpoint, entry.life().hash());
        for print in losses {
            self.suspect(now, record, print);
        }
    }

    fn record(&mut self, now: Moment, endpoint: EndpointId, life: u64) -> u64 {
        let window = TimeSpan::from_millis(self.config.evidence_ms);
        let known = self.table.find_record(endpoint, life, now, window);
        known.unwrap_or_else(|| {
            self.table
                .add_record(endpoint, life, CrashEvidence::Confirmed, now)
        })
    }

    fn suspect(&mut self, now: Moment, record: u64, print: RequestFingerprint) {
        if self.table.add_suspect(record, print, now, &self.config) {
            spdlog::warn!("quarantine: fingerprint={print} refused crashes={CRASHES}");
        }
    }

    /// Time for which a request is still refused, if it is.
    #[must_use]
    pub fn refused_for(&self, now: Moment, print: RequestFingerprint) -> Option<TimeSpan> {
        let until = self.table.refused_until(print, now)?;
        Some(until.since(now))
    }

    /// A request was answered whole.
    pub fn answered(&mut self, print: RequestFingerprint) {
        self.table.clear(print);
    }

    /// Takes over what another router tells.
    pub fn take_told(&mut self, now: Moment, told: impl Iterator<Item = CrashSuspect>) {
        for suspect in told.take(MOST_TAKEN) {
            let record = self.record(now, suspect.endpoint, suspect.life);
            self.suspect(now, record, suspect.fingerprint);
        }
    }

    /// Some suspects of late crashes to tell of, others each time, and forgets what is old.
    pub fn telling(&mut self, now: Moment) -> Vec<CrashSuspect> {
        self.table.shrink(now, &self.config);
        let late = self.table.records_mut();
        let late = late.filter(|record| now.since(record.seen_at) < TOLD_FOR);
        let suspects: Vec<CrashSuspect> = late
            .flat_map(|record| {
                record.suspects.iter().map(|print| CrashSuspect {
                    endpoint: record.endpoint,
                    life: record.life,
                    fingerprint: *print,
                })
            })
            .collect();
        let count = suspects.len().min(MOST_TOLD);
        let first = self.next % suspects.len().max(1);
        self.next = self.next.wrapping_add(count);
        let turned = suspects.iter().cycle().skip(first);
        turned.take(count).copied().collect()
    }
}
