//! Handover: transfer of the published state, routes and endpoints, from a router that has a newer
//! version to one that does not read the store or can't reach it.
//!
//! Load pattern: the operators' configuration may be as large as the store's limit for one value, and
//! entries of endpoints come from writers that nobody controls. Routes and endpoints travel in frames
//! of their own, so that a large one does not hold up the other, and a transfer lasts for as long as
//! bytes arrive. A router that can't get the state in this way reads the store itself
//! ([`super::readers`]).

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::SinkExt;
use futures_util::StreamExt;
use prost::Message;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Decoder;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::units::Moment;

use super::endpoint_list::EndpointListMessage;
use super::routes::RouteTable;
use super::shared::SharedState;

/// Time limit for a connection, and for the next bytes of a response.
const SILENCE_LIMIT: Duration = Duration::from_millis(800);

/// Time limit for serving a response: a few megabytes over a link that has room for little else.
const SERVING_LIMIT: Duration = Duration::from_secs(4);

/// Largest frame, in bytes. A configuration of the store's limit, 1 MiB, takes at most four times as
/// much with all optional fields written out, and as much holds the entries of ten thousand
/// endpoints.
const MAX_FRAME_BYTES: usize = 16_777_216;

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
    /// True if it takes routes and endpoints in separate frames, with keys grouped by team. Routers of
    /// an earlier program take one frame.
    #[prost(bool, tag = "3")]
    takes_parts: bool,
}

/// A response, or a part of it: the parts of the state of which the responding router has a newer
/// version.
#[derive(Debug, Default, Serialize, Deserialize)]
struct StateResponse {
    routes: Option<RouteTable>,
    endpoints: Option<EndpointListMessage>,
}

/// The last encoded routes with their version: many routers ask for them at the same time.
#[derive(Debug, Default)]
struct EncodedRoutes(Mutex<Option<(u64, Bytes)>>);

