//! Draining a router: no answer is cut off, no request is lost or runs twice.

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
    // An operator drains a host on which one request runs and another waits. The running one must
    // finish there and the waiting one be forwarded to the other router before the drain ends.
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
    assert_eq!(fleet.core(0).state().entry_pools[&cores::pool()].held, 0);
}

#[test]
fn a_ticketed_request_stays_with_its_minter_to_the_end() {
    // A request with a ticket waits at a router that starts to drain. If it were handed over, the
    // peer would run a ticket that it did not mint, and a resend could run the request again here.
    // It must run here, and a resend through the peer must still find it.
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
fn arrivals_during_a_drain_are_forwarded_or_refused_as_not_run() {
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
fn the_last_router_serves_its_waiting_requests_before_it_ends() {
    // All hosts are shut down one after the other. The last router has no peer for its waiting
    // requests: they must run there before the drain ends.
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
