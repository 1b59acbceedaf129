//! Polling the load reports of the endpoints that the core selects.
//!
//! An endpoint answers `GET /load` with [`LoadReport`] as JSON. An endpoint that doesn't is used
//! without load reports.

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

/// The load report of an endpoint.
#[derive(Debug, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests that the endpoint is running.
    pub running: u32,
    /// Number of requests queued at the endpoint.
    pub waiting: u32,
    /// Name of the model, or of the plain service's pool, that the endpoint currently serves.
    pub serves: SmolStr,
    /// Identifies the endpoint's process; changes with every restart.
    pub life: u64,
    /// Highest fencing number that the endpoint has obeyed; 0 if it ignores fencing numbers.
    #[serde(default)]
    pub fence: u64,
}

/// The running polls of endpoints' load.
#[derive(Debug, Default)]
pub struct LoadPolls {
    running: BTreeMap<EndpointId, CancellationToken>,
}

impl LoadPolls {
    /// Starts or stops polling an endpoint's load. Polling also stops when `closing` is cancelled.
    pub fn set_polling(
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
            tokio::spawn(token.run_until_cancelled_owned(poll_load(Arc::clone(context), endpoint)));
        }
    }
}

async fn poll_load(context: Arc<EntryContext>, endpoint: EndpointId) {
    let mut interval = time::interval(Duration::from_millis(context.config.load_ms));
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if let Some(report) = read(&context, endpoint).await {
            context.control.send_event(load_event(endpoint, &report));
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
                    .send_event(CoreEvent::EndpointRefused { endpoint });
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
