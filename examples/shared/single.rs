//! A single router in this process, with a stand-in engine and a stand-in plain service.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use verbenaturn::configs::CoreConfig;
use verbenaturn::configs::traffic::TrafficConfig;
use verbenaturn::core::event::CoreEvent;
use verbenaturn::daemon::router::Router;
use verbenaturn::daemon::router::RouterParts;
use verbenaturn::publication::adopt;
use verbenaturn::units::ConfigRevision;
use verbenaturn::units::RouterIncarnation;

use super::endpoint::EndpointRole;
use super::endpoint::StandinEndpoint;
use super::site::Site;

/// A router with its stand-in endpoints.
pub struct SingleRouter {
    /// The router.
    pub router: Router,
    /// An engine with the model `luma` and 8 slots.
    pub engine: StandinEndpoint,
    /// The plain service `portal` with 8 slots.
    pub portal: StandinEndpoint,
}

/// Settings that a test can override.
#[derive(Debug, Clone)]
pub struct SingleOptions {
    /// Settings of the decision core.
    pub core: CoreConfig,
    /// Settings of the traffic path.
    pub traffic: TrafficConfig,
    /// True if the engine can resume a stream.
    pub resumes: bool,
    /// The `limits` object of the publication.
    pub limits: Value,
    /// Requests that a team may have waiting at once.
    pub queue_limit: u32,
}

impl Default for SingleOptions {
    fn default() -> Self {
        Self {
            core: CoreConfig::default(),
            traffic: TrafficConfig::default(),
            resumes: true,
            limits: serde_json::json!({}),
            queue_limit: 4_096,
        }
    }
}

fn parts(core: CoreConfig, traffic: TrafficConfig) -> RouterParts {
    RouterParts {
        host: "entry-1".parse().unwrap(),
        incarnation: RouterIncarnation(7),
        domain: "suva-1".parse().unwrap(),
        callers: "127.0.0.1:0".parse().unwrap(),
        peers: None,
        sources: None,
        core,
        traffic,
        seed: 1,
    }
}

impl SingleRouter {
    /// Starts the router and its endpoints and publishes the team `nadi`.
    pub async fn start(options: SingleOptions) -> Self {
        let listen = "127.0.0.1:0".parse().unwrap();
        let engine = EndpointRole::Engine {
            model: "luma".to_owned(),
            token: Duration::from_millis(2),
            resumes: options.resumes,
            checks_fence: true,
        };
        let engine = StandinEndpoint::start(listen, engine, 8).await.unwrap();
        let portal = EndpointRole::Plain {
            pool: "portal".to_owned(),
            work: Duration::ZERO,
        };
        let portal = StandinEndpoint::start(listen, portal, 8).await.unwrap();
        let router = Router::start(parts(options.core, options.traffic))
            .await
            .unwrap();
        let site = Site::default()
            .team("nadi", 1)
            .endpoint("engine-1", &engine, 8)
            .endpoint("portal-1", &portal, 8);
        let mut publication = site.publication(1);
        publication["limits"] = options.limits;
        publication["templates"]["clinic"]["queue_limit"] = options.queue_limit.into();
        let text = publication.to_string();
        let catalog = adopt(ConfigRevision(1), text.as_bytes()).unwrap();
        router.control().send_event(CoreEvent::Published {
            catalog: Arc::new(catalog),
            text: text.into(),
        });
        let mut known = router.control().catalog.clone();
        known
            .wait_for(|catalog| catalog.revision() == ConfigRevision(1))
            .await
            .unwrap();
        Self {
            router,
            engine,
            portal,
        }
    }
}
