//! Endpoint crashes, the requests that were running when they happened, and lost attempts that may
//! be due to a crash.
//!
//! The `life` of an endpoint is a number that identifies its process and changes with each restart,
//! read from load reports; 0 means unknown. A copy of a request is an occurrence of it with the
//! same fingerprint, for example because the caller sent it again, perhaps to another router.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::configs::quarantine::QuarantineConfig;
use crate::units::EndpointId;
use crate::units::Moment;
use crate::units::RequestFingerprint;
use crate::units::TimeSpan;

/// How certain it is that an endpoint crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashEvidence {
    /// Attempts were lost there by a router that had not read the endpoint's `life` before: either
    /// the endpoint crashed or the connection broke.
    Unconfirmed,
    /// The endpoint refused connections, or its `life` changed.
    Confirmed,
}

/// A crash of an endpoint.
#[derive(Debug, Clone)]
pub struct CrashRecord {
    /// The endpoint that crashed.
    pub endpoint: EndpointId,
    /// The endpoint's `life` before the crash; 0 if unknown to this router.
    pub life: u64,
    /// How certain the crash is.
    pub evidence: CrashEvidence,
    /// When evidence of it was last received.
    pub seen_at: Moment,
    /// Requests of any router that were running on the endpoint.
    pub suspects: BTreeSet<RequestFingerprint>,
    /// Suspects not yet announced to peers.
    pub unannounced: BTreeSet<RequestFingerprint>,
}

/// A request that was running on an endpoint when it crashed.
#[derive(Debug, Clone, Default)]
pub struct SuspectRow {
    /// Numbers of the crashes in which it was running, as in `CrashTable`.
    pub crashes: BTreeSet<u64>,
    /// When the row expires.
    pub until: Moment,
    /// End of its quarantine, if it was ever quarantined.
    pub quarantined_until: Option<Moment>,
}

#[derive(Debug, Clone, Copy)]
struct LostAttempt {
    at: Moment,
    fingerprint: RequestFingerprint,
}

/// All crashes and suspects known to this router. Both are bounded in number. Above the bounds, the
/// crashes that were recorded first and the suspects that expire first are removed.
#[derive(Debug, Default)]
pub struct CrashTable {
    records: BTreeMap<u64, CrashRecord>,
    /// Number of the last record added.
    last_number: u64,
    suspects: BTreeMap<RequestFingerprint, SuspectRow>,
    losses: BTreeMap<EndpointId, Vec<LostAttempt>>,
    /// Requests of which another router lost a copy, and when a loss was last reported here.
    remote_losses: BTreeMap<RequestFingerprint, Moment>,
    /// Requests of which a copy was lost here, not yet announced to peers.
    pub unannounced_losses: BTreeSet<RequestFingerprint>,
    /// Suspects cleared by a whole answer, not yet announced to peers.
    pub unannounced_clearances: BTreeSet<RequestFingerprint>,
    /// Newly quarantined requests, not yet announced to peers.
    pub unannounced_quarantines: BTreeSet<RequestFingerprint>,
}

impl CrashTable {
    /// Records an attempt that was lost at this router.
    pub fn note_loss(&mut self, endpoint: EndpointId, fingerprint: RequestFingerprint, at: Moment) {
        let losses = self.losses.entry(endpoint).or_default();
        losses.push(LostAttempt { at, fingerprint });
    }

    /// Records that another router lost a copy of a request.
    pub fn record_remote_loss(&mut self, fingerprint: RequestFingerprint, at: Moment) {
        self.remote_losses.insert(fingerprint, at);
    }

    /// Removes the lost attempts of an endpoint and returns those lost since `oldest`.
    pub fn take_losses(
        &mut self,
        endpoint: EndpointId,
        oldest: Moment,
    ) -> BTreeSet<RequestFingerprint> {
        self.losses
            .remove(&endpoint)
            .unwrap_or_default()
            .into_iter()
            .filter(|loss| loss.at >= oldest)
            .map(|loss| loss.fingerprint)
            .collect()
    }

    /// When an attempt was last lost on an endpoint, if the cause is still unknown.
    #[must_use]
    pub fn last_loss(&self, endpoint: EndpointId) -> Option<Moment> {
        self.losses.get(&endpoint)?.last().map(|loss| loss.at)
    }

