//! Eight daemons as processes under mixed traffic: a kill, a drain and a publication.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

#[path = "../examples/shared/mod.rs"]
mod shared;

use self::shared::endpoint::EndpointRole;
use self::shared::endpoint::StandinEndpoint;
use self::shared::processes::ProcessFleet;
use self::shared::site::Site;
use self::shared::traffic::Balancer;
use self::shared::traffic::TeamCallers;

const ROUTERS: usize = 8;

async fn endpoint(role: EndpointRole) -> StandinEndpoint {
    let listen = "127.0.0.1:0".parse().unwrap();
    StandinEndpoint::start(listen, role, 8).await.unwrap()
}

async fn engine() -> StandinEndpoint {
    endpoint(EndpointRole::Engine {
        model: "luma".to_owned(),
        token: Duration::from_millis(4),
        resumes: true,
        checks_fence: true,
    })
    .await
}

async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

// Guards against work that is lost, cut or executed twice. Two teams flood the fleet; a third sends
// queries and unrepeatable log calls, each of these twice, as by callers that lose the first answer.
// One router is killed, another is drained for an upgrade, then new shares and a new team are
// published. Callers may get "not run" or "unknown" or lose connections to the killed router; no
// other failure is allowed, and no log call may be executed twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_kill_a_drain_and_a_publication_lose_double_and_cut_nothing() {
    let engines = [engine().await, engine().await, engine().await];
    let portal = endpoint(EndpointRole::Plain {
        pool: "portal".to_owned(),
        work: Duration::from_millis(1),
    })
    .await;
    let mut site = Site::default()
        .team("registry", 3)
        .team("salons", 1)
        .team("nurses", 1)
        .endpoint("portal-0", &portal, 8);
    for (number, engine) in engines.iter().enumerate() {
        site = site.endpoint(&format!("engine-{number}"), engine, 8);
    }
    let mut fleet = ProcessFleet::start(env!("CARGO_BIN_EXE_verbenaturnd"), ROUTERS).await;
    fleet.sources.publish(site.publication(1).to_string());
    let mut addresses: Vec<_> = fleet.routers.iter().map(|router| router.callers).collect();
    fleet.wait_serving(&addresses, "nurses").await;

    let balancer = Balancer::new(addresses.clone());
    let stop = CancellationToken::new();
    let callers = |team| TeamCallers::new(team, &balancer, &stop);
    let (registry, salons, nurses, logs) = (
        callers("registry"),
        callers("salons"),
        callers("nurses"),
        callers("nurses"),
    );
    let tallies = [&registry, &salons, &nurses, &logs].map(|team| Arc::clone(&team.tally));
    let work = [
        tokio::spawn(registry.flood(20, 60)),
        tokio::spawn(salons.flood(20, 60)),
        tokio::spawn(nurses.ask(Duration::from_millis(30), 8)),
    ];
    let logging = tokio::spawn(logs.log(Duration::from_millis(10)));
    pause(1_000).await;

    let mut killed = fleet.routers.remove(0);
    balancer.note_kill(killed.callers);
    killed.kill().await;
    balancer.remove(killed.callers);
    addresses.remove(0);
    pause(1_000).await;

    fleet.list_hosts(ROUTERS, Some(1));
    let mut drained = fleet.routers.remove(0);
    drained.terminate().await;
    // The balancer notices with a delay that the router is no longer ready.
    pause(200).await;
    balancer.remove(drained.callers);
    addresses.remove(0);
    assert!(drained.ended().await.success(), "the drain cut something");

    let site = site.team("late", 2).team("registry", 1);
    fleet.sources.publish(site.publication(2).to_string());
    fleet.wait_serving(&addresses, "late").await;
    pause(500).await;

    stop.cancel();
    for part in work {
        part.await.unwrap();
    }
    let logged = logging.await.unwrap();
    for router in &fleet.routers {
        router.terminate().await;
    }
    for router in &mut fleet.routers {
        assert!(router.ended().await.success(), "a shutdown cut something");
    }

    for tally in &tallies {
        assert_eq!(tally.lost.load(Ordering::Relaxed), 0, "lost: {tally:?}");
        assert_eq!(tally.cut.load(Ordering::Relaxed), 0, "cut: {tally:?}");
        assert!(tally.answered.load(Ordering::Relaxed) > 0, "{tally:?}");
    }
    let executions = portal.shared.executions.lock().unwrap();
    let doubled: BTreeMap<_, _> = logged
        .iter()
        .filter_map(|id| executions.get(id).map(|count| (id, *count)))
        .filter(|(_, count)| *count > 1)
        .collect();
    assert!(doubled.is_empty(), "logged twice: {doubled:?}");
    assert!(
        logged.len() > 20,
        "only {} mixings were logged",
        logged.len()
    );
}
