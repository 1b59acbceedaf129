//! Several routers in one process on loopback, with a stand-in for the sources.

use std::time::Duration;

use serde_json::json;

use verbenaturn::configs::CoreConfig;
use verbenaturn::configs::peers::PeersConfig;
use verbenaturn::configs::traffic::TrafficConfig;
use verbenaturn::core::tables::members::MemberState;
use verbenaturn::daemon::router::PeerParts;
use verbenaturn::daemon::router::Router;
use verbenaturn::daemon::router::RouterParts;
use verbenaturn::peers::keys::PeerKeys;
use verbenaturn::settings::SourceSettings;
use verbenaturn::settings::SourceTiming;
use verbenaturn::units::ConfigRevision;
use verbenaturn::units::RouterIncarnation;

use super::site::Site;
use super::sources::StandinSources;

/// Routers in this process with their sources.
pub struct LocalFleet {
    /// Stand-in for the configuration service and the host list.
    pub sources: StandinSources,
    /// The running routers.
    pub routers: Vec<Router>,
}

/// Returns the parts of router `index`, without its sources.
pub fn router_parts(index: usize) -> RouterParts {
    let peers = PeerParts {
        listen: "127.0.0.1:0".parse().unwrap(),
        advertised: None,
        keys: PeerKeys::new(vec![b"a key that all routers of this fleet share".to_vec()]).unwrap(),
        tls: None,
        config: PeersConfig::default(),
    };
    RouterParts {
        host: format!("entry-{index}").parse().unwrap(),
        domain: format!("suva-{}", index % 3).parse().unwrap(),
        incarnation: RouterIncarnation(rand::random()),
        callers: "127.0.0.1:0".parse().unwrap(),
        peers: Some(peers),
        sources: None,
        core: CoreConfig::default(),
        traffic: TrafficConfig::default(),
        seed: index as u64,
    }
}

impl LocalFleet {
    /// Starts `count` routers and waits until all know each other and the publication of `site`.
    pub async fn start(count: usize, site: &Site) -> Self {
        let sources = StandinSources::start(None).await.unwrap();
        sources.publish(site.publication(1).to_string());
        let mut routers = Vec::new();
        for index in 0..count {
            let mut parts = router_parts(index);
            parts.sources = Some(SourceSettings {
                config_url: Some(sources.config_url().into()),
                hosts_url: Some(sources.hosts_url().into()),
                timing: SourceTiming {
                    hosts_poll_ms: 100,
                    ..SourceTiming::default()
                },
                ..SourceSettings::default()
            });
            routers.push(Router::start(parts).await.unwrap());
        }
        let fleet = Self { sources, routers };
        fleet.list_hosts(None);
        fleet.wait_joined().await;
        fleet
    }

    /// Lists all routers and marks the router with the index `leaving` as leaving.
    pub fn list_hosts(&self, leaving: Option<usize>) {
        let rows: Vec<_> = self
            .routers
            .iter()
            .enumerate()
            .map(|(index, router)| {
                json!({
                    "host": format!("entry-{index}"),
                    "address": router.mesh.as_ref().map(|mesh| mesh.address().to_string()),
                    "domain": format!("suva-{}", index % 3),
                    "leaving": leaving == Some(index),
                })
            })
            .collect();
        let list = json!({"routers": rows, "endpoints": []});
        self.sources.list_hosts(list.to_string());
    }

    /// Waits until every router has a publication and considers all others alive.
    pub async fn wait_joined(&self) {
        for router in &self.routers {
            let count = self.routers.len();
            loop {
                let joined = router.control().inspect(move |state| {
                    let alive = state.members.iter();
                    let alive = alive.filter(|(_, row)| row.state == MemberState::Alive);
                    alive.count() == count && state.catalog.revision > ConfigRevision(0)
                });
                if joined.await == Some(true) {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }

    /// Stops all routers.
    pub async fn stop(self) {
        for router in self.routers {
            router.stop().await;
        }
    }
}