    /// True if a copy of a request was lost since `oldest`, either here, and it is not known yet
    /// whether its endpoint crashed, or at another router. A loss at another router counts even if
    /// that router has found the cause since.
    #[must_use]
    pub fn has_unexplained_loss(&self, fingerprint: RequestFingerprint, oldest: Moment) -> bool {
        let reported_at = self.remote_losses.get(&fingerprint);
        if reported_at.is_some_and(|at| *at >= oldest) {
            return true;
        }
        self.losses
            .values()
            .flatten()
            .any(|loss| loss.fingerprint == fingerprint && loss.at >= oldest)
    }

    /// True if attempts were lost on an endpoint and the cause is not known yet.
    #[must_use]
    pub fn has_losses(&self, endpoint: EndpointId) -> bool {
        self.losses.contains_key(&endpoint)
    }

    /// Endpoints with lost attempts of unknown cause.
    #[must_use]
    pub fn endpoints_with_losses(&self) -> Vec<EndpointId> {
        self.losses.keys().copied().collect()
    }

    /// The number of the known crash of an endpoint to which new evidence belongs, if any: one with
    /// the same `life`, or, if `life` or that of the record is unknown, one whose last evidence is
    /// no older than `window`. The latter is for two routers that see the same crash, one of them
    /// without knowing the `life`.
    #[must_use]
    pub fn find_record(
        &self,
        endpoint: EndpointId,
        life: u64,
        now: Moment,
        window: TimeSpan,
    ) -> Option<u64> {
        self.records
            .iter()
            .rev()
            .filter(|(_, record)| record.endpoint == endpoint)
            .find(|(_, record)| {
                let same_life = life != 0 && life == record.life;
                let unknown_life = life == 0 || record.life == 0;
                same_life || (unknown_life && now.since(record.seen_at) <= window)
            })
            .map(|(number, _)| *number)
    }

    /// Adds a crash and returns its number.
    pub fn add_record(
        &mut self,
        endpoint: EndpointId,
        life: u64,
        evidence: CrashEvidence,
        now: Moment,
    ) -> u64 {
        self.last_number += 1;
        let record = CrashRecord {
            endpoint,
            life,
            evidence,
            seen_at: now,
            suspects: BTreeSet::new(),
            unannounced: BTreeSet::new(),
        };
        self.records.insert(self.last_number, record);
        self.last_number
    }

    /// Mutable access to a crash.
    pub fn record_mut(&mut self, number: u64) -> Option<&mut CrashRecord> {
        self.records.get_mut(&number)
    }

    /// Mutable access to all crashes, in order of number.
    pub fn records_mut(&mut self) -> impl Iterator<Item = &mut CrashRecord> {
        self.records.values_mut()
    }

    /// Adds a request to the suspects of a crash; returns true if that puts it in quarantine.
    pub fn add_suspect(
        &mut self,
        number: u64,
        fingerprint: RequestFingerprint,
        now: Moment,
        config: &QuarantineConfig,
    ) -> bool {
        let Some(record) = self.records.get_mut(&number) else {
            return false;
        };
        record.suspects.insert(fingerprint);
        let row = self.suspects.entry(fingerprint).or_default();
        if !row.crashes.insert(number) {
            return false;
        }
        row.until = row
            .until
            .max(now + TimeSpan::from_millis(config.suspect_ms));
        self.meets_crash_limit(fingerprint, config)
            && self.put_in_quarantine(fingerprint, now, config)
    }

    /// True if a request was running in as many crashes as `config.crashes`. At most one
    /// unconfirmed crash counts, and only in addition to a confirmed one, so that broken
    /// connections alone never quarantine a request. A crash whose record was removed counts as
    /// confirmed, since its evidence is no longer known.
    fn meets_crash_limit(
        &self,
        fingerprint: RequestFingerprint,
        config: &QuarantineConfig,
    ) -> bool {
        let Some(row) = self.suspects.get(&fingerprint) else {
            return false;
        };
        let is_unconfirmed = |number: &u64| {
            let record = self.records.get(number);
            record.is_some_and(|record| record.evidence == CrashEvidence::Unconfirmed)
        };
        let unconfirmed = row.crashes.iter().filter(|number| is_unconfirmed(number));
        let unconfirmed = unconfirmed.count();
        let confirmed = row.crashes.len() - unconfirmed;
        confirmed > 0 && confirmed + unconfirmed.min(1) >= config.crashes as usize
    }

