//! Retries of failed attempts.

mod cores;

use verbenaturn::core::action::CoreAction;
use verbenaturn::core::action::RunOutcome;
use verbenaturn::core::event::AttemptOutcome;
use verbenaturn::core::event::CoreEvent;
use verbenaturn::units::AttemptNumber;
use verbenaturn::units::TimeSpan;

use self::cores::CoreFleet;
use self::cores::catalog;
use self::cores::ended;
use self::cores::facts;

#[test]
fn requests_to_an_unreachable_endpoint_are_refused_early_as_not_run() {
    // The only endpoint of a pool refuses connections. Within a second the request must be refused
    // as not run, with a time after which to retry, rather than held until its deadline.
    let mut fleet = CoreFleet::new(1, catalog(1, 4));
    fleet.advance(500);
    fleet.handle_event(0, CoreEvent::Arrived(facts(1)));
    let mut refusals = Vec::new();
    for _ in 0..100 {
        for action in fleet.take(0) {
            match action {
                CoreAction::Dispatch {
                    request, attempt, ..
                } => fleet.handle_event(0, ended(request.0, attempt.0, AttemptOutcome::NotSent)),
                CoreAction::Refuse {
                    outcome,
                    retry_after,
                    ..
                } => refusals.push((outcome, retry_after > TimeSpan(0))),
                _ => {}
            }
        }
        fleet.advance(10);
    }
    assert_eq!(refusals, vec![(RunOutcome::NotRun, true)]);
}

#[test]
fn attempts_that_may_have_run_are_bounded() {
    // An endpoint accepts connections but loses every answer. A repeatable request must be tried
    // three times and then refused with an unknown outcome, since more tries would multiply the
    // load.
    let mut fleet = CoreFleet::new(1, catalog(1, 4));
    fleet.advance(500);
    fleet.handle_event(0, CoreEvent::Arrived(facts(1)));
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
                    fleet.handle_event(0, ended(request.0, attempt.0, lost));
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
