//! The published state from router to router, for those that can't reach the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use super::follow::StoreRevision;
use super::routes::EndpointEntry;
use super::routes::EndpointKey;
use super::routes::RouteTable;
use super::shared::SharedState;

/// Time for a whole exchange: connection, question and answer. A state of a few hundred routes is
/// some 100 KB, which links carry in milliseconds; the rest is room for a loaded peer.
const EXCHANGE_LIMIT: Duration = Duration::from_millis(800);

/// Largest state, in bytes: what the store holds in one value, and as much again for endpoints.
const MAX_STATE_BYTES: usize = 2_097_152;

/// Exchanges that one router serves at the same time.
const MOST_EXCHANGES: usize = 8;

/// The question; its form leaves room for others.
const QUESTION: &[u8] = b"published-state";

/// What a router knows.
#[derive(Debug, Serialize, Deserialize)]
struct KnownState {
    routes: Option<RouteTable>,
    endpoints: BTreeMap<EndpointKey, EndpointEntry>,
    endpoints_revision: u64,
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_STATE_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

/// Serves other routers until the process ends.
pub async fn serve_state(shared: Arc<SharedState>, listener: TcpListener) {
    let places = Arc::new(tokio::sync::Semaphore::new(MOST_EXCHANGES));
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
            if timeout(EXCHANGE_LIMIT, answer_state(&shared, stream))
                .await
                .is_err()
            {
                spdlog::debug!("peers: step=handover a peer took too long");
            }
        });
    }
}

async fn answer_state(shared: &SharedState, stream: TcpStream) {
    let mut frames = framed(stream);
    let Some(Ok(question)) = frames.next().await else {
        return;
    };
    if question != QUESTION {
        return;
    }
    let list = shared.endpoints();
    let state = KnownState {
        routes: shared.routes().map(|table| (*table).clone()),
        endpoints: list.entries,
        endpoints_revision: list.as_of.0,
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

/// Fetches the published state of a peer and takes over what is newer.
pub async fn fetch_state(shared: Arc<SharedState>, peer: SocketAddr) {
    let state = match timeout(EXCHANGE_LIMIT, ask_state(peer)).await {
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
    let revision = StoreRevision(state.endpoints_revision);
    if revision > shared.endpoints_revision() {
        let count = state.endpoints.len();
        if shared.offer_endpoints(revision, state.endpoints) {
            spdlog::info!("peers: endpoints={count} revision={revision} source={peer}");
        }
    }
}

async fn ask_state(peer: SocketAddr) -> std::io::Result<KnownState> {
    let mut frames = framed(TcpStream::connect(peer).await?);
    frames.send(Bytes::from_static(QUESTION)).await?;
    let Some(answer) = frames.next().await else {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    };
    serde_json::from_slice(&answer?).map_err(std::io::Error::from)
}
