//! Tickets minted by this router incarnation, and the outcomes of the requests that used them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::configs::tickets::TicketsConfig;
use crate::core::action::RunOutcome;
use crate::core::event::RequestFacts;
use crate::units::Moment;
use crate::units::RequestFingerprint;
use crate::units::RequestId;
use crate::units::TeamId;

use super::team_eviction::TeamEvictionIndex;

/// Stage of a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketStage {
    /// Minted; not held by any request.
    Offered,
    /// Held by this request, which waits or runs.
    Held(RequestId),
    /// Used up; the request ended with this outcome.
    Ended(RunOutcome),
}

/// A ticket.
#[derive(Debug, Clone)]
pub struct TicketRow {
    /// The team that it was minted for.
    pub team: TeamId,
    /// The request that it was minted for.
    pub fingerprint: RequestFingerprint,
    /// Its stage.
    pub stage: TicketStage,
    /// Later requests with the same ticket that wait for the answer to its holder.
    pub joined: BTreeSet<RequestId>,
    /// The request whose answer the driver stores, if any.
    pub answer: Option<RequestId>,
}

/// A request with a ticket of a router incarnation that is not known yet.
#[derive(Debug, Clone)]
pub struct MinterWait {
    /// The request.
    pub facts: RequestFacts,
    /// When the request is given up.
    pub until: Moment,
}

/// All tickets minted by this router incarnation. Memory is bounded: the oldest rows of the team
/// with the most rows are reduced to their outcome, and the oldest outcomes are dropped.
#[derive(Debug, Default)]
pub struct TicketTable {
    /// Number of the last ticket minted.
    minted: u64,
    rows: BTreeMap<u64, TicketRow>,
    /// Rows that no request holds, which may be evicted; each has weight 1.
    unheld: TeamEvictionIndex,
    outcomes: VecDeque<RunOutcome>,
    /// Rows with a stored answer; the weight is its size in bytes.
    answers: TeamEvictionIndex,
    /// Ticket number by request, for requests that hold a ticket or whose answer is stored.
    holders: BTreeMap<RequestId, u64>,
    joined: BTreeMap<RequestId, u64>,
    /// Requests that wait for the incarnation that minted their ticket to become known.
    pub minter_waits: BTreeMap<RequestId, MinterWait>,
}

impl TicketTable {
    /// Mints a ticket for a request and returns its number.
    pub fn mint(&mut self, facts: &RequestFacts, config: &TicketsConfig) -> u64 {
        self.minted += 1;
        let row = TicketRow {
            team: facts.team,
            fingerprint: facts.fingerprint,
            stage: TicketStage::Offered,
            joined: BTreeSet::new(),
            answer: None,
        };
        self.rows.insert(self.minted, row);
        self.unheld.put(facts.team, self.minted, 1);
        self.outcomes.push_back(RunOutcome::Unknown);
        if self.outcomes.len() > config.max_outcomes as usize {
            self.outcomes.pop_front();
        }
        self.minted
    }

    /// A ticket whose row is still stored.
    #[must_use]
    pub fn get(&self, number: u64) -> Option<&TicketRow> {
        self.rows.get(&number)
    }

    /// The outcome of a ticket whose row was dropped; `Unknown` for numbers that are too old or
    /// were never minted.
    #[must_use]
    pub fn outcome_of(&self, number: u64) -> RunOutcome {
        self.outcome_index(number)
            .and_then(|place| self.outcomes.get(place))
            .copied()
            .unwrap_or(RunOutcome::Unknown)
    }

    fn outcome_index(&self, number: u64) -> Option<usize> {
        let oldest = self.minted - self.outcomes.len() as u64 + 1;
        let place = number.checked_sub(oldest)?;
        usize::try_from(place).ok()
    }

    /// Assigns a ticket to the request that will run with it.
    pub fn hold(&mut self, number: u64, request: RequestId) {
        let Some(row) = self.rows.get_mut(&number) else {
            return;
        };
        row.stage = TicketStage::Held(request);
        self.unheld.take(row.team, number);
        self.holders.insert(request, number);
    }

    /// Makes a ticket available again, after its holder was dropped from its queue without an
    /// answer to its caller.
    pub fn make_available(&mut self, number: u64) {
        self.leave_holder(number, TicketStage::Offered);
    }