impl EncodedRoutes {
    /// Returns the part of a response with these routes.
    fn part(&self, table: &Arc<RouteTable>) -> serde_json::Result<Bytes> {
        let mut last = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((version, part)) = &*last
            && *version == table.version
        {
            return Ok(part.clone());
        }
        let response = StateResponse {
            routes: Some((**table).clone()),
            endpoints: None,
        };
        let part = Bytes::from(serde_json::to_vec(&response)?);
        *last = Some((table.version, part.clone()));
        Ok(part)
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Serves the state to other routers until the process ends.
pub async fn serve_state(shared: Arc<SharedState>, listener: TcpListener) {
    let places = Arc::new(tokio::sync::Semaphore::new(MAX_EXCHANGES));
    let encoded = Arc::new(EncodedRoutes::default());
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(fault) => {
                spdlog::warn!("peers: step=accept fault=\"{fault}\"");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            continue;
        };
        let (shared, encoded) = (Arc::clone(&shared), Arc::clone(&encoded));
        tokio::spawn(async move {
            let _place = place;
            let response = send_state_response(&shared, &encoded, stream);
            match timeout(SERVING_LIMIT, response).await {
                Ok(Ok(())) => {}
                Ok(Err(fault)) => {
                    spdlog::warn!("peers: router={peer} step=serve_handover fault=\"{fault}\"");
                }
                Err(_) => spdlog::warn!("peers: router={peer} step=serve_handover timed out"),
            }
        });
    }
}

async fn send_state_response(
    shared: &SharedState,
    encoded: &EncodedRoutes,
    stream: TcpStream,
) -> io::Result<()> {
    let mut frames = Framed::new(stream, codec());
    let request = match timeout(SILENCE_LIMIT, frames.next()).await {
        Ok(Some(request)) => StateRequest::decode(request?)?,
        Ok(None) => return Ok(()),
        Err(_) => return Err(io::ErrorKind::TimedOut.into()),
    };
    for part in response_parts(shared, encoded, &request)? {
        if part.len() > MAX_FRAME_BYTES {
            let (bytes, most) = (part.len(), MAX_FRAME_BYTES);
            spdlog::warn!("peers: step=serve_handover bytes={bytes} most={most} too large");
            continue;
        }
        frames.send(part).await?;
    }
    Ok(())
}

/// Returns the frames of a response.
fn response_parts(
    shared: &SharedState,
    encoded: &EncodedRoutes,
    request: &StateRequest,
) -> io::Result<Vec<Bytes>> {
    let list = shared.endpoints();
    let routes = shared.routes();
    let routes = routes.filter(|table| table.version > request.routes_version);
    let has_updates = list.as_of().0 > request.endpoints_revision;
    let endpoints = has_updates.then(|| list.to_message(shared.clock.now()));
    if !request.takes_parts {
        let response = StateResponse {
            routes: routes.map(|table| (*table).clone()),
            endpoints,
        };
        return Ok(vec![encode_whole(&response)?]);
    }
    let mut parts = Vec::new();
    if let Some(table) = routes {
        parts.push(encoded.part(&table)?);
    }
    if endpoints.is_some() {
        let response = StateResponse {
            routes: None,
            endpoints,
        };
        parts.push(Bytes::from(serde_json::to_vec(&response)?));
    }
    Ok(parts)
}

/// Encodes a response as routers of an earlier program read it.
fn encode_whole(response: &StateResponse) -> serde_json::Result<Bytes> {
    let mut value = serde_json::to_value(response)?;
    if let Some(table) = &response.routes {
        value["routes"]["keys"] = serde_json::to_value(&table.keys)?;
    }
    Ok(Bytes::from(serde_json::to_vec(&value)?))
}

/// Fetches the published state of a peer and applies the parts that are newer, each as it arrives.
pub async fn fetch_state(shared: Arc<SharedState>, peer: SocketAddr) {
    shared.set_fetching(true);
    if let Err(fault) = fetch_parts(&shared, peer).await {
        spdlog::warn!("peers: router={peer} step=handover fault=\"{fault}\"");
    }
    shared.set_fetching(false);
}

async fn fetch_parts(shared: &SharedState, peer: SocketAddr) -> io::Result<()> {
    let begun = shared.clock.now();
    let request = StateRequest {
        routes_version: shared.routes().map_or(0, |table| table.version),
        endpoints_revision: shared.endpoints_revision().0,
        takes_parts: true,
    };
    let sending = async {
        let mut frames = Framed::new(TcpStream::connect(peer).await?, codec());
        frames.send(Bytes::from(request.encode_to_vec())).await?;
        io::Result::Ok(frames.into_inner())
    };
    let mut stream = timeout(SILENCE_LIMIT, sending)
        .await
        .map_err(io::Error::from)??;
    let (mut codec, mut buffer) = (codec(), BytesMut::new());
    while let Some(part) = next_frame(&mut stream, &mut codec, &mut buffer).await? {
        apply_part(shared, peer, begun, serde_json::from_slice(&part)?);
    }
    Ok(())
}

/// Returns the next frame, or nothing if the peer has sent all.
async fn next_frame(
    stream: &mut TcpStream,
    codec: &mut LengthDelimitedCodec,
    buffer: &mut BytesMut,
) -> io::Result<Option<BytesMut>> {
    loop {
        if let Some(frame) = codec.decode(buffer)? {
            return Ok(Some(frame));
        }
        let read = timeout(SILENCE_LIMIT, stream.read_buf(buffer)).await;
        match read.map_err(io::Error::from)?? {
            0 if buffer.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            _ => {}
        }
    }
}

/// Applies a part of the state of a peer, which was asked for at `asked`.
fn apply_part(shared: &SharedState, peer: SocketAddr, asked: Moment, part: StateResponse) {
    if let Some(table) = part.routes {
        let version = table.version;
        if shared.offer_routes(Arc::new(table)) {
            spdlog::info!("peers: routes version={version} in force source={peer}");
        }
    }
    if let Some(received) = part.endpoints
        && shared.adopt_endpoints(asked, received)
    {
        let summary = shared.endpoints().summary(shared.clock.now());
        spdlog::info!("peers: {summary} source={peer}");
    }
}
