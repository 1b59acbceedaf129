//! Notices that endpoints give about themselves in their answers, and how long each is valid.
//!
//! Load pattern: the store is unavailable for seconds while endpoints leave or are full. An answer
//! is then the only current source, and the store's entries are older or arrive later.
//!
//! | notice | valid | ended early by |
//! |---|---|---|
//! | the endpoint leaves | for its process, at all routers | its next start only |
//! | its registration says that it leaves, and when it started | as above | its next start only |
//! | it asks for a pause | for that time, at the router that got the notice | its next start only |
//! | it is full | 150 ms | its next start, a newer pause |
//! | another endpoint answers at its address | 250 ms, doubled up to 2 s | as above |
//! | it closes the connection | for the connection | nothing |
//!
//! The last two rows are not notices, but what a router concludes from an answer or a connection.
//! The first three are stored here, by process. The pauses of the next two are stored in the endpoint
//! table, where the newest pause replaces the former one, even a longer one, and a later answer of
//! the endpoint itself resets the doubling. The store, another router's endpoint list and the state
//! of a connection do not change the first three, since none of these is more recent than the
//! endpoint's own notice: a store may do a heartbeat seconds after it was sent.

use std::collections::BTreeMap;

use crate::units::Moment;
use crate::units::TimeSpan;

/// Time for which notices are kept of a process that is no longer listed. Its entry in the endpoint
/// list may only be missing because the store is unavailable, possibly for minutes; it reappears
/// within seconds of the store's recovery.
const NOTICE_RETENTION: TimeSpan = TimeSpan::from_millis(600_000);

/// Notices that one endpoint process gave about itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointNotices {
    /// The process leaves.
    pub is_leaving: bool,
    /// The process asked for no requests before this moment.
    pub paused_until: Moment,
}

impl EndpointNotices {
    /// Returns true if the notices allow new work.
    #[must_use]
    pub fn takes_work(&self, now: Moment) -> bool {
        !self.is_leaving && now >= self.paused_until
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct KeptNotices {
    notices: EndpointNotices,
    received_at: Moment,
}

/// Notices by the hash of the process that gave them.
#[derive(Debug, Default)]
pub struct NoticeTable {
    kept: BTreeMap<u64, KeptNotices>,
}

impl NoticeTable {
    /// Returns the notices of a process.
    #[must_use]
    pub fn of(&self, process_hash: u64) -> EndpointNotices {
        let kept = self.kept.get(&process_hash);
        kept.map_or_else(EndpointNotices::default, |kept| kept.notices)
    }

    /// Records that a process leaves. Returns true if that was not known before.
    pub fn record_leaving(&mut self, now: Moment, process_hash: u64) -> bool {
        let kept = self.kept.entry(process_hash).or_default();
        kept.received_at = now;
        !std::mem::replace(&mut kept.notices.is_leaving, true)
    }

    /// Records that a process asked for a pause. A shorter pause does not end a longer one.
    pub fn record_pause(&mut self, now: Moment, process_hash: u64, pause: TimeSpan) {
        let kept = self.kept.entry(process_hash).or_default();
        kept.received_at = now;
        let until = Moment(now.0.saturating_add(pause.0));
        kept.notices.paused_until = kept.notices.paused_until.max(until);
    }

    /// Drops processes that are not `known` and gave no notice within the retention time.
    pub fn forget(&mut self, now: Moment, known: impl Fn(u64) -> bool) {
        self.kept.retain(|process_hash, kept| {
            now.since(kept.received_at) < NOTICE_RETENTION || known(*process_hash)
        });
    }
}