    /// Ends a ticket and returns the requests that waited for its answer.
    pub fn end(&mut self, number: u64, outcome: RunOutcome) -> BTreeSet<RequestId> {
        self.leave_holder(number, TicketStage::Ended(outcome));
        let Some(row) = self.rows.get_mut(&number) else {
            return BTreeSet::new();
        };
        let joined = std::mem::take(&mut row.joined);
        if outcome != RunOutcome::Ran
            && let Some(request) = row.answer.take()
        {
            self.answers.take(row.team, number);
            self.holders.remove(&request);
        }
        for request in &joined {
            self.joined.remove(request);
        }
        joined
    }

    fn leave_holder(&mut self, number: u64, stage: TicketStage) {
        let Some(row) = self.rows.get_mut(&number) else {
            return;
        };
        if let TicketStage::Held(request) = row.stage
            && row.answer.is_none()
        {
            self.holders.remove(&request);
        }
        row.stage = stage;
        self.unheld.put(row.team, number, 1);
    }

    /// Makes a later request wait for the answer to the ticket's holder.
    pub fn join(&mut self, number: u64, request: RequestId) {
        let Some(row) = self.rows.get_mut(&number) else {
            return;
        };
        row.joined.insert(request);
        self.joined.insert(request, number);
    }

    /// Removes a request that waits for the answer to another; returns false if it doesn't wait.
    pub fn leave(&mut self, request: RequestId) -> bool {
        let Some(number) = self.joined.remove(&request) else {
            return false;
        };
        if let Some(row) = self.rows.get_mut(&number) {
            row.joined.remove(&request);
        }
        true
    }

    /// True if other requests wait for the answer to a ticket's holder.
    #[must_use]
    pub fn is_awaited(&self, number: u64) -> bool {
        self.rows
            .get(&number)
            .is_some_and(|row| !row.joined.is_empty())
    }

    /// Records how many bytes of the answer to a ticket's holder the driver stores; `None` if the
    /// answer was discarded. Must be called before the holder ends.
    pub fn note_answer(&mut self, request: RequestId, bytes: Option<u64>) {
        let Some(number) = self.holders.get(&request).copied() else {
            return;
        };
        let Some(row) = self.rows.get_mut(&number) else {
            return;
        };
        if let Some(bytes) = bytes {
            row.answer = Some(request);
            self.answers.put(row.team, number, bytes.max(1));
        } else {
            row.answer = None;
            self.answers.take(row.team, number);
        }
    }

    /// Evicts answers and rows above the configured bounds. Returns the requests whose stored
    /// answers must be deleted.
    pub fn shrink(&mut self, config: &TicketsConfig) -> Vec<RequestId> {
        let mut forgotten = Vec::new();
        while self.answers.count() > config.max_answers as usize
            || self.answers.weight() > config.max_answer_bytes
        {
            let Some((team, number)) = self.answers.eviction_candidate() else {
                break;
            };
            self.answers.take(team, number);
            forgotten.extend(self.forget_answer(number));
        }
        while self.unheld.count() > config.max_tickets as usize {
            let Some((_, number)) = self.unheld.eviction_candidate() else {
                break;
            };
            forgotten.extend(self.drop_row(number));
        }
        forgotten
    }

    fn forget_answer(&mut self, number: u64) -> Option<RequestId> {
        let row = self.rows.get_mut(&number)?;
        let request = row.answer.take()?;
        if !matches!(row.stage, TicketStage::Held(_)) {
            self.holders.remove(&request);
        }
        Some(request)
    }

    /// Reduces a row to its outcome. A ticket that was never used gets the outcome `NotRun`,
    /// because its number can't run any more without the row.
    fn drop_row(&mut self, number: u64) -> Option<RequestId> {
        let forgotten = self.forget_answer(number);
        let row = self.rows.remove(&number)?;
        self.unheld.take(row.team, number);
        self.answers.take(row.team, number);
        let outcome = match row.stage {
            TicketStage::Offered => RunOutcome::NotRun,
            TicketStage::Held(_) => RunOutcome::Unknown,
            TicketStage::Ended(outcome) => outcome,
        };
        if let Some(place) = self.outcome_index(number)
            && let Some(known) = self.outcomes.get_mut(place)
        {
            *known = outcome;
        }
        forgotten
    }

    /// Number of stored rows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// True if no rows are stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Total size of the stored answers in bytes.
    #[must_use]
    pub fn answer_bytes(&self) -> u64 {
        self.answers.weight()
    }

    /// Number of stored answers.
    #[must_use]
    pub fn answer_count(&self) -> usize {
        self.answers.count()
    }
}
