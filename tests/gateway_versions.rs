//! Decisions on streams while endpoints of two software versions serve, without a network.

mod engines;

use std::collections::BTreeMap;

use smol_str::SmolStr;

use verbenaturn::gateway::decide::Admission;
use verbenaturn::gateway::decide::AdmissionRequest;
use verbenaturn::gateway::decide::GatewayCore;
use verbenaturn::gateway::decide::RefusalCause;
use verbenaturn::gateway::decide::shares::ShareStanding;
use verbenaturn::gateway::link::LinkSpeed;
use verbenaturn::gateway::routes::EndpointEntry;
use verbenaturn::gateway::routes::EndpointKey;
use verbenaturn::gateway::routes::EndpointState;
use verbenaturn::gateway::routes::SoftwareVersion;

use crate::engines::ask;
use crate::engines::endpoints;
use crate::engines::engine_service;
use crate::engines::ms;
use crate::engines::nadi;
use crate::engines::prompt;
use crate::engines::route;
use crate::engines::router_with;
use crate::engines::service;

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion(SmolStr::new(text))
}

/// Six engines: the even ones have version `a`, the odd ones `b`.
fn two_versions() -> BTreeMap<EndpointKey, EndpointEntry> {
    let mut entries = endpoints("engine", 6);
    for (index, entry) in entries.values_mut().enumerate() {
        entry.software = version(["a", "b"][index % 2]);
    }
    entries
}

/// Decides on a call that goes on with a stream that this version began.
fn resume(core: &mut GatewayCore, now: u64, software: &SoftwareVersion) -> Admission {
    let (route, service, shape, team) = (route("r", 800), service(), engine_service(), nadi());
    let prompt = prompt(now, 100, 10);
    let call = AdmissionRequest {
        software: Some(software),
        ..ask(&route, &service, &shape, &team, &prompt)
    };
    core.admit(ms(now), &call, ShareStanding::Within)
}

/// Guards against a stream whose events come from two software versions: the least loaded engine has
/// another version than the one that began the stream.
#[test]
fn a_stream_goes_on_at_engines_of_its_version_only() {
    let mut core = router_with(&two_versions());
    for call in 0..40 {
        for text in ["a", "b"] {
            let software = version(text);
            let Admission::Send(ticket) = resume(&mut core, call, &software) else {
                panic!("refused");
            };
            assert_eq!(ticket.entry.software, software);
        }
    }
}

/// Guards against an engine that goes on from the memory of another software version: the engine
/// with a prompt's shared part cached is full, and the one that gets the request would fetch it.
#[test]
fn parts_are_fetched_from_engines_of_the_same_version_only() {
    let mut entries = two_versions();
    for (index, entry) in entries.values_mut().enumerate() {
        entry.address = format!("127.0.0.1:{}", 1_000 + index).parse().unwrap();
    }
    let version_at = |address| {
        let mut entries = entries.values();
        let entry = entries.find(|entry| entry.address == address);
        entry.unwrap().software.clone()
    };
    let mut shape = engine_service();
    let engine = shape.engine.as_mut().unwrap();
    engine.token_bytes = 100_000;
    engine.memory_link = Some(LinkSpeed(100_000.0));
    let (route, service, team) = (route("r", 800), service(), nadi());
    let mut core = router_with(&entries);
    let mut fetches = 0;
    for part in 0..200 {
        let prompt = prompt(part % 3, 5_000, 100);
        let call = ask(&route, &service, &shape, &team, &prompt);
        let Admission::Send(ticket) = core.admit(ms(part), &call, ShareStanding::Within) else {
            continue;
        };
        if let Some(holder) = ticket.fetch_from {
            fetches += 1;
            assert_eq!(version_at(holder), ticket.entry.software);
        }
    }
    assert!(fetches > 5, "{fetches}");
}

/// An engine whose entry states no version may have any.
#[test]
fn a_stream_does_not_go_on_at_an_engine_of_unknown_version() {
    let mut entries = two_versions();
    for entry in entries.values_mut() {
        if entry.software == version("a") {
            entry.software = SoftwareVersion::default();
        }
    }
    let mut core = router_with(&entries);
    let admission = resume(&mut core, 1, &version("a"));
    let Admission::Refuse { cause, .. } = admission else {
        panic!("{admission:?}");
    };
    assert_eq!(cause, RefusalCause::VersionGone);
}

/// The last engines of a version leave. Streams that it began can't go on anywhere, which is another
/// refusal than that of a service without any engine.
#[test]
fn a_stream_is_refused_when_the_engines_of_its_version_have_left() {
    let mut entries = two_versions();
    for entry in entries.values_mut() {
        if entry.software == version("a") {
            entry.state = EndpointState::Leaving;
        }
    }
    for (ready, expected) in [
        (true, RefusalCause::VersionGone),
        (false, RefusalCause::NoEndpoint),
    ] {
        if !ready {
            for entry in entries.values_mut() {
                entry.state = EndpointState::Leaving;
            }
        }
        let admission = resume(&mut router_with(&entries), 1, &version("a"));
        let Admission::Refuse { cause, .. } = admission else {
            panic!("{admission:?}");
        };
        assert_eq!(cause, expected);
    }
}

/// Guards against a request sent to a process that is not the one that was chosen: an endpoint is
/// registered again under its name with another version while a connection is made.
#[test]
fn an_entry_with_another_version_is_another_process() {
    let entries = two_versions();
    let mut core = router_with(&entries);
    let Admission::Send(ticket) = resume(&mut core, 1, &version("a")) else {
        panic!("refused");
    };
    let mut later = entries.clone();
    later.get_mut(&ticket.entry.key).unwrap().software = version("b");
    core.set_endpoints(ms(2), &later);
    assert!(!core.endpoints.takes_work(ms(3), &ticket.entry));
    later.get_mut(&ticket.entry.key).unwrap().software = SoftwareVersion::default();
    core.set_endpoints(ms(4), &later);
    assert!(core.endpoints.takes_work(ms(5), &ticket.entry));
}
