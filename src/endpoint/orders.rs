//! Orders to engines to load another pool's model.
//!
//! An engine accepts `POST /orders` with [`ModelOrder`] as JSON. An engine that checks fencing
//! numbers answers 409 to an order whose number is below the highest that it has obeyed.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::entry::context::EntryContext;
use crate::units::EndpointId;
use crate::units::FenceNumber;
use crate::units::PoolId;

use super::exchange::exchange;

const ORDER_PATH: &str = "/orders";

/// An order to load and serve a model.
#[derive(Debug, Serialize, Deserialize)]
pub struct ModelOrder {
    /// The model's name.
    pub model: SmolStr,
    /// The order's fencing number.
    pub fence: u64,
}

/// Sends an order and logs the answer. Whether the model was loaded shows in the endpoint's load
/// reports.
pub async fn send_model_order(
    context: Arc<EntryContext>,
    endpoint: EndpointId,
    pool: PoolId,
    fence: FenceNumber,
) {
    let catalog = Arc::clone(&context.control.catalog.borrow());
    let fleet = &catalog.fleet;
    let (Some(target), Some(model)) = (fleet.endpoints.get(&endpoint), fleet.pools.get(&pool))
    else {
        return;
    };
    let order = ModelOrder {
        model: model.name.as_str().into(),
        fence: fence.0,
    };
    let Ok(text) = serde_json::to_vec(&order) else {
        return;
    };
    let (name, model) = (&target.name, &model.name);
    let (connections, address) = (&context.connections, target.address);
    let body = Bytes::from(text);
    match exchange(connections, address, Method::POST, ORDER_PATH, body).await {
        Ok((StatusCode::CONFLICT, _)) => {
            spdlog::info!(
                "endpoint: {name} refused the order to load {model}: fence {fence} is outdated."
            );
        }
        Ok((status, _)) => {
            spdlog::info!("endpoint: {name} answered the order to load {model} with {status}.");
        }
        Err(report) => spdlog::warn!("endpoint: order to {name} failed: {report}."),
    }
}
