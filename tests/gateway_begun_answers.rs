//! Admission of calls whose callers have a part of the answer.
//!
//! Load pattern: an endpoint breaks off long after the route's objective, and others are idle or
//! busy.

use verbenaturn::gateway::decide::Admission;
use verbenaturn::gateway::decide::AdmissionLimit;
use verbenaturn::gateway::decide::AdmissionRequest;
use verbenaturn::gateway::decide::GatewayCore;
use verbenaturn::gateway::decide::shares::ShareStanding;
use verbenaturn::units::TimeSpan;

mod engines;

use self::engines::ask;
use self::engines::engine_service;
use self::engines::ms;
use self::engines::nadi;
use self::engines::prompt;
use self::engines::route;
use self::engines::service;
use self::engines::three_engines;

/// Objective of the calls, in ms.
const OBJECTIVE_MS: u64 = 800;

/// Asks for the admission of a call that arrived `waited_ms` ago and has `left_ms` left.
fn admit(
    core: &mut GatewayCore,
    limit: AdmissionLimit,
    standing: ShareStanding,
    waited_ms: u64,
    left_ms: u64,
) -> Admission {
    let (route, service, shape, team) = (
        route("r", OBJECTIVE_MS),
        service(),
        engine_service(),
        nadi(),
    );
    let prompt = prompt(7, 1_000, 4_000);
    let request = AdmissionRequest {
        waited: TimeSpan::from_millis(waited_ms),
        left: TimeSpan::from_millis(left_ms),
        limit,
        ..ask(&route, &service, &shape, &team, &prompt)
    };
    core.admit(ms(5_000), &request, standing)
}

/// Returns whether idle engines admit such a call.
fn is_admitted(
    limit: AdmissionLimit,
    standing: ShareStanding,
    waited_ms: u64,
    left_ms: u64,
) -> bool {
    let admission = admit(&mut three_engines(), limit, standing, waited_ms, left_ms);
    matches!(admission, Admission::Send(_))
}

/// Guards against an answer that is cut although endpoints are idle, because the time since its call
/// arrived was held against the objective of the first output.
#[test]
fn a_begun_answer_is_held_against_its_deadline() {
    for waited_ms in [300, 1_000, 1_500, 10_000] {
        let standing = ShareStanding::Within;
        let begun = is_admitted(AdmissionLimit::Deadline, standing, waited_ms, 4_000);
        assert!(begun, "{waited_ms} ms");
    }
    let late = is_admitted(
        AdmissionLimit::Objective,
        ShareStanding::Within,
        1_000,
        4_000,
    );
    assert!(!late, "a call without output is refused when it is late");
}

/// Guards against an answer that is cut because its team is beyond its share: it was accepted.
#[test]
fn a_begun_answer_goes_on_whatever_its_team_has_used() {
    let used_up = ShareStanding::Beyond(f64::INFINITY);
    assert!(is_admitted(AdmissionLimit::Deadline, used_up, 1_000, 4_000));
    assert!(!is_admitted(AdmissionLimit::Objective, used_up, 0, 15_000));
}

/// Guards against work for a caller that would get nothing of it before its deadline.
#[test]
fn a_begun_answer_without_time_left_is_not_sent() {
    let standing = ShareStanding::Within;
    assert!(!is_admitted(AdmissionLimit::Deadline, standing, 1_000, 5));
}

/// Guards against a late retry that is refused although its time is enough: the time left was held
/// against a prediction that includes the time since the call arrived.
#[test]
fn the_time_left_counts_from_now() {
    let standing = ShareStanding::Within;
    let waited_ms = OBJECTIVE_MS / 4;
    let limit = AdmissionLimit::Objective;
    assert!(is_admitted(limit, standing, waited_ms, waited_ms + 100));
}

/// Guards against searches for an endpoint that takes over that count as refused demand: shares would
/// shrink by calls that nobody refused.
#[test]
fn a_search_for_another_endpoint_is_no_refused_demand() {
    let mut core = three_engines();
    for (limit, is_counted) in [
        (AdmissionLimit::Deadline, false),
        (AdmissionLimit::Objective, true),
    ] {
        let refused = admit(&mut core, limit, ShareStanding::Within, 1_000, 5);
        assert!(matches!(refused, Admission::Refuse { .. }));
        let turned_away = core.shares.turned_away_per_s(ms(5_000));
        assert_eq!(turned_away > 0.0, is_counted, "{limit:?}");
    }
}
