//! Tickets of unrepeatable requests: at most one execution per ticket.
//!
//! A ticket names the router incarnation that minted it, and only that incarnation runs it. A
//! single process thus decides alone, without consensus: no clock, quorum or shared state is
//! involved, and a partition, a pause or a restart can't lead to a second execution. If the minter
//! no longer stores the outcome, or is gone and can't be asked, the outcome is "unknown".

use crate::core::action::CoreAction;
use crate::core::action::RefusalReason;
use crate::core::action::RunOutcome;
use crate::core::event::CoreEvent;
use crate::core::event::RepeatRule;
use crate::core::event::RequestFacts;
use crate::core::event::TicketName;
use crate::core::state::CoreState;
use crate::core::systems::admission;
use crate::core::systems::draining;
use crate::core::tables::members::MemberState;
use crate::core::tables::tickets::MinterWait;
use crate::core::tables::tickets::TicketStage;
use crate::units::HostName;
use crate::units::RequestId;
use crate::units::RouterIncarnation;
use crate::units::TimeSpan;

/// What to do with a request after its ticket was checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketDecision {
    /// The request may be queued and run here.
    Admit,
    /// The request was answered, joined to another one, forwarded, or waits until the minter of its
    /// ticket is known.
    Handled,
}

/// Handles kept answers, callers that disconnect, and ticks.
pub fn run(state: &mut CoreState, event: &CoreEvent) {
    match event {
        CoreEvent::AnswerKept { request, bytes } => {
            let bytes = bytes.map(|size| size.0);
            state.tickets.note_answer(*request, bytes);
            shrink(state);
        }
        CoreEvent::CallerLeft(request) => {
            state.tickets.leave(*request);
            state.tickets.minter_waits.remove(request);
        }
        CoreEvent::Tick => recheck_minter_waits(state),
        _ => {}
    }
}

/// Checks the ticket of a request that just arrived.
pub fn check_ticket(state: &mut CoreState, facts: &RequestFacts) -> TicketDecision {
    match facts.repeat {
        RepeatRule::Repeatable => TicketDecision::Admit,
        RepeatRule::Unrepeatable(None) => {
            offer_or_refuse(state, facts);
            TicketDecision::Handled
        }
        RepeatRule::Unrepeatable(Some(ticket)) => {
            if ticket.minter == state.identity.incarnation {
                return check_own_ticket(state, facts, ticket.number);
            }
            forward_to_minter(state, facts, ticket.minter);
            TicketDecision::Handled
        }
    }
}

/// Offers a ticket if the request would be admitted now, and refuses the request otherwise, so that
/// its caller learns of a full queue on the first try.
fn offer_or_refuse(state: &mut CoreState, facts: &RequestFacts) {
    if state.draining {
        draining::refuse(state, facts.request);
        return;
    }
    if let Some(refusal) = admission::reason_to_refuse(state, facts) {
        state.act(CoreAction::Refuse {
            request: facts.request,
            reason: refusal.reason,
            outcome: RunOutcome::NotRun,
            retry_after: refusal.retry_after,
        });
        return;
    }
    offer(state, facts);
}

fn offer(state: &mut CoreState, facts: &RequestFacts) {
    let number = state.tickets.mint(facts, &state.config.tickets);
    shrink(state);
    state.act(CoreAction::OfferTicket {
        request: facts.request,
        ticket: TicketName {
            minter: state.identity.incarnation,
            number,
        },
    });
}

fn check_own_ticket(state: &mut CoreState, facts: &RequestFacts, number: u64) -> TicketDecision {
    let request = facts.request;
    let Some(row) = state.tickets.get(number) else {
        answer_ended(state, facts, state.tickets.outcome_of(number));
        return TicketDecision::Handled;
    };
    if row.team != facts.team || row.fingerprint != facts.fingerprint {
        // With a ticket of another request, the caller would get the answer to a request that is
        // not its own. The request that the ticket was minted for is not affected.
        let reason = RefusalReason::TicketMismatch;
        refuse(state, request, reason, RunOutcome::NotRun);
        return TicketDecision::Handled;
    }
    match (row.stage, row.answer) {
        (TicketStage::Offered, _) => {
            state.tickets.hold(number, request);
            return TicketDecision::Admit;
        }
        (TicketStage::Held(original), _) => join(state, number, request, original),
        (TicketStage::Ended(RunOutcome::Ran), Some(original)) => {
            state.act(CoreAction::JoinAnswer { request, original });
            state.act(CoreAction::Complete { request });
        }
        (TicketStage::Ended(outcome), _) => answer_ended(state, facts, outcome),
    }
    TicketDecision::Handled
}

fn join(state: &mut CoreState, number: u64, request: RequestId, original: RequestId) {
    let joined = state.tickets.get(number).map_or(0, |row| row.joined.len());
    if joined >= state.config.tickets.max_joined as usize {
        refuse(
            state,
            request,
            RefusalReason::QueueFull,
            RunOutcome::Unknown,
        );
        return;
    }
    state.tickets.join(number, request);
    state.act(CoreAction::JoinAnswer { request, original });
}

/// Answers a request whose ticket has ended and whose answer is not kept. If the request did not
/// run, and so never will under that ticket, it is offered a new ticket.
fn answer_ended(state: &mut CoreState, facts: &RequestFacts, outcome: RunOutcome) {
    if outcome == RunOutcome::NotRun {
        offer_or_refuse(state, facts);
        return;
    }
    state.act(CoreAction::Refuse {
        request: facts.request,
        reason: RefusalReason::TicketGone,
        outcome,
        retry_after: TimeSpan(0),
    });
}

