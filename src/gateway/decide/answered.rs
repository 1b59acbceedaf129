//! Requests that were answered whole recently, or parts of their prompts, which therefore don't end
//! each process that runs them.
//!
//! Load pattern: callers of all routers send one harmless request all the time, so that it runs at
//! several endpoints whenever endpoints crash, at several of one failure domain even at once. The
//! crashes alone would have it refused for minutes. Each router remembers what was answered whole
//! here. Only what is accused as well is told to the others, so that the messages stay small, and
//! only by routers that answered it, so that an answer is not passed on for ever.

use std::collections::BTreeMap;

use crate::units::Moment;
use crate::units::TimeSpan;

/// Time after the last accusation for which an answer is told to other routers: crashes' suspects
/// are told as long, and routers that have cleared an item suspect it no more.
const ACCUSATION_REPORT_TIME: TimeSpan = TimeSpan::from_millis(10_000);

/// How the end of an answer is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEnd {
    /// By its length or its last chunk.
    Framed,
    /// By the close of its connection, after which the endpoint's process was still running.
    Survived,
    /// By the close of its connection, which the end of the endpoint's process looks like.
    Closed,
}

/// What a proven answer tells about its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerEvidence {
    /// HTTP status of the answer.
    pub status: u16,
    /// How its end was recognised.
    pub end: AnswerEnd,
}

impl AnswerEvidence {
    /// Returns true if the endpoint outlived the answer to this request.
    #[must_use]
    pub fn clears_request(self) -> bool {
        self.end != AnswerEnd::Closed
    }

    /// Returns true if the endpoint wrote a successful answer and outlived it. A failure may have
    /// been answered before anything was written on the prompt.
    #[must_use]
    pub fn clears_parts(self) -> bool {
        self.clears_request() && (200..300).contains(&self.status)
    }
}

/// Items answered whole recently: requests, or parts of prompts.
#[derive(Debug)]
pub struct RecentAnswers<K> {
    /// By this router.
    here: BTreeMap<K, Moment>,
    /// By other routers, as they report.
    elsewhere: BTreeMap<K, Moment>,
    /// Items answered here that some router suspects, with the last time when one did.
    accused: BTreeMap<K, Moment>,
    /// Time for which an answer clears an item.
    retention: TimeSpan,
    /// Maximum number of items that are remembered of each kind of answers.
    most: usize,
}

impl<K: Copy + Ord> RecentAnswers<K> {
    /// Creates a memory that keeps `most` items for `retention`.
    #[must_use]
    pub fn new(retention: TimeSpan, most: usize) -> Self {
        Self {
            here: BTreeMap::new(),
            elsewhere: BTreeMap::new(),
            accused: BTreeMap::new(),
            retention,
            most,
        }
    }

    /// Records an answer of this router. `is_accused` tells whether the item was suspected.
    pub fn record_here(&mut self, now: Moment, item: K, is_accused: bool) {
        self.here.insert(item, now);
        if is_accused {
            self.accused.insert(item, now);
        }
    }

    /// Records an answer that another router reports. Returns false if one is known already.
    pub fn record_elsewhere(&mut self, now: Moment, item: K) -> bool {
        self.elsewhere.insert(item, now).is_none()
    }

    /// Returns true if an item that is accused now was answered whole recently.
    pub fn clears(&mut self, now: Moment, item: K) -> bool {
        if self.here.contains_key(&item) {
            self.accused.insert(item, now);
            return true;
        }
        self.elsewhere.contains_key(&item)
    }

    /// Returns the items to report to other routers.
    #[must_use]
    pub fn accused(&self) -> Vec<K> {
        self.accused.keys().copied().collect()
    }

    /// Drops old answers.
    pub fn shrink(&mut self, now: Moment) {
        for answers in [&mut self.here, &mut self.elsewhere] {
            answers.retain(|_, at| now.since(*at) < self.retention);
            drop_oldest(answers, self.most);
        }
        self.accused.retain(|item, at| {
            self.here.contains_key(item) && now.since(*at) < ACCUSATION_REPORT_TIME
        });
    }
}

/// Drops the oldest answers beyond `most`.
fn drop_oldest<K: Copy + Ord>(answers: &mut BTreeMap<K, Moment>, most: usize) {
    let excess = answers.len().saturating_sub(most);
    if excess == 0 {
        return;
    }
    let mut times: Vec<Moment> = answers.values().copied().collect();
    times.sort_unstable();
    let last_dropped = times[excess - 1];
    answers.retain(|_, at| *at > last_dropped);
}
