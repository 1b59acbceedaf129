//! Draining a router: nothing is cut, nothing is lost, nothing runs twice.

mod cores;

use verbenaturn::core::action::CoreAction;
use verbenaturn::core::action::RefusalReason;
use verbenaturn::core::action::RunOutcome;
use verbenaturn::core::event::AttemptOutcome;
use verbenaturn::core::event::CoreEvent;
use verbenaturn::units::RequestId;

use self::cores::CoreFleet;
use self::cores::catalog;
use self::cores::dispatched;
use self::cores::ended;
use self::cores::facts;
use self::cores::host;
use self::cores::unrepeatable;

fn forward(request: u64, router: usize) -> CoreAction {
    CoreAction::Forward {
        request: RequestId(request),
        host: host(router),
    }
}

#[test]
fn waiting_requests_move_and_running_ones_finish() {
    // An operator replaces a host while a review runs on it and another waits. The review that
    // runs ends whole there, the waiting one is served by the other router, then the host is
    // free to go.
    let mut fleet = CoreFleet::new(2, catalog(1, 1));
    fleet.handle_event(0, CoreEvent::Arrived(facts(1)));
    fleet.advance(200);
    assert_eq!(dispatched(&fleet.take(0)).len(), 1);
    fleet.handle_event(0, CoreEvent::Arrived(facts(2)));
    let asked = fleet.ask(0, CoreEvent::DrainAsked);
    assert_eq!(asked, vec![forward(2, 1)]);
    fleet.advance(300);
    assert!(!fleet.take(0).contains(&CoreAction::Drained));
    let end = fleet.ask(0, ended(1, 1, AttemptOutcome::Whole));
    assert!(end.contains(&CoreAction::Complete {
        request: RequestId(1)
    }));
    fleet.advance(500);
    assert_eq!(fleet.take(0), vec![CoreAction::Drained]);
    assert_eq!(fleet.core(0).state().entries[&cores::pool()].held, 0);
}

#[test]
fn a_ticketed_request_stays_with_its_minter_to_the_end() {
    // A mixing log waits at a router that is told to drain. Were it handed over, the peer would
    // have to run a ticket that it did not mint, and a resend could run it again here. So it is
    // served here first, and a resend by way of the peer still finds it.
    let mut fleet = CoreFleet::new(2, catalog(1, 1));
    fleet.handle_event(0, CoreEvent::Arrived(facts(1)));
    fleet.advance(200);
    let ticket = fleet.get_ticket(0, 2);
    fleet.present(0, 3, ticket);
    let asked = fleet.ask(0, CoreEvent::DrainAsked);
    assert!(asked.is_empty());
    assert_eq!(fleet.present(1, 9, ticket), vec![forward(9, 0)]);
    let join = CoreAction::JoinAnswer {
        request: RequestId(4),
        original: RequestId(3),
    };
    assert_eq!(fleet.present(0, 4, ticket), vec![join]);
    fleet.handle_event(0, ended(1, 1, AttemptOutcome::Whole));
    fleet.advance(500);
    assert_eq!(dispatched(&fleet.take(0)).len(), 1);
    let end = fleet.ask(0, ended(3, 1, AttemptOutcome::Whole));
    assert!(end.contains(&CoreAction::Complete {
        request: RequestId(4)
    }));
    fleet.advance(500);
    assert_eq!(fleet.take(0), vec![CoreAction::Drained]);
}

#[test]
fn arrivals_during_a_drain_go_to_a_peer_or_are_truly_refused() {
    let mut fleet = CoreFleet::new(2, catalog(1, 1));
    fleet.handle_event(0, CoreEvent::DrainAsked);
    fleet.advance(600);
    fleet.take(0);
    assert_eq!(
        fleet.ask(0, CoreEvent::Arrived(facts(1))),
        vec![forward(1, 1)]
    );
    let without_ticket = unrepeatable(3, None);
    assert_eq!(
        fleet.ask(0, CoreEvent::Arrived(without_ticket)),
        vec![forward(3, 1)]
    );
    let mut passed_on = facts(4);
    passed_on.forwarded = true;
    let refused = fleet.ask(0, CoreEvent::Arrived(passed_on));
    assert!(matches!(
        refused.as_slice(),
        [CoreAction::Refuse {
            reason: RefusalReason::Draining,
            outcome: RunOutcome::NotRun,
            ..
        }]
    ));
}

#[test]
fn the_last_router_serves_what_waits_before_it_ends() {
    // All hosts of a site are shut down, one after the other. The last has nobody to hand its
    // waiting requests to: they run there, and only then is it drained.
    let mut fleet = CoreFleet::new(1, catalog(1, 1));
    fleet.handle_event(0, CoreEvent::Arrived(facts(1)));
    fleet.handle_event(0, CoreEvent::Arrived(facts(2)));
    fleet.handle_event(0, CoreEvent::DrainAsked);
    fleet.advance(100);
    fleet.take(0);
    fleet.handle_event(0, ended(1, 1, AttemptOutcome::Whole));
    fleet.advance(200);
    assert_eq!(dispatched(&fleet.take(0)).len(), 1);
    fleet.handle_event(0, ended(2, 1, AttemptOutcome::Whole));
    fleet.advance(500);
    assert!(fleet.take(0).contains(&CoreAction::Drained));
}
