//! The views and metrics that a router shows to operators.

mod cores;

use verbenaturn::admin::board::StatusBoard;
use verbenaturn::admin::metrics::RouterMetrics;
use verbenaturn::admin::status::NotReadyReason;
use verbenaturn::admin::status::RouterStatus;
use verbenaturn::admin::status::WaitReason;
use verbenaturn::admin::team_view::team_status;
use verbenaturn::admin::views;
use verbenaturn::core::event::CoreEvent;
use verbenaturn::peers::traffic::TrafficCounters;
use verbenaturn::peers::traffic::TrafficKind;
use verbenaturn::report::answers::AnswerVerdict;
use verbenaturn::report::samples::RouterSample;
use verbenaturn::units::Moment;

use crate::cores::CoreFleet;
use crate::cores::catalog;
use crate::cores::facts;

/// One router, one endpoint with one slot, and `requests` requests of team 1.
fn busy_fleet(requests: u64) -> CoreFleet {
    let mut fleet = CoreFleet::new(1, catalog(1, 1));
    for request in 1..=requests {
        fleet.handle_event(0, CoreEvent::Arrived(facts(request)));
    }
    fleet.advance(300);
    fleet
}

fn status(fleet: &CoreFleet, counters: &TrafficCounters) -> RouterStatus {
    views::router_status(fleet.core(0).state(), &StatusBoard::default(), counters, 7)
}

// One slot runs the team's first request and two more wait: the team's view must give the reasons.
#[test]
fn team_status_gives_the_reasons_for_waiting() {
    let fleet = busy_fleet(3);
    let state = fleet.core(0).state();
    let team = team_status(state, &"team-1".parse().unwrap()).unwrap();
    let pool = &team.pools[0];
    assert_eq!((pool.waiting, pool.running, pool.ahead), (2, 1, 0));
    assert_eq!(pool.reasons, [WaitReason::SlotsBusy, WaitReason::Next]);
    assert_eq!(pool.oldest_wait_ms, 300);
    let idle = team_status(state, &"team-2".parse().unwrap()).unwrap();
    assert!(idle.pools.iter().all(|pool| pool.reasons.is_empty()));
    assert_eq!(team_status(state, &"team-3".parse().unwrap()), None);
}

#[test]
fn the_owner_shows_the_whole_fleet() {
    let fleet = busy_fleet(3);
    let status = status(&fleet, &TrafficCounters::default());
    assert_eq!((status.waiting, status.running), (2, 1));
    assert!(status.readiness.ready);
    let pool = status.pools[0].fleet.unwrap();
    assert_eq!((pool.slots, pool.running, pool.waiting), (1, 1, 2));
    let sample = RouterSample::of(fleet.core(0).state(), 10, 0);
    assert_eq!(sample.pools[&status.pools[0].name], pool);
    let endpoints = views::endpoints(fleet.core(0).state());
    assert_eq!((endpoints[0].held, endpoints[0].running), (1, 1));
    let teams = views::teams(fleet.core(0).state());
    assert_eq!((teams[0].waiting, teams[1].waiting), (2, 0));
}

#[test]
fn a_draining_router_is_not_ready() {
    let mut fleet = busy_fleet(0);
    fleet.handle_event(0, CoreEvent::DrainAsked);
    let readiness = views::readiness(fleet.core(0).state());
    assert!(!readiness.ready);
    assert_eq!(readiness.reasons, [NotReadyReason::Draining]);
    assert!(fleet.now > Moment(0));
}

#[test]
fn metrics_name_teams_and_pools() {
    let fleet = busy_fleet(3);
    let metrics = RouterMetrics::new().unwrap();
    let counters = TrafficCounters::default();
    counters.add_sent(TrafficKind::Demand, 76);
    let (team, kind) = ("team-1".parse().unwrap(), "tag".parse().unwrap());
    metrics.answer(&team, &kind, AnswerVerdict::Late, 0.5);
    let text = metrics.text(status(&fleet, &counters)).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    for line in [
        r#"verbenaturn_answers_total{kind="tag",team="team-1",verdict="late"} 1"#,
        r#"verbenaturn_pool_fleet_waiting{pool="tagging"} 2"#,
        r#"verbenaturn_peer_bytes_total{control="true",direction="sent",for="demand"} 76"#,
        "verbenaturn_ready 1",
    ] {
        assert!(lines.contains(&line), "no {line} in\n{text}");
    }
}

#[test]
fn the_reference_names_every_metric() {
    let fleet = busy_fleet(1);
    let metrics = RouterMetrics::new().unwrap();
    let (team, kind) = ("team-1".parse().unwrap(), "tag".parse().unwrap());
    metrics.answer(&team, &kind, AnswerVerdict::Good, 0.5);
    let status = status(&fleet, &TrafficCounters::default());
    let text = metrics.text(status).unwrap();
    let page = include_str!("../docs/reference/metrics.md");
    let helps = text.lines().filter_map(|line| line.strip_prefix("# HELP "));
    let mut seen = 0;
    for (name, help) in helps.filter_map(|line| line.split_once(' ')) {
        let row = page
            .lines()
            .find(|line| line.starts_with(&format!("| `{name}` ")));
        assert!(row.is_some_and(|row| row.contains(help)), "{name}: {help}");
        seen += 1;
    }
    let rows = page
        .lines()
        .filter(|line| line.starts_with("| `verbenaturn_"));
    assert_eq!(rows.count(), seen);
}