    /// Marks a crash as confirmed; returns the suspects that this puts in quarantine.
    pub fn confirm(
        &mut self,
        number: u64,
        now: Moment,
        config: &QuarantineConfig,
    ) -> BTreeSet<RequestFingerprint> {
        let Some(record) = self.records.get_mut(&number) else {
            return BTreeSet::new();
        };
        if record.evidence == CrashEvidence::Confirmed {
            return BTreeSet::new();
        }
        record.evidence = CrashEvidence::Confirmed;
        record.unannounced.extend(record.suspects.iter().copied());
        let suspects = record.suspects.clone();
        suspects
            .into_iter()
            .filter(|suspect| {
                self.meets_crash_limit(*suspect, config)
                    && self.put_in_quarantine(*suspect, now, config)
            })
            .collect()
    }

    /// Quarantines a request for `config.refuse_ms`; false if it was in quarantine already, which
    /// is then prolonged to `config.refuse_ms` from now. It stays a suspect for the same time
    /// afterwards, so that one more crash quarantines it again.
    pub fn put_in_quarantine(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Moment,
        config: &QuarantineConfig,
    ) -> bool {
        let span = TimeSpan::from_millis(config.refuse_ms);
        let row = self.suspects.entry(fingerprint).or_default();
        let fresh = row.quarantined_until.is_none_or(|until| until <= now);
        row.quarantined_until = Some(now + span);
        row.until = now + span + span;
        fresh
    }

    /// Quarantines a request until `until`, as another router reports; false if it was in quarantine
    /// already. A report never prolongs a quarantine: each message that repeats it would.
    pub fn adopt_quarantine(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Moment,
        until: Moment,
        config: &QuarantineConfig,
    ) -> bool {
        if until <= now || self.quarantined_until(fingerprint, now).is_some() {
            return false;
        }
        let row = self.suspects.entry(fingerprint).or_default();
        row.quarantined_until = Some(until);
        row.until = until + TimeSpan::from_millis(config.refuse_ms);
        true
    }

    /// Requests in quarantine with its end.
    pub fn quarantined(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = (RequestFingerprint, Moment)> + '_ {
        self.suspects.iter().filter_map(move |(fingerprint, row)| {
            let until = row.quarantined_until.filter(|until| *until > now)?;
            Some((*fingerprint, until))
        })
    }

    /// The end of a request's quarantine, if it is in quarantine.
    #[must_use]
    pub fn quarantined_until(
        &self,
        fingerprint: RequestFingerprint,
        now: Moment,
    ) -> Option<Moment> {
        let until = self.suspects.get(&fingerprint)?.quarantined_until?;
        (until > now).then_some(until)
    }

    /// The `life` of each endpoint process whose crash a request in quarantine explains.
    #[must_use]
    pub fn explained_lives(&self, now: Moment) -> BTreeSet<u64> {
        let quarantined: BTreeSet<RequestFingerprint> = self
            .quarantined(now)
            .map(|(fingerprint, _)| fingerprint)
            .collect();
        let explained = self
            .records
            .values()
            .filter(|record| !record.suspects.is_disjoint(&quarantined));
        explained.map(|record| record.life).collect()
    }

    /// True if a request is a suspect and must run in isolation.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Clears a suspect after a whole answer, unless it was quarantined. Returns false if it was no
    /// suspect or remains one.
    pub fn clear(&mut self, fingerprint: RequestFingerprint) -> bool {
        let innocent = self
            .suspects
            .get(&fingerprint)
            .is_some_and(|row| row.quarantined_until.is_none());
        innocent && self.suspects.remove(&fingerprint).is_some()
    }

    /// Removes a request from the suspects of all known crashes, and ends its quarantine: an
    /// endpoint answered it whole, so it does not crash each endpoint that runs it. Returns false
    /// if it was no suspect.
    pub fn exonerate(&mut self, fingerprint: RequestFingerprint) -> bool {
        if self.suspects.remove(&fingerprint).is_none() {
            return false;
        }
        for record in self.records.values_mut() {
            record.suspects.remove(&fingerprint);
        }
        true
    }

