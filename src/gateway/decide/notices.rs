//! Notices that endpoints give about themselves in their answers, and how long each is valid.
//!
//! Load pattern: the store is unavailable for seconds while endpoints leave or are full. An answer
//! is then the only current source, and the store's entries are older or arrive later.
//!
//! | notice | valid | ended early by |
//! |---|---|---|
//! | the endpoint leaves | for its process, at all routers | its next start only |
//! | it asks for a pause | for that time, at the router that got the notice | its next start only |
//! | it is full | briefly | nothing |
//! | another endpoint answers at its address | for a growing pause | a later answer of its own |
//! | it closes the connection | for the connection | nothing |
//!
//! The first two are stored here, by process. The store, a peer's list and the state of a
//! connection do not change them, since none of these is more recent than the endpoint's own
//! notice.

use std::collections::BTreeMap;

use crate::units::Moment;
use crate::units::TimeSpan;

/// Time for which notices are kept of a process that is no longer listed. An entry reappears within
/// seconds of the store's recovery, and a store may be unavailable for minutes.
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
    pub fn of(&self, life: u64) -> EndpointNotices {
        let kept = self.kept.get(&life);
        kept.map_or_else(EndpointNotices::default, |kept| kept.notices)
    }

    /// Records that a process leaves. Returns true if that was not known before.
    pub fn record_leaving(&mut self, now: Moment, life: u64) -> bool {
        let kept = self.kept.entry(life).or_default();
        kept.received_at = now;
        !std::mem::replace(&mut kept.notices.is_leaving, true)
    }

    /// Records that a process asked for a pause. A shorter pause does not end a longer one.
    pub fn record_pause(&mut self, now: Moment, life: u64, pause: TimeSpan) {
        let kept = self.kept.entry(life).or_default();
        kept.received_at = now;
        let until = Moment(now.0.saturating_add(pause.0));
        kept.notices.paused_until = kept.notices.paused_until.max(until);
    }

    /// Drops processes that are not `known` and gave no notice within the retention time.
    pub fn forget(&mut self, now: Moment, known: impl Fn(u64) -> bool) {
        self.kept
            .retain(|life, kept| now.since(kept.received_at) < NOTICE_RETENTION || known(*life));
    }
}
