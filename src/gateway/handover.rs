//! Handover: transfer of the published state, routes and endpoints, from a router that has a newer
//! version to one that does not read the store or can't reach it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use prost::Message;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use super::endpoint_list::EndpointListMessage;
use super::routes::RouteTable;
use super::shared::SharedState;

/// Time limit of a whole exchange: connection, request and response. The state of a few hundred
/// routes takes some 100 KB, which links transfer in milliseconds; the rest is allowance for a
/// loaded peer.
const EXCHANGE_LIMIT: Duration = Duration::from_millis(800);

/// Largest state, in bytes: the store's limit for one value, which holds the routes, and as much
/// again for the endpoints.
const MAX_STATE_BYTES: usize = 2_097_152;

/// Most exchanges that a router serves concurrently.
const MAX_EXCHANGES: usize = 8;

/// The request: the versions that the requesting router has.
#[derive(Clone, PartialEq, Message)]
struct StateRequest {
    /// Version of its routes; 0 for none.
    #[prost(uint64, tag = "1")]
    routes_version: u64,
    /// Revision of its endpoint list.
    #[prost(uint64, tag = "2")]
    endpoints_revision: u64,
}

/// The response: the parts of the state of which the responding router has a newer version.
#[derive(Debug, Serialize, Deserialize)]
struct StateResponse {
    routes: Option<RouteTable>,
    endpoints: Option<EndpointListMessage>,
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_STATE_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

/// Serves the state to other routers until the process ends.
pub async fn serve_state(shared: Arc<SharedState>, listener: TcpListener) {
    let places = Arc::new(tokio::sync::Semaphore::new(MAX_EXCHANGES));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(fault) => {
                spdlog::warn!("peers: step=accept fault=\"{fault}\"");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            continue;
        };
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let _place = place;
            if timeout(EXCHANGE_LIMIT, send_state_response(&shared, stream))
                .await
                .is_err()
            {
                spdlog::debug!("peers: step=handover exchange timed out");
            }
        });
    }
}

async fn send_state_response(shared: &SharedState, stream: TcpStream) {
    let mut frames = framed(stream);
    let Some(Ok(request)) = frames.next().await else {
        return;
    };
    let request = match StateRequest::decode(request) {
        Ok(request) => request,
        Err(fault) => {
            spdlog::warn!("peers: step=handover request fault=\"{fault}\"");
            return;
        }
    };
    let list = shared.endpoints();
    let routes = shared.routes();
    let newer = routes.filter(|table| table.version > request.routes_version);
    let has_updates = list.as_of().0 > request.endpoints_revision;
    let state = StateResponse {
        routes: newer.map(|table| (*table).clone()),
        endpoints: has_updates.then(|| list.to_message(shared.clock.now())),
    };
    match serde_json::to_vec(&state) {
        Ok(bytes) => {
            if let Err(fault) = frames.send(Bytes::from(bytes)).await {
                spdlog::debug!("peers: step=handover fault=\"{fault}\"");
            }
        }
        Err(fault) => spdlog::warn!("peers: step=handover fault=\"{fault}\""),
    }
}

/// Fetches the published state of a peer and applies the parts that are newer.
pub async fn fetch_state(shared: Arc<SharedState>, peer: SocketAddr) {
    shared.set_fetching(true);
    let begun = shared.clock.now();
    let request = StateRequest {
        routes_version: shared.routes().map_or(0, |table| table.version),
        endpoints_revision: shared.endpoints_revision().0,
    };
    let response = timeout(EXCHANGE_LIMIT, send_state_request(peer, &request)).await;
    shared.set_fetching(false);
    let state = match response {
        Ok(Ok(state)) => state,
        Ok(Err(fault)) => {
            spdlog::warn!("peers: router={peer} step=handover fault=\"{fault}\"");
            return;
        }
        Err(_) => {
            spdlog::warn!("peers: router={peer} step=handover no answer in time");
            return;
        }
    };
    if let Some(table) = state.routes {
        let version = table.version;
        if shared.offer_routes(Arc::new(table)) {
            spdlog::info!("peers: routes version={version} in force source={peer}");
        }
    }
    if let Some(received) = state.endpoints
        && shared.adopt_endpoints(begun, received)
    {
        let summary = shared.endpoints().summary(shared.clock.now());
        spdlog::info!("peers: {summary} source={peer}");
    }
}

async fn send_state_request(
    peer: SocketAddr,
    request: &StateRequest,
) -> std::io::Result<StateResponse> {
    let mut frames = framed(TcpStream::connect(peer).await?);
    frames.send(Bytes::from(request.encode_to_vec())).await?;
    let Some(answer) = frames.next().await else {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    };
    serde_json::from_slice(&answer?).map_err(std::io::Error::from)
}
