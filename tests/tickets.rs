//! Tickets: one execution, the same answer for all callers with the same ticket, bounded memory.

mod cores;

use proptest::prelude::*;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use verbenaturn::configs::CoreConfig;
use verbenaturn::configs::tickets::TicketsConfig;
use verbenaturn::core::action::CoreAction;
use verbenaturn::core::action::RefusalReason;
use verbenaturn::core::action::RunOutcome;
use verbenaturn::core::event::AttemptOutcome;
use verbenaturn::core::event::CoreEvent;
use verbenaturn::core::event::TicketName;
use verbenaturn::tickets::SECRET_BYTES;
use verbenaturn::tickets::TicketError;
use verbenaturn::tickets::TicketSigner;
use verbenaturn::tickets::TicketText;
use verbenaturn::units::ByteSize;
use verbenaturn::units::RequestFingerprint;
use verbenaturn::units::RequestId;
use verbenaturn::units::RouterIncarnation;

use self::cores::CoreFleet;
use self::cores::catalog;
use self::cores::dispatched;
use self::cores::ended;
use self::cores::host;
use self::cores::team;
use self::cores::unrepeatable;

fn refusal(actions: &[CoreAction], request: u64) -> Option<(RefusalReason, RunOutcome)> {
    actions.iter().find_map(|action| match action {
        CoreAction::Refuse {
            request: refused,
            reason,
            outcome,
            ..
        } if refused.0 == request => Some((*reason, *outcome)),
        _ => None,
    })
}

fn joins(actions: &[CoreAction], request: u64, original: u64) -> bool {
    actions.contains(&CoreAction::JoinAnswer {
        request: RequestId(request),
        original: RequestId(original),
    })
}

fn completes(actions: &[CoreAction], request: u64) -> bool {
    actions.contains(&CoreAction::Complete {
        request: RequestId(request),
    })
}

fn kept(request: u64, bytes: u64) -> CoreEvent {
    CoreEvent::AnswerKept {
        request: RequestId(request),
        bytes: Some(ByteSize(bytes)),
    }
}

#[test]
fn the_same_ticket_twice_at_once_runs_once_and_answers_both() {
    // The service is slow, so a client resends a request while the first copy still runs. Both must
    // get the same answer.
    let mut fleet = CoreFleet::new(1, catalog(1, 2));
    let ticket = fleet.get_ticket(0, 1);
    let first = fleet.present(0, 2, ticket);
    assert_eq!(dispatched(&first).len(), 1);
    let second = fleet.present(0, 3, ticket);
    assert!(joins(&second, 3, 2));
    assert!(dispatched(&second).is_empty());
    let end = fleet.ask(0, ended(2, 1, AttemptOutcome::Whole));
    assert!(completes(&end, 2) && completes(&end, 3));
}

#[test]
fn a_late_resend_gets_the_kept_answer_and_else_learns_that_it_ran() {
    let mut fleet = CoreFleet::new(1, catalog(1, 2));
    let ticket = fleet.get_ticket(0, 1);
    fleet.present(0, 2, ticket);
    fleet.handle_event(0, kept(2, 300));
    fleet.ask(0, ended(2, 1, AttemptOutcome::Whole));
    let resend = fleet.present(0, 3, ticket);
    assert!(joins(&resend, 3, 2) && completes(&resend, 3));

    let other = fleet.get_ticket(0, 4);
    fleet.present(0, 5, other);
    fleet.ask(0, ended(5, 1, AttemptOutcome::Whole));
    let resend = fleet.present(0, 6, other);
    let gone = (RefusalReason::TicketGone, RunOutcome::Ran);
    assert_eq!(refusal(&resend, 6), Some(gone));
}

