//! Requests that entered the fleet at this router and have not ended.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::catalog::UrgencyClass;
use crate::core::event::RepeatRule;
use crate::core::event::RequestFacts;
use crate::units::AttemptNumber;
use crate::units::EndpointId;
use crate::units::Moment;
use crate::units::RequestId;

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStage {
    /// Just arrived; no system has decided yet.
    New,
    /// In its team's queue.
    Waiting,
    /// Waits before a retry.
    Backoff(Moment),
    /// An attempt runs.
    Running {
        /// Its number.
        attempt: AttemptNumber,
        /// Where it runs.
        endpoint: EndpointId,
        /// When it was dispatched.
        since: Moment,
    },
}

/// An attempt that runs now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningAttempt {
    /// Where it runs.
    pub endpoint: EndpointId,
    /// When it was dispatched.
    pub since: Moment,
}

/// One request.
#[derive(Debug, Clone)]
pub struct RequestEntry {
    /// What was known on arrival.
    pub facts: RequestFacts,
    /// How quickly its caller needs the answer.
    pub urgency: UrgencyClass,
    /// When it arrived.
    pub arrived: Moment,
    /// Where it stands.
    pub stage: RequestStage,
    /// Attempts made so far.
    pub attempts: u32,
    /// Bytes or events of the answer that the caller has.
    pub passed_on: u64,
    /// Service charged for the running attempt.
    pub charged: i64,
    /// The endpoint of the last attempt, not to be tried twice in a row.
    pub last_endpoint: Option<EndpointId>,
    /// True once a byte of an attempt may have reached an endpoint.
    pub may_have_run: bool,
}

impl RequestEntry {
    /// A request that just arrived.
    #[must_use]
    pub fn new(facts: RequestFacts, urgency: UrgencyClass, arrived: Moment) -> Self {
        Self {
            facts,
            urgency,
            arrived,
            stage: RequestStage::New,
            attempts: 0,
            passed_on: 0,
            charged: 0,
            last_endpoint: None,
            may_have_run: false,
        }
    }

    /// True if a second execution does no harm.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.facts.repeat == RepeatRule::Repeatable
    }

    /// Where and since when `attempt` runs; `None` unless it is the attempt that runs now. Events
    /// of older attempts are late and dropped by this: ending the newer attempt for them would
    /// give the caller an answer twice or mixed.
    #[must_use]
    pub fn running(&self, attempt: AttemptNumber) -> Option<RunningAttempt> {
        match self.stage {
            RequestStage::Running {
                attempt: running,
                endpoint,
                since,
            } if running == attempt => Some(RunningAttempt { endpoint, since }),
            _ => None,
        }
    }

    /// True if `attempt` is the one that runs. Events of older attempts are late and dropped.
    #[must_use]
    pub fn runs_attempt(&self, attempt: AttemptNumber) -> bool {
        self.running(attempt).is_some()
    }
}

/// All requests, with the deadlines of those that wait.
#[derive(Debug, Default)]
pub struct RequestTable {
    rows: BTreeMap<RequestId, RequestEntry>,
    deadlines: BTreeSet<(Moment, RequestId)>,
}

impl RequestTable {
    /// Adds a request.
    pub fn insert(&mut self, entry: RequestEntry) {
        let request = entry.facts.request;
        self.deadlines.insert((entry.facts.deadline, request));
        self.rows.insert(request, entry);
    }

    /// Drops a request.
    pub fn remove(&mut self, request: RequestId) -> Option<RequestEntry> {
        let entry = self.rows.remove(&request)?;
        self.deadlines.remove(&(entry.facts.deadline, request));
        Some(entry)
    }

    /// A request.
    #[must_use]
    pub fn get(&self, request: RequestId) -> Option<&RequestEntry> {
        self.rows.get(&request)
    }

    /// A request, to change it.
    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut RequestEntry> {
        self.rows.get_mut(&request)
    }

    /// Requests whose deadline has passed.
    #[must_use]
    pub fn overdue(&self, now: Moment) -> Vec<RequestId> {
        self.deadlines
            .iter()
            .take_while(|(deadline, _)| *deadline <= now)
            .map(|(_, request)| *request)
            .collect()
    }

    /// All requests in id order.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestId, &RequestEntry)> {
        self.rows.iter()
    }

    /// How many there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// True if there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