/// Refuses a request that is in no table.
fn refuse(state: &mut CoreState, request: RequestId, reason: RefusalReason, outcome: RunOutcome) {
    let retry_after = match reason {
        RefusalReason::TicketMismatch => TimeSpan(0),
        _ => TimeSpan::from_millis(state.config.admission.retry_after_ms),
    };
    state.act(CoreAction::Refuse {
        request,
        reason,
        outcome,
        retry_after,
    });
}

/// Handles a request whose ticket another router incarnation minted: it is forwarded to that
/// router's host, refused, or held until that incarnation is known.
fn forward_to_minter(state: &mut CoreState, facts: &RequestFacts, minter: RouterIncarnation) {
    match find_minter(state, minter) {
        MinterLookup::Reachable(host) if !facts.forwarded => {
            state.act(CoreAction::Forward {
                request: facts.request,
                host,
            });
        }
        // A forwarded request that reaches the wrong incarnation was sent by a router with an
        // outdated view. Forwarding it again could loop forever; only its minter may decide.
        MinterLookup::Reachable(_) | MinterLookup::Gone => refuse_unknown(state, facts.request),
        MinterLookup::NotYetKnown => {
            let wait = TimeSpan::from_millis(state.config.tickets.minter_wait_ms);
            let until = (state.now + wait).min(facts.deadline);
            let facts = facts.clone();
            state
                .tickets
                .minter_waits
                .insert(facts.request, MinterWait { facts, until });
        }
    }
}

enum MinterLookup {
    Reachable(HostName),
    Gone,
    NotYetKnown,
}

fn find_minter(state: &CoreState, minter: RouterIncarnation) -> MinterLookup {
    let row = state
        .members
        .iter()
        .find(|(_, row)| row.incarnation == Some(minter));
    match row {
        Some((_, row)) if row.state == MemberState::Dead => MinterLookup::Gone,
        Some((host, _)) => MinterLookup::Reachable(host.clone()),
        None => MinterLookup::NotYetKnown,
    }
}

/// Refuses a request whose minter is gone, or is considered gone: whether it ran the request can't
/// be known here. A later retry can still get the answer if the minter was only disconnected.
fn refuse_unknown(state: &mut CoreState, request: RequestId) {
    refuse(
        state,
        request,
        RefusalReason::TicketGone,
        RunOutcome::Unknown,
    );
}

/// Handles waiting requests whose ticket's minter is known by now, or whose wait has expired.
///
/// A minter can be unknown here because this router just started, or because the ticket arrived
/// before the gossip about the minter's new incarnation. The request waits a short while, since
/// "unknown" would be an unnecessary answer. That answer is always safe, so correctness does not
/// depend on the wait.
fn recheck_minter_waits(state: &mut CoreState) {
    let waits: Vec<MinterWait> = state.tickets.minter_waits.values().cloned().collect();
    for wait in waits {
        let RepeatRule::Unrepeatable(Some(ticket)) = wait.facts.repeat else {
            continue;
        };
        let known = !matches!(find_minter(state, ticket.minter), MinterLookup::NotYetKnown);
        if known {
            state.tickets.minter_waits.remove(&wait.facts.request);
            forward_to_minter(state, &wait.facts, ticket.minter);
        } else if state.now >= wait.until {
            state.tickets.minter_waits.remove(&wait.facts.request);
            refuse_unknown(state, wait.facts.request);
        }
    }
}

fn own_number(state: &CoreState, repeat: RepeatRule) -> Option<u64> {
    match repeat {
        RepeatRule::Unrepeatable(Some(ticket)) if ticket.minter == state.identity.incarnation => {
            Some(ticket.number)
        }
        _ => None,
    }
}

/// Ends a ticket whose request was answered completely, and completes the requests joined to it.
pub fn completed(state: &mut CoreState, repeat: RepeatRule) {
    let Some(number) = own_number(state, repeat) else {
        return;
    };
    for request in state.tickets.end(number, RunOutcome::Ran) {
        state.act(CoreAction::Complete { request });
    }
    shrink(state);
}

/// Ends a ticket whose request was refused or given up. All its callers get the same outcome, and
/// the ticket keeps it: once "not run" was sent it stays true, also for a copy of the request that
/// is still on its way.
pub fn refused(
    state: &mut CoreState,
    repeat: RepeatRule,
    reason: RefusalReason,
    outcome: RunOutcome,
    retry_after: TimeSpan,
) {
    let Some(number) = own_number(state, repeat) else {
        return;
    };
    for request in state.tickets.end(number, outcome) {
        state.act(CoreAction::Refuse {
            request,
            reason,
            outcome,
            retry_after,
        });
    }
    shrink(state);
}

/// Returns true if a request must continue although its caller disconnected: other callers wait for
/// its answer, or it may have run and a resend must find the answer. Otherwise makes its ticket
/// available for use again and returns false.
pub fn continue_or_release_ticket(
    state: &mut CoreState,
    repeat: RepeatRule,
    may_have_run: bool,
) -> bool {
    let Some(number) = own_number(state, repeat) else {
        return false;
    };
    if may_have_run || state.tickets.is_awaited(number) {
        return true;
    }
    state.tickets.make_available(number);
    false
}

fn shrink(state: &mut CoreState) {
    for request in state.tickets.shrink(&state.config.tickets) {
        state.act(CoreAction::ForgetAnswer { request });
    }
}