#[test]
fn a_lost_link_ends_the_ticket_as_unknown() {
    // The connection to the endpoint breaks after the request was sent, so it may have run. The
    // caller resends it with the same ticket: it must not run a second time.
    let mut fleet = CoreFleet::new(1, catalog(2, 2));
    let ticket = fleet.get_ticket(0, 1);
    fleet.present(0, 2, ticket);
    let lost = fleet.ask(0, ended(2, 1, AttemptOutcome::LostBeforeAnswer));
    let told = (RefusalReason::LinkLost, RunOutcome::Unknown);
    assert_eq!(refusal(&lost, 2), Some(told));
    fleet.advance(5_000);
    let resend = fleet.present(0, 3, ticket);
    assert_eq!(
        refusal(&resend, 3),
        Some((RefusalReason::TicketGone, RunOutcome::Unknown))
    );
    fleet.advance(5_000);
    assert!(dispatched(&fleet.take(0)).is_empty());
}

#[test]
fn an_attempt_that_was_not_sent_is_tried_again_under_the_same_ticket() {
    let mut fleet = CoreFleet::new(1, catalog(2, 2));
    let ticket = fleet.get_ticket(0, 1);
    fleet.present(0, 2, ticket);
    fleet.handle_event(0, ended(2, 1, AttemptOutcome::Refused));
    fleet.advance(100);
    assert_eq!(dispatched(&fleet.take(0)).len(), 1);
}

#[test]
fn a_ticket_is_good_for_its_team_and_request_only() {
    // A ticket leaks to another team, or a client reuses it for another request. Without the check
    // the second caller would get the first one's answer.
    let mut fleet = CoreFleet::new(1, catalog(1, 2));
    let ticket = fleet.get_ticket(0, 1);
    fleet.present(0, 2, ticket);
    let mut foreign = unrepeatable(3, Some(ticket));
    foreign.team = team(2);
    let mut changed = unrepeatable(4, Some(ticket));
    changed.fingerprint = RequestFingerprint(8);
    for facts in [foreign, changed] {
        let request = facts.request.0;
        let actions = fleet.ask(0, CoreEvent::Arrived(facts));
        let mismatch = (RefusalReason::TicketMismatch, RunOutcome::NotRun);
        assert_eq!(refusal(&actions, request), Some(mismatch));
    }
}

#[test]
fn not_run_stays_true_for_a_copy_that_comes_later() {
    // A client sends a request twice with one ticket, through two routers. The first copy is
    // answered "not run", so the client submits the work anew. If the second copy, which arrives
    // late, ran, the work would be done twice; instead it is offered a new ticket, which nobody
    // uses.
    let mut fleet = CoreFleet::new(1, catalog(1, 0));
    let ticket = fleet.get_ticket(0, 1);
    let mut facts = unrepeatable(2, Some(ticket));
    facts.deadline = fleet.now;
    fleet.handle_event(0, CoreEvent::Arrived(facts));
    fleet.advance(100);
    let told = fleet.take(0);
    assert_eq!(
        refusal(&told, 2).map(|told| told.1),
        Some(RunOutcome::NotRun)
    );
    let late = fleet.present(0, 3, ticket);
    let offered = late.iter().any(|action| {
        matches!(action, CoreAction::OfferTicket { ticket: fresh, .. } if *fresh != ticket)
    });
    assert!(offered && dispatched(&late).is_empty());
}

#[test]
fn a_caller_that_leaves_finds_its_answer_when_it_comes_back() {
    // A client loses its connection while its request runs and resends it a little later. The
    // first call continues, and the second gets its answer instead of "unknown".
    let mut fleet = CoreFleet::new(1, catalog(1, 2));
    let ticket = fleet.get_ticket(0, 1);
    fleet.present(0, 2, ticket);
    let left = fleet.ask(0, CoreEvent::CallerLeft(RequestId(2)));
    assert!(left.is_empty());
    assert!(joins(&fleet.present(0, 3, ticket), 3, 2));
    let end = fleet.ask(0, ended(2, 1, AttemptOutcome::Whole));
    assert!(completes(&end, 3));
}

