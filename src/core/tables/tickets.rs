//! Tickets that this router life minted, and what became of the requests that used them.

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

use super::team_shelf::TeamShelf;

/// Where a ticket stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketStage {
    /// Minted; no request holds it.
    Offered,
    /// This request holds it: it waits or runs.
    Held(RequestId),
    /// It ended so, for good.
    Ended(RunOutcome),
}

/// One ticket.
#[derive(Debug, Clone)]
pub struct TicketRow {
    /// The team that it was minted for.
    pub team: TeamId,
    /// The request that it was minted for.
    pub fingerprint: RequestFingerprint,
    /// Where it stands.
    pub stage: TicketStage,
    /// Later requests that wait for the answer of the one that holds it.
    pub joined: BTreeSet<RequestId>,
    /// The request whose answer the driver keeps.
    pub answer: Option<RequestId>,
}

/// A request whose ticket names a router life that nobody has told of yet.
#[derive(Debug, Clone)]
pub struct MinterWait {
    /// The request.
    pub facts: RequestFacts,
    /// When it is given up.
    pub until: Moment,
}

/// All tickets of this router life. Memory is bounded: the oldest rows of the team that has the
/// most are cut down to their outcome, and the oldest outcomes are forgotten.
#[derive(Debug, Default)]
pub struct TicketTable {
    minted: u64,
    rows: BTreeMap<u64, TicketRow>,
    idle: TeamShelf,
    outcomes: VecDeque<RunOutcome>,
    answers: TeamShelf,
    holders: BTreeMap<RequestId, u64>,
    joined: BTreeMap<RequestId, u64>,
    /// Requests that wait until their ticket's minter is known.
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
        self.idle.put(facts.team, self.minted, 1);
        self.outcomes.push_back(RunOutcome::Unknown);
        if self.outcomes.len() > config.max_outcomes as usize {
            self.outcomes.pop_front();
        }
        self.minted
    }

    /// A ticket that is remembered in full.
    #[must_use]
    pub fn get(&self, number: u64) -> Option<&TicketRow> {
        self.rows.get(&number)
    }

    /// What is known of a ticket whose row was dropped. Numbers that are too old, and numbers
    /// that were never minted, are unknown.
    #[must_use]
    pub fn outcome_of(&self, number: u64) -> RunOutcome {
        self.place_of(number)
            .and_then(|place| self.outcomes.get(place))
            .copied()
            .unwrap_or(RunOutcome::Unknown)
    }

    fn place_of(&self, number: u64) -> Option<usize> {
        let oldest = self.minted - self.outcomes.len() as u64 + 1;
        let place = number.checked_sub(oldest)?;
        usize::try_from(place).ok()
    }

    /// Gives a ticket to the request that will run with it.
    pub fn hold(&mut self, number: u64, request: RequestId) {
        let Some(row) = self.rows.get_mut(&number) else {
            return;
        };
        row.stage = TicketStage::Held(request);
        self.idle.take(row.team, number);
        self.holders.insert(request, number);
    }

    /// Takes a ticket back from a request that never left its queue, with nothing told to its
    /// caller.
    pub fn put_back(&mut self, number: u64) {
        self.leave_holder(number, TicketStage::Offered);
    }

    /// Ends a ticket for good and returns the requests that waited for its answer.
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
        self.idle.put(row.team, number, 1);
    }

    /// Lets a later request wait for the answer of the one that holds the ticket.
    pub fn join(&mut self, number: u64, request: RequestId) {
        let Some(row) = self.rows.get_mut(&number) else {
            return;
        };
        row.joined.insert(request);
        self.joined.insert(request, number);
    }

    /// Drops a waiting later request; true if there was one.
    pub fn leave(&mut self, request: RequestId) -> bool {
        let Some(number) = self.joined.remove(&request) else {
            return false;
        };
        if let Some(row) = self.rows.get_mut(&number) {
            row.joined.remove(&request);
        }
        true
    }

    /// True if others wait for the answer of the request that holds a ticket.
    #[must_use]
    pub fn is_awaited(&self, number: u64) -> bool {
        self.rows
            .get(&number)
            .is_some_and(|row| !row.joined.is_empty())
    }

    /// Notes that the driver keeps this many bytes of the answer of a holder, or none. Told
    /// before the holder ends.
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

    /// Brings memory back within its bounds. Returns the requests whose answers are forgotten.
    pub fn shrink(&mut self, config: &TicketsConfig) -> Vec<RequestId> {
        let mut forgotten = Vec::new();
        while self.answers.count() > config.max_answers as usize
            || self.answers.weight() > config.max_answer_bytes
        {
            let Some((team, number)) = self.answers.first_to_go() else {
                break;
            };
            self.answers.take(team, number);
            forgotten.extend(self.forget_answer(number));
        }
        while self.idle.count() > config.max_tickets as usize {
            let Some((_, number)) = self.idle.first_to_go() else {
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

    /// Cuts a row down to its outcome. A ticket that was never used ends as not run: its number
    /// can never run once the row is gone.
    fn drop_row(&mut self, number: u64) -> Option<RequestId> {
        let forgotten = self.forget_answer(number);
        let row = self.rows.remove(&number)?;
        self.idle.take(row.team, number);
        self.answers.take(row.team, number);
        let outcome = match row.stage {
            TicketStage::Offered => RunOutcome::NotRun,
            TicketStage::Held(_) => RunOutcome::Unknown,
            TicketStage::Ended(outcome) => outcome,
        };
        if let Some(place) = self.place_of(number)
            && let Some(known) = self.outcomes.get_mut(place)
        {
            *known = outcome;
        }
        forgotten
    }

    /// Tickets remembered in full.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// True if no ticket is remembered in full.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Bytes of kept answers.
    #[must_use]
    pub fn answer_bytes(&self) -> u64 {
        self.answers.weight()
    }

    /// Kept answers.
    #[must_use]
    pub fn answer_count(&self) -> usize {
        self.answers.count()
    }
}
