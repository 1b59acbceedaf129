//! Quarantine of requests that crash the engines that run them, at several routers without a
//! network.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use verbenaturn::gateway::config::GatewayConfig;
use verbenaturn::gateway::decide::Admission;
use verbenaturn::gateway::decide::AdmissionRequest;
use verbenaturn::gateway::decide::AttemptEnd;
use verbenaturn::gateway::decide::AttemptTicket;
use verbenaturn::gateway::decide::GatewayCore;
use verbenaturn::gateway::decide::RefusalCause;
use verbenaturn::gateway::decide::answered::AnswerEnd;
use verbenaturn::gateway::decide::answered::AnswerEvidence;
use verbenaturn::gateway::decide::crash_report::CrashReport;
use verbenaturn::gateway::decide::crash_report::CrashSuspect;
use verbenaturn::gateway::protocol::PartIds;
use verbenaturn::gateway::protocol::PromptShape;
use verbenaturn::gateway::routes::EndpointEntry;
use verbenaturn::gateway::routes::EndpointKey;
use verbenaturn::gateway::routes::ProcessStartTime;
use verbenaturn::gateway::routes::TeamKey;
use verbenaturn::units::EndpointId;
use verbenaturn::units::Moment;
use verbenaturn::units::RequestFingerprint;

mod engines;

use self::engines::ask;
use self::engines::endpoints;
use self::engines::engine_service;
use self::engines::route;

const CRASHING: RequestFingerprint = RequestFingerprint(7);

fn ms(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

fn engines_of(born: u64) -> BTreeMap<EndpointKey, EndpointEntry> {
    let born = ProcessStartTime(born);
    let entries = endpoints("engine", 2).into_iter();
    entries
        .map(|(key, entry)| (key, EndpointEntry { born, ..entry }))
        .collect()
}

fn router() -> GatewayCore {
    let mut core = GatewayCore::new(GatewayConfig::default(), SmolStr::new("suva-a"));
    core.set_endpoints(ms(0), &engines_of(1));
    core
}

fn admitted(core: &mut GatewayCore, now: Moment, fingerprint: RequestFingerprint) -> Admission {
    let prompt = PromptShape {
        prompt_tokens: 500,
        output_limit: 50,
        ..PromptShape::default()
    };
    let (route, shape) = (route("queries", 800), engine_service());
    let (service, team) = ("engine".parse().unwrap(), TeamKey(SmolStr::new("nadi")));
    let call = AdmissionRequest {
        fingerprint,
        ..ask(&route, &service, &shape, &team, &prompt)
    };
    let standing = core.arrived(now, &call);
    core.admit(now, &call, standing)
}

fn sent(core: &mut GatewayCore, now: Moment, fingerprint: RequestFingerprint) -> AttemptTicket {
    match admitted(core, now, fingerprint) {
        Admission::Send(ticket) => ticket,
        refusal @ Admission::Refuse { .. } => panic!("{refusal:?}"),
    }
}

/// Runs a request on an engine that breaks off and registers with a later start.
fn crash(core: &mut GatewayCore, at: u64, fingerprint: RequestFingerprint) {
    let ticket = sent(core, ms(at), fingerprint);
    core.ended(ms(at + 50), ticket, AttemptEnd::Lost);
    core.set_endpoints(ms(at + 100), &engines_of(at + 100));
}

fn send_suspects(from: &mut GatewayCore, to: &mut GatewayCore, now: Moment) {
    let report = from.quarantine.report(now);
    to.quarantine.apply_report(now, report);
}

/// A caller repeats a request that crashes engines, each time through another router. No router
/// sees more than one crash, so without exchanging suspects they would send it to every engine of
/// the fleet.
#[test]
fn a_request_in_three_crashes_is_refused_by_every_router() {
    let mut routers = [router(), router(), router(), router()];
    for (turn, at) in [1_000, 3_000, 5_000].into_iter().enumerate() {
        crash(&mut routers[turn], at, CRASHING);
        for other in (0..routers.len()).filter(|other| *other != turn) {
            let [from, to] = routers.get_disjoint_mut([turn, other]).unwrap();
            to.set_endpoints(ms(at + 100), &engines_of(at + 100));
            send_suspects(from, to, ms(at + 200));
        }
    }
    for core in &mut routers {
        let refusal = admitted(core, ms(6_000), CRASHING);
        let cause = match refusal {
            Admission::Refuse { cause, .. } => cause,
            Admission::Send(_) => panic!("sent to a fourth engine"),
        };
        assert_eq!(cause, RefusalCause::Quarantined);
        drop(sent(core, ms(6_000), RequestFingerprint(8)));
    }
}

/// A link resets connections of an engine whose process keeps running. Requests lost that way must
/// not count as crashes, however many there are.
#[test]
fn attempts_lost_on_links_are_no_crashes() {
    let mut core = router();
    for turn in 0..10 {
        let at = ms(1_000 + turn * 100);
        let ticket = sent(&mut core, at, CRASHING);
        core.ended(at, ticket, AttemptEnd::Lost);
    }
    drop(sent(&mut core, ms(9_000), CRASHING));
    assert!(core.quarantine.report(ms(9_000)).suspects.is_empty());
}

/// A harmless request runs beside a crashing one in two crashes and is then answered. A third
/// crash, weeks later, must not be added to these two.
#[test]
fn an_answer_clears_a_suspect() {
    let mut core = router();
    crash(&mut core, 1_000, CRASHING);
    crash(&mut core, 3_000, CRASHING);
    let evidence = AnswerEvidence {
        status: 200,
        end: AnswerEnd::Framed,
    };
    let parts = PartIds::default();
    core.quarantine
        .record_answer(ms(4_000), CRASHING, &parts, evidence);
    crash(&mut core, 5_000, CRASHING);
    drop(sent(&mut core, ms(6_000), CRASHING));
}

/// A foreign sender in the routers' network reports thousands of suspects, which must not fill the
/// table or the messages.
#[test]
fn suspects_in_a_message_are_bounded() {
    let mut core = router();
    let foreign = (0..10_000).map(|number| CrashSuspect {
        endpoint: EndpointId(1),
        life: 1,
        fingerprint: RequestFingerprint(number),
    });
    let report = CrashReport {
        suspects: foreign.collect(),
        ..CrashReport::default()
    };
    core.quarantine.apply_report(ms(0), report);
    assert!(core.quarantine.report(ms(1)).suspects.len() <= 6);
}