#[test]
fn a_ticket_of_another_router_goes_there_and_of_a_gone_one_is_unknown() {
    // The load balancer sends a resend to another router than the first call. It must be forwarded
    // to the router that minted the ticket; if that one was replaced, the outcome is unknown.
    let mut fleet = CoreFleet::new(2, catalog(1, 2));
    let ticket = fleet.get_ticket(0, 1);
    let actions = fleet.present(1, 1, ticket);
    let forward = CoreAction::Forward {
        request: RequestId(1),
        host: host(0),
    };
    assert_eq!(actions, vec![forward]);
    let old = ticket;
    fleet.stop(0);
    fleet.start(0);
    fleet.advance(1_000);
    for router in 0..2 {
        fleet.take(router);
        fleet.present(router, 9, old);
        fleet.advance(1_000);
        let told = refusal(&fleet.take(router), 9);
        assert_eq!(told, Some((RefusalReason::TicketGone, RunOutcome::Unknown)));
    }
}

#[test]
fn memory_is_bounded_and_forgotten_tickets_never_run() {
    let tickets = TicketsConfig {
        max_tickets: 4,
        max_outcomes: 8,
        max_answers: 2,
        max_answer_bytes: 1_000,
        ..TicketsConfig::default()
    };
    let config = CoreConfig {
        tickets,
        ..CoreConfig::default()
    };
    let mut fleet = CoreFleet::with_config(1, catalog(1, 4), config);
    let names: Vec<TicketName> = (0..6)
        .map(|turn| run_one(&mut fleet, 10 + 2 * turn))
        .collect();
    let table = &fleet.core(0).state().tickets;
    assert!(table.len() <= 4 && table.answer_count() <= 2 && table.answer_bytes() <= 1_000);
    let resend = fleet.present(0, 90, names[0]);
    let told = (RefusalReason::TicketGone, RunOutcome::Ran);
    assert_eq!(refusal(&resend, 90), Some(told));
    for turn in 0..12 {
        fleet.get_ticket(0, 100 + turn);
    }
    let resend = fleet.present(0, 91, names[0]);
    let told = (RefusalReason::TicketGone, RunOutcome::Unknown);
    assert_eq!(refusal(&resend, 91), Some(told));
}

fn run_one(fleet: &mut CoreFleet, request: u64) -> TicketName {
    let ticket = fleet.get_ticket(0, request);
    fleet.present(0, request + 1, ticket);
    fleet.handle_event(0, kept(request + 1, 400));
    fleet.handle_event(0, ended(request + 1, 1, AttemptOutcome::Whole));
    ticket
}

fn runner() -> TestRunner {
    let config = ProptestConfig::with_cases(512);
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[test]
fn no_change_of_a_ticket_is_accepted() {
    let signer = TicketSigner::new(RouterIncarnation(77), [3; SECRET_BYTES]);
    let inputs = (any::<u64>(), 0_usize..69, any::<char>());
    let outcome = runner().run(&inputs, |(number, place, letter)| {
        let minter = RouterIncarnation(77);
        let text = signer.sign(TicketName { minter, number }).to_string();
        let mut letters: Vec<char> = text.chars().collect();
        prop_assume!(letters[place] != letter);
        letters[place] = letter;
        let changed: String = letters.into_iter().collect();
        match changed.parse::<TicketText>() {
            Err(error) => prop_assert_eq!(error, TicketError::Malformed),
            Ok(ticket) if ticket.name.minter == minter => {
                prop_assert_eq!(signer.check(&ticket), Err(TicketError::Forged));
            }
            // The change names another minter, which rejects the ticket since its secret differs.
            Ok(ticket) => {
                let other = TicketSigner::new(ticket.name.minter, [4; SECRET_BYTES]);
                prop_assert_eq!(other.check(&ticket), Err(TicketError::Forged));
            }
        }
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn any_text_is_read_without_a_panic() {
    let outcome = runner().run(&".{0,90}", |text| {
        if let Ok(ticket) = text.parse::<TicketText>() {
            prop_assert_eq!(ticket.to_string(), text);
        }
        Ok(())
    });
    outcome.unwrap();
}
