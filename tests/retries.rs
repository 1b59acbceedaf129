//! Retries of attempts that found no endpoint.

mod cores;

use verbenaturn::core::action::CoreAction;
use verbenaturn::core::action::RefusalReason;
use verbenaturn::core::action::RunOutcome;
use verbenaturn::core::event::AttemptOutcome;
use verbenaturn::core::event::CoreEvent;
use verbenaturn::units::AttemptNumber;
use verbenaturn::units::Moment;
use verbenaturn::units::RequestId;

use self::cores::CoreFleet;
use self::cores::catalog;
use self::cores::ended;
use self::cores::facts;

/// Ends every attempt that was asked for with `outcome`; returns what was refused meanwhile.
fn answer_all(fleet: &mut CoreFleet, outcome: AttemptOutcome) -> Vec<CoreAction> {
    let mut refused = Vec::new();
    for action in fleet.take(0) {
        match action {
            CoreAction::Dispatch {
                request, attempt, ..
            } => fleet.tell(0, ended(request.0, attempt.0, outcome)),
            CoreAction::Refuse { .. } => refused.push(action),
            _ => {}
        }
    }
    refused
}

#[test]
fn a_request_outlives_the_restart_of_its_only_endpoint() {
    // The only endpoint of a pool restarts and refuses connections for 2 s. A nurse's query that
    // came just then must be answered afterwards and not be refused after three quick tries.
    let mut fleet = CoreFleet::new(1, catalog(1, 4));
    fleet.advance(500);
    fleet.tell(0, CoreEvent::Arrived(facts(1)));
    for _ in 0..200 {
        let refused = answer_all(&mut fleet, AttemptOutcome::NotSent);
        assert_eq!(refused, Vec::new());
        fleet.advance(10);
    }
    let mut whole = false;
    for _ in 0..300 {
        for action in fleet.take(0) {
            if let CoreAction::Dispatch {
                request, attempt, ..
            } = action
            {
                fleet.tell(0, ended(request.0, attempt.0, AttemptOutcome::Whole));
                let done = fleet.take(0);
                whole |= done.contains(&CoreAction::Complete { request });
            }
        }
        fleet.advance(10);
    }
    assert!(whole);
}

#[test]
fn the_deadline_ends_the_wait_for_an_endpoint_that_stays_away() {
    // The only endpoint never comes back. The caller is told at the deadline that its request
    // did not run, not earlier and not later than the next tick.
    let mut fleet = CoreFleet::new(1, catalog(1, 4));
    fleet.advance(500);
    let deadline = Moment(fleet.now.0 + 3_000_000);
    let mut late = facts(1);
    late.deadline = deadline;
    fleet.tell(0, CoreEvent::Arrived(late));
    let mut refusals = Vec::new();
    while refusals.is_empty() && fleet.now < Moment(deadline.0 + 1_000_000) {
        refusals = answer_all(&mut fleet, AttemptOutcome::NotSent);
        fleet.advance(5);
    }
    let [
        CoreAction::Refuse {
            request,
            reason,
            outcome,
            ..
        },
    ] = refusals.as_slice()
    else {
        panic!("one refusal: {refusals:?}");
    };
    assert_eq!(*request, RequestId(1));
    assert_eq!(*reason, RefusalReason::DeadlinePassed);
    assert_eq!(*outcome, RunOutcome::NotRun);
    assert!(fleet.now >= deadline);
}

#[test]
fn attempts_that_reached_an_endpoint_are_bounded() {
    // An endpoint accepts connections and loses every answer. A repeatable request is tried
    // three times and then refused as unknown: more tries would multiply the load.
    let mut fleet = CoreFleet::new(1, catalog(1, 4));
    fleet.advance(500);
    fleet.tell(0, CoreEvent::Arrived(facts(1)));
    let mut most = AttemptNumber(0);
    let mut refusals = Vec::new();
    for _ in 0..2_000 {
        for action in fleet.take(0) {
            match action {
                CoreAction::Dispatch {
                    request, attempt, ..
                } => {
                    most = most.max(attempt);
                    let lost = AttemptOutcome::LostBeforeAnswer;
                    fleet.tell(0, ended(request.0, attempt.0, lost));
                }
                CoreAction::Refuse { outcome, .. } => refusals.push(outcome),
                _ => {}
            }
        }
        fleet.advance(5);
    }
    assert_eq!(most, AttemptNumber(3));
    assert_eq!(refusals, vec![RunOutcome::Unknown]);
}
