//! Unfinished requests that entered the fleet at this router.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::catalog::UrgencyClass;
use crate::core::event::RepeatRule;
use crate::core::event::RequestFacts;
use crate::units::AttemptNumber;
use crate::units::EndpointId;
use crate::units::Moment;
use crate::units::RequestId;

/// Stage of a request's processing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStage {
    /// Undecided, neither queued nor running: it just arrived, or its attempt ended or was
    /// cancelled, and no system has decided about it yet.
    New,
    /// In its team's queue.
    Waiting,
    /// In backoff before a retry, until this time.
    Backoff(Moment),
    /// An attempt is running.
    Running {
        /// The attempt's number.
        attempt: AttemptNumber,
        /// The endpoint it runs on.
        endpoint: EndpointId,
        /// When the attempt was dispatched.
        since: Moment,
    },
}

/// The currently running attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningAttempt {
    /// The endpoint it runs on.
    pub endpoint: EndpointId,
    /// When it was dispatched.
    pub since: Moment,
}

/// An unfinished request.
#[derive(Debug, Clone)]
pub struct RequestEntry {
    /// Facts known on arrival.
    pub facts: RequestFacts,
    /// Its urgency class.
    pub urgency: UrgencyClass,
    /// When it arrived.
    pub arrived: Moment,
    /// Its current stage.
    pub stage: RequestStage,
    /// Number of attempts made so far.
    pub attempts: u32,
    /// Bytes or events of the answer that were passed on to the caller.
    pub passed_on: u64,
    /// Service units charged for the running attempt so far.
    pub charged: i64,
    /// The endpoint of the last attempt; a retry prefers another one.
    pub last_endpoint: Option<EndpointId>,
    /// True once an attempt has ended that an endpoint may have executed; an attempt that was not
    /// sent or was refused with an answer is none. Not yet set while the first attempt runs.
    pub may_have_run: bool,
}

impl RequestEntry {
    /// Creates the entry of a request that just arrived.
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

    /// True if the request may be executed more than once.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.facts.repeat == RepeatRule::Repeatable
    }

    /// The running attempt if its number is `attempt`, else `None`. Callers use this to drop late
    /// events of older attempts: if such an event ended the newer attempt, the caller could get a
    /// duplicated or mixed answer.
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

    /// True if `attempt` is the running attempt; see [`Self::running`].
    #[must_use]
    pub fn runs_attempt(&self, attempt: AttemptNumber) -> bool {
        self.running(attempt).is_some()
    }
}

/// All unfinished requests, indexed by id and by deadline.
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

    /// Removes a request.
    pub fn remove(&mut self, request: RequestId) -> Option<RequestEntry> {
        let entry = self.rows.remove(&request)?;
        self.deadlines.remove(&(entry.facts.deadline, request));
        Some(entry)
    }

    /// The entry of a request.
    #[must_use]
    pub fn get(&self, request: RequestId) -> Option<&RequestEntry> {
        self.rows.get(&request)
    }

    /// Mutable access to the entry of a request.
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

    /// All requests in order of id.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestId, &RequestEntry)> {
        self.rows.iter()
    }

    /// Number of requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// True if there are no requests.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