    /// The endpoints for the isolated run of a suspect, in order of preference. All routers that
    /// know the same crash compute the same order, so that each suspect of a crash gets its own
    /// endpoint if there are enough, and all copies of a request, at whichever router they arrive,
    /// get the same one. Endpoints preferred by other suspects follow last; the endpoint that
    /// crashed is returned only if there is no other.
    #[must_use]
    pub fn isolation_endpoints(
        &self,
        fingerprint: RequestFingerprint,
        endpoints: &[EndpointId],
    ) -> Vec<EndpointId> {
        let newest = self
            .suspects
            .get(&fingerprint)
            .and_then(|row| row.crashes.last())
            .and_then(|number| self.records.get(number));
        let crashed = newest.map(|record| record.endpoint);
        let mut taken = BTreeSet::new();
        if let Some(record) = newest {
            let before = record
                .suspects
                .iter()
                .take_while(|other| **other < fingerprint);
            for other in before {
                let ranked = ranked_endpoints(*other, endpoints, crashed);
                let place = ranked.iter().find(|place| !taken.contains(*place));
                taken.extend(place.copied());
            }
        }
        let ranked = ranked_endpoints(fingerprint, endpoints, crashed);
        let (mut free, shared): (Vec<_>, Vec<_>) =
            ranked.into_iter().partition(|place| !taken.contains(place));
        free.extend(shared);
        free.extend(crashed.filter(|place| free.is_empty() && endpoints.contains(place)));
        free
    }

    /// Removes expired rows. Above the configured bounds, removes the crashes that were recorded
    /// first, the suspects that expire first, and losses at other routers by lowest fingerprint.
    pub fn shrink(&mut self, now: Moment, config: &QuarantineConfig) {
        let evidence = TimeSpan::from_millis(config.evidence_ms);
        let suspicion = TimeSpan::from_millis(config.suspect_ms);
        self.losses.retain(|_, losses| {
            losses.retain(|loss| now.since(loss.at) <= evidence);
            !losses.is_empty()
        });
        let check = TimeSpan::from_millis(config.check_ms);
        self.remote_losses.retain(|_, at| now.since(*at) <= check);
        while self.remote_losses.len() > config.max_suspects as usize {
            self.remote_losses.pop_first();
        }
        self.suspects.retain(|_, row| row.until > now);
        let kept = |record: &CrashRecord| now.since(record.seen_at) <= suspicion;
        self.records.retain(|_, record| kept(record));
        while self.records.len() > config.max_crashes as usize {
            self.records.pop_first();
        }
        while self.suspects.len() > config.max_suspects as usize {
            let oldest = self.suspects.iter().min_by_key(|(_, row)| row.until);
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                break;
            };
            self.suspects.remove(&fingerprint);
        }
    }

    /// Number of crashes in which a request was running, as far as known.
    #[must_use]
    pub fn crash_count(&self, fingerprint: RequestFingerprint) -> usize {
        let row = self.suspects.get(&fingerprint);
        row.map_or(0, |row| row.crashes.len())
    }

    /// Number of known suspects.
    #[must_use]
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }
}

/// The endpoints in rendezvous order for one request, without the one that crashed.
fn ranked_endpoints(
    fingerprint: RequestFingerprint,
    endpoints: &[EndpointId],
    crashed: Option<EndpointId>,
) -> Vec<EndpointId> {
    let mut places: Vec<EndpointId> = endpoints
        .iter()
        .copied()
        .filter(|place| Some(*place) != crashed)
        .collect();
    places.sort_by_key(|place| xxh3_64_with_seed(&fingerprint.0.to_be_bytes(), place.0.into()));
    places
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn suspects_of_one_crash_get_endpoints_of_their_own() {
        let config = QuarantineConfig::default();
        let mut table = CrashTable::default();
        let number = table.add_record(EndpointId(0), 5, CrashEvidence::Confirmed, Moment(0));
        let suspects: Vec<_> = (1..=5).map(RequestFingerprint).collect();
        for suspect in &suspects {
            assert!(!table.add_suspect(number, *suspect, Moment(0), &config));
        }
        let endpoints: Vec<_> = (0..6).map(EndpointId).collect();
        let places: BTreeSet<_> = suspects
            .iter()
            .map(|suspect| table.isolation_endpoints(*suspect, &endpoints)[0])
            .collect();
        assert_eq!(places.len(), 5);
        assert!(!places.contains(&EndpointId(0)));
    }

    #[test]
    fn one_crash_seen_twice_counts_once() {
        let config = QuarantineConfig::default();
        let window = TimeSpan::from_millis(config.evidence_ms);
        let mut table = CrashTable::default();
        let number = table.add_record(EndpointId(1), 5, CrashEvidence::Confirmed, Moment(0));
        let now = Moment(1_000);
        assert_eq!(
            table.find_record(EndpointId(1), 0, now, window),
            Some(number)
        );
        assert_eq!(table.find_record(EndpointId(1), 6, now, window), None);
        assert_eq!(table.find_record(EndpointId(2), 5, now, window), None);
    }
}
