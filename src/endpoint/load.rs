//! Reading the load reports of the endpoints that the core asks for.
//!
//! An endpoint answers `GET /load` with [`LoadReport`] as JSON. One that does not is used
//! without.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::core::event::CoreEvent;
use crate::entry::context::EntryContext;
use crate::units::EndpointId;
use crate::units::PoolId;
use crate::units::PoolName;

use super::connections::ConnectError;
use super::connections::ConnectStep;
use super::exchange::exchange;

const LOAD_PATH: &str = "/load";

/// What an endpoint says of its load.
#[derive(Debug, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that it holds back.
    pub waiting: u32,
    /// The model, or the plain service's pool, that it serves now.
    pub serves: SmolStr,
    /// Changes with each of its restarts.
    pub life: u64,
    /// Highest fencing number that it obeyed; 0 if it ignores them.
    #[serde(default)]
    pub fence: u64,
}

/// The load readings that run.
#[derive(Debug, Default)]
pub struct LoadWatches {
    running: BTreeMap<EndpointId, CancellationToken>,
}

impl LoadWatches {
    /// Starts or stops reading an endpoint's load.
    pub fn switch(
        &mut self,
        context: &Arc<EntryContext>,
        endpoint: EndpointId,
        on: bool,
        closing: &CancellationToken,
    ) {
        if !on {
            if let Some(token) = self.running.remove(&endpoint) {
                token.cancel();
            }
            return;
        }
        let token = self.running.entry(endpoint);
        if let std::collections::btree_map::Entry::Vacant(free) = token {
            let token = free.insert(closing.child_token()).clone();
            tokio::spawn(token.run_until_cancelled_owned(watch(Arc::clone(context), endpoint)));
        }
    }
}

async fn watch(context: Arc<EntryContext>, endpoint: EndpointId) {
    let mut interval = time::interval(Duration::from_millis(context.config.load_ms));
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if let Some(report) = read(&context, endpoint).await {
            context.control.tell(load_event(endpoint, &report));
        }
    }
}

async fn read(context: &EntryContext, endpoint: EndpointId) -> Option<LoadReport> {
    let catalog = Arc::clone(&context.control.catalog.borrow());
    let address = catalog.fleet.endpoints.get(&endpoint)?.address;
    let connections = &context.connections;
    let answer = exchange(connections, address, Method::GET, LOAD_PATH, Bytes::new()).await;
    match answer {
        Ok((status, text)) if status.is_success() => serde_json::from_slice(&text).ok(),
        Ok(_) => None,
        Err(report) => {
            let fault = report.downcast_ref::<ConnectError>();
            if fault.is_some_and(|fault| fault.step == ConnectStep::Open) {
                context
                    .control
                    .tell(CoreEvent::EndpointRefused { endpoint });
            }
            spdlog::debug!("endpoint: {report}.");
            None
        }
    }
}

fn load_event(endpoint: EndpointId, report: &LoadReport) -> CoreEvent {
    let serves = report.serves.parse::<PoolName>();
    CoreEvent::EndpointLoad {
        endpoint,
        running: report.running,
        waiting: report.waiting,
        active: serves.map_or(PoolId(0), |name| PoolId::from(&name)),
        life: report.life,
        fence: report.fence,
    }
}
